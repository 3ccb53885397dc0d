"""The claims that a voter remembers, bounded in number, size and time."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..model.identifiers import RequestId
from ..ports.peer_claims import ClaimRecord
from .settings import ClaimsSettings


@dataclass(slots=True)
class Submission:
    """One submission that a voter remembers for a claim key.

    Parameters
    ----------
    granted_at
        Seconds on this node's clock.
    outcome
        The stored answer; ``None`` while it is not known or if it was too large to keep.
    rival
        Another submission of the same key. There is one only when tables that were merged
        named different submissions: either may have run.
    """

    request_id: RequestId
    request_digest: str
    round_number: int
    granted_at: float
    outcome: bytes | None = None
    rival: "Submission | None" = None

    def chain(self) -> "Iterator[Submission]":
        """Yield this submission and its rivals."""
        entry: Submission | None = self
        while entry is not None:
            yield entry
            entry = entry.rival


@dataclass(slots=True)
class MemoryUsage:
    """What all partitions of a node hold together."""

    records: int = 0
    outcome_bytes: int = 0


class PartitionMemory:
    """The claims of one partition."""

    def __init__(self, settings: ClaimsSettings, use: MemoryUsage) -> None:
        self._settings = settings
        self._use = use
        self._claims: dict[str, Submission] = {}

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def is_full(self) -> bool:
        """Whether the node holds as many claims as it may."""
        return self._use.records >= self._settings.capacity_records

    def submissions(self, claim_key: str, now: float) -> list[Submission]:
        """Return what is remembered of a key, oldest knowledge first."""
        first = self._claims.get(claim_key)
        if first is None:
            return []
        return [entry for entry in first.chain() if not self._expired(entry, now)]

    def add(self, claim_key: str, submission: Submission) -> None:
        """Add a submission, or add what is new about one that is already remembered."""
        first = self._claims.get(claim_key)
        known = None
        if first is not None:
            known = next(
                (entry for entry in first.chain() if entry.request_id == submission.request_id),
                None,
            )
        if known is None:
            submission.outcome = self._account_outcome(submission.outcome)
            submission.rival = first
            self._claims[claim_key] = submission
            self._use.records += 1
            return
        known.round_number = max(known.round_number, submission.round_number)
        known.granted_at = max(known.granted_at, submission.granted_at)
        if known.outcome is None:
            known.outcome = self._account_outcome(submission.outcome)

    def release(self, claim_key: str, request_id: RequestId, round_number: int) -> None:
        """Forget a submission that did not run with the grants of this round or earlier ones."""

        def released(entry: Submission) -> bool:
            same_round = entry.request_id == request_id and entry.round_number <= round_number
            return same_round and entry.outcome is None

        self._drop(claim_key, released)

    def merge(self, record: ClaimRecord, now: float) -> None:
        """Take in a record of another voter's table."""
        submission = Submission(
            request_id=record.request_id,
            request_digest=record.request_digest,
            round_number=record.round_number,
            granted_at=now - record.age_seconds,
            outcome=record.outcome,
        )
        self.add(record.claim_key, submission)

    def records(self, now: float) -> list[ClaimRecord]:
        """Return everything as it is to be sent to another voter."""
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
        """Forget the claims whose time is over."""
        expired = [
            claim_key
            for claim_key, first in self._claims.items()
            if any(self._expired(entry, now) for entry in first.chain())
        ]
        for claim_key in expired:
            self._drop(claim_key, lambda entry: self._expired(entry, now))

    def clear(self) -> None:
        """Forget everything: this node no longer answers for the partition."""
        for claim_key in list(self._claims):
            self._drop(claim_key, lambda entry: True)

    def _expired(self, entry: Submission, now: float) -> bool:
        return now - entry.granted_at > self._settings.kept_seconds

    def _account_outcome(self, outcome: bytes | None) -> bytes | None:
        if outcome is None or len(outcome) > self._settings.outcome_limit_bytes:
            return None
        total = self._use.outcome_bytes + len(outcome)
        if total > self._settings.outcomes_capacity_bytes:
            return None
        self._use.outcome_bytes = total
        return outcome

    def _drop(self, claim_key: str, dropped: Callable[[Submission], bool]) -> None:
        first = self._claims.pop(claim_key, None)
        if first is None:
            return
        kept: Submission | None = None
        for entry in list(first.chain()):
            if dropped(entry):
                self._use.records -= 1
                self._use.outcome_bytes -= len(entry.outcome or b"")
            else:
                entry.rival = kept
                kept = entry
        if kept is not None:
            self._claims[claim_key] = kept
