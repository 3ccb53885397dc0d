"""Until when a configuration is proven: the decision alone, and one node in each trouble."""

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
USUAL_GATHER_SECONDS = 4.3


def strict(way: ProofPollMode = ProofPollMode.SHORT) -> FollowerSettings:
    """Return how a node follows the store under the strict bound."""
    look = poll_times_within(4.0)
    looks = proof_poll_times_within(BOUND_SECONDS, way, look, 0.8)
    return FollowerSettings(
        poll_interval_seconds=USUAL_GATHER_SECONDS, poll_times=look, proof_poll_times=looks
    )


def tenants_table(version: int, tenants: TenantDirectory | None = TENANTS) -> RoutingTable:
    """Return a configuration with tenants."""
    plain = table(version, single_route())
    return RoutingTable(version, plain.routes, plain.services, CallerLimits(), tenants)


def strict_node(
    way: ProofPollMode = ProofPollMode.SHORT, begun_ago: float | None = 0.01
) -> OneNode:
    """Return a node that has just listed the store by a read that was begun a moment ago."""
    node = OneNode(follower=strict(way))
    node.emit(Start())
    begun_at = None if begun_ago is None else node.now - begun_ago
    node.list_store(tenants_table(1), replica("r0", "s"), begun_at=begun_at)
    return node


def answer(node: OneNode, begun_ago: float | None, **fields: bool) -> None:
    """Let the store answer the look under way, begun so long ago."""
    begun_at = None if begun_ago is None else node.now - begun_ago
    watch_id = node.last_watch_id
    node.emit(WatchChanged(watch_id, (), (), node.store_revision, begun_at=begun_at, **fields))


def proven(node: OneNode) -> bool:
    return node.machine.proof.is_proven(node.now)


class DecisionTest(TestCase):
    def test_it_is_proven_until_the_bound_less_the_reserve(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: now + 1.0)
        self.assertFalse(proof.is_proven(100.0))
        proof.prove(100.0, 100.0)
        expected = [(100.0, True), (104.89, True), (104.91, False), (200.0, False)]
        self.assertEqual(expected, [(now, proof.is_proven(now)) for now, _ in expected])

    def test_only_a_later_moment_that_has_been_proves_more(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: now + 1.0)
        tried = [(10.0, 10.0), (9.0, 11.0), (12.0, 11.0), (10.5, 11.0)]
        self.assertEqual([True, False, False, True], [proof.prove(*item) for item in tried])
        self.assertEqual(10.5, proof.proven_as_of)

    def test_a_rejected_caller_comes_back_when_the_next_answer_may_come(self) -> None:
        proof = TimedProof(BOUND_SECONDS, lambda now: 7.0)
        self.assertEqual([2.0, 0.05], [proof.retry_after_seconds(now) for now in (5.0, 8.0)])

    def test_without_a_bound_it_is_always_proven(self) -> None:
        proof = AlwaysProven()
        self.assertEqual((True, 0.0), (proof.is_proven(1e9), proof.retry_after_seconds(1e9)))


class LookTimesTest(TestCase):
    def test_a_look_that_is_lost_is_tried_again_before_the_bound(self) -> None:
        look = poll_times_within(4.0)
        for bound_seconds in (1.0, 2.0, BOUND_SECONDS, 20.0):
            for way in ProofPollMode:
                looks = proof_poll_times_within(bound_seconds, way, look, 0.8)
                tries = looks.timeout_seconds + look.first_backoff_seconds
                self.assertTrue(0.0 < looks.own_seconds + tries < bound_seconds - 0.1, looks)
                # What the node which looks for others tells comes before their own looks are due.
                period = max(looks.hold_seconds, looks.shared_poll_interval_seconds)
                self.assertTrue(looks.hold_seconds + period < looks.own_seconds, looks)


