"""Confirms: racing operators, lost replies, a store that is down."""

from random import Random

from testtools import TestCase

from tests.configuration.examples import assign, price
from tests.configuration.fleet import check_history, configured_cluster, confirm, plan_id, refused
from wingquay.configuration import document as document_module
from wingquay.configuration.confirmation import CONFIRM_BOUND_SECONDS
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
    """Return the keys that the store holds."""
    entries = cluster.store.state.read(prefix_span(prefix))
    return [entry.key.decode() for entry in entries]


class ConfirmTest(TestCase):
    """A plan takes effect once, or it is said why not."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = configured_cluster()
        self.first, self.second = self.cluster.nodes[0], self.cluster.nodes[-1]
        self.addCleanup(check_history, self.cluster)

    def propose(self, *intents: object) -> str:
        return plan_id(self.cluster, self.first, *intents)

    def test_another_node_confirms_and_a_second_confirm_changes_nothing(self) -> None:
        plan = self.propose(assign())
        landed = confirm(self.cluster, self.second, plan)
        self.assertEqual((2, ConfirmOutcome.LANDED), (landed.revision, landed.outcome))
        again = confirm(self.cluster, self.first, plan)
        self.assertEqual((2, ConfirmOutcome.LANDED_BEFORE), (again.revision, again.outcome))

    def test_a_confirm_after_later_changes_still_says_that_it_landed(self) -> None:
        plan = self.propose(assign())
        confirm(self.cluster, self.first, plan)
        confirm(self.cluster, self.second, self.propose(price("spare", 3)))
        self.assertEqual(2, confirm(self.cluster, self.second, plan).revision)

    def test_two_nodes_that_confirm_at_once_apply_it_once(self) -> None:
        plan = self.propose(assign())
        exchanges = [
            self.cluster.command(node, ConfirmPlan(plan_id=plan)) for node in self.cluster.nodes
        ]
        self.cluster.run(10.0)
        results = [self.cluster.replies[exchange] for exchange in exchanges]
        self.assertEqual({2}, {r.revision for r in results if isinstance(r, ConfirmResult)})
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_of_racing_operators_the_second_is_told_what_changed(self) -> None:
        mine, theirs = self.propose(price("gold", 11)), self.propose(price("gold", 12))
        exchanges = [
            self.cluster.command(self.first, ConfirmPlan(plan_id=mine), "ana"),
            self.cluster.command(self.second, ConfirmPlan(plan_id=theirs), "bogdan"),
        ]
        self.cluster.run(10.0)
        results = [self.cluster.replies[exchange] for exchange in exchanges]
        refusals = [result for result in results if isinstance(result, Failure)]
        self.assertEqual([OperatorFailureKind.CONFLICT], [r.kind for r in refusals])
        self.assertIn("~ class gold: price 10.0 -> 1", refusals[0].reason)
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_changes_that_do_not_touch_each_other_both_land(self) -> None:
        mine, theirs = self.propose(price("spare", 3)), self.propose(price("gold", 12))
        confirm(self.cluster, self.first, mine)
        rebased = confirm(self.cluster, self.second, theirs)
        self.assertEqual((3, True), (rebased.revision, rebased.rebased))

    def swap_under_way(self, plan: str) -> str:
        """Confirm up to the moment when the swap has been sent and not yet taken effect."""
        swaps = self.cluster.counts["store_CompareAndSwap"]
        exchange = self.cluster.command(self.first, ConfirmPlan(plan_id=plan))
        # The first swap copies the base to the history, the second is the change itself.
        under_way = self.cluster.run_until(
            lambda: self.cluster.counts["store_CompareAndSwap"] == swaps + 2, 1.0, 0.0001
        )
        self.assertTrue(under_way)
        self.assertNotIn(exchange, self.cluster.replies)
        return exchange

    def test_a_lost_reply_is_read_back_and_not_applied_twice(self) -> None:
        plan = self.propose(assign())
        exchange = self.swap_under_way(plan)
        # The reply is drawn when the swap takes effect, half way.
        self.cluster.store.faults.replies_to_lose = 1
        self.cluster.run(10.0)
        self.assertEqual(0, self.cluster.store.faults.replies_to_lose)
        result = self.cluster.replies[exchange]
        assert isinstance(result, ConfirmResult), result
        self.assertEqual((2, ConfirmOutcome.LANDED), (result.revision, result.outcome))
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_an_outcome_that_cannot_be_learnt_is_said_so_and_asked_later(self) -> None:
        plan = self.propose(assign())
        exchange = self.swap_under_way(plan)
        down_since = self.cluster.now
        self.cluster.store.refuse_until(down_since + 60.0, self.cluster.now)
        self.cluster.run_until(lambda: exchange in self.cluster.replies, 30.0)
        result = self.cluster.replies[exchange]
        assert isinstance(result, Failure)
        self.assertEqual(OperatorFailureKind.NOT_KNOWN_YET, result.kind)
        took = self.cluster.reply_times[exchange] - down_since
        self.assertLess(took, CONFIRM_BOUND_SECONDS + 5.0)
        self.cluster.run(90.0)
        self.assertEqual(2, confirm(self.cluster, self.second, plan).revision)
        self.assertEqual(2, self.cluster.lowest_revision())

    def test_a_store_that_is_down_is_said_so_and_nothing_changes(self) -> None:
        plan = self.propose(assign())
        self.cluster.store.refuse_until(self.cluster.now + 60.0, self.cluster.now)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
        self.assertEqual(OperatorFailureKind.STORE_UNAVAILABLE, refusal.kind)
        self.assertIn("nothing was changed", refusal.reason)
        self.cluster.run(90.0)
        self.assertEqual(1, self.cluster.lowest_revision())
        self.assertEqual(2, confirm(self.cluster, self.first, plan).revision)

    def test_a_plan_made_while_the_store_is_down_warns_and_lands_later(self) -> None:
        self.cluster.store.refuse_until(self.cluster.now + 30.0, self.cluster.now)
        result = self.cluster.ask(self.first, ProposePlan(intents=(assign(),)))
        assert isinstance(result, PlanResult)
        self.assertIn("this node only", result.plan.warnings[-1])
        self.cluster.run(60.0)
        elsewhere = refused(self.cluster, self.second, ConfirmPlan(plan_id=result.plan.plan_id))
        self.assertEqual(OperatorFailureKind.NOT_FOUND, elsewhere.kind)
        self.assertEqual(2, confirm(self.cluster, self.first, result.plan.plan_id).revision)

    def test_a_store_that_was_set_back_is_not_followed(self) -> None:
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

    def test_a_store_that_lost_everything_is_not_followed(self) -> None:
        # The node remembers what it read last, and may leave it out when it reads again.
        self.assertIsInstance(self.cluster.ask(self.first, ShowHistory()), HistoryResult)
        self.cluster.store = StoreModel(StoreSettings(), Random(3))
        self.cluster.run(1.0)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=self.propose(assign())))
        self.assertEqual(OperatorFailureKind.CONFLICT, refusal.kind)
        self.assertIn("set back", refusal.reason)
        self.cluster.run(30.0)
        self.assertEqual(1, self.cluster.lowest_revision())

    def set_stored(self, key: str, value: bytes, modified_at: int) -> None:
        """Write into the store by hand."""
        operation = CompareAndSwap(key, modified_at, value)
        self.cluster.store.submit("by hand", operation, self.cluster.now)
        self.cluster.store.forget("by hand")

    def test_an_expired_or_discarded_plan_is_refused(self) -> None:
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

    def test_a_plan_older_than_the_records_is_refused_landed_or_not(self) -> None:
        self.patch(document_module, "AUDIT_RECORDS_KEPT", 2)
        landed, waiting = self.propose(price("early", 4)), self.propose(price("spare", 3))
        confirm(self.cluster, self.first, landed)
        for amount in (11, 12, 13):
            confirm(self.cluster, self.first, self.propose(price("gold", amount)))
        for plan in (landed, waiting):
            refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=plan))
            self.assertEqual(OperatorFailureKind.CONFLICT, refusal.kind)
            self.assertIn("too many changes", refusal.reason)
        self.assertEqual(5, self.first.machine.revision)

    def test_copies_of_revisions_no_longer_listed_are_deleted(self) -> None:
        self.patch(document_module, "AUDIT_RECORDS_KEPT", 3)
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

    def test_discarding_what_has_landed_says_so(self) -> None:
        plan = self.propose(assign())
        confirm(self.cluster, self.first, plan)
        refusal = refused(self.cluster, self.second, DiscardPlan(plan_id=plan))
        self.assertIn("already taken effect as revision 2", refusal.reason)

    def test_a_plan_kept_on_its_node_alone_expires_too(self) -> None:
        self.cluster.store.refuse_until(self.cluster.now + 30.0, self.cluster.now)
        result = self.cluster.ask(self.first, ProposePlan(intents=(assign(),)))
        assert isinstance(result, PlanResult)
        self.cluster.run(901.0)
        refusal = refused(self.cluster, self.first, ConfirmPlan(plan_id=result.plan.plan_id))
        self.assertEqual(OperatorFailureKind.EXPIRED, refusal.kind)

    def test_going_back_is_a_change_like_any_other(self) -> None:
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

    def test_status_tells_the_revision_of_each_zone_and_how_long_it_took(self) -> None:
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
