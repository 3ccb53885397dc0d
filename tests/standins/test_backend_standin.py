"""The back-end stand-in on loopback sockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import orjson
from testtools import TestCase

from wingquay.adapters.http_client import HttpClient, HttpResult
from wingquay.adapters.http_messages import HttpFailureKind, HttpResponse
from wingquay.model.failure import Failure
from wingquay.model.identifiers import ReplicaId, ServiceName, ShardId, SnapshotVersion
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.simulation.models.backend_settings import BackendSettings
from wingquay.simulation.models.dataset import Dataset
from wingquay.simulation.models.service_time import ServiceTimeSettings
from wingquay.standins.backend import BackendStandin

HOST = "127.0.0.1"
SERVICE = ServiceName("coverage-lookup")
DATASET = Dataset(key_count=30)
TIMEOUT_SECONDS = 20.0


class Bench:
    """A stand-in, a client, and short ways to use them."""

    def __init__(self, standin: BackendStandin, port: int, client: HttpClient) -> None:
        self.standin = standin
        self.port = port
        self.client = client

    async def post(self, path: str, document: object, **headers: str) -> HttpResult:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        body = orjson.dumps(document)
        return await self.client.request(
            HOST, self.port, "POST", path, named, body, TIMEOUT_SECONDS
        )

    async def search(self, attempt: str, snapshot: str = "1", **headers: str) -> HttpResult:
        ranges = [["", None]]
        document = {"service": SERVICE, "shard": "s0", "kind": "tower-sweep", "key_ranges": ranges}
        named = {"wingquay_attempt": attempt, "wingquay_snapshot": snapshot, **headers}
        return await self.post("/search", document, **named)


def serve(check: Callable[[Bench], Awaitable[None]], **changes: object) -> None:
    async def run() -> None:
        steady = ServiceTimeSettings(median_seconds=0.002, sigma=0.0, straggler_share=0.0)
        fields = {"service_time": steady, "report_delay_seconds": 0.0, **changes}
        settings = BackendSettings(ReplicaId("r0"), SERVICE, ShardId("s0"), **fields)  # type: ignore[arg-type]
        standin = BackendStandin(settings, random.Random(1), DATASET)
        port = await standin.start()
        client = HttpClient()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await check(Bench(standin, port, client))
        finally:
            await client.close()
            await standin.close()

    asyncio.run(run())


class BackendStandinTest(TestCase):
    def response(self, result: HttpResult) -> HttpResponse:
        assert isinstance(result, HttpResponse), result
        return result

    def test_an_answer_states_attempt_snapshot_coverage_and_load(self) -> None:
        async def check(bench: Bench) -> None:
            response = self.response(await bench.search("a1"))
            self.assertEqual(("a1", "1-1"), self.headers(response))
            self.assertIn("application_utilization", response.headers["endpoint-load-metrics"])
            rows = DATASET.rows_for(SERVICE, FULL_KEY_RANGE, SnapshotVersion(1))
            expected = {
                "snapshot": 1,
                "covered": [["", None]],
                "rows": [[row.key, row.value] for row in rows],
            }
            self.assertEqual(expected, orjson.loads(response.whole_body))

        serve(check)

    def headers(self, response: HttpResponse) -> tuple[str, str]:
        return response.headers["wingquay-attempt"], response.headers["wingquay-versions"]

    def test_refusals_have_their_status_and_type(self) -> None:
        async def check(bench: Bench) -> None:
            results = {
                "snapshot-not-held": (409, await bench.search("a1", snapshot="9")),
                "deadline-passed": (504, await bench.search("a2", wingquay_deadline_ms="0")),
                "bad_header": (400, await bench.search("a3", snapshot="x")),
                "bad_body": (400, await bench.post("/search", [], wingquay_attempt="a4")),
                "unknown-path": (404, await bench.post("/elsewhere", {})),
            }
            await bench.post("/admin/shard", {"shard": "s0", "remove": True})
            results["wrong-shard"] = (421, await bench.search("a5"))
            await bench.post("/admin/drain", {})
            results["draining"] = (503, await bench.search("a6"))
            for problem_type, (status, result) in results.items():
                response = self.response(result)
                problem = orjson.loads(response.whole_body)
                self.assertEqual((status, problem_type), (response.status, problem["type"]))
                self.assertTrue(problem["not_run"])
            self.assertEqual(0, bench.standin.model.ledger.execution_count)

        serve(check)

    def test_work_beyond_slots_and_queue_is_shed(self) -> None:
        async def check(bench: Bench) -> None:
            results = await asyncio.gather(*(bench.search(f"a{index}") for index in range(6)))
            statuses = sorted(self.response(result).status for result in results)
            self.assertEqual([200, 200, 503, 503, 503, 503], statuses)

        slow = ServiceTimeSettings(median_seconds=0.5, sigma=0.0, straggler_share=0.0)
        serve(check, slots=1, queue_limit=1, service_time=slow)

    def test_a_client_that_goes_away_frees_its_slot(self) -> None:
        async def check(bench: Bench) -> None:
            exchange = asyncio.create_task(bench.search("gone"))
            while not bench.standin.model.in_flight:
                await asyncio.sleep(0.001)
            exchange.cancel()
            while bench.standin.model.in_flight:
                await asyncio.sleep(0.001)

        endless = ServiceTimeSettings(median_seconds=3600.0, sigma=0.0, straggler_share=0.0)
        serve(check, slots=1, service_time=endless)

    def test_misbehaviour_reaches_the_wire(self) -> None:
        async def check(bench: Bench) -> None:
            async def misbehaving(mode: str) -> HttpResult:
                await bench.post("/admin/misbehave", {"mode": mode})
                return await bench.search(f"by-{mode}")

            crossed = self.response(await misbehaving("crossed"))
            self.assertEqual("by-crossed-crossed", crossed.headers["wingquay-attempt"])
            other = orjson.loads(self.response(await misbehaving("other_snapshot")).whole_body)
            self.assertEqual(2, other["snapshot"])
            truncated = self.response(await misbehaving("truncated"))
            self.assertRaises(orjson.JSONDecodeError, orjson.loads, truncated.whole_body)
            for mode in ("cut", "closed"):
                broken = await misbehaving(mode)
                assert isinstance(broken, Failure)
                self.assertEqual(HttpFailureKind.BROKEN, broken.kind)
            self.assertEqual(200, self.response(await bench.search("good")).status)

        serve(check)

    def test_a_restart_cuts_what_is_in_flight(self) -> None:
        async def check(bench: Bench) -> None:
            exchange = asyncio.create_task(bench.search("lost"))
            while not bench.standin.model.in_flight:
                await asyncio.sleep(0.001)
            await bench.post("/admin/restart", {"oldest": 1, "newest": 1})
            result = await exchange
            assert isinstance(result, Failure)
            self.assertEqual(HttpFailureKind.BROKEN, result.kind)

        endless = ServiceTimeSettings(median_seconds=3600.0, sigma=0.0, straggler_share=0.0)
        serve(check, service_time=endless)

    def test_the_health_page_shows_state_and_versions(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.post("/admin/version", {"install": 3, "drop": 1})
            result = await bench.client.request(HOST, bench.port, "GET", "/health")
            health = orjson.loads(self.response(result).whole_body)
            expected = {"state": "serving", "oldest": 2, "newest": 3, "utilization": 0.0}
            self.assertEqual(expected, health)
            ledger = await bench.client.request(HOST, bench.port, "GET", "/admin/ledger")
            self.assertEqual(0, orjson.loads(self.response(ledger).whole_body)["executions"])

        serve(check)
