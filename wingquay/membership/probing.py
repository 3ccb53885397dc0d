"""The steps of one probe, and the order in which nodes are probed.

Source: SWIM (2002), sections 3.1 and 4.3: randomized round robin bounds the time until any node is
probed, and an unanswered probe is repeated through other nodes before it fails.
"""

import random
from dataclasses import dataclass
from enum import Enum

from ..model.identifiers import NodeId
from ..ports.peer import NodeIdentity, NodeState
from .member_table import Member, MemberTable
from .settings import MembershipSettings


class ProbeStep(Enum):
    """The next step of the current probe."""

    WAIT = "wait"
    RESEND = "resend"
    PROBE_INDIRECTLY = "probe_indirectly"
    GIVE_UP = "give_up"


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet.

    Parameters
    ----------
    resend_at, indirect_at, give_up_at
        When to repeat it, to probe through other nodes, and to give up (seconds).
    nacks
        Number of relays that reported that they got no answer either.
    """

    target: NodeIdentity
    sequence: int
    resend_at: float
    indirect_at: float
    give_up_at: float
    was_resent: bool = False
    has_probed_indirectly: bool = False
    nacks: int = 0

    def next_step(self, now: float) -> ProbeStep:
        """Return the step that is due ``now``; each step is returned once."""
        if now >= self.give_up_at:
            return ProbeStep.GIVE_UP
        if now >= self.indirect_at and not self.has_probed_indirectly:
            self.has_probed_indirectly = True
            return ProbeStep.PROBE_INDIRECTLY
        if now >= self.resend_at and not self.was_resent:
            self.was_resent = True
            return ProbeStep.RESEND
        return ProbeStep.WAIT


def new_probe(
    target: NodeIdentity,
    sequence: int,
    settings: MembershipSettings,
    health_multiplier: int,
    now: float,
) -> Probe:
    """Return a probe that starts ``now``, with timeouts scaled by this node's health."""
    return Probe(
        target=target,
        sequence=sequence,
        resend_at=now + settings.probe_resend_seconds * health_multiplier,
        indirect_at=now + settings.probe_indirect_seconds * health_multiplier,
        give_up_at=now + settings.probe_interval_seconds * health_multiplier,
    )


class ProbeOrder:
    """Returns all nodes in a random order, which changes every round."""

    def __init__(self, table: MemberTable, random_source: random.Random) -> None:
        self._table = table
        self._random = random_source
        self._remaining: list[NodeId] = []
        self._preferred: dict[NodeId, None] = {}

    def prefer(self, node_id: NodeId) -> None:
        """Probe the node ``node_id`` before all others."""
        self._preferred[node_id] = None

    def next_target(self) -> Member | None:
        """Return the node to probe now, or ``None`` if there is no other node."""
        while self._preferred:
            member = self._probeable(self._preferred.popitem()[0])
            if member is not None:
                return member
        for _ in range(2):
            while self._remaining:
                member = self._probeable(self._remaining.pop())
                if member is not None:
                    return member
            self._remaining = [entry.identity.node_id for entry in self._table.not_dead()]
            self._random.shuffle(self._remaining)
        return None

    def insert(self, node_id: NodeId) -> None:
        """Insert a new node at a random position of the current round."""
        self._remaining.insert(self._random.randint(0, len(self._remaining)), node_id)

    def _probeable(self, node_id: NodeId) -> Member | None:
        member = self._table.get(node_id)
        if member is None or member.state is NodeState.DEAD:
            return None
        return member
