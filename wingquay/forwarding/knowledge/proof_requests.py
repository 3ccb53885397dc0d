"""Ask and answer: one node's look at the store proves the configuration for those that asked it.

The node that looks tells how long it had the ask when the look began, by its own clock. The ask was
received after it was sent, so the look began no earlier than that time after the sending, by the
clock of the node that asked. This holds however late either message is, and also for a look that
began before the ask came: then it began no earlier than so much before the sending.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ...model.value import value
from ...ports.machine import Action
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest

ASK_SECONDS = 25.0
"""Time after which a node asks the others anew: an ask that was lost costs looks until then."""
UNANSWERED_SECONDS = 3.0
"""Time after which a node that tells news, but no proof with them, is asked anew."""
ASK_LIFE_SECONDS = 60.0
"""Time for which an ask counts: the clocks of two machines may run apart meanwhile by a tenth of
the reserve before the bound."""
MOST_ASKING_NODES = 64
"""Nodes that are told; a group of the size to design for has 27."""


@dataclass(slots=True)
class _Asked:
    """When another node was asked last, and when it last gave a proof."""

    asked_at: float
    given_at: float = float("-inf")


class ProofAsks:
    """The asks of this node, and what their answers prove.

    Parameters
    ----------
    first_number
        Number of the first ask; random, so that no two lives of a node share one.
    """

    def __init__(self, first_number: int) -> None:
        self._number = first_number
        self._sent_at: dict[int, float] = {}
        self._asked: dict[str, _Asked] = {}

    def ask(self, nodes: Collection[NodeIdentity], now: float) -> list[Action]:
        """Ask the nodes that were not asked for a while."""
        due = [node for node in nodes if self._is_due(node, now)]
        self._forget_old(now)
        if not due:
            return []
        self._number += 1
        self._sent_at[self._number] = now
        for node in due:
            self._asked[node.node_id] = _Asked(now)
        return [SendToPeer(node, ProofRequest(self._number)) for node in due]

    def news_from(self, node: NodeIdentity, now: float) -> list[Action]:
        """Ask a node that tells what it has read, if it has never heard that it is asked."""
        asked = self._asked.get(node.node_id)
        if asked is not None:
            is_heard = asked.given_at >= asked.asked_at
            if is_heard or now - asked.asked_at < UNANSWERED_SECONDS:
                return []
            del self._asked[node.node_id]
        return self.ask([node], now)

    def proven_as_of(self, sender: NodeIdentity, given: ProofReply, now: float) -> float | None:
        """Return the moment after which the look began that an answer tells of.

        ``None``: it answers no ask of this life that still counts.
        """
        sent_at = self._sent_at.get(given.number)
        if sent_at is None or now - sent_at > ASK_LIFE_SECONDS:
            return None
        asked = self._asked.get(sender.node_id)
        if asked is not None:
            asked.given_at = now
        return sent_at + given.held_seconds

    def link_broken(self, node_id: str) -> None:
        """Take in that asks to a node may be lost."""
        self._asked.pop(node_id, None)

    def _is_due(self, node: NodeIdentity, now: float) -> bool:
        asked = self._asked.get(node.node_id)
        return asked is None or now - asked.asked_at >= ASK_SECONDS

    def _forget_old(self, now: float) -> None:
        for number in [key for key, at in self._sent_at.items() if now - at > ASK_LIFE_SECONDS]:
            del self._sent_at[number]
        for name in [
            key for key, item in self._asked.items() if now - item.asked_at > ASK_LIFE_SECONDS
        ]:
            del self._asked[name]


@value
class _HeardAsk:
    """The latest ask of another node, and when it came."""

    node: NodeIdentity
    number: int
    received_at: float


class HeardAsks:
    """The asks of other nodes, which this node answers after each look of its own."""

    def __init__(self) -> None:
        self._asks: dict[str, _HeardAsk] = {}

    def heard(self, sender: NodeIdentity, ask: ProofRequest, now: float) -> None:
        """Take in that a node asks."""
        if sender.node_id in self._asks or len(self._asks) < MOST_ASKING_NODES:
            self._asks[sender.node_id] = _HeardAsk(sender, ask.number, now)

    def answers(self, begun_at: float, store_revision: int, now: float) -> list[Action]:
        """Return what the nodes that ask are told of a look which was begun at a moment."""
        for node_id, ask in list(self._asks.items()):
            if now - ask.received_at > ASK_LIFE_SECONDS:
                del self._asks[node_id]
        return [
            SendToPeer(ask.node, ProofReply(ask.number, begun_at - ask.received_at, store_revision))
            for ask in self._asks.values()
        ]

    def link_broken(self, node_id: str) -> None:
        """Take in that a node may be gone; it asks again when it is back."""
        self._asks.pop(node_id, None)
