"""Keeps requests that crash replicas away from the replicas of all nodes.

A request is suspect once a replica has crashed while running it and none has answered it; it is
then sent to one replica at a time. After three independent crashes it is held: no replica receives
it. An answer of any replica clears it. Nodes report crashes to each other. Held requests are also
written to the store, for nodes that start later and for operators.
"""

import random
from collections.abc import Callable

from ...ports.crash_messages import CrashReport, HeldRequest, ReportedCrash
from ...ports.forwarding import ConnectionTried, ForwardRequested, OpaqueRequest
from ...ports.machine import Action, Count, Log, LogLevel, Schedule
from ...ports.peer_link import NodeIdentity, SendToPeer
from ..arrival.request_identity import compute_identity
from ..exchange import Attempt, Exchange
from ..knowledge.loop_lag import LoopLag
from ..timers import CrashReportDue
from .crash_prober import CrashProber, DisconnectedAttempt
from .replica_crash import ReplicaCrash
from .suspects import SuspectTable, SuspicionLevel

MAX_REPORT_PEERS = 8
"""Maximum number of nodes to which a new report is sent or forwarded. Each of them forwards it to
as many others, which reaches 500 nodes in three steps."""
REPORT_DELAY_SECONDS = 0.2
"""Time after a crash in which an answer may clear the request before other nodes are notified. It
does not last until the request has ended, which may take 8 s while the request is sent at other
nodes, too."""
MAX_REPORTS_PER_SECOND = 50
MAX_TARGET_CHARACTERS = 120


