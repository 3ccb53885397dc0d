"""Contents of plans, and the conditions under which they may be rebased."""

from testtools import TestCase

from tests.configuration.examples import (
    CONFIGURATION,
    OPERATOR,
    OTHER_OPERATOR,
    assign,
    document,
    price,
    with_extra_keys,
)
from wingquay.configuration.diff import document_diff
from wingquay.configuration.document import ConfigurationDocument
from wingquay.configuration.plan import (
    PlanFailureKind,
    Proposal,
    make_confirmed_document,
    make_plan,
)
from wingquay.model.failure import Failure
from wingquay.model.identifiers import RequestKindName, Revision, ServiceName
from wingquay.model.intent import Intent, RestoreRevision, SetShards
from wingquay.model.plan import EffectDirection, ForecastVerdict, Plan
from wingquay.ports.internal import KindLoad, LoadObserved, ServiceLoad

SERVICE = ServiceName("coverage-lookup")


def load(p50: float, p99: float, utilization: float) -> LoadObserved:
    """Return a load in which outage-ping has these latencies in seconds."""
    kind = KindLoad(SERVICE, RequestKindName("outage-ping"), 10.0, p50, p99)
    return LoadObserved((kind,), (ServiceLoad(SERVICE, utilization),))


def make_test_plan(
    base: ConfigurationDocument,
    *intents: Intent,
    plan_id: str = "plan",
    observed: LoadObserved | None = None,
    earlier: dict[Revision, ConfigurationDocument] | None = None,
) -> Plan:
    """Make a plan from intents and assert that it succeeds."""
    proposal = Proposal(
        plan_id, OPERATOR, intents, earlier or {}, observed or LoadObserved(), 100.0
    )
    plan = make_plan(base, proposal)
    assert isinstance(plan, Plan), plan
    return plan


def confirm(plan: Plan, current: ConfigurationDocument) -> ConfigurationDocument:
    """Confirm a plan and assert that it is accepted."""
    written = make_confirmed_document(plan, current, {}, OTHER_OPERATOR, 200.0)
    assert isinstance(written, ConfigurationDocument), written
    return written


class PlanTest(TestCase):
    """``make_plan``."""

    def test_plan_shows_the_diff_and_the_effects_on_request_kinds(self) -> None:
        plan = make_test_plan(document(), assign())
        expected = (
            "+ assignment coverage-lookup/outage-ping: "
            "service coverage-lookup, kind outage-ping, class_name gold"
        )
        self.assertEqual((expected,), plan.diff)
        directions = {effect.kind: effect.direction for effect in plan.effects}
        self.assertEqual(
            {"outage-ping": EffectDirection.GAINS, "tower-sweep": EffectDirection.LOSES},
            directions,
        )

    def test_forecast_depends_on_the_observed_load(self) -> None:
        verdicts = {
            ForecastVerdict.KEEPABLE: load(0.01, 0.1, 0.5),
            ForecastVerdict.AT_RISK: load(0.1, 0.3, 0.5),
            ForecastVerdict.NOT_KEEPABLE: load(0.3, 0.5, 0.5),
        }
        for verdict, observed in verdicts.items():
            plan = make_test_plan(document(), assign(), observed=observed)
            self.assertEqual(verdict, plan.outlook[0].verdict)
            self.assertEqual(verdict is not ForecastVerdict.KEEPABLE, bool(plan.warnings))

    def test_plan_that_removes_slots_is_not_keepable(self) -> None:
        fewer = SetShards(service=SERVICE, shards=(CONFIGURATION.services[0].shards[1],))
        plan = make_test_plan(document(), fewer, observed=load(0.01, 0.1, 0.5))
        outlook = {entry.kind: entry for entry in plan.outlook}["outage-ping"]
        self.assertEqual(ForecastVerdict.NOT_KEEPABLE, outlook.verdict)
        self.assertEqual(1.5, outlook.expected_utilization)

    def test_intents_without_effect_are_refused(self) -> None:
        proposal = Proposal("p", OPERATOR, (price("gold", 10),), {}, LoadObserved(), 0.0)
        self.assertIsInstance(make_plan(document(), proposal), Failure)


class ConfirmDocumentTest(TestCase):
    """``make_confirmed_document``."""

    def test_audit_record_names_the_operators_and_the_change(self) -> None:
        written = confirm(make_test_plan(document(), assign()), document())
        self.assertEqual(2, written.revision)
        record = written.audit[-1]
        self.assertEqual((OPERATOR, OTHER_OPERATOR), (record.proposed_by, record.confirmed_by))
        self.assertEqual(("plan", 1, 200.0), (
            record.confirm_id, record.base_revision, record.confirmed_unix_seconds,
        ))  # fmt: skip
        self.assertIn("gold", record.summary[0])

    def test_plan_is_rebased_if_its_change_stays_the_same(self) -> None:
        first = make_test_plan(document(), assign())
        second = make_test_plan(document(), price("spare", 3), plan_id="second")
        both = confirm(second, confirm(first, document()))
        self.assertEqual(3, both.revision)
        self.assertIsNotNone(both.configuration.priority_class("spare"))
        self.assertEqual(1, len(both.configuration.attachments))

    def refused(self, plan: Plan, current: ConfigurationDocument) -> str:
        """Confirm a plan, assert that it is refused, and return the reason."""
        written = make_confirmed_document(plan, current, {}, OPERATOR, 200.0)
        assert isinstance(written, Failure), written
        self.assertEqual(PlanFailureKind.CONFLICT, written.kind)
        return written.reason

    def test_confirm_is_refused_if_top_resolves_to_another_class(self) -> None:
        plan = make_test_plan(document(), assign())
        changed = confirm(
            make_test_plan(document(), price("platinum", 30), plan_id="x"), document()
        )
        self.assertIn("revision 2 by bogdan: + class platinum", self.refused(plan, changed))

    def test_confirm_is_refused_if_the_terms_of_the_class_changed(self) -> None:
        plan = make_test_plan(document(), assign(class_name="gold"))
        changed = confirm(make_test_plan(document(), price("gold", 11), plan_id="x"), document())
        self.assertIn("price 10.0 -> 11.0", self.refused(plan, changed))

    def test_confirm_is_refused_if_it_would_undo_another_change(self) -> None:
        plan = make_test_plan(document(), price("gold", 11))
        other = price("gold", 10).model_copy(update={"promise_seconds": 0.1})
        changed = confirm(make_test_plan(document(), other, plan_id="x"), document())
        self.assertIn("promise_seconds", self.refused(plan, changed))

    def test_restore_is_not_rebased_over_another_change(self) -> None:
        second = confirm(make_test_plan(document(), price("gold", 11)), document())
        earlier = {Revision(1): document()}
        restore = make_test_plan(second, RestoreRevision(revision=Revision(1)), earlier=earlier)
        changed = confirm(make_test_plan(second, price("silver", 6), plan_id="x"), second)
        result = make_confirmed_document(restore, changed, earlier, OPERATOR, 200.0)
        assert isinstance(result, Failure)
        self.assertEqual(PlanFailureKind.CONFLICT, result.kind)


class DiffTest(TestCase):
    """``document_diff``."""

    def test_diff_is_empty_for_equal_documents_and_includes_unknown_keys(self) -> None:
        plain = document()
        self.assertEqual([], document_diff(plain, plain))
        lines = document_diff(plain, with_extra_keys(plain))
        self.assertIn("~ service coverage-lookup: cache none -> on", lines)
        self.assertIn(
            "~ service coverage-lookup shard c1 replica c1b: weight none -> 3",
            lines,
        )
        self.assertTrue(any("quotas q1" in line for line in lines))
