"""Late, duplicated and reordered messages must not undo a grant, an outcome or a handover."""

import random

from testtools import TestCase

from tests.claims.claims_cluster import DEPLOYMENT, ClaimsCluster, quick_settings
from wingquay.claims.assignment import AssignmentStatus, LocalAssignments
from wingquay.claims.directory import AssignmentDirectory
from wingquay.claims.keys import claim_key, partition_of, request_digest
from wingquay.claims.memory import MemoryUsage, PartitionMemory
from wingquay.claims.transfers import TableTransfers
from wingquay.claims.voter import Voter
from wingquay.model.identifiers import CallerName, NodeId, RequestId, ServiceName, ZoneName
from wingquay.ports.internal import ClaimDecisionKind
from wingquay.ports.peer import NodeIdentity, PeerMessage, SendToPeer
from wingquay.ports.peer_claims import (
    ClaimOutcome,
    ClaimRecord,
    ClaimRequest,
    ClaimTable,
    ClaimTableRequest,
    ClaimVote,
    VoteKind,
)

KEY_DIGEST = "00" * 16
ZONES = (ZoneName("z0"),)
FIRST, SECOND = RequestId("first"), RequestId("second")


def partition(key: str) -> int:
    return partition_of(claim_key(CallerName("surveyor"), ServiceName("survey-intake"), key))


def request(request_id: RequestId, round_number: int = 1) -> ClaimRequest:
    return ClaimRequest(KEY_DIGEST, "digest", request_id, round_number, ZONES)


def release(request_id: RequestId, round_number: int) -> ClaimOutcome:
    return ClaimOutcome(KEY_DIGEST, "digest", request_id, round_number, None)


def voting_voter() -> Voter:
    identity = NodeIdentity(NodeId("n0"), DEPLOYMENT, ZONES[0], "127.0.0.1", 7000)
    assignments = LocalAssignments(quick_settings(), identity)
    assignment = assignments.by_partition[partition_of(KEY_DIGEST)]
    assignments.enter_epoch(assignment, 1, ZONES)
    assignments.start_voting(assignment)
    assignment.confirmed_at = 0.0
    return Voter(assignments)


class Voters(TestCase):
    def test_a_late_release_does_not_undo_a_later_round(self) -> None:
        voter = voting_voter()
        self.assertEqual(VoteKind.GRANTED, voter.vote(request(FIRST, 2), 0.0).vote)
        voter.record_outcome(release(FIRST, 1), 0.0)
        self.assertEqual(VoteKind.ALREADY_CLAIMED, voter.vote(request(SECOND), 0.0).vote)
        voter.record_outcome(release(FIRST, 2), 0.0)
        self.assertEqual(VoteKind.GRANTED, voter.vote(request(SECOND), 0.0).vote)

    def test_a_release_does_not_undo_an_outcome(self) -> None:
        voter = voting_voter()
        voter.vote(request(FIRST), 0.0)
        voter.record_outcome(ClaimOutcome(KEY_DIGEST, "digest", FIRST, 1, b"done"), 0.0)
        voter.record_outcome(release(FIRST, 1), 0.0)
        self.assertEqual(b"done", voter.vote(request(SECOND), 0.0).outcome)

    def test_tables_that_name_different_submissions_keep_both(self) -> None:
        memory = PartitionMemory(quick_settings(), MemoryUsage())
        for request_id in (FIRST, SECOND, FIRST):
            memory.merge(ClaimRecord(KEY_DIGEST, request_id, "digest", 1, None, 1.0), now=5.0)
        stored = {entry.request_id for entry in memory.submissions(KEY_DIGEST, 5.0)}
        self.assertEqual({FIRST, SECOND}, stored)
        self.assertEqual(2, len(memory.records(5.0)))
        memory.expire(1000.0)
        self.assertEqual(0, len(memory))


