"""Joins what the client, the nodes and the replicas noted of one request."""

from collections.abc import Iterable
from pathlib import Path

from .ledger import Attempt, Ledger
from .node_process import log_lines_with

LINE_CHARACTERS = 400


def trace(ledger: Ledger, logs: Iterable[Path], request_id: str) -> list[str]:
    """Return the lines about a request, in the order client, replicas, nodes."""
    lines = [f"request {request_id}"]
    attempt = ledger.attempts.get(request_id)
    if attempt is not None:
        lines += [f"  {line}" for line in _client_lines(ledger, attempt)]
    for arrival in ledger.arrivals.get(request_id, ()):
        moments = (
            f"arrived {_at(ledger, arrival.arrived_at)} started {_at(ledger, arrival.started_at)}"
        )
        lines.append(
            f"  replica {arrival.replica_id}: {moments} ended {_at(ledger, arrival.ended_at)} "
            f"{arrival.end.value} {arrival.status or ''}"
        )
    for path in logs:
        lines += [f"  {line[:LINE_CHARACTERS]}" for line in log_lines_with(path, request_id)]
    return lines


def _client_lines(ledger: Ledger, attempt: Attempt) -> list[str]:
    kept = "kept" if attempt.is_on_kept else "new"
    sent = f"client sent {attempt.method} {attempt.target} to {attempt.node}"
    ended_at = attempt.ended_at or ledger.ended_at
    spans = [
        f"{span.kind.value} {span.detail} from {_at(ledger, span.begun_at)} "
        f"to {_at(ledger, span.ended_at)}"
        for span in ledger.spans
        if span.subject in ("", attempt.node)
        and span.begun_at <= ended_at
        and span.ended_at >= attempt.sent_at
    ]
    return [
        f"{sent} at {_at(ledger, attempt.sent_at)} on a {kept} connection, "
        f"deadline {attempt.deadline_seconds:.2f} s",
        f"client got {attempt.outcome} at {_at(ledger, attempt.ended_at)}",
        *(f"meanwhile: {text}" for text in spans),
    ]


def _at(ledger: Ledger, at: float | None) -> str:
    return "-" if at is None else f"{at - ledger.began_at:.3f}"
