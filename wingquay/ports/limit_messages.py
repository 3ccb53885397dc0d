"""Messages between nodes about tenants' request limits. They carry tenant names, never keys."""

from enum import Enum

from ..model.value import value
from .peer_link import PeerMessage


class LimitVerdict(Enum):
    """Decision of an owner on a ``LimitRequest``."""

    GRANTED = 1
    """The request may run and is counted."""
    EXCEEDED = 2
    """The tenant's limit is reached."""
    OTHER_OWNER = 3
    """This owner cannot grant a permit from its own quota; the tenant's other owner may."""
    NOT_OWNER = 4
    """The receiver is not an owner of the tenant in its own view of the store."""


@value
class LimitReport(PeerMessage):
    """Requests that a node has started, or takes back, since its previous report.

    Parameters
    ----------
    sequence
        Number of the report, increasing by one; never 0.
    tenants, counts
        Tenant names and, in the same order, request counts. A negative count takes back requests
        that did not run.
    charged
        In the order of ``tenants``: requests started without a permit and not yet acknowledged by
        the tenant's other owner. The receiver counts them against its own quota.
    """

    sequence: int
    tenants: tuple[str, ...] = ()
    counts: tuple[int, ...] = ()
    charged: tuple[int, ...] = ()


@value
class LimitAcknowledgement(PeerMessage):
    """An owner has counted all reports up to ``sequence``; 0: none is acknowledged.

    Parameters
    ----------
    requires_permit
        Whether every request needs a permit before it starts, because the owner does not have the
        counts of the last window yet.
    hot, hot_seconds
        Tenants whose requests need a permit first and, in the same order, for how long.
    """

    sequence: int
    requires_permit: bool = False
    hot: tuple[str, ...] = ()
    hot_seconds: tuple[float, ...] = ()


@value
class LimitRequest(PeerMessage):
    """Request a permit from an owner, to start a request of a tenant.

    Parameters
    ----------
    ask_id
        Number chosen by the sender; returned in the reply.
    """

    ask_id: int
    tenant: str


@value
class LimitReply(PeerMessage):
    """An owner's reply to the ``LimitRequest`` with the same ``ask_id``.

    Parameters
    ----------
    retry_after_seconds
        If the verdict is ``EXCEEDED``: time until the tenant's window has capacity again.
    requires_permit, hot_seconds
        As in ``LimitAcknowledgement``, for the requested tenant; 0: the tenant is not hot.
    """

    ask_id: int
    verdict: LimitVerdict
    retry_after_seconds: float = 0.0
    requires_permit: bool = False
    hot_seconds: float = 0.0


@value
class LimitRecord:
    """An owner's request counts of one tenant in the last window.

    Parameters
    ----------
    ages_seconds, counts
        Ages when the message is sent and, in the same order, request counts.
    """

    tenant: str
    ages_seconds: tuple[float, ...]
    counts: tuple[int, ...]


@value
class LimitOwnersRequest(PeerMessage):
    """An owner wants to borrow quota from the other owners, or to read their counts.

    Parameters
    ----------
    request_id
        Returned in the reply.
    owners
        Digest of the set of owners in the sender's view of the store.
    wants_records
        Whether the sender, in this incarnation, lacks part of the counts of the last window.
    wants_loans, wanted
        Tenants for which the sender wants to borrow quota for a while and, in the same order, how
        much.
    """

    request_id: int
    owners: int
    wants_records: bool = False
    wants_loans: tuple[str, ...] = ()
    wanted: tuple[int, ...] = ()


@value
class LimitOwnersReply(PeerMessage):
    """Quota that an owner lends, and its counts.

    Parameters
    ----------
    lent, loans
        Tenants whose quota this owner lends for a while and, in the same order, how much.
    is_same_view
        Whether this owner can reach the store and sees the same set of owners.
    knows_window
        Whether the reply covers the last window of the tenants that both nodes own.
    unknown
        Tenants that both nodes own but for which this owner lacks part of the last window.
    records
        Counts of these windows; a tenant that is missing had no requests.
    """

    request_id: int
    lent: tuple[str, ...] = ()
    loans: tuple[int, ...] = ()
    is_same_view: bool = False
    knows_window: bool = False
    unknown: tuple[str, ...] = ()
    records: tuple[LimitRecord, ...] = ()
