"""All hollow nodes: their starts and ends, warm or cold."""

from collections.abc import Callable
from typing import cast

from wingquay.model.identifiers import NodeId, Revision
from wingquay.ports.machine import Event
from wingquay.ports.peer import (
    Gossip,
    NodeIdentity,
    NodeList,
    NodeState,
    NodeUpdate,
    PeerReceived,
)
from wingquay.simulation.capacity.layout import node_identity
from wingquay.simulation.capacity.metered_machine import MeteredMachine
from wingquay.simulation.capacity.wire import DatagramOnWire, FrameOnWire, Wire
from wingquay.simulation.digest import EventDigest
from wingquay.simulation.random_streams import RandomStreams
from wingquay.simulation.simulated_node import Performers, SimulatedNode
from wingquay.simulation.virtual_clock import VirtualClock

CLOCK_OFFSET_SECONDS = 1000.0
"""The clocks of two processes differ by a multiple of this."""

SEEDS_NAMED = 8
"""Peers that the settings of a node name: the first place of each zone."""

INCARNATION_AFTER_FIRST_LIST = 2
"""A node announces itself at its start and again when it gets its first list."""


class BriefDigest(EventDigest):
    """Hashes when what kind of event reached whom: cheap enough for millions of events."""

    def record(self, now: float, place: str, event: Event) -> None:
        """Take in an event."""
        self.events += 1
        kind = type(event).__name__
        detail = event.kind if isinstance(event, DatagramOnWire | FrameOnWire) else ""
        self._hash.update(f"{now:.9f} {place} {kind} {detail}\n".encode())


class Fleet:
    """Starts hollow nodes at places from 0 on and keeps those that run.

    Parameters
    ----------
    revised
        Called when a node goes by another revision than before.
    """

    def __init__(
        self,
        places: int,
        clock: VirtualClock,
        streams: RandomStreams,
        wire: Wire,
        performers: Performers,
        revised: Callable[[SimulatedNode], None],
    ) -> None:
        self.running: dict[NodeId, SimulatedNode] = {}
        self.digest = BriefDigest()
        self.started = 0
        self._places = places
        self._clock = clock
        self._streams = streams
        self._wire = wire
        self._performers = performers
        self._revised = revised
        self._by_address: dict[tuple[str, int], SimulatedNode] = {}
        self._generations = [0] * places

    def start_all_warm(self, spread_seconds: float) -> None:
        """Start a node at every place, each knowing all others."""
        identities = [node_identity(place, 1) for place in range(self._places)]
        updates = tuple(
            NodeUpdate(identity, NodeState.ALIVE, INCARNATION_AFTER_FIRST_LIST)
            for identity in identities
        )
        known = NodeList(Gossip(Revision(0), updates))
        for place in range(self._places):
            at_seconds = self._clock.now + spread_seconds * place / self._places
            teller = identities[place - 1]
            self._clock.at(at_seconds, self._start_warm, place, PeerReceived(teller, known))

    def _start_warm(self, place: int, known: PeerReceived) -> None:
        self.start(place).deliver(known)

    def start(self, place: int) -> SimulatedNode:
        """Start a process at a place; it knows the addresses of its seeds alone."""
        self.started += 1
        self._generations[place] += 1
        identity = node_identity(place, self._generations[place])
        seeds = tuple(node_identity(index, 1) for index in range(min(SEEDS_NAMED, self._places)))
        machine = MeteredMachine(
            identity, self._wire, seeds, self._streams.stream(f"node/{identity.node_id}")
        )
        node = SimulatedNode(
            identity,
            machine,
            self._clock,
            self.digest,
            self.started * CLOCK_OFFSET_SECONDS,
            self._performers,
            self._revised,
        )
        self.running[identity.node_id] = node
        self._by_address[identity.host, identity.port] = node
        node.start()
        return node

    def crash(self, node: SimulatedNode) -> None:
        """End a process without a warning."""
        node.crash()
        self.running.pop(node.identity.node_id)
        self._by_address.pop((node.identity.host, node.identity.port))

    def find(self, node_id: NodeId) -> SimulatedNode | None:
        """Return the process with that id if it still exists."""
        return self.running.get(node_id)

    def at_address(self, identity: NodeIdentity) -> SimulatedNode | None:
        """Return the process that listens at an address, whatever its id."""
        return self._by_address.get((identity.host, identity.port))

    def place_of(self, node: SimulatedNode) -> int:
        """Return the place at which a process runs."""
        address = (node.identity.host, node.identity.port)
        return next(
            place
            for place in range(self._places)
            if (node_identity(place, 1).host, node_identity(place, 1).port) == address
        )

    def machines(self) -> list[MeteredMachine]:
        """Return the machines of the running nodes."""
        return [machine_of(node) for node in self.running.values()]


def machine_of(node: SimulatedNode) -> MeteredMachine:
    """Return a hollow node's machine."""
    return cast(MeteredMachine, node.machine)
