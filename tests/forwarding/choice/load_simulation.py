"""Simulated nodes that forward requests to simulated replicas."""

import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from tests.forwarding.choice.virtual_replicas import VirtualClock, VirtualReplica, Work
from wingquay.adapters.forwarding_peer_codec import encode
from wingquay.adapters.peer_frames import FRAME_OVERHEAD_BYTES, MESSAGE_OVERHEAD_BYTES
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.forwarding_machine import ForwardingMachine
from wingquay.forwarding.knowledge.node_groups import NodeGroups
from wingquay.forwarding.knowledge.presence import NodeCount
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.routing_table import Route, RoutingTable
from wingquay.ports.forwarding import (
    CancelSend,
    ConnectionTried,
    ForwardRequested,
    OpaqueRequest,
    OpenConnection,
    ReplicaAnswer,
    ReplicaAnswered,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    ReportedLoad,
    SendFailed,
    SendFailureKind,
    SendToReplica,
)
from wingquay.ports.machine import Action, Event, Schedule
from wingquay.ports.peer_link import NodeIdentity, NodeRecord, PeerReceived, SendToPeer

SAME_ZONE_SECONDS = 0.0003
OTHER_ZONE_SECONDS = 0.0008
CONNECT_SECONDS = 0.006
REQUEST_HEADERS = (
    (b"Host", b"pupu76.example"),
    (b"Request-Id", b"9c41d07be2a35f68"),
    (b"Accept", b"*/*"),
    (b"User-Agent", b"load"),
)
REQUEST_BYTES = 230
"""Size of a request to a replica, with its headers."""
ANSWER_BYTES = 190
"""Size of an answer without its body."""
RETRY_SECONDS = 0.01
"""Time from a failure to the caller's retry at a random node."""


@dataclass
class RequestOutcome:
    """Outcome of one request."""

    seconds: float
    path: str
    kind: type[Action]
    missing_shards: int = 0
    failure: str = ""
    at: float = 0.0


@dataclass(eq=False)
class LoadSimulation:
    """Nodes and replicas on one clock.

    Parameters
    ----------
    work_seconds
        Mean work time by path.
    work_spread
        Standard deviation of the logarithm of work times.
    """

    replicas: list[VirtualReplica]
    clock: VirtualClock
    work_seconds: dict[str, float]
    random_source: random.Random
    work_spread: float = 0.35
    retries: int = 0
    """Number of times that a caller retries after a failure."""
    nodes: list["VirtualNode"] = field(default_factory=list)
    ended: list[RequestOutcome] = field(default_factory=list)
    sent: int = 0
    sent_to_other_zones: int = 0
    body_bytes: dict[str, int] = field(default_factory=dict)
    """Size of an answer's body by path."""
    bytes_between_zones: Counter[str] = field(default_factory=Counter)
    """Bytes sent between zones, by purpose."""
    numbers: "count[int]" = field(default_factory=lambda: count(1))

    def add_nodes(self, number: int, zones: str, table: RoutingTable, **settings: object) -> None:
        """Add nodes with the records of all replicas, alternating between the zones."""
        names = {f"node-{index}" for index in range(number)}
        for index in range(number):
            zone = zones[index % len(zones)]
            known = ForwardingSettings(zone=zone, **settings)  # type: ignore[arg-type]
            seed = self.random_source.getrandbits(32)
            self.nodes.append(VirtualNode(self, f"node-{index}", known, names, table, seed))

    def join_nodes(self, shards: int) -> None:
        """Let the nodes delegate shards to each other from now on."""
        records = {
            node.name: NodeRecord(node.identity, processor=0.5 + self.random_source.random())
            for node in self.nodes
        }
        for node in self.nodes:
            node.join(records, shards)

    def requests(self, path: str, per_second: float, start_after: float, seconds: float) -> None:
        """Schedule requests at random nodes, as a Poisson process."""
        at = self.clock.now + start_after
        end = at + seconds
        while True:
            at += self.random_source.expovariate(per_second)
            if at >= end:
                return
            node = self.nodes[self.random_source.randrange(len(self.nodes))]
            self.clock.at(at, lambda node=node: node.request(path))  # type: ignore[misc]

    def draw_work(self, path: str) -> float:
        """Return a random work time at a replica of typical speed."""
        mean = self.work_seconds[path]
        return self.random_source.lognormvariate(0.0, self.work_spread) * mean

    def quantile(self, path: str, share: float) -> float:
        """Return a quantile of the response times; failed requests count as infinite."""
        times = sorted(
            float("inf") if item.kind is ReplyFailure else item.seconds
            for item in self.ended
            if item.path == path
        )
        return times[min(len(times) - 1, int(share * len(times)))]

    def max_to_mean_runs(self) -> float:
        """Return the number of runs of the busiest replica relative to the mean of all."""
        runs = [item.runs for item in self.replicas]
        return max(runs) / (sum(runs) / len(runs))


