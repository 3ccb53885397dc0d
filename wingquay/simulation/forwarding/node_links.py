"""The links between simulated forwarding nodes."""

from collections.abc import Callable

import attrs

from ...model.identifiers import DeploymentName, NodeId, ZoneName
from ...ports.machine import Event
from ...ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerMessage,
    PeerReceived,
    SendToPeer,
)
from ..virtual_clock import VirtualClock

PORT = 7
Emit = Callable[[Event], None]


@attrs.define(eq=False)
class _End:
    """A node's end of its links."""

    number: int
    identity: NodeIdentity
    emit: Emit
    spoken_with: set[NodeId] = attrs.field(factory=set)
    reached: set[NodeId] = attrs.field(factory=set)


class NodeLinks:
    """Carries messages between nodes that live, in order, after a delay.

    Parameters
    ----------
    delay_seconds
        Time that a message takes.
    """

    def __init__(self, clock: VirtualClock, delay_seconds: float) -> None:
        self._clock = clock
        self._delay_seconds = delay_seconds
        self._ends: dict[NodeId, _End] = {}
        self._starts = 0
        self.cut: set[int] = set()
        """Nodes whose messages are held up, in both directions."""
        self._held: list[tuple[int, int, Callable[[], None]]] = []

    def open(self, number: int, zone: str, emit: Emit) -> None:
        """Let a node listen and tell it where."""
        self._starts += 1
        node_id = NodeId(f"node-{number}-{self._starts}")
        identity = NodeIdentity(node_id, DeploymentName(""), ZoneName(zone), f"node-{number}", PORT)
        self._ends[node_id] = _End(number, identity, emit)
        self._clock.after(self._delay_seconds, emit, PeerLinkOpened(identity))

    def send(self, number: int, action: SendToPeer) -> None:
        """Carry a message of a node."""
        sender = next(end for end in self._ends.values() if end.number == number)
        target_id = action.to.node_id
        sender.spoken_with.add(target_id)

        def arrive() -> None:
            self._arrive(sender, target_id, action.message)

        self._carry(number, self._number_of(action.to), arrive)

    def node_ended(self, number: int) -> None:
        """Break the links of a node that ended."""
        for end in [end for end in self._ends.values() if end.number == number]:
            del self._ends[end.identity.node_id]
            for other in list(self._ends.values()):
                if end.identity.node_id in other.spoken_with:
                    self._break(other, end.identity.node_id)
                elif other.identity.node_id in end.spoken_with:
                    self._break(other, end.identity.node_id)

    def heal(self, number: int) -> None:
        """Let the messages of a node through again, also those that were held up."""
        self.cut.discard(number)
        held, self._held = self._held, []
        for sender, receiver, arrive in held:
            self._carry(sender, receiver, arrive)

    def _carry(self, sender: int, receiver: int, arrive: Callable[[], None]) -> None:
        if sender in self.cut or receiver in self.cut:
            self._held.append((sender, receiver, arrive))
            return
        self._clock.after(self._delay_seconds, arrive)

    def _arrive(self, sender: _End, target_id: NodeId, message: PeerMessage) -> None:
        target = self._ends.get(target_id)
        if target is not None and sender.identity.node_id in self._ends:
            sender.reached.add(target_id)
            target.reached.add(sender.identity.node_id)
            target.emit(PeerReceived(sender.identity, message))
        elif target is None:
            self._break(sender, target_id)

    def _break(self, end: _End, node_id: NodeId) -> None:
        event = PeerLinkBroken(node_id, "the node ended", node_id in end.reached)
        self._clock.after(self._delay_seconds, end.emit, event)

    @staticmethod
    def _number_of(identity: NodeIdentity) -> int:
        return int(identity.host.removeprefix("node-"))
