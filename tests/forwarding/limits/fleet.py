"""Simulated nodes with tenant limits on a network with delays, partitions and broken links."""

import heapq
import random
from collections import defaultdict
from itertools import count

from wingquay.forwarding.arrival.admission import Admitted, AwaitsLimit, Rejected
from wingquay.forwarding.arrival.limits.budget import compute_budget
from wingquay.forwarding.arrival.limits.distributed_limits import DistributedLimits
from wingquay.forwarding.arrival.limits.limit_settings import HOT_RATIO, LimitSettings
from wingquay.forwarding.knowledge.node_groups import NodeGroups
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.identifiers import DeploymentName, NodeId, ZoneName
from wingquay.model.tenants import Tenant
from wingquay.ports.machine import Action, Event, Log, Schedule
from wingquay.ports.peer_link import (
    NodeIdentity,
    NodeRecord,
    PeerLinkBroken,
    PeerReceived,
    SendToPeer,
)

WINDOW_SECONDS = 5.0
SETTINGS = LimitSettings(WINDOW_SECONDS, 0.1, 20.0, HOT_RATIO)


def identity(name: str, zone: str = "a") -> NodeIdentity:
    return NodeIdentity(NodeId(name), DeploymentName(""), ZoneName(zone), "127.0.0.1", 1)


def tenant(name: str = "t", rate: float = 6.0, burst: float = 20.0) -> Tenant:
    return Tenant(name, (f"key-of-{name}",), None, rate, burst)


