"""Forwards requests to one replica, or to one replica of each shard with a merged answer."""

import random
from typing import TYPE_CHECKING

from ..model.routing_table import RoutingTable
from ..ports.crash_messages import CrashReport
from ..ports.forwarding import (
    CallerDisconnected,
    ConnectionTried,
    ForwardRequested,
    ReplicaAnswered,
    SendFailed,
)
from ..ports.machine import Action, Event, ProcessResumed
from ..ports.peer_link import PeerLinkBroken, PeerReceived
from .arrival.admission import Admitted, Rejected
from .choice.replica_directory import ReplicaDirectory
from .choice.replica_state import ReplicaState
from .crashing.guard import CrashGuard
from .crashing.sequential_sending import SequentialSending
from .exchange import Exchange
from .exchange_opening import ExchangeOpening
from .knowledge.loop_lag import LoopLag
from .knowledge.presence import NodeCount
from .knowledge.reachability_evidence import ReachabilityEvidence
from .request_arrival import RequestArrival
from .sending.attempts import AttemptSender
from .sending.call_queue import CallQueue
from .sending.call_starter import CallStarter
from .sending.latencies import RouteLatencies
from .sending.sending_quotas import SendingQuotas
from .sending.waiting_policy import WaitingPolicy
from .sending.waiting_settings import DEFAULT_WAITING, WaitingSettings
from .settings import ForwardingSettings
from .settling.attempt_outcomes import AttemptOutcomeHandler
from .settling.hedging import Hedging
from .settling.reply_builder import ReplyBuilder
from .settling.settlement import Settlement
from .timers import (
    AbandonDue,
    BeginDue,
    CrashReportDue,
    CutoffDue,
    DelegationDue,
    ExchangeEndDue,
    HedgeDue,
    PeerConnectDue,
    ReconnectDue,
    ReportDue,
    RetryDue,
)

if TYPE_CHECKING:
    from .knowledge.node_groups import NodeGroups
    from .peers.peer_event_handler import PeerEventHandler

DELEGATION_ID_BITS = 62
"""Size of the random first delegation id, so that ids differ between incarnations of a node."""
STOPPED_REASON = "this node stopped before the request was answered"


