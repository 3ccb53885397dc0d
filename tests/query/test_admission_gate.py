"""Refusals on arrival: waits, hopeless deadlines, the node's own load."""

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.model.answer import Outcome
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.machine import EventLoopLag
from wingquay.query.node_pressure import LATE_PROBES_TO_RAISE, ON_TIME_PROBES_TO_LOWER
from wingquay.query.service_time_floor import ServiceTimeFloor


class AdmissionGateTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tier = SmallTier(NodeMachineSettings())
        self.tier.run_until(2.0)
        self.outcome("warm", "tower-sweep")

    def outcome(self, name: str, kind: str, deadline_seconds: float = 1.0) -> Outcome:
        self.tier.ask("n0", name, kind, deadline_seconds=deadline_seconds)
        self.tier.run_until(self.tier.now + deadline_seconds + 0.5)
        return self.tier.answers[name].outcome

    def lag(self, seconds: float, probes: int) -> None:
        for _ in range(probes):
            self.tier.deliver("n0", EventLoopLag(seconds))

    def test_a_deadline_below_the_usual_service_time_is_refused_not_run(self) -> None:
        self.assertEqual(Outcome.REFUSED_NOT_RUN, self.outcome("q", "tower-sweep", 0.001))
        self.assertEqual(0, self.tier.answers["q"].attempts)

    def test_a_node_that_cannot_keep_up_refuses_the_cheapest_class_alone(self) -> None:
        self.lag(0.5, LATE_PROBES_TO_RAISE)
        self.assertEqual(Outcome.REFUSED_NOT_RUN, self.outcome("cheap", "tower-sweep"))
        self.assertEqual(Outcome.COMPLETE, self.outcome("dear", "outage-ping"))

    def test_one_late_probe_refuses_nobody(self) -> None:
        self.lag(0.5, 1)
        self.assertEqual(Outcome.COMPLETE, self.outcome("q", "tower-sweep"))

    def test_the_dearest_class_is_let_in_however_late_the_loop(self) -> None:
        self.lag(5.0, LATE_PROBES_TO_RAISE * 10)
        self.assertEqual(Outcome.COMPLETE, self.outcome("q", "outage-ping"))

    def test_one_slow_answer_does_not_lock_a_kind_out(self) -> None:
        floor = ServiceTimeFloor(0.005, 0.0)
        floor.record(6.4, 1.0)
        self.assertLess(floor.seconds(1.0), 0.1)
        stuck = ServiceTimeFloor(6.4, 0.0)
        self.assertLess(stuck.seconds(10.0), 0.01)

    def test_it_comes_back_by_itself(self) -> None:
        self.lag(0.5, LATE_PROBES_TO_RAISE)
        self.lag(0.0, ON_TIME_PROBES_TO_LOWER)
        self.assertEqual(Outcome.COMPLETE, self.outcome("q", "tower-sweep"))
