"""The back-end client against a scripted back end on loopback."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import orjson
import testtools

from wingquay.adapters.backend_client import CROSSED_COUNTER, BackendClient
from wingquay.adapters.http_messages import ConnectionCutError, HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.model.answer import Row
from wingquay.model.failure import Failure
from wingquay.model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from wingquay.model.key_range import KeyRange
from wingquay.ports.backend import (
    NOT_RUN_KINDS,
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    CancelAttempt,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from wingquay.ports.machine import Count, Event

LOOPBACK = "127.0.0.1"
TEST_LIMIT_SECONDS = 20.0
REPLICA = ReplicaId("replica-1")
TRACEPARENT = f"00-{'1' * 32}-{'2' * 16}-01"
ANSWER = {"snapshot": 7, "covered": [["a", "m"], ["x", None]], "rows": [["b", "value"]]}
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Backend:
    """A back end that answers as told, and the client that asks it."""

    def __init__(self, handler: Handler, answer_bytes: int = 10_000) -> None:
        self.requests: list[HttpRequest] = []
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.counts: list[Count] = []
        self.client = BackendClient(self.events.put_nowait, self.counts.append, answer_bytes)
        self._handler = handler
        self._server = HttpServer(self._handle)

    async def __aenter__(self) -> "Backend":
        self.port = await self._server.start(LOOPBACK, 0)
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.client.close()
        await self._server.close()

    def start(self, name: str, seconds: float = 10.0, connection_limit: int = 2) -> None:
        self.client.perform(
            StartAttempt(
                attempt_id=AttemptId(name),
                replica_id=REPLICA,
                host=LOOPBACK,
                port=self.port,
                connection_limit=connection_limit,
                service=ServiceName("coverage-lookup"),
                shard_id=ShardId("shard-3"),
                kind=RequestKindName("tower-sweep"),
                key_ranges=(KeyRange("a", "m"), KeyRange("x", None)),
                snapshot=SnapshotVersion(7),
                remaining_seconds=seconds,
                repeatable=True,
                body="towers",
                traceparent=TRACEPARENT,
            )
        )

    async def finished(self) -> AttemptFinished:
        event = await self.events.get()
        assert isinstance(event, AttemptFinished)
        return event

    async def ask(self, name: str = "attempt-1") -> AttemptFinished:
        self.start(name)
        return await self.finished()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return await self._handler(request)


def replying(
    status: int,
    document: object,
    headers: dict[str, str] | None = None,
    attempt_id: str | None = None,
) -> Handler:
    """Reply alike to every request; ``attempt_id`` of ``""`` leaves the header out."""

    async def reply(request: HttpRequest) -> HttpResponse:
        named = request.headers.get("wingquay-attempt", "") if attempt_id is None else attempt_id
        all_headers = {"wingquay-attempt": named, **(headers or {})}
        if not named:
            del all_headers["wingquay-attempt"]
        body = document if isinstance(document, bytes) else orjson.dumps(document)
        return HttpResponse(status, all_headers, body)

    return reply


class BackendClientTest(testtools.TestCase):
    def run_with(
        self,
        handler: Handler,
        test: Callable[[Backend], Coroutine[Any, Any, None]],
    ) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(TEST_LIMIT_SECONDS), Backend(handler) as backend:
                await test(backend)

        asyncio.run(bounded())

    def ask_once(self, handler: Handler) -> AttemptFinished:
        events: list[AttemptFinished] = []

        async def test(backend: Backend) -> None:
            events.append(await backend.ask())

        self.run_with(handler, test)
        return events[0]

    def assert_failure(self, kind: BackendFailureKind, result: object) -> None:
        assert isinstance(result, Failure), result
        self.assertEqual(kind, result.kind, result.reason)

    def test_whole_answer_with_load(self) -> None:
        headers = {
            "endpoint-load-metrics": 'JSON {"application_utilization": 0.4}',
            "wingquay-versions": "5-9",
            "wingquay-state": "draining",
        }

        async def test(backend: Backend) -> None:
            event = await backend.ask("attempt-9")
            covered = (KeyRange("a", "m"), KeyRange("x", None))
            answer = BackendAnswer(SnapshotVersion(7), covered, (Row("b", "value"),))
            load = LoadReport(0.4, True, False, SnapshotVersion(5), SnapshotVersion(9))
            expected = AttemptFinished(AttemptId("attempt-9"), REPLICA, answer, load)
            self.assertEqual(expected, event)
            request = backend.requests[0]
            self.assertEqual(("POST", "/search"), (request.method, request.path))
            self.assertEqual("attempt-9", request.headers["wingquay-attempt"])
            self.assertEqual("7", request.headers["wingquay-snapshot"])
            self.assertEqual("10000", request.headers["wingquay-deadline-ms"])
            self.assertEqual(TRACEPARENT, request.headers["traceparent"])
            document = {
                "service": "coverage-lookup",
                "shard": "shard-3",
                "kind": "tower-sweep",
                "key_ranges": [["a", "m"], ["x", None]],
                "body": "towers",
            }
            self.assertEqual(document, orjson.loads(request.body))

        self.run_with(replying(200, ANSWER, headers), test)

    def test_refusals_by_the_back_end(self) -> None:
        for status, problem_type, kind in (
            (409, "snapshot-not-held", BackendFailureKind.NOT_HELD),
            (421, "wrong-shard", BackendFailureKind.WRONG_SHARD),
            (503, "shed", BackendFailureKind.SHED),
            (503, "draining", BackendFailureKind.DRAINING),
            (504, "deadline-passed", BackendFailureKind.SHED),
        ):
            problem = {"type": problem_type, "not_run": True}
            self.assert_failure(kind, self.ask_once(replying(status, problem)).result)
            self.assertIn(kind, NOT_RUN_KINDS)

    def test_not_run_is_believed_only_when_said_of_this_attempt(self) -> None:
        problem = {"type": "shed", "not_run": True}
        unnamed = self.ask_once(replying(503, problem, attempt_id=""))
        self.assert_failure(BackendFailureKind.ERROR, unnamed.result)
        crossed = self.ask_once(replying(503, problem, attempt_id="another"))
        self.assert_failure(BackendFailureKind.BROKEN, crossed.result)
        begun = self.ask_once(replying(504, {"type": "deadline-passed", "not_run": False}))
        self.assert_failure(BackendFailureKind.TIMED_OUT, begun.result)
        vague_documents: list[object] = [{"type": "shed"}, {"type": "shed", "not_run": 1}, b"<"]
        for document in vague_documents:
            vague = self.ask_once(replying(503, document))
            self.assert_failure(BackendFailureKind.ERROR, vague.result)

    def test_malformed_answers_are_broken(self) -> None:
        for document in (
            b"",
            b"{",
            b"[]",
            {**ANSWER, "snapshot": "7"},
            {**ANSWER, "snapshot": True},
            {**ANSWER, "snapshot": 2**63},
            {**ANSWER, "snapshot": -1},
            {**ANSWER, "covered": [["a"]]},
            {**ANSWER, "covered": None},
            {**ANSWER, "rows": [["a", 1]]},
            {**ANSWER, "rows": ["ab"]},
        ):
            event = self.ask_once(replying(200, document))
            self.assert_failure(BackendFailureKind.BROKEN, event.result)

    def test_damaged_load_is_left_out(self) -> None:
        for headers in (
            {"endpoint-load-metrics": "JSON {", "wingquay-versions": "x-1"},
            {"endpoint-load-metrics": "BIN AAAA", "wingquay-versions": "5"},
            {"endpoint-load-metrics": "TEXT application_utilization=nan"},
        ):
            event = self.ask_once(replying(200, ANSWER, headers))
            self.assertIsInstance(event.result, BackendAnswer)
            self.assertEqual(LoadReport(), event.load)

    def test_answer_to_another_attempt_is_dropped_counted_and_its_connection_closed(self) -> None:
        async def test(backend: Backend) -> None:
            event = await backend.ask()
            self.assert_failure(BackendFailureKind.BROKEN, event.result)
            self.assertEqual([Count(CROSSED_COUNTER)], backend.counts)
            self.assertEqual(0, backend.client.open_connections(LOOPBACK, backend.port))

        self.run_with(replying(200, ANSWER, attempt_id="another"), test)

    def test_answer_that_names_no_attempt_is_dropped(self) -> None:
        event = self.ask_once(replying(200, ANSWER, attempt_id=""))
        self.assert_failure(BackendFailureKind.BROKEN, event.result)

    def test_cut_connections_and_oversized_answers(self) -> None:
        async def cut(_request: HttpRequest) -> HttpResponse:
            raise ConnectionCutError

        self.assert_failure(BackendFailureKind.BROKEN, self.ask_once(cut).result)
        large = self.ask_once(replying(200, b" " * 10_001))
        self.assert_failure(BackendFailureKind.ERROR, large.result)

    def test_nothing_sent(self) -> None:
        async def test(backend: Backend) -> None:
            backend.start("late", seconds=0.0)
            backend.start("first", connection_limit=1)
            backend.start("second", connection_limit=1)
            results = [await backend.finished() for _ in range(3)]
            by_name = {event.attempt_id: event.result for event in results}
            for name in ("late", "second"):
                self.assert_failure(BackendFailureKind.NO_CONNECTION_FREE, by_name[AttemptId(name)])
            self.assertIsInstance(by_name[AttemptId("first")], BackendAnswer)
            self.assertEqual(1, len(backend.requests))

        self.run_with(replying(200, ANSWER), test)

    def test_silence_times_out_and_cancelled_attempts_stay_silent(self) -> None:
        async def silent(_request: HttpRequest) -> HttpResponse:
            await asyncio.Event().wait()
            raise AssertionError

        async def test(backend: Backend) -> None:
            backend.start("cancelled", connection_limit=1)
            while not backend.requests:
                await asyncio.sleep(0)
            backend.client.perform(CancelAttempt(AttemptId("cancelled")))
            backend.client.perform(CancelAttempt(AttemptId("never-started")))
            backend.start("silent", seconds=0.05, connection_limit=1)
            event = await backend.finished()
            self.assertEqual("silent", event.attempt_id)
            self.assert_failure(BackendFailureKind.TIMED_OUT, event.result)
            self.assertTrue(backend.events.empty())

        self.run_with(silent, test)

    def test_answers_that_come_late_reach_no_other_attempt(self) -> None:
        asked, may_answer = asyncio.Event(), asyncio.Event()
        reply = replying(200, ANSWER)

        async def answer_late(request: HttpRequest) -> HttpResponse:
            if request.headers["wingquay-attempt"] == "late":
                asked.set()
                await asyncio.shield(may_answer.wait())
            return await reply(request)

        async def test(backend: Backend) -> None:
            backend.start("late")
            await asked.wait()
            backend.client.perform(CancelAttempt(AttemptId("late")))
            may_answer.set()
            for number in range(20):
                event = await backend.ask(f"attempt-{number}")
                self.assertEqual(f"attempt-{number}", event.attempt_id)
                self.assertIsInstance(event.result, BackendAnswer)
            self.assertEqual([], backend.counts)

        self.run_with(answer_late, test)

    def test_probe_reads_the_health_page(self) -> None:
        page = {"state": "cold", "oldest": 3, "newest": 4, "utilization": 1.5}
        versions = SnapshotVersion(3), SnapshotVersion(4)

        async def test(backend: Backend) -> None:
            backend.client.perform(ProbeReplica(REPLICA, LOOPBACK, backend.port, 10.0))
            expected = ReplicaProbed(REPLICA, LoadReport(1.5, False, True, *versions))
            self.assertEqual(expected, await backend.events.get())

        self.run_with(replying(200, page), test)

    def test_unreadable_health_pages_are_failures(self) -> None:
        async def test(backend: Backend) -> None:
            backend.client.perform(ProbeReplica(REPLICA, LOOPBACK, backend.port, 10.0))
            event = await backend.events.get()
            assert isinstance(event, ReplicaProbed)
            self.assertIsInstance(event.result, Failure)

        for handler in (replying(500, {}), replying(200, b"{"), replying(200, {"state": 1})):
            self.run_with(handler, test)
