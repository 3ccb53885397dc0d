"""GONE: work for clients that have left."""

from ..ledger import Attempt, Ending, Ledger
from ..requests import SHAPES, kind_of
from ..settings import SoakSettings
from .touch import is_in_touch
from .violation import Rule, Violation

BOUND_SECONDS = 0.5
A_FEW = 3
"""Requests that may reach a replica later."""
LEAST_JUDGED = 8
"""Requests that must have lasted long enough for their share to say something."""
ALLOWED_SHARE = 0.25
LEFT = frozenset({Ending.LEFT, Ending.DEADLINE})


def check_gone(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return whether too much was begun or went on after clients had left."""
    begun_late: list[str] = []
    lasting: list[str] = []
    at_work: list[str] = []
    for attempt in ledger.attempts.values():
        if attempt.ending not in LEFT or attempt.ended_at is None:
            continue
        due_at = attempt.ended_at + BOUND_SECONDS
        if not is_in_touch(ledger, settings.bounds, attempt.node, attempt.sent_at, due_at):
            continue
        for arrival in ledger.arrivals.get(attempt.request_id, ()):
            if arrival.arrived_at > due_at:
                begun_late.append(attempt.request_id)
            elif _lasts_beyond(attempt, arrival.started_at, due_at):
                lasting.append(attempt.request_id)
                if arrival.ended_at is None or arrival.ended_at > due_at:
                    at_work.append(attempt.request_id)
    found: list[Violation] = []
    if len(begun_late) > A_FEW:
        text = f"{len(begun_late)} requests reached replicas after their clients had left"
        found.append(Violation(Rule.GONE, text, tuple(begun_late[:5])))
    if len(lasting) >= LEAST_JUDGED and len(at_work) > ALLOWED_SHARE * len(lasting):
        text = f"{len(at_work)} of {len(lasting)} went on after their clients had left"
        found.append(Violation(Rule.GONE, text, tuple(at_work[:5])))
    return found


def _lasts_beyond(attempt: Attempt, started_at: float | None, due_at: float) -> bool:
    """Return whether the work on a request that may be repeated would have lasted so long."""
    kind = kind_of(attempt.path)
    if started_at is None or kind is None or not SHAPES[kind].is_repeatable:
        return False
    work_ms = float(attempt.target.rpartition("work=")[2])
    return started_at + work_ms / 1000.0 > due_at
