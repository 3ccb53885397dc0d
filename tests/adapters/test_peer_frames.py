import testtools
from hypothesis import given
from hypothesis import strategies as st

from wingquay.adapters.peer_frames import (
    ClusterKey,
    DatagramSealer,
    FrameFailureKind,
    FrameOpener,
    FrameSealer,
    FrameSplitter,
    with_length,
)
from wingquay.model.failure import Failure

KEY = b"k" * 32
MESSAGES = st.lists(st.binary(max_size=40), max_size=5)


def bodies(data, maximum_bytes=1000):
    splitter = FrameSplitter(maximum_bytes)
    splitter.feed(data)
    return list(iter(splitter.next_body, None))


class PeerFramesTest(testtools.TestCase):
    @given(st.lists(MESSAGES, max_size=4), st.integers(1, 17))
    def test_messages_survive_any_cutting_of_the_stream(self, writes, step):
        sealer, opener, splitter = FrameSealer(KEY), FrameOpener(KEY), FrameSplitter(1000)
        stream = b"".join(sealer.seal(messages) for messages in writes)
        received = []
        for position in range(0, len(stream), step):
            splitter.feed(stream[position : position + step])
            received += [opener.open(body) for body in iter(splitter.next_body, None)]
        self.assertEqual(writes, received)

    @given(MESSAGES, st.integers(min_value=0), st.integers(1, 255))
    def test_a_changed_byte_is_noticed(self, messages, position, change):
        (body,) = bodies(FrameSealer(KEY).seal(messages))
        damaged = bytearray(body)
        damaged[position % len(body)] ^= change
        result = FrameOpener(KEY).open(bytes(damaged))
        self.assertEqual(FrameFailureKind.BAD_MAC, result.kind)

    def test_repeated_dropped_and_swapped_frames_are_noticed(self):
        sealer = FrameSealer(KEY)
        (first,), (second,) = bodies(sealer.seal([b"1"])), bodies(sealer.seal([b"2"]))
        opener = FrameOpener(KEY)
        self.assertIsInstance(opener.open(second), Failure)
        self.assertEqual([b"1"], opener.open(first))
        self.assertIsInstance(opener.open(first), Failure)
        self.assertEqual([b"2"], opener.open(second))

    def test_large_body_is_refused_before_it_is_buffered(self):
        splitter = FrameSplitter(maximum_bytes=10)
        splitter.feed(with_length(b"x" * 11)[:4])
        failure = splitter.next_body()
        self.assertEqual(FrameFailureKind.TOO_LARGE, failure.kind)

    @given(st.binary(max_size=60))
    def test_arbitrary_frames_and_datagrams_are_refused(self, data):
        self.assertIsInstance(FrameOpener(KEY).open(data), Failure)
        self.assertIsInstance(DatagramSealer(ClusterKey(KEY)).open(data), Failure)

    def test_datagram_of_another_cluster_is_refused(self):
        datagram = DatagramSealer(ClusterKey(KEY)).seal(b"message")
        self.assertEqual(b"message", DatagramSealer(ClusterKey(KEY)).open(datagram))
        other = DatagramSealer(ClusterKey(b"o" * 32)).open(datagram)
        self.assertEqual(FrameFailureKind.BAD_MAC, other.kind)

    def test_short_cluster_key_is_refused(self):
        self.assertRaises(ValueError, ClusterKey, b"short")
