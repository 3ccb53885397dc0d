"""The coordinator: receives requests from callers and answers them.

Performs no I/O; see ``ports/machine.py``. Sends sub-requests to the owners of their shards in
``SubRequestBatch`` messages, also to the owner machine of its own node.
"""

from typing import ClassVar

from ..model.configuration import CoveragePreference
from ..model.failure import Failure
from ..model.mechanisms import Mechanism
from ..model.request import QueryRequest
from ..ports.caller import AnswerCaller, CallerGone, CallerRequest
from ..ports.internal import (
    ClaimDecided,
    ClaimWanted,
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
    Notify,
    ReplicaStateChanged,
)
from ..ports.machine import Action, Count, Event, EventLoopLag, Schedule
from ..ports.peer import (
    NodeIdentity,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
    ReplicaState,
    SubResultBatch,
)
from .admission_gate import AdmissionGate
from .answer_builders import invalid_answer, refused_answer, unknown_answer
from .claim_decision_handler import ClaimDecisionHandler
from .coordinator_events import AnswerDue, OwnerCheckDue, PromiseDue, SubRequestRetryDue
from .merge import AnswerMerge
from .owner_failover import OwnerFailover
from .owner_selector import OwnerSelector
from .query_completion import QueryCompletion
from .query_planner import QueryPlanner
from .query_state import QueryState, ResolvedRequest
from .query_table import QueryTable
from .request_check import QueryFailureKind, resolve_request
from .settings import QuerySettings
from .sub_request_sender import SubRequestSender
from .sub_result_handler import SubResultHandler


