"""The sliding window, the budget of a limit and the choice of owners."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.limits.fleet import SETTINGS, identity, tenant
from wingquay.forwarding.arrival.admission import Admitted
from wingquay.forwarding.arrival.limits.budget import UNREPORTED_SHARE, compute_budget
from wingquay.forwarding.arrival.limits.distributed_limits import DistributedLimits
from wingquay.forwarding.arrival.limits.limit_settings import LimitSettings
from wingquay.forwarding.arrival.limits.sliding_window_counter import (
    BUCKET_SECONDS,
    SlidingWindowCounter,
)
from wingquay.forwarding.arrival.limits.tenant_owners import MAX_OWNERS, TenantOwners
from wingquay.forwarding.knowledge.node_groups import GroupNode, NodeGroups
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.timers import LimitRefreshDue
from wingquay.ports.peer_link import NodeRecord

TIMES = st.lists(st.floats(0.0, 20.0), min_size=1, max_size=60)


def true_total(times: list[float], now: float, window: float = 5.0) -> int:
    return sum(now - window < at <= now for at in times)


class SlidingWindowCounterTest(testtools.TestCase):
    @given(times=TIMES)
    def test_the_count_is_never_too_low_and_little_too_high(self, times: list[float]) -> None:
        times.sort()
        count = SlidingWindowCounter(5.0)
        for number, at in enumerate(times, 1):
            count.add(1, at)
            self.assertGreaterEqual(count.total(at), true_total(times[:number], at))
            more = true_total(times[:number], at, 5.0 + BUCKET_SECONDS)
            self.assertLessEqual(count.total(at), more)

    @given(times=TIMES, limit=st.integers(1, 20))
    def test_capacity_is_available_at_the_predicted_time(
        self, times: list[float], limit: int
    ) -> None:
        times.sort()
        count = SlidingWindowCounter(5.0)
        for at in times:
            count.add(1, at)
        wait = count.seconds_until_capacity(limit, times[-1])
        after = times[-1] + wait + 1e-9
        self.assertLessEqual(count.total(after) + 1, limit)

    @given(times=TIMES, removed=st.integers(0, 60))
    def test_removal_never_makes_the_count_too_low(self, times: list[float], removed: int) -> None:
        times.sort()
        count = SlidingWindowCounter(5.0)
        for at in times:
            count.add(1, at)
        count.remove(removed)
        alive = [at for at in times if at > times[-1] - 5.0]
        for later in (0.0, 1.0, 3.0, 6.0):
            now = times[-1] + later
            ran = alive[removed:]  # the worst case: the latest requests ran
            self.assertGreaterEqual(count.total(now), true_total(ran, now))

    @given(own=TIMES, other=TIMES)
    def test_a_merged_count_is_at_least_each_of_both(
        self, own: list[float], other: list[float]
    ) -> None:
        counts = []
        for times in (own, other):
            count = SlidingWindowCounter(5.0)
            for at in sorted(times):
                count.add(1, at)
            counts.append(count)
        counts[0].merge(counts[1].entries(20.0), 20.0)
        for now in (20.0, 21.0, 23.0, 24.5):
            for times in (own, other):
                self.assertGreaterEqual(counts[0].total(now), true_total(times, now))


class BudgetTest(testtools.TestCase):
    @given(
        rate=st.floats(0.1, 1e5),
        burst=st.floats(0.0, 1e5),
        overage=st.floats(0.0, 0.5),
        slack=st.floats(0.0, 100.0),
    )
    def test_the_parts_of_all_sides_of_a_partition_are_within_the_bound(
        self, rate: float, burst: float, overage: float, slack: float
    ) -> None:
        budget = compute_budget(tenant(rate=rate, burst=burst), LimitSettings(5.0, overage, slack))
        set_aside = (
            budget.primary_limit_unknown_window
            + budget.reserve_nodes
            + UNREPORTED_SHARE * budget.spare
        )
        bound = budget.max_requests * (1.0 + 1e-9) + 1e-6
        self.assertLessEqual(
            budget.primary_limit_no_loan + budget.second_limit_no_loan + set_aside, bound
        )
        for counted in (0, int(0.6 * budget.allowance), int(budget.allowance), 10**9):
            loan = budget.required_loan(counted)
            self.assertLessEqual(
                budget.primary_limit_with_loan(loan)
                + budget.second_limit_after_lending(loan)
                + set_aside,
                bound,
            )
            self.assertLess(
                min(counted, budget.primary_limit_full_loan - 1),
                budget.primary_limit_with_loan(loan),
            )
        self.assertGreaterEqual(budget.primary_limit_full_loan, budget.allowance)


class FirstWindowTest(testtools.TestCase):
    def permitted(self, at: float, reused_key: bool) -> int:
        """Return the number of requests admitted by a node that started at 100 and linked at
        103."""
        listed = [False]
        own = identity("n00")
        groups = NodeGroups(ForwardingSettings(zone="a"), "n00")
        groups.put("n00", NodeRecord(own))
        node_limits = DistributedLimits(SETTINGS, random.Random(1), 100.0)
        limited = tenant()
        node_limits.set_tenants({limited.name: limited}, 100.0)
        node_limits.open(own, groups, lambda _: listed[0], lambda: reused_key, 103.0)
        node_limits.handle(LimitRefreshDue(), 103.0)
        listed[0] = True
        node_limits.handle(LimitRefreshDue(), 103.5)
        answers = [node_limits.admit(limited, number, at) for number in range(100)]
        return sum(isinstance(answer, Admitted) for answer in answers)

    def test_the_first_window_starts_with_the_incarnation_if_the_key_was_reused(self) -> None:
        budget = compute_budget(tenant(), SETTINGS)
        self.assertEqual(int(budget.primary_limit_unknown_window), self.permitted(104.9, True))
        self.assertEqual(int(budget.primary_limit_full_loan), self.permitted(105.1, True))

    def test_the_first_window_starts_when_a_new_key_is_written(self) -> None:
        budget = compute_budget(tenant(), SETTINGS)
        reserve = 1
        self.assertEqual(
            int(budget.primary_limit_unknown_window) + reserve, self.permitted(108.4, False)
        )
        self.assertEqual(int(budget.primary_limit_full_loan), self.permitted(108.6, False))


class TenantOwnersTest(testtools.TestCase):
    def nodes(self, count: int, slow: int = 0) -> list[GroupNode]:
        found = []
        for number in range(count):
            node_identity = identity(f"n{number:03}", "abcd"[number % 4])
            found.append(
                GroupNode(
                    node_identity.node_id, NodeRecord(node_identity, 0.5 if number < slow else 1.0)
                )
            )
        return found

    def test_two_views_of_the_same_nodes_agree(self) -> None:
        one, other = TenantOwners(11.0), TenantOwners(11.0)
        one.update(self.nodes(70), 0.0)
        other.update(list(reversed(self.nodes(70))), 5.0)
        for number in range(77):
            self.assertEqual(one.get(f"t{number}"), other.get(f"t{number}"))

    def test_the_fastest_nodes_of_each_zone_are_owners(self) -> None:
        owners = TenantOwners(11.0)
        owners.update(self.nodes(70, slow=40), 0.0)
        self.assertEqual(MAX_OWNERS, len(owners.all_owners))
        self.assertEqual({"a", "b", "c", "d"}, {item.zone for item in owners.all_owners})
        self.assertTrue(all(item.node_id >= "n040" for item in owners.all_owners))

    def test_the_two_owners_of_a_tenant_are_in_different_zones(self) -> None:
        owners = TenantOwners(11.0)
        owners.update(self.nodes(70), 0.0)
        for number in range(77):
            first, second = owners.get(f"t{number}")
            self.assertNotEqual(first.zone, second.zone)

    def test_when_an_owner_leaves_the_other_one_remains_an_owner(self) -> None:
        owners = TenantOwners(11.0)
        owners.update(self.nodes(8), 0.0)
        before = {f"t{number}": owners.get(f"t{number}") for number in range(77)}
        owners.update(self.nodes(7), 20.0)
        for name, pair in before.items():
            remaining = [item for item in pair if item.node_id != "n007"]
            for node_identity in remaining:
                own = node_identity.node_id
                self.assertIn(node_identity, owners.get(name))
                position = owners.position(name, own)
                former_position = [item.node_id for item in pair].index(own)
                self.assertEqual(
                    0.0 if position == former_position else 20.0, owners.position_since(name, own)
                )
                self.assertEqual(0.0, owners.owned_since(name, own))
