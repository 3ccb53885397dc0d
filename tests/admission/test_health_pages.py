"""A stale health page must not clear the leaving state learned from an attempt."""

from testtools import TestCase

from tests.query.small_tier import configuration
from wingquay.admission.replica_observer import LEAVING_HOLD_PERIOD_SECONDS, ReplicaObserver
from wingquay.admission.shard_table import ShardTable
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
        shards = ShardTable(RoutingSettings(), by_class=True)
        shards.apply(configuration((FULL_KEY_RANGE,), 1))
        self.observer = ReplicaObserver("n", RoutingSettings(), shards)
        refused = Failure(BackendFailureKind.DRAINING, "leaving")
        self.observer.on_attempt_finished(AttemptFinished(AttemptId("a"), REPLICA, refused), 10.0)

    def observes_serving(self, now: float, cold: bool) -> bool:
        page = ReplicaProbed(REPLICA, LoadReport(cold=cold))
        observed = [
            action.event.state
            for action in self.observer.on_probed(page, now)
            if isinstance(action, Notify) and isinstance(action.event, ReplicaObserved)
        ]
        return ReplicaState.SERVING in observed

    def become_unreachable(self) -> None:
        failure = Failure(BackendFailureKind.TIMED_OUT, "no page")
        self.observer.on_probed(ReplicaProbed(REPLICA, failure), 11.0)

    def test_a_cold_page_alone_does_not_clear_leaving(self) -> None:
        self.assertFalse(self.observes_serving(12.0, cold=True))

    def test_a_warm_page_after_an_unreachable_probe_does_not_clear_leaving(self) -> None:
        self.become_unreachable()
        self.assertFalse(self.observes_serving(12.0, cold=False))

    def test_a_cold_page_after_an_unreachable_probe_clears_leaving(self) -> None:
        self.become_unreachable()
        self.assertTrue(self.observes_serving(12.0, cold=True))

    def test_a_warm_page_clears_leaving_after_the_hold_period(self) -> None:
        self.assertTrue(self.observes_serving(10.0 + LEAVING_HOLD_PERIOD_SECONDS, cold=False))
