"""Whole node lists: fetched to join, at long intervals, and after a network partition has healed.

Gossip is sent a bounded number of times, so nodes may miss updates; lists repair that
(anti-entropy).
"""

import random

from ..ports.peer import Gossip, NodeIdentity, NodeList, NodeListRequest
from .member_table import MemberTable
from .message_sender import MessageSender
from .node_state_tracker import NodeStateTracker, SpreadMode
from .replica_table import ReplicaTable
from .settings import MembershipSettings

MIN_ARRIVALS = 3
MIN_ARRIVALS_SHARE = 0.1
"""If both this number of nodes and this share of all nodes have arrived or returned since the last
list, many have started at once or a network partition has healed: a list is fetched early."""

EARLY_LIST_DELAY_SECONDS = (1.0, 4.0)
"""Bounds of the random delay before an early list is fetched."""


class NodeLists:
    """Requests node lists, answers requests for them and applies them."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        tracker: NodeStateTracker,
        replicas: ReplicaTable,
        messages: MessageSender,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._table = table
        self._tracker = tracker
        self._replicas = replicas
        self._messages = messages
        self._random = random_source
        self._has_joined = False
        self._requested_at = float("-inf")
        self._next_at = float("inf")
        self._arrivals_at_list = 0
        self._is_early_list_scheduled = False

    def message_received(self, sender: NodeIdentity, now: float) -> None:
        """Request the first list from the first node that sends a message."""
        if not self._has_joined:
            self._request(sender, now)

    def tick(self, now: float) -> None:
        """Request a list if one is due."""
        if not self._is_early_list_scheduled and self._needs_early_list():
            self._is_early_list_scheduled = True
            self._next_at = min(
                self._next_at, now + self._random.uniform(*EARLY_LIST_DELAY_SECONDS)
            )
        if now < self._next_at:
            return
        source = self._choose_source()
        if source is not None and self._request(source, now):
            self._schedule(now)

    def _choose_source(self) -> NodeIdentity | None:
        """Return a node to request the list from, or ``None`` if no node is reachable.

        A node from the other side of a healed network partition is preferred. The tracker's
        ``last_returned`` is cleared, even if the request is not sent in the end.
        """
        returned, self._tracker.last_returned = self._tracker.last_returned, None
        if returned is not None:
            return returned
        not_dead = self._table.not_dead()
        return self._random.choice(not_dead).identity if not_dead else None

    def _needs_early_list(self) -> bool:
        if self._tracker.last_returned is not None:
            return True
        arrivals = self._tracker.arrivals - self._arrivals_at_list
        return arrivals >= max(MIN_ARRIVALS, MIN_ARRIVALS_SHARE * self._table.node_count)

    def answer(self, sender: NodeIdentity) -> None:
        """Send the states of all nodes, and of the replicas that do not serve."""
        members = tuple(member.as_update() for member in self._table.all())
        updates = (self._tracker.own_update(), *members)
        not_serving_updates = tuple(self._replicas.not_serving_updates())
        self._messages.send(
            sender, NodeList(Gossip(self._messages.revision, updates, not_serving_updates))
        )

    def apply(self, gossip: Gossip, now: float) -> None:
        """Apply a received list."""
        if not self._has_joined or self._needs_early_list():
            # Announce this node again: the retransmission limit of the last announcement was
            # computed for a smaller number of nodes.
            self._tracker.announce()
        self._arrivals_at_list = self._tracker.arrivals
        self._is_early_list_scheduled = False
        # The other nodes already have the entries of the first list.
        spread_mode = SpreadMode.ORDINARY if self._has_joined else SpreadMode.NONE
        self._has_joined = True
        self._schedule(now)
        for update in gossip.node_updates:
            self._tracker.apply_node_list_entry(update, now, spread_mode)

    def _request(self, node: NodeIdentity, now: float) -> bool:
        if now - self._requested_at < self._settings.list_request_pause_seconds:
            return False
        self._requested_at = now
        self._is_early_list_scheduled = False
        self._messages.send(node, NodeListRequest())
        return True

    def _schedule(self, now: float) -> None:
        per_node_seconds = self._settings.anti_entropy_seconds_per_node
        interval = max(
            self._settings.anti_entropy_seconds, per_node_seconds * self._table.node_count
        )
        self._next_at = now + interval * self._random.uniform(0.75, 1.25)
