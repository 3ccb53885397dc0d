"""TWICE, REFUSED and UNASKED: what replicas ran, compared with what clients sent and were told."""

from wingquay.model.routing_table import Route
from wingquay.platform.standins.replica_record import Arrival

from ..clients import PROMISES
from ..ledger import Attempt, Ending, Ledger
from ..requests import SHAPES, kind_of
from ..settings import HOST, SoakSettings
from .violation import Rule, Violation


def check_twice(ledger: Ledger, _settings: SoakSettings) -> list[Violation]:
    """Return the requests that may run once and ran more often."""
    found: list[Violation] = []
    for attempt in ledger.attempts.values():
        runs = ledger.runs(attempt.request_id)
        if not _is_repeatable(attempt) and len(runs) > 1:
            replicas = ", ".join(item.replica_id for item in runs)
            text = f"{attempt.request_id} at {attempt.node}: ran on {replicas}"
            found.append(Violation(Rule.TWICE, text, (attempt.request_id,)))
    return found


def check_refused(ledger: Ledger, _settings: SoakSettings) -> list[Violation]:
    """Return the requests that may run once, were told not to have run, and ran."""
    found: list[Violation] = []
    for attempt in ledger.attempts.values():
        is_promise = attempt.ending is Ending.ANSWERED and attempt.status in PROMISES
        runs = ledger.runs(attempt.request_id)
        if is_promise and runs and not _is_repeatable(attempt):
            text = f"{attempt.request_id} at {attempt.node}: {attempt.status}, but it ran"
            found.append(Violation(Rule.REFUSED, text, (attempt.request_id,)))
    return found


def check_unasked(ledger: Ledger, _settings: SoakSettings) -> list[Violation]:
    """Return what reached replicas and no client sent so."""
    found: list[Violation] = []
    for request_id, arrivals in ledger.arrivals.items():
        attempt = ledger.attempts.get(request_id)
        for arrival in arrivals:
            text = _difference(ledger, attempt, arrival)
            if text:
                line = f"{request_id} at {arrival.replica_id}: {text}"
                found.append(Violation(Rule.UNASKED, line, (request_id,)))
    return found


def _difference(ledger: Ledger, attempt: Attempt | None, arrival: Arrival) -> str:
    """Return in what an arrival differs from what was sent; empty: in nothing."""
    if attempt is None:
        return "no client sent a request with this id"
    sent = (attempt.method, attempt.target, attempt.body)
    if (arrival.method, arrival.target, arrival.body) != sent:
        return "method, target or body was changed"
    if arrival.shows_key:
        return "the caller's key was passed on"
    routes = ledger.route_of(attempt, HOST, ledger.all_tables())
    if arrival.has_run and not any(arrival.service in route.all_services for route in routes):
        return f"no configuration lets {arrival.service} run it"
    if arrival.tenant not in _tenants(ledger, attempt, routes):
        return f"told tenant {arrival.tenant!r}, for which the key does not stand"
    return ""


def _tenants(ledger: Ledger, attempt: Attempt, routes: list[Route]) -> set[str]:
    """Return what a replica may be told of who calls."""
    names: set[str] = set()
    for table in ledger.all_tables():
        tenant = None if table.tenants is None else table.tenants.find_by_key(attempt.key)
        names.add("" if tenant is None else tenant.name)
    is_public = any(route.is_public for route in routes)
    has_tenants = any(table.tenants is not None for table in ledger.all_tables())
    return {""} if is_public or not has_tenants else names - {""}


def _is_repeatable(attempt: Attempt) -> bool:
    kind = kind_of(attempt.path)
    return kind is None or SHAPES[kind].is_repeatable
