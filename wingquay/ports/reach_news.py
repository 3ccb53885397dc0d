"""The message by which nodes tell each other which zones they reach."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ReachNews(PeerMessage):
    """What a node that is in doubt finds out about the other zones.

    Parameters
    ----------
    out_zones
        Zones that it reached before and reaches no more.
    in_zones
        Zones of which something answered just now.
    is_question
        Whether the receiver is to say at once that it is there, and, in the same zone, what it
        reaches itself.
    """

    out_zones: tuple[str, ...] = ()
    in_zones: tuple[str, ...] = ()
    is_question: bool = False
