"""The demonstration's results as a table for people and as one JSON object."""

from ..adapters.settings import Endpoint
from ..model.answer import Outcome
from .deployment import CALLER_TOKEN, OPERATOR_TOKEN, DemoDeployment
from .scenario import StepResult

MILLISECONDS_PER_SECOND = 1000
_HEADINGS = ("step", "answers", "coverage", "snapshot", "latency", "extra load")
_ANSWERED = (Outcome.COMPLETE.value, Outcome.PARTIAL.value)


def summary(results: list[StepResult], deployment: DemoDeployment) -> dict[str, object]:
    """Return the results as one JSON-ready object."""
    replies = [reply for result in results for reply in result.replies]
    outcomes = [reply.outcome for reply in replies]
    needed = sum(result.needed for result in results)
    executions = sum(result.executions for result in results)
    return {
        "answers": len([outcome for outcome in outcomes if outcome is not None]),
        "complete": outcomes.count(Outcome.COMPLETE),
        "partial": outcomes.count(Outcome.PARTIAL),
        "refused": outcomes.count(Outcome.REFUSED_NOT_RUN),
        "unknown": outcomes.count(Outcome.UNKNOWN),
        "wrong": len([reply for reply in replies if reply.difference]),
        "faults": [f"{result.title}: {fault}" for result in results for fault in result.faults],
        "nodes": len(deployment.nodes),
        "backends": len(deployment.backends),
        "needed": needed,
        "executions": executions,
        "steps": [_step_summary(result) for result in results],
    }


def _step_summary(result: StepResult) -> dict[str, object]:
    return {
        "title": result.title,
        "outcomes": dict(result.outcomes),
        "median_ms": round(result.median_seconds * MILLISECONDS_PER_SECOND, 1),
        "worst_ms": round(result.worst_seconds * MILLISECONDS_PER_SECOND, 1),
        "needed": result.needed,
        "executions": result.executions,
        "note": result.note,
        "faults": result.faults,
    }


def table(results: list[StepResult]) -> str:
    """Return one row a step, with notes and faults below their steps."""
    rows = [_HEADINGS, *(_row(result) for result in results)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    lines = [_line(_HEADINGS, widths), _line(tuple("-" * width for width in widths), widths)]
    for result in results:
        lines.append(_line(_row(result), widths))
        lines += [f"    {result.note}"] if result.note else []
        lines += [f"    WRONG: {fault}" for fault in result.faults]
    return "\n".join(lines)


def explanation() -> str:
    """Return what the columns mean."""
    return (
        "coverage    whether answers hold all keys asked for; if not, they say what is missing\n"
        "snapshot    index version that the whole answer comes from\n"
        "latency     median and worst, as the caller saw it\n"
        "extra load  pieces of work begun by back ends beyond one for each shard asked\n"
    )


def curl_lines(callers: Endpoint, operators: Endpoint) -> str:
    """Return commands to try against a running node."""
    sweep = '{"service": "coverage-lookup", "kind": "tower-sweep", "key_ranges": [{}]}'
    ping = (
        '{"service": "coverage-lookup", "kind": "outage-ping", "keys": ["village-0007"], '
        '"deadline_ms": 200}'
    )
    caller = f"http://{callers.host}:{callers.port}"
    operator = f"http://{operators.host}:{operators.port}"
    query = f"curl -s {caller}/v1/query -H 'Authorization: Bearer {CALLER_TOKEN}'"
    return "\n".join(
        (
            f"{query} -d '{sweep}' -H 'Content-Type: application/json'",
            f"{query} -d '{ping}' -H 'Content-Type: application/json'",
            f"curl -s {caller}/health/ready",
            f"curl -s {operator}/metrics",
            f"curl -s {operator}/v1/status -H 'Authorization: Bearer {OPERATOR_TOKEN}'",
        )
    )


def _line(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def _row(result: StepResult) -> tuple[str, ...]:
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(result.outcomes.items()))
    latency = (
        "-"
        if not result.replies
        else f"{_milliseconds(result.median_seconds)} / {_milliseconds(result.worst_seconds)} ms"
    )
    snapshots = sorted({str(reply.snapshot) for reply in result.replies if reply.snapshot})
    return (
        result.title,
        outcomes or "-",
        _coverage(result),
        ", ".join(snapshots) or "-",
        latency,
        _extra_load(result),
    )


def _milliseconds(seconds: float) -> str:
    return f"{seconds * MILLISECONDS_PER_SECOND:.0f}"


def _coverage(result: StepResult) -> str:
    answered = [reply for reply in result.replies if reply.document.get("outcome") in _ANSWERED]
    if not answered:
        return "-"
    partial = [reply for reply in answered if reply.document["missing"]]
    return f"{len(partial)} short" if partial else "all keys"


def _extra_load(result: StepResult) -> str:
    if not result.needed:
        return "-"
    return f"{result.executions - result.needed:+d} on {result.needed}"
