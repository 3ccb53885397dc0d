"""LOST: a node has read a whole request, and the connection ends without a complete answer."""

from wingquay.platform.standins.replica_record import ArrivalEnd

from ..ledger import Attempt, Ending, Ledger, SpanKind
from ..settings import HOST, SoakSettings
from .touch import UNPLANNED
from .violation import Rule, Violation

EXCUSED_SENT_SECONDS = 3.0
"""A request that was sent up to then after SIGTERM may be cut in the last part of the grace."""
LAST_PART = 1.0 / 6.0
DEADLINE_TOLERANCE_SECONDS = 0.05
BROKEN_OFF = frozenset({ArrivalEnd.ANSWER_WITHHELD, ArrivalEnd.ENDED})


def check_lost(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return the requests that were cut."""
    return [
        Violation(Rule.LOST, _text(ledger, attempt), (attempt.request_id,))
        for attempt in ledger.attempts.values()
        if attempt.ending is Ending.CLOSED and _is_lost(ledger, settings, attempt)
    ]


def _is_lost(ledger: Ledger, settings: SoakSettings, attempt: Attempt) -> bool:
    assert attempt.ended_at is not None
    arrivals = ledger.arrivals.get(attempt.request_id, [])
    after_seconds = attempt.ended_at - (attempt.last_byte_at or attempt.ended_at)
    was_read = bool(arrivals) or after_seconds > settings.bounds.loss_slack_seconds
    if not was_read or any(item.end in BROKEN_OFF for item in arrivals):
        return False
    since = attempt.sent_at - settings.bounds.contact_seconds
    if ledger.spans_of(UNPLANNED, attempt.node, since, attempt.ended_at):
        return False
    return not _is_over(ledger, attempt) and not _is_excused_by_stop(ledger, settings, attempt)


def _is_over(ledger: Ledger, attempt: Attempt) -> bool:
    """Return whether the deadline or the route's time limit was reached."""
    assert attempt.ended_at is not None
    routes = ledger.route_of(attempt, HOST, ledger.all_tables())
    limits = [attempt.deadline_seconds, *(route.timeout_seconds for route in routes)]
    return attempt.ended_at >= attempt.sent_at + min(limits) - DEADLINE_TOLERANCE_SECONDS


def _is_excused_by_stop(ledger: Ledger, settings: SoakSettings, attempt: Attempt) -> bool:
    assert attempt.ended_at is not None
    grace_seconds = settings.bounds.grace_seconds
    for span in ledger.spans:
        if span.kind is not SpanKind.STOP or span.subject != attempt.node:
            continue
        was_sent_early = attempt.sent_at <= span.begun_at + EXCUSED_SENT_SECONDS
        last_part_at = span.begun_at + grace_seconds * (1.0 - LAST_PART)
        if was_sent_early and last_part_at <= attempt.ended_at <= span.begun_at + grace_seconds + 1:
            return any(
                item.has_run and (item.ended_at or attempt.ended_at) >= attempt.ended_at - 0.01
                for item in ledger.arrivals.get(attempt.request_id, ())
            )
    return False


def _text(ledger: Ledger, attempt: Attempt) -> str:
    assert attempt.ended_at is not None
    seconds = attempt.ended_at - attempt.sent_at
    arrivals = len(ledger.arrivals.get(attempt.request_id, ()))
    return (
        f"{attempt.request_id} at {attempt.node}: closed without an answer after {seconds:.2f} s, "
        f"{arrivals} arrivals at replicas"
    )
