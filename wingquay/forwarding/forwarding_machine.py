"""Passes requests on to replicas: one replica, or one of each shard with a merged answer."""

import random
from typing import TYPE_CHECKING

from ..model.routing_table import Route, RoutingTable
from ..ports.crash_news import CrashNews
from ..ports.forwarding import (
    CallerLeft,
    ConnectionTried,
    ForwardRequested,
    ReplicaAnswered,
    SendFailed,
)
from ..ports.machine import Action, Event, Schedule, Woken
from ..ports.peer_link import PeerLinkBroken, PeerReceived
from .arrival.request_identity import identity_of
from .choice.replica_directory import ReplicaDirectory
from .choice.weighted_choice import WeightedChoice
from .crashing.careful_sending import CarefulSending
from .crashing.guard import CrashGuard
from .crashing.suspects import Verdict
from .exchange import Exchange, ServiceCall
from .knowledge.loop_lag import LoopLag
from .knowledge.presence import NodeCount
from .knowledge.reach_evidence import ReachEvidence
from .sending.attempts import AttemptSender
from .sending.call_starter import CallStarter
from .sending.latencies import RouteLatencies
from .settings import ForwardingSettings
from .settling.cutoff import in_time_seconds
from .settling.ending import HELD_REASON, LEAST_RETRY_SECONDS, ExchangeEnding
from .settling.hedging import Hedging
from .settling.replica_outcomes import ReplicaOutcomes
from .settling.settlement import Settlement
from .timers import (
    AbandonDue,
    BeginDue,
    CrashNewsDue,
    CutoffDue,
    DelegationDue,
    ExchangeEndDue,
    GreetingDue,
    HedgeDue,
    ReachDue,
    ReportDue,
    RetryDue,
)

if TYPE_CHECKING:
    from .knowledge.node_groups import NodeGroups
    from .peers.peer_work import PeerWork

UNCONFIGURED_RETRY_SECONDS = 0.3
DELEGATION_ID_BITS = 62
"""Size of the first number of what is asked of other nodes: no two lives of a node share one."""


