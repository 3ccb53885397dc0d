"""Counts what came of each request of a load."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ...adapters.http_messages import HttpFailureKind, HttpResponse
from ...model.answer import Outcome
from ...model.failure import Failure
from ...model.key_range import KeyRange
from ..answer_document import answer_document, outcome_of
from ..latency_histogram import LatencyHistogram
from .load_plan import PlannedRequest

UNKNOWN_RESPONSE = "unknown_response"
"""The failure of a response that the interface does not describe."""


@dataclass(slots=True)
class KindTally:
    """What is known of one kind of request; latencies of answers, from the intended start."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    coverage_sum: float = 0.0

    @property
    def answered(self) -> int:
        """Number of complete and partial answers."""
        return self.outcomes[Outcome.COMPLETE.value] + self.outcomes[Outcome.PARTIAL.value]

    @property
    def coverage(self) -> float | None:
        """Mean share of the asked keys that answers covered."""
        return self.coverage_sum / self.answered if self.answered else None


class LoadTally:
    """Collects responses and failures.

    Parameters
    ----------
    keys
        All keys, to tell the coverage of partial answers to requests for all of them.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self.kinds: dict[str, KindTally] = {}
        self.failures: Counter[str] = Counter()
        self.start_lag = LatencyHistogram()
        """How long after its intended start each request was handed to a connection."""
        self.latencies = LatencyHistogram()
        self.sent = 0
        self.finished = 0
        self.first_problem = ""
        """What the first failure or error said."""
        self._keys = keys

    def started(self, request: PlannedRequest) -> None:
        """Count a request whose time has come."""
        self.sent += 1
        self._kind(request).sent += 1

    def finish(
        self,
        request: PlannedRequest,
        result: HttpResponse | Failure[HttpFailureKind],
        seconds: float,
    ) -> None:
        """Count what came of a request ``seconds`` after its intended start."""
        self.finished += 1
        if isinstance(result, Failure):
            self._fail(result.kind.value, result.reason)
            return
        document = answer_document(result.whole_body)
        outcome = outcome_of(document)
        if outcome is None:
            detail = document.get("detail", "no problem details")
            self._fail(UNKNOWN_RESPONSE, f"status {result.status}: {detail}")
            return
        tally = self._kind(request)
        tally.outcomes[outcome.value] += 1
        if outcome in (Outcome.COMPLETE, Outcome.PARTIAL):
            tally.latencies.record(seconds)
            self.latencies.record(seconds)
            tally.coverage_sum += self._coverage(request, outcome, document)
        else:
            self._note(f"{outcome.value}: {document.get('detail', '')}")

    def outcomes(self) -> Counter[str]:
        """Return the number of responses by outcome, over all kinds."""
        total: Counter[str] = Counter()
        for tally in self.kinds.values():
            total += tally.outcomes
        return total

    def _kind(self, request: PlannedRequest) -> KindTally:
        name = f"{request.entry.service}/{request.entry.kind}"
        return self.kinds.setdefault(name, KindTally())

    def _fail(self, kind: str, reason: str) -> None:
        self.failures[kind] += 1
        self._note(f"{kind}: {reason}")

    def _note(self, problem: str) -> None:
        self.first_problem = self.first_problem or problem

    def _coverage(
        self, request: PlannedRequest, outcome: Outcome, document: Mapping[str, Any]
    ) -> float:
        if outcome is Outcome.COMPLETE:
            return 1.0
        keys = self._keys if request.keys is None else request.keys
        covered = [KeyRange(entry["start"], entry["end"]) for entry in document["covered"]]
        found = sum(any(key_range.contains(key) for key_range in covered) for key in keys)
        return found / len(keys)
