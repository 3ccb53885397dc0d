"""The coordinator: takes requests from callers, plans them, merges sub-results, answers.

Free of I/O; see ``ports/machine.py``. Sub-requests travel to the owners of their shards as
``SubRequestBatch`` messages, to this node's own owner machine in the same way.
"""

from typing import ClassVar

from wingquay.model.answer import (
    Answer,
    MissingReason,
    Outcome,
    SubAnswer,
    SubFailureKind,
    SubResult,
)
from wingquay.model.configuration import Configuration, CoveragePreference, Service
from wingquay.model.failure import Failure
from wingquay.model.identifiers import NodeId, RequestId, SubRequestId
from wingquay.model.key_range import KeyRange
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.caller import AnswerCaller, CallerGone, CallerRequest
from wingquay.ports.internal import (
    ClaimDecided,
    ClaimDecisionKind,
    ClaimFinished,
    ClaimWanted,
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
    Notify,
    ReplicaBelief,
)
from wingquay.ports.machine import Action, Count, Event, Observe, Schedule
from wingquay.ports.peer import (
    CancelSubRequests,
    NodeIdentity,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
    ReplicaState,
    SendToPeer,
    SubResultBatch,
)
from wingquay.query.answer_codec import decode_answer, encode_answer
from wingquay.query.conclusion import conclude, invalid, refusal, unknown
from wingquay.query.coordinator_events import (
    AnswerDue,
    OwnerCheckDue,
    PieceRetryDue,
    PromiseDue,
)
from wingquay.query.delay_table import DelayTable
from wingquay.query.kind_statistics import KindStatistics
from wingquay.query.merge import AnswerMerge
from wingquay.query.owner_links import OwnerLinks
from wingquay.query.piece_sender import PieceSender
from wingquay.query.query_state import Piece, QueryState, ResolvedRequest
from wingquay.query.request_check import QueryFailureKind, resolve
from wingquay.query.settings import QuerySettings
from wingquay.query.version_table import VersionTable

_MISSING_REASONS = {
    SubFailureKind.REFUSED: MissingReason.OVERLOADED,
    SubFailureKind.NO_REPLICA: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_HELD: MissingReason.SNAPSHOT_UNAVAILABLE,
    SubFailureKind.DEADLINE: MissingReason.DEADLINE,
    SubFailureKind.BACKEND_ERROR: MissingReason.BACKEND_ERROR,
    SubFailureKind.OWNER_LEAVING: MissingReason.NO_REPLICA,
    SubFailureKind.NOT_OWNED: MissingReason.NO_SHARD,
}

_RETRIED_KINDS = frozenset(
    {SubFailureKind.NO_REPLICA, SubFailureKind.BACKEND_ERROR, SubFailureKind.NOT_OWNED}
)
"""Failures after which missing keys are asked for again while the deadline allows."""


