"""One machine probes, relays, refutes and suspects as SWIM and Lifeguard require."""

import random

import testtools

from wingquay.membership.membership_machine import MembershipMachine, MembershipTick
from wingquay.membership.replica_evidence import ReplicaEvidenceSettings
from wingquay.membership.settings import MembershipSettings
from wingquay.ports.internal import MembershipChanged, Notify
from wingquay.ports.machine import Count, Log, Start
from wingquay.ports.peer import (
    Acknowledgement,
    Gossip,
    NodeIdentity,
    NodeList,
    NodeState,
    NodeUpdate,
    PeerReceived,
    Ping,
    PingRequest,
    SendToPeer,
)

SETTINGS = MembershipSettings()
NO_GOSSIP = Gossip(0)


def identity(node_id, number):
    return NodeIdentity(node_id, "ro-nord", "dej", f"10.0.0.{number}", 7000)


OWN, B, C, D = (identity(name, number) for number, name in enumerate("abcd", 1))


class OneMachineTest(testtools.TestCase):
    """A single machine; the test sends the messages of its peers."""

    def setUp(self):
        super().setUp()
        source = random.Random(1)
        self.machine = MembershipMachine(OWN, [], SETTINGS, ReplicaEvidenceSettings(), source)
        self.now = 50.0
        self.actions = []
        self.handle(Start())
        for peer in (B, C, D):
            self.receive(peer, Ping(1, NO_GOSSIP))

    def handle(self, event):
        actions = self.machine.handle(event, self.now)
        self.actions += actions
        return actions

    def receive(self, sender, message):
        return self.handle(PeerReceived(sender, message))

    def tick(self, seconds=SETTINGS.tick_seconds):
        self.now += seconds
        return self.handle(MembershipTick())

    def sent(self, actions, kind):
        return [
            (action.to, action.message)
            for action in actions
            if isinstance(action, SendToPeer) and isinstance(action.message, kind)
        ]

    def start_probe(self):
        """Tick until a probe is sent; return its target and its sequence number."""
        while True:
            probes = [
                (to, ping.sequence) for to, ping in self.sent(self.tick(), Ping) if ping.sequence
            ]
            if probes:
                return probes[0]

    def suspected(self):
        logs = [action for action in self.actions if isinstance(action, Log)]
        return [dict(log.fields)["node"] for log in logs if log.message == "node_suspected"]

    def available(self):
        changes = [action.event for action in self.actions if isinstance(action, Notify)]
        latest = [event for event in changes if isinstance(event, MembershipChanged)][-1]
        return {entry.node_id for entry in latest.available}

    def test_unanswered_probe_is_resent_then_relayed_then_raises_suspicion(self):
        target, sequence = self.start_probe()
        repeated = [(to, ping.sequence) for to, ping in self.sent(self.tick(), Ping)]
        self.assertIn((target, sequence), repeated)
        requests = self.sent(self.tick(), PingRequest)
        self.assertEqual({B, C, D} - {target}, {relay for relay, _ in requests})
        self.assertEqual({target}, {request.subject for _, request in requests})
        self.tick()
        self.assertEqual([], self.suspected())
        self.tick()
        self.assertEqual([target.node_id], self.suspected())

    def test_answer_through_a_relay_ends_the_probe(self):
        target, sequence = self.start_probe()
        self.tick()
        requests = self.sent(self.tick(), PingRequest)
        self.receive(requests[0][0], Acknowledgement(sequence, target.node_id, NO_GOSSIP))
        self.tick()
        self.tick()
        self.assertEqual([], self.suspected())

    def test_relay_forwards_the_answer_or_sends_a_nack(self):
        (_, ping) = self.sent(self.receive(B, PingRequest(77, C, NO_GOSSIP)), Ping)[0]
        answers = self.sent(
            self.receive(C, Acknowledgement(ping.sequence, "c", NO_GOSSIP)), Acknowledgement
        )
        self.assertEqual([(B, 77, "c")], [(to, m.sequence, m.subject) for to, m in answers])
        self.receive(B, PingRequest(78, D, NO_GOSSIP))
        nacks = self.sent(self.tick(), Acknowledgement)
        self.assertEqual([(B, 78, "a")], [(to, m.sequence, m.subject) for to, m in nacks])

    def test_own_pause_does_not_raise_suspicion_of_the_probed_node(self):
        self.start_probe()
        actions = self.tick(10.0)
        self.assertEqual([], self.suspected())
        counted = {action.name for action in actions if isinstance(action, Count)}
        self.assertIn("membership_pauses_total", counted)
        self.assertIn("membership_refutations_total", counted)

    def test_own_pause_extends_suspicions(self):
        suspicion = NodeUpdate(B, NodeState.SUSPECT, 0, "c")
        self.receive(C, Ping(0, Gossip(0, (suspicion,))))
        self.tick(100.0)
        self.tick()
        self.assertIn("b", self.available())

    def test_nodes_listed_as_dead_are_notified_and_not_declared_dead(self):
        dead = NodeUpdate(B, NodeState.DEAD, 0)
        self.receive(C, NodeList(Gossip(0, (dead,))))
        notifications = [ping for to, ping in self.sent(self.tick(), Ping) if to == B]
        self.assertIn(
            dead, [update for ping in notifications for update in ping.gossip.node_updates]
        )
        self.assertIn("b", self.available())

    def test_new_process_at_an_address_replaces_the_old_one_at_once(self):
        self.receive(identity("b2", 2), Ping(1, NO_GOSSIP))
        self.tick()
        self.assertEqual({"a", "b2", "c", "d"}, self.available())

    def test_suspicion_of_this_node_is_refuted(self):
        suspicion = NodeUpdate(OWN, NodeState.SUSPECT, 0, "c")
        answers = self.sent(self.receive(C, Ping(9, Gossip(0, (suspicion,)))), Acknowledgement)
        refutation = NodeUpdate(OWN, NodeState.ALIVE, 1)
        self.assertIn(refutation, answers[0][1].gossip.node_updates)

    def test_dead_node_is_notified_even_after_the_gossip_was_sent_out(self):
        death = NodeUpdate(B, NodeState.DEAD, 0)
        self.receive(C, Ping(0, Gossip(0, (death,))))
        for _ in range(60):
            self.tick()
        answers = self.sent(self.receive(B, Ping(9, NO_GOSSIP)), Acknowledgement)
        self.assertEqual(death, answers[0][1].gossip.node_updates[0])
