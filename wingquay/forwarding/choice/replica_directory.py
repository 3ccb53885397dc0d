"""All replicas by service, and the choice of the one that a request is sent to."""

import random
from collections.abc import Container, Iterable

from ...model.replica_record import ReplicaRecord
from ..settings import ChoiceWay, ForwardingSettings
from .completion import Task, expected_seconds
from .prospects import prospect_of
from .replica_state import ReplicaState
from .replica_trials import ReplicaTrials


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
        self._random = random_source
        self._states: dict[str, ReplicaState] = {}
        self._trials = ReplicaTrials(settings)
        self._by_service: dict[str, dict[str, ReplicaState]] = {}
        self._renewed_at: dict[str, float] = {}
        """When a replica of a service last started again under its id."""
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
        return len(self._states)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of a replica."""
        return self._states.get(replica_id)

    def of_life(self, life: str) -> ReplicaState | None:
        """Return the state of a life of a replica; ``None``: it is not known, or over."""
        state = self._states.get(life.partition(" ")[0])
        return state if state is not None and state.life == life else None

    def holds(self, record: ReplicaRecord) -> bool:
        """Whether just this is known of a replica, and its record is there."""
        state = self._states.get(record.replica_id)
        return state is not None and state.vanished_at is None and state.record == record

    def put(self, record: ReplicaRecord, now: float, revision: int = 0) -> ReplicaState | None:
        """Take in a record, new or changed; return the life that is over by it.

        The store orders the records of a replica: one that is older than what is known is passed
        over, and a later one holds whenever it says that its life began.

        Parameters
        ----------
        revision
            The store's revision of the record.
        """
        state = self._states.get(record.replica_id)
        if state is None:
            self._begin(record, now, revision)
            return None
        if revision < state.revision:
            return None
        if state.life != record.life:
            self.remove(record.replica_id)
            state.is_over = True
            self._renewed_at[state.record.service] = now
            self._begin(record, now, revision)
            return state
        if state.record.service != record.service:
            self._take_out(state)
            self._by_service.setdefault(record.service, {})[record.replica_id] = state
        if state.record.cold_seconds != record.cold_seconds:
            state.recorded_at = now
        state.record = record
        state.revision = revision
        state.vanished_at = None
        return None

    def _begin(self, record: ReplicaRecord, now: float, revision: int) -> None:
        state = ReplicaState(record, now, revision)
        self._states[record.replica_id] = state
        self._by_service.setdefault(record.service, {})[record.replica_id] = state

    def vanish(self, replica_id: str, now: float, revision: int | None = None) -> None:
        """Take in that a record is gone.

        Parameters
        ----------
        revision
            The store's revision by which it was; ``None``: it is gone now.
        """
        state = self._states.get(replica_id)
        if state is None or (revision is not None and revision < state.revision):
            return
        state.revision = state.revision if revision is None else revision
        if state.vanished_at is None:
            state.vanished_at = now

    def keep_only(
        self, replica_ids: Container[str], now: float, revision: int | None = None
    ) -> None:
        """Take in a whole listing: what is not in it has vanished."""
        if self._listed_at is None:
            self._listed_at = now
        for replica_id in self._states:
            if replica_id not in replica_ids:
                self.vanish(replica_id, now, revision)

    def remove(self, replica_id: str) -> None:
        """Forget a replica that certainly is gone."""
        state = self._states.pop(replica_id, None)
        if state is not None:
            self._take_out(state)

    def _take_out(self, state: ReplicaState) -> None:
        service = state.record.service
        del self._by_service[service][state.record.replica_id]
        if not self._by_service[service]:
            del self._by_service[service]
            self._renewed_at.pop(service, None)

    def evacuate(self, zones: frozenset[str]) -> None:
        """Take in the zones whose replicas must get nothing, until they are taken back."""
        self._evacuated = zones

    def contradict(self, state: ReplicaState, now: float) -> None:
        """Take in that another replica answers at a replica's address: its record is old."""
        self._contradicted_at = now
        if self._states.get(state.record.replica_id) is state:
            self.remove(state.record.replica_id)

    def is_contradicted(self, now: float) -> bool:
        """Whether a replica has just shown that records are old."""
        return now - self._contradicted_at < self._settings.contradiction_seconds

    def note_outage(self, now: float) -> None:
        """Take in that the directory is out of reach now."""
        self._outage_ended_at = now

    def is_settling(self, now: float) -> bool:
        """Whether records may be missing that come back by themselves."""
        begun_at = self._outage_ended_at
        if self._listed_at is not None:
            begun_at = max(begun_at, self._listed_at)
        return now - begun_at < self._settings.settle_seconds

    def has_any(self, service: str, now: float) -> bool:
        """Whether the service has a replica that may get work."""
        return bool(self._candidates(service, now))

    def has_other(self, service: str, excluded: Container[str], now: float) -> bool:
        """Whether the service has a replica that may get work; ``excluded`` are lives."""
        candidates = self._candidates(service, now)
        return any(state.life not in excluded for state in candidates)

    def has_present(self, service: str) -> bool:
        """Whether a record of a replica of the service is there."""
        states = self._by_service.get(service, {}).values()
        return any(state.vanished_at is None for state in states)

    def zones_of(self, service: str, now: float) -> set[str]:
        """Return the zones that hold a replica of the service that may get work."""
        return {state.record.zone for state in self._candidates(service, now)}

    def by_zone(self, now: float) -> dict[str, list[ReplicaState]]:
        """Return the replicas that may get work by zone, in the order of their ids."""
        found: dict[str, list[ReplicaState]] = {}
        for service in self._by_service:
            for state in self._candidates(service, now):
                found.setdefault(state.record.zone, []).append(state)
        for states in found.values():
            states.sort(key=lambda state: state.record.replica_id)
        return found

    def services(self) -> set[str]:
        """Return the services of which a replica is known."""
        return set(self._by_service)

    def usable(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas of a service that may get work."""
        return self._candidates(service, now)

    def replicas_of(self, service: str) -> int:
        """Return how many replicas of the service are known, whether they may get work or not."""
        return len(self._by_service.get(service, {}))

    def is_renewed_since(self, service: str, moment: float) -> bool:
        """Whether a replica of the service has started again since a moment."""
        return self._renewed_at.get(service, float("-inf")) >= moment

    def forget_vanished(self, now: float) -> None:
        """Forget the replicas whose time of grace is over."""
        for state in list(self._states.values()):
            if state.vanished_at is not None and not self._has_grace(state, now):
                self.remove(state.record.replica_id)

    def has_usable(self, service: str, now: float) -> bool:
        """Whether a replica of the service may be asked and was not just out of reach."""
        return any(
            not state.is_blocked(self._settings, now) for state in self._candidates(service, now)
        )

    def usable_at(self, service: str, now: float) -> float:
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
            if state.life not in excluded and len(state.in_flight) < limit
        ]
        unblocked = [state for state in free if not state.is_blocked(self._settings, now)]
        if unblocked:
            return self._best(unblocked, now, prefers_proven, is_owned, task)
        if free and with_blocked:
            return self._best(free, now, prefers_proven, is_owned, task)
        return None

    def _best(
        self,
        states: Iterable[ReplicaState],
        now: float,
        prefers_proven: bool,
        is_owned: bool,
        task: Task | None,
    ) -> ReplicaState:
        zone = self._settings.zone
        by_completion = self._settings.choice_way is ChoiceWay.COMPLETION

        def rank(state: ReplicaState) -> tuple[float, float]:
            may_try = self._trials.is_allowed(state, now)
            if task is not None and by_completion:
                prospect = prospect_of(state, now, zone, prefers_proven, may_try)
                return expected_seconds(task, prospect, is_owned), self._random.random()
            cost = state.cost(now, zone, prefers_proven, is_owned, may_try)
            return cost, self._random.random()

        best = min(states, key=rank)
        self._trials.chosen(best, now)
        return best

    def _candidates(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas that may get work; vanished ones only if no other is left."""
        present: list[ReplicaState] = []
        vanished: list[ReplicaState] = []
        for state in self._by_service.get(service, {}).values():
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
