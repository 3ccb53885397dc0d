import testtools
from hypothesis import given
from hypothesis import strategies as st

from wingquay.adapters.peer_frames import ClusterKey, FrameSplitter
from wingquay.adapters.peer_handshake import (
    AcceptingHandshake,
    DiallingHandshake,
    HandshakeFailureKind,
    Session,
)
from wingquay.adapters.proto import peer_pb2
from wingquay.ports.peer import NodeIdentity

KEY = ClusterKey(b"k" * 32)
OTHER_KEY = ClusterKey(b"o" * 32)
A = NodeIdentity("a", "ro-nord", "dej", "127.0.0.1", 1)
B = NodeIdentity("b", "ro-nord", "dej", "127.0.0.1", 2)


def body_of(frame):
    splitter = FrameSplitter()
    splitter.feed(frame)
    return splitter.next_body()


def dialling(key=KEY, expected="b", nonce=b"1" * 32):
    return DiallingHandshake(key, A, expected, nonce)


def accepting(key=KEY, dials=False, nonce=b"2" * 32):
    return AcceptingHandshake(key, B, lambda node_id: dials, nonce)


class PeerHandshakeTest(testtools.TestCase):
    def challenge(self, dialler, accepter):
        step = accepter.receive(body_of(dialler.opening()))
        return step, dialler.receive(body_of(step.reply))

    def test_both_sides_agree_on_keys_and_names(self):
        accepter = accepting()
        _, dialled = self.challenge(dialling(), accepter)
        accepted = accepter.receive(body_of(dialled.reply))
        self.assertEqual((B, A), (dialled.result.peer, accepted.result.peer))
        self.assertEqual(dialled.result.sending_key, accepted.result.receiving_key)
        self.assertEqual(dialled.result.receiving_key, accepted.result.sending_key)
        self.assertNotEqual(dialled.result.sending_key, dialled.result.receiving_key)

    def test_accepting_side_without_the_key_is_refused(self):
        _, dialled = self.challenge(dialling(), accepting(OTHER_KEY))
        self.assertEqual(HandshakeFailureKind.WRONG_KEY, dialled.result.kind)
        self.assertEqual(b"", dialled.reply)

    def test_dialling_side_without_the_key_is_refused(self):
        _, impostor = self.challenge(dialling(OTHER_KEY), accepting(OTHER_KEY))
        accepter = accepting()
        accepter.receive(body_of(dialling(OTHER_KEY).opening()))
        result = accepter.receive(body_of(impostor.reply)).result
        self.assertEqual(HandshakeFailureKind.WRONG_KEY, result.kind)

    def test_recorded_proof_does_not_serve_again(self):
        first = accepting()
        _, dialled = self.challenge(dialling(), first)
        second = accepting(nonce=b"3" * 32)
        second.receive(body_of(dialling().opening()))
        result = second.receive(body_of(dialled.reply)).result
        self.assertEqual(HandshakeFailureKind.WRONG_KEY, result.kind)

    def test_proof_cannot_be_reflected(self):
        accepter = accepting()
        step, _ = self.challenge(dialling(), accepter)
        challenge = peer_pb2.Challenge.FromString(body_of(step.reply))
        reflected = peer_pb2.Proof(proof=challenge.proof).SerializeToString()
        result = accepter.receive(reflected).result
        self.assertEqual(HandshakeFailureKind.WRONG_KEY, result.kind)

    def test_restarted_node_is_not_taken_for_its_predecessor(self):
        _, dialled = self.challenge(dialling(expected="b-before"), accepting())
        self.assertEqual(HandshakeFailureKind.OTHER_NODE, dialled.result.kind)

    def test_one_of_two_simultaneous_dials_gives_way(self):
        accepted, dialled = self.challenge(dialling(), accepting(dials=True))
        self.assertEqual(HandshakeFailureKind.DIALLING_TOO, accepted.result.kind)
        self.assertEqual(HandshakeFailureKind.DIALLING_TOO, dialled.result.kind)

    def test_other_protocol_version_is_refused_by_name(self):
        hello = peer_pb2.Hello(protocol_version=99).SerializeToString()
        result = accepting().receive(hello).result
        self.assertEqual(HandshakeFailureKind.OTHER_VERSION, result.kind)
        self.assertIn("99", result.reason)

    @given(st.binary(max_size=80), st.binary(max_size=80))
    def test_arbitrary_bytes_neither_raise_nor_open_a_session(self, first, second):
        self.assertNotIsInstance(dialling().receive(first).result, Session)
        accepter = accepting()
        accepter.receive(body_of(dialling().opening()))
        self.assertNotIsInstance(accepter.receive(second).result, Session)
