"""State of a request at its coordinator, from arrival to answer."""

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
    """A valid request with defaults filled in from the configuration."""

    request: QueryRequest
    service: Service
    kind: RequestKind
    priority_class: PriorityClass
    repeatable: bool
    coverage_preference: CoveragePreference
    deadline_seconds: float


@dataclass(slots=True)
class PendingSubRequest:
    """A sub-request without a result and the owner it was sent to.

    Parameters
    ----------
    retry_number
        Number of earlier sub-requests for the same keys that failed; 0 for the first one.
    owners_tried
        Owners that the sub-request was sent to before ``owner``.
    """

    sub_request: SubRequest
    owner: NodeIdentity
    sent_at: float
    retry_number: int = 0
    owners_tried: tuple[str, ...] = ()


@dataclass(slots=True)
class QueryState:
    """State of one request.

    Parameters
    ----------
    answer_at
        Latest time to send the answer; a margin before the caller's deadline.
    answered
        Sub-requests with a result; used only if the duplicate filter is disabled.
    plan_number
        Number of plans made so far; distinguishes the retries of the current plan.
    replan_count
        Number of restarts with another snapshot version.
    scheduled_retry_count
        Number of retries that wait for their timer.
    may_have_run
        Whether any replica may have run any part of it.
    answers_on_first_result
        Whether the promise has passed, so that the first covered keys complete the request.
    needs_claim, is_claimed
        Whether the request needs a claim, and whether the claim was granted.
    reason
        Latest failure, for the answer.
    """

    resolved: ResolvedRequest
    arrived_at: float
    answer_at: float
    merge: AnswerMerge
    pending_sub_requests: dict[SubRequestId, PendingSubRequest] = field(default_factory=dict)
    answered: dict[SubRequestId, PendingSubRequest] = field(default_factory=dict)
    plan_number: int = 0
    sub_request_count: int = 0
    attempt_count: int = 0
    replan_count: int = 0
    scheduled_retry_count: int = 0
    may_have_run: bool = False
    answers_on_first_result: bool = False
    is_claimed: bool = False
    needs_claim: bool = False
    caller_gone: bool = False
    reason: str = ""
    timings: Timings = field(default_factory=Timings)

    @property
    def request_id(self) -> RequestId:
        """Request id."""
        return self.resolved.request.request_id

    def get_pending(self, sub_request_id: SubRequestId) -> PendingSubRequest:
        """Return a pending sub-request, or an answered one if duplicates are not filtered.

        Raises
        ------
        KeyError
            If the request has no such sub-request.
        """
        pending = self.pending_sub_requests.get(sub_request_id)
        return self.answered[sub_request_id] if pending is None else pending

    def remaining_seconds(self, now: float) -> float:
        """Return the time left until the answer must be sent; never negative."""
        return max(0.0, self.answer_at - now)

    def record_timing(self, queue_seconds: float, service_seconds: float) -> None:
        """Record the timing of a sub-request; only the slowest one is kept."""
        slowest = self.timings.queue_seconds + self.timings.service_seconds
        if queue_seconds + service_seconds > slowest:
            self.timings = Timings(0.0, queue_seconds, service_seconds)

    @property
    def requested_keys(self) -> tuple[KeyRange, ...]:
        """Requested key ranges."""
        return self.resolved.request.key_ranges
