"""A replica that reports slow work costs more until the report is outdated."""

from testtools import TestCase

from tests.forwarding.one_node import replica
from wingquay.forwarding.choice.replica_state import ReplicaState
from wingquay.ports.forwarding import ReportedLoad

ANSWERED_AT = 100.0


def cost(work_factor: float, age_seconds: float) -> float:
    state = ReplicaState(replica("r", "s"), 0.0)
    state.on_answer(ReportedLoad(0, 0, 2, work_factor), ANSWERED_AT)
    return state.cost(ANSWERED_AT + age_seconds, "a", prefers_reliable=False)


class ReportedWorkTest(TestCase):
    def test_reported_slow_work_raises_the_cost_and_decays(self) -> None:
        self.assertAlmostEqual(4.0, cost(4.0, 0.0))
        self.assertLess(cost(4.0, 0.4), 2.2)
        self.assertLess(cost(4.0, 4.0), 1.01)

    def test_work_faster_than_typical_counts_as_typical(self) -> None:
        self.assertAlmostEqual(1.0, cost(0.5, 0.0))

    def test_measured_and_reported_slowdowns_are_not_multiplied(self) -> None:
        state = ReplicaState(replica("r", "s"), 0.0)
        for number in range(20):
            state.on_latency(4.0, ANSWERED_AT - 1.0 + number / 100, ANSWERED_AT)
        state.on_answer(ReportedLoad(0, 0, 2, 4.0), ANSWERED_AT)
        self.assertLessEqual(state.cost(ANSWERED_AT, "a", prefers_reliable=False), 4.0)
