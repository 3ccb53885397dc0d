"""Forecasts whether promises can be kept under a changed configuration at the current load."""

from collections.abc import Iterable

from ..model.configuration import Configuration, Service
from ..model.plan import ClassEffect, ForecastVerdict, PromiseForecast
from ..ports.internal import KindLoad, LoadObserved

AT_RISK_UTILIZATION = 0.8
"""Share of busy slots (0 to 1) above which queues grow quickly."""

FULL_UTILIZATION = 1.0
"""Share of busy slots from which the service cannot keep up with its requests."""


def forecast_promises(
    before: Configuration,
    after: Configuration,
    effects: Iterable[ClassEffect],
    load: LoadObserved,
) -> tuple[PromiseForecast, ...]:
    """Return the forecast for each kind whose class or whose service's slots change.

    Parameters
    ----------
    load
        The load that this node observes, which is only a part of the total.
    """
    affected = dict.fromkeys((effect.service, effect.kind) for effect in effects)
    for service in after.services:
        earlier = before.service(service.name)
        if earlier is not None and count_slots(earlier) != count_slots(service):
            affected.update(dict.fromkeys((service.name, kind.name) for kind in service.kinds))
    forecasts = (_forecast_kind(before, after, service, kind, load) for service, kind in affected)
    return tuple(forecast for forecast in forecasts if forecast is not None)


def count_slots(service: Service) -> int:
    """Return the number of requests that the service's replicas can process concurrently."""
    return sum(replica.slots for shard in service.shards for replica in shard.replicas)


def _forecast_kind(
    before: Configuration,
    after: Configuration,
    service_name: str,
    kind_name: str,
    load: LoadObserved,
) -> PromiseForecast | None:
    service = after.service(service_name)
    kind = service.kind(kind_name) if service is not None else None
    if service is None or kind is None:
        return None
    entry = after.priority_class(after.class_for(service, kind, ""))
    if entry is None:
        return None
    observed = next(
        (k for k in load.kinds if (k.service, k.kind) == (service_name, kind_name)),
        None,
    )
    utilization = _expected_utilization(before.service(service_name), service, load)
    verdict, reason = _verdict(entry.promise_seconds, observed, utilization)
    return PromiseForecast(
        service=service.name,
        kind=kind.name,
        promise_seconds=entry.promise_seconds,
        observed_p99_seconds=observed.p99_seconds if observed is not None else None,
        expected_utilization=utilization,
        verdict=verdict,
        reason=reason,
    )


def _expected_utilization(
    earlier: Service | None, service: Service, load: LoadObserved
) -> float | None:
    """Scale the observed utilization to the new number of slots; ``None`` if unknown."""
    observed = next((s.utilization for s in load.services if s.service == service.name), None)
    slots = count_slots(service)
    if observed is None or earlier is None or slots == 0:
        return None
    return observed * count_slots(earlier) / slots


def _verdict(
    promise_seconds: float, seen: KindLoad | None, utilization: float | None
) -> tuple[ForecastVerdict, str]:
    if utilization is not None and utilization >= FULL_UTILIZATION:
        reason = f"slots would be {utilization:.0%} busy: the load exceeds their capacity"
        return ForecastVerdict.NOT_KEEPABLE, reason
    if seen is None:
        return ForecastVerdict.NOT_KNOWN, "this node has no recent requests of this kind"
    if seen.p50_seconds > promise_seconds:
        reason = f"half of the requests now take longer than {seen.p50_seconds:.3g} s"
        return ForecastVerdict.NOT_KEEPABLE, reason
    if seen.p99_seconds > promise_seconds:
        reason = f"one request in 100 now takes longer than {seen.p99_seconds:.3g} s"
        return ForecastVerdict.AT_RISK, reason
    if utilization is not None and utilization >= AT_RISK_UTILIZATION:
        return ForecastVerdict.AT_RISK, f"slots would be {utilization:.0%} busy"
    return (
        ForecastVerdict.KEEPABLE,
        f"99 requests in 100 now take under {seen.p99_seconds:.3g} s",
    )
