"""The store comes back from an older copy: what a node goes by, reads again and writes again."""

from testtools import TestCase

from tests.forwarding.linked_nodes import join
from tests.forwarding.one_node import (
    CLUSTER_KEY,
    EVACUATION_PREFIX,
    HELD_PREFIX,
    NODE_PREFIX,
    REPLICA_PREFIX,
    OneNode,
    replica,
    single_route,
    table,
)
from wingquay.adapters.held_record import held_value
from wingquay.adapters.node_record import node_value
from wingquay.forwarding.crashing.suspects import SuspicionLevel
from wingquay.forwarding.knowledge.proof_manager import WRITTEN_AGAIN_SECONDS, ProofManager
from wingquay.forwarding.knowledge.proof_poll_times import proof_poll_times_within
from wingquay.forwarding.store_contents import RESTORED_GRACE_SECONDS
from wingquay.model.store_version import StoreVersion
from wingquay.ports.crash_messages import HeldRequest
from wingquay.ports.forwarding import OpaqueRequest, ReplyFailure
from wingquay.ports.machine import Action, Count
from wingquay.ports.peer_link import (
    NodeIdentity,
    NodeRecord,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from wingquay.ports.proof_messages import ProofReply, ProofRequest
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    LeaseState,
    Read,
    ReadResult,
    StartWatch,
    StopWatch,
    StoredValue,
    StoreRequest,
    StoreResponse,
    StoreRestored,
    SwapResult,
    WatchChanged,
)
from wingquay.ports.store_update import StoreUpdate

FIRST = NodeIdentity("node-0-a", "", "a", "node-0", 7)
OWN = NodeIdentity("node-1-a", "", "a", "node-1", 7)
LAST = NodeIdentity("node-2-a", "", "a", "node-2", 7)
TABLE = table(3, single_route())
RECORDS = (replica("r0", "s"), replica("r1", "s"))
ERA = 1
RANK_SECONDS = 0.04
"""Delay of the polls of the second node of a group, compared with the first."""
COPY_REVISION = 2
"""Revision to which the store has gone back."""


def version(revision: int = 0, era: int = ERA) -> StoreVersion:
    return StoreVersion.of(era, revision)


def started(*others: NodeIdentity, values: tuple[StoredValue, ...] = ()) -> OneNode:
    """Return a node whose store has served it for a while, at revision 40."""
    node = OneNode()
    node.start(TABLE, *RECORDS, values=values)
    node.emit(PeerLinkOpened(OWN))
    node.store_revision = 39
    join(node, *others)
    node.advance(5.0)
    return node


def restore(node: OneNode) -> int:
    """Let the store come back; return the number of actions before that."""
    before = len(node.actions)
    node.emit(StoreRestored(version()))
    node.store_revision = version(COPY_REVISION)
    return before


def listing(node: OneNode, *values: StoredValue, revision: int = COPY_REVISION) -> None:
    """Answer the last read with the contents of the restored store."""
    request = last_read(node)
    result = ReadResult(tuple(values), version(revision), node.now)
    node.emit(StoreResponse(request.operation_id, result))


def last_read(node: OneNode) -> StoreRequest:
    requests = [action for action in node.actions if isinstance(action, StoreRequest)]
    return next(item for item in reversed(requests) if isinstance(item.operation, Read))


def contents(node: OneNode) -> list[StoredValue]:
    """Return the configuration and the records of both replicas as the store shows them."""
    node.store_revision = version(COPY_REVISION)
    return [node.stored_table(TABLE), *(node.stored(record) for record in RECORDS)]


def reads(node: OneNode, since: int) -> int:
    return sum(
        isinstance(action, StoreRequest) and action.operation_id.startswith("follow-")
        for action in node.actions[since:]
    )


def sent_listings(node: OneNode) -> list[StoreUpdate]:
    return [
        action.message
        for action in node.actions
        if isinstance(action, SendToPeer)
        and isinstance(action.message, StoreUpdate)
        and action.message.is_listing
    ]


def replicas_asked(node: OneNode) -> set[str]:
    """Return the replicas that get a request now."""
    before = len(node.all_sends)
    node.request()
    return {send.replica.replica_id for send in node.all_sends[before:]}


