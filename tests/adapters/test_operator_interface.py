"""The operator interface over loopback, with the real configuration machine behind it."""

import asyncio
import contextlib
import io
import json
import os
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from testtools import TestCase

from tests.configuration.examples import assign
from tests.configuration.fleet import configured_cluster
from wingquay.adapters.bearer_tokens import TokenOwner, TokenTable, hash_token
from wingquay.adapters.health_pages import HealthPages
from wingquay.adapters.http_client import HttpClient
from wingquay.adapters.http_messages import HttpRequest, HttpResponse
from wingquay.adapters.operator_client import (
    OperatorClient,
    OperatorClientFailureKind,
    OperatorReplyDocument,
)
from wingquay.adapters.operator_json import call_of, command_of, result_response
from wingquay.adapters.operator_server import OperatorServer
from wingquay.cli import run
from wingquay.model.failure import Failure
from wingquay.model.identifiers import Revision
from wingquay.ports.machine import Event
from wingquay.ports.operator import (
    ConfirmPlan,
    DiffConfigurations,
    DiscardPlan,
    ListPlans,
    OperatorFailureKind,
    OperatorMessage,
    OperatorReply,
    OperatorRequest,
    ProposePlan,
    ShowConfiguration,
    ShowHistory,
    ShowPlan,
    ShowStatus,
)

LOOPBACK = "127.0.0.1"
TEST_LIMIT_SECONDS = 30.0
TOKEN = "ana-token"

COMMANDS: tuple[OperatorMessage, ...] = (
    ProposePlan(intents=(assign(),)),
    ShowPlan(plan_id="a/b c"),
    ListPlans(),
    ConfirmPlan(plan_id="plan-1"),
    DiscardPlan(plan_id="plan-1"),
    ShowConfiguration(),
    ShowConfiguration(revision=Revision(7)),
    ShowHistory(),
    DiffConfigurations(from_revision=Revision(1)),
    DiffConfigurations(from_revision=Revision(1), to_revision=Revision(2)),
    ShowStatus(),
)


def request_of(command: OperatorMessage) -> HttpRequest:
    """Return the request as the server sees it."""
    call = call_of(command)
    path, _, query = call.target.partition("?")
    pairs = dict(pair.split("=") for pair in query.split("&")) if query else {}
    return HttpRequest(call.method, path, pairs, {}, call.body)


class OperatorJsonTest(TestCase):
    """Requests carry commands."""

    def test_every_command_survives_its_request(self) -> None:
        for command in COMMANDS:
            self.assertEqual(command, command_of(request_of(command)))

    def test_wrong_requests_are_refused_by_name(self) -> None:
        wrong = {
            ("PUT", "/v1/plans"): 405,
            ("POST", "/v1/status"): 405,
            ("GET", "/v1/plans/a/b"): 404,
            ("GET", "/v2"): 404,
            ("POST", "/v1/plans"): 422,
        }
        for (method, path), status in wrong.items():
            refusal = command_of(HttpRequest(method, path, {}, {}, b'{"intents": [], "x": 1}'))
            assert isinstance(refusal, HttpResponse)
            self.assertEqual(status, refusal.status)
        for query in ({"from": "-1"}, {"from": "x"}, {}):
            refusal = command_of(HttpRequest("GET", "/v1/configuration/diff", query))
            assert isinstance(refusal, HttpResponse)
            self.assertIn(b"from", refusal.whole_body)

    def test_no_failure_looks_like_success(self) -> None:
        for kind in OperatorFailureKind:
            response = result_response(Failure(kind, "why"))
            self.assertGreaterEqual(response.status, 400)
            self.assertEqual("why", json.loads(response.whole_body)["detail"])


class OperatorBench:
    """An operator server whose node is one of a fleet on a virtual clock."""

    def __init__(self) -> None:
        self.cluster = configured_cluster()
        self.silent = False
        operators = TokenTable([TokenOwner("ana", hash_token(TOKEN))])
        self.server = OperatorServer(self._emit, operators, HealthPages(), clock=lambda: 1e9)

    def _emit(self, event: Event) -> None:
        assert isinstance(event, OperatorRequest)
        if self.silent:
            return
        result = self.cluster.ask(self.cluster.nodes[0], event.command, event.operator)
        self.server.perform(OperatorReply(event.exchange_id, result))