class ForwardingMachine:
    """Decides what happens to each request.

    Parameters
    ----------
    settings
        Times and budgets.
    directory
        The replicas; kept up to date by another machine.
    nodes
        How many nodes there are; kept up to date by another machine.
    key, name
        This node's key in the store, and its name.
    random_source
        Starts the rounds of weighted routes and the numbers of what is asked of other nodes.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        nodes: NodeCount,
        random_source: random.Random,
        key: str = "",
        name: str = "",
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._latencies = RouteLatencies(settings)
        self._sender = AttemptSender(settings, directory, self._latencies, nodes, key)
        self._random = random_source
        self._weights = WeightedChoice(random_source)
        self._ending = ExchangeEnding()
        self._settlement = Settlement(settings, directory, self._sender)
        self._starter = CallStarter(settings, self._sender)
        self.lag = LoopLag()
        """How late this node is; kept up to date by its owner."""
        self.guard = CrashGuard(name, random_source, self.lag)
        """Keeps requests that end replicas from replicas."""
        self.guard.on_held = self._end_held
        careful = CarefulSending(self._starter)
        self._careful = careful
        self._hedging = Hedging(self._latencies, self._sender, self._settlement, careful)
        self._outcomes = ReplicaOutcomes(
            settings,
            directory,
            self._sender,
            self._starter,
            self._settlement,
            self.guard,
            careful,
        )
        self._table: RoutingTable | None = None
        self._peers: PeerWork | None = None
        self.is_stopping = False
        """Whether work of other nodes is rejected."""
        self.is_asked = False
        """Whether a request has arrived."""
        self._held: set[int] = set()

    @property
    def open_exchanges(self) -> int:
        """The number of requests without an answer."""
        return len(self._settlement)

    @property
    def held_exchanges(self) -> int:
        """The number of requests that are held for missing records of replicas."""
        return len(self._held)

    @property
    def evidence(self) -> ReachEvidence:
        """Which replicas and nodes failed lately."""
        return self._sender.evidence

    def enable_peers(self, groups: "NodeGroups") -> None:
        """Ask other nodes for shards, and be asked by them, from now on."""
        from .peers.delegation import Delegations
        from .peers.peer_work import PeerWork

        delegations = Delegations(
            self._settings,
            groups,
            self._directory,
            self._starter,
            self._settlement,
            self.guard,
            self._careful,
            self._random.getrandbits(DELEGATION_ID_BITS),
        )
        self._peers = PeerWork(
            self._settings,
            delegations,
            self._directory,
            self._settlement,
            self.lag,
            self.guard,
        )
        self._sender.placement = delegations.placement
        self._careful.begin_all = delegations.start
        self.guard.peers = groups.reachable
        groups.evidence = self._sender.evidence

    def set_table(self, table: RoutingTable) -> None:
        """Use a configuration for requests that arrive from now on."""
        self._table = table
        self._weights.keep_only(table.routes)
        self._latencies.keep_only(table.routes)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done."""
        match event:
            case ReplicaAnswered():
                return self._outcomes.answered(event, now)
            case ForwardRequested():
                return self._requested(event, now)
            case HedgeDue():
                return self._hedging.due(event, now)
            case SendFailed():
                return self._outcomes.send_failed(event, now)
            case AbandonDue() | ReachDue() | ConnectionTried():
                return self._replica_event(event, now)
            case (
                BeginDue()
                | CutoffDue()
                | ExchangeEndDue()
                | RetryDue()
                | CallerLeft()
                | ReportDue()
            ):
                return self._exchange_event(event, now)
            case (
                GreetingDue() | DelegationDue() | CrashNewsDue() | PeerReceived() | PeerLinkBroken()
            ):
                return self._peer_event(event, now)
        return []

    def woken(self, event: Woken, now: float) -> list[Action]:
        """End what is too late after a suspension; attempts are as old as before it."""
        self.lag.seconds = event.seconds
        self._sender.suspended(event.seconds)
        return self._settlement.end_overdue(now)

    # Arrival

    def _requested(self, event: ForwardRequested, now: float) -> list[Action]:
        self.is_asked = True
        table = self._table
        if table is None:
            return self._ending.refuse_arrival(
                event, "no configuration yet", UNCONFIGURED_RETRY_SECONDS
            )
        route = table.find(event.host, event.path)
        if route is None:
            return self._ending.no_route(event, table.version)
        if self._is_too_late(event, now):
            reason = "its time was over before it could be read"
            return self._ending.refuse_arrival(event, reason, LEAST_RETRY_SECONDS)
        verdict = self.guard.verdict(event.request, now)
        if verdict is Verdict.HELD:
            return self._refuse_held(event, now)
        exchange = self._open(event, table, route, now)
        exchange.is_suspect = verdict is Verdict.SUSPECT
        services = route.shards or (self._weights.choose(route),)
        exchange.calls = [ServiceCall(exchange, service) for service in services]
        if not self._settlement.can_be_enough(exchange, now):
            return self._hold_or_refuse(exchange, now)
        return self._begin(exchange, now)

    def _begin(self, exchange: Exchange, now: float) -> list[Action]:
        """Send all calls and set the timers."""
        event = exchange.event
        route = exchange.route
        self._held.discard(exchange.exchange_id)
        actions: list[Action] = []
        if exchange.is_careful and exchange.origin is None:
            actions += self._careful.step(exchange, now)
        elif self._peers is not None and route.shards and exchange.origin is None:
            actions += self._peers.delegations.start(exchange, exchange.calls, now)
        else:
            for call in exchange.calls:
                actions += self._starter.begin(call, now)
        actions.append(Schedule(exchange.ends_at, ExchangeEndDue(event.exchange_id)))
        if route.shards:
            actions.append(Schedule(exchange.in_time_at, CutoffDue(event.exchange_id)))
        if route.is_repeatable and (route.max_attempts > 1 or exchange.is_careful):
            hedge_at = now + self._latencies.hedge_seconds(route)
            actions.append(Schedule(hedge_at, HedgeDue(event.exchange_id)))
        return actions + self._settlement.settle(exchange, now)

    def _hold_or_refuse(self, exchange: Exchange, now: float) -> list[Action]:
        """Hold a request while records of replicas are missing; refuse it otherwise."""
        whole_seconds = exchange.ends_at - exchange.arrived_at
        held_until = exchange.arrived_at + whole_seconds * self._settings.hold_ratio
        if not self._directory.is_settling(now) or now >= held_until:
            self._held.discard(exchange.exchange_id)
            return self._settlement.refuse(exchange, now)
        self._held.add(exchange.exchange_id)
        due_at = now + self._settings.retry_wait_seconds
        return [Schedule(due_at, RetryDue(exchange.exchange_id))]

    def _is_too_late(self, event: ForwardRequested, now: float) -> bool:
        """Whether nobody waits any more for a request that was read late."""
        return event.deadline_seconds is not None and self.lag.seconds >= event.deadline_seconds

    def _open(
        self, event: ForwardRequested, table: RoutingTable, route: Route, now: float
    ) -> Exchange:
        seconds = route.timeout_seconds
        if event.deadline_seconds is not None:
            seconds = min(seconds, event.deadline_seconds)
        sent_at = now - self.lag.seconds
        ends_at = sent_at + max(seconds - self._settings.end_margin_seconds, seconds / 2)
        ends_at = max(ends_at, now)
        in_time_at = min(
            now + in_time_seconds(route, event.transit_seconds, self._settings), ends_at
        )
        exchange = Exchange(event, table, route, now, in_time_at, ends_at)
        self._settlement.add(exchange)
        return exchange

    def _refuse_held(self, event: ForwardRequested, now: float) -> list[Action]:
        """Refuse a request under which replicas have ended, and say when it may come back."""
        held_seconds = self.guard.held_seconds(identity_of(event.request), now)
        refused = self._ending.refuse_arrival(event, HELD_REASON, held_seconds)
        return [*refused, *self.guard.refused(event, now)]

    def _end_held(self, identity: bytes, now: float) -> list[Action]:
        held_seconds = self.guard.held_seconds(identity, now)
        return self._settlement.end_held(identity, held_seconds, now)

    def _peer_event(
        self,
        event: GreetingDue | DelegationDue | CrashNewsDue | PeerReceived | PeerLinkBroken,
        now: float,
    ) -> list[Action]:
        match event:
            case CrashNewsDue():
                return self.guard.tell_due(event, now)
            case PeerReceived(sender=sender, message=CrashNews() as news):
                return self.guard.news(sender, news, now)
        if self._peers is None:
            return []
        table = None if self.is_stopping else self._table
        return self._peers.handle(event, table, now)

    # Time

    def _replica_event(
        self, event: AbandonDue | ReachDue | ConnectionTried, now: float
    ) -> list[Action]:
        match event:
            case AbandonDue():
                return self._abandon_due(event, now)
            case ReachDue():
                return self._sender.reach_due(event, now)
            case ConnectionTried():
                return self._outcomes.connection_tried(event, now)

    def _abandon_due(self, event: AbandonDue, now: float) -> list[Action]:
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        actions = self._sender.cancel(attempt, now)
        return actions + self._starter.serve_waiting(attempt.call.service, now)

    def _exchange_event(
        self,
        event: BeginDue | CutoffDue | ExchangeEndDue | RetryDue | CallerLeft | ReportDue,
        now: float,
    ) -> list[Action]:
        exchange = self._settlement.get(event.exchange_id)
        if exchange is None:
            return []
        match event:
            case BeginDue():
                return self._begin_due(exchange, now)
            case RetryDue():
                return self._retry_due(exchange, now)
            case CutoffDue():
                return self._settlement.settle(exchange, now)
            case ReportDue():
                return [] if exchange.origin is None else exchange.origin.report(exchange)
            case CallerLeft():
                self._held.discard(exchange.exchange_id)
                return self._settlement.caller_left(exchange, now)
            case ExchangeEndDue():
                return self._settlement.out_of_time(exchange, now)

    def _begin_due(self, exchange: Exchange, now: float) -> list[Action]:
        if exchange.origin is not None:
            return self._begin(exchange, now)
        actions: list[Action] = []
        for call in exchange.calls:
            if not call.is_begun and not call.is_delegated:
                actions += self._starter.begin(call, now)
        return actions + self._settlement.settle(exchange, now)

    def _retry_due(self, exchange: Exchange, now: float) -> list[Action]:
        if exchange.exchange_id in self._held:
            can_begin = self._settlement.can_be_enough(exchange, now)
            return self._begin(exchange, now) if can_begin else self._hold_or_refuse(exchange, now)
        exchange.is_retry_due = False
        actions: list[Action] = []
        for call in exchange.calls:
            if call.is_waiting and call.answer is None and not call.attempts:
                call.refused.clear()
                actions += self._starter.start(call, now)
        return actions + self._settlement.settle(exchange, now)
