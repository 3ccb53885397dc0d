"""The one decision on a request that is not under way: send it, let it wait, or reject it.

It weighs what the caller gains by each. A caller that is rejected early comes back, most often to
another node, and loses little; one that is held and then gets nothing has lost everything. So
nobody waits for room that is not expected in the time in which an answer is still worth more than
coming back, and what may have run is never called not run: that is said by the one who ends it.
"""

from ...model.value import value
from .capacity import NEVER, ExpectedCapacity
from .waiting_settings import WaitingRule, WaitingSettings

NO_REPLICA_REASON = "no replica can be asked"
NO_CAPACITY_REASON = "its replicas have no room soon enough"
NO_REPEAT_REASON = "it may not be sent again soon enough"
RAN_REASON = "no other replica may run it"


@value
class WaitingRequest:
    """What is known of a request that is not under way.

    Parameters
    ----------
    arrived_at, cutoff_at, ends_at
        When it came, until when an answer is in time for the caller, and when it is given up on.
    objective_seconds
        Time within which an answer is worth its full price.
    has_unblocked
        Whether a replica of its services may be asked and was not just out of reach.
    may_records_reappear
        Whether records of replicas may be missing that come back by themselves.
    may_have_run
        Whether a replica may have run it.
    may_run_again
        Whether it may be sent once more.
    is_merged
        Whether its answer is merged from several services: late, it is worth little.
    repeat_at
        When the budget of extra arrivals allows to send it once more.
    """

    arrived_at: float
    cutoff_at: float
    ends_at: float
    objective_seconds: float
    has_unblocked: bool
    may_records_reappear: bool = False
    may_have_run: bool = False
    may_run_again: bool = True
    is_merged: bool = False
    repeat_at: float = float("-inf")


@value
class SendNow:
    """Send it: this replica has room, or enough shards have for a merged answer (no id)."""

    replica_id: str = ""


@value
class WaitUntil:
    """Let it wait, and look again then unless something happens before."""

    when: float


@value
class Reject:
    """End it now.

    Parameters
    ----------
    retry_after_seconds
        When there will be room for this caller; infinity: not known.
    """

    retry_after_seconds: float
    reason: str


Decision = SendNow | WaitUntil | Reject


def decide(
    request: WaitingRequest, capacity: ExpectedCapacity, settings: WaitingSettings, now: float
) -> Decision:
    """Return what is best for the caller of a request that is not under way.

    Parameters
    ----------
    room
        When its services will have room for it, after all that goes before it.
    """
    if request.may_have_run and not request.may_run_again:
        return Reject(NEVER, RAN_REASON)
    starts_at = max(capacity.at, request.repeat_at)
    if starts_at <= now:
        return SendNow(capacity.replica_id)
    latest = _latest(request, capacity, settings, now)
    if request.may_records_reappear and not request.has_unblocked:
        # Nothing tells when a record comes back; it is looked for as long as it may.
        starts_at = min(starts_at, now + settings.recheck_seconds)
    if starts_at == NEVER:
        return Reject(NEVER, _reason(request, capacity))
    is_worth_it = starts_at <= latest
    if settings.rule is WaitingRule.FIXED_SHARES:
        is_worth_it = now + settings.recheck_seconds < latest
    if not is_worth_it:
        return Reject(starts_at - now, _reason(request, capacity))
    return WaitUntil(_next_recheck(starts_at, latest, settings, now))


def _latest(
    request: WaitingRequest, capacity: ExpectedCapacity, settings: WaitingSettings, now: float
) -> float:
    """Return until when waiting is better for the caller than coming back."""
    whole_seconds = request.ends_at - request.arrived_at
    hold_ends_at = request.arrived_at + whole_seconds * settings.hold_ratio
    if request.may_have_run:
        if request.may_records_reappear:
            return request.ends_at
        if capacity.at <= now:
            return now + request.objective_seconds * settings.repeat_ratio
    if request.has_unblocked or request.may_have_run:
        ratio = settings.hold_ratio
        if settings.rule is WaitingRule.ESTIMATE and not request.is_merged:
            ratio = settings.queue_ratio
        return max(request.cutoff_at, request.arrived_at + whole_seconds * ratio)
    if request.may_records_reappear:
        return hold_ends_at
    return request.arrived_at + request.objective_seconds * settings.offer_ratio


def _next_recheck(starts_at: float, latest: float, settings: WaitingSettings, now: float) -> float:
    if settings.rule is WaitingRule.FIXED_SHARES:
        return now + settings.recheck_seconds
    at = min(starts_at, latest, now + settings.max_recheck_seconds)
    return max(at, now + min(settings.recheck_seconds, latest - now))


def _reason(request: WaitingRequest, capacity: ExpectedCapacity) -> str:
    if capacity.at < request.repeat_at:
        return NO_REPEAT_REASON
    return NO_CAPACITY_REASON if request.has_unblocked else NO_REPLICA_REASON
