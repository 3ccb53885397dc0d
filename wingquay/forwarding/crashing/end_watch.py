"""Finds out whether a replica has ended, or only a connection to it has.

A connection that ends without an answer says little: it may have been reset on its way, or the
answer lost. The replica has ended if the next connection is refused.
"""

from dataclasses import dataclass

from ...ports.forwarding import ConnectionTried, OpenConnection
from ...ports.machine import Action
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
        """Attempts by the id of the replica that is being looked into."""

    def lost(self, attempt: Attempt, now: float) -> list[Action]:
        """Look into the end of a connection; an end that was expected is passed over."""
        exchange = attempt.call.exchange
        record = attempt.replica.record
        is_leaving = record.is_draining or attempt.replica.vanished_at is not None
        if is_leaving or exchange.open_looks >= MOST_PER_EXCHANGE:
            return []
        known = self._lost.get(record.replica_id)
        if known is None and len(self._lost) >= MOST_REPLICAS:
            return []
        end = ReplicaEnd(record.replica_id, self._node_id, attempt.sent_at, now)
        exchange.open_looks += 1
        if known is not None:
            known.append(LostAttempt(exchange, end))
            return []
        self._lost[record.replica_id] = [LostAttempt(exchange, end)]
        return [OpenConnection(record)]

    def tried(self, event: ConnectionTried) -> list[LostAttempt]:
        """Return the attempts whose replica has been looked into."""
        found = self._lost.pop(event.replica_id, [])
        for lost in found:
            lost.exchange.open_looks -= 1
        return found
