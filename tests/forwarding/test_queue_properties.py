"""Invariants of waiting requests for arbitrary loads and replica failures."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.sending.waiting_settings import QueueLocation, WaitingRule, WaitingSettings
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    SendFailureKind,
)

DEADLINE_SECONDS = 2.0
PATHS = ("/urgent/x", "/usual/x", "/once/x")
STEPS = st.lists(
    st.one_of(
        st.sampled_from(PATHS),
        st.sampled_from(PATHS),
        st.sampled_from(["answer", "answer", "shed", "break", "unreached"]),
        st.floats(0.001, 0.3),
    ),
    min_size=10,
    max_size=80,
)


class History:
    """Events of one node, its callers, and two replicas with one slot each."""

    def __init__(self) -> None:
        waiting_settings = WaitingSettings(WaitingRule.ESTIMATE, QueueLocation.NODE)
        self.node = OneNode(waiting=waiting_settings, min_nodes=1)
        objective = {"objective_seconds": 0.5, "timeout_seconds": DEADLINE_SECONDS}
        routes = (
            single_route("/urgent/", priority=0, **objective),
            single_route("/usual/", priority=2, **objective),
            single_route("/once/", priority=1, is_repeatable=False, **objective),
        )
        records = [replace(replica(f"r{number}", "s"), slots=1) for number in range(2)]
        self.node.start(table(1, *routes, connections=240), *records)
        self.node.advance(10.0)
        self.paths: dict[str, str] = {}
        self.arrived: dict[int, float] = {}
        self.ran: set[str] = set()
        self.overtaken: list[tuple[str, str]] = []

    def step(self, step: str | float) -> None:
        """Apply one step: a request, a replica's reaction, or a delay."""
        seen = len(self.node.all_sends)
        waiting = self._unsent_urgent()
        match step:
            case float():
                self.node.advance(step)
            case "answer" | "shed" | "break" | "unreached":
                self._replica(step)
            case path:
                number = self.node.request(path, DEADLINE_SECONDS)
                self.paths[f"id-{number}"] = path
                self.arrived[number] = self.node.now
        for send in self.node.all_sends[seen:]:
            if self.paths[send.request_id] == "/usual/x":
                self.overtaken += [(send.request_id, other) for other in waiting]
            waiting.discard(send.request_id)

    def _replica(self, step: str) -> None:
        if not self.node.sends:
            return
        send = self.node.sends[0]
        if step in ("answer", "break"):
            self.ran.add(send.request_id)
        match step:
            case "answer":
                self.node.answer(send)
            case "shed":
                self.node.answer(send, 503, b"", None, not_run=True)
            case "break":
                self.node.fail(send, SendFailureKind.BROKEN)
            case _:
                self.node.fail(send, SendFailureKind.NOT_SENT)

    def _unsent_urgent(self) -> set[str]:
        """Return the open urgent requests that have not been sent yet."""
        sent = {send.request_id for send in self.node.all_sends}
        return {
            f"id-{number}"
            for number in self.arrived
            if number not in self.node.replies
            and self.paths[f"id-{number}"] == "/urgent/x"
            and f"id-{number}" not in sent
        }

    def not_run(self) -> set[str]:
        """Return the requests that were reported to their callers as not run."""
        return {
            f"id-{number}"
            for number, reply in self.node.replies.items()
            if isinstance(reply, ReplyFailure) and reply.kind is ForwardFailureKind.NOT_RUN
        }


def simulate(steps: list[str | float]) -> History:
    """Apply some steps, then wait until every request must have ended."""
    history = History()
    for step in steps:
        history.step(step)
    history.node.advance(DEADLINE_SECONDS)
    return history


class PropertyTest(TestCase):
    @given(steps=STEPS)
    def test_an_urgent_request_never_waits_behind_a_less_urgent_one(
        self, steps: list[str | float]
    ) -> None:
        self.assertEqual([], simulate(steps).overtaken)

    @given(steps=STEPS)
    def test_a_request_reported_as_not_run_has_not_run_and_is_not_in_flight(
        self, steps: list[str | float]
    ) -> None:
        history = simulate(steps)
        in_flight = {send.request_id for send in history.node.sends}
        self.assertEqual(set(), history.not_run() & (history.ran | in_flight))

    @given(steps=STEPS)
    def test_every_request_ends_by_its_deadline(self, steps: list[str | float]) -> None:
        history = simulate(steps)
        late = {
            number: at - history.arrived[number]
            for number, at in history.node.replied_at.items()
            if at - history.arrived[number] > DEADLINE_SECONDS
        }
        self.assertEqual({}, late)
        self.assertEqual(set(history.arrived), set(history.node.replies))

    @given(paths=st.lists(st.sampled_from(PATHS), min_size=1, max_size=10))
    def test_requests_without_replicas_end_at_once(self, paths: list[str]) -> None:
        history = History()
        history.node.change(gone=("r0", "r1"))
        history.node.advance(5.0)
        for path in paths:
            history.step(path)
        ended = {number: history.node.replied_at.get(number) for number in history.arrived}
        self.assertEqual(history.arrived, ended)
