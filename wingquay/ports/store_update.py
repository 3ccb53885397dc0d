"""What a node has just read of the store, for the nodes that would read the same."""

from ..model.value import value
from .peer_link import PeerMessage
from .store import StoredValue


@value
class StoreUpdate(PeerMessage):
    """Everything that changed between two revisions of the store, as far as it matters.

    Left out are replicas' entries that were only written again.

    Parameters
    ----------
    from_revision
        Whoever knows the store up to here knows it up to ``store_revision`` with these changes.
    age_seconds
        How late the sender is with its work: the store may have said it as long ago as that.
    may_have_more
        Whether the store may have told the sender only a part of what had changed by then.
    """

    from_revision: int
    store_revision: int
    changed: tuple[StoredValue, ...] = ()
    deleted: tuple[str, ...] = ()
    age_seconds: float = 0.0
    may_have_more: bool = False