class OneNodeTest(TestCase):
    def test_a_listing_proves_as_of_its_beginning(self) -> None:
        node = strict_node(begun_ago=1.0)
        self.assertTrue(proven(node))
        node.now += SERVED_SECONDS - 1.0 + 0.01
        self.assertFalse(proven(node))

    def test_a_copy_of_a_neighbour_proves_nothing_and_is_followed_by_a_look_at_once(self) -> None:
        node = OneNode(follower=strict())
        node.emit(Start())
        values = (node.stored_table(tenants_table(1)), node.stored(replica("r0", "s")))
        node.emit(PeerSnapshot(values, 1))
        self.assertFalse(proven(node))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        node.advance(0.5)
        expected = [{"age_ms": -1, "reason": "nothing was read yet"}]
        self.assertEqual(expected, node.logs("configuration_unproven"))
        answer(node, 0.01)
        self.assertTrue(proven(node))
        self.assertEqual([{"unproven_ms": 0}], node.logs("configuration_proven"))

    def test_a_listing_of_unknown_age_proves_nothing_and_is_followed_by_a_look_at_once(
        self,
    ) -> None:
        node = strict_node(begun_ago=None)
        self.assertFalse(proven(node))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)

    def test_a_held_look_proves_as_of_its_beginning(self) -> None:
        node = strict_node(ProofPollMode.HELD)
        node.advance(3.0)
        answer(node, 1.2)
        node.advance(SERVED_SECONDS - 1.3)
        self.assertTrue(proven(node))
        node.advance(0.2)
        self.assertFalse(proven(node))

    def test_an_answer_that_was_cut_proves_nothing(self) -> None:
        node = strict_node()
        node.advance(3.0)
        answer(node, 0.01, may_have_more=True)
        node.advance(2.0)
        self.assertFalse(proven(node))

    def test_an_answer_that_others_news_have_overtaken_proves_all_the_same(self) -> None:
        node = strict_node()
        node.advance(3.0)
        behind = WatchChanged(node.last_watch_id, (), (), 0, begun_at=node.now - 0.5)
        node.emit(behind)
        node.advance(4.3)
        self.assertTrue(proven(node))

    def test_news_alone_prove_nothing_and_put_no_look_off_beyond_what_is_proven(self) -> None:
        node = strict_node()
        for _ in range(40):
            node.advance(0.1)
            news = StoreUpdate(node.store_revision, node.store_revision)
            node.machine._follower.absorb(news, USUAL_GATHER_SECONDS, node.now)
        self.assertTrue(node.machine._follower.next_answer_at(100.0) < 100.0 + 3.2)
        node.advance(1.0)
        self.assertFalse(proven(node))

    def test_a_node_that_nobody_tells_looks_often_enough_by_itself(self) -> None:
        for way, most_seconds in ((ProofPollMode.SHORT, 3.0), (ProofPollMode.HELD, 1.8)):
            node = strict_node(way)
            for _ in range(3):
                watch = node.last(StartWatch)
                self.assertTrue(watch.poll_interval_seconds <= most_seconds, watch)
                self.assertTrue(watch.pause_seconds + watch.hold_seconds <= 3.0, watch)
                node.advance(watch.poll_interval_seconds + watch.hold_seconds)
                answer(node, watch.hold_seconds)

    def test_a_suspension_counts(self) -> None:
        node = strict_node()
        node.now += 8.0
        node.emit(ProcessResumed(8.0))
        self.assertFalse(proven(node))
        node.advance(0.5)
        expected = [{"age_ms": 8010, "reason": "suspended"}]
        self.assertEqual(expected, node.logs("configuration_unproven"))
        self.assertEqual(0.0, node.last(StartWatch).pause_seconds)
        answer(node, 0.01)
        self.assertTrue(proven(node))

    def test_an_answer_that_a_suspended_node_finds_is_as_old_as_its_call(self) -> None:
        node = strict_node()
        node.now += 8.0
        answer(node, 7.5)
        self.assertFalse(proven(node))


