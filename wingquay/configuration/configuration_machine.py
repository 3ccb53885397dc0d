"""The configuration machine: keeps the highest confirmed revision in force on its node."""

from random import Random
from typing import ClassVar

from ..model.identifiers import Revision
from ..model.mechanisms import Mechanism
from ..ports.internal import (
    LeavingStarted,
    LoadObserved,
    MembershipChanged,
    NewerRevisionReported,
)
from ..ports.machine import Action, Event, Start, StopRequested
from ..ports.operator import OperatorRequest
from ..ports.peer import (
    ConfigurationBody,
    ConfigurationFetch,
    NodeIdentity,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
)
from ..ports.store import StoreResponse, WatchBroken, WatchChanged
from .configuration_finder import ConfigurationFinder
from .current_key import CurrentKey
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .node_view import NodeView
from .operator_requests import OperatorRequests
from .script import ScriptRunner, ScriptTimer
from .spread import Spread
from .watcher import Watcher


class ConfigurationMachine:
    """Handles everything about the operators' configuration on one node.

    Parameters
    ----------
    identity
        The node itself.
    random
        Seeded source; of the plan ids too, so seed it well in production.
    disabled
        Mechanisms that are taken out, for tests only.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        Start,
        StoreResponse,
        ScriptTimer,
        OperatorRequest,
        WatchChanged,
        WatchBroken,
        PeerLinkBroken,
        NewerRevisionReported,
        MembershipChanged,
        LoadObserved,
        StopRequested,
        LeavingStarted,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        ConfigurationFetch,
        ConfigurationBody,
    )

    def __init__(
        self,
        identity: NodeIdentity,
        random: Random,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._view = NodeView(identity, random, disabled)
        self._runner = ScriptRunner("configuration")
        self._in_force = InForceConfiguration(self._view)
        self._spread = Spread(self._view)
        self._current_key = CurrentKey()
        self._dissemination = Dissemination(self._view, self._runner, self._in_force, self._spread)
        self._finder = ConfigurationFinder(
            self._view, self._in_force, self._dissemination, self._current_key
        )
        self._watcher = Watcher(
            self._view, self._runner, self._in_force, self._dissemination, self._current_key
        )
        self._operator_requests = OperatorRequests(
            self._view,
            self._runner,
            self._in_force,
            self._spread,
            self._dissemination,
            self._current_key,
            self._watcher,
        )

    @property
    def revision(self) -> Revision:
        """The revision in force on this node; 0 if there is none yet."""
        return self._in_force.revision

    @property
    def holds_watcher_assignment(self) -> bool:
        """Whether this node believes to hold one of its zone's watcher assignments."""
        return self._watcher.holds_assignment

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in ``event``; events that do not concern the configuration change nothing."""
        match event:
            case StoreResponse() | ScriptTimer():
                return self._runner.handle(event, now)
            case PeerReceived():
                return self._handle_message(event, now)
            case OperatorRequest():
                return self._operator_requests.handle(event, now)
            case WatchChanged():
                return self._watcher.watch_changed(event, now)
            case WatchBroken():
                return self._watcher.watch_broken(event, now)
            case PeerLinkBroken():
                return self._dissemination.link_broken(event.node_id, now)
            case NewerRevisionReported():
                return self._dissemination.heard(event.sender, event.revision, now)
        return self._handle_node_event(event, now)

    def _handle_message(self, event: PeerReceived, now: float) -> list[Action]:
        match event.message:
            case ConfigurationFetch():
                return self._dissemination.fetch_requested(event.sender, event.message, now)
            case ConfigurationBody():
                return self._dissemination.body_received(event.sender, event.message, now)
        return []

    def _handle_node_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case Start():
                return [
                    *self._runner.start(self._finder.look(), now),
                    *self._dissemination.start(now),
                    *self._watcher.start(now),
                ]
            case MembershipChanged():
                self._view.take(event)
                self._spread.forget_missing()
            case LoadObserved():
                self._view.load = event
            case StopRequested() | LeavingStarted():
                self._view.leaving = True
                return self._watcher.give_up(now)
        return []
