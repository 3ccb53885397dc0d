"""Faults of indexes: new versions and moving shard bounds while queries run."""

from functools import partial

from wingquay.model.configuration import Service, Shard
from wingquay.model.identifiers import SnapshotVersion
from wingquay.model.intent import SetShards
from wingquay.model.key_range import KeyRange
from wingquay.rehearsal.faults.fault import Fault, FaultContext
from wingquay.rehearsal.simulated_replica import SimulatedReplica

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
            mover = _BoundMove(context, service, left, share)
            # Well ordered: the left shard grows before the right one shrinks, and nodes hear of
            # it in between. Otherwise keys have no home or two homes for a while.
            first, second, third = sorted(delays) if well_ordered else delays
            context.later(first, mover.apply_to_left)
            context.later(second, mover.tell_operators)
            context.later(third, mover.apply_to_right)

        context.at(at_seconds, move)


class _BoundMove:
    """One move of the bound between two adjacent shards of a service."""

    def __init__(self, context: FaultContext, service: Service, left: int, share: float) -> None:
        self._context = context
        self._service = service
        self._left = left
        # The bounds of now, which earlier moves may have changed.
        self._shards = list(context.simulation.backends.bounds[service.name])
        key_range = KeyRange(self._shards[left].start, self._shards[left + 1].end)
        dataset = context.simulation.settings.profile.dataset
        keys = [key for key in dataset.keys if key_range.contains(key)]
        inner = keys[1:] or [self._shards[left + 1].start]
        bound = inner[int(share * len(inner))]
        self._shards[left] = self._shards[left].model_copy(update={"end": bound})
        self._shards[left + 1] = self._shards[left + 1].model_copy(update={"start": bound})
        context.simulation.backends.bounds[service.name] = tuple(self._shards)

    def apply_to_left(self) -> None:
        """Let the left shard's replicas serve up to the new bound."""
        self._apply(self._shards[self._left])

    def apply_to_right(self) -> None:
        """Let the right shard's replicas serve from the new bound on."""
        self._apply(self._shards[self._left + 1])

    def tell_operators(self) -> None:
        """Let an operator change the configuration to the bounds that are meant now."""
        simulation = self._context.simulation
        shards = simulation.backends.bounds[self._service.name]
        intent = SetShards(service=self._service.name, shards=shards)
        simulation.operators.change("shard-keeper", (intent,))

    def _apply(self, shard: Shard) -> None:
        simulation = self._context.simulation
        for entry in shard.replicas:
            replica = simulation.backends.replicas[entry.replica_id]
            replica.model.serve_shard(shard.shard_id, shard.key_range, simulation.clock.now)


INDEX_FAULTS = (
    Fault(
        "index_update", "a new index version replaces the old, replica by replica", _index_update
    ),
    Fault("repartition", "the bound between two shards moves while queries run", _repartition),
)
