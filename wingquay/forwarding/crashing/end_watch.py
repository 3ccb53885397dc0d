"""Finds out whether a replica has ended, or only a connection to it has.

A connection that ends without an answer says little: it may have been reset on its way, or the
answer lost. The replica has ended if the next connection is refused, or if it is known to have
started again.
"""

from dataclasses import dataclass

from ...ports.forwarding import ConnectionTried, OpenConnection
from ...ports.machine import Action
from ..choice.replica_state import ReplicaState
from ..exchange import Attempt, Exchange
from .evidence import ReplicaEnd

MOST_PER_EXCHANGE = 3
"""Replicas whose end is looked into for one request at a time: more would prove no more."""
MOST_REPLICAS = 128
"""Replicas whose end is looked into at a time; each look is a connection."""


@dataclass(slots=True, eq=False)
class LostAttempt:
    """An attempt whose connection ended without an answer."""

    exchange: Exchange
    replica: ReplicaState
    end: ReplicaEnd


class EndWatch:
    """Opens connections to replicas that may have ended.

    Parameters
    ----------
    node_id
        This node's name, by which others know who saw an end.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._lost: dict[str, list[LostAttempt]] = {}
        """Attempts by the life of the replica that is being looked into."""

    def lost(self, attempt: Attempt, now: float) -> list[Action]:
        """Look into the end of a connection; an end that was expected is passed over."""
        exchange = attempt.call.exchange
        lost = self.known(attempt, now)
        if lost is None or exchange.open_looks >= MOST_PER_EXCHANGE:
            return []
        life = attempt.replica.incarnation
        known = self._lost.get(life)
        if known is None and len(self._lost) >= MOST_REPLICAS:
            return []
        exchange.open_looks += 1
        if known is not None:
            known.append(lost)
            return []
        self._lost[life] = [lost]
        return [OpenConnection(attempt.replica.record)]

    def known(self, attempt: Attempt, now: float) -> LostAttempt | None:
        """Return the end that an attempt saw if its replica has ended; ``None``: it was leaving."""
        replica = attempt.replica
        if replica.record.is_draining or replica.vanished_at is not None:
            return None
        end = ReplicaEnd(replica.incarnation, self._node_id, attempt.sent_at, now)
        return LostAttempt(attempt.call.exchange, replica, end)

    def tried(self, event: ConnectionTried) -> list[LostAttempt]:
        """Return the attempts whose replica has been looked into."""
        found = self._lost.pop(event.life, [])
        for lost in found:
            lost.exchange.open_looks -= 1
        return found
