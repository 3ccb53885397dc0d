"""Settings and callbacks of the store follower."""

from collections.abc import Callable

from ...model.value import value
from ...ports.machine import Action, Event
from ...ports.store import StoredValue
from ...ports.store_update import StoreUpdate
from .poll_times import DEFAULT_RECOVERY_SECONDS, PollTimes, poll_times_within
from .proof_poll_times import ProofPollTimes


@value
class PollRetryDue(Event):
    """Poll the store again after a failure."""

    read_id: str


@value
class FollowerSettings:
    """How a prefix of the store is followed.

    Parameters
    ----------
    prefix
        Keys that begin with it are followed.
    poll_interval_seconds
        Minimum time between two polls while the prefix keeps changing.
    shared_poll_interval_seconds
        The same for a node that also polls on behalf of its group; shorter, because each of its
        polls updates the whole group.
    poll_times
        Timeouts of polls and the backoff after a failed one.
    urgent_backoff_seconds
        Maximum backoff while the node waits for a particular change.
    initial_backoff_seconds
        Maximum backoff before the first listing, when the node cannot serve requests yet.
    group_listing_seconds
        How long a node waits for the listing of the first node of its group after the store came
        back from an older copy, before it reads the store itself.
    proof_poll_times
        Polls that keep the configuration proven within the revocation bound; ``None``: the platform
        states no bound.
    """

    prefix: str = ""
    poll_interval_seconds: float = 1.3
    shared_poll_interval_seconds: float = 0.8
    poll_times: PollTimes = poll_times_within(DEFAULT_RECOVERY_SECONDS)
    urgent_backoff_seconds: float = 1.0
    initial_backoff_seconds: float = 0.2
    group_listing_seconds: float = 0.4
    proof_poll_times: ProofPollTimes | None = None


@value
class FollowerHooks:
    """Callbacks from the follower to its owner.

    Parameters
    ----------
    on_listing
        Called with all items after the prefix was read as a whole.
    on_changes
        Called with the changed items and the deleted keys.
    on_failure
        Called when a poll or read of the store failed.
    on_poll
        Called with the changes that a poll of this node returned.
    shares_updates
        Returns whether this node sends store updates to other nodes.
    is_first_in_group
        Returns whether this node is the first of its group, which polls for the others.
    rank_delay_seconds
        Returns a delay that grows with this node's position in its group.
    is_sufficient
        Returns whether the current contents suffice to serve requests until the next regular poll.
    """

    on_listing: Callable[[tuple[StoredValue, ...], float], list[Action]]
    on_changes: Callable[[tuple[StoredValue, ...], tuple[str, ...], float], list[Action]]
    on_failure: Callable[[float], None]
    on_poll: Callable[[StoreUpdate], list[Action]]
    shares_updates: Callable[[], bool]
    is_first_in_group: Callable[[], bool]
    rank_delay_seconds: Callable[[], float]
    is_sufficient: Callable[[], bool]
