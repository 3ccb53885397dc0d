"""A health page that lags does not clear a drain that an answer has shown."""

from testtools import TestCase

from tests.query.small_tier import configuration
from wingquay.admission.health_prober import PAGE_TRUST_SECONDS, HealthProber
from wingquay.admission.lane_table import LaneTable
from wingquay.model.failure import Failure
from wingquay.model.identifiers import AttemptId, ReplicaId
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.ports.backend import (
    AttemptFinished,
    BackendFailureKind,
    LoadReport,
    ReplicaProbed,
)
from wingquay.ports.internal import Notify, ReplicaObserved
from wingquay.ports.peer import ReplicaState
from wingquay.routing.settings import RoutingSettings

REPLICA = ReplicaId("s0r0")


class HealthPagesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        lanes = LaneTable(RoutingSettings(), by_class=True)
        lanes.apply(configuration((FULL_KEY_RANGE,), 1))
        self.prober = HealthProber("n", RoutingSettings(), lanes)
        refused = Failure(BackendFailureKind.DRAINING, "leaving")
        self.prober.on_attempt_finished(AttemptFinished(AttemptId("a"), REPLICA, refused), 10.0)

    def says_serving(self, now: float, cold: bool) -> bool:
        page = ReplicaProbed(REPLICA, LoadReport(cold=cold))
        observed = [
            action.event.state
            for action in self.prober.on_probed(page, now)
            if isinstance(action, Notify) and isinstance(action.event, ReplicaObserved)
        ]
        return ReplicaState.SERVING in observed

    def become_unreachable(self) -> None:
        failure = Failure(BackendFailureKind.TIMED_OUT, "no page")
        self.prober.on_probed(ReplicaProbed(REPLICA, failure), 11.0)

    def test_a_cold_page_alone_may_be_an_old_one(self) -> None:
        self.assertFalse(self.says_serving(12.0, cold=True))

    def test_a_page_after_a_cut_alone_may_be_an_old_one(self) -> None:
        self.become_unreachable()
        self.assertFalse(self.says_serving(12.0, cold=False))

    def test_a_cold_page_after_it_was_away_is_a_new_process(self) -> None:
        self.become_unreachable()
        self.assertTrue(self.says_serving(12.0, cold=True))

    def test_in_the_end_the_page_is_believed(self) -> None:
        self.assertTrue(self.says_serving(10.0 + PAGE_TRUST_SECONDS, cold=False))
