"""Stores the state of the current incarnation of each replica, by id and by service."""

from collections.abc import Collection, Iterator
from dataclasses import replace

from ...model.replica_record import ReplicaRecord
from .replica_state import ReplicaState

DELETED_MEMORY_SECONDS = 20.0
"""Time for which deleted records are remembered; the store may come back from a copy that is some
seconds old and still has them."""


class CurrentReplicas:
    """Applies replica records, ordered by the revisions of the store."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}
        self._by_service: dict[str, dict[str, ReplicaState]] = {}
        self._restarted_at: dict[str, float] = {}
        """Time of the last restart of any replica, by service."""
        self._deleted_at: dict[str, float] = {}
        """When the records of incarnations were deleted lately, oldest first."""

    def __len__(self) -> int:
        """Return the number of replicas."""
        return len(self._states)

    def __iter__(self) -> Iterator[ReplicaState]:
        """Iterate over a copy of all states, so that they may be removed meanwhile."""
        return iter(tuple(self._states.values()))

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of a replica."""
        return self._states.get(replica_id)

    def get_incarnation(self, incarnation: str) -> ReplicaState | None:
        """Return the state of the incarnation of that name; ``None`` if unknown or superseded.

        The name is the replica's id, followed by a space and the start time if that is stated.
        """
        state = self._states.get(incarnation.partition(" ")[0])
        return state if state is not None and state.incarnation == incarnation else None

    def services(self) -> Collection[str]:
        """Return the services that have a replica."""
        return self._by_service.keys()

    def get_by_service(self, service: str) -> Collection[ReplicaState]:
        """Return the replicas of a service."""
        found = self._by_service.get(service)
        return () if found is None else found.values()

    def has_restarted_since(self, service: str, moment: float) -> bool:
        """Whether a replica of the service has restarted since a moment."""
        return self._restarted_at.get(service, float("-inf")) >= moment

    def has_left(self, record: ReplicaRecord) -> bool:
        """Return whether an incarnation drains, or its record was deleted lately."""
        if record.incarnation in self._deleted_at:
            return True
        state = self.get_incarnation(record.incarnation)
        return state is not None and state.record.is_draining

    def put(self, record: ReplicaRecord, now: float, revision: int) -> ReplicaState | None:
        """Apply a new or changed record; return the state of the incarnation that it supersedes.

        A record with an older revision is ignored. A newer one applies whatever start time it
        states; one without a start time belongs to the current incarnation.
        """
        self._deleted_at.pop(record.incarnation, None)
        state = self._states.get(record.replica_id)
        if state is None:
            self._add(record, now, revision)
            return None
        if revision < state.revision:
            return None
        if record.born is None and state.record.born is not None:
            # A record without a start time belongs to the current incarnation.
            record = replace(record, born=state.record.born)
        if state.incarnation != record.incarnation:
            self.remove(state)
            state.is_superseded = True
            self._restarted_at[state.record.service] = now
            self._add(record, now, revision)
            return state
        self._update(state, record, now)
        state.revision = revision
        return None

    def mark_vanished(self, replica_id: str, now: float, revision: int | None) -> None:
        """Record that a replica's record was deleted; ``revision`` ``None``: deleted just now."""
        state = self._states.get(replica_id)
        if state is None or (revision is not None and revision < state.revision):
            return
        state.revision = state.revision if revision is None else revision
        if state.vanished_at is None:
            state.vanished_at = now
            self._remember_deleted(state.incarnation, now)

    def _remember_deleted(self, incarnation: str, now: float) -> None:
        self._deleted_at[incarnation] = now
        while self._deleted_at:
            oldest = next(iter(self._deleted_at))
            if now - self._deleted_at[oldest] < DELETED_MEMORY_SECONDS:
                break
            del self._deleted_at[oldest]

    def remove(self, state: ReplicaState) -> None:
        """Remove an incarnation unless it is already superseded."""
        replica_id = state.record.replica_id
        if self._states.get(replica_id) is state:
            del self._states[replica_id]
            self._remove_from_service(state)

    def _add(self, record: ReplicaRecord, now: float, revision: int) -> None:
        state = ReplicaState(record, now, revision)
        self._states[record.replica_id] = state
        self._by_service.setdefault(record.service, {})[record.replica_id] = state

    def _update(self, state: ReplicaState, record: ReplicaRecord, now: float) -> None:
        if state.record.service != record.service:
            self._remove_from_service(state)
            self._by_service.setdefault(record.service, {})[record.replica_id] = state
        if state.record.cold_seconds != record.cold_seconds:
            state.recorded_at = now
        state.record = record
        state.vanished_at = None

    def _remove_from_service(self, state: ReplicaState) -> None:
        service = state.record.service
        del self._by_service[service][state.record.replica_id]
        if not self._by_service[service]:
            del self._by_service[service]
            self._restarted_at.pop(service, None)