class ForwardingMachine:
    """State machine that handles the requests of one node, from arrival to reply.

    Parameters
    ----------
    settings
        Time limits and budgets.
    directory
        The replicas; updated by the code that composes this machine.
    nodes
        The number of nodes; updated by the code that composes this machine.
    node_key, node_name
        This node's key in the store, and its name.
    random_source
        Sets the starting points of weighted routes and of delegation ids.
    waiting
        Settings of waiting requests.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        nodes: NodeCount,
        random_source: random.Random,
        node_key: str = "",
        node_name: str = "",
        waiting: WaitingSettings = DEFAULT_WAITING,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._latencies = RouteLatencies(settings)
        self._quotas = SendingQuotas(settings, directory, nodes, node_key, waiting)
        self._sender = AttemptSender(settings, directory, self._latencies, self._quotas)
        self._random = random_source
        replies = ReplyBuilder(random_source)
        self._queue = CallQueue(self._latencies)
        self._waiting = WaitingPolicy(
            waiting, settings, directory, self._latencies, self._quotas, self._queue
        )
        self._settlement = Settlement(self._waiting, directory, self._sender, replies)
        self._starter = CallStarter(self._sender, self._waiting, self._queue)
        self.lag = LoopLag()
        """Lag of this node's event loop; set after a suspension and by ``PeriodicWork``."""
        self.guard = CrashGuard(node_name, random_source, self.lag)
        """Keeps requests that crash replicas away from the replicas."""
        self.guard.on_held = self._end_held
        sequential = SequentialSending(self._starter)
        self._sequential = sequential
        self._hedging = Hedging(self._latencies, self._sender, self._settlement, sequential)
        self._outcomes = AttemptOutcomeHandler(
            settings,
            directory,
            self._sender,
            self._starter,
            self._settlement,
            self.guard,
            sequential,
        )
        self._opening = ExchangeOpening(
            settings,
            self._waiting,
            self._latencies,
            self._settlement,
            self._starter,
            sequential,
            random_source,
        )
        self._arrival = RequestArrival(
            self._settlement, self._opening, self.guard, self.lag, replies
        )
        self.admission = self._arrival.admission
        """Admits arriving requests; the code that composes this machine sets what it consults."""
        self._table: RoutingTable | None = None
        self._peers: PeerEventHandler | None = None
        self._is_stopping = False

    @property
    def has_received_request(self) -> bool:
        """Whether a request has arrived since the start."""
        return self._arrival.has_received_request

    @property
    def open_exchanges(self) -> int:
        """Number of requests without a reply, including those that wait for a tenant's limit."""
        return len(self._settlement) + self._arrival.pending_count

    @property
    def exchanges_awaiting_records(self) -> int:
        """Number of exchanges that wait for missing replica records."""
        return self._opening.awaiting_records_count

    @property
    def evidence(self) -> ReachabilityEvidence:
        """Recent failures of replicas and nodes."""
        return self._sender.evidence

    def enable_peers(self, groups: "NodeGroups") -> None:
        """Start to delegate calls to other nodes and to accept delegated requests."""
        from .peers.delegation import Delegations
        from .peers.peer_event_handler import PeerEventHandler

        delegations = Delegations(
            self._settings,
            groups,
            self._directory,
            self._starter,
            self._settlement,
            self.guard,
            self._sequential,
            self._random.getrandbits(DELEGATION_ID_BITS),
        )
        self._peers = PeerEventHandler(
            self._settings,
            delegations,
            self._directory,
            self._settlement,
            self.lag,
            self.guard,
        )
        self._quotas.placement = delegations.placement
        self._sequential.begin_calls = delegations.start
        self._opening.delegate_calls = delegations.start
        self.guard.peers = groups.usable_others
        groups.evidence = self._sender.evidence

    def set_table(self, table: RoutingTable) -> None:
        """Apply a configuration to requests that arrive from now on."""
        self._table = table
        self._arrival.set_table(table)
        self._opening.set_table(table)
        self._latencies.keep_only(table.routes)
        self._queue.keep_only(table.services)

    def begin_stop(self, ends_at: float) -> None:
        """Reject delegated requests, and those of callers that may take longer than ``ends_at``."""
        self._is_stopping = True
        self._arrival.stop_ends_at = ends_at

    def end_all(self, now: float) -> list[Action]:
        """Give every open request its final response, because this node stops."""
        return self._arrival.end_pending(STOPPED_REASON, now) + self._settlement.end_all(
            STOPPED_REASON, now
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        match event:
            case ReplicaAnswered():
                return self._outcomes.on_answered(event, now)
            case ForwardRequested():
                return self._arrival.on_requested(event, now)
            case HedgeDue():
                return self._hedging.on_hedge_due(event, now)
            case SendFailed():
                return self._outcomes.on_send_failed(event, now)
            case AbandonDue() | ReconnectDue() | ConnectionTried():
                return self._replica_event(event, now)
            case (
                BeginDue()
                | CutoffDue()
                | ExchangeEndDue()
                | RetryDue()
                | CallerDisconnected()
                | ReportDue()
            ):
                return self._exchange_event(event, now)
            case (
                PeerConnectDue()
                | DelegationDue()
                | CrashReportDue()
                | PeerReceived()
                | PeerLinkBroken()
            ):
                return self._peer_event(event, now)
        return self._arrival.on_pending_event(event, now)

    def on_resumed(self, event: ProcessResumed, now: float) -> list[Action]:
        """Handle a suspension: end overdue exchanges; it does not count in the age of attempts."""
        self.lag.measured_seconds = event.seconds
        self._sender.on_suspended(event.seconds)
        return self._settlement.end_expired(now)

    def on_limit_answered(
        self, exchange_id: int, answer: Admitted | Rejected, now: float
    ) -> list[Action]:
        """Continue a request that was waiting for the answer on its tenant's limit."""
        return self._arrival.on_limit_answered(exchange_id, answer, now)

    def _end_held(self, identity: bytes, now: float) -> list[Action]:
        held_seconds = self.guard.held_seconds(identity, now)
        return self._settlement.end_held(identity, held_seconds, now)

    def _peer_event(
        self,
        event: PeerConnectDue | DelegationDue | CrashReportDue | PeerReceived | PeerLinkBroken,
        now: float,
    ) -> list[Action]:
        match event:
            case CrashReportDue():
                return self.guard.on_report_due(event, now)
            case PeerReceived(sender=sender, message=CrashReport() as report):
                return self.guard.handle_report(sender, report, now)
        if self._peers is None:
            return []
        table = None if self._is_stopping else self._table
        return self._peers.handle(event, table, now)

    # Replicas and exchanges

    def _replica_event(
        self, event: AbandonDue | ReconnectDue | ConnectionTried, now: float
    ) -> list[Action]:
        match event:
            case AbandonDue():
                return self._abandon_due(event, now)
            case ReconnectDue():
                return self._sender.on_reconnect_due(event, now)
            case ConnectionTried():
                return self._outcomes.on_connection_tried(event, now)

    def on_replica_restarted(self, replica: ReplicaState, now: float) -> list[Action]:
        """Abort the attempts at a replica that has restarted, and retry their calls elsewhere."""
        return self._outcomes.on_replica_restarted(replica, now)

    def _abandon_due(self, event: AbandonDue, now: float) -> list[Action]:
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        actions = self._sender.cancel(attempt, now)
        return actions + self._starter.send_queued(attempt.call.service, now)

    def _exchange_event(
        self,
        event: BeginDue | CutoffDue | ExchangeEndDue | RetryDue | CallerDisconnected | ReportDue,
        now: float,
    ) -> list[Action]:
        exchange = self._settlement.get(event.exchange_id)
        if exchange is None:
            return self._arrival.on_pending_event(event, now)
        match event:
            case BeginDue():
                return self._begin_due(exchange, now)
            case RetryDue():
                return self._retry_due(exchange, now)
            case CutoffDue():
                return self._settlement.settle(exchange, now)
            case ReportDue():
                return [] if exchange.origin is None else exchange.origin.report(exchange)
            case CallerDisconnected():
                self._opening.stop_awaiting_records(exchange)
                return self._settlement.on_caller_left(exchange, now)
            case ExchangeEndDue():
                return self._settlement.end_timed_out(exchange, now)

    def _begin_due(self, exchange: Exchange, now: float) -> list[Action]:
        if exchange.origin is not None:
            return self._opening.begin(exchange, now)
        actions: list[Action] = []
        for call in exchange.calls:
            if not call.is_begun and not call.is_delegated:
                actions += self._starter.begin(call, now)
        return actions + self._settlement.settle(exchange, now)

    def _retry_due(self, exchange: Exchange, now: float) -> list[Action]:
        if self._opening.awaits_records(exchange):
            return self._opening.begin_or_await_records(exchange, now)
        exchange.is_retry_scheduled = False
        actions: list[Action] = []
        for call in exchange.calls:
            if call.is_waiting and call.answer is None and not call.attempts:
                call.refused_incarnations.clear()
                actions += self._starter.send_or_queue(call, now)
        return actions + self._settlement.settle(exchange, now)
