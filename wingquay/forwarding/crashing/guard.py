"""Keeps requests that end replicas from replicas, here and on the other nodes.

A request is suspect once a replica ended under it and none has answered it; then one replica is
asked at a time. After three such ends, one after the other, it is held back. An answer of any
replica clears it. Nodes tell each other, and what is held stands in the store as well, for those
that start later and for operators.
"""

import random
from collections.abc import Callable

from ...ports.crash_news import CrashNews, HeldRequest, ToldEnd
from ...ports.forwarding import ConnectionTried, ForwardRequested, OpaqueRequest
from ...ports.machine import Action, Count, Log, LogLevel, Schedule
from ...ports.peer_link import NodeIdentity, SendToPeer
from ..arrival.request_identity import compute_identity
from ..exchange import Attempt, Exchange
from ..knowledge.loop_lag import LoopLag
from ..timers import CrashNewsDue
from .end_watch import EndWatch, LostAttempt
from .evidence import ReplicaEnd
from .suspects import Suspects, SuspicionLevel

NEWS_PEERS = 8
"""Nodes that are told what is new; each tells as many others when it first hears it. That reaches
500 nodes in three steps, and each of them sends 8 messages."""
TELL_SECONDS = 0.2
"""Time after an end for which an answer may clear the request before other nodes are told.

Its end is not waited for: one that waits for another replica may take 8 s, and come elsewhere."""
MOST_NEWS_PER_SECOND = 50
MOST_TARGET_CHARACTERS = 120


