"""What a request has in common at all replicas is encoded once; the bytes are those of h11."""

from unittest import mock

import h11
from testtools import TestCase

from wingquay.adapters import request_encoder
from wingquay.adapters.request_encoder import RequestEncoder
from wingquay.model.replica_record import ReplicaRecord
from wingquay.ports.forwarding import Headers, OpaqueRequest, SendToReplica

COMMON = ((b"Host", b"search.example"), (b"Request-Id", b"r1"), (b"X-Odd", b"a, b"))


class OwnHeaders:
    def own_headers(self, action: SendToReplica, waited_seconds: float) -> Headers:
        return ((b"Replica", action.replica.replica_id.encode()),)


def sending(request: OpaqueRequest, replica_id: str = "i-1") -> SendToReplica:
    record = ReplicaRecord(replica_id, "s", "10.0.0.1", 80, "a", 2)
    return SendToReplica(1, record, "r1", request, 1.0)


def by_h11(request: OpaqueRequest, replica_id: str, *more: tuple[bytes, bytes]) -> bytes:
    headers = [*request.headers, *more, (b"Replica", replica_id.encode())]
    connection = h11.Connection(h11.CLIENT)
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    data = connection.send(head) or b""
    if request.body:
        data += connection.send(h11.Data(data=request.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


class RequestEncoderTest(TestCase):
    def test_the_bytes_are_those_of_the_library(self) -> None:
        for method, body, more in (
            (b"GET", b"", ()),
            (b"DELETE", b"", ()),
            (b"POST", b"", ((b"Content-Length", b"0"),)),
            (b"POST", b"body", ((b"Content-Length", b"4"),)),
        ):
            request = OpaqueRequest(method, b"/a?b=%20", COMMON, body)
            encoder = RequestEncoder(OwnHeaders())
            for replica_id in ("i-1", "i-22"):
                data = encoder.encode(sending(request, replica_id), 0.0)
                self.assertEqual(by_h11(request, replica_id, *more), data)

    def test_sendings_of_one_request_share_what_they_have_in_common(self) -> None:
        encoder = RequestEncoder(OwnHeaders())
        first, second = (OpaqueRequest(b"GET", b"/%d" % number, COMMON) for number in range(2))
        with mock.patch.object(request_encoder.h11, "Request", wraps=h11.Request) as made:
            for replica_id in ("i-1", "i-2", "i-3"):
                encoder.encode(sending(first, replica_id), 0.0)
            self.assertEqual(1, made.call_count)
            self.assertIn(b"/1 ", encoder.encode(sending(second), 0.0))
            self.assertEqual(2, made.call_count)

    def test_a_request_without_a_form_on_the_wire_is_refused(self) -> None:
        request = OpaqueRequest(b"GET", b"/a", ((b"Host", b"a\nb"),))
        encoder = RequestEncoder(OwnHeaders())
        self.assertRaises(h11.LocalProtocolError, encoder.encode, sending(request), 0.0)
