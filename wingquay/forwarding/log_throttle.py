"""Limits the rate of a node's log lines, separately for each kind of line.

Lines above the limit of their kind are dropped; the next line of the kind states how many. Lines
that explain failed requests have the highest limits.
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
"""Limits for lines on requests, by outcome."""
OTHER_LINES_PER_SECOND = 5
OUTCOME_FIELD = "outcome"


@dataclass(slots=True)
class _KindCounter:
    second: int = -1
    lines: int = 0
    dropped_lines: int = 0


class LogThrottle:
    """Drops log lines that exceed the limit of their kind."""

    def __init__(self) -> None:
        self._kinds: dict[str, _KindCounter] = {}

    def admit(self, actions: list[Action], now: float) -> list[Action]:
        """Return the actions, with a counter in place of each log line above its limit."""
        if not any(isinstance(action, Log) for action in actions):
            return actions
        return [self._admitted(action, now) for action in actions]

    def _admitted(self, action: Action, now: float) -> Action:
        if not isinstance(action, Log):
            return action
        name = next(
            (str(text) for field, text in action.fields if field == OUTCOME_FIELD), action.message
        )
        kind = self._kinds.setdefault(name, _KindCounter())
        second = int(now)
        if second != kind.second:
            kind.second = second
            kind.lines = 0
        kind.lines += 1
        if kind.lines > LINES_PER_SECOND.get(name, OTHER_LINES_PER_SECOND):
            kind.dropped_lines += 1
            return Count("log_lines_left_out_total", labels=(("kind", name),))
        if not kind.dropped_lines:
            return action
        fields = (*action.fields, ("lines_left_out", kind.dropped_lines))
        kind.dropped_lines = 0
        return Log(action.message, action.level, fields)