class CrashGuard:
    """Tracks requests that crash replicas, and holds them or restricts how they are sent.

    Parameters
    ----------
    node_id
        This node's name.
    random_source
        Selects the nodes that receive reports.
    lag
        Lag of this node's event loop; added to the age of received reports.
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
        self._suspects = SuspectTable()
        self._prober = CrashProber(node_id)
        self._report_second = 0
        self._report_count = 0
        self.peers: Callable[[float], list[NodeIdentity]] = _no_peers
        """Returns the nodes that can receive reports."""
        self.on_held: Callable[[bytes, float], list[Action]] = _no_open_exchanges
        """Ends the open exchanges of a request that is held from now on."""
        self.store_hold: Callable[[bytes, HeldRequest, float], list[Action]] = _store_nothing
        """Writes a held request to the store, for nodes that start later."""

    def suspicion_level(
        self, request: OpaqueRequest, now: float, tenant: str = ""
    ) -> SuspicionLevel:
        """Return the suspicion level of a request; ``tenant`` is empty if it is unknown."""
        if not len(self._suspects):
            return SuspicionLevel.NORMAL
        return self._suspects.suspicion_level(compute_identity(request, tenant), now)

    def held_seconds(self, identity: bytes, now: float) -> float:
        """Return the remaining hold period of a request; 0 if it is not held."""
        return self._suspects.held_seconds(identity, now)

    def on_held_request_repeated(
        self, identity: bytes, event: ForwardRequested, now: float
    ) -> list[Action]:
        """Ensure that a held request that has arrived again is in the store."""
        return self._store_hold(identity, event, now)

    # Crashes observed by this node

    def on_disconnected(self, attempt: Attempt, now: float) -> list[Action]:
        """Handle a connection that closed before the first byte of an answer."""
        exchange = attempt.call.exchange
        if exchange.is_cleared:
            return []
        exchange.unexplained_disconnects += 1
        if exchange.origin is not None:
            # The delegating node probes the replica: it sees all calls of the request.
            return []
        if attempt.replica.is_superseded:
            disconnected = self._prober.to_disconnected_attempt(attempt, now)
            return [] if disconnected is None else self._add_crash(disconnected, now)
        return self._prober.start_probe(attempt, now)

    def on_connection_tried(
        self, event: ConnectionTried, now: float
    ) -> tuple[list[Action], list[Exchange]]:
        """Handle the result of a crash probe.

        Return also the exchanges for which the replica was probed.
        """
        actions: list[Action] = []
        probed = self._prober.finish_probe(event)
        for disconnected in probed:
            if event.is_refused or disconnected.replica.is_superseded:
                actions += self._add_crash(disconnected, now)
            elif event.is_open:
                disconnected.exchange.unexplained_disconnects -= 1
        return actions, [disconnected.exchange for disconnected in probed]

    def _add_crash(self, disconnected: DisconnectedAttempt, now: float) -> list[Action]:
        exchange = disconnected.exchange
        if exchange.is_cleared:
            return []
        was_held = self._is_held(exchange.identity, now)
        if not self._suspects.add(exchange.identity, [disconnected.possible_crash], now):
            return []
        fields = (
            *_log_fields(exchange),
            ("replica", disconnected.possible_crash.incarnation),
            ("crashes", self._crash_count(exchange.identity)),
        )
        actions: list[Action] = [
            Log("replica_ended_under_request", LogLevel.WARNING, fields),
            Count("replica_ends_under_requests_total"),
        ]
        if not was_held and self._is_held(exchange.identity, now):
            actions += self._start_hold(exchange, now)
        else:
            actions.append(Schedule(now + REPORT_DELAY_SECONDS, CrashReportDue(exchange.identity)))
        return actions

    def on_report_due(self, event: CrashReportDue, now: float) -> list[Action]:
        """Report the crashes of a request to other nodes unless it was cleared or is held."""
        suspect = self._suspects.get(event.identity)
        if suspect is None or now < suspect.held_until:
            return []
        return self._report(event.identity, now)

    def on_answered(self, exchange: Exchange, now: float) -> list[Action]:
        """Clear a request that a replica has answered."""
        exchange.is_cleared = True
        if not len(self._suspects) or not self._suspects.clear(exchange.identity, now):
            return []
        return [
            Log("request_cleared", LogLevel.INFO, _log_fields(exchange)),
            Count("requests_cleared_total"),
            *self._report(exchange.identity, now, is_cleared=True),
        ]

    # Reports of other nodes

    def handle_report(self, sender: NodeIdentity, report: CrashReport, now: float) -> list[Action]:
        """Apply a report of another node, and forward it if it is new to this node."""
        identity = report.identity
        if report.is_cleared:
            is_new = self._suspects.clear(identity, now)
            return self._report(identity, now, sender, True) if is_new else []
        was_held = self._is_held(identity, now)
        is_new = self._suspects.add(
            identity, _crashes_from(report, now - self._lag.seconds(now)), now
        )
        if report.held_seconds:
            is_new = self._suspects.hold(identity, report.held_seconds, now) or is_new
        if not is_new:
            return []
        actions = self._report(identity, now, sender)
        if not was_held and self._is_held(identity, now):
            actions += self._announce_hold(identity, sender.node_id, now)
        return actions

    def hold(self, identity: bytes, seconds: float, reported_by: str, now: float) -> list[Action]:
        """Hold a request that another node or the store reports as held."""
        if not self._suspects.hold(identity, seconds, now):
            return []
        return [*self._announce_hold(identity, reported_by, now), *self._report(identity, now)]

    def release(self, identity: bytes, now: float) -> list[Action]:
        """End the hold of a request; it may be sent again to one replica at a time."""
        if not self._suspects.release(identity, now):
            return []
        return [Log("request_hold_ended", LogLevel.INFO, (("digest", identity.hex()),))]

    # Holding and reporting

    def _start_hold(self, exchange: Exchange, now: float) -> list[Action]:
        """Hold a request that this node has identified as crashing replicas."""
        write_actions = self._store_hold(exchange.identity, exchange.event, now)
        report_actions = self._report(exchange.identity, now)
        return [
            *self._announce_hold(exchange.identity, self._node_id, now, exchange),
            *report_actions,
            *write_actions,
        ]

    def _store_hold(self, identity: bytes, event: ForwardRequested, now: float) -> list[Action]:
        seconds = self._suspects.held_seconds(identity, now)
        held = HeldRequest(seconds, _target_text(event), event.caller, self._node_id)
        return self.store_hold(identity, held, now)

    def _announce_hold(
        self, identity: bytes, reported_by: str, now: float, exchange: Exchange | None = None
    ) -> list[Action]:
        fields: tuple[tuple[str, str | int | float], ...] = (("digest", identity.hex()),)
        if exchange is not None:
            fields = _log_fields(exchange)
        fields += (
            ("reported_by", reported_by),
            ("crashes", self._crash_count(identity)),
            ("seconds", round(self._suspects.held_seconds(identity, now), 1)),
            ("held", self._suspects.count_held(now)),
        )
        return [
            Log("request_held", LogLevel.WARNING, fields),
            Count("requests_held_total"),
            *self.on_held(identity, now),
        ]

    def _report(
        self,
        identity: bytes,
        now: float,
        sender: NodeIdentity | None = None,
        is_cleared: bool = False,
    ) -> list[Action]:
        """Report the state of a request to a few other nodes."""
        others = [peer for peer in self.peers(now) if peer != sender]
        if not others or not self._may_report(now):
            return [Count("crash_news_left_out_total")] if others else []
        recipients = self._random.sample(others, min(MAX_REPORT_PEERS, len(others)))
        message = CrashReport(identity, is_cleared=True)
        if not is_cleared:
            suspect = self._suspects.get(identity)
            crashes = () if suspect is None else tuple(suspect.crashes.values())
            held_seconds = self._suspects.held_seconds(identity, now)
            message = CrashReport(
                identity, tuple(_to_report(crash, now) for crash in crashes), held_seconds
            )
        return [
            *(SendToPeer(peer, message) for peer in recipients),
            Count("crash_news_total", len(recipients)),
        ]

    def _may_report(self, now: float) -> bool:
        if int(now) != self._report_second:
            self._report_second = int(now)
            self._report_count = 0
        self._report_count += 1
        return self._report_count <= MAX_REPORTS_PER_SECOND

    def _is_held(self, identity: bytes, now: float) -> bool:
        return self._suspects.suspicion_level(identity, now) is SuspicionLevel.HELD

    def _crash_count(self, identity: bytes) -> int:
        suspect = self._suspects.get(identity)
        return 0 if suspect is None else len(suspect.crashes)


def _to_report(crash: ReplicaCrash, now: float) -> ReportedCrash:
    return ReportedCrash(
        crash.incarnation, crash.node_id, now - crash.sent_at, now - crash.crashed_at
    )


def _crashes_from(report: CrashReport, reported_at: float) -> list[ReplicaCrash]:
    return [
        ReplicaCrash(
            crash.incarnation,
            crash.node_id,
            reported_at - crash.sent_seconds,
            reported_at - crash.ended_seconds,
        )
        for crash in report.crashes
    ]


def _log_fields(exchange: Exchange) -> tuple[tuple[str, str | int | float], ...]:
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
    return event.request.target.decode("latin-1")[:MAX_TARGET_CHARACTERS]


def _no_peers(_now: float) -> list[NodeIdentity]:
    return []


def _no_open_exchanges(_identity: bytes, _now: float) -> list[Action]:
    return []


def _store_nothing(_identity: bytes, _held: HeldRequest, _now: float) -> list[Action]:
    return []
