"""A node's entry under its lease, the node count, and the budget of extra requests."""

import random

from testtools import TestCase

from wingquay.forwarding.knowledge.presence import NodeCount, Presence, PresenceDue
from wingquay.forwarding.sending.extra_request_budget import ExtraRequestBudget
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.failure import Failure
from wingquay.ports.machine import Action, Schedule, Start
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
    SwapResult,
)

SETTINGS = ForwardingSettings(zone="a")
LOST = Failure(StoreFailureKind.LOST_REPLY, "test")


class PresenceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.presence = Presence("nodes/n", SETTINGS, random.Random(1))
        self.due = self._timer(self.presence.handle(Start(), 0.0))

    def _timer(self, actions: list[Action]) -> PresenceDue:
        timers = [action.event for action in actions if isinstance(action, Schedule)]
        self.assertEqual(1, len(timers))
        return timers[0]  # type: ignore[return-value]

    def fire_timer(self) -> StoreOperation:
        """Fire the timer and return the store operation that follows."""
        (request,) = self.presence.handle(self.due, 1.0)
        assert isinstance(request, StoreRequest)
        self._operation_id = request.operation_id
        return request.operation

    def answer(self, result: StoreResult | Failure[StoreFailureKind]) -> None:
        response = StoreResponse(self._operation_id, result)
        self.assertTrue(self.presence.handles(response))
        self.due = self._timer(self.presence.handle(response, 1.0))

    def write_entry(self) -> None:
        self.assertIsInstance(self.fire_timer(), GrantLease)
        self.answer(LeaseState(7, 15.0))
        self.assertEqual(CompareAndSwap("nodes/n", 0, b"1", 7), self.fire_timer())
        self.answer(SwapResult(True, 5))

    def test_node_is_listed_until_its_lease_expires(self) -> None:
        lease_seconds = SETTINGS.presence_lease_seconds
        self.assertFalse(self.presence.is_listed(1.0))
        self.write_entry()
        self.assertTrue(self.presence.is_listed(1.0 + 0.9 * lease_seconds))
        self.assertFalse(self.presence.is_listed(1.0 + lease_seconds))
        self.assertFalse(self.presence.reused_key)

    def test_node_is_not_listed_until_its_new_value_is_stored(self) -> None:
        self.write_entry()
        self.presence.set_value(b"address")
        self.assertFalse(self.presence.is_listed(1.0))
        self.assertIsInstance(self.fire_timer(), CompareAndSwap)
        self.answer(SwapResult(True, 6))
        self.assertTrue(self.presence.is_listed(1.0 + 0.9 * SETTINGS.presence_lease_seconds))

    def test_entry_is_written_under_a_lease_and_renewed(self) -> None:
        self.write_entry()
        for _ in range(3):
            self.assertEqual(KeepLeaseAlive(7), self.fire_timer())
            self.answer(LeaseState(7, 15.0))

    def test_entry_of_the_previous_incarnation_is_replaced(self) -> None:
        self.fire_timer()
        self.answer(LeaseState(7, 15.0))
        self.fire_timer()
        self.answer(SwapResult(False, 0, StoredValue("nodes/n", b"1", 3, 2)))
        self.assertEqual(CompareAndSwap("nodes/n", 3, b"1", 7), self.fire_timer())

    def test_equal_entry_of_the_previous_incarnation_is_renewed(self) -> None:
        self.presence.set_stored(StoredValue("nodes/n", b"1", 3, 2))
        self.assertEqual(KeepLeaseAlive(2), self.fire_timer())
        self.answer(LeaseState(2, 15.0))
        self.assertEqual(KeepLeaseAlive(2), self.fire_timer())

    def test_expired_lease_of_the_previous_incarnation_is_replaced(self) -> None:
        self.presence.set_stored(StoredValue("nodes/n", b"1", 3, 2))
        self.fire_timer()
        self.answer(LeaseState(2, 0.0))
        self.assertIsInstance(self.fire_timer(), GrantLease)
        self.answer(LeaseState(7, 15.0))
        self.assertIsInstance(self.fire_timer(), CompareAndSwap)

    def test_different_entry_of_the_previous_incarnation_is_replaced_at_once(self) -> None:
        for stored in (StoredValue("nodes/n", b"2", 3, 2), StoredValue("nodes/n", b"1", 3, 0)):
            self.presence = Presence("nodes/n", SETTINGS, random.Random(1))
            self.due = self._timer(self.presence.handle(Start(), 0.0))
            self.presence.set_stored(stored)
            self.assertIsInstance(self.fire_timer(), GrantLease)
            self.answer(LeaseState(7, 15.0))
            self.assertEqual(CompareAndSwap("nodes/n", 3, b"1", 7), self.fire_timer())

    def test_expired_lease_is_replaced(self) -> None:
        self.write_entry()
        self.fire_timer()
        self.answer(LeaseState(7, 0.0))
        self.write_entry()

    def test_new_lease_is_granted_after_a_lost_reply(self) -> None:
        self.fire_timer()
        self.answer(LeaseState(7, 15.0))
        self.fire_timer()
        self.answer(LOST)
        self.assertIsInstance(self.fire_timer(), GrantLease)

    def test_answer_to_an_earlier_step_is_ignored(self) -> None:
        self.write_entry()
        stale = StoreResponse("presence-1", LeaseState(9, 15.0))
        self.assertEqual([], self.presence.handle(stale, 1.0))


