"""Proof requests and proofs between nodes that poll the store and nodes that receive updates."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.forwarding.linked_nodes import OTHERS, OWN, join
from tests.forwarding.one_node import OneNode, replica
from tests.forwarding.test_configuration_proof import strict_settings, tenants_table
from wingquay.forwarding.knowledge.proof_requests import (
    MAX_REQUESTING_NODES,
    REQUEST_INTERVAL_SECONDS,
    REQUEST_VALID_SECONDS,
    ReceivedProofRequests,
    SentProofRequests,
)
from wingquay.ports.machine import Action
from wingquay.ports.peer_link import (
    NodeIdentity,
    PeerLinkBroken,
    PeerLinkOpened,
    PeerReceived,
    SendToPeer,
)
from wingquay.ports.proof_messages import ProofReply, ProofRequest
from wingquay.ports.store import StartWatch, WatchChanged
from wingquay.ports.store_update import StoreUpdate

FIRST_NUMBER = 1_000
RANK_SECONDS = 2 * 0.04
"""Delay of the polls of the last of three nodes, compared with the first."""
OTHER_NODE = NodeIdentity("node-9-a", "", "a", "10.0.1.9", 7)
SECONDS = st.floats(0.0, 50.0)


def proof_requests_in(actions: list[Action]) -> list[tuple[str, int]]:
    """Return the receivers and numbers of the proof requests."""
    sent = [item for item in actions if isinstance(item, SendToPeer)]
    return [(i.to.node_id, i.message.number) for i in sent if isinstance(i.message, ProofRequest)]


def proofs_in(actions: list[Action]) -> list[ProofReply]:
    sent = [item.message for item in actions if isinstance(item, SendToPeer)]
    return [message for message in sent if isinstance(message, ProofReply)]


class SentProofRequestsTest(TestCase):
    def test_request_is_repeated_after_a_while_and_after_a_broken_link(self) -> None:
        sent_requests = SentProofRequests(FIRST_NUMBER)
        first = (OTHER_NODE.node_id, FIRST_NUMBER + 1)
        self.assertEqual([first], proof_requests_in(sent_requests.send_requests([OTHER_NODE], 0.0)))
        self.assertEqual(
            [], sent_requests.send_requests([OTHER_NODE], REQUEST_INTERVAL_SECONDS - 0.1)
        )
        sent_requests.link_broken(OTHER_NODE.node_id)
        second = (OTHER_NODE.node_id, FIRST_NUMBER + 2)
        self.assertEqual(
            [second],
            proof_requests_in(
                sent_requests.send_requests([OTHER_NODE], REQUEST_INTERVAL_SECONDS - 0.1)
            ),
        )
        third = (OTHER_NODE.node_id, FIRST_NUMBER + 3)
        self.assertEqual(
            [third],
            proof_requests_in(
                sent_requests.send_requests([OTHER_NODE], 2.0 * REQUEST_INTERVAL_SECONDS)
            ),
        )

    def test_request_is_repeated_to_a_node_that_sends_updates_but_no_proof(self) -> None:
        sent_requests = SentProofRequests(FIRST_NUMBER)
        self.assertEqual(1, len(sent_requests.handle_update_from(OTHER_NODE, 0.0)))
        self.assertEqual([], sent_requests.handle_update_from(OTHER_NODE, 2.9))
        self.assertEqual(1, len(sent_requests.handle_update_from(OTHER_NODE, 3.0)))
        sent_requests.proven_as_of(OTHER_NODE, ProofReply(FIRST_NUMBER + 2, 1.0, 1), 4.0)
        self.assertEqual([], sent_requests.handle_update_from(OTHER_NODE, REQUEST_INTERVAL_SECONDS))

    def test_only_answers_to_valid_requests_of_this_incarnation_count(self) -> None:
        sent_requests = SentProofRequests(FIRST_NUMBER)
        sent_requests.send_requests([OTHER_NODE], 100.0)
        for number, now, expected in (
            (FIRST_NUMBER + 1, 103.0, 102.5),
            (FIRST_NUMBER, 103.0, None),
            (FIRST_NUMBER + 2, 103.0, None),
            (FIRST_NUMBER + 1, 100.1 + REQUEST_VALID_SECONDS, None),
        ):
            given_proof = ProofReply(number, 2.5, 1)
            self.assertEqual(expected, sent_requests.proven_as_of(OTHER_NODE, given_proof, now))

    def test_incarnations_of_a_node_share_no_request_number(self) -> None:
        numbers = set()
        for seed in (1, 2):
            node = OneNode(seed=seed, follower=strict_settings())
            node.start(tenants_table(1), replica("r0", "s"))
            node.emit(PeerLinkOpened(OWN))
            join(node, *OTHERS)
            node.advance(0.6)
            numbers.update(number for _, number in proof_requests_in(node.actions))
        self.assertEqual(2, len(numbers))


class ReceivedProofRequestsTest(TestCase):
    def test_each_poll_is_answered_with_the_held_time_of_the_latest_request(self) -> None:
        received_requests = ReceivedProofRequests()
        received_requests.record(OTHER_NODE, ProofRequest(1), 10.0)
        self.assertEqual(
            [ProofReply(1, 2.0, 7)], proofs_in(received_requests.answers(12.0, 7, 13.0))
        )
        self.assertEqual(
            [ProofReply(1, 5.0, 8)], proofs_in(received_requests.answers(15.0, 8, 15.1))
        )
        received_requests.record(OTHER_NODE, ProofRequest(2), 16.0)
        self.assertEqual(
            [ProofReply(2, -0.5, 9)], proofs_in(received_requests.answers(15.5, 9, 16.1))
        )

    def test_requests_expire_and_end_with_their_link(self) -> None:
        received_requests = ReceivedProofRequests()
        received_requests.record(OTHER_NODE, ProofRequest(1), 10.0)
        received_requests.link_broken(OTHER_NODE.node_id)
        self.assertEqual([], received_requests.answers(11.0, 7, 11.0))
        received_requests.record(OTHER_NODE, ProofRequest(2), 12.0)
        late = 12.1 + REQUEST_VALID_SECONDS
        self.assertEqual([], received_requests.answers(late, 7, late))

    def test_number_of_answered_nodes_is_limited(self) -> None:
        received_requests = ReceivedProofRequests()
        for number in range(MAX_REQUESTING_NODES + 5):
            node = NodeIdentity(f"n{number}", "", "a", "10.0.0.1", number)
            received_requests.record(node, ProofRequest(number), 1.0)
        self.assertEqual(MAX_REQUESTING_NODES, len(received_requests.answers(2.0, 1, 2.0)))

    @given(
        sent=SECONDS,
        delay_there=SECONDS,
        begun=SECONDS,
        answered=SECONDS,
        delay_back=SECONDS,
        clock_offset=SECONDS,
    )
    def test_no_delay_makes_a_proof_newer_than_the_poll(
        self,
        sent: float,
        delay_there: float,
        begun: float,
        answered: float,
        delay_back: float,
        clock_offset: float,
    ) -> None:
        """Times are those of the requester's clock; the other node's clock has an offset."""
        received = sent + delay_there
        sent_requests, received_requests = SentProofRequests(FIRST_NUMBER), ReceivedProofRequests()
        sent_requests.send_requests([OTHER_NODE], sent)
        received_requests.record(
            OTHER_NODE, ProofRequest(FIRST_NUMBER + 1), received + clock_offset
        )
        answered_at = max(received, begun) + answered
        for message in proofs_in(
            received_requests.answers(begun + clock_offset, 1, answered_at + clock_offset)
        ):
            as_of = sent_requests.proven_as_of(OTHER_NODE, message, answered_at + delay_back)
            if as_of is not None:
                self.assertTrue(as_of <= begun + 1e-9, as_of)
                self.assertAlmostEqual(begun - delay_there, as_of)


class UpdateRecipientTest(TestCase):
    """A node whose polls are postponed by proofs of other nodes."""

    def recipient_node(self) -> OneNode:
        node = OneNode(follower=strict_settings())
        node.start(tenants_table(1), replica("r0", "s"))
        node.emit(PeerLinkOpened(OWN))
        join(node, *OTHERS)
        # Nodes that have just started poll more often; that time must be over.
        node.advance(3.0)
        watch_id = node.last_watch_id
        node.emit(WatchChanged(watch_id, (), (), node.store_revision, begun_at=node.now))
        return node

    def test_proof_of_another_node_postpones_the_next_poll(self) -> None:
        node = self.recipient_node()
        for _ in range(6):
            node.advance(1.0)
            node.send_proof(OTHERS[0], age_seconds=0.1)
            self.assertTrue(node.machine.proof.is_proven(node.now))
            expected = 3.0 + RANK_SECONDS - 0.1
            self.assertAlmostEqual(expected, node.last(StartWatch).pause_seconds)

    def test_proof_does_not_count_until_its_revision_is_known(self) -> None:
        node = self.recipient_node()
        node.advance(4.0)
        node.send_proof(OTHERS[0], 0.1, node.store_revision + 1)
        node.advance(1.0)
        self.assertFalse(node.machine.proof.is_proven(node.now))
        update = StoreUpdate(node.store_revision, node.store_revision + 1)
        node.emit(PeerReceived(OTHERS[0], update))
        node.send_proof(OTHERS[0], 1.1, node.store_revision + 1)
        self.assertTrue(node.machine.proof.is_proven(node.now))

    def test_repeated_proofs_postpone_no_poll_past_the_proof_deadline(self) -> None:
        node = self.recipient_node()
        begun_at = node.now
        before = len(node.actions)
        for _ in range(29):
            node.advance(0.1)
            update = StoreUpdate(node.store_revision, node.store_revision)
            node.emit(PeerReceived(OTHERS[0], update))
            node.send_proof(OTHERS[0], node.now - begun_at)
            look_at = node.machine._follower.next_answer_at(node.now) - 0.1
            self.assertTrue(look_at <= begun_at + 3.0 + RANK_SECONDS + 1e-6, look_at - begun_at)
        watches = [item for item in node.actions[before:] if isinstance(item, StartWatch)]
        self.assertEqual(1, len(watches))

    def test_polling_node_sends_proofs_after_updates(self) -> None:
        node = self.recipient_node()
        node.emit(PeerReceived(OTHERS[1], ProofRequest(77)))
        node.advance(1.0)
        before = len(node.actions)
        watch_id = node.last_watch_id
        revision = node.store_revision + 1
        node.emit(WatchChanged(watch_id, (), ("gone",), revision, begun_at=node.now - 0.25))
        sent = [
            (item.to, type(item.message).__name__)
            for item in node.actions[before:]
            if isinstance(item, SendToPeer)
        ]
        self.assertEqual((OTHERS[1], "ProofReply"), sent[-1])
        self.assertEqual([(other, "StoreUpdate") for other in OTHERS], sent[:-1])
        self.assertEqual([ProofReply(77, 0.75, revision)], proofs_in(node.actions[before:]))

    def test_request_is_answered_at_once_while_proven(self) -> None:
        node = self.recipient_node()
        node.advance(1.5)
        before = len(node.actions)
        node.emit(PeerReceived(OTHERS[1], ProofRequest(77)))
        expected = [ProofReply(77, -1.5, node.store_revision)]
        self.assertEqual(expected, proofs_in(node.actions[before:]))
        node.advance(4.0)
        before = len(node.actions)
        node.emit(PeerReceived(OTHERS[1], ProofRequest(78)))
        self.assertEqual([], proofs_in(node.actions[before:]))

    def test_request_is_repeated_after_a_broken_link(self) -> None:
        node = self.recipient_node()
        before = len(node.actions)
        node.emit(PeerLinkBroken(OTHERS[0].node_id, "test"))
        node.emit(PeerLinkBroken(OTHERS[1].node_id, "nobody there", was_open=False))
        node.advance(0.6)
        requested = [name for name, _ in proof_requests_in(node.actions[before:])]
        self.assertEqual([OTHERS[0].node_id], requested)

    def test_request_is_sent_to_an_unknown_sender_of_updates(self) -> None:
        node = self.recipient_node()
        before = len(node.actions)
        update = StoreUpdate(node.store_revision, node.store_revision)
        node.emit(PeerReceived(OTHER_NODE, update))
        requested = [name for name, _ in proof_requests_in(node.actions[before:])]
        self.assertEqual([OTHER_NODE.node_id], requested)

    def test_without_the_bound_proofs_only_postpone_polls(self) -> None:
        node = OneNode()
        node.start(tenants_table(1), replica("r0", "s"))
        node.emit(PeerLinkOpened(OWN))
        join(node, *OTHERS)
        node.emit(PeerReceived(OTHERS[0], ProofRequest(77)))
        node.advance(1.0)
        node.emit(WatchChanged(node.last_watch_id, (), (), 9, begun_at=node.now))
        self.assertEqual(77, proofs_in(node.actions)[-1].number)
        self.assertEqual({item.node_id for item in OTHERS}, set(node.proof_requests))
        node.advance(60.0)
        self.assertTrue(node.machine.proof.is_proven(node.now))
        self.assertEqual([], node.logs("configuration_unproven"))
