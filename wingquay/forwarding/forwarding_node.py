"""Joins the decisions of a node that passes requests on: store, replicas, requests, stop."""

import random

from ..model.failure import Failure
from ..model.routing_table import CallerLimits, RoutingTable
from ..model.value import value
from ..ports.forwarding import OpaqueRequest, SetForwarding
from ..ports.machine import (
    Action,
    Count,
    Event,
    Exit,
    Log,
    LogLevel,
    Schedule,
    Start,
    StopRequested,
    Woken,
)
from ..ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from ..ports.peer_snapshot import PeerSnapshot
from ..ports.proof_messages import AskProof, ProofGiven
from ..ports.store import (
    ReadResult,
    StartWatch,
    StoredValue,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from ..ports.store_news import StoreNews
from .arrival.admission import ConfigurationProof
from .choice.evacuations import Evacuations
from .choice.replica_directory import ReplicaDirectory
from .crashing.held_keys import HeldKeys
from .crashing.suspects import Verdict
from .forwarding_machine import ForwardingMachine
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
from .settings import ForwardingSettings
from .store_formats import FormatFailureKind as FormatFailureKind
from .store_formats import StoreFormats as StoreFormats
from .timers import GreetingDue

SWEEP_SECONDS = 0.5
"""Time between two looks for replicas whose time of grace is over."""
LAG_SECONDS = 0.2
"""Time between two looks how late this node is. It matters where requests wait for half a second;
ten looks a second cost 0.03 of the credit of 16 nodes of 0.12 core (two seeds)."""
WAKING_SECONDS = 0.05
"""Time after waking for which requests that are read count as having waited all the while."""
STOP_CHECK_SECONDS = 0.1
CLUSTER_KEY_BYTES = 32
ASK_NUMBER_BITS = 62


@value
class SweepDue(Event):
    """Forget replicas whose time of grace is over, and see how late this node does its work."""

    due_at: float


@value
class LagDue(Event):
    """See how late this node is."""

    due_at: float


@value
class StopCheckDue(Event):
    """Look whether the stop can end."""


class ForwardingNode:
    """The whole decision code of one node that passes requests on.

    Parameters
    ----------
    name
        This node's name, which no other node has.
    """

    def __init__(
        self,
        name: str,
        settings: ForwardingSettings,
        follower: FollowerSettings,
        formats: StoreFormats,
        random_source: random.Random,
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
            lambda: self._rank_seconds,
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
            self._keeper.proof,
        )
        guard = self._forwarding.guard
        self._held_keys = HeldKeys(formats, guard.hold, guard.lift)
        guard.write = self._held_keys.write
        hooks = FollowerHooks(
            self._on_listing,
            self._on_changes,
            self._directory.note_outage,
            self._on_look,
            lambda: bool(self._members.listeners()),
            lambda: self._members.rank() == 0,
            lambda: self._is_ready,
        )
        self._follower = StoreFollower(follower, hooks, self._keeper)
        self._table: RoutingTable | None = None
        self._idle_seconds = 0.0
        self._stopping_since: float | None = None
        self._was_ready = False
        self._rewritten: set[str] = set()
        """Keys of replicas' entries that the last changes left as they were but for the writing."""
        self._late_seconds = 0.0
        """How late the last regular timer fired."""
        self._lag_due_at = float("inf")
        """When the next one that shows how late this node is should fire."""
        self._told_by = ""
        """By which way the present news of the store came: a look, a listing, or a node's id."""
        self._lines = LineBudget()
        candidate = random_source.randbytes(CLUSTER_KEY_BYTES)
        self._members = NodeMembership(
            name, settings, formats, self._nodes, self._presence, candidate
        )

    @property
    def configuration_version(self) -> int:
        """The version of the configuration that this node goes by; 0: it has none."""
        return 0 if self._table is None else self._table.version

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done."""
        return self._lines.admit(self._decide(event, now), now)

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
            case PresenceDue() | PeerLinkOpened() | PeerReceived(message=StoreNews()):
                return self._membership_event(event, now)
            case PeerReceived(sender=sender, message=AskProof() | ProofGiven() as message):
                return self._proof_message(sender, message, now)
            case PeerLinkBroken():
                self._keeper.link_broken(event)
            case SweepDue() | LagDue() | Woken():
                return self._time_event(event, now)
            case StopRequested():
                return self._stop(now)
            case StopCheckDue():
                return self._check_stop(now)
        actions = self._forwarding.handle(event, now)
        return actions + self._pace_actions(now) if self._forwarding.held_exchanges else actions

    def _time_event(self, event: SweepDue | LagDue | Woken, now: float) -> list[Action]:
        match event:
            case SweepDue():
                self._late_seconds = max(now - event.due_at, 0.0)
                self._directory.forget_vanished(now)
                due_at = now + SWEEP_SECONDS
                greetings = self._forwarding.handle(GreetingDue(), now)
                proving = self._keeper.sweep(self._members.listeners, now)
                sweep = Schedule(due_at, SweepDue(due_at))
                return [*greetings, *proving, *self._pace_actions(now), sweep]
            case LagDue():
                return self._lag_due(event, now)
            case Woken():
                return self._woken(event, now)

    def _membership_event(
        self, event: PresenceDue | PeerLinkOpened | PeerReceived, now: float
    ) -> list[Action]:
        match event:
            case PeerReceived(sender=sender, message=StoreNews() as news):
                self._told_by = sender.node_id
                return [*self._news(news, now), *self._keeper.news_from(sender, now)]
            case PresenceDue():
                return self._presence_due(event, now)
            case PeerLinkOpened():
                actions = self._members.link_opened(event, self._table, now)
                self._forwarding.enable_peers(self._members.groups)
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
            Schedule(now + SWEEP_SECONDS, SweepDue(now + SWEEP_SECONDS)),
            *self._schedule_lag(now),
        ]

    def _woken(self, event: Woken, now: float) -> list[Action]:
        """Behave as a node whose store was away for as long, and give up what is too late."""
        self._directory.note_outage(now)
        self._late_seconds = event.seconds
        self._keeper.failed("suspended")
        open_requests = self._forwarding.open_exchanges
        actions = self._forwarding.woken(event, now)
        fields = (
            ("suspended_seconds", round(event.seconds, 3)),
            ("open_requests", open_requests),
            ("given_up", open_requests - self._forwarding.open_exchanges),
        )
        return [
            Log("woken", LogLevel.WARNING, fields),
            Count("suspensions_total"),
            *actions,
            *self._follower.look_now(now),
            *self._schedule_lag(now, WAKING_SECONDS),
        ]

    def _lag_due(self, event: LagDue, now: float) -> list[Action]:
        if event.due_at != self._lag_due_at:
            return []
        self._forwarding.lag.seconds = max(now - event.due_at, 0.0)
        return self._schedule_lag(now)

    def _schedule_lag(self, now: float, seconds: float = LAG_SECONDS) -> list[Action]:
        self._lag_due_at = now + seconds
        return [Schedule(self._lag_due_at, LagDue(self._lag_due_at))]

    def _presence_due(self, event: PresenceDue, now: float) -> list[Action]:
        return self._members.presence_due(event, self._table, now)

    # The store

    def _on_listing(self, values: tuple[StoredValue, ...], now: float) -> list[Action]:
        prefix = self._formats.replica_prefix
        ids = {item.key.removeprefix(prefix) for item in values if item.key.startswith(prefix)}
        self._directory.keep_only(ids, now)
        self._members.keep_only({item.key for item in values if self._is_node_key(item.key)})
        keys = {item.key for item in values}
        gone = (*self._evacuations.missing_from(keys), *self._held_keys.missing_from(keys))
        return self._on_changes(values, gone, now)

    def _on_changes(
        self, changed: tuple[StoredValue, ...], deleted: tuple[str, ...], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        self._rewritten.clear()
        for item in changed:
            actions += self._put(item, now)
        for key in deleted:
            actions += self._remove(key, now)
        return actions + self._ready_actions()

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
            self._directory.vanish(key.removeprefix(prefix), now)
        else:
            self._members.remove(key)
        return []

    def _on_look(self, news: StoreNews, now: float) -> list[Action]:
        """Tell the nodes that would look at the same what this one has seen."""
        listeners = self._members.listeners()
        if not listeners:
            return []
        told = StoreNews(
            news.from_revision,
            news.store_revision,
            tuple(
                item
                for item in news.changed
                if item.key not in self._rewritten or item.created_at > news.from_revision
            ),
            news.deleted,
            max(news.age_seconds, self._lateness(now)),
            news.may_have_more,
        )
        sent: list[Action] = [SendToPeer(listener, told) for listener in listeners]
        return [*sent, Count("store_news_total", len(listeners), (("side", "told"),))]

    def _lateness(self, now: float) -> float:
        """Return how late this node is with its work, in seconds.

        A timer that is overdue counts as well: after a node stood still, what waits at its sockets
        is handled before its timers, and is as old as that.
        """
        return max(self._late_seconds, now - self._lag_due_at)

    def _news(self, news: StoreNews, now: float) -> list[Action]:
        """Take in what another node has read.

        The own look is put off, but for the time that the news have taken, as far as it is known:
        at the sender, and behind other work of this node.
        """
        taken_seconds = news.age_seconds + self._lateness(now)
        pause_seconds = self._follower.usual_gather_seconds + self._rank_seconds - taken_seconds
        if news.may_have_more or taken_seconds >= self._settings.news_late_seconds:
            pause_seconds = 0.0
        actions = self._follower.absorb(news, pause_seconds, now)
        is_put_off = any(isinstance(action, StartWatch) for action in actions)
        side = "look_put_off" if is_put_off else "heard"
        return [*actions, Count("store_news_total", labels=(("side", side),))]

    def _proof_message(
        self, sender: NodeIdentity, message: AskProof | ProofGiven, now: float
    ) -> list[Action]:
        """Take in that another node asks, or what its look proves; then put the own look off."""
        known_revision = self._follower.known_revision
        if isinstance(message, AskProof):
            return self._keeper.asked(sender, message, known_revision, now)
        actions = self._keeper.given(sender, message, known_revision, now)
        usual_seconds = self._follower.usual_gather_seconds + self._rank_seconds
        pause_seconds = usual_seconds - self._keeper.age_seconds(now)
        return [*actions, *self._follower.put_off(pause_seconds, now)]

    @property
    def _rank_seconds(self) -> float:
        """How much later than the first of its group this node looks by itself."""
        return self._settings.news_rank_seconds * self._members.rank()

    def _pace_actions(self, now: float) -> list[Action]:
        """Look at the store more often while records of replicas or nodes are missing."""
        is_old = self._directory.is_contradicted(now)
        if is_old or self._forwarding.held_exchanges > 0:
            return self._follower.gather(self._settings.settle_gather_seconds, now)
        if self._members.is_joining(now):
            seconds = self._settings.join_idle_gather_seconds
            if self._forwarding.is_asked:
                seconds = self._settings.join_gather_seconds
            return self._follower.gather(seconds, now)
        return self._follower.gather(None, now)

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
            self._set_forwarding(),
        ]

    def _put_replica(self, item: StoredValue, now: float) -> list[Action]:
        replica_id = item.key.removeprefix(self._formats.replica_prefix)
        record = self._formats.parse_replica(replica_id, item.value)
        if isinstance(record, Failure):
            fields = (("key", item.key), ("reason", record.reason))
            return [Log("replica_record_unreadable", LogLevel.WARNING, fields)]
        if self._directory.holds(record):
            self._rewritten.add(item.key)
        self._directory.put(record, now)
        return []

    # Ready and stop

    @property
    def _is_ready(self) -> bool:
        is_stopping = self._stopping_since is not None
        return not is_stopping and self._table is not None and len(self._directory) > 0

    def _ready_actions(self) -> list[Action]:
        if self._is_ready == self._was_ready:
            return []
        self._was_ready = self._is_ready
        line = Log("ready_changed", LogLevel.INFO, (("is_ready", int(self._is_ready)),))
        return [line, self._set_forwarding()]

    def _set_forwarding(self) -> SetForwarding:
        limits = CallerLimits() if self._table is None else self._table.limits
        # A shorter idle time would cut off callers that still go by the longer one.
        self._idle_seconds = max(self._idle_seconds, limits.idle_seconds)
        limits = CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.request_read_seconds,
            self._idle_seconds,
        )
        return SetForwarding(self._is_ready, self._stopping_since is not None, limits)

    def _stop(self, now: float) -> list[Action]:
        if self._stopping_since is not None:
            return []
        self._stopping_since = now
        self._forwarding.is_stopping = True
        fields = (("open_requests", self._forwarding.open_exchanges),)
        return [
            Log("stop_started", LogLevel.INFO, fields),
            *self._ready_actions(),
            self._set_forwarding(),
            Schedule(now + STOP_CHECK_SECONDS, StopCheckDue()),
        ]

    def _check_stop(self, now: float) -> list[Action]:
        assert self._stopping_since is not None
        elapsed = now - self._stopping_since
        open_requests = self._forwarding.open_exchanges
        most_seconds = self._settings.most_stop_seconds
        is_over = elapsed >= most_seconds
        if elapsed >= self._settings.unready_stop_seconds and not open_requests:
            is_over = True
        if is_over:
            return [Exit(open_requests, grace_seconds=max(most_seconds - elapsed, 0.0))]
        return [Schedule(now + STOP_CHECK_SECONDS, StopCheckDue())]
