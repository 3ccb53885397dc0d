"""What a node does when the store comes back from an older copy.

The store has then lost its latest changes and all leases, and assigns their revisions again. What
this node knows stays in force until the store's writers have written again what was lost.
"""

from ..model.store_version import StoreVersion, begin_of_era
from ..ports.machine import Action, Count, Log, LogLevel
from ..ports.store import StoreRestored
from .knowledge.node_membership import NodeMembership
from .knowledge.proof_manager import ProofManager
from .knowledge.store_follower import StoreFollower
from .store_contents import RestoredGraceOver, StoreContents

STORE = "store"
"""Source of a version that the store itself has stated."""


class StoreRestoration:
    """Passes a new era of the store to the objects whose knowledge rests on the earlier one.

    Parameters
    ----------
    follower
        Reads the store again.
    contents
        Applies the first listing with care.
    members
        Writes this node's entry again.
    proof_manager
        Accepts no proof from the store for a while.
    """

    def __init__(
        self,
        follower: StoreFollower,
        contents: StoreContents,
        members: NodeMembership,
        proof_manager: ProofManager,
    ) -> None:
        self._follower = follower
        self._contents = contents
        self._members = members
        self._proof_manager = proof_manager

    def handle(self, event: StoreRestored | RestoredGraceOver, now: float) -> list[Action]:
        """Handle the begin of a new era, or the end of the time in which keys may be missing."""
        match event:
            case StoreRestored(store_version):
                return self._on_restored(store_version, STORE, now)
            case RestoredGraceOver():
                return self._contents.remove_missing(now)

    def observe_version(
        self, store_version: int, source: str, is_listing: bool, now: float
    ) -> list[Action]:
        """Take in the version of a listing or an update, which may be the first of a new era.

        Parameters
        ----------
        source
            Where the version comes from, for the log: ``STORE`` or the id of a node.
        is_listing
            Whether a listing of that version follows at once, so that none has to be read.
        """
        if not self._follower.has_listing:
            return []
        return self._on_restored(store_version, source, now, is_listing)

    def _on_restored(
        self, store_version: int, source: str, now: float, is_listing: bool = False
    ) -> list[Action]:
        """Act if a version is of a later era than those seen before."""
        era_begin = begin_of_era(store_version)
        previous = StoreVersion(self._follower.era_begin)
        if era_begin <= previous:
            return []
        self._proof_manager.on_restored(now)
        self._contents.on_restored(now)
        fields = (
            ("era", era_begin.era),
            ("previous_era", previous.era),
            ("source", source),
            ("known_revision", StoreVersion(self._follower.known_revision or 0).revision),
        )
        return [
            Log("store_restored", LogLevel.WARNING, fields),
            Count("store_restorations_total"),
            *self._follower.on_restored(era_begin, is_listing, now),
            *self._members.on_restored(now),
        ]
