"""Distinguishes crashed replicas from lost connections.

A connection that closes without an answer is no proof of a crash: the network may have reset it.
The replica has crashed if it refuses the next connection or is known to have restarted.
"""

from dataclasses import dataclass

from ...ports.forwarding import ConnectionTried, OpenConnection
from ...ports.machine import Action
from ..choice.replica_state import ReplicaState
from ..exchange import Attempt, Exchange
from .replica_crash import ReplicaCrash

MAX_PROBES_PER_EXCHANGE = 3
"""Maximum number of replicas that are probed for one exchange at a time. More would prove no
more."""
MAX_PROBED_REPLICAS = 128
"""Maximum number of replicas that are probed at a time; each probe opens a connection."""


@dataclass(slots=True, eq=False)
class DisconnectedAttempt:
    """An attempt whose connection closed without an answer."""

    exchange: Exchange
    replica: ReplicaState
    possible_crash: ReplicaCrash


class CrashProber:
    """Opens connections to replicas that may have crashed.

    Parameters
    ----------
    node_id
        This node's name, which is stored with each crash that it observes.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._pending: dict[str, list[DisconnectedAttempt]] = {}
        """Disconnected attempts by the incarnation of the replica that is being probed."""

    def start_probe(self, attempt: Attempt, now: float) -> list[Action]:
        """Probe the replica of a closed connection.

        A replica is not probed if it was already leaving or a limit of probes is reached.
        """
        exchange = attempt.call.exchange
        disconnected = self.to_disconnected_attempt(attempt, now)
        if disconnected is None or exchange.open_probes >= MAX_PROBES_PER_EXCHANGE:
            return []
        incarnation = attempt.replica.incarnation
        pending = self._pending.get(incarnation)
        if pending is None and len(self._pending) >= MAX_PROBED_REPLICAS:
            return []
        exchange.open_probes += 1
        if pending is not None:
            pending.append(disconnected)
            return []
        self._pending[incarnation] = [disconnected]
        return [OpenConnection(attempt.replica.record)]

    def to_disconnected_attempt(self, attempt: Attempt, now: float) -> DisconnectedAttempt | None:
        """Return an attempt with its possible crash; ``None`` if its replica was leaving."""
        replica = attempt.replica
        if replica.record.is_draining or replica.vanished_at is not None:
            return None
        crash = ReplicaCrash(replica.incarnation, self._node_id, attempt.sent_at, now)
        return DisconnectedAttempt(attempt.call.exchange, replica, crash)

    def finish_probe(self, event: ConnectionTried) -> list[DisconnectedAttempt]:
        """Return the attempts whose replica has been probed."""
        probed = self._pending.pop(event.incarnation, [])
        for disconnected in probed:
            disconnected.exchange.open_probes -= 1
        return probed
