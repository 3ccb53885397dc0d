"""Several claims machines on a virtual clock, with simulated network, store and node faults.

The oracle: no two runs of one key are closer together than the retention.
"""

import heapq
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from tests.claims.in_memory_store import InMemoryStore
from wingquay.claims.machine import ClaimsMachine
from wingquay.claims.settings import ClaimsSettings
from wingquay.model.configuration import Configuration, Deployment, Service
from wingquay.model.identifiers import (
    CallerName,
    DeploymentName,
    NodeId,
    RequestId,
    RequestKindName,
    Revision,
    ServiceName,
    ZoneName,
)
from wingquay.model.key_range import KeyRange
from wingquay.model.mechanisms import Mechanism
from wingquay.model.request import QueryRequest
from wingquay.ports.internal import (
    ClaimDecided,
    ClaimDecisionKind,
    ClaimFinished,
    ClaimWanted,
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
    Notify,
)
from wingquay.ports.machine import Action, Event, Schedule, Start
from wingquay.ports.peer import NodeIdentity, PeerLinkBroken, PeerMessage, PeerReceived, SendToPeer
from wingquay.ports.store import StoreRequest

DEPLOYMENT = DeploymentName("isan-north")
SERVICE = ServiceName("survey-intake")
RETENTION_SECONDS = 100.0
DECIDE_SECONDS = 2.0
RUN_SECONDS = 0.05


def quick_settings(disabled: frozenset[Mechanism] = frozenset()) -> ClaimsSettings:
    """Return settings with short times, so that timers and retention expire often within a test."""
    return ClaimsSettings(
        retention_seconds=RETENTION_SECONDS,
        retention_margin_seconds=5.0,
        assignment_validity_seconds=60.0,
        assignment_confirm_interval_seconds=10.0,
        join_takeover_delay_seconds=15.0,
        disabled=disabled,
    )


@dataclass
class SimulatedNode:
    """A node process; events that arrive while it is paused are queued."""

    identity: NodeIdentity
    machine: ClaimsMachine
    alive: bool = True
    leaving: bool = False
    paused: bool = False
    pending_events: list[Event] = field(default_factory=list)


@dataclass
class SubmittedRequest:
    """One submitted request and its decisions."""

    request: QueryRequest
    node_id: NodeId
    decisions: list[ClaimDecided] = field(default_factory=list)

    @property
    def decision(self) -> ClaimDecisionKind | None:
        return self.decisions[0].decision if self.decisions else None


@dataclass
class Network:
    """The present faults of the network, as probabilities (0 to 1) and cut pairs of nodes."""

    loss: float = 0.0
    duplicates: float = 0.0
    long_delay: float = 0.0
    cut: set[frozenset[str]] = field(default_factory=set)