class OperatorInterfaceTest(TestCase):
    """Server, client and command line together."""

    def run_bench(self, check: Callable[[OperatorBench, int], Coroutine[Any, Any, None]]) -> None:
        async def main() -> None:
            bench = OperatorBench()
            port = await bench.server.start(LOOPBACK, 0)
            try:
                async with asyncio.timeout(TEST_LIMIT_SECONDS):
                    await check(bench, port)
            finally:
                await bench.server.close()

        asyncio.run(main())

    def test_a_plan_is_made_shown_and_confirmed(self) -> None:
        async def check(bench: OperatorBench, port: int) -> None:
            client = OperatorClient(LOOPBACK, port, TOKEN)
            made = await client.send(ProposePlan(intents=(assign(),)))
            assert isinstance(made, OperatorReplyDocument)
            plan = made.document["plan"]
            self.assertEqual("ana", plan["operator"])
            landed = await client.send(ConfirmPlan(plan_id=plan["plan_id"]))
            assert isinstance(landed, OperatorReplyDocument)
            self.assertEqual(2, landed.document["revision"])
            shown = await client.send(ShowConfiguration())
            assert isinstance(shown, OperatorReplyDocument)
            self.assertEqual(2, len(shown.document["document"]["audit"]))
            missing = await client.send(ShowPlan(plan_id="no such"))
            assert isinstance(missing, OperatorReplyDocument)
            self.assertEqual(404, missing.status)
            await client.close()

        self.run_bench(check)

    def test_without_a_known_token_nothing_is_done(self) -> None:
        async def check(bench: OperatorBench, port: int) -> None:
            bench.silent = True
            client = OperatorClient(LOOPBACK, port, "guess")
            refused = await client.send(ListPlans())
            assert isinstance(refused, OperatorReplyDocument)
            self.assertEqual(401, refused.status)
            await client.close()
            http = HttpClient()
            live = await http.request(LOOPBACK, port, "GET", "/health/live")
            bare = await http.request(LOOPBACK, port, "GET", "/v1/plans")
            assert isinstance(live, HttpResponse) and isinstance(bare, HttpResponse)
            self.assertEqual((200, 401), (live.status, bare.status))
            await http.close()

        self.run_bench(check)

    def test_a_node_that_cannot_be_reached_did_nothing(self) -> None:
        async def check(bench: OperatorBench, port: int) -> None:
            await bench.server.close()
            client = OperatorClient(LOOPBACK, port, TOKEN)
            result = await client.send(ListPlans())
            assert isinstance(result, Failure)
            self.assertEqual(OperatorClientFailureKind.UNREACHABLE, result.kind)
            await client.close()

        self.run_bench(check)

    def test_the_command_line_leads_from_intent_to_confirm_and_back(self) -> None:
        async def check(bench: OperatorBench, port: int) -> None:
            async def wingquay(*arguments: str) -> tuple[int, str]:
                return await asyncio.to_thread(self.run_cli, port, arguments)

            code, text = await wingquay(
                "intent", "assign-class", "--service", "coverage-lookup", "--kind", "outage-ping",
                "--class-name", "top", "--deployment", "ro-nord",
            )  # fmt: skip
            self.assertEqual(0, code, text)
            self.assertIn("class_name gold", text)
            self.assertIn("Gains:", text)
            plan = text.rsplit(maxsplit=1)[1]
            for arguments, expected in (
                (("plan", "list"), plan),
                (("plan", "show", plan), "Changes:"),
                (("plan", "confirm", plan), "as revision 2"),
                (("plan", "confirm", plan), "by an earlier confirm"),
                (("configuration", "history"), "ana"),
                (("configuration", "diff", "1"), "+ assignment"),
                (("configuration", "show", "--json"), '"revision": 2'),
                (("status",), "Zones"),
                (("status", "--json"), '"store_reachable": true'),
                (("intent", "restore", "1"), "- assignment"),
            ):
                code, text = await wingquay(*arguments)
                self.assertEqual((0, True), (code, expected in text), f"{arguments}: {text}")
            code, text = await wingquay("plan", "discard", "no-such-plan")
            self.assertEqual((1, True), (code, "not-found" in text), text)
            code, text = await wingquay("intent", "remove", "clas", "gold")
            self.assertEqual((2, True), (code, "remove_clas" in text), text)

        self.run_bench(check)

    def run_cli(self, port: int, arguments: tuple[str, ...]) -> tuple[int, str]:
        """Run the command line in this process; return its exit code and all it printed."""
        said = io.StringIO()
        with tempfile.TemporaryDirectory() as directory:
            token_file = Path(directory, "token")
            token_file.write_text(f"{TOKEN}\n")
            access = ["--server", f"{LOOPBACK}:{port}", "--token-file", os.fspath(token_file)]
            with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
                code = run([*arguments, *access])
        return code, said.getvalue()
