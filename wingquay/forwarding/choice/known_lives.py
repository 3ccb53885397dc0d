"""The lives of replicas that are known, by id and by service: which record of each holds."""

from collections.abc import Collection, Iterator
from dataclasses import replace

from ...model.replica_record import ReplicaRecord
from .replica_state import ReplicaState


class KnownLives:
    """Takes in records; the store's revision orders those of one replica."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}
        self._by_service: dict[str, dict[str, ReplicaState]] = {}
        self._renewed_at: dict[str, float] = {}
        """When a replica of a service last started again under its id."""

    def __len__(self) -> int:
        """Return the number of replicas known."""
        return len(self._states)

    def __iter__(self) -> Iterator[ReplicaState]:
        """Return all states as they are now; they may be removed meanwhile."""
        return iter(tuple(self._states.values()))

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of a replica."""
        return self._states.get(replica_id)

    def get_incarnation(self, life: str) -> ReplicaState | None:
        """Return the state of a life of a replica; ``None``: it is not known, or over."""
        state = self._states.get(life.partition(" ")[0])
        return state if state is not None and state.incarnation == life else None

    def services(self) -> Collection[str]:
        """Return the services of which a replica is known."""
        return self._by_service.keys()

    def of_service(self, service: str) -> Collection[ReplicaState]:
        """Return the replicas of a service."""
        found = self._by_service.get(service)
        return () if found is None else found.values()

    def has_restarted_since(self, service: str, moment: float) -> bool:
        """Whether a replica of the service has started again since a moment."""
        return self._renewed_at.get(service, float("-inf")) >= moment

    def put(self, record: ReplicaRecord, now: float, revision: int) -> ReplicaState | None:
        """Take in a record, new or changed; return the life that is over by it.

        A record that is older than what is known is passed over, and a later one holds whenever it
        says that its life began. One that does not say so is of the life that is known.
        """
        state = self._states.get(record.replica_id)
        if state is None:
            self._begin(record, now, revision)
            return None
        if revision < state.revision:
            return None
        if record.born is None and state.record.born is not None:
            # It says nothing of lives: the one that is known goes on.
            record = replace(record, born=state.record.born)
        if state.incarnation != record.incarnation:
            self.remove(state)
            state.is_superseded = True
            self._renewed_at[state.record.service] = now
            self._begin(record, now, revision)
            return state
        self._change(state, record, now)
        state.revision = revision
        return None

    def mark_vanished(self, replica_id: str, now: float, revision: int | None) -> None:
        """Take in that a record is gone; ``revision`` ``None``: it is gone now."""
        state = self._states.get(replica_id)
        if state is None or (revision is not None and revision < state.revision):
            return
        state.revision = state.revision if revision is None else revision
        if state.vanished_at is None:
            state.vanished_at = now

    def remove(self, state: ReplicaState) -> None:
        """Forget a life, unless it is over already."""
        replica_id = state.record.replica_id
        if self._states.get(replica_id) is state:
            del self._states[replica_id]
            self._take_out(state)

    def _begin(self, record: ReplicaRecord, now: float, revision: int) -> None:
        state = ReplicaState(record, now, revision)
        self._states[record.replica_id] = state
        self._by_service.setdefault(record.service, {})[record.replica_id] = state

    def _change(self, state: ReplicaState, record: ReplicaRecord, now: float) -> None:
        if state.record.service != record.service:
            self._take_out(state)
            self._by_service.setdefault(record.service, {})[record.replica_id] = state
        if state.record.cold_seconds != record.cold_seconds:
            state.recorded_at = now
        state.record = record
        state.vanished_at = None

    def _take_out(self, state: ReplicaState) -> None:
        service = state.record.service
        del self._by_service[service][state.record.replica_id]
        if not self._by_service[service]:
            del self._by_service[service]
            self._renewed_at.pop(service, None)
