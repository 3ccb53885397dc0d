"""How long a configuration counts as proven, for the proof alone and for one node."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.knowledge.configuration_proof import AlwaysProven, TimedProof
from wingquay.forwarding.knowledge.follower_settings import FollowerSettings
from wingquay.forwarding.knowledge.poll_times import poll_times_within
from wingquay.forwarding.knowledge.proof_poll_times import ProofPollMode, proof_poll_times_within
from wingquay.model.failure import Failure
from wingquay.model.routing_table import CallerLimits, RoutingTable
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.ports.machine import ProcessResumed, Start
from wingquay.ports.peer_snapshot import PeerSnapshot
from wingquay.ports.store import (
    StartWatch,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from wingquay.ports.store_update import StoreUpdate

BOUND_SECONDS = 5.0
SERVED_SECONDS = 4.9
TENANTS = TenantDirectory((Tenant("blue", ("key",)),))
POLL_INTERVAL_SECONDS = 4.3


def strict_settings(mode: ProofPollMode = ProofPollMode.SHORT) -> FollowerSettings:
    """Return follower settings with the revocation bound."""
    poll_times = poll_times_within(4.0)
    proof_poll_times = proof_poll_times_within(BOUND_SECONDS, mode, poll_times, 0.8)
    return FollowerSettings(
        poll_interval_seconds=POLL_INTERVAL_SECONDS,
        poll_times=poll_times,
        proof_poll_times=proof_poll_times,
    )


def tenants_table(version: int, tenants: TenantDirectory | None = TENANTS) -> RoutingTable:
    """Return a configuration with tenants."""
    plain = table(version, single_route())
    return RoutingTable(version, plain.routes, plain.services, CallerLimits(), tenants)


def strict_node(
    mode: ProofPollMode = ProofPollMode.SHORT, poll_age_seconds: float | None = 0.01
) -> OneNode:
    """Return a node that has listed the store, by a read that started recently."""
    node = OneNode(follower=strict_settings(mode))
    node.emit(Start())
    begun_at = None if poll_age_seconds is None else node.now - poll_age_seconds
    node.list_store(tenants_table(1), replica("r0", "s"), begun_at=begun_at)
    return node


def answer_poll(node: OneNode, poll_age_seconds: float | None, **fields: bool) -> None:
    """Answer the poll under way; it started ``poll_age_seconds`` ago (``None``: unknown)."""
    begun_at = None if poll_age_seconds is None else node.now - poll_age_seconds
    watch_id = node.last_watch_id
    node.emit(WatchChanged(watch_id, (), (), node.store_revision, begun_at=begun_at, **fields))


def is_proven(node: OneNode) -> bool:
    return node.machine.proof.is_proven(node.now)


class TimedProofTest(TestCase):
    def test_proof_is_valid_until_the_bound_less_the_reserve(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: now + 1.0)
        self.assertFalse(proof.is_proven(100.0))
        proof.extend(100.0, 100.0)
        expected = [(100.0, True), (104.89, True), (104.91, False), (200.0, False)]
        self.assertEqual(expected, [(now, proof.is_proven(now)) for now, _ in expected])

    def test_only_a_later_time_in_the_past_extends_the_proof(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: now + 1.0)
        tried = [(10.0, 10.0), (9.0, 11.0), (12.0, 11.0), (10.5, 11.0)]
        self.assertEqual([True, False, False, True], [proof.extend(*item) for item in tried])
        self.assertEqual(10.5, proof.proven_as_of)

    def test_rejected_caller_retries_when_the_next_answer_may_come(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: 7.0)
        self.assertEqual([2.0, 0.05], [proof.retry_after_seconds(now) for now in (5.0, 8.0)])

    def test_configuration_is_always_proven_without_a_bound(self) -> None:
        proof = AlwaysProven()
        self.assertEqual((True, 0.0), (proof.is_proven(1e9), proof.retry_after_seconds(1e9)))


class ProofPollTimesTest(TestCase):
    def test_failed_poll_is_retried_before_the_bound(self) -> None:
        poll_times = poll_times_within(4.0)
        for bound_seconds in (1.0, 2.0, BOUND_SECONDS, 20.0):
            for mode in ProofPollMode:
                proof_poll_times = proof_poll_times_within(bound_seconds, mode, poll_times, 0.8)
                retry_seconds = proof_poll_times.timeout_seconds + poll_times.first_backoff_seconds
                self.assertTrue(
                    0.0
                    < proof_poll_times.poll_at_age_seconds + retry_seconds
                    < bound_seconds - 0.1,
                    proof_poll_times,
                )
                # Updates of the polling node must arrive before the others poll.
                period = max(
                    proof_poll_times.hold_seconds, proof_poll_times.shared_poll_interval_seconds
                )
                self.assertTrue(
                    proof_poll_times.hold_seconds + period < proof_poll_times.poll_at_age_seconds,
                    proof_poll_times,
                )


class OneNodeTest(TestCase):
    def test_listing_proves_as_of_its_start(self) -> None:
        node = strict_node(poll_age_seconds=1.0)
        self.assertTrue(is_proven(node))
        node.now += SERVED_SECONDS - 1.0 + 0.01
        self.assertFalse(is_proven(node))

    def test_copy_from_a_neighbour_proves_nothing_and_triggers_a_poll(self) -> None:
        node = OneNode(follower=strict_settings())
        node.emit(Start())
        values = (node.stored_table(tenants_table(1)), node.stored(replica("r0", "s")))
        node.emit(PeerSnapshot(values, 1))
        self.assertFalse(is_proven(node))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        node.advance(0.5)
        expected = [{"age_ms": -1, "reason": "no poll answered yet"}]
        self.assertEqual(expected, node.logs("configuration_unproven"))
        answer_poll(node, 0.01)
        self.assertTrue(is_proven(node))
        self.assertEqual([{"unproven_ms": 0}], node.logs("configuration_proven"))

    def test_listing_of_unknown_age_proves_nothing_and_triggers_a_poll(
        self,
    ) -> None:
        node = strict_node(poll_age_seconds=None)
        self.assertFalse(is_proven(node))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)

    def test_long_poll_proves_as_of_its_start(self) -> None:
        node = strict_node(ProofPollMode.HELD)
        node.advance(3.0)
        answer_poll(node, 1.2)
        node.advance(SERVED_SECONDS - 1.3)
        self.assertTrue(is_proven(node))
        node.advance(0.2)
        self.assertFalse(is_proven(node))

    def test_incomplete_answer_proves_nothing(self) -> None:
        node = strict_node()
        node.advance(3.0)
        answer_poll(node, 0.01, may_have_more=True)
        node.advance(2.0)
        self.assertFalse(is_proven(node))

    def test_answer_older_than_updates_still_proves(self) -> None:
        node = strict_node()
        node.advance(3.0)
        behind = WatchChanged(node.last_watch_id, (), (), 0, begun_at=node.now - 0.5)
        node.emit(behind)
        node.advance(4.3)
        self.assertTrue(is_proven(node))

    def test_updates_alone_prove_nothing_and_postpone_no_poll_past_the_deadline(self) -> None:
        node = strict_node()
        for _ in range(40):
            node.advance(0.1)
            update = StoreUpdate(node.store_revision, node.store_revision)
            node.machine._follower.apply_update(update, node.now)
        self.assertTrue(node.machine._follower.next_answer_at(100.0) < 100.0 + 3.2)
        node.advance(1.0)
        self.assertFalse(is_proven(node))

    def test_node_without_updates_polls_often_enough(self) -> None:
        for mode, max_seconds in ((ProofPollMode.SHORT, 3.0), (ProofPollMode.HELD, 1.8)):
            node = strict_node(mode)
            for _ in range(3):
                watch = node.last(StartWatch)
                self.assertTrue(watch.poll_interval_seconds <= max_seconds, watch)
                self.assertTrue(watch.pause_seconds + watch.hold_seconds <= 3.0, watch)
                node.advance(watch.poll_interval_seconds + watch.hold_seconds)
                answer_poll(node, watch.hold_seconds)

    def test_suspension_ages_the_proof(self) -> None:
        node = strict_node()
        node.now += 8.0
        node.emit(ProcessResumed(8.0))
        self.assertFalse(is_proven(node))
        node.advance(0.5)
        expected = [{"age_ms": 8010, "reason": "suspended"}]
        self.assertEqual(expected, node.logs("configuration_unproven"))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        answer_poll(node, 0.01)
        self.assertTrue(is_proven(node))

    def test_answer_read_after_a_suspension_proves_as_of_its_call(self) -> None:
        node = strict_node()
        node.now += 8.0
        answer_poll(node, 7.5)
        self.assertFalse(is_proven(node))


class StoreFailureTest(TestCase):
    """Failures of the store, and how long requests are served."""

    def fail_polls(self, failures: int, failure_seconds: float, mode: ProofPollMode) -> OneNode:
        """Return a node whose polls fail in a row, each after a time."""
        node = strict_node(mode)
        for _ in range(failures):
            watch = node.last(StartWatch)
            node.advance(watch.pause_seconds + min(failure_seconds, watch.timeout_seconds))
            node.emit(WatchBroken(watch.watch_id, "down"))
            node.advance(2.1)
        return node

    def test_one_failed_poll_does_not_end_the_proof(self) -> None:
        for mode in ProofPollMode:
            for failure_seconds in (0.0, 0.05, 9.0):
                node = strict_node(mode)
                watch = node.last(StartWatch)
                node.advance(watch.pause_seconds + min(failure_seconds, watch.timeout_seconds))
                node.emit(WatchBroken(watch.watch_id, "busy"))
                node.advance(0.15)
                node.advance(0.3)
                self.assertTrue(is_proven(node), (mode, failure_seconds))
                answer_poll(node, 0.3)
                node.advance(2.0)
                self.assertTrue(is_proven(node), (mode, failure_seconds))

    def test_store_outage_ends_the_proof_until_the_store_returns(self) -> None:
        for mode in ProofPollMode:
            for failure_seconds in (0.0, 9.0):
                node = self.fail_polls(4, failure_seconds, mode)
                self.assertFalse(is_proven(node), (mode, failure_seconds))
                (lost,) = node.logs("configuration_unproven")
                self.assertEqual("down", lost["reason"])
                self.assertTrue(4900 <= lost["age_ms"] <= 5500, lost)
                answer_poll(node, 0.01)
                self.assertTrue(is_proven(node), (mode, failure_seconds))
                (back,) = node.logs("configuration_proven")
                self.assertTrue(back["unproven_ms"] > 0, back)

    def test_retry_after_of_a_node_started_in_a_store_outage(self) -> None:
        node = OneNode(follower=strict_settings())
        node.emit(Start())
        failure = Failure(StoreFailureKind.UNREACHABLE, "reset")
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, failure))
        self.assertFalse(is_proven(node))
        seconds = node.machine.proof.retry_after_seconds(node.now)
        self.assertAlmostEqual(0.15 + 0.1, seconds)

    def test_retry_after_is_the_time_of_the_next_poll(self) -> None:
        node = self.fail_polls(3, 0.0, ProofPollMode.SHORT)
        node.emit(WatchBroken(node.last_watch_id, "down"))
        pause_seconds = 1.2
        expected = [(0.0, pause_seconds + 0.1), (0.7, 0.6), (0.59, 0.05), (0.1, 1.0 + 0.15 - 0.09)]
        for seconds, retry_after_seconds in expected:
            node.advance(seconds)
            found = node.machine.proof.retry_after_seconds(node.now)
            self.assertAlmostEqual(retry_after_seconds, found, 6)


class WithoutBoundTest(TestCase):
    def watches(self, follower: FollowerSettings, tenants: TenantDirectory | None) -> list[object]:
        node = OneNode(follower=follower)
        node.emit(Start())
        node.list_store(tenants_table(1, tenants), replica("r0", "s"), begun_at=node.now - 0.01)
        for _ in range(4):
            watch = node.last(StartWatch)
            node.advance(watch.poll_interval_seconds + watch.hold_seconds)
            answer_poll(node, watch.hold_seconds)
        node.emit(WatchBroken(node.last_watch_id, "down"))
        node.advance(5.0)
        return [item for item in node.actions if isinstance(item, StartWatch)]

    def test_polls_are_unchanged_without_tenants_or_bound(self) -> None:
        plain = FollowerSettings(
            poll_interval_seconds=POLL_INTERVAL_SECONDS, poll_times=poll_times_within(4.0)
        )
        for mode in ProofPollMode:
            before = self.watches(plain, None)
            self.assertEqual(before, self.watches(plain, TENANTS))
            self.assertEqual(before, self.watches(strict_settings(mode), None))
            self.assertNotEqual(before, self.watches(strict_settings(mode), TENANTS))
