"""The state of every other node as stored at this node, and which update overrides which."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.identifiers import NodeId
from ..ports.peer import NodeIdentity, NodeState, NodeUpdate

NO_REPORTER = NodeId("")

_PRECEDENCES = {
    NodeState.ALIVE: 0,
    NodeState.SUSPECT: 1,
    NodeState.LEAVING: 2,
    NodeState.DEAD: 3,
}
"""At equal incarnation the higher precedence overrides.

Only the node itself announces that it is leaving, and it does so under a new incarnation; a
suspicion must not override that.
"""


@dataclass(slots=True)
class Member:
    """Another node in this node's view.

    Parameters
    ----------
    changed_at
        When an update about the node was last stored (seconds).
    answered_at
        When the node last answered a probe of this node (seconds).
    refutation_requested_at
        When a dead node that sent a message was last requested to refute (seconds).
    """

    identity: NodeIdentity
    state: NodeState
    incarnation: int
    changed_at: float
    answered_at: float = float("-inf")
    refutation_requested_at: float = float("-inf")

    def as_update(self, suspected_by: NodeId = NO_REPORTER) -> NodeUpdate:
        """Return the member's state as a gossip update."""
        return NodeUpdate(self.identity, self.state, self.incarnation, suspected_by)


def overrides(update: NodeUpdate, member: Member) -> bool:
    """Whether ``update`` replaces the stored state of ``member``."""
    if update.incarnation != member.incarnation:
        return update.incarnation > member.incarnation
    return _PRECEDENCES[update.state] > _PRECEDENCES[member.state]


class MemberTable:
    """Every other known node; dead ones stay until they are forgotten."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}
        self._by_address: dict[tuple[str, int], NodeId] = {}
        self._not_dead: list[Member] | None = None

    def get(self, node_id: NodeId) -> Member | None:
        """Return the member with that id, or ``None``."""
        return self._members.get(node_id)

    def at_address(self, host: str, port: int) -> Member | None:
        """Return the member last known at that address, or ``None``."""
        node_id = self._by_address.get((host, port))
        return None if node_id is None else self._members.get(node_id)

    def put(self, update: NodeUpdate, now: float) -> Member:
        """Store ``update`` as the state from ``now`` on."""
        self._not_dead = None
        identity = update.identity
        member = self._members.get(identity.node_id)
        if member is None:
            member = Member(identity, update.state, update.incarnation, now)
            self._members[identity.node_id] = member
        else:
            member.state = update.state
            member.incarnation = update.incarnation
            member.changed_at = now
        if update.state is not NodeState.DEAD:
            self._by_address[(identity.host, identity.port)] = identity.node_id
        return member

    def not_dead(self) -> list[Member]:
        """Return the members that are not dead, in the order in which they were added."""
        if self._not_dead is None:
            members = self._members.values()
            self._not_dead = [entry for entry in members if entry.state is not NodeState.DEAD]
        return self._not_dead

    def all(self) -> Iterable[Member]:
        """Return every member."""
        return self._members.values()

    def dead(self) -> list[Member]:
        """Return the members that are dead."""
        return [entry for entry in self._members.values() if entry.state is NodeState.DEAD]

    def forget_dead_before(self, moment: float) -> None:
        """Remove the nodes that have been dead since before ``moment`` (seconds)."""
        for member in self.dead():
            if member.changed_at < moment:
                identity = member.identity
                del self._members[identity.node_id]
                if self.at_address(identity.host, identity.port) is None:
                    self._by_address.pop((identity.host, identity.port), None)

    @property
    def node_count(self) -> int:
        """Number of nodes that are not dead, including this one."""
        return len(self.not_dead()) + 1
