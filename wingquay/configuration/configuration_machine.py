"""The state machine that keeps the newest confirmed configuration in force on a node."""

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
from .current_document import CurrentDocumentReader
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .node_view import NodeView
from .operator_requests import OperatorRequests
from .revision_tracker import RevisionTracker
from .script import ScriptRunner, ScriptTimer
from .watcher import Watcher


class ConfigurationMachine:
    """Handles the events that concern the operators' configuration on one node.

    It obtains the configuration at start, receives new revisions from peers and from the store's
    watch, and carries out operators' commands.

    Parameters
    ----------
    identity
        Identity of this node.
    random
        Random number generator. Plan ids are drawn from it too, so its seed must be
        unpredictable in production.
    disabled
        Mechanisms that are switched off, for tests only.
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
        self._revision_tracker = RevisionTracker(self._view)
        self._document_reader = CurrentDocumentReader()
        self._dissemination = Dissemination(
            self._view, self._runner, self._in_force, self._revision_tracker
        )
        self._finder = ConfigurationFinder(
            self._view, self._in_force, self._dissemination, self._document_reader
        )
        self._watcher = Watcher(
            self._view, self._runner, self._in_force, self._dissemination, self._document_reader
        )
        self._operator_requests = OperatorRequests(
            self._view,
            self._runner,
            self._in_force,
            self._revision_tracker,
            self._dissemination,
            self._document_reader,
            self._watcher,
        )

    @property
    def revision(self) -> Revision:
        """The revision in force on this node; 0 if there is none yet."""
        return self._in_force.revision

    @property
    def holds_watcher_assignment(self) -> bool:
        """Whether this node holds one of its zone's watcher assignments, as far as it can tell."""
        return self._watcher.holds_assignment

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle ``event`` and return the resulting actions; unrelated events are ignored."""
        match event:
            case StoreResponse() | ScriptTimer():
                return self._runner.handle(event, now)
            case PeerReceived():
                return self._handle_message(event, now)
            case OperatorRequest():
                return self._operator_requests.handle(event, now)
            case WatchChanged():
                return self._watcher.handle_watch_changed(event, now)
            case WatchBroken():
                return self._watcher.handle_watch_broken(event, now)
            case PeerLinkBroken():
                return self._dissemination.handle_link_broken(event.node_id, now)
            case NewerRevisionReported():
                return self._dissemination.handle_revision(event.sender, event.revision, now)
        return self._handle_node_event(event, now)

    def _handle_message(self, event: PeerReceived, now: float) -> list[Action]:
        match event.message:
            case ConfigurationFetch():
                return self._dissemination.handle_fetch(event.sender, event.message, now)
            case ConfigurationBody():
                return self._dissemination.handle_body(event.sender, event.message, now)
        return []

    def _handle_node_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case Start():
                return [
                    *self._runner.start(self._finder.run(), now),
                    *self._dissemination.start(now),
                    *self._watcher.start(now),
                ]
            case MembershipChanged():
                self._view.update(event)
                self._revision_tracker.remove_departed()
            case LoadObserved():
                self._view.load = event
            case StopRequested() | LeavingStarted():
                self._view.is_stopping = True
                return self._watcher.release_assignment(now)
        return []
