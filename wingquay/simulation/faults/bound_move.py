"""Moves the bound between two adjacent shards, on the replicas and in the configuration."""

from typing import TYPE_CHECKING

from ...model.configuration import Service, Shard
from ...model.intent import SetShards
from ...model.key_range import KeyRange

if TYPE_CHECKING:
    from ..simulation import Simulation


class BoundMove:
    """One move of the bound between two adjacent shards of a service."""

    def __init__(self, simulation: "Simulation", service: Service, left: int, share: float) -> None:
        self._simulation = simulation
        self._service = service
        self._left = left
        # The bounds of now, which earlier moves may have changed.
        self._shards = list(simulation.backends.bounds[service.name])
        key_range = KeyRange(self._shards[left].start, self._shards[left + 1].end)
        dataset = simulation.settings.profile.dataset
        keys = [key for key in dataset.keys if key_range.contains(key)]
        inner = keys[1:] or [self._shards[left + 1].start]
        bound = inner[int(share * len(inner))]
        self._shards[left] = self._shards[left].model_copy(update={"end": bound})
        self._shards[left + 1] = self._shards[left + 1].model_copy(update={"start": bound})
        simulation.backends.bounds[service.name] = tuple(self._shards)

    def apply_to_left(self) -> None:
        """Let the left shard's replicas serve up to the new bound."""
        self._apply(self._shards[self._left])

    def apply_to_right(self) -> None:
        """Let the right shard's replicas serve from the new bound on."""
        self._apply(self._shards[self._left + 1])

    def tell_operators(self) -> None:
        """Let an operator change the configuration to the bounds that are meant now."""
        simulation = self._simulation
        shards = simulation.backends.bounds[self._service.name]
        intent = SetShards(service=self._service.name, shards=shards)
        simulation.operators.change("shard-keeper", (intent,))

    def _apply(self, shard: Shard) -> None:
        simulation = self._simulation
        for entry in shard.replicas:
            replica = simulation.backends.replicas[entry.replica_id]
            replica.model.serve_shard(shard.shard_id, shard.key_range, simulation.clock.now)
