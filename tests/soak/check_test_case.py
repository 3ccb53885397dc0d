"""A ledger written by hand, and what a check of the soak finds in it."""

from testtools import TestCase

from scripts.soak.checks import Check
from scripts.soak.ledger import SpanKind
from scripts.soak.settings import Bounds, SoakSettings
from tests.soak.hand_ledger import (
    HandLedger,
    table,
)

BOUNDS = Bounds(retry_slack=4.0, quota_slack=2.0)
SETTINGS = SoakSettings(bounds=BOUNDS)
MOMENT = 0.01
"""A time by which something lies just inside or just outside a bound."""
OUT_OF_TOUCH = (
    SpanKind.KILL,
    SpanKind.FREEZE,
    SpanKind.START,
    SpanKind.STOP,
    SpanKind.STORE,
    SpanKind.RESTORED,
    SpanKind.LINK,
    SpanKind.LAG,
)
"""Trouble in which a node is held to no bound on time."""


class CheckTest(TestCase):
    """A ledger and what a check finds in it."""

    def setUp(self) -> None:
        super().setUp()
        self.start_over()

    def start_over(self) -> None:
        """Begin a new ledger, with one configuration."""
        self.hand = HandLedger()
        self.hand.publish(table(1), 0.0)

    def found(self, check: Check, settings: SoakSettings = SETTINGS) -> list[str]:
        """Return the texts of what a check finds."""
        return [item.text for item in check(self.hand.ledger, settings)]

    def assert_found(
        self, check: Check, count: int, note: object = "", settings: SoakSettings = SETTINGS
    ) -> None:
        found = self.found(check, settings)
        self.assertEqual(count, len(found), (note, found))

    def assert_excused_out_of_touch(self, check: Check, at: float) -> None:
        """Check that each trouble within the time of contact excuses what was found."""
        self.assert_found(check, 1)
        spans = self.hand.ledger.spans
        before = list(spans)
        for kind in OUT_OF_TOUCH:
            for begun_at, count in (
                (at - BOUNDS.contact_seconds + MOMENT, 0),
                (at - BOUNDS.contact_seconds - 2.0 * MOMENT, 1),
            ):
                spans[:] = before
                self.hand.trouble(kind, begun_at - MOMENT, begun_at)
                self.assert_found(check, count, kind)
        spans[:] = before