class TroubleTest(TestCase):
    """What the store does, and until when requests are served."""

    def run_into(self, failures: int, lost_seconds: float, way: ProofPollMode) -> OneNode:
        """Return a node whose looks are lost one after the other, each noticed so late."""
        node = strict_node(way)
        for _ in range(failures):
            watch = node.last(StartWatch)
            node.advance(watch.pause_seconds + min(lost_seconds, watch.timeout_seconds))
            node.emit(WatchBroken(watch.watch_id, "trouble"))
            node.advance(2.1)
        return node

    def test_one_look_that_is_lost_in_any_way_costs_nothing(self) -> None:
        for way in ProofPollMode:
            for lost_seconds in (0.0, 0.05, 9.0):
                node = strict_node(way)
                watch = node.last(StartWatch)
                node.advance(watch.pause_seconds + min(lost_seconds, watch.timeout_seconds))
                node.emit(WatchBroken(watch.watch_id, "busy"))
                node.advance(0.15)
                node.advance(0.3)
                self.assertTrue(proven(node), (way, lost_seconds))
                answer(node, 0.3)
                node.advance(2.0)
                self.assertTrue(proven(node), (way, lost_seconds))

    def test_a_store_that_stays_away_ends_the_proof_and_its_return_brings_it_back(self) -> None:
        for way in ProofPollMode:
            for lost_seconds in (0.0, 9.0):
                node = self.run_into(4, lost_seconds, way)
                self.assertFalse(proven(node), (way, lost_seconds))
                (lost,) = node.logs("configuration_unproven")
                self.assertEqual("trouble", lost["reason"])
                self.assertTrue(4900 <= lost["age_ms"] <= 5500, lost)
                answer(node, 0.01)
                self.assertTrue(proven(node), (way, lost_seconds))
                (back,) = node.logs("configuration_proven")
                self.assertTrue(back["unproven_ms"] > 0, back)

    def test_a_node_that_starts_while_the_store_is_away_says_when_it_asks_again(self) -> None:
        node = OneNode(follower=strict())
        node.emit(Start())
        failure = Failure(StoreFailureKind.UNREACHABLE, "reset")
        node.emit(StoreResponse(node.last(StoreRequest).operation_id, failure))
        self.assertFalse(proven(node))
        seconds = node.machine.proof.retry_after_seconds(node.now)
        self.assertAlmostEqual(0.15 + 0.1, seconds)

    def test_a_caller_is_told_when_the_store_is_asked_again(self) -> None:
        node = self.run_into(3, 0.0, ProofPollMode.SHORT)
        node.emit(WatchBroken(node.last_watch_id, "trouble"))
        pause_seconds = 1.2
        expected = [(0.0, pause_seconds + 0.1), (0.7, 0.6), (0.59, 0.05), (0.1, 1.0 + 0.15 - 0.09)]
        for seconds, retry_after_seconds in expected:
            node.advance(seconds)
            found = node.machine.proof.retry_after_seconds(node.now)
            self.assertAlmostEqual(retry_after_seconds, found, 6)


class OtherDeploymentsTest(TestCase):
    def watches(self, follower: FollowerSettings, tenants: TenantDirectory | None) -> list[object]:
        node = OneNode(follower=follower)
        node.emit(Start())
        node.list_store(tenants_table(1, tenants), replica("r0", "s"), begun_at=node.now - 0.01)
        for _ in range(4):
            watch = node.last(StartWatch)
            node.advance(watch.poll_interval_seconds + watch.hold_seconds)
            answer(node, watch.hold_seconds)
        node.emit(WatchBroken(node.last_watch_id, "down"))
        node.advance(5.0)
        return [item for item in node.actions if isinstance(item, StartWatch)]

    def test_without_tenants_or_without_the_bound_the_store_is_asked_as_before(self) -> None:
        plain = FollowerSettings(
            poll_interval_seconds=USUAL_GATHER_SECONDS, poll_times=poll_times_within(4.0)
        )
        for way in ProofPollMode:
            before = self.watches(plain, None)
            self.assertEqual(before, self.watches(plain, TENANTS))
            self.assertEqual(before, self.watches(strict(way), None))
            self.assertNotEqual(before, self.watches(strict(way), TENANTS))
