"""Bounds the log lines of one node, each kind by itself.

A kind that has used up its lines of a second is left out; its next line says how many lines were.
Kinds that explain requests that were not served have the most.
"""

from dataclasses import dataclass

from ..ports.machine import Action, Count, Log

LINES_PER_SECOND = {
    "failed": 20,
    "timed_out": 20,
    "refused": 20,
    "replica_failure": 10,
    "partial": 10,
    "held": 10,
    "late": 10,
    "unknown_caller": 10,
    "over_limit": 10,
}
"""Lines a second for requests by outcome."""
OTHER_LINES_PER_SECOND = 5
OUTCOME_FIELD = "outcome"


@dataclass(slots=True)
class _Kind:
    second: int = -1
    lines: int = 0
    dropped: int = 0


class LogLimiter:
    """Lets log lines through within their budgets."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def admit(self, actions: list[Action], now: float) -> list[Action]:
        """Return the actions without the log lines that are too many."""
        if not any(isinstance(action, Log) for action in actions):
            return actions
        return [self._admitted(action, now) for action in actions]

    def _admitted(self, action: Action, now: float) -> Action:
        if not isinstance(action, Log):
            return action
        name = next(
            (str(text) for field, text in action.fields if field == OUTCOME_FIELD), action.message
        )
        kind = self._kinds.setdefault(name, _Kind())
        second = int(now)
        if second != kind.second:
            kind.second = second
            kind.lines = 0
        kind.lines += 1
        if kind.lines > LINES_PER_SECOND.get(name, OTHER_LINES_PER_SECOND):
            kind.dropped += 1
            return Count("log_lines_left_out_total", labels=(("kind", name),))
        if not kind.dropped:
            return action
        fields = (*action.fields, ("lines_left_out", kind.dropped))
        kind.dropped = 0
        return Log(action.message, action.level, fields)
