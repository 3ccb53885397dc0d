"""Unreadable replica entries are logged and don't affect the other replicas."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.forwarding.one_node import REPLICA_PREFIX, OneNode, replica, single_route, table
from wingquay.forwarding.log_throttle import OTHER_LINES_PER_SECOND
from wingquay.ports.store import StoredValue


def chosen_replicas(node: OneNode, requests: int = 12) -> set[str]:
    """Return the replicas to which a few requests are sent."""
    before = len(node.all_sends)
    for _ in range(requests):
        node.request()
        for send in list(node.sends):
            node.answer(send)
    return {send.replica.replica_id for send in node.all_sends[before:]}


def bad_entry(node: OneNode, replica_id: str, content: bytes = b"?") -> StoredValue:
    return StoredValue(REPLICA_PREFIX + replica_id, content, node.store_revision)


class UnreadableEntriesTest(TestCase):
    def test_listing_with_unreadable_entries_keeps_the_others(self) -> None:
        node = OneNode()
        records = (replica("r0", "s"), replica("r1", "s"))
        node.start(
            table(1, single_route()),
            *records,
            values=(bad_entry(node, "r2"), bad_entry(node, "r3")),
        )
        self.assertEqual({"r0", "r1"}, chosen_replicas(node))
        self.assertEqual(
            [
                {"key": "replicas/r2", "reason": "test"},
                {"key": "replicas/r3", "reason": "test"},
            ],
            node.logs("replica_record_unreadable"),
        )

    def test_log_lines_about_unreadable_entries_are_limited(self) -> None:
        node = OneNode()
        values = tuple(bad_entry(node, f"b{number}") for number in range(500))
        node.start(table(1, single_route()), replica("r0", "s"), values=values)
        self.assertEqual(OTHER_LINES_PER_SECOND, len(node.logs("replica_record_unreadable")))
        self.assertEqual({"r0"}, chosen_replicas(node))

    def test_entry_that_becomes_unreadable_counts_as_gone(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"), replica("r1", "s"))
        node.change(values=(bad_entry(node, "r0"),))
        self.assertEqual({"r1"}, chosen_replicas(node))
        node.change(replica("r0", "s"))
        self.assertEqual({"r0", "r1"}, chosen_replicas(node))

    def test_last_replica_is_used_during_the_grace_period_only(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        node.change(values=(bad_entry(node, "r0"),))
        self.assertEqual({"r0"}, chosen_replicas(node))
        node.advance(1.1)
        self.assertEqual(set(), chosen_replicas(node))

    def test_rewritten_unreadable_entry_does_not_extend_the_grace_period(self) -> None:
        node = OneNode()
        node.start(table(1, single_route()), replica("r0", "s"))
        for number in range(4):
            node.change(values=(bad_entry(node, "r0", b"%d" % number),))
            node.advance(0.3)
        self.assertEqual(set(), chosen_replicas(node))

    @given(st.dictionaries(st.text(max_size=5), st.binary(max_size=8), max_size=8))
    def test_readable_entry_is_used_beside_any_others(self, found: dict[str, bytes]) -> None:
        node = OneNode()
        values = tuple(
            StoredValue(REPLICA_PREFIX + name, content, 1) for name, content in found.items()
        )
        node.start(table(1, single_route()), replica("good", "s"), values=values)
        self.assertEqual({"good"}, chosen_replicas(node, 3))
