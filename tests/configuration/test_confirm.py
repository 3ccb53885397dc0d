"""Confirms with concurrent operators, lost replies and an unavailable store."""

from random import Random

from testtools import TestCase

from tests.configuration.examples import assign, price
from tests.configuration.fleet import (
    check_history,
    configured_cluster,
    confirm,
    propose_plan,
    refused,
)
from wingquay.configuration import document as document_module
from wingquay.configuration.confirmation import CONFIRM_TIMEOUT_SECONDS
from wingquay.configuration.keys import history_key
from wingquay.model.failure import Failure
from wingquay.model.identifiers import Revision
from wingquay.model.intent import RestoreRevision
from wingquay.ports.operator import (
    ConfigurationResult,
    ConfirmOutcome,
    ConfirmPlan,
    ConfirmResult,
    DiffConfigurations,
    DiffResult,
    DiscardPlan,
    DiscardResult,
    HistoryResult,
    ListPlans,
    OperatorFailureKind,
    PlanListResult,
    PlanResult,
    ProposePlan,
    ShowConfiguration,
    ShowHistory,
    ShowPlan,
    ShowStatus,
    StatusResult,
)
from wingquay.ports.store import CompareAndSwap
from wingquay.simulation.configuration_cluster import ConfigurationCluster
from wingquay.simulation.models.store_model import StoreModel, StoreSettings
from wingquay.simulation.models.store_operations import prefix_span


def stored_keys(cluster: ConfigurationCluster, prefix: str) -> list[str]:
    """Return the keys in the store with this prefix."""
    entries = cluster.store.state.read(prefix_span(prefix))
    return [entry.key.decode() for entry in entries]