class ReadingAgainTest(TestCase):
    def test_the_first_node_reads_the_store_at_once_and_sends_the_listing_to_the_others(
        self,
    ) -> None:
        node = started(LAST)
        before = restore(node)
        self.assertEqual(1, reads(node, before))
        self.assertTrue(any(isinstance(item, StopWatch) for item in node.actions[before:]))
        values = contents(node)
        listing(node, *values)
        expected = StoreUpdate(version(), version(COPY_REVISION), tuple(values), is_listing=True)
        self.assertEqual([expected], sent_listings(node))
        self.assertEqual(version(COPY_REVISION), node.last(StartWatch).from_store_revision)

    def test_the_others_wait_for_that_listing_and_do_not_read(self) -> None:
        node = started(FIRST)
        before = restore(node)
        node.advance(0.2)
        update = StoreUpdate(
            version(), version(COPY_REVISION), tuple(contents(node)), is_listing=True
        )
        node.emit(PeerReceived(FIRST, update))
        node.advance(1.0)
        self.assertEqual(0, reads(node, before))
        self.assertEqual(version(COPY_REVISION), node.last(StartWatch).from_store_revision)
        self.assertEqual([], sent_listings(node))

    def test_a_late_listing_of_another_node_does_not_postpone_the_next_poll(self) -> None:
        # Guards against nodes that count the age of a listing from its arrival.
        for late_seconds in (0.1, 0.35):
            node = started(FIRST)
            node.change()
            node.send_proof(FIRST, 0.0, revision=40)
            proven_at = node.now
            restore(node)
            node.advance(late_seconds)
            update = StoreUpdate(
                version(), version(COPY_REVISION), tuple(contents(node)), is_listing=True
            )
            node.emit(PeerReceived(FIRST, update))
            interval_seconds = node.last(StartWatch).poll_interval_seconds + RANK_SECONDS
            expected = proven_at + interval_seconds - node.now
            self.assertAlmostEqual(expected, node.last(StartWatch).pause_seconds)

    def test_the_first_node_does_not_read_what_another_one_has_listed(self) -> None:
        node = started(LAST)
        before = len(node.actions)
        update = StoreUpdate(
            version(), version(COPY_REVISION), tuple(contents(node)), is_listing=True
        )
        node.emit(PeerReceived(LAST, update))
        node.advance(0.7)
        self.assertEqual(0, reads(node, before))
        self.assertEqual(version(COPY_REVISION), node.machine._follower.known_revision)
        self.assertEqual(1, len(node.logs("store_restored")))

    def test_without_that_listing_they_read_the_store_themselves(self) -> None:
        node = started(FIRST)
        before = restore(node)
        node.advance(0.3)
        self.assertEqual(0, reads(node, before))
        node.advance(0.5)
        self.assertEqual(1, reads(node, before))

    def test_a_listing_that_arrives_later_is_ignored(self) -> None:
        node = started(FIRST)
        restore(node)
        node.advance(1.0)
        listing(node, *contents(node), revision=COPY_REVISION + 3)
        update = StoreUpdate(version(), version(COPY_REVISION), (), is_listing=True)
        node.emit(PeerReceived(FIRST, update))
        self.assertEqual(version(COPY_REVISION + 3), node.machine._follower.known_revision)
        self.assertEqual({"r0", "r1"}, replicas_asked(node) | replicas_asked(node))

    def test_an_answer_of_the_earlier_era_is_ignored(self) -> None:
        node = started()
        watch_id = node.last_watch_id
        restore(node)
        gone = tuple(REPLICA_PREFIX + record.replica_id for record in RECORDS)
        node.emit(WatchChanged(watch_id, (), gone, 41))
        self.assertNotEqual(set(), replicas_asked(node))

    def test_the_same_era_is_handled_once(self) -> None:
        node = started()
        before = restore(node)
        listing(node, *contents(node))
        node.emit(StoreRestored(version()))
        self.assertEqual(1, reads(node, before))
        self.assertEqual(1, len(node.logs("store_restored")))
        counted = [item for item in node.actions if isinstance(item, Count)]
        self.assertEqual(1, sum(item.name == "store_restorations_total" for item in counted))

    def test_another_restoration_before_the_listing_begins_anew(self) -> None:
        node = started()
        before = restore(node)
        stale_request = last_read(node)
        node.emit(StoreRestored(version(era=ERA + 1)))
        result = ReadResult((), version(COPY_REVISION), node.now)
        node.emit(StoreResponse(stale_request.operation_id, result))
        self.assertEqual(2, reads(node, before))
        self.assertNotEqual(set(), replicas_asked(node))