class Coordinator:
    """State machine that answers the requests of callers.

    Checks and admits each request, plans its sub-requests, sends them to owners and merges
    their results. Unrepeatable requests wait for a claim first.

    Parameters
    ----------
    owner_selector
        Chooses the owners that sub-requests are sent to.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        CallerRequest,
        CallerGone,
        ClaimDecided,
        ConfigurationInForce,
        MembershipChanged,
        ReplicaStateChanged,
        LeavingStarted,
        PeerLinkBroken,
        EventLoopLag,
        AnswerDue,
        PromiseDue,
        SubRequestRetryDue,
        OwnerCheckDue,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (SubResultBatch,)

    def __init__(
        self,
        identity: NodeIdentity,
        settings: QuerySettings,
        owner_selector: OwnerSelector,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._settings = settings
        self._owner_selector = owner_selector
        self._table = QueryTable(cancels=Mechanism.CANCEL_LOSERS not in disabled)
        self._sender = SubRequestSender(owner_selector, self._table)
        refuses_early = Mechanism.EARLY_REFUSAL not in disabled
        self._gate = AdmissionGate(settings, self._sender, enabled=refuses_early)
        retry_after = settings.retry_after_seconds
        self._completion = QueryCompletion(self._table, retry_after)
        self.kind_statistics = self._completion.kind_statistics
        """Rates and latencies of recently answered requests."""
        self._planner = QueryPlanner(
            settings,
            self._table,
            self._sender,
            self._completion,
            checks_snapshot=Mechanism.SNAPSHOT_PINNING not in disabled,
        )
        self._results = SubResultHandler(
            self._table,
            self._planner,
            self._sender,
            self._completion,
            self._gate,
            filters_duplicates=Mechanism.DUPLICATE_RESULT_FILTER not in disabled,
        )
        self._owner_failover = OwnerFailover(
            identity,
            self._table,
            owner_selector,
            self._sender,
            self._completion,
            settings.owner_silence_seconds,
            enabled=Mechanism.OWNER_FAILOVER not in disabled,
        )
        self._claims = ClaimDecisionHandler(
            self._table, self._planner, self._completion, self._gate, retry_after
        )

    @property
    def in_flight(self) -> int:
        """Number of requests without an answer."""
        return len(self._table)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions."""
        actions = self._handle_frequent_event(event, now)
        return actions + self._owner_failover.schedule_check(now)

    def _handle_frequent_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case PeerReceived():
                return self._on_peer(event, now)
            case CallerRequest():
                return self._on_request(event, now)
            case AnswerDue():
                state = self._table.state(event.request_id)
                return [] if state is None else self._completion.finish(state, now)
            case PromiseDue():
                return self._on_promise_due(event, now)
            case SubRequestRetryDue():
                return self._planner.on_retry_due(event, now)
            case OwnerCheckDue():
                return self._owner_failover.on_check_due(now)
            case _:
                return self._handle_rare_event(event, now)

    def _handle_rare_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case CallerGone():
                return self._on_caller_gone(event)
            case ClaimDecided():
                return self._claims.on_decided(event, now)
            case ConfigurationInForce():
                self._planner.apply(event.configuration)
                self._gate.pressure.apply(event.configuration)
            case MembershipChanged():
                self._owner_selector.on_membership(event)
                return self._owner_failover.on_membership(event, now)
            case ReplicaStateChanged():
                self._on_replica_state_changed(event)
            case LeavingStarted():
                self._gate.start_stopping(now)
            case EventLoopLag():
                self._gate.pressure.on_lag(event.lag_seconds)
            case PeerLinkBroken():
                return self._owner_failover.fail_over(event.node_id, now)
        return []

    def _on_peer(self, event: PeerReceived, now: float) -> list[Action]:
        if not isinstance(event.message, SubResultBatch):
            return []
        self._owner_selector.on_message_from(event.sender.node_id, now)
        actions: list[Action] = []
        for result in event.message.results:
            actions += self._results.handle(result, now)
        return actions

    def _on_replica_state_changed(self, event: ReplicaStateChanged) -> None:
        excluded = event.state is not ReplicaState.SERVING
        self._planner.versions.set_excluded(event.replica_id, excluded)
        if event.held is not None:
            self._planner.versions.record(event.held)

    # Arrival -----------------------------------------------------------------------------

    def _on_request(self, event: CallerRequest, now: float) -> list[Action]:
        request = event.request
        resolved = resolve_request(request, self._planner.configuration)
        if isinstance(resolved, Failure):
            return [self._answer_failure(request, resolved)]
        if resolved.repeatable:
            refused = self._gate.refusal(resolved, now)
            if refused is not None:
                return [AnswerCaller(refused)]
        state = self._new_state(resolved, now)
        self._table.add(state)
        actions: list[Action] = [Schedule(state.answer_at, AnswerDue(request.request_id))]
        if not resolved.repeatable:
            # A refusal states that the request did not run. Until the claim is decided, an
            # earlier submission may have run, so the admission check waits for the claim.
            state.needs_claim = True
            return [*actions, Notify(ClaimWanted(request, state.remaining_seconds(now)))]
        if resolved.coverage_preference is CoveragePreference.LATENCY_FIRST:
            promise_at = now + resolved.priority_class.promise_seconds
            if promise_at < state.answer_at:
                actions.append(Schedule(promise_at, PromiseDue(request.request_id)))
        return actions + self._planner.start(state, now)

    def _new_state(self, resolved: ResolvedRequest, now: float) -> QueryState:
        deadline = resolved.deadline_seconds
        margin = min(self._settings.answer_margin_seconds, deadline * 0.1)
        merge = AnswerMerge(resolved.request.key_ranges, None)
        return QueryState(resolved, now, now + deadline - margin, merge)

    def _answer_failure(
        self, request: QueryRequest, failure: Failure[QueryFailureKind]
    ) -> AnswerCaller:
        if failure.kind is QueryFailureKind.INVALID:
            return AnswerCaller(invalid_answer(request.request_id, failure.reason))
        retry_after = self._settings.retry_after_seconds
        if request.idempotency_key is not None:
            # An earlier submission with this key may have run at another node.
            return AnswerCaller(unknown_answer(request.request_id, failure.reason, retry_after))
        return AnswerCaller(refused_answer(request.request_id, failure.reason, retry_after))

    # Before the deadline -----------------------------------------------------------------

    def _on_promise_due(self, event: PromiseDue, now: float) -> list[Action]:
        state = self._table.state(event.request_id)
        if state is None:
            return []
        state.answers_on_first_result = True
        return self._completion.finish_if_done(state, now)

    def _on_caller_gone(self, event: CallerGone) -> list[Action]:
        state = self._table.state(event.request_id)
        if state is None:
            return []
        state.caller_gone = True
        if not state.resolved.repeatable:
            # The request continues, so that a repeat receives its stored answer.
            return []
        return [Count("wingquay_callers_gone_total"), *self._table.remove(state)]
