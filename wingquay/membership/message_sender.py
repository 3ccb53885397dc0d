"""Builds membership messages and adds gossip to them."""

import random

from ..model.identifiers import NodeId, Revision
from ..ports.peer import (
    Acknowledgement,
    Gossip,
    NodeIdentity,
    NodeState,
    NodeUpdate,
    PeerMessage,
    Ping,
    PingRequest,
    ReplicaUpdate,
    SendToPeer,
)
from .gossip_queue import GossipQueue, estimated_bytes
from .member_table import MemberTable
from .outbox import Outbox
from .settings import MembershipSettings

NO_ACK_SEQUENCE = 0
"""Sequence number of a ping that only carries gossip and must not be acknowledged."""


class MessageSender:
    """Sends membership messages.

    Attributes
    ----------
    revision
        Revision of the configuration in force at this node; included in every message.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        queue: GossipQueue,
        outbox: Outbox,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._table = table
        self._queue = queue
        self._outbox = outbox
        self._random = random_source
        self.revision = Revision(0)

    def send(self, to: NodeIdentity, message: PeerMessage) -> None:
        """Send any message."""
        self._outbox.add(SendToPeer(to, message))

    def ping(self, to: NodeIdentity, sequence: int, first: NodeUpdate | None = None) -> None:
        """Probe a node, or only send it gossip if ``sequence`` is ``NO_ACK_SEQUENCE``.

        ``first`` is an update that precedes all others.
        """
        self.send(to, Ping(sequence, self._gossip_for(to.node_id, first)))

    def acknowledge(self, to: NodeIdentity, sequence: int, subject: NodeId) -> None:
        """Acknowledge a probe of ``subject``."""
        self.send(to, Acknowledgement(sequence, subject, self._gossip_for(to.node_id)))

    def request_probe(self, relay: NodeIdentity, sequence: int, subject: NodeIdentity) -> None:
        """Request ``relay`` to probe ``subject``."""
        self.send(relay, PingRequest(sequence, subject, self._gossip_for(relay.node_id)))

    def push(self, fanout: int) -> None:
        """Send queued gossip to ``fanout`` random nodes."""
        not_dead = self._table.not_dead()
        for member in self._random.sample(not_dead, min(fanout, len(not_dead))):
            self.ping(member.identity, NO_ACK_SEQUENCE)

    def request_refutation(self, update: NodeUpdate) -> None:
        """Send a node the update about itself, so that it can refute it."""
        self.ping(update.identity, NO_ACK_SEQUENCE, first=update)

    def _gossip_for(self, receiver: NodeId, first: NodeUpdate | None = None) -> Gossip:
        budget = self._settings.gossip_maximum_bytes
        node_updates: list[NodeUpdate] = []
        replica_updates: list[ReplicaUpdate] = []
        about_receiver = first or self._suspicion_of(receiver)
        if about_receiver is not None:
            node_updates.append(about_receiver)
            budget -= estimated_bytes(about_receiver)
        for update in self._queue.take(budget, self._table.node_count):
            if isinstance(update, ReplicaUpdate):
                replica_updates.append(update)
            else:
                node_updates.append(update)
        return Gossip(self.revision, tuple(node_updates), tuple(replica_updates))

    def _suspicion_of(self, receiver: NodeId) -> NodeUpdate | None:
        """Return an update if the receiver is suspect or dead here, so that it can refute at once.

        Source: Lifeguard.
        """
        member = self._table.get(receiver)
        if member is None or member.state in (NodeState.ALIVE, NodeState.LEAVING):
            return None
        return member.as_update()