class UpdatesOfTwoErasTest(TestCase):
    def test_an_update_of_an_earlier_era_loses_whatever_its_revision(self) -> None:
        node = started(FIRST)
        restore(node)
        node.advance(1.0)
        listing(node, *contents(node))
        gone = (REPLICA_PREFIX + "r0", REPLICA_PREFIX + "r1")
        node.emit(PeerReceived(FIRST, StoreUpdate(40, 9000, (), gone)))
        self.assertNotEqual(set(), replicas_asked(node))
        self.assertEqual(version(COPY_REVISION), node.machine._follower.known_revision)

    def test_an_update_from_one_era_to_another_is_not_joined(self) -> None:
        node = started(FIRST)
        restore(node)
        node.advance(1.0)
        listing(node, *contents(node))
        gone = (REPLICA_PREFIX + "r0", REPLICA_PREFIX + "r1")
        later = version(9, ERA + 1)
        node.emit(PeerReceived(FIRST, StoreUpdate(version(COPY_REVISION), later, (), gone)))
        self.assertNotEqual(set(), replicas_asked(node))

    def test_an_update_of_a_later_era_tells_of_the_restoration(self) -> None:
        node = started(FIRST)
        before = len(node.actions)
        node.emit(PeerReceived(FIRST, StoreUpdate(version(3), version(4))))
        (line,) = node.logs("store_restored")
        self.assertEqual(
            (ERA, 0, FIRST.node_id), (line["era"], line["previous_era"], line["source"])
        )
        node.advance(1.0)
        self.assertEqual(1, reads(node, before))

    def test_a_node_that_starts_takes_the_era_it_finds(self) -> None:
        node = OneNode()
        node.store_revision = version(COPY_REVISION)
        node.start(TABLE, *RECORDS)
        node.emit(PeerLinkOpened(OWN))
        join(node, FIRST)
        node.emit(PeerReceived(FIRST, StoreUpdate(version(2), version(3))))
        self.assertEqual([], node.logs("store_restored"))


class ConfigurationTest(TestCase):
    def test_an_older_configuration_does_not_come_back_into_force(self) -> None:
        node = started()
        restore(node)
        listing(node, node.stored_table(table(2, single_route("/other/"))), *contents(node)[1:])
        self.assertEqual(3, node.machine.configuration_version)
        number = node.request("/one/x")
        self.assertNotIn(number, node.replies)

    def test_a_configuration_that_the_store_lost_stays_in_force(self) -> None:
        node = started()
        restore(node)
        listing(node, *contents(node)[1:])
        self.assertEqual(3, node.machine.configuration_version)


class ReplicaEntriesTest(TestCase):
    def test_entries_that_are_missing_follow_the_rule_for_outages(self) -> None:
        node = started()
        restore(node)
        listing(node, *contents(node)[:1])
        node.advance(2.0)
        self.assertNotEqual(set(), replicas_asked(node))
        node.advance(1.2)
        self.assertEqual(set(), replicas_asked(node))

    def test_a_replica_that_drains_gets_nothing_although_the_copy_says_ready(self) -> None:
        node = started()
        node.change(replica("r0", "s", is_draining=True))
        restore(node)
        listing(node, *contents(node))
        self.assertEqual({"r1"}, replicas_asked(node) | replicas_asked(node))

    def test_a_replica_that_is_gone_gets_nothing_although_the_copy_has_it(self) -> None:
        node = started()
        node.change(gone=("r0",))
        node.advance(5.0)
        restore(node)
        listing(node, *contents(node))
        self.assertEqual({"r1"}, replicas_asked(node) | replicas_asked(node))

    def test_it_gets_requests_again_once_it_has_written_its_entry_again(self) -> None:
        node = started()
        node.change(gone=("r0",))
        node.advance(5.0)
        restore(node)
        listing(node, *contents(node))
        node.change(replica("r0", "s"), gone=("r1",))
        self.assertEqual({"r0"}, replicas_asked(node))

    def test_a_new_start_under_the_same_id_is_not_the_one_that_is_gone(self) -> None:
        node = started()
        node.change(gone=("r0", "r1"))
        node.advance(5.0)
        restore(node)
        again = replica("r0", "s", born=1_700_000_000_000)
        listing(node, *contents(node)[:1], node.stored(again))
        self.assertEqual({"r0"}, replicas_asked(node))


