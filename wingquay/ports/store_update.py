"""Store changes that one node has read and sends to others, to save them the read."""

from ..model.value import value
from .peer_link import PeerMessage
from .store import StoredValue


@value
class StoreUpdate(PeerMessage):
    """All relevant changes between two store revisions.

    Replica records that were rewritten without a change are omitted.

    Parameters
    ----------
    from_revision
        Store revision that the changes start from. A copy that is complete up to here is complete
        up to ``store_revision`` after applying them.
    may_have_more
        Whether the store may have returned only a part of the changes.
    is_listing
        Whether ``changed`` is everything that the store holds, read after it came back from an
        older copy. ``from_revision`` is then the begin of the era.
    """

    from_revision: int
    store_revision: int
    changed: tuple[StoredValue, ...] = ()
    deleted: tuple[str, ...] = ()
    may_have_more: bool = False
    is_listing: bool = False
