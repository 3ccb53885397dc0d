"""Messages by which nodes report which zones they can reach."""

from ..model.value import value
from .peer_link import PeerMessage


@value
class ReachabilityReport(PeerMessage):
    """Reachability of other zones, sent by a node that is checking it.

    Parameters
    ----------
    unreachable_zones
        Zones that the sender reached earlier and cannot reach any more.
    reachable_zones
        Zones from which the sender has just received a reply.
    wants_reply
        Whether the receiver should confirm at once that it is up and, if it is in the sender's
        zone, report which zones it reaches itself.
    """

    unreachable_zones: tuple[str, ...] = ()
    reachable_zones: tuple[str, ...] = ()
    wants_reply: bool = False
