"""QUOTA: what tenants ran beyond their limits, and keys that were taken away."""

from collections import defaultdict

from wingquay.model.tenants import Tenant

from ..ledger import Ledger, SpanKind, count_between
from ..settings import HOST, SoakSettings
from .touch import is_in_touch
from .violation import Rule, Violation


def check_quota(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return the tenants that ran more than their limit allows in some window."""
    bounds = settings.bounds
    window = bounds.quota_window_seconds
    runs: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for request_id in ledger.attempts:
        ran = ledger.runs(request_id)
        if ran and ran[0].tenant:
            first = min(item.started_at or item.arrived_at for item in ran)
            runs[ran[0].tenant].append((first, request_id))
    found: list[Violation] = []
    for tenant in _limited_tenants(ledger):
        rate, burst = tenant.requests_per_second, tenant.burst
        allowed = (rate * window + burst) * (1.0 + bounds.quota_overage) + bounds.quota_slack
        ordered = sorted(runs[tenant.name])
        times = [at for at, _ in ordered]
        most = max((count_between(times, at - window, at) for at in times), default=0)
        if most > allowed:
            text = f"{tenant.name} ran {most} requests in {window:g} s, allowed are {allowed:g}"
            ids = tuple(request_id for _, request_id in ordered[-5:])
            found.append(Violation(Rule.QUOTA, text, ids))
    return found


def check_revoked(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return the requests that ran by a key that had been taken away, at whatever node.

    Where no bound is stated for keys, that of the configuration holds, at nodes in touch. A store
    that comes back from an older copy has forgotten that for a while; what was sent until it was
    written again, and the bound after it, is left out.
    """
    found: list[Violation] = []
    bounds = settings.bounds
    bound = bounds.revocation_seconds or bounds.configuration_seconds
    for attempt in ledger.attempts.values():
        revoked_at = _revoked_at(ledger, attempt.key) if attempt.key else None
        if revoked_at is None or attempt.sent_at <= revoked_at + bound:
            continue
        routes = ledger.route_of(attempt, HOST, ledger.all_tables())
        if any(route.is_public for route in routes) or not ledger.runs(attempt.request_id):
            continue
        since = revoked_at - bound
        kinds = frozenset({SpanKind.RESTORED, SpanKind.LAG})
        if ledger.spans_of(kinds, attempt.node, since, attempt.sent_at):
            continue
        ended_at = attempt.ended_at or ledger.ended_at
        if bounds.revocation_seconds is None and not is_in_touch(
            ledger, bounds, attempt.node, attempt.sent_at, ended_at
        ):
            continue
        late = attempt.sent_at - revoked_at
        text = (
            f"{attempt.request_id} at {attempt.node}: ran by a key taken away {late:.2f} s before"
        )
        found.append(Violation(Rule.CONFIG, text, (attempt.request_id,)))
    return found


def _revoked_at(ledger: Ledger, key: str) -> float | None:
    """Return when the store acknowledged the first configuration without a key."""
    was_held = False
    for item in ledger.tables:
        tenants = item.table.tenants
        is_held = tenants is not None and tenants.find_by_key(key) is not None
        if was_held and not is_held:
            return item.acknowledged_at
        was_held = was_held or is_held
    return None


def _limited_tenants(ledger: Ledger) -> list[Tenant]:
    found: dict[str, Tenant] = {}
    for table in ledger.all_tables():
        for tenant in () if table.tenants is None else table.tenants.tenants:
            if tenant.requests_per_second:
                found[tenant.name] = tenant
    return list(found.values())
