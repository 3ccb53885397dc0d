"""The membership machine: which nodes and replicas there are.

SWIM with suspicion, incarnations and the additions of Lifeguard, gossip that rides on its
messages, and node lists fetched at long intervals. See docs/design/membership.md.
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
from .contacts import Contacts
from .gossip_queue import GossipQueue
from .member_table import MemberTable
from .message_sender import MessageSender
from .node_beliefs import NodeBeliefs
from .node_lists import NodeLists
from .outbox import Outbox
from .prober import Prober
from .probing import ProbeOrder
from .replica_evidence import ReplicaEvidenceSettings
from .replica_table import ReplicaNews, ReplicaTable
from .revision_spreader import RevisionSpreader
from .settings import MembershipSettings, SeedAddress

JOIN_CONTACTS = 3
"""Addresses that a node without any other tries at once."""

TELLS_PER_TICK = 8
"""Nodes that are told in one tick what is said of them."""

LEAVING_FANOUT = 6
"""Nodes that are told at once that this node is leaving."""

FORGET_INTERVAL_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class MembershipTick(Event):
    """It is time to look at the timers."""


class MembershipMachine:
    """Decides which nodes and replicas there are.

    Parameters
    ----------
    identity
        This node.
    seeds
        Addresses that are asked at the start; this node's own is ignored.
    random_source
        Every random choice comes from it.
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
        self._contacts = Contacts(own_address, seeds, self._table, random_source)
        order = ProbeOrder(self._table, random_source)
        self._order = order
        self._messages = MessageSender(
            settings, self._table, self._queue, self._outbox, random_source
        )
        self._beliefs = NodeBeliefs(
            identity, settings, self._table, self._queue, order, self._outbox, random_source
        )
        self._prober = Prober(
            identity.node_id,
            settings,
            self._table,
            order,
            self._beliefs,
            self._messages,
            random_source,
        )
        self._lists = NodeLists(
            settings, self._table, self._beliefs, self._replicas, self._messages, random_source
        )
        self._revisions = RevisionSpreader(settings, self._messages, self._outbox)
        self._last_event_at: float | None = None
        self._next_contact_at = float("-inf")
        self._next_machine_list_at = float("-inf")
        self._next_forget_at = float("-inf")

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event."""
        self._notice_pause(now)
        match event:
            case MembershipTick():
                self._on_tick(now)
            case PeerReceived():
                self._on_peer(event, now)
            case ReplicaObserved():
                self._take_news(self._replicas.observe(event, now))
            case _:
                self._on_rare(event, now)
        return self._outbox.drain()

    def _on_rare(self, event: Event, now: float) -> None:
        match event:
            case Start():
                self._on_start(now)
            case PeerLinkBroken():
                self._order.prefer(event.node_id)
            case MachineListRead():
                self._on_machine_list(event, now)
            case LeavingStarted():
                self._beliefs.leave()
                self._messages.push(LEAVING_FANOUT)
                self._tell_changes()
            case ConfigurationInForce():
                self._take_news(self._replicas.configure(event.configuration))
                self._revisions.in_force(event.configuration.revision, self._push_rounds())

    def _on_start(self, now: float) -> None:
        self._beliefs.announce()
        self._tell_changes()
        phase_seconds = self._random.random() * self._settings.tick_seconds
        self._outbox.add(Schedule(now + phase_seconds, MembershipTick()))

    def _notice_pause(self, now: float) -> None:
        """Do not blame others for time in which this node itself stood still."""
        last_event_at, self._last_event_at = self._last_event_at, now
        if last_event_at is None:
            return
        pause_seconds = now - last_event_at
        if pause_seconds < self._settings.pause_threshold_seconds:
            return
        self._outbox.count("membership_pauses_total")
        self._beliefs.health.worsen()
        self._beliefs.postpone_suspicions(pause_seconds)
        self._prober.cancel()
        if pause_seconds >= self._settings.refute_pause_seconds:
            self._beliefs.refute_unheard()

    def _on_tick(self, now: float) -> None:
        self._outbox.add(Schedule(now + self._settings.tick_seconds, MembershipTick()))
        self._prober.tick(now)
        self._beliefs.expire_suspicions(now)
        self._take_news(self._replicas.tick(now))
        self._tell_subjects()
        is_revision_due = self._revisions.take_push_round()
        if self._queue.has_urgent or is_revision_due:
            self._messages.push(self._settings.gossip_fanout)
        self._lists.tick(now)
        self._try_contacts(now)
        self._read_machine_list(now)
        self._forget_dead(now)
        self._tell_changes()

    def _on_peer(self, event: PeerReceived, now: float) -> None:
        sender, message = event.sender, event.message
        if sender.node_id == self._own_id:
            return
        self._beliefs.hear_from(sender, now)
        match message:
            case Ping():
                self._hear_gossip(message, message.gossip, sender, now)
                self._prober.on_ping(sender, message)
            case Acknowledgement():
                self._hear_gossip(message, message.gossip, sender, now)
                self._prober.on_acknowledgement(sender, message, now)
            case PingRequest():
                self._hear_gossip(message, message.gossip, sender, now)
                self._prober.on_ping_request(sender, message, now)
            case NodeListRequest():
                self._lists.answer(sender)
            case NodeList():
                self._revisions.hear(sender, message.gossip.configuration_revision, now)
                self._lists.take(message.gossip, now)
                self._hear_replicas(message.gossip, now)
        self._lists.heard_from(sender, now)

    def _hear_gossip(
        self, message: MembershipMessage, gossip: Gossip, sender: NodeIdentity, now: float
    ) -> None:
        for update in gossip.node_updates:
            self._beliefs.hear_gossip(update, now)
        self._hear_replicas(gossip, now)
        self._revisions.hear(sender, gossip.configuration_revision, now)
        if isinstance(message, Ping):
            self._revisions.answer_outdated(sender, message)

    def _hear_replicas(self, gossip: Gossip, now: float) -> None:
        for update in gossip.replica_updates:
            news = self._replicas.hear(update, now)
            if news is not None:
                self._take_news(news)

    def _take_news(self, news: ReplicaNews) -> None:
        for belief in news.beliefs:
            self._outbox.add(Notify(belief))
        for update in news.urgent_updates:
            self._queue.put(update)
        for update in news.other_updates:
            self._queue.put(update, urgent=False)

    def _on_machine_list(self, event: MachineListRead, now: float) -> None:
        if isinstance(event.result, Failure):
            return
        self._take_news(self._replicas.read_list(event.result, now))
        self._contacts.set_listed(
            SeedAddress(entry.host, entry.port)
            for entry in event.result
            if entry.state is MachineState.LIVE
            and not self._replicas.is_replica_address(entry.host, entry.port)
        )

    def _tell_subjects(self) -> None:
        for node_id in list(self._beliefs.to_tell)[:TELLS_PER_TICK]:
            self._messages.tell(self._beliefs.to_tell.pop(node_id))

    def _try_contacts(self, now: float) -> None:
        if now < self._next_contact_at:
            return
        is_alone = self._table.node_count == 1
        count = JOIN_CONTACTS if is_alone else 1
        pause = self._settings.join_seconds if is_alone else self._settings.contact_seconds
        self._next_contact_at = now + pause * self._jitter()
        for identity in self._contacts.choose(count):
            self._messages.ping(identity, self._prober.next_sequence())

    def _read_machine_list(self, now: float) -> None:
        if now < self._next_machine_list_at:
            return
        per_node_seconds = self._settings.machine_list_seconds_per_node
        pause = max(self._settings.machine_list_seconds, per_node_seconds * self._table.node_count)
        self._next_machine_list_at = now + pause * self._jitter()
        self._outbox.add(ReadMachineList())

    def _forget_dead(self, now: float) -> None:
        if now >= self._next_forget_at:
            self._next_forget_at = now + FORGET_INTERVAL_SECONDS
            self._table.forget_dead_before(now - self._settings.forget_dead_seconds)

    def _tell_changes(self) -> None:
        if self._beliefs.is_changed:
            self._beliefs.is_changed = False
            self._outbox.add(Notify(self._beliefs.available()))

    def _push_rounds(self) -> int:
        transmissions = self._queue.transmissions(self._table.node_count)
        return -(-transmissions // self._settings.gossip_fanout)

    def _jitter(self) -> float:
        return self._random.uniform(0.75, 1.25)
