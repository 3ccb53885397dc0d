"""Requests by which one node's poll of the store proves the configuration of other nodes.

The polling node replies with ``held_seconds``: its poll's start minus the arrival of the request,
both by its own clock. By the clock of the requesting node, the poll then started at or after
``sent_at + held_seconds``, because the request arrived no earlier than it was sent. The result
depends neither on message delays nor on the offset of the clocks.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ...model.value import value
from ...ports.machine import Action
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest

REQUEST_INTERVAL_SECONDS = 25.0
"""Time between two proof requests to the same node."""
REPEAT_SECONDS = 3.0
"""Time after which a request is repeated if the node sends updates but no proof."""
REQUEST_VALID_SECONDS = 60.0
"""Time for which a request is valid; it limits the clock drift that affects its answers."""
MAX_REQUESTING_NODES = 64
"""Maximum number of nodes whose requests are answered. A group has 29 nodes at the size to design
for."""


@dataclass(slots=True)
class _PeerState:
    """When another node was last sent a request, and when it last sent a proof."""

    requested_at: float
    answered_at: float = float("-inf")


class SentProofRequests:
    """The proof requests that this node sent, and the times that their answers prove.

    Parameters
    ----------
    first_number
        Number of the first request; random, so that no two incarnations of a node share one.
    """

    def __init__(self, first_number: int) -> None:
        self._number = first_number
        self._sent_at: dict[int, float] = {}
        self._peers: dict[str, _PeerState] = {}

    def send_requests(self, nodes: Collection[NodeIdentity], now: float) -> list[Action]:
        """Send a request to each of the nodes whose last request is old enough."""
        due = [node for node in nodes if self._is_due(node, now)]
        self._discard_expired(now)
        if not due:
            return []
        self._number += 1
        self._sent_at[self._number] = now
        for node in due:
            self._peers[node.node_id] = _PeerState(now)
        return [SendToPeer(node, ProofRequest(self._number)) for node in due]

    def handle_update_from(self, node: NodeIdentity, now: float) -> list[Action]:
        """Request proofs from a node that sends updates but does not answer requests."""
        peer = self._peers.get(node.node_id)
        if peer is not None:
            is_answered = peer.answered_at >= peer.requested_at
            if is_answered or now - peer.requested_at < REPEAT_SECONDS:
                return []
            del self._peers[node.node_id]
        return self.send_requests([node], now)

    def proven_as_of(self, sender: NodeIdentity, proof: ProofReply, now: float) -> float | None:
        """Return the time as of which an answer proves the configuration.

        ``None``: it answers no valid request of this incarnation.
        """
        sent_at = self._sent_at.get(proof.number)
        if sent_at is None or now - sent_at > REQUEST_VALID_SECONDS:
            return None
        peer = self._peers.get(sender.node_id)
        if peer is not None:
            peer.answered_at = now
        return sent_at + proof.held_seconds

    def link_broken(self, node_id: str) -> None:
        """Discard the requests to a node, which may be lost."""
        self._peers.pop(node_id, None)

    def _is_due(self, node: NodeIdentity, now: float) -> bool:
        peer = self._peers.get(node.node_id)
        return peer is None or now - peer.requested_at >= REQUEST_INTERVAL_SECONDS

    def _discard_expired(self, now: float) -> None:
        for number in [
            key for key, at in self._sent_at.items() if now - at > REQUEST_VALID_SECONDS
        ]:
            del self._sent_at[number]
        for name in [
            key
            for key, item in self._peers.items()
            if now - item.requested_at > REQUEST_VALID_SECONDS
        ]:
            del self._peers[name]


@value
class _ReceivedRequest:
    """The latest request of another node, and when it arrived."""

    node: NodeIdentity
    number: int
    received_at: float


class ReceivedProofRequests:
    """The proof requests of other nodes, which this node answers after each of its polls."""

    def __init__(self) -> None:
        self._requests: dict[str, _ReceivedRequest] = {}

    def record(self, sender: NodeIdentity, request: ProofRequest, now: float) -> None:
        """Record a request."""
        if sender.node_id in self._requests or len(self._requests) < MAX_REQUESTING_NODES:
            self._requests[sender.node_id] = _ReceivedRequest(sender, request.number, now)

    def answers(self, begun_at: float, store_revision: int, now: float) -> list[Action]:
        """Return the answers to all valid requests after a poll that started at ``begun_at``."""
        for node_id, request in list(self._requests.items()):
            if now - request.received_at > REQUEST_VALID_SECONDS:
                del self._requests[node_id]
        return [
            SendToPeer(
                request.node,
                ProofReply(request.number, begun_at - request.received_at, store_revision),
            )
            for request in self._requests.values()
        ]

    def link_broken(self, node_id: str) -> None:
        """Discard the request of a node that may be gone; it sends another one when it returns."""
        self._requests.pop(node_id, None)
