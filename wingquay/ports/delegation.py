"""Messages by which one node delegates some shards of a request to another node."""

from ..model.value import value
from .forwarding import OpaqueRequest
from .peer_link import PeerMessage


@value
class DelegatedRequest(PeerMessage):
    """Send the request to one replica of each of these shards.

    The receiver acknowledges at once with an empty ``DelegatedAnswer``. It may send the request to
    a second replica of a shard only after an ``AllowAttempts``: until then the sender may do so
    itself, and no shard may exceed the route's attempt limit.

    Parameters
    ----------
    delegation_id
        Number chosen by the sender, which never reuses it, also not after a restart.
    route_name
        Key of the route's latency statistics.
    merged_records
        Number of records in a merged answer.
    objective_seconds
        Latency objective of the route.
    cutoff_seconds
        Time from now until available answers must be sent back to meet the objective.
    remaining_seconds
        Time from now until the request is abandoned.
    is_group_share
        Whether all nodes of the sender's group leave these shards to the receiver. Otherwise other
        nodes may send to the same replicas.
    tenant
        Name of the calling tenant, forwarded to the replicas; empty: none is sent.
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
    """Answers received since the previous message; several may follow one request.

    "Positions" are indexes into ``DelegatedRequest.shards``.

    Parameters
    ----------
    shards
        Positions of the answered shards.
    signatures
        Signatures of the answers, in the order of ``shards``.
    body
        The highest-ranked records of these answers, merged.
    is_rejected
        Whether the receiver rejected the delegation: nothing ran and nothing will run.
    declined
        Positions of shards for which the receiver has no replica; it sends nothing for them.
    given_back
        Positions of shards that the receiver stops working on, because connections to replicas
        ended during the request and no replica has answered it.
    arrivals
        For each shard in ``given_back``: number of replicas that may have received the request.
    held_seconds
        Remaining hold period of a request that crashes replicas; 0: not held.
    exhausted
        Positions of shards whose attempt limit is reached without an answer.
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
    """Hand all further attempts over to the receiver.

    Parameters
    ----------
    max_attempts
        Maximum number of replicas of each shard that may receive the request.
    """

    delegation_id: int
    max_attempts: int


@value
class PrewarmMessage(PeerMessage):
    """Empty message that opens the connection before a request needs it."""


@value
class CancelDelegation(PeerMessage):
    """The request is no longer awaited; the receiver may drop it."""

    delegation_id: int
