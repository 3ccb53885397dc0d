"""Refusals on arrival because of the deadline or the load of the node."""

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.model.answer import Outcome
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.machine import EventLoopLag
from wingquay.query.node_pressure import LATE_PROBES_TO_RAISE, ON_TIME_PROBES_TO_LOWER
from wingquay.query.service_floor import ServiceTimeFloor


class AdmissionGateTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tier = SmallTier(NodeMachineSettings())
        self.tier.run_until(2.0)
        self.outcome_of("warm", "tower-sweep")

    def outcome_of(self, name: str, kind: str, deadline_seconds: float = 1.0) -> Outcome:
        self.tier.send_request("n0", name, kind, deadline_seconds=deadline_seconds)
        self.tier.run_until(self.tier.now + deadline_seconds + 0.5)
        return self.tier.answers[name].outcome

    def report_lag(self, seconds: float, probes: int) -> None:
        for _ in range(probes):
            self.tier.deliver("n0", EventLoopLag(seconds))

    def test_a_deadline_below_the_usual_service_time_is_refused_without_running(self) -> None:
        self.assertEqual(Outcome.REFUSED_NOT_RUN, self.outcome_of("q", "tower-sweep", 0.001))
        self.assertEqual(0, self.tier.answers["q"].attempts)

    def test_an_overloaded_node_refuses_only_the_cheapest_class(self) -> None:
        self.report_lag(0.5, LATE_PROBES_TO_RAISE)
        self.assertEqual(Outcome.REFUSED_NOT_RUN, self.outcome_of("cheap", "tower-sweep"))
        self.assertEqual(Outcome.COMPLETE, self.outcome_of("expensive", "outage-ping"))

    def test_one_late_probe_refuses_no_class(self) -> None:
        self.report_lag(0.5, 1)
        self.assertEqual(Outcome.COMPLETE, self.outcome_of("q", "tower-sweep"))

    def test_the_class_of_the_highest_price_is_admitted_at_any_lag(self) -> None:
        self.report_lag(5.0, LATE_PROBES_TO_RAISE * 10)
        self.assertEqual(Outcome.COMPLETE, self.outcome_of("q", "outage-ping"))

    def test_one_slow_answer_does_not_keep_a_kind_refused(self) -> None:
        floor = ServiceTimeFloor(0.005, 0.0)
        floor.record(6.4, 1.0)
        self.assertLess(floor.current_seconds(1.0), 0.1)
        stuck = ServiceTimeFloor(6.4, 0.0)
        self.assertLess(stuck.current_seconds(10.0), 0.01)

    def test_a_refused_class_is_admitted_again_after_on_time_probes(self) -> None:
        self.report_lag(0.5, LATE_PROBES_TO_RAISE)
        self.report_lag(0.0, ON_TIME_PROBES_TO_LOWER)
        self.assertEqual(Outcome.COMPLETE, self.outcome_of("q", "tower-sweep"))
