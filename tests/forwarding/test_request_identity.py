"""What makes two requests the same."""

from testtools import TestCase

from wingquay.forwarding.arrival.request_identity import DIGEST_BYTES, compute_identity
from wingquay.ports.forwarding import OpaqueRequest

HEADERS = ((b"Host", b"search.example"), (b"Request-Id", b"1"), (b"Accept", b"*/*"))
USUAL = OpaqueRequest(b"GET", b"/a?b=1", HEADERS)


class RequestIdentityTest(TestCase):
    def test_what_differs_from_try_to_try_makes_no_other_request(self) -> None:
        for headers in (
            ((b"host", b"Search.Example"),),
            ((b"Accept", b"text/plain"), (b"Host", b"search.example")),
            ((b"Host", b"search.example"), (b"Request-Id", b"2"), (b"Deadline-Ms", b"70")),
        ):
            same = OpaqueRequest(b"GET", b"/a?b=1", headers)
            self.assertEqual(compute_identity(USUAL), compute_identity(same), headers)

    def test_method_host_target_body_and_who_calls_make_another_request(self) -> None:
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
        digests = {compute_identity(request) for request in (USUAL, *others)}
        self.assertEqual(1 + len(others), len(digests))

    def test_parts_do_not_run_into_each_other(self) -> None:
        self.assertNotEqual(
            compute_identity(OpaqueRequest(b"GET", b"/ab", (), b"c")),
            compute_identity(OpaqueRequest(b"GET", b"/a", (), b"bc")),
        )

    def test_a_digest_has_the_same_size_whatever_the_request_has(self) -> None:
        large = OpaqueRequest(b"POST", b"/a", HEADERS, b"x" * 100_000)
        self.assertEqual(
            [DIGEST_BYTES] * 2, [len(compute_identity(item)) for item in (USUAL, large)]
        )
