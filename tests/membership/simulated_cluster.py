"""Many membership machines on a virtual clock and a network with faults; deterministic."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

from wingquay.membership.membership_machine import MembershipMachine
from wingquay.membership.replica_evidence import ReplicaEvidenceSettings
from wingquay.membership.settings import MembershipSettings, SeedAddress
from wingquay.ports.internal import (
    ConfigurationInForce,
    MembershipChanged,
    Notify,
    ReplicaStateChanged,
)
from wingquay.ports.machine import Action, Count, Event, Log, Schedule, Start
from wingquay.ports.machine_directory import MachineListRead, ReadMachineList
from wingquay.ports.peer import (
    MembershipMessage,
    NodeIdentity,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
    SendToPeer,
)

ONE_WAY_SECONDS = 0.001
ZONES = ("cluj-a", "cluj-b", "bistrita", "dej")
SEED_COUNT = 3

MessageWatcher = Callable[[NodeIdentity, NodeIdentity, PeerMessage], None]


class SimulatedNode:
    """One node process: its machine and the notifications from it."""

    def __init__(self, identity: NodeIdentity, machine: MembershipMachine) -> None:
        self.identity = identity
        self.machine = machine
        self.is_running = True
        self.paused_until = 0.0
        self.available: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.notified: list[Event] = []
        self.counts: Counter[str] = Counter()


class SimulatedCluster:
    """Starts, stops, pauses and cuts off nodes, and advances the clock."""

    def __init__(
        self,
        seed: int,
        settings: MembershipSettings | None = None,
        watcher: MessageWatcher | None = None,
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.settings = settings or MembershipSettings()
        self.replica_settings = ReplicaEvidenceSettings()
        self.nodes: dict[str, SimulatedNode] = {}
        self.loss = 0.0
        self.lost_from: set[str] = set()
        self.lost_to: set[str] = set()
        self.cut_zones: set[frozenset[str]] = set()
        self.machine_list: MachineListRead | None = None
        self.on_notify: Callable[[SimulatedNode, Event], None] | None = None
        self.on_log: Callable[[SimulatedNode, Log], None] | None = None
        self._watcher = watcher
        self._by_address: dict[tuple[str, int], SimulatedNode] = {}
        self._heap: list[tuple[float, int, SimulatedNode, Event]] = []
        self._order = 0
        self._starts = 0

    def start_node(self, index: int) -> SimulatedNode:
        """Start a process at address ``index``, with a new node id each time."""
        self._starts += 1
        host = f"10.0.{index // 250}.{index % 250 + 1}"
        zone = ZONES[index % len(ZONES)]
        node_id = f"{zone}-{index:04d}-{self._starts:06x}"
        identity = NodeIdentity(node_id, "ro-nord", zone, host, 7000)
        seeds = [SeedAddress(f"10.0.0.{number + 1}", 7000) for number in range(SEED_COUNT)]
        source = random.Random(self.random.getrandbits(64))
        machine = MembershipMachine(identity, seeds, self.settings, self.replica_settings, source)
        node = SimulatedNode(identity, machine)
        self.nodes[node_id] = node
        self._by_address[(host, 7000)] = node
        self.deliver(node, Start())
        return node

    def start_nodes(self, count: int) -> list[SimulatedNode]:
        return [self.start_node(index) for index in range(count)]

    def crash(self, node: SimulatedNode) -> None:
        """Stop a process without notifying the other nodes."""
        node.is_running = False
        self.nodes.pop(node.identity.node_id, None)

    def pause(self, node: SimulatedNode, seconds: float) -> None:
        """Pause a process; messages that arrive meanwhile are handled afterwards."""
        node.paused_until = self.now + seconds

    def deliver(self, node: SimulatedNode, event: Event) -> None:
        """Deliver an event to a node now and perform the resulting actions."""
        for action in self.decide(node, event):
            self._perform(node, action)

    def decide(self, node: SimulatedNode, event: Event) -> list[Action]:
        """Return the actions of the node's machine for an event."""
        return node.machine.handle(event, self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, node, event = heapq.heappop(self._heap)
            if not node.is_running:
                continue
            if node.paused_until > self.now:
                self._push(node.paused_until, node, event)
                continue
            self.deliver(node, event)
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Advance the clock until ``condition`` holds; return the virtual seconds that passed."""
        started_at = self.now
        while not condition():
            if self.now - started_at > limit_seconds:
                raise AssertionError(f"condition not met after {limit_seconds} virtual seconds")
            self.run(self.settings.tick_seconds / 2)
        return self.now - started_at

    def is_settled(self) -> bool:
        """Whether the nodes in every node's view are exactly the running ones."""
        running = frozenset(self.nodes)
        return all(node.available | node.leaving == running for node in self.nodes.values())

    def total(self, name: str) -> int:
        return sum(node.counts[name] for node in self.nodes.values())

    def count_seeing(self, node_id: str) -> int:
        """Return how many other nodes have ``node_id`` as available."""
        return sum(
            node_id in node.available
            for node in self.nodes.values()
            if node.identity.node_id != node_id
        )

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case Schedule():
                self._push(max(action.at_seconds, self.now), node, action.event)
            case SendToPeer():
                self._send(node, action)
            case Notify():
                self._notify(node, action.event)
            case Log() if self.on_log is not None:
                self.on_log(node, action)
            case Count():
                node.counts[action.name] += 1
            case ReadMachineList():
                if self.machine_list is not None:
                    self._push(self.now + ONE_WAY_SECONDS, node, self.machine_list)

    def _notify(self, node: SimulatedNode, event: Event) -> None:
        if isinstance(event, MembershipChanged):
            node.available = frozenset(identity.node_id for identity in event.available)
            node.leaving = frozenset(identity.node_id for identity in event.leaving)
        elif isinstance(event, ReplicaStateChanged | ConfigurationInForce):
            node.notified.append(event)
        if self.on_notify is not None:
            self.on_notify(node, event)

    def _send(self, node: SimulatedNode, action: SendToPeer) -> None:
        if self._watcher is not None:
            self._watcher(node.identity, action.to, action.message)
        receiver = self._by_address.get((action.to.host, action.to.port))
        arrives_at = self.now + ONE_WAY_SECONDS * self.random.uniform(0.5, 1.5)
        is_datagram = isinstance(action.message, MembershipMessage)
        is_there = receiver is not None and receiver.is_running
        if is_there and receiver is not None and self._passes(node, receiver, is_datagram):
            if is_datagram or receiver.identity.node_id == action.to.node_id:
                received = PeerReceived(node.identity, action.message)
                self._push(arrives_at, receiver, received)
                return
        if not is_datagram:
            broken = PeerLinkBroken(action.to.node_id, "unreachable")
            self._push(self.now + 2 * ONE_WAY_SECONDS, node, broken)

    def _passes(self, sender: SimulatedNode, receiver: SimulatedNode, is_datagram: bool) -> bool:
        zones = frozenset((sender.identity.zone, receiver.identity.zone))
        if len(zones) > 1 and zones in self.cut_zones:
            return False
        losses = (
            sender.identity.node_id in self.lost_from,
            receiver.identity.node_id in self.lost_to,
        )
        if any(losses):
            return False
        return not is_datagram or self.random.random() >= self.loss

    def cut_off(self, zone: str) -> None:
        """Drop all messages between ``zone`` and the others."""
        self.cut_zones |= {frozenset((zone, other)) for other in ZONES if other != zone}

    def heal(self) -> None:
        self.cut_zones.clear()

    def _push(self, at: float, node: SimulatedNode, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, node, event))
