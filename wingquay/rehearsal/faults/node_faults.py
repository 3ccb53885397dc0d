"""Faults of nodes, of the machine list, and callers that repeat themselves."""

from collections.abc import Sequence

from wingquay.rehearsal.faults.fault import Fault, FaultContext
from wingquay.rehearsal.models.machine_list_model import DEFAULT_LAG_SECONDS
from wingquay.rehearsal.simulation_settings import FaultChoice

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
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=10.0):
        choice = context.random_source.random()
        seconds = context.random_source.uniform(0.5, 5.0)

        def crash(choice: float = choice, seconds: float = seconds) -> None:
            node = simulation.nodes.pick(choice)
            if node is not None:
                simulation.nodes.crash(node)
                context.later(seconds, lambda: simulation.nodes.start_again(node))

        context.at(at_seconds, crash)


def _node_pause(context: FaultContext) -> None:
    for at_seconds in context.moments():
        choice = context.random_source.random()
        seconds = context.random_source.uniform(0.05, LONGEST_PAUSE_SECONDS)

        def pause(choice: float = choice, seconds: float = seconds) -> None:
            context.simulation.pause_node(choice, seconds)

        context.at(at_seconds, pause)


def _planned_stop(context: FaultContext) -> None:
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=6.0):
        choice = context.random_source.random()

        def stop(choice: float = choice) -> None:
            node = simulation.nodes.pick(choice)
            if node is not None:
                simulation.stop_node(node)

        context.at(at_seconds, stop)


def _replacement(context: FaultContext) -> None:
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=10.0):
        choice = context.random_source.random()

        def replace(choice: float = choice) -> None:
            node = simulation.nodes.pick(choice)
            if node is not None:
                simulation.nodes.crash(node)
                simulation.nodes.start_again(node)

        context.at(at_seconds, replace)


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
