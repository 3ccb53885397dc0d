"""How a prefix of the store is followed, and what the follower tells its owner."""

from collections.abc import Callable

from ...model.value import value
from ...ports.machine import Action, Event
from ...ports.store import StoredValue
from ...ports.store_update import StoreUpdate
from .poll_times import DEFAULT_RECOVERY_SECONDS, PollTimes, poll_times_within
from .proof_poll_times import ProofPollTimes


@value
class PollRetryDue(Event):
    """Look at the store again after a failure."""

    watch_id: str


@value
class FollowerSettings:
    """How a prefix is followed.

    Parameters
    ----------
    prefix
        Keys that begin with it are followed.
    gather_seconds
        Least time between two looks at a prefix that changes all the time.
    shared_poll_interval_seconds
        The same for a node that looks for others, too: in busy times ten nodes that looked by
        themselves would see a change a third of a second after it was made, on average.
    look
        How long a look may take and the pause after one that was lost. Calls that are refused are
        priced, too.
    hurried_backoff_seconds
        Most pause while news are waited for.
    unknown_backoff_seconds
        Most pause as long as nothing at all is known: a node cannot serve before.
    proving
        The bound for keys that are taken away, and the looks that keep it; ``None``: no bound is
        stated for nodes that are out of touch.
    """

    prefix: str = ""
    poll_interval_seconds: float = 1.3
    shared_poll_interval_seconds: float = 0.8
    poll_times: PollTimes = poll_times_within(DEFAULT_RECOVERY_SECONDS)
    hurried_backoff_seconds: float = 1.0
    unknown_backoff_seconds: float = 0.2
    proof_poll_times: ProofPollTimes | None = None


@value
class FollowerHooks:
    """What the follower tells its owner.

    Parameters
    ----------
    on_listing
        Everything that is there, after it was read anew.
    on_changes
        What changed and which keys are gone.
    on_trouble
        The store could not be reached.
    on_look
        A look of its own showed changes: what was known before, and what is now.
    tells_others
        Whether other nodes are told what this one reads.
    is_first
        Whether this node is the first to look of those that tell each other what they read.
    is_enough
        Whether what is known is enough to go by until the next look is due.
    """

    on_listing: Callable[[tuple[StoredValue, ...], float], list[Action]]
    on_changes: Callable[[tuple[StoredValue, ...], tuple[str, ...], float], list[Action]]
    on_trouble: Callable[[float], None]
    on_look: Callable[[StoreUpdate, float], list[Action]]
    tells_others: Callable[[], bool]
    is_first: Callable[[], bool]
    is_enough: Callable[[], bool]
