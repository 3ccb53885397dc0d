"""Test fleet: nodes and replicas in several zones on a virtual clock, with packet loss."""

import heapq
import random
from collections.abc import Callable, Iterable
from enum import Enum
from itertools import count

from tests.forwarding.one_node import (
    CLUSTER_KEY,
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    HELD_PREFIX,
    HOST,
    NODE_PREFIX,
    REPLICA_PREFIX,
    replica,
)
from wingquay.adapters.held_record import held_value, parse_held
from wingquay.adapters.node_record import node_value, parse_node
from wingquay.forwarding.forwarding_node import FormatFailureKind, ForwardingNode, StoreFormats
from wingquay.forwarding.knowledge.store_follower import FollowerSettings
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.failure import Failure
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.routing_table import RoutingTable
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
    SendFailed,
    SendFailureKind,
    SendToReplica,
    SetForwarding,
)
from wingquay.ports.machine import Action, Event, Log, Schedule, Start
from wingquay.ports.peer_link import (
    NodeIdentity,
    NodeRecord,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from wingquay.ports.store import (
    Read,
    ReadResult,
    StartWatch,
    StopWatch,
    StoredValue,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    SwapResult,
    WatchBroken,
    WatchChanged,
)

NETWORK_SECONDS = 0.001
WORK_SECONDS = 0.01
CONNECT_SECONDS = 0.04
STORE = "store"
"""The name of the store in ``ZoneFleet.is_lost``."""


class PartitionFailure(Enum):
    """How a connection across a partition fails."""

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"


class FleetNode:
    """One node of the fleet, on the fleet's clock."""

    def __init__(self, fleet: "ZoneFleet", name: str, zone: str, **settings: object) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.identity = NodeIdentity(name, "", zone, name, 7)
        self.is_ready = False
        self.answers_close = False
        self.idle_closed_at: list[float] = []
        self.changes: list[tuple[float, bool]] = []
        """The times at which the readiness changed, with the new readiness."""
        self.actions: list[Action] = []
        self.replies: dict[int, ReplyUnchanged | ReplyMerged | ReplyFailure] = {}
        self._connected: set[str] = set()
        """Replicas with an open connection."""
        self._sends: dict[int, SendToReplica] = {}
        formats = StoreFormats(
            CONFIGURATION_KEY,
            REPLICA_PREFIX,
            NODE_PREFIX,
            CLUSTER_KEY,
            EVACUATION_PREFIX,
            fleet.parse_table,
            fleet.parse_record,
            parse_node,
            node_value,
            HELD_PREFIX,
            parse_held,
            held_value,
        )
        seed = sum(name.encode())
        self.machine = ForwardingNode(
            name,
            ForwardingSettings(zone=zone, delegate_min_shards=10, **settings),  # type: ignore[arg-type]
            FollowerSettings(),
            formats,
            random.Random(seed),
        )

    def emit(self, event: Event) -> None:
        """Handle an event and perform the resulting actions."""
        for action in self.machine.handle(event, self.fleet.now):
            self.actions.append(action)
            self._perform(action)

    def logs(self, message: str) -> list[dict[str, object]]:
        """Return the fields of the log lines with a message."""
        lines = [item for item in self.actions if isinstance(item, Log)]
        return [dict(line.fields) for line in lines if line.message == message]

    def _perform(self, action: Action) -> None:
        fleet = self.fleet
        match action:
            case Schedule():
                fleet.at(action.at_seconds, self.emit, action.event)
            case SendToReplica():
                self._send(action)
            case CancelSend():
                sent = self._sends.pop(action.attempt_id, None)
                if sent is not None:
                    self._connected.discard(sent.replica.replica_id)
            case OpenConnection():
                self._open(action.replica)
            case ReplyUnchanged() | ReplyMerged() | ReplyFailure():
                self.replies[action.exchange_id] = action
            case SetForwarding():
                self._set_forwarding(action)
            case SendToPeer():
                fleet.deliver(self, action)
            case _:
                self._perform_on_store(action)

    def _perform_on_store(self, action: Action) -> None:
        fleet = self.fleet
        match action:
            case StoreRequest():
                fleet.send_to_store(self, action)
            case StartWatch():
                fleet.watch_store(self, action)
            case StopWatch():
                fleet.stopped_watches.add((self.name, action.watch_id))

    def _set_forwarding(self, action: SetForwarding) -> None:
        if action.is_ready != self.is_ready:
            self.changes.append((self.fleet.now, action.is_ready))
        self.is_ready = action.is_ready
        self.answers_close = action.closes_connections
        if action.closes_idle:
            self.idle_closed_at.append(self.fleet.now)

    def _send(self, action: SendToReplica) -> None:
        fleet = self.fleet
        record = action.replica
        is_connected = record.replica_id in self._connected
        self._sends[action.attempt_id] = action
        failure = fleet.failure_to(self, record)
        if failure is None:
            self._connected.add(record.replica_id)
            answer = ReplicaAnswer(200, (), b"", f"{record.replica_id}.{action.request_id}")
            event = ReplicaAnswered(action.attempt_id, answer)
            seconds = 2 * NETWORK_SECONDS + WORK_SECONDS
            seconds += 2 * fleet.delay(self.name, record.replica_id)
            fleet.after(seconds, self._outcome, event)
            return
        if is_connected and failure is PartitionFailure.SILENT:
            return
        kind = SendFailureKind.BROKEN if is_connected else SendFailureKind.NOT_SENT
        seconds = CONNECT_SECONDS if failure is PartitionFailure.SILENT else NETWORK_SECONDS
        self._connected.discard(record.replica_id)
        fleet.after(seconds, self._outcome, SendFailed(action.attempt_id, kind, failure.value))

    def _outcome(self, event: ReplicaAnswered | SendFailed) -> None:
        sent = self._sends.get(event.attempt_id)
        if sent is None:
            return
        if isinstance(event, ReplicaAnswered) and self.fleet.failure_to(self, sent.replica):
            return
        del self._sends[event.attempt_id]
        self.emit(event)

    def _open(self, record: ReplicaRecord) -> None:
        failure = self.fleet.failure_to(self, record)
        seconds = 2 * (NETWORK_SECONDS + self.fleet.delay(self.name, record.replica_id))
        if failure is None and seconds >= CONNECT_SECONDS:
            failure = PartitionFailure.SILENT
        if failure is None:
            self._connected.add(record.replica_id)
            self.fleet.after(seconds, self.emit, ConnectionTried(record.replica_id))
            return
        seconds = CONNECT_SECONDS if failure is PartitionFailure.SILENT else NETWORK_SECONDS
        is_refused = failure is PartitionFailure.REFUSED
        event = ConnectionTried(record.replica_id, failure.value, is_refused)
        self.fleet.after(seconds, self.emit, event)


class ZoneFleet:
    """Nodes, replicas and a store, between which packets may be lost."""

    def __init__(
        self,
        zones: Iterable[str],
        nodes_per_zone: int,
        configuration: RoutingTable,
        records: list[ReplicaRecord],
        **settings: object,
    ) -> None:
        self.now = 100.0
        self.configuration = configuration
        self.records = records
        self.dead: set[str] = set()
        """Ids of crashed replicas: nothing listens at their addresses."""
        self.partition_failure = PartitionFailure.SILENT
        self.is_lost: Callable[[str, str], bool] = _never_lost
        """Returns whether packets from one place to another are lost. Places are node names,
        replica ids and the store."""
        self.delay: Callable[[str, str], float] = _no_delay
        """Returns the additional one-way delay between two places, in seconds."""
        self.stopped_watches: set[tuple[str, str]] = set()
        self.opened: list[tuple[float, str, str]] = []
        self._table_value = b"table"
        self._values = {repr(record).encode(): record for record in records}
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._numbers = count(1)
        self._requests = count(1)
        self._changed: list[StoredValue] = []
        self._deleted: list[str] = []
        self.zone_of = {record.replica_id: record.zone for record in records}
        self.nodes = [
            FleetNode(self, f"{zone}-{number}", zone, **settings)
            for zone in zones
            for number in range(nodes_per_zone)
        ]
        self.zone_of.update({node.name: node.zone for node in self.nodes})

    # Time

    def at(self, at_seconds: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self._events, (at_seconds, next(self._numbers), call, arguments))

    def after(self, seconds: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + seconds, call, *arguments)

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the calls that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            due_at, _, call, arguments = heapq.heappop(self._events)
            self.now = max(self.now, due_at)
            call(*arguments)
        self.now = end

    # Nodes and callers

    def start(self) -> None:
        """Start all nodes and open their links."""
        for node in self.nodes:
            node.emit(Start())
        self.advance(0.1)
        for node in self.nodes:
            node.emit(PeerLinkOpened(node.identity))
        self.advance(0.1)

    def nodes_in(self, zone: str) -> list[FleetNode]:
        """Return the nodes of a zone."""
        return [node for node in self.nodes if node.zone == zone]

    def ready(self, zone: str) -> int:
        """Return the number of ready nodes of a zone."""
        return sum(node.is_ready for node in self.nodes_in(zone))

    def request(self, node: FleetNode, path: str) -> tuple[FleetNode, int]:
        """Send a caller's request to a node."""
        number = next(self._requests)
        opaque = OpaqueRequest(b"GET", path.encode(), ())
        node.emit(ForwardRequested(number, f"id-{number}", HOST, path, opaque, 2.0))
        return node, number

    def evacuate(self, zone: str) -> None:
        """Write the evacuation entry of a zone."""
        self._changed.append(StoredValue(EVACUATION_PREFIX + zone, b"", 2))

    # Network

    def failure_to(self, node: FleetNode, record: ReplicaRecord) -> PartitionFailure | None:
        """Return how a connection to a replica fails; ``None``: it succeeds."""
        there = self.is_lost(node.name, record.replica_id)
        back = self.is_lost(record.replica_id, node.name)
        if there or back:
            return self.partition_failure
        return PartitionFailure.REFUSED if record.replica_id in self.dead else None

    def deliver(self, sender: FleetNode, action: SendToPeer) -> None:
        """Deliver a message to another node, unless it is lost."""
        target = next(node for node in self.nodes if node.name == action.to.node_id)
        if self.is_lost(sender.name, target.name) or self.is_lost(target.name, sender.name):
            if self.partition_failure is not PartitionFailure.SILENT:
                event = PeerLinkBroken(action.to.node_id, self.partition_failure.value)
                self.after(NETWORK_SECONDS, sender.emit, event)
            return
        received = PeerReceived(sender.identity, action.message)
        seconds = NETWORK_SECONDS + self.delay(sender.name, target.name)
        self.after(seconds, target.emit, received)

    # Store

    def send_to_store(self, node: FleetNode, request: StoreRequest) -> None:
        """Answer a node's store request, or let it time out."""
        if self.is_lost(node.name, STORE):
            failure = Failure(StoreFailureKind.LOST_REPLY, "cut")
            event = StoreResponse(request.operation_id, failure)
            self.after(request.timeout_seconds, node.emit, event)
            return
        result: ReadResult | SwapResult = SwapResult(True, 1)
        if isinstance(request.operation, Read):
            result = ReadResult(tuple(self._listing()), 1)
        self.after(NETWORK_SECONDS, node.emit, StoreResponse(request.operation_id, result))

    def watch_store(self, node: FleetNode, watch: StartWatch) -> None:
        """Start to answer a node's polls."""
        self.after(watch.pause_seconds, self._poll, node, watch, self.now + watch.pause_seconds)

    def _poll(self, node: FleetNode, watch: StartWatch, begun_at: float) -> None:
        if (node.name, watch.watch_id) in self.stopped_watches:
            return
        if self.is_lost(node.name, STORE):
            if self.now - begun_at >= watch.timeout_seconds:
                node.emit(WatchBroken(watch.watch_id, "silent"))
            else:
                self.after(watch.timeout_seconds, self._poll, node, watch, begun_at)
            return
        event = WatchChanged(watch.watch_id, tuple(self._changed), tuple(self._deleted), 2)
        node.emit(event)
        self.after(max(watch.poll_interval_seconds, 0.5), self._poll, node, watch, self.now)

    def _listing(self) -> list[StoredValue]:
        nodes = [
            StoredValue(NODE_PREFIX + node.name, node_value(NodeRecord(node.identity)), 1)
            for node in self.nodes
        ]
        replicas = [
            StoredValue(REPLICA_PREFIX + record.replica_id, repr(record).encode(), 1)
            for record in self.records
        ]
        table = StoredValue(CONFIGURATION_KEY, self._table_value, 1)
        return [StoredValue(CLUSTER_KEY, b"k" * 32, 1), *nodes, *replicas, table]

    def parse_table(self, _value: bytes) -> RoutingTable | Failure[FormatFailureKind]:
        """Return the configuration."""
        return self.configuration

    def parse_record(
        self, _replica_id: str, value: bytes
    ) -> ReplicaRecord | Failure[FormatFailureKind]:
        """Return the record of a replica."""
        found = self._values.get(value)
        return found or Failure(FormatFailureKind.MALFORMED, "test")


def spread_replicas(
    services: Iterable[str], zones: tuple[str, ...], copies: int
) -> list[ReplicaRecord]:
    """Return replicas of the services, each in ``copies`` zones, spread evenly."""
    records = []
    for number, service in enumerate(services):
        for copy in range(copies):
            zone = zones[(number + copy) % len(zones)]
            records.append(replica(f"{service}-{zone}", service, zone))
    return records


def partition_zone(
    fleet: ZoneFleet, zone: str, with_store: bool = False
) -> Callable[[str, str], bool]:
    """Return the packet loss of a partitioned zone; ``with_store``: the store is on its side."""

    def is_lost(sender: str, receiver: str) -> bool:
        if STORE in (sender, receiver):
            is_inside = fleet.zone_of.get(sender) == zone or fleet.zone_of.get(receiver) == zone
            return is_inside is not with_store
        return (fleet.zone_of[sender] == zone) is not (fleet.zone_of[receiver] == zone)

    return is_lost


def _no_delay(_sender: str, _receiver: str) -> float:
    return 0.0


def _never_lost(_sender: str, _receiver: str) -> bool:
    return False
