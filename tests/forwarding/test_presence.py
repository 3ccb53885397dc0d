"""A node's key under its lease, the number of nodes, and what is divided by it."""

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

    def asked(self) -> StoreOperation:
        """Let the timer fire and return what the store is asked."""
        (request,) = self.presence.handle(self.due, 1.0)
        assert isinstance(request, StoreRequest)
        self._operation_id = request.operation_id
        return request.operation

    def answer(self, result: StoreResult | Failure[StoreFailureKind]) -> None:
        response = StoreResponse(self._operation_id, result)
        self.assertTrue(self.presence.handles(response))
        self.due = self._timer(self.presence.handle(response, 1.0))

    def write_key(self) -> None:
        self.assertIsInstance(self.asked(), GrantLease)
        self.answer(LeaseState(7, 15.0))
        self.assertEqual(CompareAndSwap("nodes/n", 0, b"1", 7), self.asked())
        self.answer(SwapResult(True, 5))

    def test_it_is_listed_until_the_lease_lapses_that_was_last_renewed(self) -> None:
        lease_seconds = SETTINGS.presence_lease_seconds
        self.assertFalse(self.presence.is_listed(1.0))
        self.write_key()
        self.assertTrue(self.presence.is_listed(1.0 + 0.9 * lease_seconds))
        self.assertFalse(self.presence.is_listed(1.0 + lease_seconds))
        self.assertFalse(self.presence.reused_key)

    def test_it_is_not_listed_before_what_it_says_stands_in_the_store(self) -> None:
        self.write_key()
        self.presence.set_value(b"address")
        self.assertFalse(self.presence.is_listed(1.0))
        self.assertIsInstance(self.asked(), CompareAndSwap)
        self.answer(SwapResult(True, 6))
        self.assertTrue(self.presence.is_listed(1.0 + 0.9 * SETTINGS.presence_lease_seconds))

    def test_the_key_is_written_under_a_lease_and_kept(self) -> None:
        self.write_key()
        for _ in range(3):
            self.assertEqual(KeepLeaseAlive(7), self.asked())
            self.answer(LeaseState(7, 15.0))

    def test_a_key_of_the_last_life_is_replaced(self) -> None:
        self.asked()
        self.answer(LeaseState(7, 15.0))
        self.asked()
        self.answer(SwapResult(False, 0, StoredValue("nodes/n", b"1", 3, 2)))
        self.assertEqual(CompareAndSwap("nodes/n", 3, b"1", 7), self.asked())

    def test_a_key_of_the_last_life_that_says_the_same_goes_on_under_its_lease(self) -> None:
        self.presence.learn(StoredValue("nodes/n", b"1", 3, 2))
        self.assertEqual(KeepLeaseAlive(2), self.asked())
        self.answer(LeaseState(2, 15.0))
        self.assertEqual(KeepLeaseAlive(2), self.asked())

    def test_a_lease_of_the_last_life_that_lapsed_is_followed_by_a_new_one(self) -> None:
        self.presence.learn(StoredValue("nodes/n", b"1", 3, 2))
        self.asked()
        self.answer(LeaseState(2, 0.0))
        self.assertIsInstance(self.asked(), GrantLease)
        self.answer(LeaseState(7, 15.0))
        self.assertIsInstance(self.asked(), CompareAndSwap)

    def test_a_key_of_the_last_life_that_says_something_else_is_replaced_at_once(self) -> None:
        for standing in (StoredValue("nodes/n", b"2", 3, 2), StoredValue("nodes/n", b"1", 3, 0)):
            self.presence = Presence("nodes/n", SETTINGS, random.Random(1))
            self.due = self._timer(self.presence.handle(Start(), 0.0))
            self.presence.learn(standing)
            self.assertIsInstance(self.asked(), GrantLease)
            self.answer(LeaseState(7, 15.0))
            self.assertEqual(CompareAndSwap("nodes/n", 3, b"1", 7), self.asked())

    def test_a_lease_that_lapsed_is_followed_by_a_new_one(self) -> None:
        self.write_key()
        self.asked()
        self.answer(LeaseState(7, 0.0))
        self.write_key()

    def test_after_a_lost_answer_a_new_lease_settles_what_happened(self) -> None:
        self.asked()
        self.answer(LeaseState(7, 15.0))
        self.asked()
        self.answer(LOST)
        self.assertIsInstance(self.asked(), GrantLease)

    def test_an_answer_to_an_earlier_step_is_ignored(self) -> None:
        self.write_key()
        stale = StoreResponse("presence-1", LeaseState(9, 15.0))
        self.assertEqual([], self.presence.handle(stale, 1.0))


class NodeCountTest(TestCase):
    def test_many_are_reckoned_with_while_nothing_is_known(self) -> None:
        self.assertEqual(SETTINGS.max_nodes, NodeCount(SETTINGS).get(0.0))

    def test_a_greater_number_is_remembered_for_a_while(self) -> None:
        nodes = NodeCount(SETTINGS)
        for number in range(20):
            nodes.put(f"n{number}")
        self.assertEqual(20, nodes.get(0.0))
        nodes.keep_only({f"n{number}" for number in range(9)})
        self.assertEqual(20, nodes.get(10.0))
        self.assertEqual(9, nodes.get(100.0))


class ArrivalBudgetTest(TestCase):
    def test_all_nodes_together_keep_within_the_slack_at_any_number(self) -> None:
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

    def test_a_node_whose_part_of_the_slack_is_below_one_saves_one_up(self) -> None:
        budget = ExtraRequestBudget(0.0, 168.0, 10.0)
        nodes = 80
        self.assertFalse(budget.spend(nodes, 0.0))
        self.assertTrue(budget.spend(nodes, 10.0))
        self.assertFalse(budget.spend(nodes, 10.0))
        self.assertTrue(budget.spend(nodes, 30.0))
        self.assertFalse(budget.spend(nodes, 30.0))

    def test_when_the_next_one_may_be_taken_is_foretold(self) -> None:
        rows = {
            "a part of a slack that is never whole": (56.0, 0.0, 0, float("inf")),
            "a part that saves up": (168.0, 0.0, 0, 0.4),
            "requests alone": (0.0, 0.2, 10, 0.0),
            "too few of them": (0.0, 0.2, 4, 0.5),
            "nothing": (0.0, 0.2, 0, float("inf")),
        }
        foretold = {}
        for name, (slack, ratio, requests, _) in rows.items():
            budget = ExtraRequestBudget(ratio, slack, 10.0)
            for _ in range(requests):
                budget.earn(0.0)
            foretold[name] = round(budget.next_at(70, 0.0), 1)
        self.assertEqual({name: row[3] for name, row in rows.items()}, foretold)

    def test_requests_earn_their_ratio(self) -> None:
        budget = ExtraRequestBudget(0.2, 0.0, 10.0)
        spent = 0
        for _ in range(100):
            budget.earn(0.0)
            spent += budget.spend(8, 0.0)
        self.assertEqual(20, spent)
