"""CONFIG and DENIED: by which configuration nodes handled requests."""

from collections import defaultdict

from wingquay.model.routing_table import RoutingTable

from ..ledger import Attempt, Ending, Ledger, SpanKind
from ..settings import HOST, SoakSettings
from .touch import is_in_touch
from .violation import Rule, Violation

NO_ROUTE = 404
NOT_DENIED = frozenset({408, 421, 429})
ALLOWED_DENIED = 5
ALLOWED_DENIED_PART = 500
ALLOWED_OUT_OF_TOUCH = 10
ALLOWED_HELD = 8
ALLOWED_HELD_SHARE = 0.25
HELD_SECONDS = 0.5
REGRESS_SECONDS = 0.25


def check_configuration(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return the requests that nodes in touch handled as only an older version allows."""
    found: list[Violation] = []
    for attempt in ledger.attempts.values():
        ended_at = attempt.ended_at or ledger.ended_at
        if not is_in_touch(ledger, settings.bounds, attempt.node, attempt.sent_at, ended_at):
            continue
        tables = _tables_for(ledger, settings, attempt)
        routes = [table.find(HOST, attempt.path) for table in tables]
        services = {name for route in routes if route is not None for name in route.all_services}
        ran = {arrival.service for arrival in ledger.runs(attempt.request_id)}
        text = ""
        if ran - services:
            text = f"run by {sorted(ran - services)}, which only an older configuration allows"
        elif attempt.status == NO_ROUTE and routes and all(route is not None for route in routes):
            text = "404, though its route is in force"
        if text:
            line = f"{attempt.request_id} at {attempt.node}: {text}"
            found.append(Violation(Rule.CONFIG, line, (attempt.request_id,)))
    return found


def check_regress(ledger: Ledger, _settings: SoakSettings) -> list[Violation]:
    """Return the requests for which a life of a node went back to an older version."""
    found: list[Violation] = []
    evidence: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for attempt in sorted(ledger.attempts.values(), key=lambda item: item.sent_at):
        for arrival in ledger.runs(attempt.request_id):
            versions = _versions_allowing(ledger, attempt, arrival.service, arrival.arrived_at)
            if not versions:
                continue
            life = (attempt.node, _life(ledger, attempt.node, attempt.sent_at))
            latest = attempt.sent_at - REGRESS_SECONDS
            floor = max((low for at, low in evidence[life] if at < latest), default=0)
            if max(versions) < floor:
                line = f"{attempt.request_id} at {attempt.node}: by {max(versions)}, after {floor}"
                found.append(Violation(Rule.CONFIG, line, (attempt.request_id,)))
            evidence[life].append((arrival.arrived_at, min(versions)))
    return found


def check_held(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return whether nodes in touch held too many requests beyond the time of their routes."""
    reached: list[str] = []
    held: list[str] = []
    for attempt in ledger.attempts.values():
        tables = _tables_for(ledger, settings, attempt)
        routes = ledger.route_of(attempt, HOST, tables)
        if not routes or not attempt.last_byte_at or attempt.ending is Ending.LEFT:
            continue
        due_at = attempt.last_byte_at + max(route.timeout_seconds for route in routes)
        ended_at = attempt.ended_at or ledger.ended_at
        if ended_at < due_at:
            continue
        if not is_in_touch(ledger, settings.bounds, attempt.node, attempt.sent_at, ended_at):
            continue
        reached.append(attempt.request_id)
        if ended_at > due_at + HELD_SECONDS:
            held.append(attempt.request_id)
    if len(held) < ALLOWED_HELD or len(held) <= ALLOWED_HELD_SHARE * len(reached):
        return []
    text = f"{len(held)} of {len(reached)} requests were held beyond the time of their routes"
    return [Violation(Rule.CONFIG, text, tuple(held[:5]))]


def check_denied(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return whether too many proper requests were denied."""
    denied = [
        attempt
        for attempt in ledger.attempts.values()
        if attempt.ending is Ending.ANSWERED
        and 300 <= attempt.status < 500
        and attempt.status not in NOT_DENIED
        and _is_allowed(ledger, settings, attempt)
    ]
    in_touch = [item for item in denied if _was_in_touch(ledger, settings, item)]
    found: list[Violation] = []
    if len(in_touch) > ALLOWED_DENIED + len(ledger.attempts) / ALLOWED_DENIED_PART:
        found.append(_denied(in_touch, "nodes in touch"))
    others = len(denied) - len(in_touch)
    if others > ALLOWED_OUT_OF_TOUCH:
        found.append(_denied([item for item in denied if item not in in_touch], "other nodes"))
    return found


def _denied(attempts: list[Attempt], who: str) -> Violation:
    statuses = sorted({item.status for item in attempts})
    text = f"{who} denied {len(attempts)} proper requests with {statuses}"
    return Violation(Rule.DENIED, text, tuple(item.request_id for item in attempts[:5]))


def _is_allowed(ledger: Ledger, settings: SoakSettings, attempt: Attempt) -> bool:
    """Return whether every configuration by which a node may go lets the request run."""
    tables = _tables_for(ledger, settings, attempt)
    if not _was_in_touch(ledger, settings, attempt):
        tables = ledger.all_tables(attempt.ended_at or ledger.ended_at)
    return bool(tables) and all(_lets_run(table, attempt) for table in tables)


def _lets_run(table: RoutingTable, attempt: Attempt) -> bool:
    route = table.find(HOST, attempt.path)
    if route is None:
        return False
    if table.tenants is None or route.is_public:
        return True
    return table.tenants.find_by_key(attempt.key) is not None


def _was_in_touch(ledger: Ledger, settings: SoakSettings, attempt: Attempt) -> bool:
    ended_at = attempt.ended_at or ledger.ended_at
    return is_in_touch(ledger, settings.bounds, attempt.node, attempt.sent_at, ended_at)


def _tables_for(ledger: Ledger, settings: SoakSettings, attempt: Attempt) -> list[RoutingTable]:
    """Return the configurations by which a node in touch may handle an attempt."""
    ended_at = attempt.ended_at or ledger.ended_at
    bound = settings.bounds.configuration_seconds
    in_force = ledger.tables_in_force(attempt.sent_at, bound)
    later = [item.table for item in ledger.tables if attempt.sent_at < item.sent_at <= ended_at]
    return [*in_force, *later]


def _versions_allowing(ledger: Ledger, attempt: Attempt, service: str, until: float) -> list[int]:
    versions: list[int] = []
    for table in ledger.all_tables(until):
        route = table.find(HOST, attempt.path)
        if route is not None and service in route.all_services:
            versions.append(table.version)
    return versions


def _life(ledger: Ledger, node: str, at: float) -> int:
    """Return the number of the life that a node was in."""
    return sum(
        span.kind is SpanKind.START and span.subject == node and span.begun_at <= at
        for span in ledger.spans
    )
