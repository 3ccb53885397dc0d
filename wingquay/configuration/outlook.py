"""Whether promises still look keepable under a changed configuration, at the load now seen."""

from collections.abc import Iterable

from ..model.configuration import Configuration, Service
from ..model.plan import ClassEffect, ForecastVerdict, PromiseForecast
from ..ports.internal import KindLoad, LoadObserved

RISKY_UTILIZATION = 0.8
"""Queues grow quickly above this share of busy slots."""

FULL_UTILIZATION = 1.0


def promise_outlook(
    before: Configuration,
    after: Configuration,
    effects: Iterable[ClassEffect],
    load: LoadObserved,
) -> tuple[PromiseForecast, ...]:
    """Return the outlook for each kind that is touched, itself or through its service's slots.

    Parameters
    ----------
    load
        What this node sees now; a node sees only a part of the load.
    """
    touched = dict.fromkeys((effect.service, effect.kind) for effect in effects)
    for service in after.services:
        earlier = before.service(service.name)
        if earlier is not None and slots_of(earlier) != slots_of(service):
            touched.update(dict.fromkeys((service.name, kind.name) for kind in service.kinds))
    outlooks = (_kind_outlook(before, after, service, kind, load) for service, kind in touched)
    return tuple(outlook for outlook in outlooks if outlook is not None)


def slots_of(service: Service) -> int:
    """Return the number of requests that the service's replicas can run at once."""
    return sum(replica.slots for shard in service.shards for replica in shard.replicas)


def _kind_outlook(
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
    seen = next(
        (k for k in load.kinds if (k.service, k.kind) == (service_name, kind_name)),
        None,
    )
    utilization = _expected_utilization(before.service(service_name), service, load)
    verdict, reason = _verdict(entry.promise_seconds, seen, utilization)
    return PromiseForecast(
        service=service.name,
        kind=kind.name,
        promise_seconds=entry.promise_seconds,
        observed_p99_seconds=seen.p99_seconds if seen is not None else None,
        expected_utilization=utilization,
        verdict=verdict,
        reason=reason,
    )


def _expected_utilization(
    earlier: Service | None, service: Service, load: LoadObserved
) -> float | None:
    """Scale the utilization now seen to the slots that there will be."""
    seen = next((s.utilization for s in load.services if s.service == service.name), None)
    slots = slots_of(service)
    if seen is None or earlier is None or slots == 0:
        return None
    return seen * slots_of(earlier) / slots


def _verdict(
    promise_seconds: float, seen: KindLoad | None, utilization: float | None
) -> tuple[ForecastVerdict, str]:
    if utilization is not None and utilization >= FULL_UTILIZATION:
        reason = f"slots would be {utilization:.0%} busy: more work than they can do"
        return ForecastVerdict.NOT_KEEPABLE, reason
    if seen is None:
        return ForecastVerdict.NOT_KNOWN, "this node has seen no requests of this kind lately"
    if seen.p50_seconds > promise_seconds:
        reason = f"half of the requests now take longer than {seen.p50_seconds:.3g} s"
        return ForecastVerdict.NOT_KEEPABLE, reason
    if seen.p99_seconds > promise_seconds:
        reason = f"one request in 100 now takes longer than {seen.p99_seconds:.3g} s"
        return ForecastVerdict.AT_RISK, reason
    if utilization is not None and utilization >= RISKY_UTILIZATION:
        return ForecastVerdict.AT_RISK, f"slots would be {utilization:.0%} busy"
    return ForecastVerdict.KEEPABLE, f"99 requests in 100 now take under {seen.p99_seconds:.3g} s"
