"""Faults of indexes: new versions and moving shard bounds while queries run."""

from functools import partial

from ...model.configuration import Service
from ...model.identifiers import SnapshotVersion
from ..simulated_replica import SimulatedReplica
from .bound_move import BoundMove
from .fault import Fault, FaultContext

UPDATE_SPREAD_SECONDS = 1.5
"""The replicas of a service take a new version in within this time."""
OLDEST_DROP_SECONDS = 0.5
LATEST_DROP_SECONDS = 6.0
LONGEST_MOVE_SECONDS = 4.0


def _index_update(context: FaultContext) -> None:
    simulation = context.simulation
    services = simulation.settings.profile.configuration.services
    for at_seconds in context.moments(interval_seconds=4.0):
        service = context.random_source.choice(services)
        delays = [
            (
                context.random_source.uniform(0.0, UPDATE_SPREAD_SECONDS),
                context.random_source.uniform(OLDEST_DROP_SECONDS, LATEST_DROP_SECONDS),
            )
            for _ in simulation.backends.of_service(service.name)
        ]

        def update(service: Service = service, delays: list[tuple[float, float]] = delays) -> None:
            backends = simulation.backends
            version = SnapshotVersion(backends.newest[service.name] + 1)
            backends.newest[service.name] = version
            replicas = backends.of_service(service.name)
            for replica, (install_after, drop_after) in zip(replicas, delays, strict=True):
                context.later(install_after, partial(_install, context, replica, version))
                context.later(install_after + drop_after, partial(_drop, context, replica, version))

        context.at(at_seconds, update)


def _install(context: FaultContext, replica: SimulatedReplica, version: SnapshotVersion) -> None:
    replica.model.install_version(version, context.simulation.clock.now)


def _drop(context: FaultContext, replica: SimulatedReplica, version: SnapshotVersion) -> None:
    earlier = SnapshotVersion(version - 1)
    replica.model.drop_version(earlier, context.simulation.clock.now)


def _other_version(context: FaultContext) -> None:
    """Let a replica that is ahead of the others answer from its newest version only."""
    simulation = context.simulation
    for at_seconds in context.moments():
        replica = context.any_replica()
        seconds = context.random_source.uniform(0.5, 4.0)
        context.at(at_seconds, partial(_begin_other_version, context, replica))
        simulation.clock.at(at_seconds + seconds, _end_other_version, replica)


def _begin_other_version(context: FaultContext, replica: SimulatedReplica) -> None:
    backends = context.simulation.backends
    service = replica.model.settings.service
    version = SnapshotVersion(backends.newest[service] + 1)
    backends.newest[service] = version
    _install(context, replica, version)
    replica.condition.answers_newest = True


def _end_other_version(replica: SimulatedReplica) -> None:
    replica.condition.answers_newest = False


def _repartition(context: FaultContext) -> None:
    """Move the bound between two shards: on the replicas, and in the configuration."""
    simulation = context.simulation
    services = [
        service
        for service in simulation.settings.profile.configuration.services
        if len(service.shards) > 1
    ]
    for at_seconds in context.moments():
        service = context.random_source.choice(services)
        left = context.random_source.randrange(len(service.shards) - 1)
        share = context.random_source.random()
        well_ordered = context.random_source.random() < 0.5
        delays = [context.random_source.uniform(0.0, LONGEST_MOVE_SECONDS) for _ in range(3)]

        def move(
            service: Service = service,
            left: int = left,
            share: float = share,
            delays: list[float] = delays,
            well_ordered: bool = well_ordered,
        ) -> None:
            mover = BoundMove(context.simulation, service, left, share)
            # Well ordered: the left shard grows before the right one shrinks, and nodes hear of
            # it in between. Otherwise keys have no home or two homes for a while.
            first, second, third = sorted(delays) if well_ordered else delays
            context.later(first, mover.apply_to_left)
            context.later(second, mover.tell_operators)
            context.later(third, mover.apply_to_right)

        context.at(at_seconds, move)


INDEX_FAULTS = (
    Fault(
        "index_update", "a new index version replaces the old, replica by replica", _index_update
    ),
    Fault("other_version", "a replica answers from another version than asked", _other_version),
    Fault("repartition", "the bound between two shards moves while queries run", _repartition),
)