class NodeEntriesTest(TestCase):
    def lease_requests(self, node: OneNode, since: int) -> list[StoreRequest]:
        return [
            action
            for action in node.actions[since:]
            if isinstance(action, StoreRequest) and isinstance(action.operation, GrantLease)
        ]

    def listed(self) -> OneNode:
        """Return a node that has written its entry."""
        node = started()
        (request,) = self.lease_requests(node, 0)
        node.emit(StoreResponse(request.operation_id, LeaseState(7, 36.0)))
        node.advance(0.1)
        write = node.last(StoreRequest)
        assert isinstance(write.operation, CompareAndSwap)
        node.emit(StoreResponse(write.operation_id, SwapResult(True, 41)))
        self.assertTrue(node.machine._members.is_listed(node.now))
        return node

    def test_the_own_entry_is_written_again_within_a_second_under_a_new_lease(self) -> None:
        node = self.listed()
        before = restore(node)
        self.assertFalse(node.machine._members.is_listed(node.now))
        listing(node, *contents(node))
        node.advance(1.0)
        (request,) = self.lease_requests(node, before)
        node.emit(StoreResponse(request.operation_id, LeaseState(1, 36.0)))
        node.advance(0.1)
        write = node.last(StoreRequest).operation
        assert isinstance(write, CompareAndSwap)
        self.assertEqual((0, 1), (write.expected_modified_at, write.lease_id))

    def test_an_answer_about_the_earlier_lease_changes_nothing(self) -> None:
        node = self.listed()
        node.advance(18.0)
        renewal = node.last(StoreRequest)
        restore(node)
        node.emit(StoreResponse(renewal.operation_id, LeaseState(7, 36.0)))
        self.assertFalse(node.machine._members.is_listed(node.now))

    def test_an_entry_that_the_copy_still_has_is_replaced(self) -> None:
        node = self.listed()
        restore(node)
        value = node_value(NodeRecord(OWN, 0.5))
        kept = StoredValue(NODE_PREFIX + "node-1", value, version(1), lease_id=3)
        listing(node, *contents(node), kept)
        node.advance(1.0)
        request = node.last(StoreRequest)
        node.emit(StoreResponse(request.operation_id, LeaseState(1, 36.0)))
        node.advance(0.1)
        write = node.last(StoreRequest).operation
        assert isinstance(write, CompareAndSwap)
        self.assertEqual(version(1), write.expected_modified_at)

    def test_nodes_that_are_missing_stay_for_as_long_as_they_may_write_again(self) -> None:
        node = started(FIRST, LAST)
        groups = node.machine._members.groups
        restore(node)
        node.advance(0.5)
        listing(node, *contents(node))
        node.advance(RESTORED_GRACE_SECONDS - 0.1)
        self.assertEqual(3, groups.node_count)
        join(node, LAST)
        node.advance(0.2)
        self.assertEqual({"node-1", "node-2"}, {item.name for item in groups.all_nodes})

    def test_the_first_node_writes_the_cluster_key_again(self) -> None:
        secret = StoredValue(CLUSTER_KEY, b"secret-of-sixteen", 1)
        node = started(LAST, values=(secret,))
        before = restore(node)
        listing(node, *contents(node))
        writes = self.cluster_key_writes(node.actions[before:])
        self.assertEqual([CompareAndSwap(CLUSTER_KEY, 0, b"secret-of-sixteen")], writes)

    def test_nobody_writes_it_while_it_is_there(self) -> None:
        secret = StoredValue(CLUSTER_KEY, b"secret-of-sixteen", 1)
        node = started(LAST, values=(secret,))
        before = restore(node)
        listing(node, *contents(node), secret)
        self.assertEqual([], self.cluster_key_writes(node.actions[before:]))

    def cluster_key_writes(self, actions: list[Action]) -> list[CompareAndSwap]:
        operations = [item.operation for item in actions if isinstance(item, StoreRequest)]
        return [
            item
            for item in operations
            if isinstance(item, CompareAndSwap) and item.key == CLUSTER_KEY
        ]


