"""Joins the decisions of a node that passes requests on: store, replicas, requests, stop."""

import random

from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
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
    StoredValue,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from ..ports.store_news import StoreNews
from .arrival.admission import ConfigurationProof
from .arrival.limits.limit_keeper import LimitKeeper
from .arrival.limits.limit_settings import LimitSettings
from .choice.evacuations import Evacuations
from .choice.replica_directory import ReplicaDirectory
from .choice.replica_state import ReplicaState
from .crashing.held_keys import HeldKeys
from .crashing.suspects import Verdict
from .forwarding_machine import ForwardingMachine
from .knowledge.news_exchange import NewsExchange
from .knowledge.node_lateness import NodeLateness
from .knowledge.node_membership import NodeMembership
from .knowledge.presence import NodeCount, Presence, PresenceDue
from .knowledge.proof_keeper import ProofKeeper
from .knowledge.store_follower import (
    FollowAgain,
    FollowerHooks,
    FollowerSettings,
    StoreFollower,
)
from .line_budget import LineBudget
from .own_time import WAKING_SECONDS as WAKING_SECONDS
from .own_time import LagDue, OwnTime, SweepDue
from .readiness.asked_routes import AskedRoutes
from .readiness.departure import Departure
from .readiness.reach import Reach
from .readiness.taking_callers import ReadyDue, StopCheckDue, TakingCallers
from .sending.waiting_settings import DEFAULT_WAITING, WaitingSettings
from .settings import ForwardingSettings
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
        self._evacuations = Evacuations(formats.evacuation_prefix, self._directory)
        self._nodes = NodeCount(settings)
        key = formats.node_prefix + name
        self._presence = Presence(key, settings, random_source)
        self._keeper = ProofKeeper(
            follower.proving,
            lambda: self._members.rank() * settings.news_rank_seconds,
            lambda now: self._follower.next_answer_at(now),
            random_source.getrandbits(ASK_NUMBER_BITS) if follower.proving else 0,
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
            self._on_listing,
            self._on_changes,
            self._directory.note_outage,
            lambda news, now: self._news.told(news, now),
            lambda: bool(self._members.listeners()),
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
        self._limits = LimitKeeper(
            name, limits, self._members, self._forwarding.admission, self._forwarding.limit_answered
        )
        self._lateness = NodeLateness()
        self._time = OwnTime(
            settings,
            self._directory,
            self._forwarding,
            self._members,
            self._follower,
            self._lateness,
            self._keeper,
        )
        self._news = NewsExchange(
            settings, self._members, self._follower, self._lateness, self._keeper
        )
        departure = Departure()
        asked = AskedRoutes(self._directory)
        self._callers = TakingCallers(settings, self._directory, self._forwarding, asked, departure)
        self._reach = Reach(
            settings, name, self._directory, self._forwarding.evidence, asked, departure
        )

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that this node goes by; 0: it has none."""
        return 0 if self._table is None else self._table.version

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done."""
        actions = self._decide(event, now)
        actions += self._limits.after(event, self._table, now)
        if self._reach.concerns(event, now):
            actions = actions + self._reach.handle(event, now) + self._callers.changes(now)
        return self._lines.admit(actions, now)

    def known_of_store(self) -> ReadResult | None:
        """Return what this node knows of the store, for a node that cannot reach it."""
        return self._follower.known()

    @property
    def proof(self) -> ConfigurationProof:
        """Whether the configuration is proven to be the one in force."""
        return self._keeper.proof

    def verdict(self, request: OpaqueRequest, now: float) -> Verdict:
        """Return how this node treats a request that may end replicas."""
        return self._forwarding.guard.verdict(request, now)

    def _decide(self, event: Event, now: float) -> list[Action]:
        match event:
            case StoreResponse() | WatchChanged() | WatchBroken() | FollowAgain() | PeerSnapshot():
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
                return self._callers.changes(now)
        actions = self._forwarding.handle(event, now)
        return actions + self._time.pace(now) if self._forwarding.held_exchanges else actions

    def _membership_event(
        self, event: PresenceDue | PeerLinkOpened | PeerReceived, now: float
    ) -> list[Action]:
        match event:
            case PeerReceived(sender=sender, message=StoreNews() as news):
                self._told_by = sender.node_id
                return [*self._news.heard(news, now), *self._keeper.news_from(sender, now)]
            case PeerReceived(sender=sender, message=AskProof() | ProofGiven() as message):
                return self._news.proof_message(sender, message, now)
            case PresenceDue():
                return self._presence_due(event, now)
            case PeerLinkOpened():
                actions = self._members.link_opened(event, self._table, now)
                self._forwarding.enable_peers(self._members.groups)
                self._reach.enable_peers(self._members.groups)
                return [*actions, *self._keeper.sweep(self._members.listeners, now)]
        return []

    def _store_event(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, StoreResponse) and self._members.is_mine(event):
            return self._members.answered(event, now)
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
        return self._members.presence_due(event, self._table, now)

    # The store

    def _on_listing(self, values: tuple[StoredValue, ...], now: float) -> list[Action]:
        prefix = self._formats.replica_prefix
        ids = {item.key.removeprefix(prefix) for item in values if item.key.startswith(prefix)}
        self._directory.keep_only(ids, now, self._follower.known_revision)
        self._members.keep_only({item.key for item in values if self._is_node_key(item.key)})
        keys = {item.key for item in values}
        gone = (*self._evacuations.missing_from(keys), *self._held_keys.missing_from(keys))
        return self._on_changes(values, gone, now)

    def _on_changes(
        self, changed: tuple[StoredValue, ...], deleted: tuple[str, ...], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        self._news.rewritten.clear()
        for item in changed:
            actions += self._put(item, now)
        for key in deleted:
            actions += self._remove(key, now)
        return actions + self._callers.changes(now)

    def _put(self, item: StoredValue, now: float) -> list[Action]:
        """Take in a key that was written."""
        if item.key == self._formats.configuration_key:
            return self._configure(item.value)
        if item.key.startswith(self._formats.replica_prefix):
            return self._put_replica(item, now)
        if self._evacuations.is_mine(item.key):
            return self._evacuations.put(item.key)
        if self._held_keys.is_mine(item.key):
            return self._held_keys.put(item, now)
        if self._is_node_key(item.key):
            self._members.put(item)
        elif item.key == self._formats.cluster_key:
            self._members.learn_cluster_key(item.value)
        return []

    def _remove(self, key: str, now: float) -> list[Action]:
        """Take in that a key is gone."""
        prefix = self._formats.replica_prefix
        if self._evacuations.is_mine(key):
            return self._evacuations.remove(key)
        if self._held_keys.is_mine(key):
            return self._held_keys.remove(key, now)
        if key.startswith(prefix):
            self._directory.vanish(key.removeprefix(prefix), now, self._follower.known_revision)
        else:
            self._members.remove(key)
        return []

    def _is_node_key(self, key: str) -> bool:
        return key.startswith(self._formats.node_prefix)

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
            self._callers.state(),
        ]

    def _put_replica(self, item: StoredValue, now: float) -> list[Action]:
        replica_id = item.key.removeprefix(self._formats.replica_prefix)
        record = self._formats.parse_replica(replica_id, item.value)
        if isinstance(record, Failure):
            fields = (("key", item.key), ("reason", record.reason))
            # It may have been readable before: that replica counts as one whose record is gone.
            self._directory.vanish(replica_id, now, item.modified_at)
            return [
                Log("replica_record_unreadable", LogLevel.WARNING, fields),
                Count("replica_records_unreadable_total"),
            ]
        if self._directory.holds(record):
            self._news.rewritten.add(item.key)
        over = self._directory.put(record, now, item.modified_at)
        return [] if over is None else self._life_over(over, record, now)

    def _life_over(self, over: ReplicaState, record: ReplicaRecord, now: float) -> list[Action]:
        """Take in that a replica has started again."""
        fields: tuple[tuple[str, str | int | float], ...] = (
            ("replica", record.replica_id),
            ("service", record.service),
            ("born", -1 if record.born is None else record.born),
            ("open_attempts", len(over.in_flight)),
        )
        return [
            Log("replica_born_again", LogLevel.INFO, fields),
            Count("replicas_born_again_total"),
            *self._forwarding.life_over(over, now),
        ]
