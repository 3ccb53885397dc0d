"""The messages about limits as bytes."""

import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.adapters import forwarding_peer_codec as codec
from wingquay.adapters.peer_codec_error import PeerCodecFailureKind
from wingquay.adapters.proto import peer_pb2
from wingquay.model.failure import Failure
from wingquay.ports.limit_messages import (
    LimitAcknowledgement,
    LimitOwnersReply,
    LimitOwnersRequest,
    LimitRecord,
    LimitReply,
    LimitReport,
    LimitRequest,
    LimitVerdict,
)
from wingquay.ports.peer_link import NodeIdentity, PeerMessage

SENDER = NodeIdentity("n-1", "", "a", "127.0.0.1", 7)
NUMBERS = st.integers(0, 2**63)
COUNTS = st.integers(0, 2**31)
SECONDS = st.floats(0.0, 1e4, width=32)
NAMES = st.text(max_size=9)


def columns(*kinds: st.SearchStrategy[object]) -> st.SearchStrategy[tuple[tuple[object, ...], ...]]:
    rows = st.lists(st.tuples(*kinds), max_size=5)
    return rows.map(lambda found: tuple(zip(*found, strict=True)) or ((),) * len(kinds))


MESSAGES = st.one_of(
    st.builds(
        lambda sequence, rows: LimitReport(sequence, *rows),
        NUMBERS,
        columns(NAMES, st.integers(-(2**31), 2**31 - 1), COUNTS),
    ),
    st.builds(
        lambda sequence, asks_first, rows: LimitAcknowledgement(sequence, asks_first, *rows),
        NUMBERS,
        st.booleans(),
        columns(NAMES, SECONDS),
    ),
    st.builds(LimitRequest, NUMBERS, NAMES),
    st.builds(LimitReply, NUMBERS, st.sampled_from(LimitVerdict), SECONDS, st.booleans(), SECONDS),
    st.builds(
        lambda number, owners, wants_records, loans: LimitOwnersRequest(
            number, owners, wants_records, *loans
        ),
        NUMBERS,
        NUMBERS,
        st.booleans(),
        columns(NAMES, COUNTS),
    ),
    st.builds(
        lambda number, lent, is_same, knows, unknown, records: LimitOwnersReply(
            number, *lent, is_same, knows, unknown, records
        ),
        NUMBERS,
        columns(NAMES, COUNTS),
        st.booleans(),
        st.booleans(),
        st.lists(NAMES).map(tuple),
        st.lists(
            st.builds(lambda name, rows: LimitRecord(name, *rows), NAMES, columns(SECONDS, COUNTS))
        ).map(tuple),
    ),
)


class LimitCodecTest(TestCase):
    @given(message=MESSAGES)
    def test_every_message_comes_back_as_it_was(self, message: PeerMessage) -> None:
        self.assertEqual((SENDER, message), codec.decode(codec.encode(message, SENDER)))

    def test_columns_of_two_lengths_are_malformed(self) -> None:
        envelope = peer_pb2.Envelope.FromString(codec.encode(LimitReport(1), SENDER))
        for field in ("tenants", "counts"):
            broken = peer_pb2.Envelope.FromString(envelope.SerializeToString())
            getattr(broken.limit_tell, field).append("t" if field == "tenants" else 1)
            failure = codec.decode(broken.SerializeToString())
            assert isinstance(failure, Failure)
            self.assertEqual(PeerCodecFailureKind.MALFORMED, failure.kind)

    def test_an_unknown_verdict_is_malformed(self) -> None:
        answer = LimitReply(1, LimitVerdict.GRANTED)
        envelope = peer_pb2.Envelope.FromString(codec.encode(answer, SENDER))
        envelope.limit_answer.verdict = 9
        failure = codec.decode(envelope.SerializeToString())
        assert isinstance(failure, Failure)
        self.assertEqual(PeerCodecFailureKind.MALFORMED, failure.kind)


class LoadingTest(TestCase):
    def test_a_node_and_its_link_load_nothing_that_only_limits_need(self) -> None:
        program = (
            "import importlib, sys\n"
            "import wingquay.platform.process\n"
            "from wingquay.adapters.gradual_import import LINK_MODULES\n"
            "for name in LINK_MODULES: importlib.import_module(name)\n"
            "print(*sorted(name for name in sys.modules if 'limit' in name.split('.')[-1]))\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        package = "wingquay.forwarding.arrival.limits"
        expected = [package, f"{package}.limit_manager", f"{package}.limit_settings"]
        self.assertEqual(expected, done.stdout.split())
