"""Joins the decisions of a node that passes requests on: store, replicas, requests, stop."""

import random

from ..model.failure import Failure
from ..model.routing_table import RoutingTable
from ..ports.forwarding import OpaqueRequest
from ..ports.machine import (
    Action,
    Count,
    Event,
    Log,
    LogLevel,
    Start,
    StopRequested,
    Woken,
)
from ..ports.peer_link import PeerLinkBroken, PeerLinkOpened, PeerReceived
from ..ports.peer_snapshot import PeerSnapshot
from ..ports.proof_messages import AskProof, ProofGiven
from ..ports.store import (
    ReadResult,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from ..ports.store_news import StoreNews
from .arrival.admission import ConfigurationProof
from .arrival.limits.limit_manager import LimitManager
from .arrival.limits.limit_settings import LimitSettings
from .choice.replica_directory import ReplicaDirectory
from .crashing.held_keys import HeldKeys
from .crashing.suspects import SuspicionLevel
from .forwarding_machine import ForwardingMachine
from .knowledge.node_membership import NodeMembership
from .knowledge.presence import NodeCount, Presence, PresenceDue
from .knowledge.processing_lag import ProcessingLag
from .knowledge.proof_manager import ProofManager
from .knowledge.store_follower import (
    FollowerHooks,
    FollowerSettings,
    FollowRetryDue,
    StoreFollower,
)
from .knowledge.update_exchange import UpdateExchange
from .line_budget import LineBudget
from .own_time import WAKING_SECONDS as WAKING_SECONDS
from .own_time import LagDue, OwnTime, SweepDue
from .readiness.departure import Departure
from .readiness.node_readiness import NodeReadiness, ReadyDue, StopCheckDue
from .readiness.reachability_monitor import ReachabilityMonitor
from .readiness.route_demand import RouteDemand
from .sending.waiting_settings import DEFAULT_WAITING, WaitingSettings
from .settings import ForwardingSettings
from .store_contents import StoreContents
from .store_formats import FormatFailureKind as FormatFailureKind
from .store_formats import StoreFormats as StoreFormats

CLUSTER_KEY_BYTES = 32
ASK_NUMBER_BITS = 62


class ForwardingNode:
    """The whole decision code of one node that passes requests on.

    Parameters
    ----------
    name
        This node's name, which no other node has.
    limits
        What may run of tenants whose requests the configuration limits.
    waiting
        How requests wait.
    """

    def __init__(
        self,
        name: str,
        settings: ForwardingSettings,
        follower: FollowerSettings,
        formats: StoreFormats,
        random_source: random.Random,
        limits: LimitSettings | None = None,
        waiting: WaitingSettings = DEFAULT_WAITING,
    ) -> None:
        self._settings = settings
        self._formats = formats
        self._directory = ReplicaDirectory(settings, random_source)
        self._nodes = NodeCount(settings)
        key = formats.node_prefix + name
        self._presence = Presence(key, settings, random_source)
        self._keeper = ProofManager(
            follower.proof_poll_times,
            lambda: self._members.rank() * settings.poll_rank_delay_seconds,
            lambda now: self._follower.next_answer_at(now),
            random_source.getrandbits(ASK_NUMBER_BITS) if follower.proof_poll_times else 0,
        )
        self._forwarding = ForwardingMachine(
            settings,
            self._directory,
            self._nodes,
            random_source,
            key,
            name,
            waiting,
        )
        self._forwarding.admission.proof = self._keeper.proof
        guard = self._forwarding.guard
        self._held_keys = HeldKeys(formats, guard.hold, guard.lift)
        guard.write = self._held_keys.write
        hooks = FollowerHooks(
            lambda values, now: self._contents.listed(values, now) + self._callers.update(now),
            lambda written, deleted, now: (
                self._contents.changed(written, deleted, now) + self._callers.update(now)
            ),
            self._directory.on_outage,
            lambda news, now: self._news.send_update(news, now),
            lambda: bool(self._members.update_recipients()),
            lambda: self._members.rank() == 0,
            lambda: self._callers.can_serve,
        )
        self._follower = StoreFollower(follower, hooks, self._keeper)
        self._table: RoutingTable | None = None
        self._told_by = ""
        """By which way the present news of the store came: a look, a listing, or a node's id."""
        self._lines = LineBudget()
        candidate = random_source.randbytes(CLUSTER_KEY_BYTES)
        self._members = NodeMembership(
            name, settings, formats, self._nodes, self._presence, candidate
        )
        self._limits = LimitManager(
            name, limits, self._members, self._forwarding.admission, self._forwarding.limit_answered
        )
        self._lateness = ProcessingLag()
        self._time = OwnTime(
            settings,
            self._directory,
            self._forwarding,
            self._members,
            self._follower,
            self._lateness,
            self._keeper,
        )
        self._news = UpdateExchange(
            settings, self._members, self._follower, self._lateness, self._keeper
        )
        self._contents = StoreContents(
            formats,
            self._directory,
            self._held_keys,
            self._members,
            self._follower,
            self._news.rewritten,
            self._configure,
            self._forwarding.life_over,
        )
        departure = Departure()
        asked = RouteDemand(self._directory)
        self._callers = NodeReadiness(settings, self._directory, self._forwarding, asked, departure)
        self._reach = ReachabilityMonitor(
            settings, name, self._directory, self._forwarding.evidence, asked, departure
        )

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that this node goes by; 0: it has none."""
        return 0 if self._table is None else self._table.version

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done."""
        actions = self._decide(event, now)
        actions += self._limits.handle(event, self._table, now)
        if self._reach.is_relevant(event, now):
            actions = actions + self._reach.handle(event, now) + self._callers.update(now)
        return self._lines.admit(actions, now)

    def store_snapshot(self) -> ReadResult | None:
        """Return what this node knows of the store, for a node that cannot reach it."""
        return self._follower.snapshot()

    @property
    def proof(self) -> ConfigurationProof:
        """Whether the configuration is proven to be the one in force."""
        return self._keeper.proof

    def suspicion_level(self, request: OpaqueRequest, now: float) -> SuspicionLevel:
        """Return how this node treats a request that may end replicas."""
        return self._forwarding.guard.suspicion_level(request, now)

    def _decide(self, event: Event, now: float) -> list[Action]:
        match event:
            case (
                StoreResponse() | WatchChanged() | WatchBroken() | FollowRetryDue() | PeerSnapshot()
            ):
                return self._store_event(event, now)
            case Start():
                return self._start(event, now)
            case (
                PresenceDue()
                | PeerLinkOpened()
                | PeerReceived(message=StoreNews() | AskProof() | ProofGiven())
            ):
                return self._membership_event(event, now)
            case PeerLinkBroken():
                self._keeper.link_broken(event)
            case SweepDue() | LagDue() | Woken():
                return self._time.handle(event, now)
            case StopRequested():
                return self._callers.stop(now)
            case StopCheckDue():
                return self._callers.check_stop(now)
            case ReadyDue():
                return self._callers.update(now)
        actions = self._forwarding.handle(event, now)
        return actions + self._time.pace(now) if self._forwarding.held_exchanges else actions

    def _membership_event(
        self, event: PresenceDue | PeerLinkOpened | PeerReceived, now: float
    ) -> list[Action]:
        match event:
            case PeerReceived(sender=sender, message=StoreNews() as news):
                self._told_by = sender.node_id
                return [
                    *self._news.receive_update(news, now),
                    *self._keeper.handle_update_from(sender, now),
                ]
            case PeerReceived(sender=sender, message=AskProof() | ProofGiven() as message):
                return self._news.handle_proof_message(sender, message, now)
            case PresenceDue():
                return self._presence_due(event, now)
            case PeerLinkOpened():
                actions = self._members.handle_link_opened(event, self._table, now)
                self._forwarding.enable_peers(self._members.groups)
                self._reach.enable_peers(self._members.groups)
                return [*actions, *self._keeper.sweep(self._members.update_recipients, now)]
        return []

    def _store_event(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, StoreResponse) and self._members.handles(event):
            return self._members.handle_response(event, now)
        if isinstance(event, StoreResponse) and self._held_keys.is_answer(event):
            return self._held_keys.answered(event)
        self._told_by = "look" if isinstance(event, WatchChanged) else "listing"
        return self._follower.handle(event, now)

    def _start(self, event: Start, now: float) -> list[Action]:
        return [
            *self._follower.handle(event, now),
            *self._presence.handle(event, now),
            *self._time.start(now),
        ]

    def _presence_due(self, event: PresenceDue, now: float) -> list[Action]:
        return self._members.handle_presence_due(event, self._table, now)

    # The store

    def _configure(self, document: bytes) -> list[Action]:
        table = self._formats.parse_configuration(document)
        if isinstance(table, Failure):
            fields = (("reason", table.reason),)
            return [Log("configuration_unreadable", LogLevel.ERROR, fields)]
        if self._table is not None and table.version <= self._table.version:
            return []
        self._table = table
        self._callers.set_table(table)
        self._reach.set_table(table)
        self._forwarding.set_table(table)
        self._members.configure(table)
        self._keeper.configure(table)
        line = (
            ("version", table.version),
            ("routes", len(table.routes)),
            ("told_by", self._told_by),
        )
        return [
            Log("configuration_adopted", LogLevel.INFO, line),
            Count("configurations_adopted_total"),
            self._callers.current_forwarding(),
        ]