class Rebuilding(TestCase):
    def test_a_table_requested_in_an_earlier_epoch_does_not_count(self) -> None:
        """The sender of such a table still votes without having received the later epoch."""
        zones = (ZoneName("z0"), ZoneName("z1"))
        here, there = (
            NodeIdentity(NodeId(zone), DEPLOYMENT, zone, "127.0.0.1", 7000) for zone in zones
        )
        assignments = LocalAssignments(quick_settings(), here)
        directory = AssignmentDirectory()
        directory.update((here, there), ())
        transfers = TableTransfers(quick_settings(), assignments, directory)
        assignment = assignments.by_partition[0]

        def request_in(epoch: int) -> ClaimTableRequest:
            assignments.enter_epoch(assignment, epoch, zones)
            assignment.schedule_table_requests(0.0, 1.0)
            (sent,) = transfers.tick(0.0)
            assert isinstance(sent, SendToPeer)
            assert isinstance(sent.message, ClaimTableRequest)
            return sent.message

        first, second = request_in(2), request_in(4)
        for request, expected in (
            (first, AssignmentStatus.REBUILDING),
            (second, AssignmentStatus.VOTING),
        ):
            transfer_id = request.transfer_id
            table = ClaimTable(0, transfer_id, True, False, 1, (), 0.0, "table", ())
            transfers.handle_table(there, table, 0.0)
            self.assertIs(expected, assignment.status)


class Delays(TestCase):
    def test_a_vote_of_an_earlier_round_does_not_count(self) -> None:
        """Its grant was released, so a rival may have been granted by the time the vote arrives."""
        cluster = ClaimsCluster(2, 1)
        cluster.settle()
        submitter, other = cluster.running()
        cluster.cut_off({other.identity.node_id})
        submission = cluster.submit(submitter, "k0")
        request_id = submission.request.request_id
        key = claim_key(CallerName("surveyor"), ServiceName("survey-intake"), "k0")
        digest = request_digest(submission.request)
        smaller_id = RequestId("0")
        claimed = VoteKind.ALREADY_CLAIMED
        cluster.receive(
            other, submitter, ClaimVote(key, request_id, 1, claimed, 1, smaller_id, digest)
        )
        cluster.receive(other, submitter, ClaimVote(key, request_id, 1, VoteKind.GRANTED, 1))
        cluster.advance(3.0)
        self.assertEqual(ClaimDecisionKind.IN_PROGRESS, submission.decision)

    def test_a_late_copy_of_an_assignment_is_ignored(self) -> None:
        """The assignment moves from n0 to n1 to n2; then n0's first copy reaches n1."""
        cluster = ClaimsCluster(1, 1)
        cluster.settle()
        held: list[PeerMessage] = []

        def delay(message: PeerMessage) -> float | None:
            is_assignment = isinstance(message, ClaimTable) and message.handed_over
            if not is_assignment or message.partition in {entry.partition for entry in held}:
                return None
            held.append(message)
            return 20.0

        cluster.delay_rule = delay
        middle = cluster.start_node(cluster.zones[0])
        cluster.send_membership()
        cluster.advance(4.0)
        key = self._key_held_by(cluster, middle.identity.node_id)
        cluster.submit(middle, key)
        cluster.advance(2.0)
        cluster.delay_rule = None
        last = cluster.start_node(cluster.zones[0])
        cluster.send_membership()
        cluster.advance(20.0)
        cluster.send_view(middle, {last.identity.node_id})
        cluster.submit(middle, key)
        cluster.advance(3.0)
        self.assertEqual([], cluster.violations)

    def _key_held_by(self, cluster: ClaimsCluster, node_id: NodeId) -> str:
        """Return a key whose assignment the node holds now and the next started node will hold."""
        source = random.Random(0)
        spare = ClaimsCluster(1, 3)
        while True:
            key = f"k{source.randrange(10**6)}"
            number = partition(key)
            now = cluster.running()[0].machine.designated_holder(cluster.zones[0], number)
            later = spare.running()[0].machine.designated_holder(cluster.zones[0], number)
            if now is not None and later is not None:
                if (now.node_id, later.node_id) == (node_id, "n2"):
                    return key
