"""The nodes that wait for results, and when each was last sent something."""

from dataclasses import dataclass

from ..ports.peer import NodeIdentity


@dataclass(slots=True)
class _Waiting:
    identity: NodeIdentity
    outstanding: int
    last_sent_at: float


class Requesters:
    """Outstanding sub-requests by the node that asked."""

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}

    def __bool__(self) -> bool:
        """Whether any node waits."""
        return bool(self._waiting)

    def on_accepted(self, requester: NodeIdentity, now: float) -> None:
        """Count one more sub-request of ``requester``."""
        waiting = self._waiting.get(requester.node_id)
        if waiting is None:
            waiting = _Waiting(requester, 0, now)
            self._waiting[requester.node_id] = waiting
        waiting.outstanding += 1

    def on_finished(self, requester: NodeIdentity, now: float) -> None:
        """Count one fewer sub-request of ``requester``."""
        waiting = self._waiting.get(requester.node_id)
        if waiting is None:
            return
        waiting.outstanding -= 1
        waiting.last_sent_at = now
        if waiting.outstanding <= 0:
            del self._waiting[requester.node_id]

    def take_unsent_since(self, before: float, now: float) -> list[NodeIdentity]:
        """Return the nodes that were sent nothing since ``before``, and count them as sent."""
        silent = [waiting for waiting in self._waiting.values() if waiting.last_sent_at <= before]
        for waiting in silent:
            waiting.last_sent_at = now
        return [waiting.identity for waiting in silent]
