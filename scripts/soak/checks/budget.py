"""BUDGET: extra arrivals at services, replicas a request reaches, and time that replicas get."""

from collections import defaultdict

from ..ledger import Ledger, count_between
from ..settings import HOST, SoakSettings
from .touch import is_in_touch
from .violation import Rule, Violation

ALLOWED_OVER_ATTEMPTS = 3
"""Requests that may run on more replicas than their route allows, for each service."""
DEADLINE_SLACK_SECONDS = 0.5
ALLOWED_LATE = 20
ALLOWED_LATE_SHARE = 0.2


def check_budget(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return the services with too many extra arrivals, or requests at too many replicas."""
    firsts: dict[str, list[float]] = defaultdict(list)
    extras: dict[str, list[tuple[float, str]]] = defaultdict(list)
    over: dict[str, list[str]] = defaultdict(list)
    for request_id, arrivals in ledger.arrivals.items():
        attempt = ledger.attempts.get(request_id)
        if attempt is None:
            continue
        seen: dict[str, set[str]] = defaultdict(set)
        for arrival in arrivals:
            service = arrival.service
            if service in seen:
                extras[service].append((arrival.arrived_at, request_id))
            elif attempt is not None:
                firsts[service].append(attempt.sent_at)
            seen[service].add(arrival.replica_id if arrival.has_run else "")
        for service, replicas in seen.items():
            if len(replicas - {""}) > _most_attempts(ledger, request_id):
                over[service].append(request_id)
    return [*_over_budget(firsts, extras, settings), *_over_attempts(over)]


def _over_budget(
    firsts: dict[str, list[float]],
    extras: dict[str, list[tuple[float, str]]],
    settings: SoakSettings,
) -> list[Violation]:
    bounds = settings.bounds
    window = bounds.retry_window_seconds
    found: list[Violation] = []
    for service, arrivals in extras.items():
        asked = sorted(firsts[service])
        times = sorted(at for at, _ in arrivals)
        for at in times:
            count = count_between(times, at - window, at)
            spans = ((at - window, at), (at - 2 * window, at - window), (at - 1.5 * window, at))
            requests = max(count_between(asked, begun, begun + window) for begun, _ in spans)
            if count > bounds.retry_ratio * requests + bounds.retry_slack:
                text = f"{service}: {count} extra arrivals for {requests} requests in {window:g} s"
                ids = tuple(request_id for moment, request_id in arrivals if moment <= at)
                found.append(Violation(Rule.BUDGET, text, ids[-5:]))
                break
    return found


def _over_attempts(over: dict[str, list[str]]) -> list[Violation]:
    return [
        Violation(Rule.BUDGET, f"{service}: {len(ids)} requests on too many replicas", tuple(ids))
        for service, ids in over.items()
        if len(ids) > ALLOWED_OVER_ATTEMPTS
    ]


def _most_attempts(ledger: Ledger, request_id: str) -> int:
    attempt = ledger.attempts[request_id]
    routes = ledger.route_of(attempt, HOST, ledger.all_tables())
    return max((route.max_attempts for route in routes), default=1)


def check_deadlines(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return whether replicas were given more time than remained, too often."""
    late: list[str] = []
    total = 0
    for request_id, arrivals in ledger.arrivals.items():
        attempt = ledger.attempts.get(request_id)
        if attempt is None:
            continue
        for arrival in arrivals:
            begun, ended = attempt.sent_at, arrival.arrived_at
            if not is_in_touch(ledger, settings.bounds, attempt.node, begun, ended):
                continue
            total += 1
            ends_at = attempt.sent_at + attempt.deadline_seconds + DEADLINE_SLACK_SECONDS
            given = arrival.deadline_seconds
            if given is None or arrival.arrived_at + given > ends_at:
                late.append(request_id)
    if len(late) <= ALLOWED_LATE or len(late) <= ALLOWED_LATE_SHARE * total:
        return []
    text = f"{len(late)} of {total} arrivals were given more time than remained"
    return [Violation(Rule.BUDGET, text, tuple(late[:5]))]
