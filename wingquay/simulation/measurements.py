"""What a simulation measures: latencies, coverage, promises kept, extra load."""

from collections import Counter
from dataclasses import dataclass, field

from ..model.answer import Answer, Outcome
from ..model.identifiers import ShardId
from ..ports.backend import StartAttempt
from .deployment_profile import DeploymentProfile
from .oracle import Submission
from .oracle_truth import Truth
from .workload import Arrival

MILLISECONDS = 1000.0


@dataclass(slots=True)
class Series:
    """What is known of one kind or class of request."""

    asked: int = 0
    refused: int = 0
    kept: int = 0
    """Answered with rows within the promise."""
    answered: int = 0
    coverage_sum: float = 0.0
    latencies_seconds: list[float] = field(default_factory=list)
    complete_at_seconds: list[float] = field(default_factory=list)
    """When complete answers reached their callers, for goodput."""

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile of the latencies in milliseconds (``None``: nothing answered)."""
        if not self.latencies_seconds:
            return None
        ordered = sorted(self.latencies_seconds)
        index = min(int(share * len(ordered)), len(ordered) - 1)
        return round(ordered[index] * MILLISECONDS, 3)

    @property
    def coverage(self) -> float | None:
        """Mean share of the asked keys that answers covered."""
        return self.coverage_sum / self.answered if self.answered else None


class Measurements:
    """Collects what the report shows; a repeated request counts once, by its first answer.

    Parameters
    ----------
    truth
        Knows how many keys a range holds.
    """

    def __init__(self, profile: DeploymentProfile, truth: Truth) -> None:
        self.kinds: dict[str, Series] = {}
        self.classes: dict[str, Series] = {entry.name: Series() for entry in profile.classes}
        self.outcomes: Counter[str] = Counter()
        self.unreachable = 0
        self.attempts = 0
        self._truth = truth
        self._promises = {entry.name: entry.promise_seconds for entry in profile.classes}
        self._open: dict[str, Arrival] = {}
        self._pieces: set[tuple[str, str | None, ShardId]] = set()
        for service in profile.services:
            for kind in service.kinds:
                self.kinds[kind.name] = Series()

    @property
    def queries(self) -> int:
        """Requests that callers made, repetitions not counted."""
        return sum(series.asked for series in self.kinds.values())

    @property
    def refused(self) -> int:
        """Requests refused as not run."""
        return sum(series.refused for series in self.kinds.values())

    @property
    def coverage(self) -> float | None:
        """Mean share of the asked keys that answers covered, over all kinds."""
        answered = sum(series.answered for series in self.kinds.values())
        covered = sum(series.coverage_sum for series in self.kinds.values())
        return covered / answered if answered else None

    def promise_kept(self, class_name: str) -> float | None:
        """Return the share of all requests of a class that were answered within its promise."""
        series = self.classes[class_name]
        return series.kept / series.asked if series.asked else None

    def promise_ms(self, class_name: str) -> float:
        """Return a class's promise in milliseconds."""
        return self._promises[class_name] * MILLISECONDS

    @property
    def extra_load(self) -> float | None:
        """Requests at back ends beyond one for each piece that any reached, as a share."""
        needed = len(self._pieces)
        return self.attempts / needed - 1.0 if needed else None

    def attempt_arrived(self, attempt: StartAttempt) -> None:
        """Count a request that arrived at a back end."""
        self.attempts += 1
        self._pieces.add((attempt.body, attempt.traceparent, attempt.shard_id))

    def arrived(self, arrival: Arrival) -> None:
        """Count a request that a caller made."""
        self._open[arrival.request.body] = arrival
        for series in self._series(arrival):
            series.asked += 1

    def nobody_listened(self, arrival: Arrival) -> None:
        """Count a request that no node took."""
        if self._open.pop(arrival.request.body, None) is not None:
            self.unreachable += 1

    def answered(self, submission: Submission, answer: Answer, now: float) -> None:
        """Take in an answer as the caller got it."""
        arrival = self._open.pop(submission.body, None)
        if arrival is None:
            return
        self.outcomes[answer.outcome.value] += 1
        if answer.outcome is Outcome.REFUSED_NOT_RUN:
            for series in self._series(arrival):
                series.refused += 1
            return
        if answer.outcome not in (Outcome.COMPLETE, Outcome.PARTIAL):
            return
        seconds = now - arrival.at_seconds
        coverage = self._coverage(submission, answer)
        kept = coverage > 0 and seconds <= self._promises[arrival.class_name]
        for series in self._series(arrival):
            series.answered += 1
            series.latencies_seconds.append(seconds)
            if answer.outcome is Outcome.COMPLETE:
                series.complete_at_seconds.append(now)
            series.coverage_sum += coverage
            series.kept += kept

    def _series(self, arrival: Arrival) -> tuple[Series, Series]:
        return self.kinds[arrival.request.kind], self.classes[arrival.class_name]

    def _coverage(self, submission: Submission, answer: Answer) -> float:
        if answer.outcome is Outcome.COMPLETE:
            return 1.0
        asked = self._truth.keys_in(submission.request.key_ranges)
        return self._truth.keys_in(answer.covered) / asked if asked else 0.0
