"""Recent rates and latencies by request kind, for the forecast in operators' plans."""

from ..model.identifiers import RequestKindName, ServiceName
from ..ports.internal import KindLoad
from ..routing.latency_tracker import LatencyTracker
from .query_state import ResolvedRequest

QUANTILE_WINDOW_SECONDS = 10.0


class KindStatistics:
    """Rates and latencies of answered requests by service and kind."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[ServiceName, RequestKindName], LatencyTracker] = {}
        self._counts: dict[tuple[ServiceName, RequestKindName], int] = {}
        self._counting_since = 0.0

    def record(self, resolved: ResolvedRequest, latency_seconds: float, now: float) -> None:
        """Record an answered request."""
        key = (resolved.service.name, resolved.kind.name)
        tracker = self._latencies.get(key)
        if tracker is None:
            tracker = LatencyTracker(QUANTILE_WINDOW_SECONDS)
            self._latencies[key] = tracker
        tracker.record(latency_seconds, now)
        self._counts[key] = self._counts.get(key, 0) + 1

    def collect_and_reset(self, now: float) -> tuple[KindLoad, ...]:
        """Return the loads since the last call and reset the counts.

        Latencies cover the last ``QUANTILE_WINDOW_SECONDS``.
        """
        elapsed = max(1e-9, now - self._counting_since)
        self._counting_since = now
        counts, self._counts = self._counts, {}
        return tuple(
            KindLoad(
                service=key[0],
                kind=key[1],
                requests_per_second=count / elapsed,
                p50_seconds=self._latencies[key].quantile_seconds(0.5, 1) or 0.0,
                p99_seconds=self._latencies[key].quantile_seconds(0.99, 1) or 0.0,
            )
            for key, count in sorted(counts.items())
        )
