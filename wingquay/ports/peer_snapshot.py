"""Reading the store's contents from another node when the store is unreachable."""

from ..model.value import value
from .machine import Action, Event
from .store import StoredValue


@value
class RequestPeerSnapshot(Action):
    """Request the store's contents from other nodes; a ``PeerSnapshot`` may follow or not."""


@value
class PeerSnapshot(Event):
    """The store's contents as held by another node.

    Parameters
    ----------
    store_revision
        Store revision up to which the contents are complete.
    """

    values: tuple[StoredValue, ...]
    store_revision: int