class VirtualNode:
    """A forwarding machine with simulated connections to replicas and other nodes."""

    def __init__(
        self,
        load: LoadSimulation,
        name: str,
        settings: ForwardingSettings,
        names: set[str],
        table: RoutingTable,
        seed: int,
    ) -> None:
        self._load = load
        self.name = name
        host = f"10.0.{name.removeprefix('node-')}.1"
        self.identity = NodeIdentity(f"{name}-4f1c9a", "", settings.zone, host, 7000)
        self._settings = settings
        self._clock = load.clock
        self._zone = settings.zone
        source = random.Random(seed)
        self.directory = ReplicaDirectory(settings, source)
        nodes = NodeCount(settings)
        nodes.keep_only(names)
        self._machine = ForwardingMachine(settings, self.directory, nodes, source, name, name)
        self._machine.set_table(table)
        self._replicas = {item.record.replica_id: item for item in load.replicas}
        for item in load.replicas:
            self.directory.put(item.record, self._clock.now - 100.0)
        self._open: dict[int, tuple[VirtualReplica, Work]] = {}
        self._open_requests: dict[int, tuple[float, str, int]] = {}

    def join(self, records: dict[str, NodeRecord], shards: int) -> None:
        """Form groups with the other nodes and delegate shards to them."""
        groups = NodeGroups(self._settings, self.name)
        for name, record in records.items():
            groups.put(name, record)
        groups.set_max_shard_count(shards)
        self._machine.enable_peers(groups)

    def request(self, path: str, started_at: float | None = None, tries: int = 0) -> None:
        """Handle a request of a caller, or its retry."""
        number = next(self._load.numbers)
        self._open_requests[number] = (
            self._clock.now if started_at is None else started_at,
            path,
            tries,
        )
        target = f"{path}{number}"
        opaque = OpaqueRequest(b"GET", target.encode(), REQUEST_HEADERS)
        self._emit(ForwardRequested(number, f"id-{number}", "search.example", target, opaque, None))

    def _emit(self, event: Event) -> None:
        for action in self._machine.handle(event, self._clock.now):
            self._handle(action)

    def _handle(self, action: Action) -> None:
        match action:
            case Schedule():
                due = action.event
                self._clock.at(action.at_seconds, lambda: self._emit(due))
            case SendToReplica():
                self._send(action)
            case SendToPeer():
                self._send_to_peer(action)
            case CancelSend():
                self._cancel(action.attempt_id)
            case OpenConnection():
                tried = ConnectionTried(action.replica.replica_id)
                self._clock.after(CONNECT_SECONDS, lambda: self._emit(tried))
            case ReplyMerged():
                self._end(action.exchange_id, action, action.missing_shards)
            case ReplyUnchanged():
                self._end(action.exchange_id, action)
            case ReplyFailure():
                self._end(action.exchange_id, action, failure=action.reason)

    def _send_to_peer(self, action: SendToPeer) -> None:
        to = next(node for node in self._load.nodes if node.identity == action.to)
        is_in_other_zone = to.identity.zone != self._zone
        if is_in_other_zone:
            size = len(encode(action.message, self.identity))
            size += MESSAGE_OVERHEAD_BYTES + FRAME_OVERHEAD_BYTES
            self._load.bytes_between_zones[type(action.message).__name__] += size
        received = PeerReceived(self.identity, action.message)
        self._clock.after(
            OTHER_ZONE_SECONDS if is_in_other_zone else SAME_ZONE_SECONDS,
            lambda: to._emit(received),
        )

    def _end(self, number: int, action: Action, missing: int = 0, failure: str = "") -> None:
        started_at, path, tries = self._open_requests.pop(number)
        now = self._clock.now
        if failure and tries < self._load.retries:
            other = self._load.nodes[self._load.random_source.randrange(len(self._load.nodes))]
            self._clock.after(RETRY_SECONDS, lambda: other.request(path, started_at, tries + 1))
            return
        self._load.ended.append(
            RequestOutcome(now - started_at, path, type(action), missing, failure, now)
        )

    def _send(self, action: SendToReplica) -> None:
        replica = self._replicas[action.replica.replica_id]
        one_way_seconds = (
            SAME_ZONE_SECONDS if action.replica.zone == self._zone else OTHER_ZONE_SECONDS
        )
        self._load.sent += 1
        attempt_id = action.attempt_id
        path = action.request.target.decode().rstrip("0123456789")
        if action.replica.zone != self._zone:
            self._load.sent_to_other_zones += 1
            answer_bytes = ANSWER_BYTES + self._load.body_bytes.get(path, 0)
            self._load.bytes_between_zones["replicas"] += REQUEST_BYTES + answer_bytes
        work = Work(
            self._load.draw_work(path),
            lambda load: self._clock.after(
                one_way_seconds, lambda: self._answered(attempt_id, path, load)
            ),
            lambda: self._clock.after(one_way_seconds, lambda: self._shed(attempt_id)),
        )
        self._open[attempt_id] = (replica, work)
        self._clock.after(
            one_way_seconds, lambda: None if work.is_cancelled else replica.arrive(work)
        )

    def _cancel(self, attempt_id: int) -> None:
        replica, work = self._open.pop(attempt_id)
        replica.cancel(work)

    def _answered(self, attempt_id: int, path: str, load: ReportedLoad | None) -> None:
        if self._open.pop(attempt_id, None) is None:
            return
        if load is None:
            kind = SendFailureKind.BROKEN
            self._emit(SendFailed(attempt_id, kind, "reset", is_unanswered=True))
            return
        size = self._load.body_bytes.get(path, 0)
        signature = f"{self.name[5:]:>04}.07.{attempt_id:06x}.600.0.c9f2a4d1"
        answer = ReplicaAnswer(200, (), self._load.random_source.randbytes(size), signature)
        self._emit(ReplicaAnswered(attempt_id, answer, load))

    def _shed(self, attempt_id: int) -> None:
        if self._open.pop(attempt_id, None) is not None:
            answer = ReplicaAnswer(503, (), b"", None, not_run=True)
            self._emit(ReplicaAnswered(attempt_id, answer))


def simulated_route(path: str, **fields: object) -> Route:
    """Return a route of the simulated loads."""
    defaults: dict[str, object] = {
        "name": path,
        "is_repeatable": True,
        "max_attempts": 2,
        "timeout_seconds": 2.0,
    }
    return Route(host="search.example", path_prefix=path, **{**defaults, **fields})  # type: ignore[arg-type]
