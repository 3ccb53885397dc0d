"""Notifies the caller interface of the permitted callers when the configuration changes."""

from typing import ClassVar

from ..ports.caller import SetCallers
from ..ports.internal import ConfigurationInForce
from ..ports.machine import Action, Event
from ..ports.peer import PeerMessage


class CallerAccess:
    """Converts the callers of the configuration in force into an action."""

    EVENTS: ClassVar[tuple[type[Event], ...]] = (ConfigurationInForce,)
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event."""
        if isinstance(event, ConfigurationInForce):
            return [SetCallers(event.configuration.callers)]
        return []
