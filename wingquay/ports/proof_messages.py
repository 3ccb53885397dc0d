"""What nodes ask and answer so that one look at the store proves the configuration for a group."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ProofRequest(PeerMessage):
    """Asks to be told, now and after each look, for how long this was known by the proven moment.

    Parameters
    ----------
    number
        No other ask of any life of any node has it.
    """

    number: int


@value
class ProofReply(PeerMessage):
    """Answers an ask at once, by what is proven, and after each look at the store.

    It tells no age, which would grow unseen while the message is under way: the moment as of which
    the configuration is proven, the beginning of a look, came at least ``held_seconds`` after the
    ask was sent, however long either message took.

    Parameters
    ----------
    number
        The ask that is answered.
    held_seconds
        How long it had been known at that moment, by the clock of the node that answers; below 0:
        it came so much later.
    store_revision
        Whoever knows the store up to here knows all that had been acknowledged by that moment.
    """

    number: int
    held_seconds: float
    store_revision: int
