"""Applies updates about nodes, this one included, and decides what to store and spread."""

import random
from enum import Enum

from ..model.identifiers import NodeId
from ..ports.internal import MembershipChanged
from ..ports.peer import NodeIdentity, NodeState, NodeUpdate
from .gossip_queue import GossipQueue
from .local_health import LocalHealth
from .member_table import Member, MemberTable, overrides
from .outbox import Outbox
from .probing import ProbeOrder
from .settings import MembershipSettings
from .suspicion import Suspicion, new_suspicion

MIN_REFUTATION_REQUEST_INTERVAL_SECONDS = 1.0
"""Minimum time between two refutation requests to a node that is dead here."""

MIN_PARTITION_SECONDS = 10.0
"""A node that returns after it was dead for at least this time is assumed to have been cut off."""

_AVAILABLE = (NodeState.ALIVE, NodeState.SUSPECT)


class SpreadMode(Enum):
    """How an update is spread further."""

    URGENT = "urgent"
    ORDINARY = "ordinary"
    NONE = "none"


class NodeStateTracker:
    """The states of all nodes: stores those of the others and announces that of this node.

    Attributes
    ----------
    health
        The health score of this node.
    is_changed
        Whether the available or leaving nodes have changed since this was last set to ``False``.
    pending_refutation_requests
        Updates to be sent to the nodes that they are about, so that these can refute them.
    arrivals
        Number of times that a node was added, or returned after being dead, since this node
        started.
    last_returned
        The node that last came back after being dead for at least ``MIN_PARTITION_SECONDS``, which
        may mean that a network partition has healed. ``None`` once a source for a list has been
        chosen.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        settings: MembershipSettings,
        table: MemberTable,
        queue: GossipQueue,
        order: ProbeOrder,
        outbox: Outbox,
        random_source: random.Random,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._table = table
        self._queue = queue
        self._order = order
        self._outbox = outbox
        self._random = random_source
        self._suspicions: dict[NodeId, Suspicion] = {}
        self._own_state = NodeState.ALIVE
        self._own_incarnation = 0
        self.health = LocalHealth(settings.health_maximum)
        self.is_changed = True
        self.pending_refutation_requests: dict[NodeId, NodeUpdate] = {}
        self.arrivals = 0
        self.last_returned: NodeIdentity | None = None

    def own_update(self) -> NodeUpdate:
        """Return the update about this node."""
        return NodeUpdate(self._identity, self._own_state, self._own_incarnation)

    def announce(self) -> None:
        """Spread the state of this node."""
        self._queue.put(self.own_update())

    def leave(self) -> None:
        """Announce from now on that this node is leaving."""
        self._own_state = NodeState.LEAVING
        self._own_incarnation += 1
        self.is_changed = True
        self.announce()

    def refute(self, incarnation: int) -> None:
        """Override any update about this node up to ``incarnation``."""
        self._own_incarnation = max(self._own_incarnation, incarnation) + 1
        self._outbox.count("membership_refutations_total")
        self.announce()

    def refute_preemptively(self) -> None:
        """Override updates about this node that may exist but have not been received."""
        self.refute(self._own_incarnation)

    def current_membership(self) -> MembershipChanged:
        """Return the event with the available nodes and the leaving ones, this node included."""
        members = [(member.identity, member.state) for member in self._table.not_dead()]
        members.append((self._identity, self._own_state))
        available = [identity for identity, state in members if state in _AVAILABLE]
        leaving = [identity for identity, state in members if state is NodeState.LEAVING]
        return MembershipChanged(
            tuple(sorted(available, key=_node_id)), tuple(sorted(leaving, key=_node_id))
        )

    def record_message_from(self, sender: NodeIdentity, now: float) -> None:
        """Record a message from ``sender``.

        An unknown sender is added; a dead one is requested to refute.
        """
        member = self._table.get(sender.node_id)
        if member is None:
            self._replace_predecessor(sender, now)
            self._add(NodeUpdate(sender, NodeState.ALIVE, 0), now)
        elif (
            member.state is NodeState.DEAD
            and now - member.refutation_requested_at >= MIN_REFUTATION_REQUEST_INTERVAL_SECONDS
        ):
            member.refutation_requested_at = now
            self.pending_refutation_requests[sender.node_id] = member.as_update()

    def record_answer(self, node_id: NodeId, now: float) -> None:
        """Record that the node answered a probe of this node."""
        member = self._table.get(node_id)
        if member is not None:
            member.answered_at = now

    def record_replaced_process(self, expected: NodeId, now: float) -> None:
        """Declare ``expected`` dead, since another process uses its address."""
        member = self._table.get(expected)
        if member is not None and member.state is not NodeState.DEAD:
            self._declare_dead(member, now, "a new process uses its address")

    def apply_gossip(
        self, update: NodeUpdate, now: float, spread_mode: SpreadMode = SpreadMode.URGENT
    ) -> None:
        """Apply a gossip update, and spread it if it is new."""
        if update.identity.node_id == self._identity.node_id:
            self._handle_own_update(update)
            return
        member = self._table.get(update.identity.node_id)
        if member is None:
            if update.state is not NodeState.DEAD:
                self._add(update, now, spread_mode)
        elif update.state is NodeState.SUSPECT and self._confirm(update):
            self._queue.put(update)
        elif overrides(update, member):
            if update.state is NodeState.DEAD and self._answered_recently(member, now):
                self._request_refutation(update)
            else:
                self._change(member, update, now, spread_mode)

    def apply_node_list_entry(
        self, update: NodeUpdate, now: float, spread_mode: SpreadMode
    ) -> None:
        """Apply one entry of another node's whole list.

        The list may come from the other side of a network partition that has just healed. So nodes
        that it lists as dead are not declared dead; they are requested to refute, and do so if they
        are alive.
        """
        member = self._table.get(update.identity.node_id)
        if update.state is not NodeState.DEAD or update.identity == self._identity:
            self.apply_gossip(update, now, spread_mode)
        elif member is not None and overrides(update, member):
            self._request_refutation(update)

    def suspect(self, node_id: NodeId, now: float) -> None:
        """Record that a node answered neither a probe of this node nor the indirect probes."""
        member = self._table.get(node_id)
        if member is None or member.state is NodeState.DEAD:
            return
        if member.state is NodeState.LEAVING:
            # A leaving node stays leaving; a suspect state would hide that.
            self._suspicions.setdefault(node_id, self._new_suspicion(now))
            return
        own_id = self._identity.node_id
        update = NodeUpdate(member.identity, NodeState.SUSPECT, member.incarnation, own_id)
        if member.state is NodeState.ALIVE:
            self._outbox.count("membership_suspicions_total")
            self._outbox.log("node_suspected", ("node", node_id))
            self._change(member, update, now)
        elif self._confirm(update):
            self._queue.put(update)

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend all suspicions by the time in which this node itself was suspended."""
        for suspicion in self._suspicions.values():
            suspicion.postpone(seconds)

    def expire_suspicions(self, now: float) -> None:
        """Declare the nodes dead whose suspicion has expired.

        A node that has answered this node since its suspicion began is requested to refute, and
        gets more time.
        """
        for node_id, suspicion in list(self._suspicions.items()):
            if suspicion.expires_at > now:
                continue
            member = self._table.get(node_id)
            if member is None:
                del self._suspicions[node_id]
            elif member.answered_at > suspicion.started_at:
                suspicion.started_at = now
                self.pending_refutation_requests[node_id] = member.as_update()
            else:
                self._declare_dead(member, now, "the suspicion was not refuted")

    def _handle_own_update(self, update: NodeUpdate) -> None:
        is_suspicion = update.state in (NodeState.SUSPECT, NodeState.DEAD)
        if update.incarnation > self._own_incarnation or (
            is_suspicion and update.incarnation == self._own_incarnation
        ):
            self.health.worsen()
            self.refute(update.incarnation)
        elif is_suspicion and not self._queue.has_update_about(self._identity.node_id):
            # Already refuted, but some node has not received it: this node's messages may have been
            # lost.
            self.announce()

    def _replace_predecessor(self, newcomer: NodeIdentity, now: float) -> None:
        predecessor = self._table.at_address(newcomer.host, newcomer.port)
        if predecessor is not None:
            self.record_replaced_process(predecessor.identity.node_id, now)

    def _add(
        self, update: NodeUpdate, now: float, spread_mode: SpreadMode = SpreadMode.URGENT
    ) -> None:
        member = self._table.put(update, now)
        node_id = update.identity.node_id
        self._order.insert(node_id)
        self.arrivals += 1
        self._spread(update, spread_mode)
        self.is_changed = True
        self._outbox.log("node_joined", ("node", node_id), ("zone", update.identity.zone))
        if member.state is NodeState.SUSPECT:
            self._begin_suspicion(update, now)

    def _spread(self, update: NodeUpdate, spread_mode: SpreadMode) -> None:
        if spread_mode is not SpreadMode.NONE:
            self._queue.put(update, urgent=spread_mode is SpreadMode.URGENT)

    def _confirm(self, update: NodeUpdate) -> bool:
        """Count another reporter of a suspicion; return whether it is new.

        Updates without a reporter, as in node lists, count together as one.
        """
        member = self._table.get(update.identity.node_id)
        suspicion = self._suspicions.get(update.identity.node_id)
        if member is None or suspicion is None or member.state is not NodeState.SUSPECT:
            return False
        if member.incarnation != update.incarnation:
            return False
        return suspicion.confirm(update.suspected_by)

    def _answered_recently(self, member: Member, now: float) -> bool:
        """Whether a recent answer of ``member`` is evidence that it is not dead.

        Never true for a leaving node.
        """
        fresh = now - member.answered_at < self._settings.round_trip_fresh_seconds
        return fresh and member.state is not NodeState.LEAVING

    def _request_refutation(self, update: NodeUpdate) -> None:
        self.pending_refutation_requests[update.identity.node_id] = update
        self._order.prefer(update.identity.node_id)

    def _change(
        self,
        member: Member,
        update: NodeUpdate,
        now: float,
        spread_mode: SpreadMode = SpreadMode.URGENT,
    ) -> None:
        before, dead_seconds = member.state, now - member.changed_at
        self._table.put(update, now)
        self._suspicions.pop(update.identity.node_id, None)
        if update.state is NodeState.SUSPECT:
            self._begin_suspicion(update, now)
        if before is NodeState.DEAD:
            self.arrivals += 1
            if dead_seconds >= MIN_PARTITION_SECONDS:
                self.last_returned = update.identity
            self._outbox.log("node_returned", ("node", update.identity.node_id))
        self.is_changed |= _reported_state(before) != _reported_state(update.state)
        self._spread(update, spread_mode)

    def _begin_suspicion(self, update: NodeUpdate, now: float) -> None:
        suspicion = self._new_suspicion(now)
        suspicion.confirm(update.suspected_by)
        self._suspicions[update.identity.node_id] = suspicion
        share = self._settings.confirming_probes / self._table.node_count
        if self._random.random() < share:
            self._order.prefer(update.identity.node_id)

    def _new_suspicion(self, now: float) -> Suspicion:
        return new_suspicion(self._settings, self._table.node_count, now)

    def _declare_dead(self, member: Member, now: float, reason: str) -> None:
        node_id = member.identity.node_id
        self._outbox.count("membership_deaths_total")
        self._outbox.log("node_dead", ("node", node_id), ("reason", reason))
        self._change(member, NodeUpdate(member.identity, NodeState.DEAD, member.incarnation), now)


def _reported_state(state: NodeState) -> NodeState:
    """Return the state as reported to the other machines, which treat suspect nodes as alive."""
    return NodeState.ALIVE if state is NodeState.SUSPECT else state


def _node_id(identity: NodeIdentity) -> NodeId:
    return identity.node_id
