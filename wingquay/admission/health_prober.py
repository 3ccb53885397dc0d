"""Keeps an owner's view of its replicas fresh: health pages, reports on answers, beliefs.

Health and load reported by back ends lag or mislead (brief, "What the platform gives"), so they
are hints: they set draining, versions and warmth, and never count as proof that a replica works.
"""

from wingquay.admission.lane_table import LaneTable
from wingquay.model.answer import HeldVersions
from wingquay.model.failure import Failure
from wingquay.ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
)
from wingquay.ports.internal import Notify, ReplicaBelief, ReplicaObserved
from wingquay.ports.machine import Action
from wingquay.ports.peer import ReplicaState
from wingquay.routing.ownership import OwnerTable
from wingquay.routing.replica_tracker import ReplicaTracker
from wingquay.routing.settings import RoutingSettings


class HealthProber:
    """Probes owned replicas and turns what is seen of them into observations."""

    def __init__(self, node_id: str, settings: RoutingSettings, lanes: LaneTable) -> None:
        self._node_id = node_id
        self._settings = settings
        self._lanes = lanes
        self._last_observed: dict[str, tuple[ReplicaState, HeldVersions | None]] = {}

    def probe_owned(self, owners: OwnerTable) -> list[Action]:
        """Read the health pages of the replicas whose shards this node owns."""
        return [
            self._probe(tracker)
            for lane in self._lanes
            if self._owns(owners, lane.shard.shard_id)
            for tracker in lane.trackers.values()
        ]

    def _owns(self, owners: OwnerTable, shard_id: str) -> bool:
        return any(node.node_id == self._node_id for node in owners.owners_of(shard_id))

    def _probe(self, tracker: ReplicaTracker) -> ProbeReplica:
        replica = tracker.replica
        timeout = self._settings.health_timeout_seconds
        return ProbeReplica(replica.replica_id, replica.host, replica.port, timeout)

    def on_probed(self, event: ReplicaProbed, now: float) -> list[Action]:
        """Take in a health page."""
        if isinstance(event.result, Failure):
            return []
        return self._on_report(event.replica_id, event.result, now, is_on_answer=False)

    def on_attempt_finished(self, event: AttemptFinished, now: float) -> list[Action]:
        """Take in what an answer says of its replica."""
        actions: list[Action] = []
        if event.load is not None:
            actions += self._on_report(event.replica_id, event.load, now, is_on_answer=True)
        if isinstance(event.result, BackendAnswer):
            return actions
        state = self._state_after(event.replica_id, event.result.kind)
        if state is not None:
            actions += self._observe(event.replica_id, state, None)
        return actions

    def _state_after(self, replica_id: str, kind: BackendFailureKind) -> ReplicaState | None:
        if kind is BackendFailureKind.DRAINING:
            return ReplicaState.LEAVING
        found = self._lanes.tracker(replica_id)
        if kind is not BackendFailureKind.CONNECT_FAILED or found is None:
            return None
        refused_often = found[1].failures_in_row >= self._settings.ejection_failures
        return ReplicaState.GONE if refused_often else None

    def _on_report(
        self, replica_id: str, report: LoadReport, now: float, is_on_answer: bool
    ) -> list[Action]:
        found = self._lanes.tracker(replica_id)
        if found is None:
            return []
        tracker = found[1]
        held = self._held(tracker, report)
        tracker.on_report(report.cold, report.utilization, held, now, is_on_answer)
        state = ReplicaState.LEAVING if report.draining else ReplicaState.SERVING
        return self._observe(tracker.replica.replica_id, state, tracker.held)

    def _held(self, tracker: ReplicaTracker, report: LoadReport) -> HeldVersions | None:
        if report.oldest_version is None or report.newest_version is None:
            return None
        replica_id = tracker.replica.replica_id
        return HeldVersions(replica_id, report.oldest_version, report.newest_version)

    def _observe(
        self, replica_id: str, state: ReplicaState, held: HeldVersions | None
    ) -> list[Action]:
        observed = (state, held)
        if self._last_observed.get(replica_id) == observed:
            return []
        self._last_observed[replica_id] = observed
        found = self._lanes.tracker(replica_id)
        if found is None:
            return []
        return [Notify(ReplicaObserved(found[1].replica.replica_id, state, held))]

    def on_belief(self, event: ReplicaBelief) -> None:
        """Take in what the membership machine makes of all evidence about a replica."""
        found = self._lanes.tracker(event.replica_id)
        if found is None:
            return
        tracker = found[1]
        tracker.leaving = event.state is not ReplicaState.SERVING
        if event.held is not None and tracker.held is None:
            tracker.held = event.held
