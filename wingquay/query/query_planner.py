"""Plans requests: pins a snapshot version, sends sub-requests, replans, retries missing keys."""

from ..model.answer import MissingReason
from ..model.configuration import Configuration, Service
from ..model.identifiers import ReplicaId, ServiceName
from ..model.key_range import KeyRange
from ..ports.machine import Action, Count, Schedule
from .coordinator_events import SubRequestRetryDue
from .merge import AnswerMerge
from .query_completion import QueryCompletion
from .query_state import PendingSubRequest, QueryState
from .query_table import QueryTable
from .settings import QuerySettings
from .sub_request_sender import SubRequestSender
from .version_table import VersionTable


class QueryPlanner:
    """Plans requests, replans them with another snapshot version, and retries missing keys.

    Parameters
    ----------
    checks_snapshot
        Whether sub-answers of another version than the pinned one are rejected.
    """

    def __init__(
        self,
        settings: QuerySettings,
        table: QueryTable,
        sender: SubRequestSender,
        completion: QueryCompletion,
        checks_snapshot: bool,
    ) -> None:
        self._settings = settings
        self._table = table
        self._sender = sender
        self._completion = completion
        self._checks_snapshot = checks_snapshot
        self.versions = VersionTable()
        """Snapshot versions held by replicas."""
        self.configuration: Configuration | None = None
        """Configuration in force; ``None`` before the first one."""

    def apply(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.configuration = configuration
        self.versions.apply(configuration)

    def start(self, state: QueryState, now: float) -> list[Action]:
        """Pin a snapshot version and send a sub-request to each shard with requested keys."""
        resolved = state.resolved
        snapshot = (
            self.versions.best_version(resolved.service.name) if resolved.repeatable else None
        )
        state.merge = AnswerMerge(state.requested_keys, snapshot, self._checks_snapshot)
        state.plan_number += 1
        return self._send(state, resolved.service, state.requested_keys, 0, now)

    def _send(
        self,
        state: QueryState,
        service: Service,
        key_ranges: tuple[KeyRange, ...],
        retry_number: int,
        now: float,
        avoid: tuple[ReplicaId, ...] = (),
    ) -> list[Action]:
        partition = self._sender.partition(service, key_ranges)
        state.merge.record_missing(partition.unassigned, MissingReason.NO_SHARD)
        if not state.resolved.repeatable and len(partition.assignments) > 1:
            state.reason = "an unrepeatable request must address one shard"
            return self._completion.finish(state, now)
        actions = self._sender.send(state, partition.assignments, now, retry_number, avoid)
        return actions + self._completion.finish_if_done(state, now)

    # Snapshots ---------------------------------------------------------------------------

    def should_replan(self, state: QueryState) -> bool:
        """Return whether the best version is held by more shards than the pinned one."""
        if not state.resolved.repeatable or state.replan_count >= self._settings.most_replans:
            return False
        service: ServiceName = state.resolved.service.name
        pinned = state.merge.pinned_version
        best = self.versions.best_version(service)
        if pinned is None or best == pinned:
            return False
        better = self.versions.shards_holding(service, best)
        return better > self.versions.shards_holding(service, pinned)

    def replan(self, state: QueryState, now: float) -> list[Action]:
        """Restart the whole request with the best version, since versions must not be mixed."""
        state.replan_count += 1
        state.scheduled_retry_count = 0
        dropped = self._table.cancel_pending(state)
        return [Count("wingquay_replans_total"), *dropped, *self.start(state, now)]

    # Missing keys ------------------------------------------------------------------------

    def schedule_retry(
        self,
        state: QueryState,
        pending: PendingSubRequest,
        key_ranges: tuple[KeyRange, ...],
        now: float,
        avoid: tuple[ReplicaId, ...] = (),
    ) -> list[Action]:
        """Schedule a retry for keys without an answer, if the deadline and limits allow it.

        The wait doubles with each retry.
        """
        if pending.retry_number >= self._settings.most_piece_retries:
            return []
        wait = self._settings.piece_retry_seconds * 2.0**pending.retry_number
        if now + wait >= state.answer_at:
            return []
        state.scheduled_retry_count += 1
        due = SubRequestRetryDue(
            request_id=state.request_id,
            plan_number=state.plan_number,
            key_ranges=key_ranges,
            retry_number=pending.retry_number + 1,
            avoid=avoid,
        )
        return [Schedule(now + wait, due)]

    def on_retry_due(self, event: SubRequestRetryDue, now: float) -> list[Action]:
        """Retry keys without an answer, using the configuration now in force."""
        state = self._table.state(event.request_id)
        if state is None or state.plan_number != event.plan_number:
            return []
        state.scheduled_retry_count -= 1
        service = self._current_service(state)
        return self._send(state, service, event.key_ranges, event.retry_number, now, event.avoid)

    def _current_service(self, state: QueryState) -> Service:
        before = state.resolved.service
        if self.configuration is None:
            return before
        return self.configuration.service(before.name) or before
