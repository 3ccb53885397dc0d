"""The completion cost ranks replicas by the expected benefit for callers."""

from testtools import TestCase

from tests.forwarding.one_node import replica
from wingquay.forwarding.choice.completion import (
    LatencyTarget,
    ReplicaEstimate,
    completion_cost_seconds,
)
from wingquay.forwarding.choice.replica_state import ReplicaState
from wingquay.ports.forwarding import ReportedLoad

TARGET = LatencyTarget(objective_seconds=0.133, typical_seconds=0.012)
NOW = 100.0


def cost(
    target: LatencyTarget = TARGET,
    slowdown: float = 1.0,
    outstanding: float = 0.0,
    slots: int = 2,
    failure_rate: float = 0.0,
    is_overdue: bool = False,
    is_in_other_zone: bool = False,
    counts_as_unreliable: bool = False,
) -> float:
    estimate = ReplicaEstimate(
        slowdown,
        outstanding,
        slots,
        failure_rate,
        is_overdue,
        is_in_other_zone,
        counts_as_unreliable,
    )
    return completion_cost_seconds(target, estimate, is_owned=True)


class CompletionCostTest(TestCase):
    def test_a_slower_replica_of_the_same_zone_is_preferred_if_it_answers_in_time(self) -> None:
        self.assertLess(cost(slowdown=2.5), cost(is_in_other_zone=True))
        self.assertLess(cost(outstanding=1.0), cost(is_in_other_zone=True))

    def test_another_zone_is_preferred_if_the_same_zone_would_use_most_of_the_objective(
        self,
    ) -> None:
        self.assertGreater(cost(slowdown=8.0), cost(is_in_other_zone=True))
        self.assertGreater(cost(outstanding=12.0), cost(is_in_other_zone=True))

    def test_the_same_slowdown_matters_more_with_a_short_objective(self) -> None:
        short = LatencyTarget(objective_seconds=0.03, typical_seconds=0.012)
        self.assertGreater(cost(short, slowdown=2.5), cost(short, is_in_other_zone=True))

    def test_another_zone_is_preferred_over_a_replica_that_loses_answers(self) -> None:
        self.assertGreater(cost(failure_rate=0.2), cost(is_in_other_zone=True))

    def test_queueing_costs_more_than_sharing_a_replica_with_a_free_slot(self) -> None:
        queueing = cost(outstanding=2.0) - cost(outstanding=1.0)
        sharing = cost(outstanding=1.0) - cost(outstanding=0.0)
        self.assertGreater(queueing, 2 * sharing)
        self.assertGreater(sharing, 0.0)

    def test_another_zone_is_preferred_over_an_overdue_replica(self) -> None:
        self.assertGreater(cost(is_overdue=True), cost(is_in_other_zone=True))

    def test_a_proven_replica_is_preferred_over_an_unproven_one(self) -> None:
        self.assertGreater(cost(counts_as_unreliable=True), cost(slowdown=1.4))

    def test_penalties_apply_to_a_route_without_measurements(self) -> None:
        unknown = LatencyTarget(objective_seconds=0.133)
        self.assertLess(cost(unknown), cost(unknown, is_in_other_zone=True))
        self.assertLess(cost(unknown, is_in_other_zone=True), cost(unknown, is_overdue=True))


class PauseTest(TestCase):
    def answered(self, work_factor: float | None, times: int = 1) -> ReplicaState:
        state = ReplicaState(replica("r", "s"), 0.0)
        for number in range(times):
            now = NOW + number
            load = None if work_factor is None else ReportedLoad(0, 0, 2, work_factor)
            state.on_answer(load, now)
            state.on_latency(9.0, now - 0.1, now)
        return state

    def test_one_slow_answer_with_typical_reported_work_counts_as_a_pause(self) -> None:
        self.assertLess(self.answered(1.0).slowdown(NOW), 2.0)
        self.assertGreater(self.answered(2.5).slowdown(NOW), 4.0)
        self.assertGreater(self.answered(None).slowdown(NOW), 4.0)

    def test_a_second_slow_answer_in_a_row_counts_fully(self) -> None:
        self.assertGreater(self.answered(1.0, times=2).slowdown(NOW + 1.0), 4.0)

    def test_an_earlier_report_does_not_make_a_cancelled_attempt_a_pause(self) -> None:
        state = ReplicaState(replica("r", "s"), 0.0)
        state.on_answer(ReportedLoad(0, 0, 2, 1.0), NOW)
        state.on_latency(9.0, NOW, NOW + 0.25)
        self.assertGreater(state.slowdown(NOW + 0.25), 4.0)