class LimitFleet:
    """Nodes in four zones; records every request that runs."""

    def __init__(
        self, nodes: int, *tenants: Tenant, seed: int = 1, settings: LimitSettings = SETTINGS
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.settings = settings
        self.tenants = {item.name: item for item in tenants}
        self.identities = {f"n{k:02}": identity(f"n{k:02}", "abcd"[k % 4]) for k in range(nodes)}
        self.incarnations = dict.fromkeys(self.identities, 0)
        self.limits: dict[str, DistributedLimits] = {}
        self.groups: dict[str, NodeGroups] = {}
        self.partition: set[tuple[str, str]] = set()
        self.unlisted: set[str] = set()
        """Nodes whose own key may have expired, as they assume themselves."""
        self.suspended: dict[str, list[tuple[int, Event]]] = {}
        self.ran: dict[str, list[float]] = defaultdict(list)
        self.answers: dict[int, Admitted | Rejected] = {}
        self.waited: dict[int, float] = {}
        self.messages: list[SendToPeer] = []
        self.logs: list[Log] = []
        self._open_requests: dict[int, tuple[str, float, bool]] = {}
        self._held: dict[tuple[str, str], list[SendToPeer]] = defaultdict(list)
        self._last_at: dict[tuple[str, str], float] = defaultdict(float)
        self._due: list[tuple[float, int, str, int, Event]] = []
        self._numbers = count(1)
        for name in self.identities:
            self.start(name)

    # Nodes

    def start(self, name: str) -> None:
        self.incarnations[name] += 1
        node_limits = DistributedLimits(
            self.settings, random.Random(self.random.random()), self.now
        )
        node_limits.set_decision_callback(self._answered)
        groups = NodeGroups(ForwardingSettings(zone="a"), name)
        for other, node_identity in self.identities.items():
            groups.put(other, NodeRecord(node_identity))
        self.limits[name], self.groups[name] = node_limits, groups
        own = self.identities[name]
        self.perform(name, node_limits.set_tenants(self.tenants, self.now))
        self.perform(
            name,
            node_limits.open(
                own, groups, lambda _: name not in self.unlisted, lambda: True, self.now
            ),
        )

    def kill(self, name: str) -> None:
        self.limits.pop(name, None)
        self.suspended.pop(name, None)
        self.incarnations[name] += 1
        for other in self.limits:
            self._break(name, other)

    def suspend(self, name: str) -> None:
        self.suspended.setdefault(name, [])

    def resume(self, name: str) -> None:
        waiting = self.suspended.pop(name, [])
        if name in self.limits:
            self.limits[name].on_resumed()
        for incarnation, event in waiting:
            self._handle(name, incarnation, event)

    def remove_keys(self, *removed: str, seen_by: list[str]) -> None:
        """Remove the keys of nodes from the store as seen by other nodes."""
        for name in seen_by:
            for other in removed:
                self.groups[name].remove(other)
            self.perform(name, self.limits[name].refresh_owners(self.now))

    def add_keys(self, *added: str, seen_by: list[str]) -> None:
        """Add the keys of nodes to the store as seen by other nodes."""
        for name in seen_by:
            for other in added:
                self.groups[name].put(other, NodeRecord(self.identities[other]))
            self.perform(name, self.limits[name].refresh_owners(self.now))

    def configure(self, *tenants: Tenant) -> None:
        self.tenants = {item.name: item for item in tenants}
        for name, node_limits in self.limits.items():
            self.perform(name, node_limits.set_tenants(self.tenants, self.now))

    # The network

    def separate(self, *names: str, one_way: bool = False) -> None:
        inside = set(names)
        for one in inside:
            for other in set(self.identities) - inside:
                self.partition.add((one, other))
                if not one_way:
                    self.partition.add((other, one))

    def join(self) -> None:
        self.partition.clear()
        for (source, target), held in sorted(self._held.items()):
            for action in held:
                self._send(source, target, action)
        self._held.clear()

    def break_partitioned_links(self) -> None:
        for source, target in sorted(self.partition):
            if source in self.limits and target in self.limits:
                self._break(source, target)

    def _break(self, one: str, other: str) -> None:
        for source, target in ((one, other), (other, one)):
            self._held.pop((source, target), None)
            event = PeerLinkBroken(NodeId(target), "broken")
            self._push(self.now + 0.005, source, event)

    def _send(self, source: str, target: str, action: SendToPeer) -> None:
        if (source, target) in self.partition:
            self._held[source, target].append(action)
            return
        at = max(self._last_at[source, target], self.now + self.random.uniform(0.0005, 0.003))
        self._last_at[source, target] = at
        self._push(at, target, PeerReceived(self.identities[source], action.message))

    # Time

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            at, _, name, incarnation, event = heapq.heappop(self._due)
            self.now = max(self.now, at)
            self._handle(name, incarnation, event)
        self.now = until

    def _push(self, at: float, name: str, event: Event) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), name, self.incarnations[name], event))

    def _handle(self, name: str, incarnation: int, event: Event) -> None:
        if name in self.suspended:
            self.suspended[name].append((incarnation, event))
        elif name in self.limits and incarnation == self.incarnations[name]:
            self.perform(name, self.limits[name].handle(event, self.now))  # type: ignore[arg-type]

    def perform(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Schedule):
                self._push(action.at_seconds, name, action.event)
            elif isinstance(action, SendToPeer):
                self.messages.append(action)
                self._send(name, action.to.node_id, action)
            elif isinstance(action, Log):
                self.logs.append(action)

    # Callers

    def request(self, node: str, name: str = "t", runs: bool = True) -> int:
        """Send a request to a node; `runs`: a replica runs it if it is admitted."""
        number = next(self._numbers)
        node_limits = self.limits.get(node)
        if node_limits is None or node in self.suspended:
            return number
        self._open_requests[number] = (name, self.now, runs)
        answer = node_limits.admit(self.tenants[name], number, self.now)
        self.perform(node, node_limits.take_actions())
        if not isinstance(answer, AwaitsLimit):
            self._settle(number, answer, node_limits)
        return number

    def _answered(self, number: int, answer: Admitted | Rejected, _now: float) -> list[Action]:
        self._settle(number, answer, None)
        return []

    def _settle(
        self, number: int, answer: Admitted | Rejected, node_limits: DistributedLimits | None
    ) -> None:
        name, arrived_at, runs = self._open_requests.pop(number)
        self.answers[number] = answer
        self.waited[number] = self.now - arrived_at
        if isinstance(answer, Admitted) and runs:
            self.ran[name].append(self.now)
        elif isinstance(answer, Admitted) and node_limits is not None:
            node_limits.give_back(self.tenants[name], number, self.now)

    def load(
        self, rate: float, seconds: float, nodes: list[str] | None = None, name: str = "t"
    ) -> list[int]:
        """Send requests to random nodes at a constant rate; return their numbers."""
        numbers = []
        for _ in range(round(rate * seconds)):
            alive = [item for item in (nodes or sorted(self.limits)) if item in self.limits]
            if alive:
                numbers.append(self.request(self.random.choice(alive), name))
            self.advance(1.0 / rate)
        return numbers

    # Results

    def max_in_window(self, name: str = "t") -> int:
        """Return the maximum number of requests that ran in any window."""
        times = sorted(self.ran[name])
        start = maximum = 0
        for end, at in enumerate(times):
            while times[start] <= at - WINDOW_SECONDS:
                start += 1
            maximum = max(maximum, end - start + 1)
        return maximum

    def allowed(self, name: str = "t") -> float:
        return compute_budget(self.tenants[name], self.settings).max_requests

    def owners(self, name: str = "t") -> list[str]:
        node_limits = next(iter(self.limits.values()))
        return [item.node_id for item in node_limits.owners_of(name)]
