"""A late reply of a limit owner must not let requests start before a permit."""

from testtools import TestCase

from wingquay.forwarding.arrival.limits.owner_channel import CONTACT_VALID_SECONDS, OwnerChannel
from wingquay.ports.peer_link import NodeIdentity

OWNER = NodeIdentity("owner", "", "a", "10.0.0.1", 7)
WINDOW_SECONDS = 5.0
SENT_AT = 100.0
MARGIN_SECONDS = 0.01


def reporting_channel() -> OwnerChannel:
    """Return a channel whose owner allows early starts, with one report on its way."""
    channel = OwnerChannel(OWNER, WINDOW_SECONDS)
    channel.requires_permit = False
    channel.report_requests("blue", 1, SENT_AT)
    channel.send_report(SENT_AT)
    return channel


class LateReplyTest(TestCase):
    def test_contact_is_valid_from_the_sending_of_the_report(self) -> None:
        # Guards against early starts by a reply that was under way for longer than the contact.
        valid_until = SENT_AT + CONTACT_VALID_SECONDS
        for late_seconds in (0.0, 0.1, 0.25, 0.4, 3.0):
            channel = reporting_channel()
            channel.on_acknowledgement(1, SENT_AT + late_seconds)
            for now, expected in (
                (valid_until - MARGIN_SECONDS, True),
                (valid_until + MARGIN_SECONDS, False),
            ):
                if now >= SENT_AT + late_seconds:
                    allowed = channel.may_start_before_permit("blue", now)
                    self.assertEqual(expected, allowed, (late_seconds, now))

    def test_acknowledgement_of_an_unknown_report_is_no_contact(self) -> None:
        channel = OwnerChannel(OWNER, WINDOW_SECONDS)
        channel.requires_permit = False
        channel.on_acknowledgement(7, SENT_AT)
        self.assertFalse(channel.may_start_before_permit("blue", SENT_AT))

    def test_contact_is_valid_from_the_sending_of_the_permit_request(self) -> None:
        channel = OwnerChannel(OWNER, WINDOW_SECONDS)
        channel.requires_permit = False
        channel.on_reply(SENT_AT, SENT_AT + 0.25)
        self.assertTrue(channel.may_start_before_permit("blue", SENT_AT + 0.29))
        self.assertFalse(channel.may_start_before_permit("blue", SENT_AT + 0.31))
