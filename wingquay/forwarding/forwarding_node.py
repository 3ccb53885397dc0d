"""Composes the state machines of a forwarding node and dispatches events to them."""

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
    ProcessResumed,
    Start,
    StopRequested,
)
from ..ports.peer_link import PeerLinkBroken, PeerLinkOpened, PeerReceived
from ..ports.peer_snapshot import PeerSnapshot
from ..ports.proof_messages import ProofReply, ProofRequest
from ..ports.store import (
    ReadResult,
    StoreResponse,
    StoreRestored,
    WatchBroken,
    WatchChanged,
)
from ..ports.store_update import StoreUpdate
from .arrival.admission import ConfigurationProof
from .arrival.limits.limit_manager import LimitManager
from .arrival.limits.limit_settings import LimitSettings
from .choice.replica_directory import ReplicaDirectory
from .crashing.held_request_keys import HeldRequestKeys
from .crashing.suspects import SuspicionLevel
from .forwarding_machine import ForwardingMachine
from .knowledge.node_membership import NodeMembership
from .knowledge.presence import NodeCount, Presence, PresenceDue
from .knowledge.proof_manager import ProofManager
from .knowledge.store_follower import (
    FollowerHooks,
    FollowerSettings,
    PollRetryDue,
    StoreFollower,
)
from .knowledge.update_exchange import UpdateExchange
from .log_throttle import LogThrottle
from .periodic_work import RESUME_SECONDS as RESUME_SECONDS
from .periodic_work import LagDue, PeriodicWork, SweepDue
from .readiness.departure import Departure
from .readiness.node_readiness import NodeReadiness, ReadyDue
from .readiness.planned_stop import PlannedStop, StopCheckDue
from .readiness.reachability_monitor import ReachabilityMonitor
from .readiness.route_demand import RouteDemand
from .sending.waiting_settings import DEFAULT_WAITING, WaitingSettings
from .settings import ForwardingSettings
from .store_contents import RestoredGraceOver, StoreContents
from .store_formats import FormatFailureKind as FormatFailureKind
from .store_formats import StoreFormats as StoreFormats
from .store_restoration import STORE, StoreRestoration

CLUSTER_KEY_BYTES = 32
PROOF_REQUEST_ID_BITS = 62


