"""Ask and answer between a node that goes by others and one that looks at the store."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.forwarding.linked_nodes import OTHERS, OWN, join
from tests.forwarding.one_node import OneNode, replica
from tests.forwarding.test_configuration_proof import strict, tenants_table
from wingquay.forwarding.knowledge.proof_requests import (
    ASK_LIFE_SECONDS,
    ASK_SECONDS,
    MOST_ASKING_NODES,
    HeardAsks,
    ProofAsks,
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
ASKED_AT = 100.5
"""When a node that starts at 100 has asked: at its first sweep after it knows of others."""
RANK_SECONDS = 2 * 0.04
"""How much later than the first of three nodes the last one looks by itself."""
ASKED = NodeIdentity("node-9-a", "", "a", "10.0.1.9", 7)
SECONDS = st.floats(0.0, 50.0)


def asks_in(actions: list[Action]) -> list[tuple[str, int]]:
    """Return who was asked, and the number of the ask."""
    sent = [item for item in actions if isinstance(item, SendToPeer)]
    return [(i.to.node_id, i.message.number) for i in sent if isinstance(i.message, ProofRequest)]


def answers_in(actions: list[Action]) -> list[ProofReply]:
    sent = [item.message for item in actions if isinstance(item, SendToPeer)]
    return [message for message in sent if isinstance(message, ProofReply)]


class AskTest(TestCase):
    def test_a_node_is_asked_again_after_a_while_and_when_its_link_broke(self) -> None:
        asks = ProofAsks(FIRST_NUMBER)
        first = (ASKED.node_id, FIRST_NUMBER + 1)
        self.assertEqual([first], asks_in(asks.ask([ASKED], 0.0)))
        self.assertEqual([], asks.ask([ASKED], ASK_SECONDS - 0.1))
        asks.link_broken(ASKED.node_id)
        second = (ASKED.node_id, FIRST_NUMBER + 2)
        self.assertEqual([second], asks_in(asks.ask([ASKED], ASK_SECONDS - 0.1)))
        third = (ASKED.node_id, FIRST_NUMBER + 3)
        self.assertEqual([third], asks_in(asks.ask([ASKED], 2.0 * ASK_SECONDS)))

    def test_a_node_that_tells_news_but_no_proof_is_asked_again(self) -> None:
        asks = ProofAsks(FIRST_NUMBER)
        self.assertEqual(1, len(asks.news_from(ASKED, 0.0)))
        self.assertEqual([], asks.news_from(ASKED, 2.9))
        self.assertEqual(1, len(asks.news_from(ASKED, 3.0)))
        asks.proven_as_of(ASKED, ProofReply(FIRST_NUMBER + 2, 1.0, 1), 4.0)
        self.assertEqual([], asks.news_from(ASKED, ASK_SECONDS))

    def test_only_an_ask_of_this_life_that_still_counts_is_answered(self) -> None:
        asks = ProofAsks(FIRST_NUMBER)
        asks.ask([ASKED], 100.0)
        for number, now, expected in (
            (FIRST_NUMBER + 1, 103.0, 102.5),
            (FIRST_NUMBER, 103.0, None),
            (FIRST_NUMBER + 2, 103.0, None),
            (FIRST_NUMBER + 1, 100.1 + ASK_LIFE_SECONDS, None),
        ):
            given_proof = ProofReply(number, 2.5, 1)
            self.assertEqual(expected, asks.proven_as_of(ASKED, given_proof, now))

    def test_two_lives_of_a_node_share_no_number(self) -> None:
        numbers = set()
        for seed in (1, 2):
            node = OneNode(seed=seed, follower=strict())
            node.start(tenants_table(1), replica("r0", "s"))
            node.emit(PeerLinkOpened(OWN))
            join(node, *OTHERS)
            node.advance(0.6)
            numbers.update(number for _, number in asks_in(node.actions))
        self.assertEqual(2, len(numbers))


class AnswerTest(TestCase):
    def test_each_look_is_told_with_the_time_since_the_latest_ask(self) -> None:
        heard = HeardAsks()
        heard.heard(ASKED, ProofRequest(1), 10.0)
        self.assertEqual([ProofReply(1, 2.0, 7)], answers_in(heard.answers(12.0, 7, 13.0)))
        self.assertEqual([ProofReply(1, 5.0, 8)], answers_in(heard.answers(15.0, 8, 15.1)))
        heard.heard(ASKED, ProofRequest(2), 16.0)
        self.assertEqual([ProofReply(2, -0.5, 9)], answers_in(heard.answers(15.5, 9, 16.1)))

    def test_asks_lapse_and_end_with_their_link(self) -> None:
        heard = HeardAsks()
        heard.heard(ASKED, ProofRequest(1), 10.0)
        heard.link_broken(ASKED.node_id)
        self.assertEqual([], heard.answers(11.0, 7, 11.0))
        heard.heard(ASKED, ProofRequest(2), 12.0)
        late = 12.1 + ASK_LIFE_SECONDS
        self.assertEqual([], heard.answers(late, 7, late))

    def test_so_many_nodes_are_told_and_no_more(self) -> None:
        heard = HeardAsks()
        for number in range(MOST_ASKING_NODES + 5):
            node = NodeIdentity(f"n{number}", "", "a", "10.0.0.1", number)
            heard.heard(node, ProofRequest(number), 1.0)
        self.assertEqual(MOST_ASKING_NODES, len(heard.answers(2.0, 1, 2.0)))

    @given(sent=SECONDS, way=SECONDS, begun=SECONDS, answered=SECONDS, back=SECONDS, ahead=SECONDS)
    def test_no_delay_makes_a_proof_younger_than_the_look(
        self, sent: float, way: float, begun: float, answered: float, back: float, ahead: float
    ) -> None:
        """The true times are those of one clock; the other node's is ahead of it."""
        received = sent + way
        asks, heard = ProofAsks(FIRST_NUMBER), HeardAsks()
        asks.ask([ASKED], sent)
        heard.heard(ASKED, ProofRequest(FIRST_NUMBER + 1), received + ahead)
        told_at = max(received, begun) + answered
        for message in answers_in(heard.answers(begun + ahead, 1, told_at + ahead)):
            as_of = asks.proven_as_of(ASKED, message, told_at + back)
            if as_of is not None:
                self.assertTrue(as_of <= begun + 1e-9, as_of)
                self.assertAlmostEqual(begun - way, as_of)


