"""The message by which nodes tell each other which zones they reach."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ReachabilityReport(PeerMessage):
    """What a node that is in doubt finds out about the other zones.

    Parameters
    ----------
    unreachable_zones
        Zones that it reached before and reaches no more.
    reachable_zones
        Zones of which something answered just now.
    wants_reply
        Whether the receiver is to say at once that it is there, and, in the same zone, what it
        reaches itself.
    """

    unreachable_zones: tuple[str, ...] = ()
    reachable_zones: tuple[str, ...] = ()
    wants_reply: bool = False
