"""Test fleet: nodes, the store and the links between them on a virtual clock, without callers.

Each node has a clock with its own offset, so times of different nodes cannot be compared.
"""

import dataclasses
import random
from collections.abc import Callable

from tests.forwarding.one_node import (
    CLUSTER_KEY,
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    HELD_PREFIX,
    NODE_PREFIX,
    REPLICA_PREFIX,
    replica,
    sharded_route,
    table,
)
from wingquay.adapters.held_record import held_value, parse_held
from wingquay.adapters.node_record import node_value, parse_node
from wingquay.forwarding.forwarding_node import ForwardingNode, StoreFormats
from wingquay.forwarding.knowledge.follower_settings import FollowerSettings
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.routing_table import CallerLimits, RoutingTable
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.ports.machine import Action, Event, Log, ProcessResumed, Schedule, Start
from wingquay.ports.peer_link import OpenPeerLink, PeerReceived, SendToPeer
from wingquay.ports.peer_snapshot import PeerSnapshot, RequestPeerSnapshot
from wingquay.ports.store import (
    ReadResult,
    StartWatch,
    StopWatch,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from wingquay.simulation.forwarding.node_links import NodeLinks
from wingquay.simulation.forwarding.store import StoreModel
from wingquay.simulation.forwarding.zone_cuts import ZoneCuts
from wingquay.simulation.virtual_clock import VirtualClock

TENANTS = TenantDirectory((Tenant("blue", ("key",)),))
LINK_SECONDS = 0.003
CLOCK_OFFSET_SECONDS = 1e4
STORE_EVENTS = (WatchChanged, WatchBroken, StoreResponse)


class FleetNode:
    """One incarnation of a node."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.number = number
        self.is_alive = True
        self.suspended_until = 0.0
        self.link_lag_seconds = 0.0
        self.store_lag_seconds = 0.0
        self.logs: list[Log] = []
        self._last_answer_at = 0.0
        self._fleet = fleet
        self._clock = fleet.clock
        self._clock_offset_seconds = CLOCK_OFFSET_SECONDS * (number + 1)
        self._zone = f"zone-{number % fleet.zones}"
        formats = StoreFormats(
            CONFIGURATION_KEY,
            REPLICA_PREFIX,
            NODE_PREFIX,
            CLUSTER_KEY,
            EVACUATION_PREFIX,
            fleet.table,
            lambda replica_id, _: replica(replica_id, "s0"),
            parse_node,
            node_value,
            HELD_PREFIX,
            parse_held,
            held_value,
        )
        settings = ForwardingSettings(zone=self._zone)
        source = random.Random(fleet.random.random())  # noqa: S311
        self.machine = ForwardingNode(f"node-{number}", settings, fleet.follower, formats, source)
        self._clock.after(0.0, self._handle, Start())

    @property
    def is_awake(self) -> bool:
        return self.is_alive and self._clock.now >= self.suspended_until

    @property
    def now(self) -> float:
        return self._clock.now + self._clock_offset_seconds

    @property
    def is_proven(self) -> bool:
        return self.machine.proof.is_proven(self.now)

    def receive(self, event: Event) -> None:
        """Deliver an event from the store or another node, after its delay."""
        arrives_at = self._clock.now
        if isinstance(event, STORE_EVENTS):
            # A poll starts after the answer to the one before, so answers keep their order.
            arrives_at = max(arrives_at + self.store_lag_seconds, self._last_answer_at)
            self._last_answer_at = arrives_at
        elif isinstance(event, PeerReceived):
            arrives_at += self.link_lag_seconds
        self._clock.at(arrives_at, self._handle, self._on_own_clock(event))

    def suspend(self, seconds: float) -> None:
        self.suspended_until = self._clock.now + seconds
        self._fleet.store.cut_off_node(self.number, seconds)
        self._clock.at(self.suspended_until, self._handle, ProcessResumed(seconds))

    def kill(self) -> None:
        self.is_alive = False
        self._fleet.store.forget_node(self.receive)
        self._fleet.links.node_ended(self.number)

    def _handle(self, event: Event) -> None:
        if not self.is_alive:
            return
        if not self.is_awake:
            self._clock.at(self.suspended_until, self._handle, event)
            return
        for action in self.machine.handle(event, self.now):
            self._perform(action)

    def _on_own_clock(self, event: Event) -> Event:
        if isinstance(event, WatchChanged) and event.begun_at is not None:
            return dataclasses.replace(event, begun_at=event.begun_at + self._clock_offset_seconds)
        if isinstance(event, StoreResponse) and isinstance(event.result, ReadResult):
            begun_at = (event.result.begun_at or 0.0) + self._clock_offset_seconds
            return StoreResponse(
                event.operation_id, dataclasses.replace(event.result, begun_at=begun_at)
            )
        return event

    def _perform(self, action: Action) -> None:
        fleet = self._fleet
        match action:
            case Log():
                self.logs.append(action)
            case Schedule():
                at_seconds = action.at_seconds - self._clock_offset_seconds
                self._clock.at(at_seconds, self._handle, action.event)
            case StoreRequest():
                fleet.calls += 1
                fleet.store.perform(self.number, action, self.receive)
            case StartWatch():
                fleet.watch(self, action)
            case StopWatch():
                fleet.store.stop_watch(action.watch_id, self.receive)
            case RequestPeerSnapshot():
                fleet.send_snapshot(self)
            case OpenPeerLink():
                fleet.links.open(self.number, self._zone, self.receive)
            case SendToPeer():
                fleet.messages += 1
                fleet.links.send(self.number, action)


class Fleet:
    """The nodes and their surroundings."""

    def __init__(
        self, follower: FollowerSettings, nodes: int, zones: int = 1, seed: int = 1
    ) -> None:
        self.follower = follower
        self.zones = zones
        self.random = random.Random(seed)  # noqa: S311
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock)
        self.links = NodeLinks(self.clock, LINK_SECONDS, ZoneCuts(self.clock))
        self.calls = 0
        self.messages = 0
        self.busy_until = 0.0
        """Until then the store rejects every new watch at once."""
        self.version = 0
        self.acknowledged_at: list[float] = []
        """When the store acknowledged each version, in order."""
        self.configure()
        for shard in range(90):
            self.store.put(f"{REPLICA_PREFIX}r{shard}", b"")
        self.nodes = [FleetNode(self, number) for number in range(nodes)]

    def configure(self) -> None:
        """Write a version that revokes a key of the version before."""
        self.version += 1
        self.store.put(CONFIGURATION_KEY, str(self.version).encode())
        self.acknowledged_at.append(self.clock.now)

    def table(self, value: bytes) -> RoutingTable:
        plain = table(int(value), sharded_route(90))
        return RoutingTable(int(value), plain.routes, plain.services, CallerLimits(), TENANTS)

    def required_version(self, bound_seconds: float) -> int:
        """Return the oldest version by which a node may still serve requests with keys."""
        before = self.clock.now - bound_seconds
        return sum(1 for at in self.acknowledged_at if at < before)

    def restart(self, number: int) -> None:
        self.nodes[number].kill()
        self.nodes[number] = FleetNode(self, number)

    def watch(self, node: FleetNode, action: StartWatch) -> None:
        if self.clock.now < self.busy_until:
            refused = WatchBroken(action.watch_id, "the store answered 429")
            self.clock.after(action.pause_seconds + LINK_SECONDS, node.receive, refused)
            return
        self.store.watch(node.number, action, node.receive)

    def send_snapshot(self, node: FleetNode) -> None:
        """Send a neighbour's copy of the store, however old, to a node."""
        neighbour = self.nodes[(node.number + 1) % len(self.nodes)]
        known = neighbour.machine.store_snapshot() if neighbour.is_awake else None
        if known is not None and neighbour is not node:
            copy = PeerSnapshot(known.values, known.store_revision)
            self.clock.after(LINK_SECONDS, node.receive, copy)

    def run(self, seconds: float, check: Callable[[], None], step_seconds: float = 0.05) -> None:
        """Advance the clock and check at each step."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.run_until(min(self.clock.now + step_seconds, end))
            check()
