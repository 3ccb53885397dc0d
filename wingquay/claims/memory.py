"""The claims that a voter stores, bounded in number, size and age."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..model.identifiers import RequestId
from ..ports.peer_claims import ClaimRecord
from .settings import ClaimsSettings


@dataclass(slots=True)
class Submission:
    """The stored claim of one submission.

    Parameters
    ----------
    granted_at
        Time of the grant, in seconds on this node's clock.
    outcome
        The stored answer; ``None`` if it is unknown or was too large to store.
    next_submission
        Another submission stored for the same key. Set only if merged tables name different
        submissions, or if the outcome of another submission than the granted one was received.
    """

    request_id: RequestId
    request_digest: str
    round_number: int
    granted_at: float
    outcome: bytes | None = None
    next_submission: "Submission | None" = None

    def chain(self) -> "Iterator[Submission]":
        """Yield this submission and the others of the same key."""
        entry: Submission | None = self
        while entry is not None:
            yield entry
            entry = entry.next_submission


@dataclass(slots=True)
class MemoryUsage:
    """Number of stored claims and size of their outcomes, over all claim partitions of a node."""

    records: int = 0
    outcome_bytes: int = 0


class PartitionMemory:
    """The stored claims of one claim partition."""

    def __init__(self, settings: ClaimsSettings, usage: MemoryUsage) -> None:
        self._settings = settings
        self._usage = usage
        self._claims: dict[str, Submission] = {}

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def is_full(self) -> bool:
        """Whether the node stores its maximum number of claims."""
        return self._usage.records >= self._settings.capacity_records

    def submissions(self, claim_key: str, now: float) -> list[Submission]:
        """Return the unexpired submissions of a key, last added first."""
        first = self._claims.get(claim_key)
        if first is None:
            return []
        return [entry for entry in first.chain() if not self._expired(entry, now)]

    def add(self, claim_key: str, submission: Submission) -> None:
        """Store a submission, or update the stored one with the same request id."""
        first = self._claims.get(claim_key)
        known = None
        if first is not None:
            known = next(
                (entry for entry in first.chain() if entry.request_id == submission.request_id),
                None,
            )
        if known is None:
            submission.outcome = self._account_outcome(submission.outcome)
            submission.next_submission = first
            self._claims[claim_key] = submission
            self._usage.records += 1
            return
        known.round_number = max(known.round_number, submission.round_number)
        known.granted_at = max(known.granted_at, submission.granted_at)
        if known.outcome is None:
            known.outcome = self._account_outcome(submission.outcome)

    def release(self, claim_key: str, request_id: RequestId, round_number: int) -> None:
        """Drop a submission that did not run, unless it was granted in a later round."""

        def is_released(entry: Submission) -> bool:
            is_covered = entry.request_id == request_id and entry.round_number <= round_number
            return is_covered and entry.outcome is None

        self._drop(claim_key, is_released)

    def merge(self, record: ClaimRecord, now: float) -> None:
        """Add a record from another voter's table."""
        submission = Submission(
            request_id=record.request_id,
            request_digest=record.request_digest,
            round_number=record.round_number,
            granted_at=now - record.age_seconds,
            outcome=record.outcome,
        )
        self.add(record.claim_key, submission)

    def records(self, now: float) -> list[ClaimRecord]:
        """Return all unexpired claims as records for another voter."""
        return [
            ClaimRecord(
                claim_key=claim_key,
                request_id=entry.request_id,
                request_digest=entry.request_digest,
                round_number=entry.round_number,
                outcome=entry.outcome,
                age_seconds=now - entry.granted_at,
            )
            for claim_key in self._claims
            for entry in self.submissions(claim_key, now)
        ]

    def expire(self, now: float) -> None:
        """Drop the claims whose retention is over."""
        expired = [
            claim_key
            for claim_key, first in self._claims.items()
            if any(self._expired(entry, now) for entry in first.chain())
        ]
        for claim_key in expired:
            self._drop(claim_key, lambda entry: self._expired(entry, now))

    def clear(self) -> None:
        """Drop all claims."""
        for claim_key in list(self._claims):
            self._drop(claim_key, lambda entry: True)

    def _expired(self, entry: Submission, now: float) -> bool:
        return now - entry.granted_at > self._settings.total_retention_seconds

    def _account_outcome(self, outcome: bytes | None) -> bytes | None:
        if outcome is None or len(outcome) > self._settings.outcome_limit_bytes:
            return None
        total = self._usage.outcome_bytes + len(outcome)
        if total > self._settings.outcomes_capacity_bytes:
            return None
        self._usage.outcome_bytes = total
        return outcome

    def _drop(self, claim_key: str, should_drop: Callable[[Submission], bool]) -> None:
        first = self._claims.pop(claim_key, None)
        if first is None:
            return
        remaining: Submission | None = None
        for entry in list(first.chain()):
            if should_drop(entry):
                self._usage.records -= 1
                self._usage.outcome_bytes -= len(entry.outcome or b"")
            else:
                entry.next_submission = remaining
                remaining = entry
        if remaining is not None:
            self._claims[claim_key] = remaining
