"""What nodes tell each other, and the store, of requests under which replicas end."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ReportedCrash:
    """One life of a replica that ended while it had a request.

    Parameters
    ----------
    life
        Its name; other nodes only compare it.
    node_id
        The node that had sent the request there.
    sent_seconds, ended_seconds
        How long ago it was sent and its connection ended, when the message leaves.
    """

    incarnation: str
    node_id: str
    sent_seconds: float
    ended_seconds: float


@value
class CrashReport(PeerMessage):
    """What a node has come to know of one request.

    Parameters
    ----------
    identity
        What the request's repeats have in common.
    held_seconds
        How much longer it is held back; 0: it is not.
    is_cleared
        A replica has answered it: it is innocent.
    """

    identity: bytes
    crashes: tuple[ReportedCrash, ...] = ()
    held_seconds: float = 0.0
    is_cleared: bool = False


@value
class HeldRequest:
    """What stands in the store of a request that is held back, for nodes and operators.

    Parameters
    ----------
    seconds
        For how long it is held back from the writing of the key on.
    target, caller
        The request's target and the address it came from, as far as the node knew them.
    found_by
        The node that wrote the key.
    """

    seconds: float
    target: str
    caller: str
    found_by: str