class Coordinator:
    """Answers callers' requests.

    Parameters
    ----------
    links
        Chooses owners.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        CallerRequest,
        CallerGone,
        ClaimDecided,
        ConfigurationInForce,
        MembershipChanged,
        ReplicaBelief,
        LeavingStarted,
        PeerLinkBroken,
        AnswerDue,
        PromiseDue,
        PieceRetryDue,
        OwnerCheckDue,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (SubResultBatch,)

    def __init__(
        self,
        identity: NodeIdentity,
        settings: QuerySettings,
        links: OwnerLinks,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._links = links
        self._disabled = disabled
        self._configuration: Configuration | None = None
        self._versions = VersionTable()
        self._delays = DelayTable()
        self._states: dict[RequestId, QueryState] = {}
        self._state_of: dict[SubRequestId, QueryState] = {}
        self._sender = PieceSender(links, self._state_of)
        self._refuses_from: float | None = None
        self.kind_statistics = KindStatistics()
        """Rates and latencies of what was answered lately."""
        self._check_scheduled = False

    @property
    def in_flight(self) -> int:
        """Requests that wait for their answer."""
        return len(self._states)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event."""
        match event:
            case PeerReceived():
                return self._on_peer(event, now)
            case CallerRequest():
                return self._on_request(event, now)
            case AnswerDue():
                state = self._states.get(event.request_id)
                return [] if state is None else self._finish(state, now)
            case PromiseDue():
                return self._on_promise_due(event, now)
            case PieceRetryDue():
                return self._on_piece_retry(event, now)
            case OwnerCheckDue():
                return self._on_owner_check(now)
            case _:
                return self._on_rare(event, now)

    def _on_rare(self, event: Event, now: float) -> list[Action]:
        match event:
            case CallerGone():
                return self._on_caller_gone(event, now)
            case ClaimDecided():
                return self._on_claim_decided(event, now)
            case ConfigurationInForce():
                self._configuration = event.configuration
                self._versions.apply(event.configuration)
            case MembershipChanged():
                self._links.on_membership(event)
                return self._fail_over_departed(event, now)
            case ReplicaBelief():
                self._on_replica_belief(event)
            case LeavingStarted():
                self._refuses_from = now + self._settings.stop_linger_seconds
            case PeerLinkBroken():
                return self._fail_over(event.node_id, now)
        return []

    # Arrival -----------------------------------------------------------------------------

    def _on_request(self, event: CallerRequest, now: float) -> list[Action]:
        request = event.request
        resolved = resolve(request, self._configuration)
        if isinstance(resolved, Failure):
            return [self._answer_failure(request.request_id, resolved)]
        refused = self._refusal(resolved, now)
        if refused is not None:
            return [self._answer_failure(request.request_id, refused)]
        state = self._new_state(resolved, now)
        self._states[request.request_id] = state
        actions: list[Action] = [Schedule(state.answer_at, AnswerDue(request.request_id))]
        if not resolved.repeatable:
            state.awaits_claim = True
            wanted = ClaimWanted(request, state.remaining_seconds(now))
            return [*actions, Notify(wanted)]
        if resolved.coverage_preference is CoveragePreference.LATENCY_FIRST:
            promise_at = now + resolved.priority_class.promise_seconds
            if promise_at < state.answer_at:
                actions.append(Schedule(promise_at, PromiseDue(request.request_id)))
        return actions + self._run(state, now)

    def _new_state(self, resolved: ResolvedRequest, now: float) -> QueryState:
        deadline = resolved.deadline_seconds
        margin = min(self._settings.answer_margin_seconds, deadline * 0.1)
        merge = AnswerMerge(resolved.request.key_ranges, None)
        return QueryState(resolved, now, now + deadline - margin, merge)

    def _refusal(self, resolved: ResolvedRequest, now: float) -> Failure[QueryFailureKind] | None:
        if self._refuses_from is not None and now >= self._refuses_from:
            return Failure(QueryFailureKind.LEAVING, "this node is stopping; ask another")
        if Mechanism.EARLY_REFUSAL in self._disabled:
            return None
        wait = self._expected_wait(resolved, now)
        promise = resolved.priority_class.promise_seconds * self._settings.promise_share
        limit = min(promise, resolved.deadline_seconds)
        if wait <= limit:
            return None
        reason = f"would wait {wait:.3f} s for a slot, {limit:.3f} s are allowed"
        return Failure(QueryFailureKind.OVERLOADED, reason)

    def _expected_wait(self, resolved: ResolvedRequest, now: float) -> float:
        class_name = resolved.priority_class.name
        pieces = self._sender.plan(resolved.service, resolved.request.key_ranges).pieces
        return max(
            (
                self._delays.expected_seconds(piece.shard.shard_id, class_name, now)
                for piece in pieces
            ),
            default=0.0,
        )

    def _answer_failure(
        self, request_id: RequestId, failure: Failure[QueryFailureKind]
    ) -> AnswerCaller:
        if failure.kind is QueryFailureKind.INVALID:
            return AnswerCaller(invalid(request_id, failure.reason))
        retry_after = self._settings.retry_after_seconds
        return AnswerCaller(refusal(request_id, failure.reason, retry_after))

    # Planning ----------------------------------------------------------------------------

    def _run(self, state: QueryState, now: float) -> list[Action]:
        """Pin a snapshot and send out a sub-request for each shard."""
        resolved = state.resolved
        snapshot = self._versions.best(resolved.service.name) if resolved.repeatable else None
        checks_snapshot = Mechanism.SNAPSHOT_PINNING not in self._disabled
        state.merge = AnswerMerge(state.wanted, snapshot, checks_snapshot)
        state.generation += 1
        plan = self._sender.plan(resolved.service, state.wanted)
        state.merge.note_missing(plan.unassigned, MissingReason.NO_SHARD)
        if not resolved.repeatable and len(plan.pieces) > 1:
            state.reason = "an unrepeatable request must address one shard"
            return self._finish(state, now)
        actions = self._sender.send(state, plan.pieces, now)
        return actions + self._settle(state, now) + self._schedule_check(now)

    def _settle(self, state: QueryState, now: float) -> list[Action]:
        """Answer if nothing is awaited any more."""
        if state.outstanding or state.waiting_retries:
            return []
        return self._finish(state, now)

    # Sub-results -------------------------------------------------------------------------

    def _on_peer(self, event: PeerReceived, now: float) -> list[Action]:
        if not isinstance(event.message, SubResultBatch):
            return []
        self._links.on_heard(event.sender.node_id, now)
        actions: list[Action] = []
        for result in event.message.results:
            actions += self._on_result(result, now)
        return actions

    def _on_result(self, result: SubResult, now: float) -> list[Action]:
        for held in result.held:
            self._versions.learn(held)
        state = self._state_of.get(result.sub_request_id)
        if state is None:
            return [Count("wingquay_late_sub_results_total")]
        piece = state.outstanding.get(result.sub_request_id)
        if piece is None:
            piece = state.answered[result.sub_request_id]
        class_name = state.resolved.priority_class.name
        self._delays.learn(result.shard_id, class_name, result.class_delay_seconds, now)
        state.attempts += result.attempts
        state.may_have_run = state.may_have_run or result.may_have_run
        state.learn_timing(result.queue_seconds, result.service_seconds)
        self._forget_piece(state, piece)
        if Mechanism.DUPLICATE_RESULT_FILTER in self._disabled:
            state.answered[result.sub_request_id] = piece
            self._state_of[result.sub_request_id] = state
        if isinstance(result.result, SubAnswer):
            actions = self._on_sub_answer(state, piece, result, result.result, now)
        else:
            actions = self._on_sub_failure(state, piece, result.result, now)
        if state.resolved.request.request_id not in self._states:
            return actions
        if state.answers_on_first and state.merge.covered:
            return actions + self._finish(state, now)
        return actions + self._settle(state, now)

    def _on_sub_answer(
        self,
        state: QueryState,
        piece: Piece,
        result: SubResult,
        answer: SubAnswer,
        now: float,
    ) -> list[Action]:
        leftover = state.merge.add(piece.sub_request.key_ranges, answer)
        if not leftover:
            return []
        if answer.snapshot != state.merge.snapshot:
            state.merge.note_missing(leftover, MissingReason.SNAPSHOT_UNAVAILABLE)
        else:
            state.merge.note_missing(leftover, MissingReason.NO_SHARD)
        if not state.resolved.repeatable:
            return []
        return self._retry_later(state, piece, leftover, now)

    def _on_sub_failure(
        self,
        state: QueryState,
        piece: Piece,
        failure: Failure[SubFailureKind],
        now: float,
    ) -> list[Action]:
        key_ranges = piece.sub_request.key_ranges
        state.reason = failure.reason
        state.merge.note_missing(key_ranges, _MISSING_REASONS[failure.kind])
        if failure.kind is SubFailureKind.NOT_HELD and self._should_replan(state):
            return self._replan(state, now)
        if failure.kind is SubFailureKind.OWNER_LEAVING:
            return self._sender.resend(state, piece, now)
        full_coverage = state.resolved.coverage_preference is CoveragePreference.FULL_COVERAGE
        if failure.kind in _RETRIED_KINDS and full_coverage and self._may_ask_again(state):
            return self._retry_later(state, piece, key_ranges, now)
        return []

    def _may_ask_again(self, state: QueryState) -> bool:
        return state.resolved.repeatable or not state.may_have_run

    def _retry_later(
        self,
        state: QueryState,
        piece: Piece,
        key_ranges: tuple[KeyRange, ...],
        now: float,
    ) -> list[Action]:
        if piece.retries >= self._settings.most_piece_retries:
            return []
        wait = self._settings.piece_retry_seconds * 2.0**piece.retries
        if now + wait >= state.answer_at:
            return []
        state.waiting_retries += 1
        due = PieceRetryDue(
            request_id=state.resolved.request.request_id,
            generation=state.generation,
            service=state.resolved.service.name,
            key_ranges=key_ranges,
            retries=piece.retries + 1,
        )
        return [Schedule(now + wait, due)]

    def _on_piece_retry(self, event: PieceRetryDue, now: float) -> list[Action]:
        state = self._states.get(event.request_id)
        if state is None or state.generation != event.generation:
            return []
        state.waiting_retries -= 1
        service = self._current_service(state)
        plan = self._sender.plan(service, event.key_ranges)
        state.merge.note_missing(plan.unassigned, MissingReason.NO_SHARD)
        if not state.resolved.repeatable and len(plan.pieces) > 1:
            return self._finish(state, now)
        actions = self._sender.send(state, plan.pieces, now, event.retries)
        return actions + self._settle(state, now) + self._schedule_check(now)

    def _current_service(self, state: QueryState) -> Service:
        """Return the request's service as now configured: shards may have moved meanwhile."""
        before = state.resolved.service
        if self._configuration is None:
            return before
        return self._configuration.service(before.name) or before

    # Snapshots ---------------------------------------------------------------------------

    def _should_replan(self, state: QueryState) -> bool:
        if not state.resolved.repeatable or state.replans >= self._settings.most_replans:
            return False
        service = state.resolved.service.name
        pinned = state.merge.snapshot
        best = self._versions.best(service)
        if pinned is None or best == pinned:
            return False
        better = self._versions.shards_holding(service, best)
        return better > self._versions.shards_holding(service, pinned)

    def _replan(self, state: QueryState, now: float) -> list[Action]:
        """Start the whole query anew with another snapshot: versions never mix."""
        state.replans += 1
        state.waiting_retries = 0
        actions = self._drop_outstanding(state)
        return [Count("wingquay_replans_total"), *actions, *self._run(state, now)]

    def _on_replica_belief(self, event: ReplicaBelief) -> None:
        left_out = event.state is not ReplicaState.SERVING
        self._versions.set_left_out(event.replica_id, left_out)
        if event.held is not None:
            self._versions.learn(event.held)

    # Owners ------------------------------------------------------------------------------

    def _schedule_check(self, now: float) -> list[Action]:
        if self._check_scheduled or not self._state_of:
            return []
        self._check_scheduled = True
        return [Schedule(now + self._settings.owner_silence_seconds / 2.0, OwnerCheckDue())]

    def _outstanding_pieces(self) -> list[tuple[QueryState, Piece]]:
        return [
            (state, piece)
            for state in self._states.values()
            for piece in state.outstanding.values()
        ]

    def _on_owner_check(self, now: float) -> list[Action]:
        self._check_scheduled = False
        limit = self._settings.owner_silence_seconds
        oldest: dict[NodeId, float] = {}
        for _, piece in self._outstanding_pieces():
            node_id = piece.owner.node_id
            oldest[node_id] = min(oldest.get(node_id, piece.sent_at), piece.sent_at)
        actions: list[Action] = []
        for owner_id, sent_at in oldest.items():
            if self._links.is_silent(owner_id, sent_at, now, limit):
                actions += self._fail_over(owner_id, now)
        return actions + self._schedule_check(now)

    def _fail_over_departed(self, event: MembershipChanged, now: float) -> list[Action]:
        present = {node.node_id for node in (*event.available, *event.leaving)}
        asked = {piece.owner.node_id for _, piece in self._outstanding_pieces()}
        actions: list[Action] = []
        for node_id in sorted(asked - present - {self._identity.node_id}):
            actions += self._fail_over(node_id, now)
        return actions

    def _fail_over(self, node_id: str, now: float) -> list[Action]:
        """Ask other owners for what a lost or silent one was asked."""
        if Mechanism.OWNER_FAILOVER in self._disabled:
            return []
        self._links.pass_over(node_id, now)
        lost = [
            (state, piece)
            for state, piece in self._outstanding_pieces()
            if piece.owner.node_id == node_id
        ]
        actions: list[Action] = []
        for state, piece in lost:
            state.may_have_run = True
            if not state.resolved.repeatable:
                # It may run there; only the owner's own word could say more.
                continue
            self._forget_piece(state, piece)
            actions.append(Count("wingquay_owner_failovers_total"))
            actions += self._sender.resend(state, piece, now)
        return actions

    # Ends --------------------------------------------------------------------------------

    def _on_promise_due(self, event: PromiseDue, now: float) -> list[Action]:
        state = self._states.get(event.request_id)
        if state is None:
            return []
        if state.merge.covered:
            return self._finish(state, now)
        state.answers_on_first = True
        return []

    def _on_caller_gone(self, event: CallerGone, now: float) -> list[Action]:
        state = self._states.get(event.request_id)
        if state is None:
            return []
        state.caller_gone = True
        if state.is_claimed:
            # An unrepeatable request goes on, so that a repeat can be told what came of it.
            return []
        if state.awaits_claim:
            return []
        return [Count("wingquay_callers_gone_total"), *self._forget(state)]

    def _finish(self, state: QueryState, now: float) -> list[Action]:
        answer = conclude(state, now, self._settings.retry_after_seconds)
        if state.awaits_claim and not state.is_claimed:
            reason = "whether it ran before could not be found out in time"
            request_id = state.resolved.request.request_id
            answer = unknown(request_id, reason, self._settings.retry_after_seconds)
        return self._answer(state, answer, now)

    def _answer(self, state: QueryState, answer: Answer, now: float) -> list[Action]:
        actions = self._forget(state)
        self.kind_statistics.record(state.resolved, now - state.arrived_at, now)
        if state.is_claimed:
            ran = answer.outcome is not Outcome.REFUSED_NOT_RUN
            stored = encode_answer(answer) if ran else None
            actions.append(Notify(ClaimFinished(answer.request_id, stored)))
        labels = (
            ("class", state.resolved.priority_class.name),
            ("outcome", answer.outcome.value),
        )
        actions.append(Count("wingquay_requests_total", labels=labels))
        actions.append(Observe("wingquay_request_seconds", now - state.arrived_at, labels))
        if not state.caller_gone:
            actions.append(AnswerCaller(answer))
        return actions

    def _forget(self, state: QueryState) -> list[Action]:
        self._states.pop(state.resolved.request.request_id, None)
        for sub_request_id in state.answered:
            self._state_of.pop(sub_request_id, None)
        return self._drop_outstanding(state)

    def _drop_outstanding(self, state: QueryState) -> list[Action]:
        """Give up on every sub-request without a result and tell its owner."""
        by_owner: dict[str, tuple[NodeIdentity, list[SubRequestId]]] = {}
        for sub_request_id, piece in state.outstanding.items():
            self._state_of.pop(sub_request_id, None)
            entry = by_owner.setdefault(piece.owner.node_id, (piece.owner, []))
            entry[1].append(sub_request_id)
        state.outstanding.clear()
        if Mechanism.CANCEL_LOSERS in self._disabled:
            return []
        return [
            SendToPeer(owner, CancelSubRequests(tuple(ids))) for owner, ids in by_owner.values()
        ]

    def _forget_piece(self, state: QueryState, piece: Piece) -> None:
        sub_request_id = piece.sub_request.sub_request_id
        state.outstanding.pop(sub_request_id, None)
        self._state_of.pop(sub_request_id, None)

    # Unrepeatable requests ---------------------------------------------------------------

    def _on_claim_decided(self, event: ClaimDecided, now: float) -> list[Action]:
        state = self._states.get(event.request_id)
        granted = event.decision is ClaimDecisionKind.GRANTED
        if state is None or state.is_claimed:
            # Too late to run it: give the claim back, it certainly did not run.
            late = state is None and granted
            return [Notify(ClaimFinished(event.request_id, None))] if late else []
        if granted:
            state.is_claimed = True
            if state.caller_gone:
                return self._answer(state, refusal(event.request_id, "caller gone", 0.0), now)
            return self._run(state, now)
        return self._answer(state, self._claim_answer(event), now)

    def _claim_answer(self, event: ClaimDecided) -> Answer:
        retry_after = self._settings.retry_after_seconds
        request_id = event.request_id
        match event.decision:
            case ClaimDecisionKind.ALREADY_DONE:
                stored = decode_answer(event.outcome or b"", request_id)
                reason = "it ran before; its answer is not known any more"
                return stored or unknown(request_id, reason, retry_after)
            case ClaimDecisionKind.KEY_REUSED:
                reason = "Idempotency-Key: used before for a request with other content"
                return invalid(request_id, reason)
            case ClaimDecisionKind.IN_PROGRESS:
                reason = "an earlier submission may be running; this one did not run"
                return unknown(request_id, reason, retry_after)
            case _:
                reason = "whether it ran before cannot be told; this submission did not run"
                return unknown(request_id, reason, retry_after)
