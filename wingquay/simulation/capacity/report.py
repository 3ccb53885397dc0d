"""The findings of a run as one JSON object or as text."""

import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any

from wingquay.simulation.capacity.meters import CODING, NodeMeter
from wingquay.simulation.capacity.run import Findings, Phase

SECONDS_IN_A_DAY = 86_400.0
SECONDS_IN_AN_HOUR = 3_600.0
CHANGES_A_DAY = 290
PERCENT = 100.0
KINDS_LISTED = 12


def make_report(findings: Findings) -> dict[str, Any]:
    """Return the JSON object of a run.

    ``control_core_percent`` and ``control_bytes_per_second`` are those of ordinary running, with
    what 290 changes a day add; the processor time is that of the machine at hand.
    """
    settings, ordinary = findings.settings, findings.ordinary
    assert ordinary is not None
    share_of_changes = _change_share(findings)
    process_mb = findings.process_mb
    return {
        "nodes": settings.nodes,
        "replicas": settings.replicas,
        "seconds": settings.seconds,
        "seed": settings.seed,
        "digest": findings.digest,
        "events": findings.events,
        "virtual_seconds": round(findings.virtual_seconds, 3),
        "settled_seconds": _rounded(findings.settled_seconds),
        "control_core_percent": _spread(
            ordinary, share_of_changes, findings.changes, _core_percent, 4
        ),
        "control_bytes_per_second": {
            **_spread(ordinary, share_of_changes, findings.changes, _bytes, 0),
            "counted": "sent and received, with the headers of IP, UDP and TCP",
        },
        "memory_mb": {
            "median": round(process_mb + statistics.median(findings.state_mb), 1),
            "worst": round(process_mb + max(findings.state_mb), 1),
            "process": round(process_mb, 1),
            "state_median": round(statistics.median(findings.state_mb), 2),
            "resident_slope": round(findings.resident_slope_mb, 2),
        },
        "config_in_force_seconds": _quantiles(findings.change_times.in_force_seconds),
        "changes": _changes(findings),
        "store_requests_per_second": round(ordinary.store_requests / ordinary.seconds, 2),
        "false_suspicions": ordinary.suspicions,
        "false_deaths": ordinary.deaths,
        "kinds": _kinds(ordinary),
        "change_kinds": _kinds(findings.changes) if findings.changes else {},
        "churn": _churn(findings),
        "zone_cut": findings.zone_cut,
        "restart_all": findings.restart,
    }


def _change_share(findings: Findings) -> float:
    """Return the share of time that changes take at 290 a day, at the length measured here."""
    if findings.changes is None:
        return 0.0
    seconds_each = findings.changes.seconds / findings.settings.changes
    return min(1.0, CHANGES_A_DAY * seconds_each / SECONDS_IN_A_DAY)


def _spread(
    ordinary: Phase,
    share_of_changes: float,
    changes: Phase | None,
    rate: Callable[[NodeMeter], float],
    digits: int,
) -> dict[str, float]:
    values = [rate(meter) / ordinary.seconds for meter in ordinary.meters]
    if changes is not None:
        busy = [rate(meter) / changes.seconds for meter in changes.meters]
        values = [
            calm * (1.0 - share_of_changes) + changing * share_of_changes
            for calm, changing in zip(values, busy, strict=True)
        ]
    return {
        "median": round(statistics.median(values), digits),
        "mean": round(statistics.fmean(values), digits),
        "worst": round(max(values), digits),
    }


def _core_percent(meter: NodeMeter) -> float:
    return PERCENT * meter.total_seconds()


def _bytes(meter: NodeMeter) -> float:
    return float(meter.total_bytes())


def _quantiles(seconds: Sequence[float]) -> dict[str, float] | None:
    if not seconds:
        return None
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "p50": round(ordered[int(0.5 * last)], 3),
        "p99": round(ordered[int(0.99 * last)], 3),
        "max": round(ordered[-1], 3),
    }


def _changes(findings: Findings) -> dict[str, Any] | None:
    """Return what changes cost; ``added`` is beyond what ordinary running takes meanwhile."""
    phase, ordinary, count = findings.changes, findings.ordinary, findings.settings.changes
    if phase is None or ordinary is None:
        return None
    pairs = list(zip(phase.meters, ordinary.meters, strict=True))
    share = phase.seconds / ordinary.seconds
    seconds = [busy.total_seconds() - share * calm.total_seconds() for busy, calm in pairs]
    sizes = [busy.total_bytes() - share * calm.total_bytes() for busy, calm in pairs]
    return {
        "confirmed": len(findings.change_times.everywhere_seconds),
        "not_landed": findings.change_times.not_landed,
        "seconds_measured": round(phase.seconds, 1),
        "added_processor_seconds_each": round(statistics.median(seconds) / count, 4),
        "added_bytes_each": {
            "median": round(statistics.median(sizes) / count),
            "worst": round(max(sizes) / count),
        },
        "store_requests_each": round(phase.store_requests / count, 1),
    }


def _churn(findings: Findings) -> dict[str, Any] | None:
    phase, times = findings.churn, findings.churn_times
    if phase is None:
        return None
    hours = phase.seconds / SECONDS_IN_AN_HOUR
    return {
        "crashes": len(times.first),
        "known_first_seconds": _quantiles(times.first),
        "known_everywhere_seconds": _quantiles(times.everywhere),
        "replacement_known_everywhere_seconds": _quantiles(times.replaced_known),
        "false_suspicions_per_hour": round(phase.suspicions / hours, 1),
        "false_deaths_per_hour": round(phase.deaths / hours, 1),
        "core_percent": _spread(phase, 0.0, None, _core_percent, 4),
        "bytes_per_second": _spread(phase, 0.0, None, _bytes, 0),
    }


def _kinds(phase: Phase) -> dict[str, dict[str, float]]:
    """Return what each kind of event costs a node on average, the dearest first."""
    node_seconds = phase.seconds * len(phase.meters)
    seconds: defaultdict[str, float] = defaultdict(float)
    coding: defaultdict[str, float] = defaultdict(float)
    sizes: defaultdict[str, int] = defaultdict(int)
    for meter in phase.meters:
        for (part, kind), spent in meter.seconds.items():
            seconds[kind] += spent
            coding[kind] += spent if part == CODING else 0.0
        for counter in (meter.sent_bytes, meter.received_bytes):
            for kind, size_bytes in counter.items():
                sizes[kind] += size_bytes
    names = sorted({*seconds, *sizes}, key=lambda name: (-seconds[name], name))
    return {
        name: {
            "core_percent": round(PERCENT * seconds[name] / node_seconds, 4),
            "coding_percent": round(PERCENT * coding[name] / node_seconds, 4),
            "bytes_per_second": round(sizes[name] / node_seconds, 1),
        }
        for name in names[:KINDS_LISTED]
    }


def report_text(report: dict[str, Any]) -> str:
    """Return the report as lines."""
    lines = [f"{report['nodes']} nodes, {report['replicas']} replicas, on this machine:"]
    for name in (
        "control_core_percent",
        "control_bytes_per_second",
        "memory_mb",
        "config_in_force_seconds",
        "changes",
        "store_requests_per_second",
        "false_suspicions",
        "false_deaths",
        "churn",
        "zone_cut",
        "restart_all",
    ):
        if report[name] is not None:
            lines.append(f"{name}: {_flat(report[name])}")
    return "\n".join(lines)


def _flat(entry: Any) -> str:
    if isinstance(entry, dict):
        return ", ".join(f"{name} {_flat(value)}" for name, value in entry.items())
    return str(entry)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 1)
