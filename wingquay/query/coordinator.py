"""The coordinator: takes requests from callers and sees them to their answers.

Free of I/O; see ``ports/machine.py``. Sub-requests travel to the owners of their shards as
``SubRequestBatch`` messages, to this node's own owner machine in the same way.
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
from .claim_flow import ClaimFlow
from .conclusion import invalid, refusal, unknown
from .coordinator_events import AnswerDue, OwnerCheckDue, PieceRetryDue, PromiseDue
from .merge import AnswerMerge
from .owner_selector import OwnerSelector
from .owner_watch import OwnerWatch
from .piece_sender import PieceSender
from .query_ending import QueryEnding
from .query_planning import QueryPlanning
from .query_state import QueryState, ResolvedRequest
from .query_table import QueryTable
from .request_check import QueryFailureKind, resolve
from .settings import QuerySettings
from .sub_result_intake import SubResultIntake


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
        ReplicaStateChanged,
        LeavingStarted,
        PeerLinkBroken,
        EventLoopLag,
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
        links: OwnerSelector,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._settings = settings
        self._links = links
        self._table = QueryTable(cancels=Mechanism.CANCEL_LOSERS not in disabled)
        self._sender = PieceSender(links, self._table)
        refuses_early = Mechanism.EARLY_REFUSAL not in disabled
        self._gate = AdmissionGate(settings, self._sender, enabled=refuses_early)
        retry_after = settings.retry_after_seconds
        self._ending = QueryEnding(self._table, retry_after)
        self.kind_statistics = self._ending.kind_statistics
        """Rates and latencies of what was answered lately."""
        self._planning = QueryPlanning(
            settings,
            self._table,
            self._sender,
            self._ending,
            checks_snapshot=Mechanism.SNAPSHOT_PINNING not in disabled,
        )
        self._results = SubResultIntake(
            self._table,
            self._planning,
            self._sender,
            self._ending,
            self._gate,
            filters_duplicates=Mechanism.DUPLICATE_RESULT_FILTER not in disabled,
        )
        self._owner_watch = OwnerWatch(
            identity,
            self._table,
            links,
            self._sender,
            self._ending,
            settings.owner_silence_seconds,
            enabled=Mechanism.OWNER_FAILOVER not in disabled,
        )
        self._claims = ClaimFlow(self._table, self._planning, self._ending, self._gate, retry_after)

    @property
    def in_flight(self) -> int:
        """Requests that wait for their answer."""
        return len(self._table)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event."""
        actions = self._route(event, now)
        return actions + self._owner_watch.schedule_check(now)

    def _route(self, event: Event, now: float) -> list[Action]:
        match event:
            case PeerReceived():
                return self._on_peer(event, now)
            case CallerRequest():
                return self._on_request(event, now)
            case AnswerDue():
                state = self._table.state(event.request_id)
                return [] if state is None else self._ending.finish(state, now)
            case PromiseDue():
                return self._on_promise_due(event, now)
            case PieceRetryDue():
                return self._planning.on_piece_retry(event, now)
            case OwnerCheckDue():
                return self._owner_watch.on_check(now)
            case _:
                return self._route_rare(event, now)

    def _route_rare(self, event: Event, now: float) -> list[Action]:
        match event:
            case CallerGone():
                return self._on_caller_gone(event)
            case ClaimDecided():
                return self._claims.on_decided(event, now)
            case ConfigurationInForce():
                self._planning.apply(event.configuration)
                self._gate.pressure.apply(event.configuration)
            case MembershipChanged():
                self._links.on_membership(event)
                return self._owner_watch.on_membership(event, now)
            case ReplicaStateChanged():
                self._on_replica_belief(event)
            case LeavingStarted():
                self._gate.start_leaving(now)
            case EventLoopLag():
                self._gate.pressure.on_lag(event.lag_seconds)
            case PeerLinkBroken():
                return self._owner_watch.fail_over(event.node_id, now)
        return []

    def _on_peer(self, event: PeerReceived, now: float) -> list[Action]:
        if not isinstance(event.message, SubResultBatch):
            return []
        self._links.on_heard(event.sender.node_id, now)
        actions: list[Action] = []
        for result in event.message.results:
            actions += self._results.take(result, now)
        return actions

    def _on_replica_belief(self, event: ReplicaStateChanged) -> None:
        left_out = event.state is not ReplicaState.SERVING
        self._planning.versions.set_left_out(event.replica_id, left_out)
        if event.held is not None:
            self._planning.versions.learn(event.held)

    # Arrival -----------------------------------------------------------------------------

    def _on_request(self, event: CallerRequest, now: float) -> list[Action]:
        request = event.request
        resolved = resolve(request, self._planning.configuration)
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
            # Whether it is refused is decided once the claim is granted: before that, nobody
            # can say that an earlier submission of it did not run.
            state.awaits_claim = True
            return [*actions, Notify(ClaimWanted(request, state.remaining_seconds(now)))]
        if resolved.coverage_preference is CoveragePreference.LATENCY_FIRST:
            promise_at = now + resolved.priority_class.promise_seconds
            if promise_at < state.answer_at:
                actions.append(Schedule(promise_at, PromiseDue(request.request_id)))
        return actions + self._planning.run(state, now)

    def _new_state(self, resolved: ResolvedRequest, now: float) -> QueryState:
        deadline = resolved.deadline_seconds
        margin = min(self._settings.answer_margin_seconds, deadline * 0.1)
        merge = AnswerMerge(resolved.request.key_ranges, None)
        return QueryState(resolved, now, now + deadline - margin, merge)

    def _answer_failure(
        self, request: QueryRequest, failure: Failure[QueryFailureKind]
    ) -> AnswerCaller:
        if failure.kind is QueryFailureKind.INVALID:
            return AnswerCaller(invalid(request.request_id, failure.reason))
        retry_after = self._settings.retry_after_seconds
        if request.idempotency_key is not None:
            # An earlier submission with this key may have run through another node.
            return AnswerCaller(unknown(request.request_id, failure.reason, retry_after))
        return AnswerCaller(refusal(request.request_id, failure.reason, retry_after))

    # Before the end ----------------------------------------------------------------------

    def _on_promise_due(self, event: PromiseDue, now: float) -> list[Action]:
        state = self._table.state(event.request_id)
        if state is None:
            return []
        state.answers_on_first = True
        return self._ending.settle(state, now)

    def _on_caller_gone(self, event: CallerGone) -> list[Action]:
        state = self._table.state(event.request_id)
        if state is None:
            return []
        state.caller_gone = True
        if not state.resolved.repeatable:
            # It goes on, so that a repeat can be told what came of it.
            return []
        return [Count("wingquay_callers_gone_total"), *self._table.forget(state)]
