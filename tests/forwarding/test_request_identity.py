"""The digest that identifies repeats of the same request."""

from testtools import TestCase

from wingquay.forwarding.arrival.request_identity import DIGEST_BYTES, compute_identity
from wingquay.ports.forwarding import OpaqueRequest

HEADERS = ((b"Host", b"search.example"), (b"Request-Id", b"1"), (b"Accept", b"*/*"))
REQUEST = OpaqueRequest(b"GET", b"/a?b=1", HEADERS)


class RequestIdentityTest(TestCase):
    def test_headers_that_differ_between_retries_do_not_change_the_identity(self) -> None:
        for headers in (
            ((b"host", b"Search.Example"),),
            ((b"Accept", b"text/plain"), (b"Host", b"search.example")),
            ((b"Host", b"search.example"), (b"Request-Id", b"2"), (b"Deadline-Ms", b"70")),
        ):
            same = OpaqueRequest(b"GET", b"/a?b=1", headers)
            self.assertEqual(compute_identity(REQUEST), compute_identity(same), headers)

    def test_method_host_target_body_and_caller_change_the_identity(self) -> None:
        others = [
            OpaqueRequest(b"POST", b"/a?b=1", HEADERS),
            OpaqueRequest(b"GET", b"/a?b=2", HEADERS),
            OpaqueRequest(b"GET", b"/a", HEADERS),
            OpaqueRequest(b"GET", b"/a?b=1", HEADERS, b"x"),
            OpaqueRequest(b"GET", b"/a?b=1", ((b"Host", b"other.example"),)),
            OpaqueRequest(b"GET", b"/a?b=1", (*HEADERS, (b"Authorization", b"Bearer a"))),
            OpaqueRequest(b"GET", b"/a?b=1", (*HEADERS, (b"Authorization", b"Bearer b"))),
            OpaqueRequest(b"GET", b"/a?b=1", (*HEADERS, (b"Cookie", b"Bearer a"))),
        ]
        digests = {compute_identity(request) for request in (REQUEST, *others)}
        self.assertEqual(1 + len(others), len(digests))

    def test_adjacent_parts_are_kept_distinct(self) -> None:
        self.assertNotEqual(
            compute_identity(OpaqueRequest(b"GET", b"/ab", (), b"c")),
            compute_identity(OpaqueRequest(b"GET", b"/a", (), b"bc")),
        )

    def test_the_digest_has_a_fixed_size(self) -> None:
        large = OpaqueRequest(b"POST", b"/a", HEADERS, b"x" * 100_000)
        self.assertEqual(
            [DIGEST_BYTES] * 2, [len(compute_identity(item)) for item in (REQUEST, large)]
        )
