"""Nodes that wait for results, with the time of the last message to each."""

from dataclasses import dataclass

from ..ports.peer import NodeIdentity


@dataclass(slots=True)
class _WaitingNode:
    identity: NodeIdentity
    outstanding: int
    last_sent_at: float


class Requesters:
    """Number of outstanding sub-requests by requesting node."""

    def __init__(self) -> None:
        self._waiting: dict[str, _WaitingNode] = {}

    def __bool__(self) -> bool:
        """Return whether any node waits for results."""
        return bool(self._waiting)

    def on_received(self, requester: NodeIdentity, now: float) -> None:
        """Count a new sub-request of ``requester``."""
        waiting = self._waiting.get(requester.node_id)
        if waiting is None:
            waiting = _WaitingNode(requester, 0, now)
            self._waiting[requester.node_id] = waiting
        waiting.outstanding += 1

    def on_finished(self, requester: NodeIdentity, now: float) -> None:
        """Subtract a finished sub-request of ``requester`` from its count."""
        waiting = self._waiting.get(requester.node_id)
        if waiting is None:
            return
        waiting.outstanding -= 1
        waiting.last_sent_at = now
        if waiting.outstanding <= 0:
            del self._waiting[requester.node_id]

    def take_unsent_since(self, before: float, now: float) -> list[NodeIdentity]:
        """Return the nodes sent no message after ``before``; set their last send time to now."""
        idle = [waiting for waiting in self._waiting.values() if waiting.last_sent_at <= before]
        for waiting in idle:
            waiting.last_sent_at = now
        return [waiting.identity for waiting in idle]
