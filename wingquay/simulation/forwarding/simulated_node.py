"""One forwarding node under the virtual clock: production decisions, simulated surroundings."""

import random
from typing import Protocol

from wingquay.forwarding.forwarding_node import FormatFailureKind, ForwardingNode, StoreFormats
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.store_follower import FollowerSettings
from wingquay.model.failure import Failure
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.routing_table import RoutingTable
from wingquay.ports.forwarding import (
    CancelSend,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SendToReplica,
    SetForwarding,
)
from wingquay.ports.machine import Action, Event, Exit, Schedule, Start
from wingquay.ports.store import StartWatch, StopWatch, StoreRequest
from wingquay.simulation.forwarding.oracle import ForwardingOracle
from wingquay.simulation.forwarding.store import StoreModel
from wingquay.simulation.virtual_clock import VirtualClock

CONFIGURATION_KEY = "configuration"
REPLICA_PREFIX = "replicas/"
NODE_PREFIX = "nodes/"


class Surroundings(Protocol):
    """What a simulated node asks of the simulation around it."""

    clock: VirtualClock
    store: StoreModel
    oracle: ForwardingOracle
    tables: dict[bytes, RoutingTable]
    records: dict[bytes, ReplicaRecord]

    def deliver(self, node: "SimulatedForwardingNode", send: SendToReplica) -> None:
        """Carry a request to the replica at its address, and the outcome back."""
        ...

    def cancel_at(self, host: str, node: int, attempt_id: int) -> None:
        """Carry the end of a connection to a replica."""
        ...

    def node_exited(self, node: "SimulatedForwardingNode", action: Exit) -> None:
        """Take in that a node ended as planned."""
        ...


class SimulatedForwardingNode:
    """One life of a node; a restart makes another."""

    def __init__(self, simulation: Surroundings, number: int, seed: int) -> None:
        self.number = number
        self.is_alive = True
        self.is_ready = False
        self.open_requests: dict[int, str] = {}
        self._simulation = simulation
        self._clock = simulation.clock
        self._sends: dict[int, str] = {}
        formats = StoreFormats(
            CONFIGURATION_KEY, REPLICA_PREFIX, NODE_PREFIX, self._parse_table, self._parse_record
        )
        self._machine = ForwardingNode(
            f"node-{number}",
            ForwardingSettings(zone=f"zone-{number % 2}"),
            FollowerSettings(),
            formats,
            random.Random(seed),
        )

    def start(self) -> None:
        """Begin."""
        self.emit(Start())

    def emit(self, event: Event) -> None:
        """Hand an event to the decisions and perform what they decide."""
        if not self.is_alive:
            return
        for action in self._machine.handle(event, self._clock.now):
            self._perform(action)

    def kill(self) -> None:
        """End at once; replicas see the connections close."""
        self.is_alive = False
        self._simulation.store.forget_node(self.emit)
        for attempt_id, replica_host in self._sends.items():
            self._simulation.cancel_at(replica_host, self.number, attempt_id)

    def _perform(self, action: Action) -> None:
        simulation = self._simulation
        if isinstance(action, Schedule):
            self._clock.at(action.at_seconds, self.emit, action.event)
        elif isinstance(action, SendToReplica):
            self._sends[action.attempt_id] = action.replica.host
            simulation.deliver(self, action)
        elif isinstance(action, CancelSend):
            self._cancel(action)
        elif isinstance(action, ReplyUnchanged | ReplyMerged | ReplyFailure):
            self._reply(action)
        elif isinstance(action, StoreRequest):
            simulation.store.perform(self.number, action, self.emit)
        elif isinstance(action, StartWatch):
            simulation.store.watch(self.number, action, self.emit)
        elif isinstance(action, StopWatch):
            simulation.store.stop_watch(action.watch_id, self.emit)
        elif isinstance(action, SetForwarding):
            self.is_ready = action.is_ready
        elif isinstance(action, Exit):
            simulation.node_exited(self, action)

    def _cancel(self, action: CancelSend) -> None:
        host = self._sends.pop(action.attempt_id, None)
        if host is not None:
            self._simulation.cancel_at(host, self.number, action.attempt_id)

    def _reply(self, reply: ReplyUnchanged | ReplyMerged | ReplyFailure) -> None:
        request_id = self.open_requests.pop(reply.exchange_id, None)
        if request_id is not None:
            self._simulation.oracle.replied(request_id, reply, self._clock.now)

    def outcome(self, event: Event, attempt_id: int) -> None:
        """Take in what became of an attempt."""
        self._sends.pop(attempt_id, None)
        self.emit(event)

    def _parse_table(self, value: bytes) -> RoutingTable | Failure[FormatFailureKind]:
        found = self._simulation.tables.get(value)
        return found or Failure(FormatFailureKind.MALFORMED, "unknown table")

    def _parse_record(
        self, _replica_id: str, value: bytes
    ) -> ReplicaRecord | Failure[FormatFailureKind]:
        found = self._simulation.records.get(value)
        return found or Failure(FormatFailureKind.MALFORMED, "unknown record")
