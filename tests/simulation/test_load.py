"""Open-loop load: flags are checked, starts are intended ones, and latencies count from them."""

import asyncio
import contextlib
import io
import json
import os
from unittest import mock

import orjson
import testtools
from testtools.matchers import Contains, GreaterThan

from wingquay import cli
from wingquay.adapters.http_messages import HttpLimits, HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.adapters.settings import Endpoint
from wingquay.commands.exit_codes import USAGE
from wingquay.simulation.load.load_generator import LoadGenerator
from wingquay.simulation.load.load_plan import LoadPlan, MixEntry, parse_mix
from wingquay.simulation.load.load_report import make_summary

SLOW_SECONDS = 0.05
PARTIAL = {
    "outcome": "partial",
    "covered": [{"start": "", "end": "c"}],
    "missing": [{"start": "c", "end": None, "reason": "deadline"}],
}


class Responder:
    """Answers every request after a while and keeps what it was asked."""

    def __init__(self, document, status=200, seconds=0.0):
        self.requests = []
        self._response = HttpResponse(status, {}, orjson.dumps(document))
        self._seconds = seconds

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        await asyncio.sleep(self._seconds)
        return self._response


def run_load(responder, **changes):
    async def main():
        server = HttpServer(responder, HttpLimits())
        port = await server.start("127.0.0.1", 0)
        arguments = {
            "targets": (Endpoint("127.0.0.1", port),),
            "mix": (MixEntry("lookup", "sweep", key_count=None),),
            "rate": 1000.0,
            "seconds": 5.0,
            "count": 8,
            "connections": 4,
            "timeout_seconds": 5.0,
            "keys": ("a", "b", "c", "d"),
        }
        plan = LoadPlan(**{**arguments, **changes})
        generator = LoadGenerator(plan, "secret")
        try:
            await asyncio.wait_for(generator.run(), 20)
        finally:
            await server.close(0.1)
        return make_summary(plan, generator)

    return asyncio.run(main())


class TestLoad(testtools.TestCase):
    def test_requests_are_as_the_interface_has_them(self):
        responder = Responder(PARTIAL)
        summary = run_load(responder, mix=(MixEntry("lookup", "ping", key_count=2),))
        self.assertEqual({"partial": 8}, summary["outcomes"])
        self.assertEqual({}, summary["failures"])
        keys = {request.headers["idempotency-key"] for request in responder.requests}
        self.assertEqual(8, len(keys))
        for request in responder.requests:
            self.assertEqual("Bearer secret", request.headers["authorization"])
            self.assertEqual(2, len(json.loads(request.body)["keys"]))

    def test_coverage_is_the_share_of_asked_keys(self):
        summary = run_load(Responder(PARTIAL))
        self.assertEqual(0.5, summary["kinds"]["lookup/sweep"]["coverage"])

    def test_waiting_for_a_connection_counts_as_latency(self):
        summary = run_load(Responder(PARTIAL, seconds=SLOW_SECONDS), connections=1)
        # One at a time: the last of eight cannot begin before seven others have ended.
        least_ms = 6 * SLOW_SECONDS * 1000
        self.assertThat(summary["latency"]["max_ms"], GreaterThan(least_ms))
        self.assertThat(summary["start_lag"]["max_ms"], GreaterThan(least_ms))

    def test_what_brings_no_outcome_is_a_failure(self):
        summary = run_load(Responder({"detail": "who?"}, status=401))
        self.assertEqual({"unknown_response": 8}, summary["failures"])
        self.assertThat(summary["first_problem"], Contains("status 401: who?"))
        summary = run_load(Responder(PARTIAL, seconds=2.0), timeout_seconds=0.1)
        self.assertEqual({"timed_out": 8}, summary["failures"])

    def test_a_plan_is_bounded_and_follows_its_seed(self):
        mix = parse_mix("s/ping:9,s/sweep:1:all")
        plan = LoadPlan((Endpoint("::1", 1),), mix, 100.0, 2.0, 10**9, 1, 1.0, ("a",))
        requests = list(plan.requests())
        self.assertEqual(requests, list(plan.requests()))
        self.assertTrue(150 < len(requests) < 250)
        self.assertTrue(all(request.at_seconds < plan.seconds for request in requests))
        self.assertEqual({("a",), None}, {request.keys for request in requests})


class TestCommand(testtools.TestCase):
    def refuse(self, *flags, token="secret"):
        printed = io.StringIO()
        lines = contextlib.ExitStack()
        with lines:
            lines.enter_context(contextlib.redirect_stderr(printed))
            lines.enter_context(mock.patch.dict(os.environ, {"WINGQUAY_CALLER_TOKEN": token}))
            code = cli.run(["load", *flags])
        self.assertEqual(USAGE, code)
        return printed.getvalue()

    def test_wrong_flags_are_one_clear_line(self):
        here, mix = "--target=127.0.0.1:1", "--mix=s/k"
        self.assertThat(self.refuse("--target=10.0.0.1:1", mix), Contains("without --allow-remote"))
        self.assertThat(self.refuse("--target=localhost:1", mix), Contains("'localhost:1'"))
        self.assertThat(self.refuse(here, "--mix=s/k:0"), Contains("--mix: 's/k:0'"))
        self.assertThat(self.refuse(here, mix, "--rate=0"), Contains("--rate: '0'"))
        self.assertThat(self.refuse(here, mix, "--keys-file=/nowhere"), Contains("--keys-file"))
        self.assertThat(self.refuse(here, mix, token=""), Contains("no token"))
