"""Derives the state of an owner's replicas from attempts, health pages and membership.

A replica that reports ``draining`` is in the state LEAVING. Reported health and load can be stale
or wrong. They set whether a replica is leaving or cold and which versions it holds, but are never
proof that it works.
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
from .shard_state import ShardState
from .shard_table import ShardTable

OBSERVATION_REPEAT_INTERVAL_SECONDS = 0.5
"""Interval after which an unchanged observation is sent again, because observations expire."""

LEAVING_HOLD_PERIOD_SECONDS = 30.0
"""Time after the last sign of leaving in which a health page alone does not clear that state.

A replica that was unreachable in between and then reports being cold has restarted, so its page
clears the state at once.
"""


@dataclass(frozen=True, slots=True)
class _Observation:
    state: ReplicaState
    held: HeldVersions | None
    at: float


class ReplicaObserver:
    """Probes replicas and reports their observed states to the membership machine."""

    def __init__(self, node_id: str, settings: RoutingSettings, shards: ShardTable) -> None:
        self._node_id = node_id
        self._settings = settings
        self._shards = shards
        self._last_observed: dict[str, _Observation] = {}
        self._leaving_at: dict[str, float] = {}
        self._unreachable_since_leaving: set[str] = set()

    def probe_owned(self, owned: Iterable[ShardState]) -> list[Action]:
        """Read the health pages of all replicas of the owned shards."""
        return [
            self._probe(tracker) for shard_state in owned for tracker in shard_state.tracker_list
        ]

    def _probe(self, tracker: ReplicaTracker) -> ProbeReplica:
        replica = tracker.replica
        timeout = self._settings.health_timeout_seconds
        return ProbeReplica(replica.replica_id, replica.host, replica.port, timeout)

    def on_probed(self, event: ReplicaProbed, now: float) -> list[Action]:
        """Handle a health page or the failure to read it."""
        if isinstance(event.result, Failure):
            self._unreachable_since_leaving.add(event.replica_id)
            return []
        report = event.result
        held = self._apply_report(event.replica_id, report, now, from_attempt=False)
        if report.draining:
            return self._report_state(event.replica_id, ReplicaState.LEAVING, held, now)
        if not self._may_clear_leaving(event.replica_id, report, now):
            return []
        return self._report_state(event.replica_id, ReplicaState.SERVING, held, now)

    def _may_clear_leaving(self, replica_id: str, report: LoadReport, now: float) -> bool:
        """Return whether a health page may clear the leaving state; it may be out of date."""
        leaving_at = self._leaving_at.get(replica_id)
        if leaving_at is None:
            return True
        # A process that was unreachable and is cold has restarted. Either sign alone is not
        # enough: the network may have been partitioned, or the page may be stale.
        if report.cold and replica_id in self._unreachable_since_leaving:
            return True
        return now - leaving_at >= LEAVING_HOLD_PERIOD_SECONDS

    def on_attempt_finished(self, event: AttemptFinished, now: float) -> list[Action]:
        """Update the state of a replica from a finished attempt."""
        replica_id = event.replica_id
        held: HeldVersions | None = None
        if event.load is not None:
            held = self._apply_report(replica_id, event.load, now, from_attempt=True)
            if event.load.draining:
                return self._report_state(replica_id, ReplicaState.LEAVING, held, now)
        state = self._state_after(event)
        if state is None:
            return []
        return self._report_state(replica_id, state, held, now)

    def _state_after(self, event: AttemptFinished) -> ReplicaState | None:
        if isinstance(event.result, BackendAnswer):
            return ReplicaState.SERVING
        kind = event.result.kind
        if kind is BackendFailureKind.DRAINING:
            return ReplicaState.LEAVING
        found = self._shards.find_replica(event.replica_id)
        if kind is not BackendFailureKind.CONNECT_FAILED or found is None:
            return None
        # Adds 1 for this failure: the dispatcher counts it after this method.
        is_gone = found[1].failures_in_row + 1 >= self._settings.ejection_failures
        return ReplicaState.GONE if is_gone else None

    def _apply_report(
        self, replica_id: str, report: LoadReport, now: float, from_attempt: bool
    ) -> HeldVersions | None:
        found = self._shards.find_replica(replica_id)
        if found is None:
            return None
        tracker = found[1]
        held = self._held_versions(tracker, report)
        tracker.on_report(report.cold, report.utilization, held, now, from_attempt)
        return tracker.held

    def _held_versions(self, tracker: ReplicaTracker, report: LoadReport) -> HeldVersions | None:
        if report.oldest_version is None or report.newest_version is None:
            return None
        replica_id = tracker.replica.replica_id
        return HeldVersions(replica_id, report.oldest_version, report.newest_version)

    def _report_state(
        self, replica_id: ReplicaId, state: ReplicaState, held: HeldVersions | None, now: float
    ) -> list[Action]:
        if state is ReplicaState.LEAVING:
            self._leaving_at[replica_id] = now
            self._unreachable_since_leaving.discard(replica_id)
        if self._shards.find_replica(replica_id) is None:
            return []
        last = self._last_observed.get(replica_id)
        has_changed = last is None or (last.state, last.held) != (state, held)
        if (
            last is not None
            and not has_changed
            and now - last.at < OBSERVATION_REPEAT_INTERVAL_SECONDS
        ):
            return []
        self._last_observed[replica_id] = _Observation(state, held, now)
        return [Notify(ReplicaObserved(replica_id, state, held))]

    def on_replica_state_changed(self, event: ReplicaStateChanged) -> None:
        """Apply the replica state that the membership machine derived from all evidence."""
        found = self._shards.find_replica(event.replica_id)
        if found is None:
            return
        tracker = found[1]
        tracker.leaving = event.state is not ReplicaState.SERVING
        if event.held is not None and tracker.held is None:
            tracker.held = event.held
