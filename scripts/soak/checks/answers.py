"""MIXED: what clients were answered, compared with what replicas answered."""

import heapq

from wingquay.model.routing_table import Route
from wingquay.platform.standins.replica import RECORD_BYTES
from wingquay.platform.standins.replica_record import Arrival, ArrivalEnd

from ..ledger import Attempt, Ending, Ledger
from ..settings import HOST, SoakSettings
from .violation import Rule, Violation

SIGNATURE = "server-stamp"
MERGED_SIGNATURES = "part-stamps"
MISSING_SHARDS = "missing-shards"
SHARE_TOLERANCE = 1e-9


def check_answers(ledger: Ledger, _settings: SoakSettings) -> list[Violation]:
    """Return the answers that no replica gave, or that are put together wrongly."""
    found: list[Violation] = []
    for attempt in ledger.attempts.values():
        text = ""
        if attempt.ending is Ending.MALFORMED:
            text = "what came is no answer in the protocol"
        elif attempt.ending is Ending.ANSWERED:
            text = _fault(ledger, attempt)
        if text:
            line = f"{attempt.request_id} at {attempt.node}: {text}"
            found.append(Violation(Rule.MIXED, line, (attempt.request_id,)))
    return found


def _fault(ledger: Ledger, attempt: Attempt) -> str:
    """Return what is wrong with an answer; empty: nothing."""
    given = attempt.headers.get("request-id")
    if given is not None and given != attempt.request_id:
        return f"the answer belongs to request {given}"
    signature = attempt.headers.get(SIGNATURE)
    if 200 <= attempt.status < 300:
        if MERGED_SIGNATURES in attempt.headers:
            return _merged_fault(ledger, attempt)
        return _single_fault(ledger, attempt, signature)
    if signature is None:
        return ""
    arrival = _signed(ledger, attempt).get(signature)
    if arrival is None or arrival.status != attempt.status:
        return f"status {attempt.status} with the signature of another answer"
    return ""


def _single_fault(ledger: Ledger, attempt: Attempt, signature: str | None) -> str:
    arrival = _signed(ledger, attempt).get(signature or "")
    if arrival is None:
        return f"a success with signature {signature}, which no replica gave"
    if arrival.status != attempt.status or arrival.answer_body != attempt.answer_body:
        return "a success that the replica did not give so"
    return ""


def _merged_fault(ledger: Ledger, attempt: Attempt) -> str:
    names = [name.strip() for name in attempt.headers[MERGED_SIGNATURES].split(",")]
    missing = int(attempt.headers.get(MISSING_SHARDS, "0"))
    signed = _signed(ledger, attempt)
    parts = [signed[name] for name in names if name in signed and signed[name].status == 200]
    if len(parts) != len(names) or len(set(names)) != len(names):
        return "a signature twice, or one that does not answer the request"
    services = {part.service for part in parts}
    routes = ledger.route_of(attempt, HOST, ledger.all_tables())
    fitting = [route for route in routes if _fits(route, services, len(parts) + missing)]
    if len(services) != len(parts) or not fitting:
        return "parts and missing shards make up no configuration"
    route = fitting[0]
    if len(parts) / len(route.shards) < route.min_share - SHARE_TOLERANCE:
        return f"a success with {len(parts)} of {len(route.shards)} shards"
    if attempt.answer_body != _greatest(parts, route.merged_records):
        return "not the greatest records of its parts"
    return ""


def _fits(route: Route, services: set[str], count: int) -> bool:
    return services <= set(route.shards) and len(route.shards) == count


def _greatest(parts: list[Arrival], count: int) -> bytes:
    records = [
        part.answer_body[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part.answer_body), RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))


def _signed(ledger: Ledger, attempt: Attempt) -> dict[str, Arrival]:
    """Return the whole answers to a request by their signatures."""
    return {
        arrival.signature: arrival
        for arrival in ledger.arrivals.get(attempt.request_id, ())
        if arrival.signature and arrival.end is ArrivalEnd.ANSWERED
    }
