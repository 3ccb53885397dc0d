"""Messages between simulated nodes: datagrams, and one ordered connection a pair of nodes."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..model.identifiers import NodeId
from ..ports.machine import Event
from ..ports.peer import (
    MembershipMessage,
    NodeIdentity,
    PeerLinkBroken,
    PeerReceived,
    SubResultBatch,
)
from .network import Network
from .simulated_node import SimulatedNode
from .virtual_clock import VirtualClock

SEND_TIMEOUT_SECONDS = 1.0
"""How long a connection that loses everything is believed in."""


class RunningNodes(Protocol):
    """The processes that exist."""

    def find(self, node_id: NodeId) -> SimulatedNode | None:
        """Return the process with that id if it still exists."""
        ...

    def at_address(self, identity: NodeIdentity) -> SimulatedNode | None:
        """Return the process that listens at an address, whatever its id."""
        ...


@dataclass(slots=True)
class _Connection:
    """One direction of a pair's connection."""

    epoch: int = 0
    last_arrival_at: float = 0.0
    broken_until: float = 0.0


class PeerLinks:
    """Carries ``SendToPeer`` messages.

    Parameters
    ----------
    nodes
        The processes that exist.
    """

    def __init__(
        self,
        network: Network,
        clock: VirtualClock,
        nodes: RunningNodes,
        random_source: Random,
    ) -> None:
        self.repeated_share = 0.0
        """Share of result messages that come twice."""
        self._random = random_source
        self._network = network
        self._clock = clock
        self._nodes = nodes
        self._connections: dict[tuple[NodeId, NodeId], _Connection] = {}

    def send(self, sender: NodeIdentity, receiver: NodeIdentity, message: object) -> None:
        """Carry ``message`` (a ``PeerMessage``) as its kind travels."""
        event = PeerReceived(sender, message)  # type: ignore[arg-type]
        if isinstance(message, MembershipMessage):
            self.send_datagram(sender, receiver, event)
        else:
            self.send_in_order(sender, receiver, event)

    def send_datagram(self, sender: NodeIdentity, receiver: NodeIdentity, event: Event) -> None:
        """Carry ``event`` as a datagram."""
        self._network.send_datagram(
            sender.zone, receiver.zone, self._deliver_datagram, receiver, event
        )

    def send_in_order(self, sender: NodeIdentity, receiver: NodeIdentity, event: Event) -> None:
        """Carry ``event`` on the connection of the two nodes."""
        connection = self._connection(sender.node_id, receiver.node_id)
        if not self._network.reaches(sender.zone, receiver.zone):
            self._time_out(connection, sender.node_id, receiver.node_id)
            return
        if not self._network.reaches(receiver.zone, sender.zone):
            # The message arrives but its acknowledgement does not.
            self._time_out(connection, sender.node_id, receiver.node_id)
        seconds = self._network.one_way_seconds(sender.zone, receiver.zone)
        arrival_at = max(self._clock.now + seconds, connection.last_arrival_at)
        connection.last_arrival_at = arrival_at
        self._clock.at(arrival_at, self._arrive, sender, receiver, event, connection.epoch)
        if self.repeated_share and _carries_results(event):
            if self._random.random() < self.repeated_share:
                self._clock.at(arrival_at, self._arrive, sender, receiver, event, connection.epoch)

    def break_link(self, one: NodeId, other: NodeId) -> None:
        """Break the connection of two nodes; what is in transit is lost and both are told."""
        for source, destination in ((one, other), (other, one)):
            self._connection(source, destination).epoch += 1
            self._tell_broken(source, destination, "reset")

    def _find_receiver(self, receiver: NodeIdentity) -> SimulatedNode | None:
        """Return the process that is meant; an identity without an id means its address."""
        if receiver.node_id:
            return self._nodes.find(receiver.node_id)
        return self._nodes.at_address(receiver)

    def _connection(self, source: NodeId, destination: NodeId) -> _Connection:
        connection = self._connections.get((source, destination))
        if connection is None:
            connection = _Connection()
            self._connections[source, destination] = connection
        return connection

    def _deliver_datagram(self, receiver: NodeIdentity, event: Event) -> None:
        node = self._find_receiver(receiver)
        if node is not None:
            node.deliver(event)

    def _time_out(self, connection: _Connection, sender: NodeId, receiver: NodeId) -> None:
        if connection.broken_until > self._clock.now:
            return
        connection.broken_until = self._clock.now + SEND_TIMEOUT_SECONDS
        self._clock.after(
            SEND_TIMEOUT_SECONDS, self._tell_broken, sender, receiver, "no acknowledgement"
        )

    def _arrive(
        self,
        sender: NodeIdentity,
        receiver: NodeIdentity,
        event: Event,
        epoch: int,
    ) -> None:
        if self._connection(sender.node_id, receiver.node_id).epoch != epoch:
            return
        node = self._find_receiver(receiver)
        if node is None or not node.is_listening:
            self._network.send(
                receiver.zone,
                sender.zone,
                self._tell_broken,
                sender.node_id,
                receiver.node_id,
                "refused",
            )
            return
        node.deliver(event)

    def _tell_broken(self, to: NodeId, other: NodeId, reason: str) -> None:
        node = self._nodes.find(to)
        if node is not None:
            node.deliver(PeerLinkBroken(other, reason))


def _carries_results(event: Event) -> bool:
    return isinstance(event, PeerReceived) and isinstance(event.message, SubResultBatch)
