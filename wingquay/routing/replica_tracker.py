"""State that an owner keeps of one replica, and the limits derived from it."""

import math
from dataclasses import dataclass, field

from ..model.answer import HeldVersions
from ..model.configuration import Replica
from ..model.identifiers import SnapshotVersion
from .settings import RoutingSettings

INITIAL_LATENCY_SECONDS = 0.005
ANSWER_TRUST_SECONDS = 2.0
"""Time for which versions reported with an answer take precedence over the health page, which
lags."""

SHED_DECREASE_FACTOR = 0.7
SHED_RECOVERY_ANSWERS = 10
"""Number of answers after which a limit that was lowered by shedding grows by one."""


@dataclass(slots=True)
class ReplicaTracker:
    """Latency, failures and limits of a replica.

    Versions reported with an answer take precedence over those of the health page.
    """

    replica: Replica
    settings: RoutingSettings
    owner_count: int = 1
    in_flight: int = 0
    latency_seconds: float = INITIAL_LATENCY_SECONDS
    failures_in_row: int = 0
    lost_races_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until: float = 0.0
    leaving: bool = False
    cold_since: float | None = None
    reported_cold: bool = False
    reported_utilization: float | None = None
    connection_limit: int = field(init=False, default=1)
    """Maximum number of connections from this owner to the replica."""
    full_limit: int = field(init=False, default=1)
    """Maximum number of sub-requests in flight when the replica is warm and healthy."""
    held: HeldVersions | None = None
    held_at: float = -ANSWER_TRUST_SECONDS
    _limit_reduction: float = field(default=0.0)
    _answers_since_shed: int = 0

    def __post_init__(self) -> None:
        """Compute the limits."""
        self.set_replica(self.replica)

    def set_replica(self, replica: Replica) -> None:
        """Apply a changed configuration of the replica."""
        self.replica = replica
        self.connection_limit = max(1, replica.connection_limit // self.owner_count)
        share = replica.slots * self.settings.in_flight_per_slot / self.owner_count
        self.full_limit = max(1, min(math.ceil(share), self.connection_limit))

    def limit(self, now: float, slow_start: bool = True) -> int:
        """Return the current maximum number of sub-requests in flight.

        Also ends the slow start when its time is over and the replica no longer reports as cold.
        """
        if self.cold_since is None and not self._limit_reduction and not self.failures_in_row:
            return self.full_limit
        limit: float = self.full_limit - self._limit_reduction
        if slow_start and self.cold_since is not None:
            limit *= self._warm_share(now)
        if self.failures_in_row >= self.settings.ejection_failures:
            limit = 1
        return max(1, math.floor(limit))

    def _warm_share(self, now: float) -> float:
        if self.cold_since is None:
            return 1.0
        initial = self.settings.slow_start_initial_share
        elapsed_share = (now - self.cold_since) / self.settings.slow_start_seconds
        if elapsed_share >= 1.0 and not self.reported_cold:
            self.cold_since = None
        return min(1.0, initial + (1.0 - initial) * elapsed_share)

    def is_ejected(self, now: float) -> bool:
        """Whether the replica is ejected because of failures."""
        return now < self.ejected_until

    def lacks_snapshot(self, snapshot: SnapshotVersion | None) -> bool:
        """Whether the replica reported versions that exclude ``snapshot``."""
        if snapshot is None or self.held is None:
            return False
        return not self.held.oldest <= snapshot <= self.held.newest

    def on_answer(self, latency_seconds: float) -> None:
        """Record a complete answer."""
        weight = self.settings.latency_weight
        self.latency_seconds += weight * (latency_seconds - self.latency_seconds)
        self.failures_in_row = 0
        self.lost_races_in_row = 0
        self.ejections_in_row = 0
        self._recover_limit()

    def _recover_limit(self) -> None:
        if self._limit_reduction <= 0.0:
            return
        self._answers_since_shed += 1
        if self._answers_since_shed >= SHED_RECOVERY_ANSWERS:
            self._answers_since_shed = 0
            self._limit_reduction = max(0.0, self._limit_reduction - 1.0)

    def on_shed(self) -> None:
        """Record a refusal because of overload, which lowers the limit until answers follow."""
        limit = self.full_limit - self._limit_reduction
        self._limit_reduction = min(
            self.full_limit - 1.0, self.full_limit - limit * SHED_DECREASE_FACTOR
        )
        self._answers_since_shed = 0

    def on_failure(self, now: float) -> None:
        """Record a failure; consecutive ones eject the replica, for longer each time."""
        self.failures_in_row += 1
        if self.failures_in_row >= self.settings.ejection_failures:
            self._eject(now)

    def on_lost_race(self, now: float) -> None:
        """Record that a hedge, sent later than the attempt at this replica, was answered first."""
        self.lost_races_in_row += 1
        if self.lost_races_in_row >= self.settings.ejection_lost_races:
            self.lost_races_in_row = 0
            self.failures_in_row = max(self.failures_in_row, self.settings.ejection_failures)
            self._eject(now)

    def _eject(self, now: float) -> None:
        duration = self.settings.ejection_base_seconds * 2.0**self.ejections_in_row
        self.ejected_until = now + min(duration, self.settings.ejection_max_seconds)
        self.ejections_in_row = min(self.ejections_in_row + 1, 10)

    def on_report(
        self,
        cold: bool,
        utilization: float | None,
        held: HeldVersions | None,
        now: float,
        is_on_answer: bool,
    ) -> None:
        """Record what the replica reports with an answer or on its health page.

        Parameters
        ----------
        cold
            Whether the replica reports that it is cold.
        utilization
            Utilization of the replica; ``None``: not reported.
        held
            Snapshot versions that it holds; ``None``: not reported.
        is_on_answer
            Whether the report came with an answer; otherwise it is from the health page.
        """
        if cold and not self.reported_cold and self.cold_since is None:
            self.cold_since = now
        self.reported_cold = cold
        self.reported_utilization = utilization
        if held is not None and (is_on_answer or now - self.held_at >= ANSWER_TRUST_SECONDS):
            self.held = held
            self.held_at = now if is_on_answer else self.held_at
