"""Runs the demonstration and prints its report."""

import asyncio
import signal
import sys

import orjson

from ..adapters.log_writer import write_logs_to
from ..commands.exit_codes import FAILED, OK
from ..ports.machine import LogLevel
from .caller import DemoCaller
from .deployment import CALLER_TOKEN, OPERATOR_TOKEN, DemoDeployment
from .operator import DemoOperator
from .report import curl_lines, explanation, summary, table
from .scenario import Scenario, StepResult

TIME_LIMIT_SECONDS = 20.0
"""The demonstration is ended and counted as failed after this time."""


async def run_demo(seed: int, as_json: bool, serve: bool) -> int:
    """Run the demonstration and return its exit code.

    Parameters
    ----------
    seed
        Of the service times and stragglers of the back ends.
    as_json
        Print one JSON object instead of the table.
    serve
        Leave everything running until interrupted.
    """
    end_logs = write_logs_to(sys.stderr, LogLevel.WARNING)
    deployment = DemoDeployment(seed)
    try:
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            await deployment.start()
            results = await _run_scenario(deployment)
        report = summary(results, deployment)
        print(orjson.dumps(report).decode() if as_json else _text(results, deployment), flush=True)
        if serve:
            await _serve()
        return FAILED if report["wrong"] or report["faults"] else OK
    except TimeoutError:
        print(f"demo: not finished within {TIME_LIMIT_SECONDS:g} s", file=sys.stderr)
        return FAILED
    finally:
        await deployment.close()
        end_logs()


async def _run_scenario(deployment: DemoDeployment) -> list[StepResult]:
    addresses = [node.caller_address for node in deployment.nodes]
    caller = DemoCaller(addresses, CALLER_TOKEN, deployment.dataset)
    operator_addresses = [node.operator_address for node in deployment.nodes]
    operator = DemoOperator(operator_addresses, OPERATOR_TOKEN)
    scenario = Scenario(deployment, caller, operator)
    try:
        await scenario.run()
    finally:
        await caller.close()
        await operator.close()
    return scenario.results


async def _serve() -> None:
    print("serving until interrupted (Ctrl-C)", file=sys.stderr)
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    await interrupted.wait()


def _text(results: list[StepResult], deployment: DemoDeployment) -> str:
    zones = " and ".join(node.settings.node.zone for node in deployment.nodes)
    node = deployment.nodes[0]
    faults = sum(len(result.faults) for result in results)
    verdict = "nothing went wrong" if not faults else f"{faults} things went wrong"
    commands = curl_lines(node.caller_address, node.operator_address)
    return (
        f"{len(deployment.nodes)} nodes (in {zones}), {len(deployment.backends)} back ends and a "
        "key-value store, all on loopback TCP in this process\n\n"
        f"{table(results)}\n\n{explanation()}\nVerdict: {verdict}.\n\n"
        f"To try by hand (with --serve it stays up):\n{commands}"
    )
