"""Faults of back ends: slow, lost, cold, shedding, draining, and reports that mislead."""

from collections.abc import Sequence
from dataclasses import replace

from wingquay.ports.backend import LoadReport
from wingquay.rehearsal.faults.fault import Fault, FaultContext
from wingquay.rehearsal.simulated_replica import SimulatedReplica
from wingquay.rehearsal.simulation_settings import FaultChoice

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

        def lose(replica: SimulatedReplica = replica, silent: bool = silent) -> None:
            backends.lose(replica, silent=silent)

        def bring_back(replica: SimulatedReplica = replica, older: bool = older) -> None:
            backends.restart(replica, on_older_index=older)

        context.at(at_seconds, lose)
        context.simulation.clock.at(at_seconds + seconds, bring_back)


def _cold_start(context: FaultContext) -> None:
    backends = context.simulation.backends
    for at_seconds in context.moments():
        replica = context.any_replica()

        def restart(replica: SimulatedReplica = replica) -> None:
            backends.lose(replica, silent=False)
            backends.restart(replica, on_older_index=False)

        context.at(at_seconds, restart)


def _shedding(context: FaultContext) -> None:
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(0.5, 4.0)
        normal = replica.model.settings
        pressed = replace(normal, slots=SHEDDING_SLOTS, queue_limit=0)

        def press(replica: SimulatedReplica = replica, settings: object = pressed) -> None:
            replica.model.settings = settings  # type: ignore[assignment]

        def relieve(replica: SimulatedReplica = replica, settings: object = normal) -> None:
            replica.model.settings = settings  # type: ignore[assignment]

        context.at(at_seconds, press)
        context.simulation.clock.at(at_seconds + seconds, relieve)


def _draining(context: FaultContext) -> None:
    backends = context.simulation.backends
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(1.0, 15.0)

        def drain(replica: SimulatedReplica = replica) -> None:
            backends.drain(replica)

        def replace_it(replica: SimulatedReplica = replica) -> None:
            backends.lose(replica, silent=False)
            backends.restart(replica, on_older_index=False)

        context.at(at_seconds, drain)
        context.simulation.clock.at(at_seconds + seconds, replace_it)


def _stale_health(context: FaultContext) -> None:
    clock = context.simulation.clock
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(2.0, 8.0)

        def freeze(replica: SimulatedReplica = replica) -> None:
            replica.model.lie_about_load(replica.model.report(clock.now))

        def thaw(replica: SimulatedReplica = replica) -> None:
            replica.model.lie_about_load(None)

        context.at(at_seconds, freeze)
        clock.at(at_seconds + seconds, thaw)


def _lying_load(context: FaultContext) -> None:
    clock = context.simulation.clock
    for at_seconds in context.moments():
        replica = context.any_replica()
        lie = context.random_source.choice(LIES)
        seconds = context.random_source.uniform(1.0, 8.0)

        def begin(replica: SimulatedReplica = replica, lie: LoadReport = lie) -> None:
            replica.model.lie_about_load(lie)

        def end(replica: SimulatedReplica = replica) -> None:
            replica.model.lie_about_load(None)

        context.at(at_seconds, begin)
        clock.at(at_seconds + seconds, end)


def _slow_replica(context: FaultContext) -> None:
    clock = context.simulation.clock
    for at_seconds in context.moments():
        replica = context.any_replica()
        factor = context.random_source.uniform(3.0, 30.0)
        until = at_seconds + context.random_source.uniform(0.5, 5.0)
        paused = context.random_source.random() < 0.3

        def slow(
            replica: SimulatedReplica = replica,
            factor: float = factor,
            until: float = until,
            paused: bool = paused,
        ) -> None:
            if paused:
                replica.model.pause(until, clock.now)
            else:
                replica.model.slow_down(factor, until, clock.now)
            replica.wake()

        context.at(at_seconds, slow)


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
