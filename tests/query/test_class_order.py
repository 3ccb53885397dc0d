"""Class order, refusals, hedge delays and hedge budgets at one owner."""

import random

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.admission.class_queue import ClassQueue
from wingquay.admission.hedging import HedgePolicy
from wingquay.admission.settings import AdmissionSettings
from wingquay.admission.work_item import WorkItem
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


def work_item(
    name: str, class_name: str, price: float, expected_service_seconds: float = 0.01
) -> WorkItem:
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
    return WorkItem(sub_request, REQUESTER, 0.0, 1.0, expected_service_seconds)


def pop_names(queue: ClassQueue, count: int) -> list[str]:
    popped = [queue.pop(lambda _: True, 0.0) for _ in range(count)]
    return [entry.sub_request.sub_request_id for entry in popped if entry is not None]


class ClassQueueTest(TestCase):
    def test_a_new_item_of_the_top_class_is_popped_next(self) -> None:
        queue = ClassQueue()
        for index in range(50):
            queue.push(work_item(f"bulk{index}", "bulk", 1))
        pop_names(queue, 10)
        queue.push(work_item("gold", "gold", 100))
        self.assertEqual(["gold"], pop_names(queue, 1))

    def test_shares_are_proportional_to_prices_without_starvation(self) -> None:
        queue = ClassQueue()
        for index in range(300):
            queue.push(work_item(f"gold{index}", "gold", 3))
            queue.push(work_item(f"bulk{index}", "bulk", 1))
        first = pop_names(queue, 100)
        bulk = sum(name.startswith("bulk") for name in first)
        self.assertTrue(22 <= bulk <= 28, bulk)

    def test_without_classes_items_are_popped_in_order_of_arrival(self) -> None:
        queue = ClassQueue(by_class=False)
        queue.push(work_item("bulk", "bulk", 1))
        queue.push(work_item("gold", "gold", 100))
        self.assertEqual(["bulk", "gold"], pop_names(queue, 2))

    def test_the_expected_delay_depends_on_the_share_of_the_class(self) -> None:
        queue = ClassQueue()
        for index in range(10):
            queue.push(work_item(f"bulk{index}", "bulk", 1, expected_service_seconds=0.1))
        gold, bulk = work_item("g", "gold", 99).sub_request, work_item("b", "bulk", 1).sub_request
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
        delay = self.policy().hedge_delay_seconds("k", 0, 1.0)
        self.assertIsNotNone(delay)
        assert delay is not None
        self.assertTrue(0.0055 <= delay <= 0.0062, delay)

    def test_the_delay_is_at_least_the_least_factor_times_the_median(self) -> None:
        delay = self.policy(least_factor=3.0).hedge_delay_seconds("k", 0, 1.0)
        assert delay is not None
        self.assertTrue(0.0145 <= delay <= 0.0155, delay)

    def test_without_samples_the_delay_depends_on_the_expected_service_time(self) -> None:
        delay = self.policy().hedge_delay_seconds("new", 0, 0.01)
        self.assertEqual(0.01 * AdmissionSettings().hedge_initial_factor, delay)

    def test_the_budget_limits_hedges_to_its_ratio_plus_burst(self) -> None:
        policy = self.policy()
        granted = 0
        for _ in range(1000):
            policy.on_first_attempt("gold")
            granted += policy.try_acquire("gold")
        settings = AdmissionSettings()
        max_granted = settings.hedge_budget_burst + 1000 * settings.hedge_budget_ratio
        self.assertTrue(granted <= max_granted, granted)

    def test_each_class_has_its_own_hedge_budget(self) -> None:
        policy = self.policy()
        while policy.try_acquire("bulk"):
            pass
        self.assertTrue(policy.try_acquire("gold"))


class OwnerTest(TestCase):
    def saturated_tier(self, *disabled: Mechanism) -> SmallTier:
        settings = NodeMachineSettings(disabled=frozenset(disabled))
        tier = SmallTier(settings, shard_count=1, replicas_per_shard=1)
        tier.run_until(2.0)
        tier.send_request("n0", "warm")
        tier.run_until(2.5)
        for index in range(60):
            tier.send_request("n0", f"sweep{index}", deadline_seconds=5.0)
        return tier

    def latency_of_ping(self, tier: SmallTier) -> float:
        sent_at = tier.now
        tier.send_request("n1", "ping", "outage-ping", (KeyRange.from_key("village-0001"),))
        tier.run_until(tier.now + 3.0)
        return tier.answered_at["ping"] - sent_at

    def test_a_ping_overtakes_queued_sweeps(self) -> None:
        by_class = self.latency_of_ping(self.saturated_tier())
        by_arrival = self.latency_of_ping(self.saturated_tier(Mechanism.CLASS_ORDER))
        self.assertTrue(by_class * 2 < by_arrival, (by_class, by_arrival))

    def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        tier = self.saturated_tier()
        tier.send_request("n0", "late", deadline_seconds=0.02)
        tier.run_until(tier.now + 0.01)
        answer = tier.answers["late"]
        self.assertEqual(Outcome.REFUSED_NOT_RUN, answer.outcome)
        self.assertIsNotNone(answer.retry_after_seconds)
