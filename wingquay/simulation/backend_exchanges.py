"""The simulated back-end adapter: connections, exchanges, deadlines and cancellation.

It does what the real adapter promises in the port: exactly one ``AttemptFinished`` for each
attempt that was not cancelled, and "not sent" only if no byte left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ..model.failure import Failure
from ..model.identifiers import AttemptId, NodeId, ReplicaId
from ..ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from .models.backend_messages import BackendReply
from .network import Network
from .simulated_node import SimulatedNode
from .simulated_replica import SimulatedReplica
from .virtual_clock import VirtualClock

CONNECT_TIMEOUT_SECONDS = 0.5


@dataclass(slots=True)
class ReplyDisturbance:
    """Shares of replies that come late, twice, or on another exchange's connection."""

    late_share: float = 0.0
    late_seconds: float = 0.0
    duplicated_share: float = 0.0
    crossed_share: float = 0.0


@dataclass(slots=True)
class _Pool:
    """A node's connections to one replica."""

    idle: int = 0
    open: int = 0


@dataclass(slots=True, eq=False)
class _Exchange:
    node: SimulatedNode
    replica: SimulatedReplica
    attempt: StartAttempt
    pool: _Pool
    deadline_at: float
    sent_at: float = 0.0
    sent: bool = False
    finished: bool = False


@dataclass(slots=True)
class ExchangeCounts:
    """What happened to exchanges, for the report."""

    started: int = 0
    cancelled: int = 0
    late_dropped: int = 0
    by_failure: dict[str, int] = field(default_factory=dict)


