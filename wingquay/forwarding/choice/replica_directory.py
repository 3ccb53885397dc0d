"""Stores the replicas of all services and selects the one that receives a request."""

import random
from collections.abc import Container

from ...model.replica_record import ReplicaRecord
from ..settings import ForwardingSettings
from .completion import LatencyTarget
from .current_replicas import CurrentReplicas
from .replica_selector import ReplicaSelector
from .replica_state import ReplicaState


class ReplicaDirectory:
    """Applies replica records and determines which replicas are candidates for requests.

    A candidate is a replica that is neither draining nor in an evacuated zone. Replicas whose
    record vanished are candidates during a grace period, if the service has no other candidate.

    Parameters
    ----------
    settings
        The zone of this node and the grace periods.
    random_source
        Breaks ties.
    """

    def __init__(self, settings: ForwardingSettings, random_source: random.Random) -> None:
        self._settings = settings
        self._replicas = CurrentReplicas()
        self._selector = ReplicaSelector(settings, random_source)
        self._last_outage_at = float("-inf")
        self._first_listed_at: float | None = None
        self._stale_found_at = float("-inf")
        self._evacuated: frozenset[str] = frozenset()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose replicas receive no requests."""
        return self._evacuated

    def __len__(self) -> int:
        """Return the number of replicas."""
        return len(self._replicas)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of a replica."""
        return self._replicas.get(replica_id)

    def get_incarnation(self, incarnation: str) -> ReplicaState | None:
        """Return the state of the incarnation of that name; ``None`` if unknown or superseded."""
        return self._replicas.get_incarnation(incarnation)

    def is_current(self, record: ReplicaRecord) -> bool:
        """Whether the stored record of the replica equals this one and hasn't vanished."""
        state = self._replicas.get(record.replica_id)
        return state is not None and state.vanished_at is None and state.record == record

    def has_left(self, record: ReplicaRecord) -> bool:
        """Whether the incarnation is known to drain, or its record to have been deleted lately."""
        return self._replicas.has_left(record)

    def put(self, record: ReplicaRecord, now: float, revision: int = 0) -> ReplicaState | None:
        """Apply a new or changed record; return the state of the incarnation that it supersedes.

        A record with an older revision is ignored. A newer one applies whatever start time it
        states; one without a start time belongs to the current incarnation.

        Parameters
        ----------
        revision
            The store's revision of the record.
        """
        return self._replicas.put(record, now, revision)

    def mark_vanished(self, replica_id: str, now: float, revision: int | None = None) -> None:
        """Record that a replica's record was deleted from the store.

        Parameters
        ----------
        revision
            The store's revision of the deletion; ``None``: it was deleted just now.
        """
        self._replicas.mark_vanished(replica_id, now, revision)

    def keep_only(
        self, replica_ids: Container[str], now: float, revision: int | None = None
    ) -> None:
        """Apply a complete listing: replicas that are not in it have vanished."""
        if self._first_listed_at is None:
            self._first_listed_at = now
        for state in self._replicas:
            if state.record.replica_id not in replica_ids:
                self.mark_vanished(state.record.replica_id, now, revision)

    def remove(self, replica_id: str) -> None:
        """Remove a replica at once, without a grace period."""
        state = self._replicas.get(replica_id)
        if state is not None:
            self._replicas.remove(state)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Replace the set of zones whose replicas receive no requests."""
        self._evacuated = zones

    def mark_stale(self, state: ReplicaState, now: float) -> None:
        """Remove a replica whose record is stale: another replica answered at its address."""
        self._stale_found_at = now
        self._replicas.remove(state)

    def found_stale_recently(self, now: float) -> bool:
        """Whether a record was recently found to be stale."""
        return now - self._stale_found_at < self._settings.stale_record_seconds

    def on_outage(self, now: float) -> None:
        """Record that the store is unreachable now."""
        self._last_outage_at = now

    def is_settling(self, now: float) -> bool:
        """Whether records may still be missing after the first listing or a store outage."""
        started_at = self._last_outage_at
        if self._first_listed_at is not None:
            started_at = max(started_at, self._first_listed_at)
        return now - started_at < self._settings.settle_seconds

    def has_candidates(self, service: str, now: float) -> bool:
        """Whether the service has a candidate."""
        return bool(self._candidates(service, now))

    def has_other_candidates(self, service: str, excluded: Container[str], now: float) -> bool:
        """Whether the service has a candidate besides the ``excluded`` incarnations."""
        candidates = self._candidates(service, now)
        return any(state.incarnation not in excluded for state in candidates)

    def has_record(self, service: str) -> bool:
        """Whether the store has a record of a replica of the service."""
        states = self._replicas.get_by_service(service)
        return any(state.vanished_at is None for state in states)

    def zones_of(self, service: str, now: float) -> set[str]:
        """Return the zones of the service's candidates."""
        return {state.record.zone for state in self._candidates(service, now)}

    def by_zone(self, now: float) -> dict[str, list[ReplicaState]]:
        """Return the candidates of all services by zone, sorted by replica id."""
        found: dict[str, list[ReplicaState]] = {}
        for service in self._replicas.services():
            for state in self._candidates(service, now):
                found.setdefault(state.record.zone, []).append(state)
        for states in found.values():
            states.sort(key=lambda state: state.record.replica_id)
        return found

    def services(self) -> set[str]:
        """Return the services that have a replica."""
        return set(self._replicas.services())

    def candidates(self, service: str, now: float) -> list[ReplicaState]:
        """Return the candidates of a service."""
        return self._candidates(service, now)

    def replica_count(self, service: str) -> int:
        """Return the number of replicas of the service, whether they are candidates or not."""
        return len(self._replicas.get_by_service(service))

    def has_restarted_since(self, service: str, moment: float) -> bool:
        """Whether a replica of the service has restarted since a moment."""
        return self._replicas.has_restarted_since(service, moment)

    def remove_expired(self, now: float) -> None:
        """Remove vanished replicas whose grace period has ended."""
        for state in self._replicas:
            if state.vanished_at is not None and not self._is_in_grace_period(state, now):
                self._replicas.remove(state)

    def has_unblocked(self, service: str, now: float) -> bool:
        """Whether the service has a candidate that is not blocked."""
        return any(
            not state.is_blocked(self._settings, now) for state in self._candidates(service, now)
        )

    def unblocked_at(self, service: str, now: float) -> float:
        """Return the earliest end of a candidate's backoff; infinity if there is no candidate.

        Unreachable and silent replicas count by their backoff only.
        """
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
        prefers_reliable: bool = False,
        is_owned: bool = False,
        target: LatencyTarget | None = None,
    ) -> ReplicaState | None:
        """Return the candidate with the lowest cost, or ``None`` if no replica is available.

        Parameters
        ----------
        excluded
            Names of incarnations that must not be returned.
        limit
            Maximum number of requests in flight from this node to a replica.
        with_blocked
            Whether a blocked replica may be returned if all others are blocked or excluded too.
        prefers_reliable
            Whether to prefer reliable replicas over the others.
        is_owned
            Whether this node owns the service on behalf of a group of nodes.
        target
            Latency target of the request; ``None``: replicas are compared by cost factors.
        """
        free = [
            state
            for state in self._candidates(service, now)
            if state.incarnation not in excluded and len(state.in_flight) < limit
        ]
        unblocked = [state for state in free if not state.is_blocked(self._settings, now)]
        if unblocked:
            return self._selector.choose(unblocked, now, prefers_reliable, is_owned, target)
        if free and with_blocked:
            return self._selector.choose(free, now, prefers_reliable, is_owned, target)
        return None

    def _candidates(self, service: str, now: float) -> list[ReplicaState]:
        """Return the candidates of a service; vanished replicas only if there is no other."""
        present: list[ReplicaState] = []
        vanished: list[ReplicaState] = []
        for state in self._replicas.get_by_service(service):
            if state.record.is_draining or state.record.zone in self._evacuated:
                continue
            if state.vanished_at is None:
                present.append(state)
            elif self._is_in_grace_period(state, now):
                vanished.append(state)
        return present or vanished

    def _is_in_grace_period(self, state: ReplicaState, now: float) -> bool:
        assert state.vanished_at is not None
        settings = self._settings
        vanished_near_outage = (
            state.vanished_at - self._last_outage_at < settings.vanished_grace_seconds
        )
        grace = settings.vanished_grace_seconds
        if vanished_near_outage:
            grace = settings.vanished_outage_grace_seconds
        return now - state.vanished_at < grace
