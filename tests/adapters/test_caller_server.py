"""The caller interface over loopback, with a scripted node behind it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import testtools

from wingquay.adapters.bearer_tokens import ConfiguredCallers, hash_token
from wingquay.adapters.caller_server import CallerServer
from wingquay.adapters.health_pages import HealthPages
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_messages import HttpLimits, HttpRequest, HttpResponse
from wingquay.model.answer import Answer, MissingPart, MissingReason, Outcome, Row, Timings
from wingquay.model.configuration import Caller, CoveragePreference
from wingquay.model.identifiers import CallerName, NodeId, RequestId, ServiceName, SnapshotVersion
from wingquay.model.key_range import KeyRange
from wingquay.model.request import QueryRequest
from wingquay.ports.caller import AnswerCaller, CallerGone, CallerRequest, SetReady
from wingquay.ports.machine import Event

LOOPBACK = "127.0.0.1"
TEST_LIMIT_SECONDS = 20.0
TOKEN = "portal-token"
TRACEPARENT = f"00-{'1' * 32}-{'2' * 16}-01"
MINIMAL = {"service": "coverage-lookup", "kind": "outage-ping", "keys": ["k"]}
ANSWER = Answer(RequestId(""), Outcome.COMPLETE)
LIMITS = HttpLimits(header_bytes=2_000, body_bytes=2_000)


def answer_with(**fields: Any) -> Answer:
    return Answer(RequestId(""), **fields)


class CallerBench:
    """A caller server whose node answers every request alike (``None``: never)."""

    def __init__(self, answer: Answer | None) -> None:
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        callers = ConfiguredCallers()
        name, services = CallerName("portal"), (ServiceName("coverage-lookup"),)
        known = Caller(name=name, token_sha256=hash_token(TOKEN), services=services)
        callers.replace([known])
        pages = HealthPages(lambda: b"metric 1\n")
        self.server = CallerServer(NodeId("node-1"), self._emit, callers, pages, LIMITS)
        self._answer = answer

    def _emit(self, event: Event) -> None:
        self.events.put_nowait(event)
        if isinstance(event, CallerRequest) and self._answer is not None:
            request_id = event.request.request_id
            fields = {name: getattr(self._answer, name) for name in Answer.__slots__}
            self.server.perform(AnswerCaller(Answer(**{**fields, "request_id": request_id})))

    async def __aenter__(self) -> "CallerBench":
        self.port = await self.server.start(LOOPBACK, 0)
        self.client = HttpClient()
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.client.close()
        await self.server.close()

    async def send(
        self,
        body: bytes,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        path: str = "/v1/query",
    ) -> HttpResponse:
        all_headers = {"authorization": f"Bearer {TOKEN}", **(headers or {})}
        response = await self.client.request(LOOPBACK, self.port, method, path, all_headers, body)
        assert isinstance(response, HttpResponse), response
        return response

    async def query(self) -> QueryRequest:
        event = await self.events.get()
        assert isinstance(event, CallerRequest)
        return event.request


class CallerServerTest(testtools.TestCase):
    def run_with(
        self,
        answer: Answer | None,
        test: Callable[[CallerBench], Coroutine[Any, Any, None]],
    ) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(TEST_LIMIT_SECONDS), CallerBench(answer) as caller:
                await test(caller)

        asyncio.run(bounded())

    def exchange(
        self,
        document: object,
        headers: dict[str, str] | None = None,
        answer: Answer | None = ANSWER,
    ) -> HttpResponse:
        responses: list[HttpResponse] = []

        async def test(caller: CallerBench) -> None:
            body = document if isinstance(document, bytes) else orjson.dumps(document)
            responses.append(await caller.send(body, headers))

        self.run_with(answer, test)
        return responses[0]

    def document(self, response: HttpResponse) -> dict[str, Any]:
        document: dict[str, Any] = orjson.loads(response.whole_body)
        return document

    def test_every_field_reaches_the_node(self) -> None:
        document = {
            "service": "survey-intake",
            "kind": "survey-edit",
            "key_ranges": [{"start": "a", "end": "b"}, {"start": "x"}],
            "deadline_ms": 1500,
            "repeatable": False,
            "coverage": "latency_first",
            "body": "text",
        }
        headers = {"idempotency-key": '"edit-1"', "traceparent": TRACEPARENT}

        async def test(caller: CallerBench) -> None:
            await caller.send(orjson.dumps(document), headers)
            query = await caller.query()
            self.assertEqual((KeyRange("a", "b"), KeyRange("x", None)), query.key_ranges)
            self.assertEqual(("survey-intake", "survey-edit"), (query.service, query.kind))
            self.assertEqual((1.5, False), (query.deadline_seconds, query.repeatable))
            self.assertEqual(CoveragePreference.LATENCY_FIRST, query.coverage_preference)
            self.assertEqual(("edit-1", "text"), (query.idempotency_key, query.body))
            self.assertEqual((TRACEPARENT, "portal"), (query.traceparent, query.caller))
            await caller.send(orjson.dumps(MINIMAL), {"traceparent": "damaged"})
            minimal = await caller.query()
            self.assertEqual((KeyRange.from_key("k"),), minimal.key_ranges)
            self.assertEqual((None, None), (minimal.deadline_seconds, minimal.repeatable))
            self.assertEqual((None, None), (minimal.idempotency_key, minimal.traceparent))
            self.assertNotEqual(query.request_id, minimal.request_id)

        self.run_with(ANSWER, test)

    def test_partial_answer_names_what_is_missing(self) -> None:
        missing = (MissingPart(KeyRange("m", None), MissingReason.DEADLINE),)
        answer = answer_with(
            outcome=Outcome.PARTIAL,
            reason="one shard was slow",
            snapshot=SnapshotVersion(7),
            covered=(KeyRange("a", "m"),),
            missing=missing,
            rows=(Row("b", "value"),),
            timings=Timings(0.25, 0.1, 0.05),
            sub_requests=8,
            attempts=9,
        )
        response = self.exchange(MINIMAL, answer=answer)
        document = self.document(response)
        self.assertEqual(200, response.status)
        self.assertEqual(document["request_id"], response.headers["x-request-id"])
        expected = {
            "request_id": document["request_id"],
            "outcome": "partial",
            "detail": "one shard was slow",
            "snapshot": 7,
            "covered": [{"start": "a", "end": "m"}],
            "missing": [{"start": "m", "end": None, "reason": "deadline"}],
            "rows": [{"key": "b", "value": "value"}],
            "timings": {"total_ms": 250.0, "queue_ms": 100.0, "service_ms": 50.0},
            "sub_requests": 8,
            "attempts": 9,
        }
        self.assertEqual(expected, document)

    def test_outcomes_can_be_told_apart(self) -> None:
        for outcome, status, retry in (
            (Outcome.COMPLETE, 200, None),
            (Outcome.REFUSED_NOT_RUN, 503, "3"),
            (Outcome.UNKNOWN, 504, "3"),
            (Outcome.INVALID, 422, None),
        ):
            answer = answer_with(outcome=outcome, reason="why", retry_after_seconds=2.1)
            response = self.exchange(MINIMAL, answer=answer)
            self.assertEqual(
                (status, retry), (response.status, response.headers.get("retry-after"))
            )
            self.assertEqual(outcome.value, self.document(response)["outcome"])

    def test_every_wrong_field_is_named_with_its_value(self) -> None:
        document = {
            "service": "",
            "keys": ["k", 5],
            "deadline_ms": -1,
            "repeatable": "yes",
            "coverage": "some",
            "colour": "red",
        }
        response = self.exchange(document, {"idempotency-key": "a b"})
        errors = {entry["field"]: entry for entry in self.document(response)["errors"]}
        self.assertEqual(422, response.status)
        self.assertEqual(self.document(response)["request_id"], response.headers["x-request-id"])
        values = {field: entry["value"] for field, entry in errors.items()}
        expected = {
            "Idempotency-Key": '"a b"',
            "service": '""',
            "kind": None,
            "keys[1]": "5",
            "deadline_ms": "-1",
            "repeatable": '"yes"',
            "coverage": '"some"',
            "colour": '"red"',
        }
        self.assertEqual(expected, values)
        key_alone = self.exchange(MINIMAL, {"idempotency-key": "a b"})
        self.assertEqual(422, key_alone.status)
        self.assertIn("greater than 0", errors["deadline_ms"]["allowed"])
        self.assertIn("latency_first", errors["coverage"]["allowed"])

    def test_wrong_bodies(self) -> None:
        both = {**MINIMAL, "key_ranges": [{}]}
        backwards = {"service": "s", "kind": "k", "key_ranges": [{"start": "b", "end": "a"}]}
        cases: list[tuple[int, object]] = [
            (400, b"{"),
            (400, b""),
            (400, b"\xff"),
            (400, b"[" * 1_900),
            (422, []),
            (422, both),
            (422, {"service": "s", "kind": "k"}),
            (422, {"service": "s", "kind": "k", "keys": []}),
            (422, backwards),
            (413, b" " * 2_001),
        ]
        for status, document in cases:
            response = self.exchange(document)
            self.assertEqual(status, response.status, repr(document))
            self.assertEqual("application/problem+json", response.headers["content-type"])

    def test_tokens_paths_methods_and_types(self) -> None:
        async def test(caller: CallerBench) -> None:
            body = orjson.dumps(MINIMAL)
            for value in ("", "Bearer", "Bearer wrong", f"Basic {TOKEN}", f"Bearer {TOKEN}x"):
                refused = await caller.send(body, {"authorization": value})
                self.assertEqual(401, refused.status)
                self.assertIn("www-authenticate", refused.headers)
                self.assertNotIn(b"wrong", refused.whole_body)
            text = await caller.send(body, {"content-type": "text/plain"})
            unknown = await caller.send(body, path="/v2/query")
            method = await caller.send(b"", method="GET")
            long = await caller.send(body, {"x": "y" * 2_000})
            self.assertEqual([415, 404, 405], [text.status, unknown.status, method.status])
            self.assertEqual((431, "POST"), (long.status, method.headers["allow"]))
            self.assertTrue(caller.events.empty())

        self.run_with(ANSWER, test)

    def test_before_the_first_configuration_nobody_is_called_unknown(self) -> None:
        async def test(caller: CallerBench) -> None:
            await caller.server.close()
            caller.server = CallerServer(
                NodeId("node-1"), caller._emit, ConfiguredCallers(), HealthPages(), LIMITS
            )
            caller.port = await caller.server.start(LOOPBACK, 0)
            refused = await caller.send(orjson.dumps(MINIMAL))
            self.assertEqual((503, "1"), (refused.status, refused.headers["retry-after"]))
            self.assertEqual("refused_not_run", self.document(refused)["outcome"])

        self.run_with(ANSWER, test)

    def test_caller_that_goes_is_reported_and_late_answers_are_dropped(self) -> None:
        async def test(caller: CallerBench) -> None:
            sending = asyncio.create_task(caller.send(orjson.dumps(MINIMAL)))
            request_id = (await caller.query()).request_id
            sending.cancel()
            self.assertEqual(CallerGone(request_id), await caller.events.get())
            late = Answer(request_id, Outcome.COMPLETE)
            caller.server.perform(AnswerCaller(late))
            self.assertEqual(0, caller.server.requests_in_flight)

        self.run_with(None, test)

    def test_callers_that_wait_when_the_node_ends_are_answered(self) -> None:
        """Guards against connections that end without an answer at the end of a stop."""

        async def test(caller: CallerBench) -> None:
            asked = asyncio.create_task(caller.send(orjson.dumps(MINIMAL)))
            await caller.query()
            await caller.server.close(TEST_LIMIT_SECONDS)
            response = await asked
            self.assertEqual(504, response.status)
            self.assertIn("stopped", self.document(response)["detail"])

        self.run_with(None, test)

    def test_half_closed_caller_counts_as_gone(self) -> None:
        async def test(caller: CallerBench) -> None:
            reader, writer = await asyncio.open_connection(LOOPBACK, caller.port)
            body = orjson.dumps(MINIMAL)
            head = f"host: a\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: {len(body)}\r\n"
            writer.write(f"POST /v1/query HTTP/1.1\r\n{head}\r\n".encode() + body)
            request_id = (await caller.query()).request_id
            writer.write_eof()
            self.assertEqual(b"", await reader.read())
            self.assertEqual(CallerGone(request_id), await caller.events.get())
            writer.close()

        self.run_with(None, test)

    def test_metrics_page_belongs_to_operators(self) -> None:
        page = HealthPages(lambda: b"metric 1\n").answer(HttpRequest("GET", "/metrics"))
        assert page is not None
        self.assertEqual(b"metric 1\n", page.body)

    def test_health_pages(self) -> None:
        async def test(caller: CallerBench) -> None:
            async def status(path: str, method: str = "GET") -> int:
                return (await caller.send(b"", {}, method, path)).status

            self.assertEqual(
                [200, 503], [await status("/health/live"), await status("/health/ready")]
            )
            caller.server.perform(SetReady(True, ""))
            self.assertEqual(200, await status("/health/ready"))
            self.assertEqual(405, await status("/health/ready", "POST"))
            ready = await caller.send(b"", {}, "GET", "/health/ready")
            self.assertNotIn("connection", ready.headers)
            self.assertEqual(404, await status("/metrics"))
            caller.server.perform(SetReady(False, "leaving"))
            leaving = await caller.send(b"", {}, "GET", "/health/ready")
            self.assertEqual((503, "close"), (leaving.status, leaving.headers["connection"]))
            self.assertEqual("leaving", self.document(leaving)["detail"])

        self.run_with(ANSWER, test)