class OtherKeysTest(TestCase):
    def test_a_request_that_is_held_stays_held(self) -> None:
        request = OpaqueRequest(b"GET", b"/one/x", ())
        node = started()
        identity = self.identity(node)
        key = StoredValue(
            HELD_PREFIX + identity, held_value(HeldRequest(300.0, "/one/x", "caller", "other")), 41
        )
        node.change(values=(key,))
        self.assertIs(SuspicionLevel.HELD, node.machine.suspicion_level(request, node.now))
        before = restore(node)
        listing(node, *contents(node))
        self.assertIs(SuspicionLevel.HELD, node.machine.suspicion_level(request, node.now))
        number = node.request("/one/x")
        self.assertIsInstance(node.replies[number], ReplyFailure)
        written = [
            action.operation_id
            for action in node.actions[before:]
            if isinstance(action, StoreRequest) and action.operation_id.endswith(identity)
        ]
        self.assertEqual(1, len(written))

    def identity(self, node: OneNode) -> str:
        node.request("/one/x")
        exchange = next(iter(node.machine._forwarding._settlement._exchanges.values()))
        return exchange.identity.hex()

    def test_an_evacuated_zone_stays_so_for_as_long_as_the_operator_may_write_again(self) -> None:
        evacuated = StoredValue(EVACUATION_PREFIX + "a", b"{}", 41)
        for is_written_again in (True, False):
            node = started()
            node.change(values=(evacuated,))
            restore(node)
            listing(node, *contents(node))
            node.advance(RESTORED_GRACE_SECONDS - 0.1)
            self.assertEqual(frozenset("a"), node.machine._directory.evacuated_zones)
            if is_written_again:
                node.change(values=(evacuated,))
            node.advance(0.2)
            self.assertEqual(is_written_again, "a" in node.machine._directory.evacuated_zones)


class ProofTest(TestCase):
    BOUND_SECONDS = 5.0
    OTHER = NodeIdentity("node-2-a", "", "a", "node-2", 7)

    def manager(self) -> ProofManager:
        look = OneNode().machine._follower._settings.poll_times
        times = proof_poll_times_within(self.BOUND_SECONDS, "short", look, 0.8)
        return ProofManager(times, lambda: 0.0, lambda now: now + 1.0)

    def proven_as_of(self, manager: ProofManager) -> float:
        assert manager._timed is not None
        return manager._timed.proven_as_of

    def test_a_poll_proves_nothing_before_writers_have_written_again(self) -> None:
        manager = self.manager()
        manager.handle_poll_answer(99.0, 40, 99.1)
        manager.on_restored(100.0)
        manager.handle_poll_answer(101.0, version(3), 101.1)
        self.assertEqual(99.0, self.proven_as_of(manager))
        begun_at = 100.0 + WRITTEN_AGAIN_SECONDS
        manager.handle_poll_answer(begun_at, version(4), begun_at + 0.1)
        self.assertEqual(begun_at, self.proven_as_of(manager))

    def test_a_proof_from_before_is_not_told_to_others(self) -> None:
        manager = self.manager()
        manager.handle_poll_answer(99.0, 40, 99.1)
        self.assertEqual(1, len(manager.handle_request(self.OTHER, ProofRequest(1), 40, 99.2)))
        manager.on_restored(100.0)
        answers = manager.handle_request(self.OTHER, ProofRequest(2), version(3), 100.1)
        self.assertEqual([], answers)

    def test_a_proof_of_another_era_proves_nothing(self) -> None:
        manager = self.manager()
        manager._sent._sent_at[1] = 99.0
        proof = ProofReply(1, 0.5, 40)
        manager.handle_proof(self.OTHER, proof, version(3), 99.6)
        self.assertEqual(float("-inf"), self.proven_as_of(manager))
        manager.handle_proof(self.OTHER, proof, 41, 99.6)
        self.assertEqual(99.5, self.proven_as_of(manager))
