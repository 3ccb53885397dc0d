"""The one decision on a request that is not under way: send it, let it wait, or reject it.

It weighs what the caller gains by each. A caller that is rejected early comes back, most often to
another node, and loses little; one that is held and then gets nothing has lost everything. So
nobody waits for room that is not expected in the time in which an answer is still worth more than
coming back, and what may have run is never called not run: that is said by the one who ends it.
"""

from ...model.value import value
from .room import NEVER, Room
from .waiting_settings import WaitingRule, WaitingSettings

NO_REPLICA_REASON = "no replica can be asked"
NO_ROOM_REASON = "its replicas have no room soon enough"
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
    has_usable
        Whether a replica of its services may be asked and was not just out of reach.
    may_records_come_back
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
    has_usable: bool
    may_records_come_back: bool = False
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


def decide(request: WaitingRequest, room: Room, settings: WaitingSettings, now: float) -> Decision:
    """Return what is best for the caller of a request that is not under way.

    Parameters
    ----------
    room
        When its services will have room for it, after all that goes before it.
    """
    if request.may_have_run and not request.may_run_again:
        return Reject(NEVER, RAN_REASON)
    begins_at = max(room.at, request.repeat_at)
    if begins_at <= now:
        return SendNow(room.replica_id)
    latest = _latest(request, room, settings, now)
    if request.may_records_come_back and not request.has_usable:
        # Nothing tells when a record comes back; it is looked for as long as it may.
        begins_at = min(begins_at, now + settings.look_seconds)
    if begins_at == NEVER:
        return Reject(NEVER, _reason(request, room))
    is_worth_it = begins_at <= latest
    if settings.rule is WaitingRule.FIXED_SHARES:
        is_worth_it = now + settings.look_seconds < latest
    if not is_worth_it:
        return Reject(begins_at - now, _reason(request, room))
    return WaitUntil(_next_look(begins_at, latest, settings, now))


def _latest(request: WaitingRequest, room: Room, settings: WaitingSettings, now: float) -> float:
    """Return until when waiting is better for the caller than coming back."""
    whole_seconds = request.ends_at - request.arrived_at
    held_until = request.arrived_at + whole_seconds * settings.hold_ratio
    if request.may_have_run:
        if request.may_records_come_back:
            return request.ends_at
        if room.at <= now:
            return now + request.objective_seconds * settings.repeat_ratio
    if request.has_usable or request.may_have_run:
        ratio = settings.hold_ratio
        if settings.rule is WaitingRule.ESTIMATE and not request.is_merged:
            ratio = settings.line_ratio
        return max(request.cutoff_at, request.arrived_at + whole_seconds * ratio)
    if request.may_records_come_back:
        return held_until
    return request.arrived_at + request.objective_seconds * settings.offer_ratio


def _next_look(begins_at: float, latest: float, settings: WaitingSettings, now: float) -> float:
    if settings.rule is WaitingRule.FIXED_SHARES:
        return now + settings.look_seconds
    at = min(begins_at, latest, now + settings.longest_look_seconds)
    return max(at, now + min(settings.look_seconds, latest - now))


def _reason(request: WaitingRequest, room: Room) -> str:
    if room.at < request.repeat_at:
        return NO_REPEAT_REASON
    return NO_ROOM_REASON if request.has_usable else NO_REPLICA_REASON
