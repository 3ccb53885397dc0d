"""Plans: what they show, and when they may be rebased."""

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
    document_for_confirm,
    make_plan,
)
from wingquay.model.failure import Failure
from wingquay.model.identifiers import RequestKindName, Revision, ServiceName
from wingquay.model.intent import Intent, RestoreRevision, SetShards
from wingquay.model.plan import EffectDirection, ForecastVerdict, Plan
from wingquay.ports.internal import KindLoad, LoadObserved, ServiceLoad

SERVICE = ServiceName("coverage-lookup")


def load(p50: float, p99: float, utilization: float) -> LoadObserved:
    """Return a load under which outage-ping has these latencies (seconds)."""
    kind = KindLoad(SERVICE, RequestKindName("outage-ping"), 10.0, p50, p99)
    return LoadObserved((kind,), (ServiceLoad(SERVICE, utilization),))


def planned(
    base: ConfigurationDocument,
    *intents: Intent,
    plan_id: str = "plan",
    seen: LoadObserved | None = None,
    earlier: dict[Revision, ConfigurationDocument] | None = None,
) -> Plan:
    """Return the plan of intents that can be applied."""
    proposal = Proposal(plan_id, OPERATOR, intents, earlier or {}, seen or LoadObserved(), 100.0)
    plan = make_plan(base, proposal)
    assert isinstance(plan, Plan), plan
    return plan


def confirmed(plan: Plan, current: ConfigurationDocument) -> ConfigurationDocument:
    """Return the document that a confirm which is allowed leads to."""
    written = document_for_confirm(plan, current, {}, OTHER_OPERATOR, 200.0)
    assert isinstance(written, ConfigurationDocument), written
    return written


class PlanTest(TestCase):
    """``make_plan``."""

    def test_it_shows_the_change_and_who_gains_and_loses(self) -> None:
        plan = planned(document(), assign())
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

    def test_the_outlook_rests_on_the_load_seen(self) -> None:
        verdicts = {
            ForecastVerdict.KEEPABLE: load(0.01, 0.1, 0.5),
            ForecastVerdict.AT_RISK: load(0.1, 0.3, 0.5),
            ForecastVerdict.NOT_KEEPABLE: load(0.3, 0.5, 0.5),
        }
        for verdict, seen in verdicts.items():
            plan = planned(document(), assign(), seen=seen)
            self.assertEqual(verdict, plan.outlook[0].verdict)
            self.assertEqual(verdict is not ForecastVerdict.KEEPABLE, bool(plan.warnings))

    def test_taking_slots_away_is_warned_of(self) -> None:
        fewer = SetShards(service=SERVICE, shards=(CONFIGURATION.services[0].shards[1],))
        plan = planned(document(), fewer, seen=load(0.01, 0.1, 0.5))
        outlook = {entry.kind: entry for entry in plan.outlook}["outage-ping"]
        self.assertEqual(ForecastVerdict.NOT_KEEPABLE, outlook.verdict)
        self.assertEqual(1.5, outlook.expected_utilization)

    def test_intents_that_change_nothing_are_refused(self) -> None:
        proposal = Proposal("p", OPERATOR, (price("gold", 10),), {}, LoadObserved(), 0.0)
        self.assertIsInstance(make_plan(document(), proposal), Failure)


class ConfirmDocumentTest(TestCase):
    """``document_for_confirm``."""

    def test_it_names_who_confirmed_what(self) -> None:
        written = confirmed(planned(document(), assign()), document())
        self.assertEqual(2, written.revision)
        record = written.audit[-1]
        self.assertEqual((OPERATOR, OTHER_OPERATOR), (record.proposed_by, record.confirmed_by))
        self.assertEqual(("plan", 1, 200.0), (
            record.confirm_id, record.base_revision, record.confirmed_unix_seconds,
        ))  # fmt: skip
        self.assertIn("gold", record.summary[0])

    def test_it_is_rebased_when_the_change_stays_what_was_shown(self) -> None:
        first = planned(document(), assign())
        second = planned(document(), price("spare", 3), plan_id="second")
        both = confirmed(second, confirmed(first, document()))
        self.assertEqual(3, both.revision)
        self.assertIsNotNone(both.configuration.priority_class("spare"))
        self.assertEqual(1, len(both.configuration.attachments))

    def refused(self, plan: Plan, current: ConfigurationDocument) -> str:
        """Confirm a plan that must be refused, and return why."""
        written = document_for_confirm(plan, current, {}, OPERATOR, 200.0)
        assert isinstance(written, Failure), written
        self.assertEqual(PlanFailureKind.CONFLICT, written.kind)
        return written.reason

    def test_it_is_refused_when_top_has_become_another_class(self) -> None:
        plan = planned(document(), assign())
        moved = confirmed(planned(document(), price("platinum", 30), plan_id="x"), document())
        self.assertIn("revision 2 by bogdan: + class platinum", self.refused(plan, moved))

    def test_it_is_refused_when_the_class_means_something_else(self) -> None:
        plan = planned(document(), assign(class_name="gold"))
        moved = confirmed(planned(document(), price("gold", 11), plan_id="x"), document())
        self.assertIn("price 10.0 -> 11.0", self.refused(plan, moved))

    def test_it_is_refused_when_it_would_undo_the_other_change(self) -> None:
        plan = planned(document(), price("gold", 11))
        other = price("gold", 10).model_copy(update={"promise_seconds": 0.1})
        moved = confirmed(planned(document(), other, plan_id="x"), document())
        self.assertIn("promise_seconds", self.refused(plan, moved))

    def test_restoring_is_never_rebased_over_another_change(self) -> None:
        second = confirmed(planned(document(), price("gold", 11)), document())
        earlier = {Revision(1): document()}
        restore = planned(second, RestoreRevision(revision=Revision(1)), earlier=earlier)
        moved = confirmed(planned(second, price("silver", 6), plan_id="x"), second)
        result = document_for_confirm(restore, moved, earlier, OPERATOR, 200.0)
        assert isinstance(result, Failure)
        self.assertEqual(PlanFailureKind.CONFLICT, result.kind)


class DiffTest(TestCase):
    """``document_diff``."""

    def test_nothing_differs_from_itself_and_keys_not_known_are_seen(self) -> None:
        plain = document()
        self.assertEqual([], document_diff(plain, plain))
        lines = document_diff(plain, with_extra_keys(plain))
        self.assertIn("~ service coverage-lookup: cache none -> on", lines)
        self.assertIn(
            "~ service coverage-lookup shard c1 replica c1b: weight none -> 3",
            lines,
        )
        self.assertTrue(any("quotas q1" in line for line in lines))
