"""Applies the contents of the store: configuration, replicas, nodes, evacuations, held requests."""

from collections.abc import Callable

from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from ..model.value import value
from ..ports.machine import Action, Count, Event, Log, LogLevel, Schedule
from ..ports.store import StoredValue
from .choice.evacuations import Evacuations
from .choice.replica_directory import ReplicaDirectory
from .choice.replica_state import ReplicaState
from .crashing.held_request_keys import HeldRequestKeys
from .knowledge.node_membership import NodeMembership
from .knowledge.store_follower import StoreFollower
from .store_formats import StoreFormats

RESTORED_GRACE_SECONDS = 2.0
"""Time after the store came back from an older copy in which its writers write again what it lost.
A key of a node or an evacuated zone that is missing counts as removed after that."""


@value
class RestoredGraceOver(Event):
    """Remove the keys that are still missing since the store came back from an older copy."""


class StoreContents:
    """Passes each key of the store to the object that uses it.

    Parameters
    ----------
    formats
        Formats of keys and values.
    directory, held_request_keys, members
        Receive the records of replicas and evacuated zones, of held requests and of nodes.
    follower
        Provides the store revision up to which all changes were applied.
    rewritten
        Receives the keys of replica records that were written again without a change.
    configure
        Applies a stored configuration document.
    on_replica_restarted
        Aborts the attempts at a replica that has restarted.
    """

    def __init__(
        self,
        formats: StoreFormats,
        directory: ReplicaDirectory,
        held_request_keys: HeldRequestKeys,
        members: NodeMembership,
        follower: StoreFollower,
        rewritten: set[str],
        configure: Callable[[bytes], list[Action]],
        on_replica_restarted: Callable[[ReplicaState, float], list[Action]],
    ) -> None:
        self._formats = formats
        self._directory = directory
        self._evacuations = Evacuations(formats.evacuation_prefix, directory)
        self._held_request_keys = held_request_keys
        self._members = members
        self._follower = follower
        self._rewritten = rewritten
        self._configure = configure
        self._on_replica_restarted = on_replica_restarted
        self._is_restored = False
        """Whether the next listing is the first one since the store was restored."""
        self._missing: set[str] = set()
        """Keys that are missing since then and may be written again."""

    def on_restored(self, now: float) -> None:
        """Expect a listing in which keys may be missing or out of date."""
        self._is_restored = True
        self._directory.on_outage(now)

    def apply_listing(self, values: tuple[StoredValue, ...], now: float) -> list[Action]:
        """Apply a complete listing of the store; keys that it lacks are removed."""
        prefix = self._formats.replica_prefix
        ids = {item.key.removeprefix(prefix) for item in values if item.key.startswith(prefix)}
        self._directory.keep_only(ids, now, self._follower.known_revision)
        if self._is_restored:
            return self._apply_restored_listing(values, now)
        self._missing.clear()
        self._members.keep_only({item.key for item in values if self._is_node_key(item.key)})
        keys = {item.key for item in values}
        removed = (
            *self._evacuations.missing_from(keys),
            *self._held_request_keys.missing_from(keys),
        )
        return self.apply_changes(values, removed, now)

    def _apply_restored_listing(self, values: tuple[StoredValue, ...], now: float) -> list[Action]:
        """Apply the first listing of a new era.

        What it lacks may be written again soon, and entries of replicas that are known to leave or
        to be gone may be there again from before.
        """
        self._is_restored = False
        keys = {item.key for item in values}
        self._held_request_keys.forget_missing(keys)
        self._missing = {
            *self._members.missing_from(keys),
            *self._evacuations.missing_from(keys),
        }
        outdated = [item for item in values if self._is_outdated(item)]
        fields = (
            ("values", len(values)),
            ("missing_keys", len(self._missing)),
            ("outdated_replicas", len(outdated)),
        )
        return [
            Log("store_restoration_applied", LogLevel.WARNING, fields),
            *self.apply_changes(tuple(item for item in values if item not in outdated), (), now),
            *self._members.rewrite_cluster_key(keys),
            Schedule(now + RESTORED_GRACE_SECONDS, RestoredGraceOver()),
        ]

    def _is_outdated(self, item: StoredValue) -> bool:
        """Return whether the entry of a replica is known to have been superseded."""
        prefix = self._formats.replica_prefix
        if not item.key.startswith(prefix):
            return False
        record = self._formats.parse_replica(item.key.removeprefix(prefix), item.value)
        return not isinstance(record, Failure) and self._directory.has_left(record)

    def remove_missing(self, now: float) -> list[Action]:
        """Remove the keys that were not written again."""
        missing = tuple(sorted(self._missing))
        self._missing.clear()
        return self.apply_changes((), missing, now)

    def apply_changes(
        self, written: tuple[StoredValue, ...], deleted: tuple[str, ...], now: float
    ) -> list[Action]:
        """Apply written and deleted keys."""
        actions: list[Action] = []
        self._rewritten.clear()
        for item in written:
            actions += self._put(item, now)
        for key in deleted:
            actions += self._remove(key, now)
        return actions

    def _put(self, item: StoredValue, now: float) -> list[Action]:
        """Apply a written key."""
        self._missing.discard(item.key)
        if item.key == self._formats.configuration_key:
            return self._configure(item.value)
        if item.key.startswith(self._formats.replica_prefix):
            return self._put_replica(item, now)
        if self._evacuations.handles(item.key):
            return self._evacuations.put(item.key)
        if self._held_request_keys.handles(item.key):
            return self._held_request_keys.put(item, now)
        if self._is_node_key(item.key):
            self._members.put(item)
        elif item.key == self._formats.cluster_key:
            self._members.set_cluster_key(item.value)
        return []

    def _remove(self, key: str, now: float) -> list[Action]:
        """Apply the removal of a key."""
        prefix = self._formats.replica_prefix
        if self._evacuations.handles(key):
            return self._evacuations.remove(key)
        if self._held_request_keys.handles(key):
            return self._held_request_keys.remove(key, now)
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
            # An earlier record of the replica may have been readable: it counts as removed.
            self._directory.mark_vanished(replica_id, now, item.modified_at)
            return [
                Log("replica_record_unreadable", LogLevel.WARNING, fields),
                Count("replica_records_unreadable_total"),
            ]
        if self._directory.is_current(record):
            self._rewritten.add(item.key)
        previous = self._directory.put(record, now, item.modified_at)
        return [] if previous is None else self._log_restart(previous, record, now)

    def _log_restart(
        self, previous: ReplicaState, record: ReplicaRecord, now: float
    ) -> list[Action]:
        """Log the restart of a replica and abort the attempts at its previous incarnation."""
        fields: tuple[tuple[str, str | int | float], ...] = (
            ("replica", record.replica_id),
            ("service", record.service),
            ("born", -1 if record.born is None else record.born),
            ("open_attempts", len(previous.in_flight)),
        )
        return [
            Log("replica_born_again", LogLevel.INFO, fields),
            Count("replicas_born_again_total"),
            *self._on_replica_restarted(previous, now),
        ]
