"""Simulated replicas of one service on a node's virtual clock, with slots and a FIFO queue."""

from collections import Counter

from tests.forwarding import known_callers
from tests.forwarding.one_node import OneNode
from wingquay.ports.forwarding import ReplyFailure, SendToReplica

STEP_SECONDS = 0.002
FIRST_WITH_KEY = 1000
"""First number of requests with a key; those without a key count from 1."""


class VirtualService:
    """Answers the requests of a node; each replica processes them in FIFO order.

    Parameters
    ----------
    slots
        Requests that a replica processes concurrently.
    work_seconds
        Work time of a request.
    """

    def __init__(self, node: OneNode, slots: int = 2, work_seconds: float = 0.13) -> None:
        self.node = node
        self.started: list[str] = []
        """Ids of the requests in the order in which replicas started them."""
        self._slots = slots
        self._work_seconds = work_seconds
        self._ends_at: dict[int, float] = {}
        self._arrived: dict[str, float] = {}

    def ask(self, path: str, deadline_seconds: float = 8.0, key: str = "") -> int:
        """Send a request as a caller and return its number."""
        if key:
            number = FIRST_WITH_KEY + len(self._arrived)
            known_callers.send_request(
                self.node, number, key, path, deadline_seconds=deadline_seconds
            )
        else:
            number = self.node.request(path, deadline_seconds)
        self._arrived[f"id-{number}"] = self.node.now
        return number

    def run(self, seconds: float) -> None:
        """Advance the time and let the replicas work."""
        ends_at = self.node.now + seconds
        while self.node.now < ends_at:
            self._work()
            self.node.advance(STEP_SECONDS)

    def seconds(self, number: int) -> float:
        """Return the response time of a request."""
        return self.node.replied_at[number] - self._arrived[f"id-{number}"]

    def outcomes(self, numbers: list[int], in_time_seconds: float) -> dict[str, int]:
        """Return the number of requests by outcome: in time, late, or the kind of failure."""
        return dict(Counter(self._outcome(number, in_time_seconds) for number in numbers))

    def _outcome(self, number: int, in_time_seconds: float) -> str:
        reply = self.node.replies.get(number)
        if reply is None:
            return "open"
        if isinstance(reply, ReplyFailure):
            return reply.kind.value
        return "in time" if self.seconds(number) <= in_time_seconds else "late"

    def _work(self) -> None:
        for send in list(self.node.sends):
            if self._ends_at.get(send.attempt_id, float("inf")) <= self.node.now:
                self.node.answer(send)
        for send in list(self.node.sends):
            if send.attempt_id not in self._ends_at and self._running(send) < self._slots:
                self._ends_at[send.attempt_id] = self.node.now + self._work_seconds
                self.started.append(send.request_id)

    def _running(self, send: SendToReplica) -> int:
        replica_id = send.replica.replica_id
        return sum(
            other.attempt_id in self._ends_at
            for other in self.node.sends
            if other.replica.replica_id == replica_id
        )