class ForwardingNode:
    """State machine of one forwarding node: takes events and returns actions, without any I/O.

    Parameters
    ----------
    name
        This node's name, unique in the cluster.
    limits
        Settings of tenant limits; ``None`` if this node does not enforce them.
    waiting
        Settings of waiting requests.
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
        self._proof_manager = ProofManager(
            follower.proof_poll_times,
            self._rank_delay_seconds,
            lambda now: self._follower.next_answer_at(now),
            random_source.getrandbits(PROOF_REQUEST_ID_BITS),
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
        self._forwarding.admission.proof = self._proof_manager.proof
        guard = self._forwarding.guard
        self._held_request_keys = HeldRequestKeys(formats, guard.hold, guard.release)
        guard.store_hold = self._held_request_keys.write
        hooks = FollowerHooks(
            lambda values, now: (
                self._contents.apply_listing(values, now) + self._readiness.update(now)
            ),
            lambda written, deleted, now: (
                self._contents.apply_changes(written, deleted, now) + self._readiness.update(now)
            ),
            self._directory.on_outage,
            lambda update: self._updates.send_update(update),
            lambda: bool(self._members.update_recipients()),
            lambda: self._members.group_position() == 0,
            self._rank_delay_seconds,
            lambda: self._readiness.can_serve,
        )
        self._follower = StoreFollower(follower, hooks, self._proof_manager)
        self._table: RoutingTable | None = None
        self._update_source = ""
        """Source of the store update being applied: ``poll``, ``listing`` or the id of a node."""
        self._log_throttle = LogThrottle()
        candidate = random_source.randbytes(CLUSTER_KEY_BYTES)
        self._members = NodeMembership(
            name, settings, formats, self._nodes, self._presence, candidate
        )
        self._limits = LimitManager(
            name,
            limits,
            self._members,
            self._forwarding.admission,
            self._forwarding.on_limit_answered,
        )
        self._periodic_work = PeriodicWork(
            settings,
            self._directory,
            self._forwarding,
            self._members,
            self._follower,
            self._proof_manager,
        )
        self._updates = UpdateExchange(self._members, self._follower, self._proof_manager)
        self._contents = StoreContents(
            formats,
            self._directory,
            self._held_request_keys,
            self._members,
            self._follower,
            self._updates.rewritten_keys,
            self._configure,
            self._forwarding.on_replica_restarted,
        )
        self._restoration = StoreRestoration(
            self._follower, self._contents, self._members, self._proof_manager
        )
        departure = Departure()
        route_demand = RouteDemand(self._directory)
        self._readiness = NodeReadiness(self._directory, route_demand, departure)
        self._stop = PlannedStop(settings, self._forwarding, self._readiness)
        self._reachability = ReachabilityMonitor(
            settings, name, self._directory, self._forwarding.evidence, route_demand, departure
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration that this node uses; 0 if it has none."""
        return 0 if self._table is None else self._table.version

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        actions = self._decide(event, now)
        actions += self._limits.handle(event, self._table, now)
        if self._reachability.observe(event, now):
            actions = actions + self._reachability.handle(event, now) + self._readiness.update(now)
        return self._log_throttle.admit(actions, now)

    def store_snapshot(self) -> ReadResult | None:
        """Return this node's copy of the store for a node that cannot reach the store."""
        return self._follower.snapshot()

    @property
    def proof(self) -> ConfigurationProof:
        """Proof that the configuration is the one in force."""
        return self._proof_manager.proof

    def suspicion_level(self, request: OpaqueRequest, now: float) -> SuspicionLevel:
        """Return whether a request is suspect or held because replicas crashed during it."""
        return self._forwarding.guard.suspicion_level(request, now)

    def _decide(self, event: Event, now: float) -> list[Action]:
        match event:
            case (
                StoreResponse()
                | WatchChanged()
                | WatchBroken()
                | PollRetryDue()
                | PeerSnapshot()
                | StoreRestored()
                | RestoredGraceOver()
            ):
                return self._store_event(event, now)
            case Start():
                return self._start(event, now)
            case (
                PresenceDue()
                | PeerLinkOpened()
                | PeerReceived(message=StoreUpdate() | ProofRequest() | ProofReply())
            ):
                return self._membership_event(event, now)
            case PeerLinkBroken():
                self._proof_manager.link_broken(event)
            case SweepDue() | LagDue() | ProcessResumed():
                return self._periodic_work.handle(event, now)
            case StopRequested():
                return self._stop.begin(now)
            case StopCheckDue():
                return self._stop.check(now)
            case ReadyDue():
                return self._readiness.update(now)
        actions = self._forwarding.handle(event, now)
        return (
            actions + self._periodic_work.adjust_poll_interval(now)
            if self._forwarding.exchanges_awaiting_records
            else actions
        )

    def _membership_event(
        self, event: PresenceDue | PeerLinkOpened | PeerReceived, now: float
    ) -> list[Action]:
        match event:
            case PeerReceived(sender=sender, message=StoreUpdate() as update):
                self._update_source = sender.node_id
                return [
                    *self._restoration.observe_version(
                        update.store_revision, sender.node_id, update.is_listing, now
                    ),
                    *self._updates.receive_update(update, now),
                    *self._proof_manager.handle_update_from(sender, now),
                ]
            case PeerReceived(sender=sender, message=ProofRequest() | ProofReply() as message):
                return self._updates.handle_proof_message(sender, message, now)
            case PresenceDue():
                return self._presence_due(event, now)
            case PeerLinkOpened():
                actions = self._members.handle_link_opened(event, self._table, now)
                self._forwarding.enable_peers(self._members.groups)
                self._reachability.enable_peers(self._members.groups)
                return [*actions, *self._proof_manager.sweep(self._members.update_recipients, now)]
        return []

    def _store_event(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, StoreRestored | RestoredGraceOver):
            return self._restoration.handle(event, now) + self._readiness.update(now)
        if isinstance(event, StoreResponse) and self._members.handles(event):
            return self._members.handle_response(event, now)
        if isinstance(event, StoreResponse) and self._held_request_keys.handles_response(event):
            return self._held_request_keys.handle_response(event)
        self._update_source = "poll" if isinstance(event, WatchChanged) else "listing"
        actions: list[Action] = []
        if isinstance(event, StoreResponse) and isinstance(event.result, ReadResult):
            version = event.result.store_revision
            actions += self._restoration.observe_version(version, STORE, False, now)
        return actions + self._follower.handle(event, now)

    def _start(self, event: Start, now: float) -> list[Action]:
        return [
            *self._follower.handle(event, now),
            *self._presence.handle(event, now),
            *self._periodic_work.start(now),
        ]

    def _presence_due(self, event: PresenceDue, now: float) -> list[Action]:
        return self._members.handle_presence_due(event, self._table, now)

    def _rank_delay_seconds(self) -> float:
        """Return a delay that grows with this node's position in its group."""
        return self._members.group_position() * self._settings.poll_rank_delay_seconds

    # The store

    def _configure(self, document: bytes) -> list[Action]:
        table = self._formats.parse_configuration(document)
        if isinstance(table, Failure):
            fields = (("reason", table.reason),)
            return [Log("configuration_unreadable", LogLevel.ERROR, fields)]
        if self._table is not None and table.version <= self._table.version:
            return []
        self._table = table
        self._readiness.set_table(table)
        self._reachability.set_table(table)
        self._forwarding.set_table(table)
        self._members.configure(table)
        self._proof_manager.configure(table)
        adopted_fields = (
            ("version", table.version),
            ("routes", len(table.routes)),
            ("source", self._update_source),
        )
        return [
            Log("configuration_adopted", LogLevel.INFO, adopted_fields),
            Count("configurations_adopted_total"),
            self._readiness.current_forwarding(),
        ]
