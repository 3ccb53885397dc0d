"""All decision logic of one node as a single state machine.

Events are routed by type to the machines that handle them. Notifications between machines and
messages of a node to itself are handled immediately. Both the asyncio runtime and the simulator
drive this class.
"""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import ClassVar, Protocol

from ..admission.owner_machine import OwnerMachine
from ..claims.machine import ClaimsMachine
from ..configuration.configuration_machine import ConfigurationMachine
from ..membership.membership_machine import MembershipMachine
from ..membership.settings import SeedAddress
from ..model.identifiers import NodeId, Revision
from ..ports.internal import Notify
from ..ports.machine import Action, Event
from ..ports.peer import NodeIdentity, PeerMessage, PeerReceived, SendToPeer
from ..query.coordinator import Coordinator
from ..query.owner_selector import OwnerSelector
from .caller_access import CallerAccess
from .load_machine import LoadMachine
from .settings import NodeMachineSettings
from .stop_machine import StopMachine

SEED_BITS = 64


class SubscribedMachine(Protocol):
    """A machine that declares the events and peer messages it handles."""

    EVENTS: ClassVar[tuple[type[Event], ...]]
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event."""
        ...


class NodeMachine:
    """The machines of one node and the events and messages that each of them handles.

    Parameters
    ----------
    identity
        Identity of this node.
    seeds
        Addresses of peers that are contacted at the start.
    listeners
        Further machines, which handle events after all others.
    random_source
        Creates a separate source for each machine, so that their random values are independent.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        settings: NodeMachineSettings,
        random_source: random.Random,
        seeds: Iterable[SeedAddress] = (),
        listeners: Iterable[SubscribedMachine] = (),
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._owner = OwnerMachine(
            identity,
            settings.routing,
            settings.admission,
            _child_source(random_source),
            settings.disabled,
        )
        owner_selector = OwnerSelector(
            identity, settings.routing.owners_per_shard, _child_source(random_source)
        )
        self._coordinator = Coordinator(identity, settings.query, owner_selector, settings.disabled)
        self._configuration = ConfigurationMachine(
            identity, _child_source(random_source), settings.disabled
        )
        membership = MembershipMachine(
            identity,
            seeds,
            settings.membership,
            settings.replica_evidence,
            _child_source(random_source),
        )
        claims_settings = replace(settings.claims, disabled=settings.disabled)
        self._claims = ClaimsMachine(claims_settings, identity, _child_source(random_source))
        self._stop = StopMachine(
            settings.stop, self.in_flight, self.assignments_to_hand_over, settings.disabled
        )
        machines: list[SubscribedMachine] = [
            membership,
            self._configuration,
            self._claims,
            self._coordinator,
            self._owner,
            self._stop,
            LoadMachine(self._coordinator, self._owner),
            CallerAccess(),
            *listeners,
        ]
        self._by_event: dict[type[Event], list[SubscribedMachine]] = {}
        self._by_message: dict[type[PeerMessage], list[SubscribedMachine]] = {}
        for machine in machines:
            self._subscribe(machine)

    def _subscribe(self, machine: SubscribedMachine) -> None:
        for event_type in machine.EVENTS:
            self._by_event.setdefault(event_type, []).append(machine)
        for message_type in machine.PEER_MESSAGES:
            self._by_message.setdefault(message_type, []).append(machine)

    @property
    def identity(self) -> NodeIdentity:
        """The identity of this node."""
        return self._identity

    @property
    def node_id(self) -> NodeId:
        """The id of this node."""
        return self._identity.node_id

    @property
    def revision(self) -> Revision:
        """The configuration revision in force here; 0 if there is none yet."""
        return self._configuration.revision

    def in_flight(self) -> int:
        """Return the number of open requests and sub-requests."""
        return self._coordinator.in_flight + self._owner.in_flight

    def assignments_to_hand_over(self) -> int:
        """Return the number of assignments whose claims no other node has taken over yet."""
        return self._claims.assignments_to_hand_over

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle ``event`` at ``now``; return the actions for the environment, in order."""
        external: list[Action] = []
        pending: deque[Event] = deque((event,))
        while pending:
            current = pending.popleft()
            for machine in self._machines_for(current):
                for action in machine.handle(current, now):
                    self._dispatch(action, pending, external)
        return external

    def _machines_for(self, event: Event) -> list[SubscribedMachine]:
        if isinstance(event, PeerReceived):
            return self._by_message.get(type(event.message), [])
        return self._by_event.get(type(event), [])

    def _dispatch(self, action: Action, pending: deque[Event], external: list[Action]) -> None:
        if isinstance(action, Notify):
            pending.append(action.event)
        elif isinstance(action, SendToPeer) and action.to.node_id == self._identity.node_id:
            pending.append(PeerReceived(self._identity, action.message))
        else:
            external.append(action)


def _child_source(random_source: random.Random) -> random.Random:
    return random.Random(random_source.getrandbits(SEED_BITS))