class NodeCountTest(TestCase):
    def test_maximum_is_assumed_without_data(self) -> None:
        self.assertEqual(SETTINGS.max_nodes, NodeCount(SETTINGS).get(0.0))

    def test_higher_count_is_kept_for_a_while(self) -> None:
        nodes = NodeCount(SETTINGS)
        for number in range(20):
            nodes.put(f"n{number}")
        self.assertEqual(20, nodes.get(0.0))
        nodes.keep_only({f"n{number}" for number in range(9)})
        self.assertEqual(20, nodes.get(10.0))
        self.assertEqual(9, nodes.get(100.0))


class ExtraRequestBudgetTest(TestCase):
    def test_all_nodes_together_stay_within_the_slack(self) -> None:
        for count in (1, 8, 12, 60, 300):
            budgets = [ExtraRequestBudget(0.0, 56.0, 10.0) for _ in range(count)]
            spent: list[float] = []
            for tenth in range(400):
                now = tenth / 10
                for budget in budgets:
                    while budget.spend(count, now):
                        spent.append(now)
            for start in range(30):
                in_window = sum(start <= at < start + 10 for at in spent)
                self.assertLessEqual(in_window, 56, count)

    def test_quota_below_one_accumulates(self) -> None:
        budget = ExtraRequestBudget(0.0, 168.0, 10.0)
        nodes = 80
        self.assertFalse(budget.spend(nodes, 0.0))
        self.assertTrue(budget.spend(nodes, 10.0))
        self.assertFalse(budget.spend(nodes, 10.0))
        self.assertTrue(budget.spend(nodes, 30.0))
        self.assertFalse(budget.spend(nodes, 30.0))

    def test_time_of_the_next_available_request(self) -> None:
        rows = {
            "quota below one": (56.0, 0.0, 0, float("inf")),
            "quota that accumulates": (168.0, 0.0, 0, 0.4),
            "earned by requests": (0.0, 0.2, 10, 0.0),
            "too few requests": (0.0, 0.2, 4, 0.5),
            "nothing": (0.0, 0.2, 0, float("inf")),
        }
        next_times = {}
        for name, (slack, ratio, requests, _) in rows.items():
            budget = ExtraRequestBudget(ratio, slack, 10.0)
            for _ in range(requests):
                budget.earn(0.0)
            next_times[name] = round(budget.extra_request_at(70, 0.0), 1)
        self.assertEqual({name: row[3] for name, row in rows.items()}, next_times)

    def test_requests_earn_extra_requests_by_the_ratio(self) -> None:
        budget = ExtraRequestBudget(0.2, 0.0, 10.0)
        spent = 0
        for _ in range(100):
            budget.earn(0.0)
            spent += budget.spend(8, 0.0)
        self.assertEqual(20, spent)
