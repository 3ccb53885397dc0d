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

    The configuration is proven as of the start of a poll. The reply states this time relative to
    the receipt of the request rather than as an age, which would grow during transmission. The
    proven time is therefore at least ``held_seconds`` after the request was sent, whatever the
    transmission delays.

    Parameters
    ----------
    number
        Number of the request.
    held_seconds
        Proven time minus the time when the request was received, on the replying node's clock.
        Negative if the request was received later.
    store_revision
        A node with the store's contents up to here has all changes acknowledged by the proven time.
    """

    number: int
    held_seconds: float
    store_revision: int
