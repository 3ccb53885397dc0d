"""The membership machine: detects which nodes and replicas exist and in which state they are.

It implements SWIM with suspicion, incarnations and the Lifeguard extensions. Gossip is piggybacked
on its messages, and whole node lists are fetched at long intervals. See docs/design/membership.md.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar

from ..model.failure import Failure
from ..ports.internal import (
    ConfigurationInForce,
    LeavingStarted,
    Notify,
    ReplicaObserved,
)
from ..ports.machine import Action, Event, Schedule, Start
from ..ports.machine_directory import MachineListRead, MachineState, ReadMachineList
from ..ports.peer import (
    Acknowledgement,
    Gossip,
    MembershipMessage,
    NodeIdentity,
    NodeList,
    NodeListRequest,
    PeerLinkBroken,
    PeerMessage,
    PeerReceived,
    Ping,
    PingRequest,
)
from .contacts import ContactCandidates
from .gossip_queue import GossipQueue
from .member_table import MemberTable
from .message_sender import MessageSender
from .node_lists import NodeLists
from .node_state_tracker import NodeStateTracker
from .outbox import Outbox
from .prober import Prober
from .probing import ProbeOrder
from .replica_evidence import ReplicaEvidenceSettings
from .replica_table import ReplicaChanges, ReplicaTable
from .revision_spreader import RevisionSpreader
from .settings import MembershipSettings, SeedAddress

MAX_JOIN_CONTACTS = 3
"""Maximum number of addresses that a node without any known peer contacts at once."""

MAX_REFUTATION_REQUESTS_PER_TICK = 8
"""Maximum number of nodes per tick that are sent the update about themselves."""

LEAVING_FANOUT = 6
"""Number of nodes that are notified at once that this node is leaving."""

FORGET_INTERVAL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class MembershipTick(Event):
    """The periodic timer of the membership machine has expired."""


class MembershipMachine:
    """Detects which nodes and replicas exist, and notifies the other machines of this node.

    Parameters
    ----------
    identity
        This node.
    seeds
        Addresses that are contacted at the start; this node's own is ignored.
    random_source
        Source of every random choice.
    """

    EVENTS: ClassVar[tuple[type[Event], ...]] = (
        Start,
        MembershipTick,
        PeerLinkBroken,
        MachineListRead,
        LeavingStarted,
        ConfigurationInForce,
        ReplicaObserved,
    )
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        Ping,
        Acknowledgement,
        PingRequest,
        NodeListRequest,
        NodeList,
    )

    def __init__(
        self,
        identity: NodeIdentity,
        seeds: Iterable[SeedAddress],
        settings: MembershipSettings,
        replica_settings: ReplicaEvidenceSettings,
        random_source: random.Random,
    ) -> None:
        self._own_id = identity.node_id
        self._settings = settings
        self._random = random_source
        self._outbox = Outbox()
        self._table = MemberTable()
        self._queue = GossipQueue(settings.retransmission_factor)
        self._replicas = ReplicaTable(replica_settings)
        own_address = SeedAddress(identity.host, identity.port)
        self._contacts = ContactCandidates(own_address, seeds, self._table, random_source)
        order = ProbeOrder(self._table, random_source)
        self._order = order
        self._messages = MessageSender(
            settings, self._table, self._queue, self._outbox, random_source
        )
        self._tracker = NodeStateTracker(
            identity, settings, self._table, self._queue, order, self._outbox, random_source
        )
        self._prober = Prober(
            identity.node_id,
            settings,
            self._table,
            order,
            self._tracker,
            self._messages,
            random_source,
        )
        self._lists = NodeLists(
            settings, self._table, self._tracker, self._replicas, self._messages, random_source
        )
        self._revisions = RevisionSpreader(settings, self._messages, self._outbox)
        self._last_event_at: float | None = None
        self._next_contact_at = float("-inf")
        self._next_machine_list_at = float("-inf")
        self._next_forget_at = float("-inf")

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event at time ``now`` (seconds)."""
        self._detect_pause(now)
        match event:
            case MembershipTick():
                self._on_tick(now)
            case PeerReceived():
                self._on_peer(event, now)
            case ReplicaObserved():
                self._apply_changes(self._replicas.observe(event, now))
            case _:
                self._handle_infrequent(event, now)
        return self._outbox.drain()

    def _handle_infrequent(self, event: Event, now: float) -> None:
        match event:
            case Start():
                self._on_start(now)
            case PeerLinkBroken():
                self._order.prefer(event.node_id)
            case MachineListRead():
                self._on_machine_list(event, now)
            case LeavingStarted():
                self._tracker.leave()
                self._messages.push(LEAVING_FANOUT)
                self._notify_membership_changed()
            case ConfigurationInForce():
                self._apply_changes(self._replicas.configure(event.configuration))
                self._revisions.set_revision(event.configuration.revision, self._push_rounds())

    def _on_start(self, now: float) -> None:
        self._tracker.announce()
        self._notify_membership_changed()
        phase_seconds = self._random.random() * self._settings.tick_seconds
        self._outbox.add(Schedule(now + phase_seconds, MembershipTick()))

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this node, so that it does not count against other nodes."""
        last_event_at, self._last_event_at = self._last_event_at, now
        if last_event_at is None:
            return
        pause_seconds = now - last_event_at
        if pause_seconds < self._settings.pause_threshold_seconds:
            return
        self._outbox.count("membership_pauses_total")
        self._tracker.health.worsen()
        self._tracker.postpone_suspicions(pause_seconds)
        self._prober.cancel()
        if pause_seconds >= self._settings.refute_pause_seconds:
            self._tracker.refute_preemptively()

    def _on_tick(self, now: float) -> None:
        self._outbox.add(Schedule(now + self._settings.tick_seconds, MembershipTick()))
        self._prober.tick(now)
        self._tracker.expire_suspicions(now)
        self._apply_changes(self._replicas.tick(now))
        self._send_refutation_requests()
        is_revision_due = self._revisions.take_push_round()
        if self._queue.has_urgent or is_revision_due:
            self._messages.push(self._settings.gossip_fanout)
        self._lists.tick(now)
        self._try_contacts(now)
        self._read_machine_list(now)
        self._forget_dead(now)
        self._notify_membership_changed()

    def _on_peer(self, event: PeerReceived, now: float) -> None:
        sender, message = event.sender, event.message
        if sender.node_id == self._own_id:
            return
        self._tracker.record_message_from(sender, now)
        match message:
            case Ping():
                self._apply_gossip(message, message.gossip, sender, now)
                self._prober.on_ping(sender, message)
            case Acknowledgement():
                self._apply_gossip(message, message.gossip, sender, now)
                self._prober.on_acknowledgement(sender, message, now)
            case PingRequest():
                self._apply_gossip(message, message.gossip, sender, now)
                self._prober.on_ping_request(sender, message, now)
            case NodeListRequest():
                self._lists.answer(sender)
            case NodeList():
                self._revisions.handle_revision(sender, message.gossip.configuration_revision, now)
                self._lists.apply(message.gossip, now)
                self._apply_replica_updates(message.gossip, now)
        self._lists.message_received(sender, now)

    def _apply_gossip(
        self, message: MembershipMessage, gossip: Gossip, sender: NodeIdentity, now: float
    ) -> None:
        for update in gossip.node_updates:
            self._tracker.apply_gossip(update, now)
        self._apply_replica_updates(gossip, now)
        self._revisions.handle_revision(sender, gossip.configuration_revision, now)
        if isinstance(message, Ping):
            self._revisions.answer_outdated(sender, message)

    def _apply_replica_updates(self, gossip: Gossip, now: float) -> None:
        for update in gossip.replica_updates:
            changes = self._replicas.apply_gossip(update, now)
            if changes is not None:
                self._apply_changes(changes)

    def _apply_changes(self, changes: ReplicaChanges) -> None:
        for state_change in changes.state_changes:
            self._outbox.add(Notify(state_change))
        for update in changes.urgent_updates:
            self._queue.put(update)
        for update in changes.other_updates:
            self._queue.put(update, urgent=False)

    def _on_machine_list(self, event: MachineListRead, now: float) -> None:
        if isinstance(event.result, Failure):
            return
        self._apply_changes(self._replicas.apply_machine_list(event.result, now))
        self._contacts.set_machine_list_addresses(
            SeedAddress(entry.host, entry.port)
            for entry in event.result
            if entry.state is MachineState.LIVE
            and not self._replicas.is_replica_address(entry.host, entry.port)
        )

    def _send_refutation_requests(self) -> None:
        for node_id in list(self._tracker.pending_refutation_requests)[
            :MAX_REFUTATION_REQUESTS_PER_TICK
        ]:
            self._messages.request_refutation(
                self._tracker.pending_refutation_requests.pop(node_id)
            )

    def _try_contacts(self, now: float) -> None:
        if now < self._next_contact_at:
            return
        is_alone = self._table.node_count == 1
        count = MAX_JOIN_CONTACTS if is_alone else 1
        interval = self._settings.join_seconds if is_alone else self._settings.contact_seconds
        self._next_contact_at = now + interval * self._jitter()
        for identity in self._contacts.choose(count):
            self._messages.ping(identity, self._prober.next_sequence())

    def _read_machine_list(self, now: float) -> None:
        if now < self._next_machine_list_at:
            return
        per_node_seconds = self._settings.machine_list_seconds_per_node
        interval = max(
            self._settings.machine_list_seconds, per_node_seconds * self._table.node_count
        )
        self._next_machine_list_at = now + interval * self._jitter()
        self._outbox.add(ReadMachineList())

    def _forget_dead(self, now: float) -> None:
        if now >= self._next_forget_at:
            self._next_forget_at = now + FORGET_INTERVAL_SECONDS
            self._table.forget_dead_before(now - self._settings.forget_dead_seconds)

    def _notify_membership_changed(self) -> None:
        if self._tracker.is_changed:
            self._tracker.is_changed = False
            self._outbox.add(Notify(self._tracker.current_membership()))

    def _push_rounds(self) -> int:
        transmissions = self._queue.transmissions(self._table.node_count)
        return -(-transmissions // self._settings.gossip_fanout)  # rounded up

    def _jitter(self) -> float:
        return self._random.uniform(0.75, 1.25)
