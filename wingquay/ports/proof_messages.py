"""Messages that share one node's poll of the store as proof of freshness for a group of nodes."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ProofRequest(PeerMessage):
    """Request proof of the configuration's freshness, now and after each poll by the receiver.

    Parameters
    ----------
    number
        Unique across all requests of all incarnations of all nodes.
    """

    number: int


@value
class ProofReply(PeerMessage):
    """Reply to a ``ProofRequest``, sent at once and again after each poll of the store.

    The configuration was current when the replying node's poll started: the proven time. The reply
    states it relative to the receipt of the request, because an age would grow during transmission.
    The requester adds ``held_seconds`` to its own send time to get a lower bound of the proven
    time.

    Parameters
    ----------
    number
        Number of the request.
    held_seconds
        Proven time minus receipt of the request, on the replying node's clock (not a hold period).
        Negative if the poll started before the request was received.
    store_revision
        Store revision that a node must have to hold all changes acknowledged by the proven time.
    """

    number: int
    held_seconds: float
    store_revision: int
