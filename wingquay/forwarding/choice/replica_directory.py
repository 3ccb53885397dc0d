"""All replicas by service, and the choice of the one that a request is sent to."""

import random
from collections.abc import Container

from ...model.replica_record import ReplicaRecord
from ..settings import ForwardingSettings
from .best_replica import BestReplica
from .completion import Task
from .known_lives import KnownLives
from .replica_state import ReplicaState


class ReplicaDirectory:
    """Follows the records of replicas.

    Parameters
    ----------
    settings
        The zone of this node and the times of grace.
    random_source
        Breaks ties.
    """

    def __init__(self, settings: ForwardingSettings, random_source: random.Random) -> None:
        self._settings = settings
        self._known = KnownLives()
        self._best = BestReplica(settings, random_source)
        self._outage_ended_at = float("-inf")
        self._listed_at: float | None = None
        self._contradicted_at = float("-inf")
        self._evacuated: frozenset[str] = frozenset()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """The zones whose replicas must get nothing."""
        return self._evacuated

    def __len__(self) -> int:
        """Return the number of replicas known."""
        return len(self._known)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of a replica."""
        return self._known.get(replica_id)

    def get_incarnation(self, life: str) -> ReplicaState | None:
        """Return the state of a life of a replica; ``None``: it is not known, or over."""
        return self._known.get_incarnation(life)

    def is_current(self, record: ReplicaRecord) -> bool:
        """Whether just this is known of a replica, and its record is there."""
        state = self._known.get(record.replica_id)
        return state is not None and state.vanished_at is None and state.record == record

    def put(self, record: ReplicaRecord, now: float, revision: int = 0) -> ReplicaState | None:
        """Take in a record, new or changed; return the life that is over by it.

        The store orders the records of a replica: one that is older than what is known is passed
        over, and a later one holds whenever it says that its life began. One that does not say
        so is of the life that is known.

        Parameters
        ----------
        revision
            The store's revision of the record.
        """
        return self._known.put(record, now, revision)

    def mark_vanished(self, replica_id: str, now: float, revision: int | None = None) -> None:
        """Take in that a record is gone.

        Parameters
        ----------
        revision
            The store's revision by which it was; ``None``: it is gone now.
        """
        self._known.mark_vanished(replica_id, now, revision)

    def keep_only(
        self, replica_ids: Container[str], now: float, revision: int | None = None
    ) -> None:
        """Take in a whole listing: what is not in it has vanished."""
        if self._listed_at is None:
            self._listed_at = now
        for state in self._known:
            if state.record.replica_id not in replica_ids:
                self.mark_vanished(state.record.replica_id, now, revision)

    def remove(self, replica_id: str) -> None:
        """Forget a replica that certainly is gone."""
        state = self._known.get(replica_id)
        if state is not None:
            self._known.remove(state)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Take in the zones whose replicas must get nothing, until they are taken back."""
        self._evacuated = zones

    def mark_stale(self, state: ReplicaState, now: float) -> None:
        """Take in that another replica answers at a replica's address: its record is old."""
        self._contradicted_at = now
        self._known.remove(state)

    def found_stale_recently(self, now: float) -> bool:
        """Whether a replica has just shown that records are old."""
        return now - self._contradicted_at < self._settings.stale_record_seconds

    def on_outage(self, now: float) -> None:
        """Take in that the directory is out of reach now."""
        self._outage_ended_at = now

    def is_settling(self, now: float) -> bool:
        """Whether records may be missing that come back by themselves."""
        begun_at = self._outage_ended_at
        if self._listed_at is not None:
            begun_at = max(begun_at, self._listed_at)
        return now - begun_at < self._settings.settle_seconds

    def has_candidates(self, service: str, now: float) -> bool:
        """Whether the service has a replica that may get work."""
        return bool(self._candidates(service, now))

    def has_other_candidates(self, service: str, excluded: Container[str], now: float) -> bool:
        """Whether the service has a replica that may get work; ``excluded`` are lives."""
        candidates = self._candidates(service, now)
        return any(state.incarnation not in excluded for state in candidates)

    def has_record(self, service: str) -> bool:
        """Whether a record of a replica of the service is there."""
        states = self._known.of_service(service)
        return any(state.vanished_at is None for state in states)

    def zones_of(self, service: str, now: float) -> set[str]:
        """Return the zones that hold a replica of the service that may get work."""
        return {state.record.zone for state in self._candidates(service, now)}

    def by_zone(self, now: float) -> dict[str, list[ReplicaState]]:
        """Return the replicas that may get work by zone, in the order of their ids."""
        found: dict[str, list[ReplicaState]] = {}
        for service in self._known.services():
            for state in self._candidates(service, now):
                found.setdefault(state.record.zone, []).append(state)
        for states in found.values():
            states.sort(key=lambda state: state.record.replica_id)
        return found

    def services(self) -> set[str]:
        """Return the services of which a replica is known."""
        return set(self._known.services())

    def candidates(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas of a service that may get work."""
        return self._candidates(service, now)

    def replica_count(self, service: str) -> int:
        """Return how many replicas of the service are known, whether they may get work or not."""
        return len(self._known.of_service(service))

    def has_restarted_since(self, service: str, moment: float) -> bool:
        """Whether a replica of the service has started again since a moment."""
        return self._known.has_restarted_since(service, moment)

    def remove_expired(self, now: float) -> None:
        """Forget the replicas whose time of grace is over."""
        for state in self._known:
            if state.vanished_at is not None and not self._has_grace(state, now):
                self._known.remove(state)

    def has_unblocked(self, service: str, now: float) -> bool:
        """Whether a replica of the service may be asked and was not just out of reach."""
        return any(
            not state.is_blocked(self._settings, now) for state in self._candidates(service, now)
        )

    def unblocked_at(self, service: str, now: float) -> float:
        """Return when a replica of the service may next be asked; infinity if there is none."""
        return min(
            [max(now, state.blocked_until) for state in self._candidates(service, now)],
            default=float("inf"),
        )

    def choose(
        self,
        service: str,
        excluded: Container[str],
        limit: int,
        now: float,
        with_blocked: bool = True,
        prefers_proven: bool = False,
        is_owned: bool = False,
        task: Task | None = None,
    ) -> ReplicaState | None:
        """Return the replica with the least expected wait.

        Parameters
        ----------
        excluded
            Lives of replicas that must not be returned.
        limit
            Attempts under way at which a replica gets no more.
        with_blocked
            Whether a replica that just failed may be returned when there is no other.
        prefers_proven
            Whether a replica that answered well lately goes before one of which nothing is known.
        is_owned
            Whether the nodes of a group leave the service to this node.
        task
            What of the request matters; without it replicas are compared by factors.
        """
        free = [
            state
            for state in self._candidates(service, now)
            if state.incarnation not in excluded and len(state.in_flight) < limit
        ]
        unblocked = [state for state in free if not state.is_blocked(self._settings, now)]
        if unblocked:
            return self._best.of(unblocked, now, prefers_proven, is_owned, task)
        if free and with_blocked:
            return self._best.of(free, now, prefers_proven, is_owned, task)
        return None

    def _candidates(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas that may get work; vanished ones only if no other is left."""
        present: list[ReplicaState] = []
        vanished: list[ReplicaState] = []
        for state in self._known.of_service(service):
            if state.record.is_draining or state.record.zone in self._evacuated:
                continue
            if state.vanished_at is None:
                present.append(state)
            elif self._has_grace(state, now):
                vanished.append(state)
        return present or vanished

    def _has_grace(self, state: ReplicaState, now: float) -> bool:
        assert state.vanished_at is not None
        settings = self._settings
        in_outage = state.vanished_at - self._outage_ended_at < settings.vanished_grace_seconds
        grace = settings.vanished_grace_seconds
        if in_outage:
            grace = settings.vanished_outage_grace_seconds
        return now - state.vanished_at < grace
