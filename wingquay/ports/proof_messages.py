"""What nodes ask and answer so that one look at the store proves the configuration for a group."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class AskProof(PeerMessage):
    """Asks to be told, after each look, for how long this had been known when the look began.

    Parameters
    ----------
    number
        No other ask of any life of any node has it.
    """

    number: int


@value
class ProofGiven(PeerMessage):
    """Answers an ask after a look at the store.

    It tells no age, which would grow unseen while the message is under way: the look began at least
    ``held_seconds`` after the ask was sent, however long either message took.

    Parameters
    ----------
    number
        The ask that is answered.
    held_seconds
        How long it had been known when the look began, by the clock of the node that looked; below
        0: it came so much later.
    store_revision
        Whoever knows the store up to here knows all that the look has told.
    """

    number: int
    held_seconds: float
    store_revision: int
