import dataclasses
import types
import typing
from enum import Enum

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from wingquay.adapters import peer_codec
from wingquay.adapters.peer_codec_error import PeerCodecFailureKind
from wingquay.adapters.proto import peer_pb2
from wingquay.model.answer import HeldVersions
from wingquay.model.failure import Failure
from wingquay.model.identifiers import DeploymentName, NodeId, ReplicaId, ZoneName
from wingquay.ports import peer

SENDER = peer.NodeIdentity(NodeId("n1"), DeploymentName("ro-nord"), ZoneName("dej"), "127.0.0.1", 1)

TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=12)
NUMBERS = st.integers(0, 2**31 - 1)


def values_of(annotation: typing.Any) -> st.SearchStrategy[typing.Any]:
    """Build values of a type from its annotations, so that no new field goes untested."""
    while hasattr(annotation, "__supertype__"):
        annotation = annotation.__supertype__
    simple = {
        str: TEXTS,
        int: NUMBERS,
        float: st.floats(allow_nan=False, allow_infinity=False),
        bool: st.booleans(),
        bytes: st.binary(max_size=12),
        type(None): st.none(),
    }
    if annotation in simple:
        return simple[annotation]
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin in (typing.Union, types.UnionType):
        return st.one_of([values_of(argument) for argument in arguments])
    if origin is tuple:
        if arguments[-1] is Ellipsis:
            return st.lists(values_of(arguments[0]), max_size=3).map(tuple)
        return st.tuples(*(values_of(argument) for argument in arguments))
    if origin is Failure:
        return st.builds(Failure, values_of(arguments[0]), TEXTS)
    if issubclass(annotation, Enum):
        return st.sampled_from(annotation)
    return fields_of(annotation)


def fields_of(kind: type) -> st.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    built = st.builds(kind, **{name: values_of(hints[name]) for name in names})
    if kind is peer.ReplicaUpdate:
        return built.map(with_own_replica_id)
    return built


def with_own_replica_id(update: peer.ReplicaUpdate) -> peer.ReplicaUpdate:
    if update.held is None:
        return update
    held = dataclasses.replace(update.held, replica_id=update.replica_id)
    return dataclasses.replace(update, held=held)


FORWARDING_PORTS = (
    "wingquay.ports.limit_messages",
    "wingquay.ports.crash_messages",
    "wingquay.ports.delegation",
    "wingquay.ports.proof_messages",
    "wingquay.ports.reach_news",
    "wingquay.ports.store_update",
)
"""Their messages have a codec of their own, see test_forwarding_peer_codec."""


def all_message_types(base: type = peer.PeerMessage) -> set[type]:
    found: set[type] = set()
    for kind in base.__subclasses__():
        found |= all_message_types(kind)
        if dataclasses.is_dataclass(kind) and kind.__module__ not in FORWARDING_PORTS:
            found.add(kind)
    return found


class PeerCodecTest(testtools.TestCase):
    def test_every_message_of_the_port_has_a_codec(self):
        names = {kind.__name__ for kind in peer_codec.MESSAGE_TYPES}
        self.assertEqual({kind.__name__ for kind in all_message_types()}, names)

    @settings(max_examples=600, deadline=None)
    @given(st.one_of([fields_of(kind) for kind in peer_codec.MESSAGE_TYPES]))
    def test_every_field_survives(self, message):
        self.assertEqual((SENDER, message), peer_codec.decode(peer_codec.encode(message, SENDER)))

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, data):
        result = peer_codec.decode(data)
        self.assertIsInstance(result, (Failure, tuple))

    @settings(max_examples=400, deadline=None)
    @given(
        st.one_of([fields_of(kind) for kind in peer_codec.MESSAGE_TYPES]),
        st.integers(0, 10_000),
        st.integers(0, 255),
    )
    def test_damaged_messages_never_raise(self, message, position, value):
        data = bytearray(peer_codec.encode(message, SENDER))
        data[position % len(data)] = value
        result = peer_codec.decode(bytes(data))
        self.assertIsInstance(result, (Failure, tuple))

    def test_message_of_a_newer_version_is_named_as_such(self):
        unknown_field = b"\xfa\x01\x00"
        result = peer_codec.decode(unknown_field)
        self.assertEqual(PeerCodecFailureKind.UNKNOWN_MESSAGE, result.kind)

    def test_rows_without_values_are_malformed(self):
        envelope = peer_pb2.Envelope()
        answer = envelope.sub_result_batch.results.add().answer
        answer.row_keys.append("key")
        result = peer_codec.decode(envelope.SerializeToString())
        self.assertEqual(PeerCodecFailureKind.MALFORMED, result.kind)

    def test_infinite_numbers_are_malformed(self):
        envelope = peer_pb2.Envelope()
        envelope.sub_request_batch.sub_requests.add().remaining_seconds = float("nan")
        result = peer_codec.decode(envelope.SerializeToString())
        self.assertEqual(PeerCodecFailureKind.MALFORMED, result.kind)

    def test_lone_surrogates_are_refused(self):
        message = peer.CancelSubRequests(("\ud800",))
        self.assertRaises(ValueError, peer_codec.encode, message, SENDER)

    def test_held_versions_of_a_replica_update_need_no_second_id(self):
        replica = ReplicaId("replica-0001")
        held = HeldVersions(replica, 1, 2)
        update = peer.ReplicaUpdate(replica, peer.ReplicaState.SERVING, 1, held)
        gossip = peer.Gossip(0, (), (update,))
        data = peer_codec.encode(peer.NodeList(gossip), SENDER)
        self.assertEqual(1, data.count(replica.encode()))
