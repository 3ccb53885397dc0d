"""The links between simulated forwarding nodes."""

from collections.abc import Callable

import attrs

from ...model.identifiers import DeploymentName, NodeId, ZoneName
from ...ports.machine import Event
from ...ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from ..virtual_clock import VirtualClock
from .zone_cuts import ZoneCuts

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
    cuts
        Zones between which messages are held up.
    """

    def __init__(self, clock: VirtualClock, delay_seconds: float, cuts: ZoneCuts) -> None:
        self._clock = clock
        self._delay_seconds = delay_seconds
        self._cuts = cuts
        self._zones: dict[int, str] = {}
        self._ends: dict[NodeId, _End] = {}
        self.cut: set[int] = set()
        """Nodes whose messages are held up, in both directions."""
        self._held: list[tuple[int, int, Callable[[], None]]] = []

    def open(self, number: int, zone: str, emit: Emit) -> None:
        """Let a node listen and tell it where; it keeps its id over its lives."""
        node_id = NodeId(f"node-{number}")
        self._zones[number] = zone
        identity = NodeIdentity(node_id, DeploymentName(""), ZoneName(zone), f"node-{number}", PORT)
        self._ends[node_id] = _End(number, identity, emit)
        self._clock.after(self._delay_seconds, emit, PeerLinkOpened(identity))

    def send(self, number: int, action: SendToPeer) -> None:
        """Carry a message of a node."""
        sender = next(end for end in self._ends.values() if end.number == number)
        target = self._ends.get(action.to.node_id)
        sender.spoken_with.add(action.to.node_id)

        def arrive() -> None:
            self._arrive(sender, target, action)

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
        self.release()

    def release(self) -> None:
        """Carry on what was held up, as far as nothing holds it up any more."""
        held, self._held = self._held, []
        for sender, receiver, arrive in held:
            self._carry(sender, receiver, arrive)

    def _carry(self, sender: int, receiver: int, arrive: Callable[[], None]) -> None:
        zones = self._zones.get(sender, ""), self._zones.get(receiver, "")
        if sender in self.cut or receiver in self.cut or self._cuts.separates(*zones):
            self._held.append((sender, receiver, arrive))
            return
        self._clock.after(self._delay_seconds, arrive)

    def _arrive(self, sender: _End, target: _End | None, action: SendToPeer) -> None:
        """Hand a message over, unless one of the two lives that it is between has ended."""
        if not self._is_open(sender):
            return
        if target is None or not self._is_open(target):
            self._break(sender, action.to.node_id)
            return
        sender.reached.add(target.identity.node_id)
        target.reached.add(sender.identity.node_id)
        target.emit(PeerReceived(sender.identity, action.message))

    def _is_open(self, end: _End) -> bool:
        return self._ends.get(end.identity.node_id) is end

    def _break(self, end: _End, node_id: NodeId) -> None:
        event = PeerLinkBroken(node_id, "the node ended", node_id in end.reached)
        self._clock.after(self._delay_seconds, end.emit, event)

    @staticmethod
    def _number_of(identity: NodeIdentity) -> int:
        return int(identity.host.removeprefix("node-"))