class ConfirmTest(TestCase):
    """A plan takes effect exactly once, or the confirm fails with a reason."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = configured_cluster()
        self.first, self.second = self.cluster.nodes[0], self.cluster.nodes[-1]
        self.addCleanup(check_history, self.cluster)

    def propose(self, *intents: object) -> str:
        return propose_plan(self.cluster, self.first, *intents)

    def test_other_node_confirms_and_second_confirm_has_no_effect(self) -> None:
        plan = self.propose(assign())
        landed = confirm(self.cluster, self.second, plan)
        self.assertEqual((2, ConfirmOutcome.LANDED), (landed.revision, landed.outcome))
        again = confirm(self.cluster, self.first, plan)
        self.assertEqual((2, ConfirmOutcome.LANDED_BEFORE), (again.revision, again.outcome))

    def test_repeated_confirm_after_later_changes_returns_the_landed_revision(self) -> None:
        plan = self.propose(assign())
        confirm(self.cluster, self.first, plan)
        confirm(self.cluster, self.second, self.propose(price("spare", 3)))
        self.assertEqual(2, confirm(self.cluster, self.second, plan).revision)

    def test_concurrent_confirms_apply_a_plan_once(self) -> None:
        plan = self.propose(assign())
        exchanges = [
            self.cluster.command(node, ConfirmPlan(plan_id=plan)) for node in self.cluster.nodes
        ]
        self.cluster.run(10.0)
        results = [self.cluster.replies[exchange] for exchange in exchanges]
        self.assertEqual({2}, {r.revision for r in results if isinstance(r, ConfirmResult)})
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_conflicting_confirm_fails_with_the_other_change(self) -> None:
        first_plan, second_plan = self.propose(price("gold", 11)), self.propose(price("gold", 12))
        exchanges = [
            self.cluster.command(self.first, ConfirmPlan(plan_id=first_plan), "ana"),
            self.cluster.command(self.second, ConfirmPlan(plan_id=second_plan), "bogdan"),
        ]
        self.cluster.run(10.0)
        results = [self.cluster.replies[exchange] for exchange in exchanges]
        refusals = [result for result in results if isinstance(result, Failure)]
        self.assertEqual([OperatorFailureKind.CONFLICT], [r.kind for r in refusals])
        self.assertIn("~ class gold: price 10.0 -> 1", refusals[0].reason)
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_independent_changes_both_land(self) -> None:
        first_plan, second_plan = self.propose(price("spare", 3)), self.propose(price("gold", 12))
        confirm(self.cluster, self.first, first_plan)
        rebased = confirm(self.cluster, self.second, second_plan)
        self.assertEqual((3, True), (rebased.revision, rebased.rebased))

    def start_swap(self, plan: str) -> str:
        """Confirm a plan and stop after its swap was sent, before it takes effect."""
        swaps = self.cluster.counts["store_CompareAndSwap"]
        exchange = self.cluster.command(self.first, ConfirmPlan(plan_id=plan))
        # The first swap copies the base to the history; the second writes the change.
        under_way = self.cluster.run_until(
            lambda: self.cluster.counts["store_CompareAndSwap"] == swaps + 2, 1.0, 0.0001
        )
        self.assertTrue(under_way)
        self.assertNotIn(exchange, self.cluster.replies)
        return exchange

    def test_lost_reply_is_read_back_and_not_applied_twice(self) -> None:
        plan = self.propose(assign())
        exchange = self.start_swap(plan)
        # The simulated store decides on losing a reply when the swap takes effect.
        self.cluster.store.faults.replies_to_lose = 1
        self.cluster.run(10.0)
        self.assertEqual(0, self.cluster.store.faults.replies_to_lose)
        result = self.cluster.replies[exchange]
        assert isinstance(result, ConfirmResult), result
        self.assertEqual((2, ConfirmOutcome.LANDED), (result.revision, result.outcome))
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_unknown_outcome_is_reported_and_a_later_confirm_returns_it(self) -> None:
        plan = self.propose(assign())
        exchange = self.start_swap(plan)
        down_since = self.cluster.now
        self.cluster.store.refuse_until(down_since + 60.0, self.cluster.now)
        self.cluster.run_until(lambda: exchange in self.cluster.replies, 30.0)
        result = self.cluster.replies[exchange]
        assert isinstance(result, Failure)
        self.assertEqual(OperatorFailureKind.NOT_KNOWN_YET, result.kind)
        took = self.cluster.reply_times[exchange] - down_since
        self.assertLess(took, CONFIRM_TIMEOUT_SECONDS + 5.0)
        self.cluster.run(90.0)
        self.assertEqual(2, confirm(self.cluster, self.second, plan).revision)
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_confirm_fails_without_change_while_the_store_is_down(self) -> None:
        plan = self.propose(assign())
        self.cluster.store.refuse_until(self.cluster.now + 60.0, self.cluster.now)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
        self.assertEqual(OperatorFailureKind.STORE_UNAVAILABLE, refusal.kind)
        self.assertIn("nothing was changed", refusal.reason)
        self.cluster.run(90.0)
        self.assertEqual(1, self.cluster.lowest_revision())
        self.assertEqual(2, confirm(self.cluster, self.first, plan).revision)

    def test_plan_made_while_the_store_is_down_has_a_warning_and_lands_later(self) -> None:
        self.cluster.store.refuse_until(self.cluster.now + 30.0, self.cluster.now)
        result = self.cluster.ask(self.first, ProposePlan(intents=(assign(),)))
        assert isinstance(result, PlanResult)
        self.assertIn("this node only", result.plan.warnings[-1])
        self.cluster.run(60.0)
        elsewhere = refused(self.cluster, self.second, ConfirmPlan(plan_id=result.plan.plan_id))
        self.assertEqual(OperatorFailureKind.NOT_FOUND, elsewhere.kind)
        self.assertEqual(2, confirm(self.cluster, self.first, result.plan.plan_id).revision)

    def test_older_revision_in_a_reset_store_is_ignored(self) -> None:
        confirm(self.cluster, self.first, self.propose(assign()))
        plan = self.propose(price("spare", 3))
        current = self.cluster.store.state.read(prefix_span("wingquay/configuration/current"))[0]
        old = self.cluster.store.state.read(prefix_span(history_key(Revision(1))))[0]
        self.cluster.run(1.0)
        self.set_stored(current.key.decode(), old.value, current.modified_at)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
        self.assertIn("set back", refusal.reason)
        self.cluster.run(30.0)
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_empty_store_after_data_loss_is_ignored(self) -> None:
        # Makes the node cache the current document.
        self.assertIsInstance(self.cluster.ask(self.first, ShowHistory()), HistoryResult)
        self.cluster.store = StoreModel(StoreSettings(), Random(3))
        self.cluster.run(1.0)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=self.propose(assign())))
        self.assertEqual(OperatorFailureKind.CONFLICT, refusal.kind)
        self.assertIn("set back", refusal.reason)
        self.cluster.run(30.0)
        self.assertEqual(1, self.cluster.lowest_revision())

    def set_stored(self, key: str, value: bytes, modified_at: int) -> None:
        """Write to the store directly."""
        operation = CompareAndSwap(key, modified_at, value)
        self.cluster.store.submit("by hand", operation, self.cluster.now)
        self.cluster.store.forget("by hand")

    def test_expired_or_discarded_plan_is_refused(self) -> None:
        old, unwanted = self.propose(assign()), self.propose(price("spare", 3))
        discarded = self.cluster.ask(self.second, DiscardPlan(plan_id=unwanted))
        self.assertIsInstance(discarded, DiscardResult)
        self.assertIsInstance(self.cluster.ask(self.first, ShowPlan(plan_id=old)), PlanResult)
        listed = self.cluster.ask(self.second, ListPlans())
        assert isinstance(listed, PlanListResult)
        self.assertEqual([old], [entry.plan_id for entry in listed.plans])
        self.cluster.run(901.0)
        for plan in (old, unwanted):
            refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
            self.assertEqual(OperatorFailureKind.NOT_FOUND, refusal.kind)
        self.assertEqual(1, self.cluster.lowest_revision())

    def test_plan_older_than_the_audit_records_is_refused(self) -> None:
        self.patch(document_module, "MAX_AUDIT_RECORDS", 2)
        landed, waiting = self.propose(price("early", 4)), self.propose(price("spare", 3))
        confirm(self.cluster, self.first, landed)
        for amount in (11, 12, 13):
            confirm(self.cluster, self.first, self.propose(price("gold", amount)))
        for plan in (landed, waiting):
            refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
            self.assertEqual(OperatorFailureKind.CONFLICT, refusal.kind)
            self.assertIn("too many changes", refusal.reason)
        self.assertEqual(5, self.first.machine.revision)

    def test_copies_of_unlisted_revisions_are_deleted(self) -> None:
        self.patch(document_module, "MAX_AUDIT_RECORDS", 3)
        for amount in (11, 12, 13, 14, 15):
            confirm(self.cluster, self.first, self.propose(price("gold", amount)))
            self.cluster.run(0.1)
        history = self.cluster.ask(self.first, ShowHistory())
        assert isinstance(history, HistoryResult)
        self.assertEqual([4, 5, 6], [record.revision for record in history.records])
        kept = stored_keys(self.cluster, "wingquay/configuration/history/")
        self.assertEqual([history_key(Revision(4)), history_key(Revision(5))], kept)
        gone = RestoreRevision(revision=Revision(2))
        refusal = refused(self.cluster, self.first, ProposePlan(intents=(gone,)))
        self.assertEqual(OperatorFailureKind.NOT_FOUND, refusal.kind)
        present = RestoreRevision(revision=Revision(6))
        refusal = refused(self.cluster, self.first, ProposePlan(intents=(present,)))
        self.assertIn("change nothing", refusal.reason)

    def test_discard_of_a_landed_plan_is_refused(self) -> None:
        plan = self.propose(assign())
        confirm(self.cluster, self.first, plan)
        refusal = refused(self.cluster, self.second, DiscardPlan(plan_id=plan))
        self.assertIn("already taken effect as revision 2", refusal.reason)

    def test_plan_kept_only_on_its_node_expires(self) -> None:
        self.cluster.store.refuse_until(self.cluster.now + 30.0, self.cluster.now)
        result = self.cluster.ask(self.first, ProposePlan(intents=(assign(),)))
        assert isinstance(result, PlanResult)
        self.cluster.run(901.0)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=result.plan.plan_id))
        self.assertEqual(OperatorFailureKind.EXPIRED, refusal.kind)

    def test_restore_creates_a_new_revision(self) -> None:
        confirm(self.cluster, self.first, self.propose(price("gold", 11)))
        confirm(self.cluster, self.first, self.propose(price("silver", 6)))
        plan = self.propose(RestoreRevision(revision=Revision(1)))
        self.assertEqual(4, confirm(self.cluster, self.second, plan).revision)
        diff = self.cluster.ask(
            self.first, DiffConfigurations(from_revision=Revision(1), to_revision=Revision(4))
        )
        assert isinstance(diff, DiffResult)
        self.assertEqual((), diff.lines)
        history = self.cluster.ask(self.first, ShowHistory())
        assert isinstance(history, HistoryResult)
        self.assertEqual([1, 2, 3, 4], [record.revision for record in history.records])
        earlier = self.cluster.ask(self.first, ShowConfiguration(revision=Revision(2)))
        assert isinstance(earlier, ConfigurationResult)
        self.assertEqual(2, earlier.configuration.revision)

    def test_status_shows_revision_and_propagation_time_of_each_zone(self) -> None:
        confirm(self.cluster, self.first, self.propose(assign()))
        self.cluster.run(1.0)
        status = self.cluster.ask(self.first, ShowStatus())
        assert isinstance(status, StatusResult)
        self.assertEqual([2, 2], [zone.lowest_revision for zone in status.zones])
        for zone in status.zones:
            assert zone.in_force_seconds is not None
            self.assertLess(zone.in_force_seconds, 1.0)
        self.assertTrue(status.store_reachable)
        self.assertEqual(6, len(status.nodes))