class CrashGuard:
    """Decides which requests may be sent, and how.

    Parameters
    ----------
    node_id
        This node's name.
    random_source
        Chooses the nodes that are told.
    lag
        How late this node is: so much older are the news that it takes in.
    """

    def __init__(
        self,
        node_id: str,
        random_source: random.Random,
        lag: LoopLag,
    ) -> None:
        self._node_id = node_id
        self._lag = lag
        self._random = random_source
        self._suspects = Suspects()
        self._ends = EndWatch(node_id)
        self._news_second = 0
        self._news_count = 0
        self.peers: Callable[[float], list[NodeIdentity]] = _no_peers
        """Returns the nodes that can be told."""
        self.on_held: Callable[[bytes, float], list[Action]] = _nothing_open
        """Ends what is under way of a request that is held back from now on."""
        self.write: Callable[[bytes, HeldRequest, float], list[Action]] = _nothing_written
        """Lets nodes that start later know of a request that is held back."""

    def suspicion_level(
        self, request: OpaqueRequest, now: float, tenant: str = ""
    ) -> SuspicionLevel:
        """Return how a request that has arrived, of a tenant if it is known, is to be treated."""
        if not len(self._suspects):
            return SuspicionLevel.NORMAL
        return self._suspects.suspicion_level(compute_identity(request, tenant), now)

    def held_seconds(self, identity: bytes, now: float) -> float:
        """Return how much longer a request is held back."""
        return self._suspects.held_seconds(identity, now)

    def refused(self, identity: bytes, event: ForwardRequested, now: float) -> list[Action]:
        """Take in that a request that is held back has come again: nodes that start must know."""
        return self._write(identity, event, now)

    # Evidence of this node

    def lost(self, attempt: Attempt, now: float) -> list[Action]:
        """Take in that a connection ended without a byte of an answer."""
        exchange = attempt.call.exchange
        if exchange.is_cleared:
            return []
        exchange.unexplained_disconnects += 1
        if exchange.origin is not None:
            # The node that asked looks into it: it knows of all parts of the request.
            return []
        if attempt.replica.is_superseded:
            known = self._ends.known(attempt, now)
            return [] if known is None else self._ended(known, now)
        return self._ends.lost(attempt, now)

    def connection_tried(
        self, event: ConnectionTried, now: float
    ) -> tuple[list[Action], list[Exchange]]:
        """Take in whether a replica that may have ended takes a connection.

        Returns also the requests of which more is known by it.
        """
        actions: list[Action] = []
        found = self._ends.tried(event)
        for lost in found:
            if event.is_refused or lost.replica.is_superseded:
                actions += self._ended(lost, now)
            elif event.is_open:
                lost.exchange.unexplained_disconnects -= 1
        return actions, [lost.exchange for lost in found]

    def _ended(self, lost: LostAttempt, now: float) -> list[Action]:
        exchange = lost.exchange
        if exchange.is_cleared:
            return []
        was_held = self._is_held(exchange.identity, now)
        if not self._suspects.add(exchange.identity, [lost.end], now):
            return []
        fields = (
            *_fields(exchange),
            ("replica", lost.end.life),
            ("ends", self._ends_known(exchange.identity)),
        )
        actions: list[Action] = [
            Log("replica_ended_under_request", LogLevel.WARNING, fields),
            Count("replica_ends_under_requests_total"),
        ]
        if not was_held and self._is_held(exchange.identity, now):
            actions += self._hold_found(exchange, now)
        else:
            actions.append(Schedule(now + TELL_SECONDS, CrashNewsDue(exchange.identity)))
        return actions

    def tell_due(self, event: CrashNewsDue, now: float) -> list[Action]:
        """Tell others of ends under a request that no answer has cleared."""
        suspect = self._suspects.get(event.identity)
        if suspect is None or now < suspect.held_until:
            return []
        return self._tell(event.identity, now)

    def answered(self, exchange: Exchange, now: float) -> list[Action]:
        """Take in that a replica has run a request to an end: it is innocent."""
        exchange.is_cleared = True
        if not len(self._suspects) or not self._suspects.clear(exchange.identity, now):
            return []
        return [
            Log("request_cleared", LogLevel.INFO, _fields(exchange)),
            Count("requests_cleared_total"),
            *self._tell(exchange.identity, now, is_cleared=True),
        ]

    # What others say

    def news(self, sender: NodeIdentity, news: CrashNews, now: float) -> list[Action]:
        """Take in what another node has found, and tell others if it is new here."""
        identity = news.identity
        if news.is_cleared:
            is_new = self._suspects.clear(identity, now)
            return self._tell(identity, now, sender, True) if is_new else []
        was_held = self._is_held(identity, now)
        is_new = self._suspects.add(identity, _ends_of(news, now - self._lag.seconds), now)
        if news.held_seconds:
            is_new = self._suspects.hold(identity, news.held_seconds, now) or is_new
        if not is_new:
            return []
        actions = self._tell(identity, now, sender)
        if not was_held and self._is_held(identity, now):
            actions += self._held(identity, sender.node_id, now)
        return actions

    def hold(self, identity: bytes, seconds: float, told_by: str, now: float) -> list[Action]:
        """Hold a request back as another node or the store says."""
        if not self._suspects.hold(identity, seconds, now):
            return []
        return [*self._held(identity, told_by, now), *self._tell(identity, now)]

    def lift(self, identity: bytes, now: float) -> list[Action]:
        """Let a request be tried again, at one replica at a time."""
        if not self._suspects.lift(identity, now):
            return []
        return [Log("request_hold_ended", LogLevel.INFO, (("digest", identity.hex()),))]

    # Holding back and telling

    def _hold_found(self, exchange: Exchange, now: float) -> list[Action]:
        """Hold back a request that this node has found to end replicas."""
        found = self._write(exchange.identity, exchange.event, now)
        told = self._tell(exchange.identity, now)
        return [*self._held(exchange.identity, self._node_id, now, exchange), *told, *found]

    def _write(self, identity: bytes, event: ForwardRequested, now: float) -> list[Action]:
        seconds = self._suspects.held_seconds(identity, now)
        held = HeldRequest(seconds, _target_text(event), event.caller, self._node_id)
        return self.write(identity, held, now)

    def _held(
        self, identity: bytes, told_by: str, now: float, exchange: Exchange | None = None
    ) -> list[Action]:
        fields: tuple[tuple[str, str | int | float], ...] = (("digest", identity.hex()),)
        if exchange is not None:
            fields = _fields(exchange)
        fields += (
            ("told_by", told_by),
            ("ends", self._ends_known(identity)),
            ("seconds", round(self._suspects.held_seconds(identity, now), 1)),
            ("held", self._suspects.held(now)),
        )
        return [
            Log("request_held", LogLevel.WARNING, fields),
            Count("requests_held_total"),
            *self.on_held(identity, now),
        ]

    def _tell(
        self,
        identity: bytes,
        now: float,
        sender: NodeIdentity | None = None,
        is_cleared: bool = False,
    ) -> list[Action]:
        """Tell a few other nodes what is known of a request."""
        others = [peer for peer in self.peers(now) if peer != sender]
        if not others or not self._may_tell(now):
            return [Count("crash_news_left_out_total")] if others else []
        told = self._random.sample(others, min(NEWS_PEERS, len(others)))
        message = CrashNews(identity, is_cleared=True)
        if not is_cleared:
            suspect = self._suspects.get(identity)
            ends = () if suspect is None else tuple(suspect.ends.values())
            held_seconds = self._suspects.held_seconds(identity, now)
            message = CrashNews(identity, tuple(_told(end, now) for end in ends), held_seconds)
        return [
            *(SendToPeer(peer, message) for peer in told),
            Count("crash_news_total", len(told)),
        ]

    def _may_tell(self, now: float) -> bool:
        if int(now) != self._news_second:
            self._news_second = int(now)
            self._news_count = 0
        self._news_count += 1
        return self._news_count <= MOST_NEWS_PER_SECOND

    def _is_held(self, identity: bytes, now: float) -> bool:
        return self._suspects.suspicion_level(identity, now) is SuspicionLevel.HELD

    def _ends_known(self, identity: bytes) -> int:
        suspect = self._suspects.get(identity)
        return 0 if suspect is None else len(suspect.ends)


def _told(end: ReplicaEnd, now: float) -> ToldEnd:
    return ToldEnd(end.life, end.node_id, now - end.sent_at, now - end.ended_at)


def _ends_of(news: CrashNews, told_at: float) -> list[ReplicaEnd]:
    return [
        ReplicaEnd(
            end.life,
            end.node_id,
            told_at - end.sent_seconds,
            told_at - end.ended_seconds,
        )
        for end in news.ends
    ]


def _fields(exchange: Exchange) -> tuple[tuple[str, str | int | float], ...]:
    event = exchange.event
    return (
        ("digest", exchange.identity.hex()),
        ("request_id", event.request_id),
        ("route", exchange.route.name),
        ("target", _target_text(event)),
        ("caller", event.caller),
        *exchange.tenant_fields,
    )


def _target_text(event: ForwardRequested) -> str:
    return event.request.target.decode("latin-1")[:MOST_TARGET_CHARACTERS]


def _no_peers(_now: float) -> list[NodeIdentity]:
    return []


def _nothing_open(_identity: bytes, _now: float) -> list[Action]:
    return []


def _nothing_written(_identity: bytes, _held: HeldRequest, _now: float) -> list[Action]:
    return []
