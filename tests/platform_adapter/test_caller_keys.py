"""The key in callers' headers is taken out and shown nowhere; replicas hear the tenant's name."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.adapters.http_messages import HttpRequest, headers_from_raw
from wingquay.adapters.request_encoder import RequestEncoder
from wingquay.model.replica_record import ReplicaRecord
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.platform.caller_dialect import PlatformCallerDialect
from wingquay.platform.replica_dialect import PlatformReplicaDialect
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    Headers,
    OpaqueRequest,
    ReplyFailure,
    SendToReplica,
)

SECRET = "k-3fd0"
HOST = (b"Host", b"a.example")
REQUEST_ID = (b"Request-Id", b"r1")
USUAL = (HOST, REQUEST_ID)

SHOWN: tuple[tuple[Headers, str], ...] = (
    ((), ""),
    (((b"Authorization", b"Bearer k-3fd0"),), SECRET),
    (((b"authorization", b"bearer k-3fd0"),), SECRET),
    (((b"AUTHORIZATION", b"BEARER   k-3fd0  "),), SECRET),
    (((b"Authorization", b"Bearer\tk-3fd0"),), SECRET),
    (((b"Authorization", b"Bearer k-3fd0"), (b"authorization", b"bearer k-3fd0")), SECRET),
    (((b"Authorization", b"Bearer k-3fd0"), (b"Authorization", b"Bearer other")), ""),
    (((b"Authorization", b"Bearer k-3fd0"), (b"Authorization", b"Basic k-3fd0")), ""),
    (((b"Authorization", b"Bearer k-3fd0"), (b"Authorization", b"")), ""),
    (((b"Authorization", b"Bearer k-3fd0, Bearer other"),), "k-3fd0, Bearer other"),
    (((b"Authorization", b"Bearer a b"),), "a b"),
    (((b"Authorization", b"Bearer"),), ""),
    (((b"Authorization", b"Bearer "),), ""),
    (((b"Authorization", b"k-3fd0"),), ""),
    (((b"Authorization", b"Basic k-3fd0"),), ""),
    (((b"Authorization", b"Bearerk-3fd0"),), ""),
    (((b"Authorization", "Bearer ключ".encode()),), "ключ"),
    (((b"Authorization", b"Bearer \xe9"),), "\u00e9"),
    (((b"Proxy-Authorization", b"Bearer k-3fd0"),), ""),
    (((b"Connection", b"Authorization"), (b"Authorization", b"Bearer k-3fd0")), SECRET),
)
"""Further headers of a caller, and the key that they show."""

SPELLINGS = st.text("aA", min_size=9, max_size=9)


def in_spelling(name: bytes, spelling: str) -> bytes:
    """Return a name with capitals where the spelling has them, over and over."""
    return bytes(
        ord(chr(sign).upper() if spelling[place % len(spelling)] == "A" else chr(sign).lower())
        for place, sign in enumerate(name)
    )


def understood(*headers: tuple[bytes, bytes]) -> ForwardRequested:
    raw = (*USUAL, *headers)
    by_name = headers_from_raw([(name.lower(), text) for name, text in raw])
    request = HttpRequest("GET", "/a/b", {}, by_name, b"body", b"/a/b?c", raw)
    event = PlatformCallerDialect().understand(1, request)
    assert isinstance(event, ForwardRequested)
    return event


class CallerKeyTest(TestCase):
    def test_the_key_is_taken_from_the_header(self) -> None:
        for headers, key in SHOWN:
            self.assertEqual(key, understood(*headers).key, headers)

    def test_a_request_that_says_nothing_of_its_caller_is_made_once(self) -> None:
        event = understood((b"X-Other", b"1"))
        self.assertEqual(
            ("", None, (*USUAL, (b"X-Other", b"1"))),
            (event.key, event.stripped_request, event.request.headers),
        )

    def test_the_bare_request_has_everything_else(self) -> None:
        event = understood(
            (b"X-Before", b"1"),
            (b"Authorization", b"Bearer k-3fd0"),
            (b"TENANT", b"forged"),
            (b"X-After", b"2"),
            (b"tenant", b"forged again"),
        )
        headers = (*USUAL, (b"X-Before", b"1"), (b"X-After", b"2"))
        self.assertEqual(OpaqueRequest(b"GET", b"/a/b?c", headers, b"body"), event.stripped_request)

    def test_without_tenants_everything_is_passed_on_as_it_came(self) -> None:
        own = ((b"Authorization", b"Bearer k-3fd0"), (b"TENANT", b"mine"))
        event = understood(*own)
        self.assertEqual(OpaqueRequest(b"GET", b"/a/b?c", (*USUAL, *own), b"body"), event.request)

    @given(SPELLINGS, SPELLINGS, st.integers(1, 3), st.booleans())
    def test_no_spelling_brings_a_key_or_a_tenant_through(
        self, spelling: str, other: str, times: int, is_first: bool
    ) -> None:
        name = in_spelling(b"Authorization", spelling)
        text = in_spelling(b"Bearer", other) + b" " + SECRET.encode()
        forged = (in_spelling(b"Tenant", spelling), b"forged")
        shown = [(name, text)] * times
        event = understood(*([forged, *shown] if is_first else [*shown, forged]))
        assert event.key == SECRET
        assert event.stripped_request is not None
        assert event.stripped_request.headers == USUAL

    @given(st.lists(st.sampled_from([*SHOWN, (((b"Tenant", b"forged"),), "")]), max_size=4))
    def test_headers_of_several_forms_show_one_key_or_none(
        self, forms: list[tuple[Headers, str]]
    ) -> None:
        headers = tuple(pair for own, _ in forms for pair in own)
        event = understood(*headers)
        texts = {text for name, text in headers if name.lower() == b"authorization"}
        if event.key:
            assert len({text.split(None, 1)[1].strip() for text in texts}) == 1
        left = event.request if event.stripped_request is None else event.stripped_request
        names = {name.lower() for name, _ in left.headers}
        assert names.isdisjoint({b"authorization", b"tenant"})

    def test_no_text_of_a_value_shows_the_key(self) -> None:
        event = understood((b"Authorization", b"Bearer k-3fd0"))
        tenant = Tenant("kiosk", (SECRET,), 1)
        for shown in (event, event.request, tenant, TenantDirectory((tenant,))):
            self.assertNotIn(SECRET, repr(shown))
        self.assertEqual(
            "Tenant(name='kiosk', priority=1, requests_per_second=0.0, burst=0.0)", repr(tenant)
        )
        self.assertEqual(
            "OpaqueRequest(method=b'GET', target=b'/a/b?c', body=b'body')", repr(event.request)
        )


class ReplyTest(TestCase):
    def test_the_statuses_of_callers(self) -> None:
        dialect = PlatformCallerDialect()
        unknown = dialect.response(ReplyFailure(1, ForwardFailureKind.UNKNOWN_CALLER, "who"))
        json = {"content-type": "application/json"}
        self.assertEqual(
            (401, {**json, "WWW-Authenticate": "Bearer"}, b'{"error":"who"}'),
            (unknown.status, unknown.headers, unknown.body),
        )
        over = dialect.response(ReplyFailure(1, ForwardFailureKind.OVER_LIMIT, "many", 0.25))
        self.assertEqual(
            (429, {**json, "Retry-After": "0.250"}, b'{"error":"many"}'),
            (over.status, over.headers, over.body),
        )


class TenantHeaderTest(TestCase):
    def test_the_replica_is_told_the_tenant_and_nothing_without_one(self) -> None:
        record = ReplicaRecord("i-1", "s", "10.0.0.1", 80, "a", 2)
        request = OpaqueRequest(b"GET", b"/a", USUAL)
        own = b"Deadline-Ms: 1500\r\nExpected-Instance: i-1\r\n"
        shared = b"GET /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        encoder = RequestEncoder(PlatformReplicaDialect())
        for tenant, expected in (
            ("", shared + own + b"\r\n"),
            ("a b", shared + own + b"Tenant: a b\r\n\r\n"),
            ("", shared + own + b"\r\n"),
        ):
            action = SendToReplica(1, record, "r1", request, 1.5, tenant=tenant)
            self.assertEqual(expected, encoder.encode(action, 0.0))
