"""What nodes tell and ask each other about the requests of tenants; names only, never a key."""

from enum import Enum

from ..model.value import value
from .peer_link import PeerMessage


class LimitVerdict(Enum):
    """What an owner answers to whoever asks before it begins a request."""

    GRANTED = 1
    """It may run and is counted."""
    EXCEEDED = 2
    """The tenant has had its requests."""
    OTHER_OWNER = 3
    """This owner may not permit it in its own right; the other one may."""
    NOT_OWNER = 4
    """By its own view the node asked does not own the tenant."""


@value
class LimitReport(PeerMessage):
    """What a node has begun, or takes back, since its last telling.

    Parameters
    ----------
    sequence
        Rises by one from telling to telling; 0 in no message.
    tenants, counts
        Names, and beside each how many requests; less than 0: so many ran nowhere.
    charged
        Beside each name, how many requests begun at once the other owner has not acknowledged: they
        count against what this one may permit in its own right.
    """

    sequence: int
    tenants: tuple[str, ...] = ()
    counts: tuple[int, ...] = ()
    charged: tuple[int, ...] = ()


@value
class LimitAcknowledgement(PeerMessage):
    """An owner has counted all tellings up to a number; 0: none is acknowledged.

    Parameters
    ----------
    asks_first
        It cannot know the last window yet: every request is asked before it begins.
    hot, hot_seconds
        Tenants whose requests are asked first, and beside each for how long.
    """

    sequence: int
    requires_permit: bool = False
    hot: tuple[str, ...] = ()
    hot_seconds: tuple[float, ...] = ()


@value
class LimitRequest(PeerMessage):
    """Asks whether a request of a tenant may begin."""

    ask_id: int
    tenant: str


@value
class LimitReply(PeerMessage):
    """The answer to one question.

    Parameters
    ----------
    retry_after_seconds
        When the tenant's window has room, if the verdict is that it has none.
    asks_first, hot_seconds
        As in an acknowledgement, for the tenant asked for; 0: it is not hot.
    """

    ask_id: int
    verdict: LimitVerdict
    retry_after_seconds: float = 0.0
    requires_permit: bool = False
    hot_seconds: float = 0.0


@value
class LimitRecord:
    """What an owner knows of one tenant's last window.

    Parameters
    ----------
    ages_seconds, counts
        How long ago, when the message leaves, and beside each how many requests.
    """

    tenant: str
    ages_seconds: tuple[float, ...]
    counts: tuple[int, ...]


@value
class LimitOwnersRequest(PeerMessage):
    """An owner wants the other owners' part of tenants lent, or what they know.

    Parameters
    ----------
    request_id
        Comes back in the reply.
    owners
        A digest of the owners by the sender's view of the store.
    wants_records
        Whether this life of the owner does not know the last window.
    wants_loans, wanted
        Tenants of which it wants to permit more by itself for a while, and beside each how much.
    """

    request_id: int
    owners: int
    wants_records: bool = False
    wants_loans: tuple[str, ...] = ()
    wanted: tuple[int, ...] = ()


@value
class LimitOwnersReply(PeerMessage):
    """What an owner lends and knows.

    Parameters
    ----------
    lent, loans
        Tenants of which this owner permits less for that while, and beside each how much.
    is_same_view
        Whether the owners are the same by this owner's view of the store, which it can reach.
    knows_window
        Whether it tells the last window of the tenants that the two own together.
    unknown
        Those among them whose whole window it does not know.
    records
        What it knows of these windows; a tenant that is missing had no request.
    """

    request_id: int
    lent: tuple[str, ...] = ()
    loans: tuple[int, ...] = ()
    is_same_view: bool = False
    knows_window: bool = False
    unknown: tuple[str, ...] = ()
    records: tuple[LimitRecord, ...] = ()
