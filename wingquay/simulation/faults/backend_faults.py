"""Faults of back ends: slow, lost, cold, shedding, draining, and reports that mislead."""

from collections.abc import Sequence
from dataclasses import replace
from functools import partial

from ...ports.backend import LoadReport
from ..models.backend_settings import BackendSettings
from ..simulated_replica import SimulatedReplica
from ..simulation_settings import FaultChoice
from .fault import Fault, FaultContext

STRAGGLERS = "stragglers"
DEFAULT_STRAGGLER_SHARE = 0.01
SHEDDING_SLOTS = 1
LIES = (LoadReport(utilization=0.0), LoadReport(utilization=5.0), LoadReport(draining=True))


def straggler_share(faults: Sequence[FaultChoice]) -> float:
    """Return the share of executions that straggle under ``faults``."""
    for fault in faults:
        if fault.name == STRAGGLERS:
            return DEFAULT_STRAGGLER_SHARE if fault.argument is None else fault.argument
    return 0.0


def _stragglers(context: FaultContext) -> None:
    """Do nothing: stragglers are part of every execution's fate (``straggler_share``)."""
    del context


def _replica_loss(context: FaultContext) -> None:
    backends = context.simulation.backends
    for at_seconds in context.moments():
        replica = context.any_replica()
        silent = context.random_source.random() < 0.5
        seconds = context.random_source.uniform(0.5, 5.0)
        older = context.random_source.random() < 0.3
        context.at(at_seconds, partial(backends.lose, replica, silent=silent))
        bring_back = partial(backends.restart, replica, on_older_index=older)
        context.simulation.clock.at(at_seconds + seconds, bring_back)


def _cold_start(context: FaultContext) -> None:
    for at_seconds in context.moments():
        context.at(at_seconds, partial(_restart, context, context.any_replica()))


def _restart(context: FaultContext, replica: SimulatedReplica) -> None:
    backends = context.simulation.backends
    backends.lose(replica, silent=False)
    backends.restart(replica, on_older_index=False)


def _shedding(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(0.5, 4.0)
        normal = replica.model.settings
        pressed = replace(normal, slots=SHEDDING_SLOTS, queue_limit=0)
        context.at(at_seconds, partial(_set_settings, replica, pressed))
        context.simulation.clock.at(at_seconds + seconds, _set_settings, replica, normal)


def _set_settings(replica: SimulatedReplica, settings: BackendSettings) -> None:
    replica.model.settings = settings


def _draining(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(1.0, 15.0)
        context.at(at_seconds, partial(context.simulation.backends.drain, replica))
        context.simulation.clock.at(at_seconds + seconds, _restart, context, replica)


def _stale_health(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(2.0, 8.0)
        context.at(at_seconds, partial(_freeze_report, context, replica))
        end = replica.model.lie_about_load
        context.simulation.clock.at(at_seconds + seconds, end, None)


def _freeze_report(context: FaultContext, replica: SimulatedReplica) -> None:
    shown = replica.model.report(context.simulation.clock.now)
    replica.model.lie_about_load(shown)


def _lying_load(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        lie = context.random_source.choice(LIES)
        seconds = context.random_source.uniform(1.0, 8.0)
        context.at(at_seconds, partial(replica.model.lie_about_load, lie))
        context.simulation.clock.at(at_seconds + seconds, replica.model.lie_about_load, None)


def _slow_replica(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        factor = context.random_source.uniform(3.0, 30.0)
        until = at_seconds + context.random_source.uniform(0.5, 5.0)
        pauses = context.random_source.random() < 0.3
        happen = partial(_pause, until=until) if pauses else partial(_slow, factor, until=until)
        context.at(at_seconds, partial(happen, context, replica))


def _pause(context: FaultContext, replica: SimulatedReplica, until: float) -> None:
    replica.model.pause(until, context.simulation.clock.now)
    replica.wake()


def _slow(factor: float, context: FaultContext, replica: SimulatedReplica, until: float) -> None:
    replica.model.slow_down(factor, until, context.simulation.clock.now)
    replica.wake()


BACKEND_FAULTS = (
    Fault(
        STRAGGLERS,
        "a share of sub-requests (0.01 if not given) is 10 to 50 times slower",
        _stragglers,
        takes_share=True,
    ),
    Fault("replica_loss", "a replica dies or falls silent and comes back cold", _replica_loss),
    Fault("cold_start", "a replica restarts and is slow at first", _cold_start),
    Fault("shedding", "a replica has one slot, no queue, and sheds the rest", _shedding),
    Fault("draining", "a replica drains and is replaced later", _draining),
    Fault("stale_health", "a replica's reports stand still", _stale_health),
    Fault("lying_load", "a replica reports idle, overloaded or draining and is not", _lying_load),
    Fault("slow_replica", "a replica slows down as a whole or stops for a while", _slow_replica),
)
