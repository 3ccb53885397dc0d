"""A chart of a run: served share and response times by second, with the faults marked."""

from collections import defaultdict
from pathlib import Path

from .ledger import Attempt, Ending, Ledger, SpanKind

COLOURS = {
    SpanKind.STOP: "tab:blue",
    SpanKind.KILL: "tab:red",
    SpanKind.FREEZE: "tab:cyan",
    SpanKind.START: "tab:olive",
    SpanKind.LINK: "tab:orange",
    SpanKind.STORE: "tab:purple",
    SpanKind.RESTORED: "tab:pink",
    SpanKind.REPLICA: "tab:gray",
    SpanKind.HANGUP: "tab:green",
    SpanKind.LAG: "black",
}


def write_chart(ledger: Ledger, title: str, path: Path) -> None:
    """Write a chart of a run as an image."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = _by_second(ledger)
    figure, (shares, times, faults) = pyplot.subplots(
        3, 1, sharex=True, figsize=(12, 8), height_ratios=(2, 2, 3)
    )
    moments = sorted(seconds)
    shares.plot(moments, [_served_share(seconds[moment]) for moment in moments])
    shares.set_ylabel("served share")
    shares.set_ylim(0.0, 1.05)
    for quantile, name in ((0.5, "p50"), (0.99, "p99")):
        times.plot(
            moments, [_quantile(seconds[moment], quantile) for moment in moments], label=name
        )
    times.set_ylabel("seconds")
    times.set_yscale("log")
    times.legend()
    kinds = [kind for kind in SpanKind if any(span.kind is kind for span in ledger.spans)]
    for row, kind in enumerate(kinds):
        bars = [
            (
                span.begun_at - ledger.began_at,
                max(_end(ledger, span.ended_at) - span.begun_at, 0.05),
            )
            for span in ledger.spans
            if span.kind is kind
        ]
        faults.broken_barh(bars, (row - 0.4, 0.8), color=COLOURS[kind], alpha=0.4)
    for item in ledger.tables:
        faults.axvline(item.acknowledged_at - ledger.began_at, color="gray", linewidth=0.5)
    faults.set_yticks(range(len(kinds)), [kind.value for kind in kinds])
    faults.set_xlabel("seconds (thin lines: configurations)")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _by_second(ledger: Ledger) -> dict[int, list[Attempt]]:
    found: dict[int, list[Attempt]] = defaultdict(list)
    for attempt in ledger.attempts.values():
        if attempt.ending is not Ending.LEFT and attempt.ended_at is not None:
            found[int(attempt.sent_at - ledger.began_at)].append(attempt)
    return found


def _served(attempts: list[Attempt]) -> list[float]:
    return sorted(
        (item.ended_at or 0.0) - item.sent_at
        for item in attempts
        if item.ending is Ending.ANSWERED and item.status < 300
    )


def _served_share(attempts: list[Attempt]) -> float:
    return len(_served(attempts)) / len(attempts)


def _quantile(attempts: list[Attempt], quantile: float) -> float:
    times = _served(attempts)
    return times[min(int(len(times) * quantile), len(times) - 1)] if times else float("nan")


def _end(ledger: Ledger, ended_at: float) -> float:
    return min(ended_at, ledger.ended_at)
