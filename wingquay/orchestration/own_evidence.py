"""Beliefs about replicas from this node's own evidence alone.

Stands where the membership machine will: it weighs the evidence of all nodes, this one only its
own. Take it out when that machine takes ``ReplicaObserved``.
"""

from typing import ClassVar

from wingquay.ports.internal import Notify, ReplicaBelief, ReplicaObserved
from wingquay.ports.machine import Action, Event
from wingquay.ports.peer import PeerMessage


class OwnEvidence:
    """Believes at once what this node observed."""

    EVENTS: ClassVar[tuple[type[Event], ...]] = (ReplicaObserved,)
    PEER_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event."""
        if not isinstance(event, ReplicaObserved) or event.state is None:
            return []
        return [Notify(ReplicaBelief(event.replica_id, event.state, event.held))]
