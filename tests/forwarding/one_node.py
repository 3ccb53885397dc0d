"""Test fixture: one forwarding node on a virtual clock, with simulated replicas and store."""

import heapq
import random
from collections.abc import Mapping
from itertools import count
from typing import TypeVar

from wingquay.adapters.held_record import held_value, parse_held
from wingquay.adapters.node_record import node_value, parse_node
from wingquay.forwarding.forwarding_node import FormatFailureKind, ForwardingNode, StoreFormats
from wingquay.forwarding.knowledge.store_follower import FollowerSettings
from wingquay.forwarding.sending.waiting_settings import DEFAULT_WAITING, WaitingSettings
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.timers import BeginDue
from wingquay.model.failure import Failure
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.routing_table import (
    CallerLimits,
    Route,
    RoutingTable,
    UpstreamService,
    WeightedService,
)
from wingquay.ports.forwarding import (
    CallerDisconnected,
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
from wingquay.ports.machine import Action, Event, Log, Schedule, Start
from wingquay.ports.peer_link import NodeIdentity, PeerReceived, SendToPeer
from wingquay.ports.proof_messages import ProofReply, ProofRequest
from wingquay.ports.store import (
    ReadResult,
    StartWatch,
    StoredValue,
    StoreRequest,
    StoreResponse,
    WatchChanged,
)

HOST = "search.example"
CONFIGURATION_KEY = "configuration"
REPLICA_PREFIX = "replicas/"
NODE_PREFIX = "nodes/"
CLUSTER_KEY = "cluster-key"
EVACUATION_PREFIX = "evacuate/"
HELD_PREFIX = "held/"
Reply = ReplyUnchanged | ReplyMerged | ReplyFailure
Kind = TypeVar("Kind", bound=Action)


def replica(replica_id: str, service: str, zone: str = "a", **fields: object) -> ReplicaRecord:
    """Return the record of a warm, ready replica."""
    return ReplicaRecord(replica_id, service, "10.0.0.1", 80, zone, 2, **fields)  # type: ignore[arg-type]


def single_route(prefix: str = "/one/", service: str = "s", **fields: object) -> Route:
    """Return a route to one service."""
    defaults: dict[str, object] = {
        "name": prefix,
        "services": (WeightedService(service, 1.0),),
        "is_repeatable": True,
        "max_attempts": 2,
        "timeout_seconds": 2.0,
        "objective_seconds": 0.4,
    }
    return Route(host=HOST, path_prefix=prefix, **{**defaults, **fields})  # type: ignore[arg-type]


def sharded_route(shards: int = 4, prefix: str = "/all/", **fields: object) -> Route:
    """Return a route over shards named s0, s1, and so on."""
    defaults: dict[str, object] = {
        "name": prefix,
        "shards": tuple(f"s{number}" for number in range(shards)),
        "is_repeatable": True,
        "max_attempts": 2,
        "timeout_seconds": 1.0,
        "objective_seconds": 0.1,
        "merged_records": 3,
        "min_share": 0.75,
    }
    return Route(host=HOST, path_prefix=prefix, **{**defaults, **fields})  # type: ignore[arg-type]


def table(version: int, *routes: Route, connections: int = 24) -> RoutingTable:
    """Return a configuration with some routes and their services."""
    names = [name for route in routes for name in route.all_services]
    services: Mapping[str, UpstreamService] = {
        name: UpstreamService(name, connections) for name in names
    }
    return RoutingTable(version, routes, services, CallerLimits())


class OneNode:
    """Drives one node with events and records its actions; ``advance`` moves the clock."""

    def __init__(
        self,
        seed: int = 1,
        follower: FollowerSettings | None = None,
        waiting: WaitingSettings = DEFAULT_WAITING,
        **settings: object,
    ) -> None:
        self.now = 100.0
        self._tables: dict[bytes, RoutingTable] = {}
        self._records: dict[bytes, ReplicaRecord] = {}
        self._pending_timers: list[tuple[float, int, Event]] = []
        self._numbers = count(1)
        self._timer_ids = count()
        self.actions: list[Action] = []
        self.sends: list[SendToReplica] = []
        """Sends that were neither answered nor cancelled."""
        self.all_sends: list[SendToReplica] = []
        self.cancelled: list[int] = []
        self.replies: dict[int, Reply] = {}
        self.replied_at: dict[int, float] = {}
        formats = StoreFormats(
            CONFIGURATION_KEY,
            REPLICA_PREFIX,
            NODE_PREFIX,
            CLUSTER_KEY,
            EVACUATION_PREFIX,
            self._parse_table,
            self._parse_record,
            parse_node,
            node_value,
            HELD_PREFIX,
            parse_held,
            held_value,
        )
        forwarding = ForwardingSettings(zone="a", **settings)  # type: ignore[arg-type]
        self.machine = ForwardingNode(
            "node-1",
            forwarding,
            follower or FollowerSettings(),
            formats,
            random.Random(seed),
            waiting=waiting,
        )
        self.store_revision = 1
        self.proof_requests: dict[str, tuple[int, float]] = {}
        """Number and time of the last proof request to each other node."""

    # Store, callers and replicas

    def start(
        self,
        configuration: RoutingTable | None,
        *records: ReplicaRecord,
        values: tuple[StoredValue, ...] = (),
    ) -> None:
        """Start the node and answer its first listing of the store."""
        self.emit(Start())
        self.list_store(configuration, *records, values=values)

    def list_store(
        self,
        configuration: RoutingTable | None,
        *records: ReplicaRecord,
        values: tuple[StoredValue, ...] = (),
        begun_at: float | None = None,
    ) -> None:
        """Answer the last listing request with a configuration, replica records and values."""
        request = self.last(StoreRequest)
        listed = [*values, *(self.stored(record) for record in records)]
        if configuration is not None:
            listed.append(self.stored_table(configuration))
        result = ReadResult(tuple(listed), self.store_revision, begun_at)
        self.emit(StoreResponse(request.operation_id, result))

    def change(
        self,
        *records: ReplicaRecord,
        configuration: RoutingTable | None = None,
        gone: tuple[str, ...] = (),
        values: tuple[StoredValue, ...] = (),
        gone_keys: tuple[str, ...] = (),
    ) -> None:
        """Report changes by the watch; ``gone`` are replica ids, ``gone_keys`` are full keys."""
        self.store_revision += 1
        changed = [*values, *(self.stored(record) for record in records)]
        if configuration is not None:
            changed.append(self.stored_table(configuration))
        deleted = (*gone_keys, *(REPLICA_PREFIX + replica_id for replica_id in gone))
        watch = self.last(StartWatch)
        self.emit(WatchChanged(watch.watch_id, tuple(changed), deleted, self.store_revision))

    def send_proof(
        self, sender: NodeIdentity, age_seconds: float, revision: int | None = None
    ) -> None:
        """Deliver another node's proof by a poll that began ``age_seconds`` ago."""
        number, requested_at = self.proof_requests[sender.node_id]
        held_seconds = self.now - age_seconds - requested_at
        proof = ProofReply(number, held_seconds, revision or self.store_revision)
        self.emit(PeerReceived(sender, proof))

    def request(
        self,
        path: str = "/one/x",
        deadline_seconds: float | None = 2.0,
        host: str = HOST,
        transit_seconds: float = 0.0,
    ) -> int:
        """Send a request as a caller; return its number."""
        number = next(self._numbers)
        opaque = OpaqueRequest(b"GET", path.encode(), ())
        self.emit(
            ForwardRequested(
                number, f"id-{number}", host, path, opaque, deadline_seconds, transit_seconds
            )
        )
        return number

    def leave(self, number: int) -> None:
        """Report that the caller of a request has left."""
        self.emit(CallerDisconnected(number))

    def open_send(self, replica_id: str) -> SendToReplica:
        """Return the open send to a replica."""
        return next(send for send in self.sends if send.replica.replica_id == replica_id)

    def answer(
        self,
        send: SendToReplica,
        status: int = 200,
        body: bytes = b"",
        signature: str | None = "",
        not_run: bool = False,
        is_other_replica: bool = False,
        load: ReportedLoad | None = None,
    ) -> None:
        """Answer a send; the default signature consists of the replica's id and the attempt."""
        self.sends.remove(send)
        if signature == "":
            signature = f"{send.replica.replica_id}.{send.attempt_id}"
        answer = ReplicaAnswer(status, (), body, signature, not_run, is_other_replica)
        self.emit(ReplicaAnswered(send.attempt_id, answer, load))

    def fail(self, send: SendToReplica, kind: SendFailureKind, is_unanswered: bool = False) -> None:
        """Fail a send."""
        self.sends.remove(send)
        self.emit(SendFailed(send.attempt_id, kind, "test", is_unanswered))

    def disconnect(self, send: SendToReplica) -> list[ReplicaRecord]:
        """Close a connection without an answer; return the replicas that are probed."""
        before = len(self.actions)
        self.fail(send, SendFailureKind.BROKEN, is_unanswered=True)
        later = self.actions[before:]
        return [action.replica for action in later if isinstance(action, OpenConnection)]

    def crash_replica(self, send: SendToReplica) -> None:
        """Crash a replica during a request: its connection closes, and the next one is refused."""
        for record in self.disconnect(send):
            self.emit(ConnectionTried(record.incarnation, "refused", is_refused=True))

    def copy_formats_from(self, other: "OneNode") -> None:
        """Accept the stored values that another node accepts."""
        self._tables.update(other._tables)
        self._records.update(other._records)

    # Time and actions

    def advance(self, seconds: float) -> None:
        """Advance the clock and fire the timers that become due."""
        end = self.now + seconds
        while self._pending_timers and self._pending_timers[0][0] <= end:
            due_at, _, event = heapq.heappop(self._pending_timers)
            self.now = max(self.now, due_at)
            self.emit(event)
        self.now = end

    def stall(self, seconds: float) -> None:
        """Advance the clock while the node is busy, so that timers fire late."""
        self.now += seconds
        self.advance(0.0)

    def emit(self, event: Event) -> None:
        """Pass an event to the node, record its actions, and handle its ``BeginDue`` events."""
        begin_events: list[Event] = []
        for action in self.machine.handle(event, self.now):
            if isinstance(action, Schedule) and isinstance(action.event, BeginDue):
                begin_events.append(action.event)
            else:
                self._apply_action(action)
        for later in begin_events:
            self.emit(later)

    @property
    def last_watch_id(self) -> str:
        """Id of the latest watch."""
        return self.last(StartWatch).watch_id

    def last(self, kind: type[Kind]) -> Kind:
        """Return the latest action of a type."""
        return next(action for action in reversed(self.actions) if isinstance(action, kind))

    def logs(self, message: str) -> list[dict[str, object]]:
        """Return the fields of the log lines with a message."""
        return [
            dict(action.fields)
            for action in self.actions
            if isinstance(action, Log) and action.message == message
        ]

    def _apply_action(self, action: Action) -> None:
        self.actions.append(action)
        if isinstance(action, Schedule):
            heapq.heappush(
                self._pending_timers, (action.at_seconds, next(self._timer_ids), action.event)
            )
        elif isinstance(action, SendToReplica):
            self.sends.append(action)
            self.all_sends.append(action)
        elif isinstance(action, SendToPeer) and isinstance(action.message, ProofRequest):
            self.proof_requests[action.to.node_id] = (action.message.number, self.now)
        elif isinstance(action, CancelSend):
            self.cancelled.append(action.attempt_id)
            self.sends = [send for send in self.sends if send.attempt_id != action.attempt_id]
        elif isinstance(action, ReplyUnchanged | ReplyMerged | ReplyFailure):
            assert action.exchange_id not in self.replies, "a second reply to one request"
            self.replies[action.exchange_id] = action
            self.replied_at[action.exchange_id] = self.now

    # Store formats: values are keys of the dictionaries of this object

    def stored(self, record: ReplicaRecord) -> StoredValue:
        """Return a replica record as a stored value."""
        value = f"{record!r}".encode()
        self._records[value] = record
        return StoredValue(REPLICA_PREFIX + record.replica_id, value, self.store_revision)

    def stored_table(self, configuration: RoutingTable) -> StoredValue:
        """Return a configuration as a stored value."""
        value = f"version {configuration.version} {id(configuration)}".encode()
        self._tables[value] = configuration
        return StoredValue(CONFIGURATION_KEY, value, self.store_revision)

    def _parse_table(self, value: bytes) -> RoutingTable | Failure[FormatFailureKind]:
        found = self._tables.get(value)
        return found or Failure(FormatFailureKind.MALFORMED, "test")

    def _parse_record(
        self, _replica_id: str, value: bytes
    ) -> ReplicaRecord | Failure[FormatFailureKind]:
        found = self._records.get(value)
        return found or Failure(FormatFailureKind.MALFORMED, "test")
