"""The state of one request at its coordinator."""

from dataclasses import dataclass, field

from ..model.answer import Timings
from ..model.configuration import (
    CoveragePreference,
    PriorityClass,
    RequestKind,
    Service,
)
from ..model.identifiers import RequestId, SubRequestId
from ..model.key_range import KeyRange
from ..model.request import QueryRequest, SubRequest
from ..ports.peer import NodeIdentity
from .merge import AnswerMerge


@dataclass(frozen=True, slots=True)
class ResolvedRequest:
    """A request checked against the configuration, with every default filled in."""

    request: QueryRequest
    service: Service
    kind: RequestKind
    priority_class: PriorityClass
    repeatable: bool
    coverage_preference: CoveragePreference
    deadline_seconds: float


@dataclass(slots=True)
class PendingSubRequest:
    """A sub-request that has no result yet, and the owner that was asked."""

    sub_request: SubRequest
    owner: NodeIdentity
    sent_at: float
    retries: int = 0
    owners_tried: tuple[str, ...] = ()


@dataclass(slots=True)
class QueryState:
    """One request from arrival to answer.

    Parameters
    ----------
    answer_at
        When the answer leaves at the latest (before the caller's deadline).
    may_have_run
        Whether any back end may have run any part of it.
    answers_on_first_result
        Whether the promise has passed and the first coverage ends the wait.
    scheduled_retries
        Pieces whose retry is scheduled.
    answered
        Pieces with a result; kept only when the duplicate filter is taken out.
    """

    resolved: ResolvedRequest
    arrived_at: float
    answer_at: float
    merge: AnswerMerge
    outstanding: dict[SubRequestId, PendingSubRequest] = field(default_factory=dict)
    answered: dict[SubRequestId, PendingSubRequest] = field(default_factory=dict)
    generation: int = 0
    sub_requests: int = 0
    attempts: int = 0
    replans: int = 0
    scheduled_retries: int = 0
    may_have_run: bool = False
    answers_on_first_result: bool = False
    is_claimed: bool = False
    awaits_claim: bool = False
    caller_gone: bool = False
    reason: str = ""
    timings: Timings = field(default_factory=Timings)

    @property
    def request_id(self) -> RequestId:
        """The request's id."""
        return self.resolved.request.request_id

    def pending_sub_request(self, sub_request_id: SubRequestId) -> PendingSubRequest:
        """Return an open sub-request.

        Raises
        ------
        KeyError
            If it is not one of this request's open sub-requests.
        """
        pending = self.outstanding.get(sub_request_id)
        return self.answered[sub_request_id] if pending is None else pending

    def remaining_seconds(self, now: float) -> float:
        """Return the time left for sub-requests."""
        return max(0.0, self.answer_at - now)

    def record_timing(self, queue_seconds: float, service_seconds: float) -> None:
        """Keep the parts of the slowest sub-request."""
        slowest = self.timings.queue_seconds + self.timings.service_seconds
        if queue_seconds + service_seconds > slowest:
            self.timings = Timings(0.0, queue_seconds, service_seconds)

    @property
    def requested_keys(self) -> tuple[KeyRange, ...]:
        """The keys that were asked for."""
        return self.resolved.request.key_ranges
