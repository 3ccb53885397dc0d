"""``wingquay load``: open-loop load on real sockets."""

import asyncio
import json as json_library
import os
import signal
import sys
from pathlib import Path

from ..model.failure import Failure
from ..simulation.load.load_generator import LoadGenerator
from ..simulation.load.load_plan import (
    LoadFailureKind,
    LoadPlan,
    check_plan,
    parse_keys,
    parse_mix,
    parse_targets,
)
from ..simulation.load.load_report import make_summary, progress_line, summary_text
from ..simulation.models.dataset import Dataset
from .exit_codes import FAILED, INTERRUPTED, OK, USAGE

TOKEN_VARIABLE = "WINGQUAY_CALLER_TOKEN"
DEFAULT_RATE = 50.0
DEFAULT_SECONDS = 10.0
DEFAULT_COUNT = 1_000_000
DEFAULT_CONNECTIONS = 256
DEFAULT_TIMEOUT_SECONDS = 10.0
PROGRESS_SECONDS = 1.0


async def command(  # noqa: PLR0913 - each argument is a flag
    target: str,
    mix: str,
    rate: float = DEFAULT_RATE,
    seconds: float = DEFAULT_SECONDS,
    count: int = DEFAULT_COUNT,
    connections: int = DEFAULT_CONNECTIONS,
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    token_file: str = "",
    keys_file: str = "",
    even: bool = False,
    seed: int = 1,
    allow_remote: bool = False,
    json: bool = False,
) -> int:
    """Send a load at a set rate to nodes and report latency and coverage.

    Every request starts at its intended time and its latency counts from then. The token comes
    from --token-file or the environment variable WINGQUAY_CALLER_TOKEN.
    Exit code 0: done. 1: a request brought no response that the interface describes.

    Parameters
    ----------
    target
        Caller interfaces, IP:PORT with commas between them; used in turn.
    mix
        SERVICE/KIND:WEIGHT:KEYS with commas between them; WEIGHT 1 and KEYS 1 if not given,
        KEYS a number of keys a request or all.
    rate
        Requests a second.
    seconds
        How long to send.
    count
        The most requests to send.
    connections
        The most connections to each target; requests beyond wait for one.
    timeout_seconds
        A request without an answer so long after its intended start has failed.
    token_file
        File with the caller's bearer token.
    keys_file
        All keys, one a line; those of the stand-ins if not given.
    even
        Equal gaps between requests, not random ones.
    seed
        Seed of gaps, kinds and keys.
    allow_remote
        Allow targets that are not on this machine.
    json
        Print one JSON object.
    """
    token = _read_token(token_file)
    if isinstance(token, Failure):
        return _refuse(token.reason)
    targets = parse_targets(target, allow_remote)
    if isinstance(targets, Failure):
        return _refuse(targets.reason)
    entries = parse_mix(mix)
    if isinstance(entries, Failure):
        return _refuse(entries.reason)
    keys = _read_keys(keys_file)
    if isinstance(keys, Failure):
        return _refuse(keys.reason)
    plan = LoadPlan(
        targets, entries, rate, seconds, count, connections, timeout_seconds, keys, even, seed
    )
    wrong = check_plan(plan)
    if wrong is not None:
        return _refuse(wrong.reason)
    return await _run(plan, token, json)


async def _run(plan: LoadPlan, token: str, as_json: bool) -> int:
    generator = LoadGenerator(plan, token)
    loop = asyncio.get_running_loop()
    signals = (signal.SIGINT, signal.SIGTERM)
    for number in signals:
        loop.add_signal_handler(number, generator.interrupt)
    progress = asyncio.create_task(_show_progress(generator))
    try:
        await generator.run()
    finally:
        progress.cancel()
        for number in signals:
            loop.remove_signal_handler(number)
    summary = make_summary(plan, generator)
    print(json_library.dumps(summary, indent=2) if as_json else summary_text(summary))
    if generator.is_interrupted:
        return INTERRUPTED
    return FAILED if summary["failures"] else OK


async def _show_progress(generator: LoadGenerator) -> None:
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        print(progress_line(generator), file=sys.stderr, flush=True)


def _read_token(path: str) -> str | Failure[LoadFailureKind]:
    if not path:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
    else:
        text = _read_file("token-file", path)
        if isinstance(text, Failure):
            return text
        token = text.strip()
    if token and token.isascii() and token.isprintable():
        return token
    reason = f"no token of printable ASCII: give --token-file FILE or set {TOKEN_VARIABLE}"
    return Failure(LoadFailureKind.WRONG_FLAG, reason)


def _read_keys(path: str) -> tuple[str, ...] | Failure[LoadFailureKind]:
    if not path:
        return Dataset().keys
    text = _read_file("keys-file", path)
    return text if isinstance(text, Failure) else parse_keys(text)


def _read_file(flag: str, path: str) -> str | Failure[LoadFailureKind]:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = f"--{flag}: {path!r} cannot be read: {error}"
        return Failure(LoadFailureKind.WRONG_FLAG, reason)


def _refuse(reason: str) -> int:
    print(f"wingquay: load: {reason}", file=sys.stderr)
    return USAGE
