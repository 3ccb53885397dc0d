"""Keeps an owner's view of its replicas fresh: health pages, reports on answers, beliefs.

Health and load reported by back ends lag or mislead (brief, "What the platform gives"), so they
are hints: they set draining, versions and warmth, and never count as proof that a replica works.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.answer import HeldVersions
from ..model.failure import Failure
from ..model.identifiers import ReplicaId
from ..ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
)
from ..ports.internal import Notify, ReplicaObserved, ReplicaStateChanged
from ..ports.machine import Action
from ..ports.peer import ReplicaState
from ..routing.replica_tracker import ReplicaTracker
from ..routing.settings import RoutingSettings
from .lane_table import LaneTable
from .shard_lane import ShardLane

OBSERVATION_REPEAT_SECONDS = 0.5
"""Evidence that did not change is repeated so often: it counts only while it is fresh."""

PAGE_TRUST_SECONDS = 30.0
"""Time after the last sign that a replica is leaving in which its health page cannot clear it.

A replica that was unreachable meanwhile and then says that it is cold has been started again.
"""


@dataclass(frozen=True, slots=True)
class _Observation:
    state: ReplicaState
    held: HeldVersions | None
    at: float


class HealthProber:
    """Probes owned replicas and turns what is seen of them into observations."""

    def __init__(self, node_id: str, settings: RoutingSettings, lanes: LaneTable) -> None:
        self._node_id = node_id
        self._settings = settings
        self._lanes = lanes
        self._last_observed: dict[str, _Observation] = {}
        self._leaving_at: dict[str, float] = {}
        self._unreachable_since_leaving: set[str] = set()

    def probe_owned(self, owned: Iterable[ShardLane]) -> list[Action]:
        """Read the health pages of the replicas whose shards this node owns."""
        return [self._probe(tracker) for lane in owned for tracker in lane.tracker_list]

    def _probe(self, tracker: ReplicaTracker) -> ProbeReplica:
        replica = tracker.replica
        timeout = self._settings.health_timeout_seconds
        return ProbeReplica(replica.replica_id, replica.host, replica.port, timeout)

    def on_probed(self, event: ReplicaProbed, now: float) -> list[Action]:
        """Take in a health page."""
        if isinstance(event.result, Failure):
            self._unreachable_since_leaving.add(event.replica_id)
            return []
        report = event.result
        held = self._take_report(event.replica_id, report, now, is_on_answer=False)
        if report.draining:
            return self._observe(event.replica_id, ReplicaState.LEAVING, held, now)
        if not self._page_may_clear(event.replica_id, report, now):
            return []
        return self._observe(event.replica_id, ReplicaState.SERVING, held, now)

    def _page_may_clear(self, replica_id: str, report: LoadReport, now: float) -> bool:
        """Whether "serving" on a health page says anything: pages lag behind a drain."""
        leaving_at = self._leaving_at.get(replica_id)
        if leaving_at is None:
            return True
        # A process that went away and comes back cold has forgotten that it was leaving. Either
        # sign alone is not enough: the network may have been cut, the page may be an old one.
        if report.cold and replica_id in self._unreachable_since_leaving:
            return True
        return now - leaving_at >= PAGE_TRUST_SECONDS

    def on_attempt_finished(self, event: AttemptFinished, now: float) -> list[Action]:
        """Take in what an exchange says of its replica."""
        replica_id = event.replica_id
        held: HeldVersions | None = None
        if event.load is not None:
            held = self._take_report(replica_id, event.load, now, is_on_answer=True)
            if event.load.draining:
                return self._observe(replica_id, ReplicaState.LEAVING, held, now)
        state = self._state_after(event)
        if state is None:
            return []
        return self._observe(replica_id, state, held, now)

    def _state_after(self, event: AttemptFinished) -> ReplicaState | None:
        if isinstance(event.result, BackendAnswer):
            return ReplicaState.SERVING
        kind = event.result.kind
        if kind is BackendFailureKind.DRAINING:
            return ReplicaState.LEAVING
        found = self._lanes.tracker(event.replica_id)
        if kind is not BackendFailureKind.CONNECT_FAILED or found is None:
            return None
        refused_often = found[1].failures_in_row + 1 >= self._settings.ejection_failures
        return ReplicaState.GONE if refused_often else None

    def _take_report(
        self, replica_id: str, report: LoadReport, now: float, is_on_answer: bool
    ) -> HeldVersions | None:
        found = self._lanes.tracker(replica_id)
        if found is None:
            return None
        tracker = found[1]
        held = self._held(tracker, report)
        tracker.on_report(report.cold, report.utilization, held, now, is_on_answer)
        return tracker.held

    def _held(self, tracker: ReplicaTracker, report: LoadReport) -> HeldVersions | None:
        if report.oldest_version is None or report.newest_version is None:
            return None
        replica_id = tracker.replica.replica_id
        return HeldVersions(replica_id, report.oldest_version, report.newest_version)

    def _observe(
        self, replica_id: ReplicaId, state: ReplicaState, held: HeldVersions | None, now: float
    ) -> list[Action]:
        if state is ReplicaState.LEAVING:
            self._leaving_at[replica_id] = now
            self._unreachable_since_leaving.discard(replica_id)
        if self._lanes.tracker(replica_id) is None:
            return []
        last = self._last_observed.get(replica_id)
        is_news = last is None or (last.state, last.held) != (state, held)
        if last is not None and not is_news and now - last.at < OBSERVATION_REPEAT_SECONDS:
            return []
        self._last_observed[replica_id] = _Observation(state, held, now)
        return [Notify(ReplicaObserved(replica_id, state, held))]

    def on_belief(self, event: ReplicaStateChanged) -> None:
        """Take in what the membership machine makes of all evidence about a replica."""
        found = self._lanes.tracker(event.replica_id)
        if found is None:
            return
        tracker = found[1]
        tracker.leaving = event.state is not ReplicaState.SERVING
        if event.held is not None and tracker.held is None:
            tracker.held = event.held
