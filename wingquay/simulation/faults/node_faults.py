"""Faults of nodes, of the machine list, and callers that repeat themselves."""

from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from ..models.machine_list_model import DEFAULT_LAG_SECONDS
from ..simulation_settings import FaultChoice
from .fault import Fault, FaultContext

if TYPE_CHECKING:
    from ..simulation import Simulation

LONGEST_PAUSE_SECONDS = 8.0
REPEATING_SHARE = 0.1
REPEATED_WITHIN_SECONDS = 1.0
GONE_SHARE = 0.01
LAGGING_MACHINE_LIST = "lagging_machine_list"
MACHINE_LIST_LAG_SECONDS = 30.0


def machine_list_lag(faults: Sequence[FaultChoice]) -> float:
    """Return by how many seconds the machine list lags under ``faults``."""
    lags = any(fault.name == LAGGING_MACHINE_LIST for fault in faults)
    return MACHINE_LIST_LAG_SECONDS if lags else DEFAULT_LAG_SECONDS


def _node_crash(context: FaultContext) -> None:
    for at_seconds in context.moments(interval_seconds=10.0):
        choice = context.random_source.random()
        seconds = context.random_source.uniform(0.5, 5.0)
        context.at(at_seconds, partial(_crash, context.simulation, choice, seconds))


def _crash(simulation: "Simulation", choice: float, seconds: float) -> None:
    """Crash a node; another starts in its place ``seconds`` later."""
    node = simulation.nodes.pick(choice)
    if node is not None:
        simulation.nodes.crash(node)
        simulation.clock.after(seconds, simulation.nodes.start_again, node)


def _node_pause(context: FaultContext) -> None:
    for at_seconds in context.moments():
        choice = context.random_source.random()
        seconds = context.random_source.uniform(0.05, LONGEST_PAUSE_SECONDS)
        context.at(at_seconds, partial(context.simulation.pause_node, choice, seconds))


def _planned_stop(context: FaultContext) -> None:
    for at_seconds in context.moments(interval_seconds=6.0):
        choice = context.random_source.random()
        context.at(at_seconds, partial(_stop, context.simulation, choice))


def _stop(simulation: "Simulation", choice: float) -> None:
    node = simulation.nodes.pick(choice)
    if node is not None:
        simulation.stop_node(node)


def _replacement(context: FaultContext) -> None:
    for at_seconds in context.moments(interval_seconds=10.0):
        choice = context.random_source.random()
        context.at(at_seconds, partial(_replace, context.simulation, choice))


def _replace(simulation: "Simulation", choice: float) -> None:
    node = simulation.nodes.pick(choice)
    if node is not None:
        simulation.nodes.crash(node)
        simulation.nodes.start_again(node)


def _lagging_machine_list(context: FaultContext) -> None:
    """Do nothing: the list lags from the start (``machine_list_lag``)."""
    del context


def _repeated_caller(context: FaultContext) -> None:
    repetition = context.simulation.callers.repetition
    repetition.share = REPEATING_SHARE
    repetition.within_seconds = REPEATED_WITHIN_SECONDS
    repetition.gone_share = GONE_SHARE


NODE_FAULTS = (
    Fault("node_crash", "a node dies and another starts in its place later", _node_crash),
    Fault("node_pause", "a node stands still and wakes up", _node_pause),
    Fault("planned_stop", "a node is asked to stop; another takes its place", _planned_stop),
    Fault("replacement", "a node is replaced at once by a new one", _replacement),
    Fault(LAGGING_MACHINE_LIST, "the machine list lags by half a minute", _lagging_machine_list),
    Fault("repeated_caller", "callers repeat themselves through other nodes", _repeated_caller),
)
