"""Replicas of one small service on a node's virtual clock: slots, a line, a pace."""

from collections import Counter

from tests.forwarding import known_callers
from tests.forwarding.one_node import OneNode
from wingquay.ports.forwarding import ReplyFailure, SendToReplica

STEP_SECONDS = 0.002
FIRST_WITH_KEY = 1000
"""Numbers of requests with a key; those without count from 1."""


class PlayedService:
    """Answers what a node sends: each replica works on some at a time, first come first served.

    Parameters
    ----------
    slots
        Requests that a replica works on at a time.
    work_seconds
        How long it works on one.
    """

    def __init__(self, node: OneNode, slots: int = 2, work_seconds: float = 0.13) -> None:
        self.node = node
        self.started: list[str] = []
        """The request ids in the order in which replicas began to work on them."""
        self._slots = slots
        self._work_seconds = work_seconds
        self._ends_at: dict[int, float] = {}
        self._arrived: dict[str, float] = {}

    def ask(self, path: str, deadline_seconds: float = 8.0, key: str = "") -> int:
        """Let a caller ask."""
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
        """Let time pass and replicas work."""
        ends_at = self.node.now + seconds
        while self.node.now < ends_at:
            self._work()
            self.node.advance(STEP_SECONDS)

    def seconds(self, number: int) -> float:
        """Return after which time a caller heard something."""
        return self.node.replied_at[number] - self._arrived[f"id-{number}"]

    def outcomes(self, numbers: list[int], in_time_seconds: float) -> dict[str, int]:
        """Return how many were served in time or late, or rejected."""
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
