"""Query path on a virtual clock: complete and partial answers, one snapshot, failover."""

from testtools import TestCase

from tests.query.small_tier import SmallTier
from wingquay.model.answer import MissingReason, Outcome
from wingquay.model.identifiers import SnapshotVersion
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.internal import LeavingStarted


class SmallTierTest(TestCase):
    """Requests to two nodes that share the ownership of four shards."""

    def setUp(self) -> None:
        """Start the tier and wait until health pages are read."""
        super().setUp()
        self.tier = SmallTier(NodeMachineSettings())
        self.tier.run_until(2.0)

    def send_request_and_wait(self, node_id: str, request_id: str) -> None:
        self.tier.send_request(node_id, request_id)
        self.tier.run_until(self.tier.now + 1.5)

    def test_both_nodes_return_complete_answers(self) -> None:
        for node_id in ("n0", "n1"):
            self.send_request_and_wait(node_id, f"q-{node_id}")
            answer = self.tier.answers[f"q-{node_id}"]
            self.assertEqual(Outcome.COMPLETE, answer.outcome)
            rows = [(row.key, row.value) for row in answer.rows]
            self.assertEqual(self.tier.true_rows(1), rows)
            self.assertEqual(1, self.tier.answer_counts[f"q-{node_id}"])

    def test_an_unreachable_replica_is_replaced_by_the_other(self) -> None:
        self.tier.unreachable.add("s1r0")
        self.send_request_and_wait("n0", "q")
        self.assertEqual(Outcome.COMPLETE, self.tier.answers["q"].outcome)

    def test_an_unreachable_shard_is_reported_as_missing(self) -> None:
        self.tier.unreachable.update({"s1r0", "s1r1"})
        self.send_request_and_wait("n0", "q")
        answer = self.tier.answers["q"]
        self.assertEqual(Outcome.PARTIAL, answer.outcome)
        shard = self.tier.configuration.services[0].shards[1]
        self.assertEqual([shard.key_range], [part.key_range for part in answer.missing])
        self.assertEqual(MissingReason.NO_REPLICA, answer.missing[0].reason)

    def test_versions_are_not_mixed_while_shards_hold_different_ones(self) -> None:
        for replica_id, backend in self.tier.backends.items():
            if replica_id.startswith(("s0", "s1")):
                backend.install_version(SnapshotVersion(2), self.tier.now)
                backend.drop_version(SnapshotVersion(1), self.tier.now)
        self.send_request_and_wait("n0", "q")
        answer = self.tier.answers["q"]
        self.assertEqual(Outcome.PARTIAL, answer.outcome)
        versions = {row.value.rpartition("@")[2] for row in answer.rows}
        self.assertEqual({str(answer.snapshot)}, versions)

    def test_a_replanned_query_uses_the_version_held_by_all_replicas(self) -> None:
        for backend in self.tier.backends.values():
            backend.install_version(SnapshotVersion(2), self.tier.now)
            backend.drop_version(SnapshotVersion(1), self.tier.now)
        self.send_request_and_wait("n0", "q")
        answer = self.tier.answers["q"]
        self.assertEqual(Outcome.COMPLETE, answer.outcome)
        self.assertEqual(2, answer.snapshot)

    def test_a_stopping_owner_rejects_new_sub_requests_at_once(self) -> None:
        self.tier.deliver("n1", LeavingStarted())
        sent_at = self.tier.now
        self.send_request_and_wait("n0", "q")
        self.assertEqual(Outcome.COMPLETE, self.tier.answers["q"].outcome)
        silence = NodeMachineSettings().query.owner_silence_seconds
        self.assertLess(self.tier.answered_at["q"] - sent_at, silence)
        self.assertEqual(0, self.tier.nodes["n1"].in_flight())

    def test_sub_requests_of_a_silent_owner_fail_over(self) -> None:
        self.tier.crashed_nodes.add("n1")
        self.send_request_and_wait("n0", "q")
        self.assertEqual(Outcome.COMPLETE, self.tier.answers["q"].outcome)
        self.assertLess(self.tier.answered_at["q"], 2.5)
