"""Decides whether a request without attempts in flight is sent, waits, or is rejected.

A caller that is rejected early has time to retry at another node; one whose request waits and then
fails hasn't. A request therefore waits only if capacity is expected while an answer is still worth
more than a retry. A request that may have run is never reported as not run.
"""

from ...model.value import value
from .capacity import NEVER, ExpectedCapacity
from .waiting_settings import WaitingRule, WaitingSettings

NO_REPLICA_REASON = "no replica can be asked"
NO_CAPACITY_REASON = "its replicas have no room soon enough"
NO_EXTRA_REQUEST_REASON = "it may not be sent again soon enough"
NOT_REPEATABLE_REASON = "no other replica may run it"


@value
class WaitingRequest:
    """State of a request without attempts in flight.

    Parameters
    ----------
    arrived_at
        When the request arrived.
    cutoff_at
        Latest time at which an answer meets the caller's objective.
    ends_at
        When the request times out.
    objective_seconds
        Time within which an answer has its full value.
    has_unblocked
        Whether its services have a replica that is not blocked.
    is_settling
        Whether replica records may still be missing.
    may_have_run
        Whether a replica may have run the request.
    may_run_again
        Whether the request may be sent again, as to its route and its number of attempts.
    is_merged
        Whether its answer is merged from several services; such an answer is worth little when
        late.
    extra_request_at
        When the budget allows an extra request; minus infinity: none is needed.
    """

    arrived_at: float
    cutoff_at: float
    ends_at: float
    objective_seconds: float
    has_unblocked: bool
    is_settling: bool = False
    may_have_run: bool = False
    may_run_again: bool = True
    is_merged: bool = False
    extra_request_at: float = float("-inf")


@value
class SendNow:
    """Send the request now.

    Parameters
    ----------
    incarnation
        Incarnation that has capacity; empty for a merged answer, where enough shards have.
    """

    incarnation: str = ""


@value
class WaitUntil:
    """Keep the request waiting, and decide again at ``when`` or after an earlier event."""

    when: float


@value
class Reject:
    """Reject the request now.

    Parameters
    ----------
    retry_after_seconds
        Time until capacity or an extra request is expected to be available; infinity: not known.
    """

    retry_after_seconds: float
    reason: str


Decision = SendNow | WaitUntil | Reject


def decide(
    request: WaitingRequest, expected: ExpectedCapacity, settings: WaitingSettings, now: float
) -> Decision:
    """Return the best decision for the caller of a request without attempts in flight.

    Parameters
    ----------
    expected
        When its services will have capacity for it, after all requests queued before it.
    """
    if request.may_have_run and not request.may_run_again:
        return Reject(NEVER, NOT_REPEATABLE_REASON)
    starts_at = max(expected.at, request.extra_request_at)
    if starts_at <= now:
        return SendNow(expected.incarnation)
    wait_limit_at = _wait_limit(request, expected, settings, now)
    if request.is_settling and not request.has_unblocked:
        # The time at which a record reappears is unknown, so check again soon.
        starts_at = min(starts_at, now + settings.recheck_seconds)
    if starts_at == NEVER:
        return Reject(NEVER, _reason(request, expected))
    is_wait_worthwhile = starts_at <= wait_limit_at
    if settings.rule is WaitingRule.FIXED_SHARES:
        is_wait_worthwhile = now + settings.recheck_seconds < wait_limit_at
    if not is_wait_worthwhile:
        return Reject(starts_at - now, _reason(request, expected))
    return WaitUntil(_next_recheck(starts_at, wait_limit_at, settings, now))


def _wait_limit(
    request: WaitingRequest, expected: ExpectedCapacity, settings: WaitingSettings, now: float
) -> float:
    """Return the time until which waiting is better for the caller than to retry elsewhere."""
    limit_seconds = request.ends_at - request.arrived_at
    hold_ends_at = request.arrived_at + limit_seconds * settings.hold_ratio
    if request.may_have_run:
        if request.is_settling:
            return request.ends_at
        if expected.at <= now:
            return now + request.objective_seconds * settings.repeat_ratio
    if request.has_unblocked or request.may_have_run:
        ratio = settings.hold_ratio
        if settings.rule is WaitingRule.ESTIMATE and not request.is_merged:
            ratio = settings.queue_ratio
        return max(request.cutoff_at, request.arrived_at + limit_seconds * ratio)
    if request.is_settling:
        return hold_ends_at
    return request.arrived_at + request.objective_seconds * settings.blocked_ratio


def _next_recheck(
    starts_at: float, wait_limit_at: float, settings: WaitingSettings, now: float
) -> float:
    if settings.rule is WaitingRule.FIXED_SHARES:
        return now + settings.recheck_seconds
    at = min(starts_at, wait_limit_at, now + settings.max_recheck_seconds)
    return max(at, now + min(settings.recheck_seconds, wait_limit_at - now))


def _reason(request: WaitingRequest, expected: ExpectedCapacity) -> str:
    if expected.at < request.extra_request_at:
        return NO_EXTRA_REQUEST_REASON
    return NO_CAPACITY_REASON if request.has_unblocked else NO_REPLICA_REASON
