"""Takes in what the store holds, key by key: replicas, nodes, evacuations, held requests."""

from collections.abc import Callable

from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from ..ports.machine import Action, Count, Log, LogLevel
from ..ports.store import StoredValue
from .choice.evacuations import Evacuations
from .choice.replica_directory import ReplicaDirectory
from .choice.replica_state import ReplicaState
from .crashing.held_keys import HeldKeys
from .knowledge.node_membership import NodeMembership
from .knowledge.store_follower import StoreFollower
from .store_formats import StoreFormats


class StoreContents:
    """Hands each key to the part that goes by it.

    Parameters
    ----------
    formats
        Tells keys apart and reads their values.
    directory, held_keys, members
        Take in replicas, evacuated zones, held requests and nodes.
    follower
        Knows up to which revision of the store everything is known.
    rewritten
        Where to note keys of replicas' entries that were written again without a change.
    configure
        Takes in the bytes of a configuration.
    life_over
        Ends the work at a replica that has started again.
    """

    def __init__(
        self,
        formats: StoreFormats,
        directory: ReplicaDirectory,
        held_keys: HeldKeys,
        members: NodeMembership,
        follower: StoreFollower,
        rewritten: set[str],
        configure: Callable[[bytes], list[Action]],
        life_over: Callable[[ReplicaState, float], list[Action]],
    ) -> None:
        self._formats = formats
        self._directory = directory
        self._evacuations = Evacuations(formats.evacuation_prefix, directory)
        self._held_keys = held_keys
        self._members = members
        self._follower = follower
        self._rewritten = rewritten
        self._configure = configure
        self._end_life = life_over

    def listed(self, values: tuple[StoredValue, ...], now: float) -> list[Action]:
        """Take in everything that is there, after it was read anew."""
        prefix = self._formats.replica_prefix
        ids = {item.key.removeprefix(prefix) for item in values if item.key.startswith(prefix)}
        self._directory.keep_only(ids, now, self._follower.known_revision)
        self._members.keep_only({item.key for item in values if self._is_node_key(item.key)})
        keys = {item.key for item in values}
        gone = (*self._evacuations.missing_from(keys), *self._held_keys.missing_from(keys))
        return self.changed(values, gone, now)

    def changed(
        self, written: tuple[StoredValue, ...], deleted: tuple[str, ...], now: float
    ) -> list[Action]:
        """Take in the keys that were written and those that are gone."""
        actions: list[Action] = []
        self._rewritten.clear()
        for item in written:
            actions += self._put(item, now)
        for key in deleted:
            actions += self._remove(key, now)
        return actions

    def _put(self, item: StoredValue, now: float) -> list[Action]:
        """Take in a key that was written."""
        if item.key == self._formats.configuration_key:
            return self._configure(item.value)
        if item.key.startswith(self._formats.replica_prefix):
            return self._put_replica(item, now)
        if self._evacuations.handles(item.key):
            return self._evacuations.put(item.key)
        if self._held_keys.is_mine(item.key):
            return self._held_keys.put(item, now)
        if self._is_node_key(item.key):
            self._members.put(item)
        elif item.key == self._formats.cluster_key:
            self._members.set_cluster_key(item.value)
        return []

    def _remove(self, key: str, now: float) -> list[Action]:
        """Take in that a key is gone."""
        prefix = self._formats.replica_prefix
        if self._evacuations.handles(key):
            return self._evacuations.remove(key)
        if self._held_keys.is_mine(key):
            return self._held_keys.remove(key, now)
        if key.startswith(prefix):
            self._directory.mark_vanished(
                key.removeprefix(prefix), now, self._follower.known_revision
            )
        else:
            self._members.remove(key)
        return []

    def _is_node_key(self, key: str) -> bool:
        return key.startswith(self._formats.node_prefix)

    def _put_replica(self, item: StoredValue, now: float) -> list[Action]:
        replica_id = item.key.removeprefix(self._formats.replica_prefix)
        record = self._formats.parse_replica(replica_id, item.value)
        if isinstance(record, Failure):
            fields = (("key", item.key), ("reason", record.reason))
            # It may have been readable before: that replica counts as one whose record is gone.
            self._directory.mark_vanished(replica_id, now, item.modified_at)
            return [
                Log("replica_record_unreadable", LogLevel.WARNING, fields),
                Count("replica_records_unreadable_total"),
            ]
        if self._directory.is_current(record):
            self._rewritten.add(item.key)
        over = self._directory.put(record, now, item.modified_at)
        return [] if over is None else self._life_over(over, record, now)

    def _life_over(self, over: ReplicaState, record: ReplicaRecord, now: float) -> list[Action]:
        """Take in that a replica has started again."""
        fields: tuple[tuple[str, str | int | float], ...] = (
            ("replica", record.replica_id),
            ("service", record.service),
            ("born", -1 if record.born is None else record.born),
            ("open_attempts", len(over.in_flight)),
        )
        return [
            Log("replica_born_again", LogLevel.INFO, fields),
            Count("replicas_born_again_total"),
            *self._end_life(over, now),
        ]