class ListenerTest(TestCase):
    """A node whose look is put off by what others prove."""

    def listener(self) -> OneNode:
        node = OneNode(follower=strict())
        node.start(tenants_table(1), replica("r0", "s"))
        node.emit(PeerLinkOpened(OWN))
        join(node, *OTHERS)
        # Until then a node that has just started looks more often.
        node.advance(3.0)
        watch_id = node.last_watch_id
        node.emit(WatchChanged(watch_id, (), (), node.store_revision, begun_at=node.now))
        return node

    def given(self, node: OneNode, age_seconds: float, revision: int | None = None) -> None:
        """Let another node tell of a look that was begun so long ago."""
        number = asks_in(node.actions)[-1][1]
        held_seconds = node.now - age_seconds - ASKED_AT
        message = ProofReply(number, held_seconds, revision or node.store_revision)
        node.emit(PeerReceived(OTHERS[0], message))

    def test_what_another_node_proves_puts_the_own_look_off(self) -> None:
        node = self.listener()
        for _ in range(6):
            node.advance(1.0)
            self.given(node, age_seconds=0.1)
            self.assertTrue(node.machine.proof.is_proven(node.now))
            expected = 3.0 + RANK_SECONDS - 0.1
            self.assertAlmostEqual(expected, node.last(StartWatch).pause_seconds)

    def test_it_proves_nothing_while_not_all_that_it_told_is_known(self) -> None:
        node = self.listener()
        node.advance(4.0)
        self.given(node, 0.1, node.store_revision + 1)
        node.advance(1.0)
        self.assertFalse(node.machine.proof.is_proven(node.now))
        news = StoreUpdate(node.store_revision, node.store_revision + 1)
        node.emit(PeerReceived(OTHERS[0], news))
        self.given(node, 1.1, node.store_revision + 1)
        self.assertTrue(node.machine.proof.is_proven(node.now))

    def test_news_put_no_look_off_beyond_what_is_proven(self) -> None:
        node = self.listener()
        begun_at = node.now
        before = len(node.actions)
        for _ in range(29):
            node.advance(0.1)
            news = StoreUpdate(node.store_revision, node.store_revision)
            node.emit(PeerReceived(OTHERS[0], news))
            look_at = node.machine._follower.next_answer_at(node.now) - 0.1
            self.assertTrue(look_at <= begun_at + 3.0 + RANK_SECONDS + 1e-6, look_at - begun_at)
        watches = [item for item in node.actions[before:] if isinstance(item, StartWatch)]
        self.assertEqual(1, len(watches))

    def test_a_node_that_looks_tells_those_that_ask_after_the_news(self) -> None:
        node = self.listener()
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
        self.assertEqual([ProofReply(77, 0.75, revision)], answers_in(node.actions[before:]))

    def test_a_node_that_is_asked_tells_at_once_what_it_has_proven(self) -> None:
        node = self.listener()
        node.advance(1.5)
        before = len(node.actions)
        node.emit(PeerReceived(OTHERS[1], ProofRequest(77)))
        expected = [ProofReply(77, -1.5, node.store_revision)]
        self.assertEqual(expected, answers_in(node.actions[before:]))
        node.advance(4.0)
        before = len(node.actions)
        node.emit(PeerReceived(OTHERS[1], ProofRequest(78)))
        self.assertEqual([], answers_in(node.actions[before:]))

    def test_a_node_whose_link_broke_is_asked_anew(self) -> None:
        node = self.listener()
        before = len(node.actions)
        node.emit(PeerLinkBroken(OTHERS[0].node_id, "test"))
        node.emit(PeerLinkBroken(OTHERS[1].node_id, "nobody there", was_open=False))
        node.advance(0.6)
        asked = [name for name, _ in asks_in(node.actions[before:])]
        self.assertEqual([OTHERS[0].node_id], asked)

    def test_a_node_that_tells_news_unasked_is_asked(self) -> None:
        node = self.listener()
        before = len(node.actions)
        news = StoreUpdate(node.store_revision, node.store_revision)
        node.emit(PeerReceived(ASKED, news))
        asked = [name for name, _ in asks_in(node.actions[before:])]
        self.assertEqual([ASKED.node_id], asked)

    def test_without_the_bound_nothing_is_asked_or_answered(self) -> None:
        node = OneNode()
        node.start(tenants_table(1), replica("r0", "s"))
        node.emit(PeerLinkOpened(OWN))
        join(node, *OTHERS)
        node.emit(PeerReceived(OTHERS[0], ProofRequest(77)))
        node.advance(1.0)
        node.emit(WatchChanged(node.last_watch_id, (), (), 9, begun_at=node.now))
        kinds = {type(i.message) for i in node.actions if isinstance(i, SendToPeer)}
        self.assertEqual(set(), kinds & {ProofRequest, ProofReply})
