"""Entries of replicas that cannot be read: the others hold, and a line says which and why."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.forwarding.one_node import REPLICA_PREFIX, OneNode, replica, single_route, table
from wingquay.forwarding.log_limiter import OTHER_LINES_PER_SECOND
from wingquay.ports.store import StoredValue


def asked(node: OneNode, requests: int = 12) -> set[str]:
    """Return the replicas that a few requests go to."""
    before = len(node.all_sends)
    for _ in range(requests):
        node.request()
        for send in list(node.sends):
            node.answer(send)
    return {send.replica.replica_id for send in node.all_sends[before:]}


def bad(node: OneNode, replica_id: str, content: bytes = b"?") -> StoredValue:
    return StoredValue(REPLICA_PREFIX + replica_id, content, node.store_revision)


class UnreadableEntriesTest(TestCase):
    def test_a_listing_keeps_the_good_entries_beside_bad_ones(self) -> None:
        node = OneNode()
        records = (replica("r0", "s"), replica("r1", "s"))
        node.start(table(1, single_route()), *records, values=(bad(node, "r2"), bad(node, "r3")))
        self.assertEqual({"r0", "r1"}, asked(node))
        self.assertEqual(
            [
                {"key": "replicas/r2", "reason": "test"},
                {"key": "replicas/r3", "reason": "test"},
            ],
            node.logs("replica_record_unreadable"),
        )

    def test_lines_about_bad_entries_are_bounded(self) -> None:
        node = OneNode()
        values = tuple(bad(node, f"b{number}") for number in range(500))
        node.start(table(1, single_route()), replica("r0", "s"), values=values)
        self.assertEqual(OTHER_LINES_PER_SECOND, len(node.logs("replica_record_unreadable")))
        self.assertEqual({"r0"}, asked(node))

    def test_an_entry_that_can_no_longer_be_read_counts_as_gone(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"), replica("r1", "s"))
        node.change(values=(bad(node, "r0"),))
        self.assertEqual({"r1"}, asked(node))
        node.change(replica("r0", "s"))
        self.assertEqual({"r0", "r1"}, asked(node))

    def test_the_last_replica_is_used_for_the_time_of_grace_only(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        node.change(values=(bad(node, "r0"),))
        self.assertEqual({"r0"}, asked(node))
        node.advance(1.1)
        self.assertEqual(set(), asked(node))

    def test_a_bad_entry_that_is_written_again_and_again_does_not_lengthen_the_grace(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        for number in range(4):
            node.change(values=(bad(node, "r0", b"%d" % number),))
            node.advance(0.3)
        self.assertEqual(set(), asked(node))

    @given(st.dictionaries(st.text(max_size=5), st.binary(max_size=8), max_size=8))
    def test_whatever_else_is_listed_the_good_entry_is_used(self, found: dict[str, bytes]) -> None:
        node = OneNode()
        values = tuple(
            StoredValue(REPLICA_PREFIX + name, content, 1) for name, content in found.items()
        )
        node.start(table(1, single_route()), replica("good", "s"), values=values)
        self.assertEqual({"good"}, asked(node, 3))
