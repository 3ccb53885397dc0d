"""Counters and histograms in the Prometheus text format, through its client library."""

import re
from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

from ..ports.machine import Count, Observe

NAME_PREFIX = "wingquay_"
SERIES_LIMIT = 2_000
"""Label sets kept for one metric; further ones are counted in ``metrics_dropped_total``."""

SECONDS_BUCKETS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
COUNT_BUCKETS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
RATIO_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.8, 0.9, 0.95, 0.99, 1.0)

# The time at which each series began would double the page, and nothing here resets counters.
disable_created_metrics()  # type: ignore[no-untyped-call]

_UNSAFE_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


class Metrics:
    """Performs ``Count`` and ``Observe`` actions for one node and renders its page."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._label_names: dict[str, tuple[str, ...]] = {}
        self._series: dict[str, set[tuple[str, ...]]] = {}
        self._dropped = Counter(
            NAME_PREFIX + "metrics_dropped",
            "Values dropped because their labels did not fit or were too many.",
            registry=self._registry,
        )

    def count(self, action: Count) -> None:
        """Add to a counter; it is made at its first use."""
        name = _full_name(action.name)
        labels = self._accepted_labels(name, action.labels)
        if labels is None:
            return
        counter = self._counters.get(name)
        if counter is None:
            help_text = f"{_words(name)}."
            counter = Counter(name, help_text, self._label_names[name], registry=self._registry)
            self._counters[name] = counter
        (counter.labels(*labels) if labels else counter).inc(action.amount)

    def observe(self, action: Observe) -> None:
        """Add to a histogram; it is made at its first use, with buckets by its unit."""
        name = _full_name(action.name)
        labels = self._accepted_labels(name, action.labels)
        if labels is None:
            return
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                name,
                f"{_words(name)}.",
                self._label_names[name],
                buckets=_buckets(name),
                registry=self._registry,
            )
            self._histograms[name] = histogram
        (histogram.labels(*labels) if labels else histogram).observe(action.value)

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Show what ``read`` returns whenever the page is rendered."""
        gauge = Gauge(_full_name(name), meaning, registry=self._registry)
        gauge.set_function(read)

    def page(self) -> bytes:
        """Return the page in the Prometheus text format."""
        return generate_latest(self._registry)

    def value(self, name: str, labels: dict[str, str] | None = None) -> float:
        """Return the present value of a sample (0 if there is none), for the demo and tests."""
        sample = self._registry.get_sample_value(_full_name(name), labels or {})
        return 0.0 if sample is None else sample

    def _accepted_labels(
        self,
        name: str,
        labels: tuple[tuple[str, str], ...],
    ) -> tuple[str, ...] | None:
        """Return the label values, or ``None`` if the value has to be dropped."""
        names = tuple(_UNSAFE_CHARACTER.sub("_", label) for label, _ in labels)
        values = tuple(value for _, value in labels)
        known_names = self._label_names.setdefault(name, names)
        series = self._series.setdefault(name, set())
        if names != known_names or (values not in series and len(series) >= SERIES_LIMIT):
            self._dropped.inc()
            return None
        series.add(values)
        return values


def _full_name(name: str) -> str:
    safe_name = _UNSAFE_CHARACTER.sub("_", name)
    return safe_name if safe_name.startswith(NAME_PREFIX) else NAME_PREFIX + safe_name


def _words(name: str) -> str:
    return name.removeprefix(NAME_PREFIX).replace("_", " ").capitalize()


def _buckets(name: str) -> tuple[float, ...]:
    if name.endswith("_seconds"):
        return SECONDS_BUCKETS
    if name.endswith("_ratio"):
        return RATIO_BUCKETS
    return COUNT_BUCKETS
