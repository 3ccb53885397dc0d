"""A load's progress line and its summary, as one object for JSON and as text."""

from typing import Any

from ...model.answer import Outcome
from ..latency_histogram import LatencyHistogram
from .load_generator import LoadGenerator
from .load_plan import LoadPlan
from .load_tally import KindTally

QUANTILES = {"p50_ms": 0.5, "p90_ms": 0.9, "p99_ms": 0.99, "p999_ms": 0.999, "max_ms": 1.0}
DIGITS = 3
COVERAGE_DIGITS = 6

Summary = dict[str, Any]


def progress_line(generator: LoadGenerator) -> str:
    """Return what is known so far, on one line."""
    tally = generator.tally
    outcomes = tally.outcomes()
    return (
        f"{generator.elapsed_seconds:7.1f} s  sent {tally.sent}"
        f"  complete {outcomes[Outcome.COMPLETE.value]}"
        f"  partial {outcomes[Outcome.PARTIAL.value]}"
        f"  refused {outcomes[Outcome.REFUSED_NOT_RUN.value]}"
        f"  failed {tally.failures.total()}"
        f"  in flight {generator.in_flight}"
        f"  p50 {_shown(tally.latencies.quantile_ms(0.5))} ms"
        f"  p99 {_shown(tally.latencies.quantile_ms(0.99))} ms"
    )


def make_summary(plan: LoadPlan, generator: LoadGenerator) -> Summary:
    """Return everything that a finished load showed."""
    tally = generator.tally
    sending_seconds = generator.last_sent_at - generator.began_at
    return {
        "targets": [f"{target.host}:{target.port}" for target in plan.targets],
        "rate": plan.rate,
        "sent_rate": round(tally.sent / sending_seconds, DIGITS) if sending_seconds else None,
        "seconds": round(sending_seconds, DIGITS),
        "interrupted": generator.is_interrupted,
        "sent": tally.sent,
        "outcomes": dict(sorted(tally.outcomes().items())),
        "failures": dict(sorted(tally.failures.items())),
        "first_problem": tally.first_problem,
        "start_lag": _quantiles(tally.start_lag),
        "latency": _quantiles(tally.latencies),
        "kinds": {name: _kind_entry(entry) for name, entry in sorted(tally.kinds.items())},
    }


def _kind_entry(tally: KindTally) -> Summary:
    coverage = tally.coverage
    return {
        "sent": tally.sent,
        "answered": tally.answered,
        "outcomes": dict(sorted(tally.outcomes.items())),
        **_quantiles(tally.latencies),
        "coverage": None if coverage is None else round(coverage, COVERAGE_DIGITS),
        "histogram": tally.latencies.encode(),
    }


def _quantiles(histogram: LatencyHistogram) -> dict[str, float | None]:
    return {name: histogram.quantile_ms(share) for name, share in QUANTILES.items()}


def summary_text(summary: Summary) -> str:
    """Return the summary as a table."""
    sent_rate = summary["sent_rate"]
    lines = [
        f"{summary['sent']} requests in {summary['seconds']:g} s"
        + ("" if sent_rate is None else f", {sent_rate:g} a second of {summary['rate']:g} asked"),
        f"outcomes: {_counts(summary['outcomes'])}; failures: {_counts(summary['failures'])}",
    ]
    if summary["first_problem"]:
        lines.append(f"first problem: {summary['first_problem']}")
    heading = "".join(f"{name.removesuffix('_ms') + ' ms':>10}" for name in QUANTILES)
    lines += ["", f"{'kind':<34}{'answered':>9}{heading}{'coverage':>10}"]
    for name, entry in summary["kinds"].items():
        cells = "".join(f"{_shown(entry[quantile]):>10}" for quantile in QUANTILES)
        coverage = _shown(entry["coverage"])
        lines.append(f"{name:<34}{entry['answered']:>9}{cells}{coverage:>10}")
    cells = "".join(f"{_shown(summary['start_lag'][quantile]):>10}" for quantile in QUANTILES)
    lines += [f"{'(start after the intended time)':<34}{summary['sent']:>9}{cells}"]
    lines += ["", "Latencies count from the intended start of each request."]
    return "\n".join(lines)


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def _shown(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
