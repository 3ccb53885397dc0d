"""The machine of a node's role as owner: routes events to the dispatcher and the prober."""

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
from .dispatcher_events import (
    HeartbeatDue,
    HedgeDue,
    ProbeDue,
    WorkExpired,
)
from .health_prober import HealthProber
from .lane_table import LaneTable
from .settings import AdmissionSettings
from .shard_lane import ShardLane


class OwnerMachine:
    """Owns shards: see ``Dispatcher`` and ``HealthProber``."""

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
        self._lanes = LaneTable(routing, Mechanism.CLASS_ORDER not in disabled)
        self._owned: list[ShardLane] | None = None
        self._heartbeat_scheduled = False
        choice = ReplicaChoice(
            identity.zone,
            random_source,
            load_aware=Mechanism.LOAD_AWARE_CHOICE not in disabled,
            slow_start=Mechanism.SLOW_START not in disabled,
            ejection=Mechanism.OUTLIER_EJECTION not in disabled,
        )
        self._dispatcher = Dispatcher(identity.node_id, admission, self._lanes, choice, disabled)
        self._prober = HealthProber(identity.node_id, routing, self._lanes)

    @property
    def in_flight(self) -> int:
        """Sub-requests that wait or run here."""
        return self._dispatcher.in_flight

    def service_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the share in use of the slots that this owner queues for, by service."""
        slots: dict[ServiceName, int] = {}
        in_flight: dict[ServiceName, int] = {}
        for lane in self._owned_lanes():
            name = lane.service.name
            for tracker in lane.tracker_list:
                slots[name] = slots.get(name, 0) + tracker.replica.slots
                in_flight[name] = in_flight.get(name, 0) + tracker.in_flight
        return tuple(ServiceLoad(name, in_flight[name] / slots[name]) for name in sorted(in_flight))

    def _owned_lanes(self) -> list[ShardLane]:
        """Return the lanes of the shards that this node owns; found anew after a change."""
        if self._owned is None:
            self._owned = [lane for lane in self._lanes if self._owns(lane)]
        return self._owned

    def _owns(self, lane: ShardLane) -> bool:
        if lane.service.deployment != self._identity.deployment:
            return False
        owners = self._owners.owners_of(lane.shard.shard_id)
        return any(node.node_id == self._identity.node_id for node in owners)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event."""
        match event:
            case AttemptFinished():
                # Reports first: the result that leaves says which versions replicas hold.
                actions = self._prober.on_attempt_finished(event, now)
                return actions + self._dispatcher.on_attempt_finished(event, now)
            case PeerReceived():
                return self._on_peer(event, now)
            case HedgeDue():
                return self._dispatcher.on_hedge_due(event, now)
            case WorkExpired():
                return self._dispatcher.on_work_expired(event, now)
            case _:
                return self._on_rare(event, now)

    def _on_peer(self, event: PeerReceived, now: float) -> list[Action]:
        if isinstance(event.message, SubRequestBatch):
            actions = self._dispatcher.on_batch(event.message, event.sender, now)
            return actions + self._schedule_heartbeat(event.sender, now)
        if isinstance(event.message, CancelSubRequests):
            return self._dispatcher.on_cancel(event.message, now)
        return []

    def _on_rare(self, event: Event, now: float) -> list[Action]:
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
                self._dispatcher.is_leaving = True
            case ReplicaStateChanged() if Mechanism.REPLICA_LEAVING not in self._disabled:
                self._prober.on_belief(event)
                return self._dispatcher.on_replica_changed(event.replica_id, now)
            case ReplicaProbed():
                actions = self._prober.on_probed(event, now)
                return actions + self._dispatcher.on_replica_changed(event.replica_id, now)
            case ProbeDue():
                due = Schedule(now + self._routing.health_interval_seconds, ProbeDue())
                return [due, *self._prober.probe_owned(self._owned_lanes())]
            case HeartbeatDue():
                return self._on_heartbeat_due(now)
        return []

    def _on_configuration(self, configuration: Configuration, now: float) -> list[Action]:
        actions: list[Action] = []
        for lane in self._lanes.apply(configuration):
            actions += self._dispatcher.on_lane_gone(lane, now)
        self._owned = None
        return actions + self._prober.probe_owned(self._owned_lanes())

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
        silent = requesters.silent_since(now - interval, now)
        actions: list[Action] = [Schedule(now + interval, HeartbeatDue())]
        for identity in silent:
            if identity.node_id != self._identity.node_id:
                actions.append(SendToPeer(identity, SubResultBatch(())))
        return actions
