"""Messages and store records about requests that crash the replicas that run them."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ReportedCrash:
    """One replica incarnation that crashed while it ran a request.

    Parameters
    ----------
    incarnation
        Its name; see ``ReplicaRecord.incarnation``.
    node_id
        The node that had sent the request there.
    sent_seconds, ended_seconds
        Time since the request was sent and since its connection ended, when this message is sent.
    """

    incarnation: str
    node_id: str
    sent_seconds: float
    ended_seconds: float


@value
class CrashReport(PeerMessage):
    """Replica crashes observed during a request, and whether the request is held back.

    Parameters
    ----------
    identity
        Fingerprint that the request shares with its repetitions.
    held_seconds
        Remaining hold period; 0: not held.
    is_cleared
        Whether a replica has answered the request, so that it is no longer suspected.
    """

    identity: bytes
    crashes: tuple[ReportedCrash, ...] = ()
    held_seconds: float = 0.0
    is_cleared: bool = False


@value
class HeldRequest:
    """Store record of a held request, read by other nodes and by operators.

    Parameters
    ----------
    seconds
        Hold period, counted from the write of the key.
    target, caller
        Target of the request and address of its caller, as far as the node stored them.
    found_by
        The node that wrote the key.
    """

    seconds: float
    target: str
    caller: str
    found_by: str
