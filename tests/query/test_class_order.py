"""Order between classes, refusals, hedges and budgets at one owner."""

import random

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.admission.class_line import ClassLine
from wingquay.admission.hedging import HedgePolicy
from wingquay.admission.settings import AdmissionSettings
from wingquay.admission.work import Work
from wingquay.model.answer import Outcome
from wingquay.model.identifiers import (
    ClassName,
    DeploymentName,
    NodeId,
    RequestId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
    SubRequestId,
    ZoneName,
)
from wingquay.model.key_range import FULL_KEY_RANGE, KeyRange
from wingquay.model.mechanisms import Mechanism
from wingquay.model.request import SubRequest
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.peer import NodeIdentity

REQUESTER = NodeIdentity(NodeId("n"), DeploymentName("d"), ZoneName("z"), "127.0.0.1", 1)


def work(name: str, class_name: str, price: float, cost_seconds: float = 0.01) -> Work:
    sub_request = SubRequest(
        sub_request_id=SubRequestId(name),
        request_id=RequestId(name),
        service=ServiceName("s"),
        kind=RequestKindName("k"),
        shard_id=ShardId("s0"),
        key_ranges=(FULL_KEY_RANGE,),
        snapshot=SnapshotVersion(1),
        remaining_seconds=1.0,
        class_name=ClassName(class_name),
        price=price,
        promise_seconds=0.1,
        repeatable=True,
    )
    return Work(sub_request, REQUESTER, 0.0, 1.0, cost_seconds)


def pop_names(queue: ClassLine, count: int) -> list[str]:
    popped = [queue.pop(lambda _: True, 0.0) for _ in range(count)]
    return [entry.sub_request.sub_request_id for entry in popped if entry is not None]


class ClassLineTest(TestCase):
    def test_a_late_top_class_arrival_is_served_next(self) -> None:
        queue = ClassLine()
        for index in range(50):
            queue.push(work(f"bulk{index}", "bulk", 1))
        pop_names(queue, 10)
        queue.push(work("gold", "gold", 100))
        self.assertEqual(["gold"], pop_names(queue, 1))

    def test_shares_follow_prices_and_nobody_starves(self) -> None:
        queue = ClassLine()
        for index in range(300):
            queue.push(work(f"gold{index}", "gold", 3))
            queue.push(work(f"bulk{index}", "bulk", 1))
        first = pop_names(queue, 100)
        bulk = sum(name.startswith("bulk") for name in first)
        self.assertTrue(22 <= bulk <= 28, bulk)

    def test_without_classes_arrival_decides(self) -> None:
        queue = ClassLine(by_class=False)
        queue.push(work("bulk", "bulk", 1))
        queue.push(work("gold", "gold", 100))
        self.assertEqual(["bulk", "gold"], pop_names(queue, 2))

    def test_expected_delay_counts_the_own_class_by_its_share(self) -> None:
        queue = ClassLine()
        for index in range(10):
            queue.push(work(f"bulk{index}", "bulk", 1, cost_seconds=0.1))
        gold, bulk = work("g", "gold", 99).sub_request, work("b", "bulk", 1).sub_request
        self.assertEqual(0.0, queue.class_delay_seconds(gold, 5, 0.0))
        self.assertAlmostEqual(0.2, queue.class_delay_seconds(bulk, 5, 0.0))


class HedgePolicyTest(TestCase):
    def policy(self, least_factor: float = 1.0) -> HedgePolicy:
        settings = AdmissionSettings(hedge_least_factor=least_factor)
        policy = HedgePolicy(settings, enabled=True, budgeted=True)
        source = random.Random(1)
        for _ in range(400):
            policy.on_service_time("k", source.uniform(0.004, 0.006), 0.0)
        return policy

    def test_the_delay_is_a_high_quantile_of_service_times(self) -> None:
        delay = self.policy().delay_seconds("k", 0, 1.0)
        self.assertIsNotNone(delay)
        assert delay is not None
        self.assertTrue(0.0055 <= delay <= 0.0062, delay)

    def test_nothing_is_hedged_that_is_merely_slower_than_the_median(self) -> None:
        delay = self.policy(least_factor=3.0).delay_seconds("k", 0, 1.0)
        assert delay is not None
        self.assertTrue(0.0145 <= delay <= 0.0155, delay)

    def test_a_kind_without_samples_is_hedged_by_its_expected_time(self) -> None:
        delay = self.policy().delay_seconds("new", 0, 0.01)
        self.assertEqual(0.01 * AdmissionSettings().hedge_initial_factor, delay)

    def test_the_budget_bounds_hedges_to_its_ratio(self) -> None:
        policy = self.policy()
        granted = 0
        for _ in range(1000):
            policy.on_first_attempt("gold")
            granted += policy.may_hedge("gold")
        settings = AdmissionSettings()
        most = settings.hedge_budget_burst + 1000 * settings.hedge_budget_ratio
        self.assertTrue(granted <= most, granted)

    def test_one_class_cannot_spend_anothers_budget(self) -> None:
        policy = self.policy()
        while policy.may_hedge("bulk"):
            pass
        self.assertTrue(policy.may_hedge("gold"))


class OwnerTest(TestCase):
    def saturated_tier(self, *disabled: Mechanism) -> SmallTier:
        settings = NodeMachineSettings(disabled=frozenset(disabled))
        tier = SmallTier(settings, shard_count=1, replicas_per_shard=1)
        tier.run_until(2.0)
        tier.ask("n0", "warm")
        tier.run_until(2.5)
        for index in range(60):
            tier.ask("n0", f"sweep{index}", deadline_seconds=5.0)
        return tier

    def latency_of_ping(self, tier: SmallTier) -> float:
        asked_at = tier.now
        tier.ask("n1", "ping", "outage-ping", (KeyRange.from_key("village-0001"),))
        tier.run_until(tier.now + 3.0)
        return tier.answered_at["ping"] - asked_at

    def test_a_ping_overtakes_waiting_sweeps(self) -> None:
        in_order = self.latency_of_ping(self.saturated_tier())
        without = self.latency_of_ping(self.saturated_tier(Mechanism.CLASS_ORDER))
        self.assertTrue(in_order * 2 < without, (in_order, without))

    def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        tier = self.saturated_tier()
        tier.ask("n0", "late", deadline_seconds=0.02)
        tier.run_until(tier.now + 0.01)
        answer = tier.answers["late"]
        self.assertEqual(Outcome.REFUSED_NOT_RUN, answer.outcome)
        self.assertIsNotNone(answer.retry_after_seconds)
