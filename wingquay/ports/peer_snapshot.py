"""The port by which a node that cannot reach the store learns from another node what is there."""

from ..model.value import value
from .machine import Action, Event
from .store import StoredValue


@value
class RequestPeerSnapshot(Action):
    """Ask other nodes for what they know of the store; an answer may or may not come."""


@value
class PeerSnapshot(Event):
    """What another node knows of the store.

    Parameters
    ----------
    store_revision
        The store's revision up to which the other node knew everything.
    """

    values: tuple[StoredValue, ...]
    store_revision: int
