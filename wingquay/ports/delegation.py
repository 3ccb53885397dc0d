"""Messages by which a node lets another one ask some of the shards of a request."""

from ..model.value import value
from .forwarding import OpaqueRequest
from .peer_link import PeerMessage


@value
class DelegatedRequest(PeerMessage):
    """Ask one replica of each of these shards.

    The receiver says at once that it has taken the request, by an answer with nothing in it, and
    sends to a second replica of a shard only after an ``AllowAttempts``: until then the sender may
    do so itself, and no shard's replicas must get the request more often than the route allows.

    Parameters
    ----------
    delegation_id
        The sender's own number for it; never used again by that node, also not after a restart.
    route_name
        The route's name, by which latencies are kept.
    merged_records
        Records in a merged answer.
    in_time_seconds
        Time after which whatever is in must leave, to be of use to a caller that wants it in time.
    remaining_seconds
        Time after which nobody waits any more.
    is_group_share
        Whether the nodes of the sender's group leave these shards to the receiver; otherwise any
        node may ask the same replicas.
    tenant
        The name of the tenant that calls, for the replicas; empty: none is told.
    """

    delegation_id: int
    request_id: str
    request: OpaqueRequest
    route_name: str
    shards: tuple[str, ...]
    merged_records: int
    priority: int
    objective_seconds: float
    cutoff_seconds: float
    remaining_seconds: float
    is_group_share: bool = True
    tenant: str = ""


@value
class DelegatedAnswer(PeerMessage):
    """What came in since the last such message; several may follow one request.

    Parameters
    ----------
    shards
        Positions, in the request, of the shards whose answer came in.
    signatures
        The signatures of their answers, in the same order.
    body
        The greatest records of these answers.
    declined
        Positions of the shards of which the receiver knows no replica: it asks for none of them.
    is_rejected
        The request was not taken: nothing ran and nothing will.
    given_back
        Positions of the shards that the receiver asks for no more: connections to replicas ended
        under the request, and no replica has answered it.
    arrivals
        How many replicas of each of these the request may have reached, in the same order.
    held_seconds
        Replicas end under the request: for how long it is held back; 0: it is not.
    exhausted
        Positions of the shards of which as many replicas were asked as may be, and none answered.
    """

    delegation_id: int
    shards: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    body: bytes = b""
    is_rejected: bool = False
    declined: tuple[int, ...] = ()
    given_back: tuple[int, ...] = ()
    arrivals: tuple[int, ...] = ()
    held_seconds: float = 0.0
    exhausted: tuple[int, ...] = ()


@value
class AllowAttempts(PeerMessage):
    """Leave all further attempts to the receiver.

    Parameters
    ----------
    max_attempts
        Most replicas of each shard that the request may be sent to.
    """

    delegation_id: int
    max_attempts: int


@value
class PrewarmMessage(PeerMessage):
    """Opens the connection before a request needs it; nothing follows from it."""


@value
class CancelDelegation(PeerMessage):
    """Nobody waits for the request any more."""

    delegation_id: int
