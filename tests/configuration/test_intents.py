"""Results of applying intents, and refusal of invalid ones."""

from pydantic import TypeAdapter, ValidationError
from testtools import TestCase

from tests.configuration.examples import CONFIGURATION, assign, price
from wingquay.configuration.intents import AppliedIntents, apply_intents
from wingquay.model.configuration import Configuration
from wingquay.model.failure import Failure
from wingquay.model.identifiers import Revision
from wingquay.model.intent import AssignClass, Intent, RestoreRevision

INTENT: TypeAdapter[Intent] = TypeAdapter(Intent)


def intent(**fields: object) -> Intent:
    """Parse an intent as the operator interface does."""
    return INTENT.validate_python(fields)


class ApplyIntentsTest(TestCase):
    """``apply_intents``."""

    def applied(self, *intents: Intent) -> AppliedIntents:
        """Apply intents and assert that they are accepted."""
        result = apply_intents(CONFIGURATION, intents)
        assert isinstance(result, AppliedIntents), result
        return result

    def refused(self, *intents: Intent) -> str:
        """Apply intents, assert that they are refused, and return the reason."""
        result = apply_intents(CONFIGURATION, intents)
        assert isinstance(result, Failure), result
        return result.reason

    def class_of(self, configuration: Configuration, kind_name: str, caller: str) -> str:
        """Return the class that serves a request kind of coverage-lookup."""
        service = configuration.services[0]
        kind = service.kind(kind_name)
        assert kind is not None
        return configuration.class_for(service, kind, caller)

    def test_top_is_resolved_to_the_class_with_the_highest_price(self) -> None:
        result = self.applied(price("platinum", 20), assign())
        resolved = result.resolved[1]
        assert isinstance(resolved, AssignClass)
        self.assertEqual("platinum", resolved.class_name)
        self.assertEqual("platinum", self.class_of(result.configuration, "outage-ping", "portal"))

    def test_lowest_is_resolved_to_the_class_with_the_lowest_price(self) -> None:
        result = self.applied(assign("tower-sweep", "lowest"))
        self.assertEqual("bronze", self.class_of(result.configuration, "tower-sweep", "portal"))

    def test_assignment_for_one_caller_does_not_affect_others(self) -> None:
        one = assign().model_copy(update={"caller": "portal"})
        configuration = self.applied(one).configuration
        self.assertEqual("gold", self.class_of(configuration, "outage-ping", "portal"))
        self.assertEqual("bronze", self.class_of(configuration, "outage-ping", "field"))

    def test_second_assignment_replaces_the_first_and_unassign_removes_it(self) -> None:
        undo = intent(intent="unassign_class", service="coverage-lookup", kind="outage-ping")
        once = self.applied(assign(), assign(class_name="silver")).configuration
        self.assertEqual(1, len(once.attachments))
        ended = self.applied(assign(), undo).configuration
        self.assertEqual("bronze", self.class_of(ended, "outage-ping", "portal"))

    def test_errors_state_field_value_and_allowed_values(self) -> None:
        reason = self.refused(assign("outage-pong"))
        for part in ("kind", "'outage-pong'", "outage-ping", "tower-sweep", "intent 1"):
            self.assertIn(part, reason)
        self.assertIn("'diamond'", self.refused(assign(class_name="diamond")))
        elsewhere = assign().model_copy(update={"deployment": "isan-north"})
        self.assertIn("allowed: ['ro-nord']", self.refused(elsewhere))

    def test_removal_of_used_class_and_reserved_name_are_refused(self) -> None:
        removal = intent(intent="remove_class", name="silver")
        self.assertIn("coverage-lookup/tower-sweep", self.refused(removal))
        reserved = intent(intent="set_class", name="top", price=1, promise_seconds=1)
        self.assertIn("reserved", self.refused(reserved))

    def test_overlapping_shards_are_refused(self) -> None:
        shards = [{"shard_id": "c9", "end": "p", "replicas": []}]
        overlap = [*shards, {"shard_id": "c8", "start": "n", "replicas": []}]
        change = intent(intent="set_shards", service="coverage-lookup", shards=overlap)
        self.assertIn("overlap", self.refused(change))

    def test_removing_a_service_removes_references_to_it(self) -> None:
        removal = intent(intent="remove_service", name="coverage-lookup")
        configuration = self.applied(assign(), removal).configuration
        self.assertEqual((), configuration.attachments)
        self.assertEqual((), configuration.callers[0].services)

    def test_restore_copies_the_earlier_revision(self) -> None:
        earlier = self.applied(price("gold", 99)).configuration
        current = CONFIGURATION.model_copy(update={"revision": Revision(8)})
        restore = RestoreRevision(revision=Revision(3))
        result = apply_intents(current, [restore], {Revision(3): earlier})
        assert isinstance(result, AppliedIntents)
        self.assertEqual(earlier.classes, result.configuration.classes)
        self.assertEqual(8, result.configuration.revision)
        self.assertIn("history", self.refused(restore))


class StrictIntentTest(TestCase):
    """Unknown fields are refused at any depth."""

    def test_unknown_fields_are_refused(self) -> None:
        self.assertRaises(ValidationError, intent, intent="remove_class", name="x", nmae="y")

    def test_unknown_nested_fields_are_refused(self) -> None:
        caller = {"name": "c", "token_sha256": "0" * 64, "services": [], "sevrices": []}
        error = self.assertRaises(ValidationError, intent, intent="set_caller", caller=caller)
        self.assertIn("caller.sevrices", str(error))
