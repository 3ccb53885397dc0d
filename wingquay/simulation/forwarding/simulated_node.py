"""One forwarding node under the virtual clock: production decisions, simulated surroundings."""

import random
from collections.abc import Callable
from typing import Protocol

from ...adapters.held_record import held_value, parse_held
from ...adapters.node_record import node_value, parse_node
from ...forwarding.crashing.suspects import SuspicionLevel
from ...forwarding.forwarding_node import FormatFailureKind, ForwardingNode, StoreFormats
from ...forwarding.knowledge.poll_times import poll_times_within
from ...forwarding.knowledge.store_follower import FollowerSettings
from ...forwarding.settings import ForwardingSettings
from ...model.failure import Failure
from ...model.replica_record import ReplicaRecord
from ...model.routing_table import RoutingTable
from ...ports.forwarding import (
    CancelSend,
    OpaqueRequest,
    OpenConnection,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SendToReplica,
    SetForwarding,
)
from ...ports.machine import Action, Event, Exit, Schedule, Start
from ...ports.peer_link import OpenPeerLink, SendToPeer
from ...ports.store import StartWatch, StopWatch, StoreRequest
from ..virtual_clock import VirtualClock
from .node_links import NodeLinks
from .oracle import ForwardingOracle
from .settings import SimulationSettings
from .store import StoreModel

CONFIGURATION_KEY = "configuration"
REPLICA_PREFIX = "replicas/"
NODE_PREFIX = "nodes/"
CLUSTER_KEY = "cluster-key"
EVACUATION_PREFIX = "evacuate/"
HELD_PREFIX = "held/"
PRESENCE_DELAY_SECONDS = 0.6


class Surroundings(Protocol):
    """What a simulated node asks of the simulation around it."""

    clock: VirtualClock
    store: StoreModel
    oracle: ForwardingOracle
    links: NodeLinks
    settings: SimulationSettings
    tables: dict[bytes, RoutingTable]
    records: dict[bytes, ReplicaRecord]

    def deliver(self, node: "SimulatedForwardingNode", send: SendToReplica) -> None:
        """Carry a request to the replica at its address, and the outcome back."""
        ...

    def connect(
        self, record: ReplicaRecord, emit: Callable[[Event], None], zone: str | None = None
    ) -> None:
        """Try a connection to a replica and tell whether it came up."""
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
        self.frozen_until = simulation.clock.now
        """Until then events wait."""
        self.open_requests: dict[int, str] = {}
        self._simulation = simulation
        self._clock = simulation.clock
        self._sends: dict[int, str] = {}
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
        self._machine = ForwardingNode(
            f"node-{number}",
            self._settings(),
            FollowerSettings(poll_times=poll_times_within(simulation.settings.contact_seconds)),
            formats,
            random.Random(seed),
        )

    def _settings(self) -> ForwardingSettings:
        settings = self._simulation.settings
        return ForwardingSettings(
            zone=self.zone,
            zones=tuple(f"zone-{number}" for number in range(settings.zones)),
            presence_delay_seconds=PRESENCE_DELAY_SECONDS,
            delegate_min_shards=settings.delegate_min_shards,
            leaves_when_cut_off=settings.leaves_when_cut_off,
        )

    @property
    def zone(self) -> str:
        """The zone that it is in."""
        return f"zone-{self.number % self._simulation.settings.zones}"

    @property
    def configuration_version(self) -> int:
        """The configuration that it goes by; 0: none."""
        return self._machine.configuration_version

    def start(self) -> None:
        """Begin."""
        self._simulation.oracle.started_at[self.number] = self._clock.now
        self.emit(Start())

    def emit(self, event: Event) -> None:
        """Hand an event to the decisions and perform what they decide."""
        if not self.is_alive:
            return
        if self._clock.now < self.frozen_until:
            self._clock.at(self.frozen_until, self.emit, event)
            return
        for action in self._machine.handle(event, self._clock.now):
            self._perform(action)

    def verdict(self, request: OpaqueRequest) -> SuspicionLevel:
        """Return how the node treats a request that may end replicas."""
        return self._machine.suspicion_level(request, self._clock.now)

    def kill(self) -> None:
        """End at once; replicas see the connections close."""
        self.is_alive = False
        self._simulation.store.forget_node(self.emit)
        self._simulation.links.node_ended(self.number)
        for attempt_id, replica_host in self._sends.items():
            self._simulation.cancel_at(replica_host, self.number, attempt_id)

    def _perform(self, action: Action) -> None:
        simulation = self._simulation
        match action:
            case Schedule():
                self._clock.at(action.at_seconds, self.emit, action.event)
            case SendToReplica():
                self._sends[action.attempt_id] = action.replica.host
                simulation.deliver(self, action)
            case CancelSend():
                self._cancel(action)
            case OpenConnection():
                simulation.connect(action.replica, self.emit, self.zone)
            case ReplyUnchanged() | ReplyMerged() | ReplyFailure():
                self._reply(action)
            case SetForwarding():
                self.is_ready = action.is_ready
            case Exit():
                simulation.node_exited(self, action)
            case OpenPeerLink() | SendToPeer():
                self._perform_on_links(action)
            case _:
                self._perform_on_store(action)

    def _perform_on_links(self, action: OpenPeerLink | SendToPeer) -> None:
        links = self._simulation.links
        match action:
            case OpenPeerLink():
                links.open(self.number, self.zone, self.emit)
            case SendToPeer():
                links.send(self.number, action)

    def _perform_on_store(self, action: Action) -> None:
        store = self._simulation.store
        match action:
            case StoreRequest():
                store.perform(self.number, action, self.emit)
            case StartWatch():
                store.watch(self.number, action, self.emit)
            case StopWatch():
                store.stop_watch(action.watch_id, self.emit)

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