class BackendExchanges:
    """Performs ``StartAttempt``, ``CancelAttempt`` and ``ProbeReplica`` for all nodes."""

    def __init__(
        self,
        network: Network,
        clock: VirtualClock,
        connection_seconds: float,
        find_replica: Callable[[str, int], SimulatedReplica | None],
        random_source: Random,
    ) -> None:
        self.disturbance = ReplyDisturbance()
        self.counts = ExchangeCounts()
        self._network = network
        self._clock = clock
        self._connection_seconds = connection_seconds
        self._find_replica = find_replica
        self._random = random_source
        self._pools: dict[tuple[NodeId, ReplicaId], _Pool] = {}
        self._exchanges: dict[AttemptId, _Exchange] = {}
        self._previous_reply: BackendReply | None = None

    # -- what nodes ask ------------------------------------------------------------------------

    def start(self, node: SimulatedNode, attempt: StartAttempt) -> None:
        """Begin an exchange."""
        self.counts.started += 1
        now = self._clock.now
        replica = self._find_replica(attempt.host, attempt.port)
        if replica is None:
            self._fail_soon(node, attempt, BackendFailureKind.CONNECT_FAILED, 0.0)
            return
        pool = self._pools.setdefault((node.identity.node_id, attempt.replica_id), _Pool())
        exchange = _Exchange(node, replica, attempt, pool, now + attempt.remaining_seconds)
        if pool.idle > 0:
            pool.idle -= 1
            self._register(exchange)
            self._send_request(exchange)
        elif pool.open < attempt.connection_limit:
            self._register(exchange)
            self._connect(exchange)
        else:
            self._fail_soon(node, attempt, BackendFailureKind.NO_CONNECTION_FREE, 0.0)

    def cancel(self, attempt_id: AttemptId) -> None:
        """End an exchange by closing its connection."""
        exchange = self._exchanges.pop(attempt_id, None)
        if exchange is None:
            return
        self.counts.cancelled += 1
        self._close(exchange)

    def lose_node(self, node: SimulatedNode) -> None:
        """Close all connections of a node whose process ended."""
        for exchange in [entry for entry in self._exchanges.values() if entry.node is node]:
            del self._exchanges[exchange.attempt.attempt_id]
            self._close(exchange)
        for (node_id, replica_id), pool in self._pools.items():
            if node_id == node.identity.node_id:
                self._drop_idle(replica_id, pool)

    def lose_replica(self, replica: SimulatedReplica) -> None:
        """Reset all connections, idle ones included, of a replica whose process ended."""
        for exchange in [entry for entry in self._exchanges.values() if entry.replica is replica]:
            if exchange.sent:
                self._network.send(
                    replica.entry.zone,
                    exchange.node.identity.zone,
                    self._finish_failed,
                    exchange,
                    BackendFailureKind.BROKEN,
                )
        for (_, replica_id), pool in self._pools.items():
            if replica_id == replica.entry.replica_id:
                pool.open = 0
                pool.idle = 0

    def open_attempts(self, node: SimulatedNode) -> int:
        """Return how many exchanges of the node are not over."""
        return sum(1 for exchange in self._exchanges.values() if exchange.node is node)

    def probe(self, node: SimulatedNode, action: ProbeReplica) -> None:
        """Read a health page."""
        replica = self._find_replica(action.host, action.port)
        zone = node.identity.zone
        if replica is None or not replica.condition.alive:
            self._probed(node, action, Failure(BackendFailureKind.CONNECT_FAILED, "refused"), 0.002)
            return
        place = replica.entry.zone
        if (
            replica.condition.silent
            or not self._network.reaches(zone, place)
            or not self._network.reaches(place, zone)
        ):
            failure = Failure(BackendFailureKind.TIMED_OUT, "no answer")
            self._probed(node, action, failure, action.timeout_seconds)
            return
        seconds = self._network.one_way_seconds(zone, place)
        seconds += self._network.one_way_seconds(place, zone)
        self._probed(node, action, replica.report(), seconds)

    def _probed(
        self,
        node: SimulatedNode,
        action: ProbeReplica,
        result: LoadReport | Failure[BackendFailureKind],
        seconds: float,
    ) -> None:
        self._clock.after(seconds, node.deliver, ReplicaProbed(action.replica_id, result))

    # -- connections ---------------------------------------------------------------------------

    def _register(self, exchange: _Exchange) -> None:
        self._exchanges[exchange.attempt.attempt_id] = exchange
        self._clock.at(exchange.deadline_at, self._deadline, exchange)

    def _connect(self, exchange: _Exchange) -> None:
        zone = exchange.node.identity.zone
        place = exchange.replica.entry.zone
        round_trip = self._network.one_way_seconds(zone, place)
        round_trip += self._network.one_way_seconds(place, zone)
        exchange.pool.open += 1
        condition = exchange.replica.condition
        unreachable = not (
            self._network.reaches(zone, place) and self._network.reaches(place, zone)
        )
        if unreachable or condition.silent:
            self._clock.after(CONNECT_TIMEOUT_SECONDS, self._connect_failed, exchange)
        elif not condition.alive or not exchange.replica.model.open_connection():
            self._clock.after(round_trip, self._connect_failed, exchange)
        else:
            seconds = round_trip + self._connection_seconds
            self._clock.after(seconds, self._send_request, exchange)

    def _connect_failed(self, exchange: _Exchange) -> None:
        if exchange.finished:
            return
        exchange.pool.open -= 1
        self._finish_failed(exchange, BackendFailureKind.CONNECT_FAILED, closes=False)

    def _close(self, exchange: _Exchange) -> None:
        """Close the exchange's connection; the replica notices after the latency."""
        exchange.finished = True
        exchange.pool.open = max(0, exchange.pool.open - 1)
        replica = exchange.replica
        self._network.send(
            exchange.node.identity.zone,
            replica.entry.zone,
            self._notice_closed,
            replica,
            exchange.attempt.attempt_id,
        )

    def _notice_closed(self, replica: SimulatedReplica, attempt_id: AttemptId) -> None:
        if replica.condition.alive:
            replica.model.close_connection()
            replica.cancel(attempt_id)

    def _drop_idle(self, replica_id: ReplicaId, pool: _Pool) -> None:
        pool.open = 0
        pool.idle = 0

    # -- requests and replies ------------------------------------------------------------------

    def _send_request(self, exchange: _Exchange) -> None:
        if exchange.finished:
            return
        exchange.sent = True
        exchange.sent_at = self._clock.now
        zone = exchange.node.identity.zone
        self._network.send(zone, exchange.replica.entry.zone, self._request_arrives, exchange)

    def _request_arrives(self, exchange: _Exchange) -> None:
        replica = exchange.replica
        if not replica.condition.alive:
            zone = exchange.node.identity.zone
            kind = BackendFailureKind.BROKEN
            self._network.send(replica.entry.zone, zone, self._finish_failed, exchange, kind)
            return
        if replica.condition.silent:
            return
        elapsed = self._clock.now - exchange.sent_at
        node_id = exchange.node.identity.node_id
        replica.arrive(
            exchange.attempt, node_id, elapsed, lambda reply: self._send_reply(exchange, reply)
        )

    def _send_reply(self, exchange: _Exchange, reply: BackendReply) -> None:
        replica = exchange.replica
        disturbance = self.disturbance
        seconds = replica.condition.extra_reply_seconds
        if disturbance.late_share and self._random.random() < disturbance.late_share:
            seconds += disturbance.late_seconds * self._random.random()
        place = replica.entry.zone
        zone = exchange.node.identity.zone
        if not self._network.reaches(place, zone):
            return
        seconds += self._network.one_way_seconds(place, zone)
        self._clock.after(seconds, self._reply_arrives, exchange, reply)
        if disturbance.duplicated_share and self._random.random() < disturbance.duplicated_share:
            self._clock.after(seconds * 1.5, self._reply_arrives, exchange, reply)
        if disturbance.crossed_share and self._random.random() < disturbance.crossed_share:
            self._cross(exchange, reply, seconds)

    def _cross(self, exchange: _Exchange, reply: BackendReply, seconds: float) -> None:
        """Also deliver, on this exchange's connection, the reply to an earlier exchange."""
        previous, self._previous_reply = self._previous_reply, reply
        if previous is not None:
            self._clock.after(seconds * 0.9, self._reply_arrives, exchange, previous)

    def _reply_arrives(self, exchange: _Exchange, reply: BackendReply) -> None:
        if reply.attempt_id != exchange.attempt.attempt_id:
            # The adapter compares the attempt id in the reply's header with its own.
            if not exchange.finished:
                self._finish_failed(exchange, BackendFailureKind.BROKEN)
            return
        if exchange.finished:
            self.counts.late_dropped += 1
            return
        self._take_out(exchange)
        exchange.pool.idle += 1
        replica_id = exchange.replica.entry.replica_id
        self._deliver(exchange.node, reply.to_attempt_finished(replica_id))

    def _deadline(self, exchange: _Exchange) -> None:
        if exchange.finished:
            return
        kind = BackendFailureKind.TIMED_OUT if exchange.sent else BackendFailureKind.CONNECT_FAILED
        self._finish_failed(exchange, kind)

    def _finish_failed(
        self, exchange: _Exchange, kind: BackendFailureKind, *, closes: bool = True
    ) -> None:
        if exchange.finished:
            return
        self._take_out(exchange)
        if closes:
            self._close(exchange)
        attempt = exchange.attempt
        failure = Failure(kind, "simulated")
        self._deliver(
            exchange.node, AttemptFinished(attempt.attempt_id, attempt.replica_id, failure)
        )

    def _take_out(self, exchange: _Exchange) -> None:
        exchange.finished = True
        self._exchanges.pop(exchange.attempt.attempt_id, None)

    def _fail_soon(
        self,
        node: SimulatedNode,
        attempt: StartAttempt,
        kind: BackendFailureKind,
        seconds: float,
    ) -> None:
        event = AttemptFinished(attempt.attempt_id, attempt.replica_id, Failure(kind, "simulated"))
        self._clock.after(seconds, self._deliver, node, event)

    def _deliver(self, node: SimulatedNode, event: AttemptFinished) -> None:
        if isinstance(event.result, Failure):
            name = event.result.kind.value
            self.counts.by_failure[name] = self.counts.by_failure.get(name, 0) + 1
        else:
            assert isinstance(event.result, BackendAnswer)
        node.deliver(event)
