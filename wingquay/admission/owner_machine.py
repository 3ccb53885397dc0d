"""State machine of a node's owner role."""

import random
from typing import ClassVar

from ..model.configuration import Configuration
from ..model.identifiers import ServiceName
from ..model.mechanisms import Mechanism
from ..ports.backend import AttemptFinished, ReplicaProbed
from ..ports.internal import (
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
    ReplicaStateChanged,
    ServiceLoad,
)
from ..ports.machine import Action, Event, Schedule, Start
from ..ports.peer import (
    CancelSubRequests,
    NodeIdentity,
    PeerMessage,
    PeerReceived,
    SendToPeer,
    SubRequestBatch,
    SubResultBatch,
)
from ..routing.ownership import OwnerTable
from ..routing.replica_choice import ReplicaChoice
from ..routing.settings import RoutingSettings
from .dispatcher import Dispatcher
from .owner_events import (
    HeartbeatDue,
    HedgeDue,
    ProbeDue,
    WorkExpired,
)
from .replica_observer import ReplicaObserver
from .settings import AdmissionSettings
from .shard_state import ShardState
from .shard_table import ShardTable


class OwnerMachine:
    """Passes the events of a shard owner to its dispatcher and its replica observer.

    Also sends heartbeats to the nodes that wait for results.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        Start,
        ConfigurationInForce,
        MembershipChanged,
        LeavingStarted,
        ReplicaStateChanged,
        AttemptFinished,
        ReplicaProbed,
        HedgeDue,
        WorkExpired,
        ProbeDue,
        HeartbeatDue,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        SubRequestBatch,
        CancelSubRequests,
    )

    def __init__(
        self,
        identity: NodeIdentity,
        routing: RoutingSettings,
        admission: AdmissionSettings,
        random_source: random.Random,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._identity = identity
        self._routing = routing
        self._admission = admission
        self._random = random_source
        self._disabled = disabled
        self._owners = OwnerTable(routing.owners_per_shard)
        self._shards = ShardTable(routing, Mechanism.CLASS_ORDER not in disabled)
        self._owned: list[ShardState] | None = None
        self._heartbeat_scheduled = False
        choice = ReplicaChoice(
            identity.zone,
            random_source,
            load_aware=Mechanism.LOAD_AWARE_CHOICE not in disabled,
            slow_start=Mechanism.SLOW_START not in disabled,
            ejection=Mechanism.OUTLIER_EJECTION not in disabled,
        )
        self._dispatcher = Dispatcher(identity.node_id, admission, self._shards, choice, disabled)
        self._replica_observer = ReplicaObserver(identity.node_id, routing, self._shards)

    @property
    def in_flight(self) -> int:
        """Number of sub-requests that are queued or running."""
        return self._dispatcher.in_flight

    def service_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the share of slots in use by this owner, by service."""
        slots: dict[ServiceName, int] = {}
        in_flight: dict[ServiceName, int] = {}
        for shard_state in self._owned_shards():
            name = shard_state.service.name
            for tracker in shard_state.tracker_list:
                slots[name] = slots.get(name, 0) + tracker.replica.slots
                in_flight[name] = in_flight.get(name, 0) + tracker.in_flight
        return tuple(ServiceLoad(name, in_flight[name] / slots[name]) for name in sorted(in_flight))

    def _owned_shards(self) -> list[ShardState]:
        """Return the shards this node owns; cached until configuration or membership changes."""
        if self._owned is None:
            self._owned = [shard_state for shard_state in self._shards if self._owns(shard_state)]
        return self._owned

    def _owns(self, shard_state: ShardState) -> bool:
        if shard_state.service.deployment != self._identity.deployment:
            return False
        owners = self._owners.owners_of(shard_state.shard.shard_id)
        return any(node.node_id == self._identity.node_id for node in owners)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions."""
        match event:
            case AttemptFinished():
                # Update the held versions first: the dispatcher sends them with the result.
                actions = self._replica_observer.on_attempt_finished(event, now)
                return actions + self._dispatcher.on_attempt_finished(event, now)
            case PeerReceived():
                return self._on_peer(event, now)
            case HedgeDue():
                return self._dispatcher.on_hedge_due(event, now)
            case WorkExpired():
                return self._dispatcher.on_work_expired(event, now)
            case _:
                return self._handle_rare_event(event, now)

    def _on_peer(self, event: PeerReceived, now: float) -> list[Action]:
        if isinstance(event.message, SubRequestBatch):
            actions = self._dispatcher.on_batch(event.message, event.sender, now)
            return actions + self._schedule_heartbeat(event.sender, now)
        if isinstance(event.message, CancelSubRequests):
            return self._dispatcher.on_cancel(event.message, now)
        return []

    def _handle_rare_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case Start():
                phase = self._random.random() * self._routing.health_interval_seconds
                return [Schedule(now + phase, ProbeDue())]
            case ConfigurationInForce():
                return self._on_configuration(event.configuration, now)
            case MembershipChanged():
                deployment = self._identity.deployment
                own = [node for node in event.available if node.deployment == deployment]
                self._owners.set_nodes(own)
                self._owned = None
            case LeavingStarted():
                self._dispatcher.is_stopping = True
            case ReplicaStateChanged() if Mechanism.REPLICA_LEAVING not in self._disabled:
                self._replica_observer.on_replica_state_changed(event)
                return self._dispatcher.on_replica_changed(event.replica_id, now)
            case ReplicaProbed():
                actions = self._replica_observer.on_probed(event, now)
                return actions + self._dispatcher.on_replica_changed(event.replica_id, now)
            case ProbeDue():
                due = Schedule(now + self._routing.health_interval_seconds, ProbeDue())
                return [due, *self._replica_observer.probe_owned(self._owned_shards())]
            case HeartbeatDue():
                return self._on_heartbeat_due(now)
        return []

    def _on_configuration(self, configuration: Configuration, now: float) -> list[Action]:
        actions: list[Action] = []
        for shard_state in self._shards.apply(configuration):
            actions += self._dispatcher.on_shard_removed(shard_state, now)
        self._owned = None
        return actions + self._replica_observer.probe_owned(self._owned_shards())

    def _schedule_heartbeat(self, sender: NodeIdentity, now: float) -> list[Action]:
        if self._heartbeat_scheduled or sender.node_id == self._identity.node_id:
            return []
        self._heartbeat_scheduled = True
        return [Schedule(now + self._admission.owner_heartbeat_seconds, HeartbeatDue())]

    def _on_heartbeat_due(self, now: float) -> list[Action]:
        requesters = self._dispatcher.requesters
        if not requesters:
            self._heartbeat_scheduled = False
            return []
        interval = self._admission.owner_heartbeat_seconds
        due_nodes = requesters.take_unsent_since(now - interval, now)
        actions: list[Action] = [Schedule(now + interval, HeartbeatDue())]
        for identity in due_nodes:
            if identity.node_id != self._identity.node_id:
                actions.append(SendToPeer(identity, SubResultBatch(())))
        return actions
