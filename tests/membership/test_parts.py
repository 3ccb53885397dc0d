"""Gossip queue, suspicion, local health, member table and probe order."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from wingquay.adapters import peer_codec
from wingquay.membership.gossip_queue import (
    MAX_ORDINARY_UPDATES,
    GossipQueue,
    estimated_bytes,
)
from wingquay.membership.local_health import LocalHealth
from wingquay.membership.member_table import MemberTable, overrides
from wingquay.membership.probing import ProbeOrder, ProbeStep, new_probe
from wingquay.membership.settings import MembershipSettings
from wingquay.membership.suspicion import new_suspicion
from wingquay.model.answer import HeldVersions
from wingquay.ports.peer import (
    Gossip,
    NodeIdentity,
    NodeState,
    NodeUpdate,
    Ping,
    ReplicaState,
    ReplicaUpdate,
)

SETTINGS = MembershipSettings()


def identity(number):
    return NodeIdentity(f"dej-{number:04d}-00aa11", "ro-nord", "dej", f"10.0.0.{number}", 7000)


def update(number, state=NodeState.ALIVE, incarnation=0):
    return NodeUpdate(identity(number), state, incarnation)


class GossipQueueTest(testtools.TestCase):
    def test_update_is_sent_a_bounded_number_of_times(self):
        queue = GossipQueue(2.0)
        queue.put(update(1))
        sent = sum(len(queue.take(1000, 470)) for _ in range(100))
        self.assertEqual(queue.transmissions(470), sent)
        self.assertFalse(queue.has_urgent)

    def test_newer_update_replaces_the_older_one(self):
        queue = GossipQueue(2.0)
        queue.put(update(1))
        queue.put(update(1, NodeState.DEAD))
        self.assertEqual([update(1, NodeState.DEAD)], queue.take(1000, 8))

    def test_urgent_and_least_sent_updates_go_first(self):
        queue = GossipQueue(2.0)
        replica = ReplicaUpdate("replica", ReplicaState.SERVING, 1)
        queue.put(replica, urgent=False)
        queue.put(update(1))
        queue.put(update(2))
        size = estimated_bytes(update(1))
        self.assertEqual([update(2)], queue.take(size, 470))
        self.assertEqual([update(1)], queue.take(size, 470))
        self.assertEqual([update(2), update(1), replica], queue.take(1000, 470))

    def test_ordinary_updates_are_bounded_in_number(self):
        queue = GossipQueue(2.0)
        for number in range(MAX_ORDINARY_UPDATES + 50):
            queue.put(ReplicaUpdate(f"r{number}", ReplicaState.SERVING, 1), urgent=False)
        queue.put(update(1))
        self.assertEqual(MAX_ORDINARY_UPDATES + 1, len(queue))
        self.assertEqual(update(1), queue.take(1000, 470)[0])

    def test_only_urgent_updates_count_as_urgent(self):
        queue = GossipQueue(2.0)
        queue.put(ReplicaUpdate("replica", ReplicaState.SERVING, 1), urgent=False)
        self.assertFalse(queue.has_urgent)
        queue.put(update(1))
        self.assertTrue(queue.has_urgent)

    @given(st.integers(0, 5), st.integers(0, 2**40), st.booleans())
    def test_estimate_covers_the_encoded_size(self, count, number, reported):
        reporter = "dej-0007-00aa11" if reported else ""
        node_updates = tuple(
            NodeUpdate(identity(index), NodeState.SUSPECT, number % 1000, reporter)
            for index in range(count)
        )
        held = HeldVersions("replica", number, number + 1)
        replica_updates = (ReplicaUpdate("replica", ReplicaState.LEAVING, 3, held),) * count
        gossip = Gossip(0, node_updates, replica_updates)
        empty = peer_codec.encode(Ping(1, Gossip(0)), identity(1))
        full = peer_codec.encode(Ping(1, gossip), identity(1))
        estimate = sum(map(estimated_bytes, (*node_updates, *replica_updates)))
        self.assertLessEqual(len(full) - len(empty), estimate + 4)


class SuspicionTest(testtools.TestCase):
    def test_confirmations_by_others_shorten_the_time(self):
        suspicion = new_suspicion(SETTINGS, 470, now=0.0)
        expiries = [suspicion.expires_at]
        for reporter in ("a", "b", "c", "d"):
            suspicion.confirm(reporter)
            expiries.append(suspicion.expires_at)
        self.assertEqual(suspicion.maximum_seconds, expiries[1])
        self.assertEqual(sorted(expiries, reverse=True), expiries)
        self.assertEqual(suspicion.minimum_seconds, expiries[-1])

    def test_the_same_reporter_counts_once(self):
        suspicion = new_suspicion(SETTINGS, 470, now=0.0)
        self.assertEqual([True, False], [suspicion.confirm("a"), suspicion.confirm("a")])

    def test_two_nodes_need_no_confirmation(self):
        suspicion = new_suspicion(SETTINGS, 2, now=0.0)
        self.assertEqual(SETTINGS.suspicion_minimum_seconds, suspicion.expires_at)


class LocalHealthTest(testtools.TestCase):
    def test_score_stays_within_its_bounds(self):
        health = LocalHealth(4)
        health.improve()
        self.assertEqual(1, health.multiplier)
        health.worsen(9)
        self.assertEqual(5, health.multiplier)


class MemberTableTest(testtools.TestCase):
    def test_suspicion_does_not_override_leaving(self):
        member = MemberTable().put(update(1, NodeState.LEAVING, 1), now=0.0)
        self.assertFalse(overrides(update(1, NodeState.SUSPECT, 1), member))
        self.assertTrue(overrides(update(1, NodeState.DEAD, 1), member))

    def test_greater_incarnation_overrides_dead_state(self):
        member = MemberTable().put(update(1, NodeState.DEAD, 1), now=0.0)
        self.assertTrue(overrides(update(1, NodeState.ALIVE, 2), member))
        self.assertFalse(overrides(update(1, NodeState.ALIVE, 1), member))


class ProbeOrderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemberTable()
        for number in range(1, 21):
            self.table.put(update(number), now=0.0)
        self.order = ProbeOrder(self.table, random.Random(1))

    def test_every_node_is_probed_once_a_round(self):
        for _ in range(3):
            targets = {self.order.next_target().identity for _ in range(20)}
            self.assertEqual({identity(number) for number in range(1, 21)}, targets)

    def test_preferred_node_goes_first_and_the_dead_are_left_out(self):
        self.table.put(update(3, NodeState.DEAD), now=0.0)
        self.order.prefer(identity(3).node_id)
        self.order.prefer(identity(4).node_id)
        self.assertEqual(identity(4), self.order.next_target().identity)
        targets = {self.order.next_target().identity for _ in range(40)}
        self.assertNotIn(identity(3), targets)

    def test_probe_times_scale_with_health_and_each_step_is_returned_once(self):
        probe = new_probe(identity(1), 1, SETTINGS, health_multiplier=2, now=0.0)
        self.assertEqual(ProbeStep.WAIT, probe.next_step(0.3))
        self.assertEqual(ProbeStep.RESEND, probe.next_step(0.5))
        self.assertEqual(ProbeStep.WAIT, probe.next_step(0.6))
        self.assertEqual(ProbeStep.PROBE_INDIRECTLY, probe.next_step(1.0))
        self.assertEqual(ProbeStep.GIVE_UP, probe.next_step(2.0))