class ClaimsCluster:
    """Simulated nodes, network and store, and an oracle that records violations."""

    def __init__(
        self,
        zone_count: int,
        nodes_per_zone: int,
        seed: int = 0,
        settings: ClaimsSettings | None = None,
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.network = Network()
        self.store = InMemoryStore(self.random, self._at)
        self.zones = tuple(ZoneName(f"z{index}") for index in range(zone_count))
        self.settings = settings or quick_settings()
        self.nodes: dict[NodeId, SimulatedNode] = {}
        self.submissions: dict[RequestId, SubmittedRequest] = {}
        self.runs: dict[str, list[tuple[float, RequestId]]] = {}
        self.violations: list[str] = []
        self.refuse_to_run = False
        self.delay_rule: Callable[[PeerMessage], float | None] | None = None
        self.zones_revision = 1
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        for _ in range(nodes_per_zone):
            for zone in self.zones:
                self.start_node(zone)
        self.send_membership()

    # Nodes

    def start_node(self, zone: ZoneName) -> SimulatedNode:
        number = len(self.nodes)
        node_id = NodeId(f"n{number}")
        identity = NodeIdentity(node_id, DEPLOYMENT, zone, "127.0.0.1", 7000 + number)
        machine = ClaimsMachine(self.settings, identity, random.Random(self.random.random()))
        node = SimulatedNode(identity, machine)
        self.nodes[node_id] = node
        self.deliver(node, Start())
        self.deliver(node, ConfigurationInForce(self.configuration()))
        return node

    def configuration(self) -> Configuration:
        service = Service(name=SERVICE, deployment=DEPLOYMENT, kinds=(), shards=())
        deployment = Deployment(name=DEPLOYMENT, zones=self.zones)
        return Configuration(
            revision=Revision(self.zones_revision), deployments=(deployment,), services=(service,)
        )

    def change_zones(
        self, zones: tuple[ZoneName, ...], uninformed: Collection[NodeId] = frozenset()
    ) -> None:
        """Apply a configuration with other zones at all nodes except the ``uninformed``."""
        self.zones = zones
        self.zones_revision += 1
        for node in self.running():
            if node.identity.node_id not in uninformed:
                self.deliver(node, ConfigurationInForce(self.configuration()))

    def running(self, zone: ZoneName | None = None) -> list[SimulatedNode]:
        return [
            node
            for node in self.nodes.values()
            if node.alive and (zone is None or node.identity.zone == zone)
        ]

    def send_membership(self, node: SimulatedNode | None = None) -> None:
        """Send one node, or all, the correct view of the membership."""
        for receiver in self.running() if node is None else [node]:
            self.send_view(receiver, set())

    def send_view(self, node: SimulatedNode, missing: set[NodeId]) -> None:
        """Send a node a membership view in which some nodes are missing."""
        seen = [other for other in self.running() if other.identity.node_id not in missing]
        available = tuple(other.identity for other in seen if not other.leaving)
        leaving = tuple(other.identity for other in seen if other.leaving)
        self.deliver(node, MembershipChanged(available, leaving))

    def crash(self, node: SimulatedNode) -> None:
        node.alive = False
        node.pending_events.clear()

    def leave(self, node: SimulatedNode) -> None:
        node.leaving = True
        self.deliver(node, LeavingStarted())

    def resume(self, node: SimulatedNode) -> None:
        node.paused = False
        pending_events, node.pending_events = node.pending_events, []
        # Messages in sockets and expired timers are read in no particular order.
        if self.random.random() < 0.5:
            self.random.shuffle(pending_events)
        for event in pending_events:
            self.deliver(node, event)

    def deliver(self, node: SimulatedNode, event: Event) -> None:
        if not node.alive:
            return
        if node.paused:
            node.pending_events.append(event)
            return
        for action in node.machine.handle(event, self.now):
            self._perform(node, action)

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case SendToPeer():
                self._send(node, action.to, action.message)
            case Schedule():
                self._at(action.at_seconds, lambda: self.deliver(node, action.event))
            case StoreRequest():
                node_id = node.identity.node_id
                self.store.submit(
                    node_id, action, self.now, lambda event: self.deliver(node, event)
                )
            case Notify(event=ClaimDecided() as decided):
                self._decided(node, decided)
            case _:
                pass

    # Network

    def _send(self, sender: SimulatedNode, to: NodeIdentity, message: PeerMessage) -> None:
        receiver = self.nodes[to.node_id]
        event = PeerReceived(sender.identity, message)
        if receiver is sender:
            self._at(self.now, lambda: self.deliver(sender, event))
            return
        lost = self.random.random() < self.network.loss
        pair = frozenset((sender.identity.node_id, to.node_id))
        if lost or not receiver.alive or pair in self.network.cut:
            if self.random.random() < 0.8:
                broken = PeerLinkBroken(to.node_id, "cut")
                self._at(self.now + 0.01, lambda: self.deliver(sender, broken))
            return
        fixed = self.delay_rule(message) if self.delay_rule else None
        if fixed is not None:
            self._at(self.now + fixed, lambda: self.deliver(receiver, event))
            return
        copies = 2 if self.random.random() < self.network.duplicates else 1
        for _ in range(copies):
            self._at(self.now + self._delay(), lambda: self.deliver(receiver, event))

    def receive(self, sender: SimulatedNode, to: SimulatedNode, message: PeerMessage) -> None:
        """Deliver a message at once."""
        self.deliver(to, PeerReceived(sender.identity, message))

    def _delay(self) -> float:
        if self.random.random() < self.network.long_delay:
            return self.random.choice((0.3, 3.0, 30.0, 130.0))
        return self.random.uniform(0.001, 0.003)

    def cut_off(self, group: set[NodeId]) -> None:
        """Cut the nodes of ``group`` off from all others."""
        for left in group:
            for right in self.nodes:
                if right not in group:
                    self.network.cut.add(frozenset((left, right)))

    def heal(self) -> None:
        """End every fault and send all nodes the correct configuration and membership."""
        self.network = Network()
        self.store.heal()
        self.refuse_to_run = False
        for node in self.running():
            if node.paused:
                self.resume(node)
            self.deliver(node, ConfigurationInForce(self.configuration()))
        self.send_membership()

    # Submissions

    def submit(self, node: SimulatedNode, key: str, body: str = "edit") -> SubmittedRequest:
        number = len(self.submissions)
        # Random ids, so that the later submission often has the smaller one, which is preferred.
        request_id = RequestId(f"{self.random.randrange(10**6):06}-{number}")
        request = QueryRequest(
            request_id=request_id,
            caller=CallerName("surveyor"),
            service=SERVICE,
            kind=RequestKindName("survey-edit"),
            key_ranges=(KeyRange.from_key("plot-1"),),
            repeatable=False,
            idempotency_key=key,
            body=body,
        )
        submission = SubmittedRequest(request, node.identity.node_id)
        self.submissions[request_id] = submission
        self.deliver(node, ClaimWanted(request, DECIDE_SECONDS))
        return submission

    def _decided(self, node: SimulatedNode, decided: ClaimDecided) -> None:
        submission = self.submissions[decided.request_id]
        submission.decisions.append(decided)
        if len(submission.decisions) > 1:
            self.violations.append(f"{decided.request_id} was decided twice")
        if decided.decision is not ClaimDecisionKind.GRANTED:
            return
        outcome = None
        if not self.refuse_to_run:
            self._record_run(submission)
            outcome = decided.request_id.encode()
        finished = ClaimFinished(decided.request_id, outcome)
        self._at(self.now + RUN_SECONDS, lambda: self.deliver(node, finished))

    def _record_run(self, submission: SubmittedRequest) -> None:
        key = submission.request.idempotency_key or ""
        request_id = submission.request.request_id
        runs = self.runs.setdefault(key, [])
        for at, earlier in runs:
            if self.now - at < RETENTION_SECONDS:
                self.violations.append(
                    f"{key} ran twice: {earlier} at {at:.3f}, {request_id} at {self.now:.3f}"
                )
        runs.append((self.now, request_id))

    # Time

    def _at(self, at: float, run: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (max(at, self.now), self._sequence, run))

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            at, _, run = heapq.heappop(self._due)
            self.now = at
            run()
        self.now = until

    def settle(self) -> None:
        """Advance until all assignments vote, if there are no faults."""
        self.advance(8.0)
