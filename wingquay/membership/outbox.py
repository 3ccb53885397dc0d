"""Where the parts of the membership machine put the actions of one event."""

from ..ports.machine import Action, Count, Log, LogLevel


class Outbox:
    """Collects the actions of one event, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Take an action."""
        self._actions.append(action)

    def log(self, message: str, *fields: tuple[str, str | int | float]) -> None:
        """Take a log line."""
        self._actions.append(Log(message, LogLevel.INFO, fields))

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._actions.append(Count(name))

    def drain(self) -> list[Action]:
        """Return what was taken since the last time."""
        actions, self._actions = self._actions, []
        return actions
