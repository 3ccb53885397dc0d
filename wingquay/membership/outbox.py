"""Collects the actions that the parts of the membership machine produce for one event."""

from ..ports.machine import Action, Count, Log, LogLevel


class Outbox:
    """The actions of one event, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def log(self, message: str, *fields: tuple[str, str | int | float]) -> None:
        """Add a log line."""
        self._actions.append(Log(message, LogLevel.INFO, fields))

    def count(self, name: str) -> None:
        """Increment a counter."""
        self._actions.append(Count(name))

    def drain(self) -> list[Action]:
        """Return and remove the collected actions."""
        actions, self._actions = self._actions, []
        return actions
