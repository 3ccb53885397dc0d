"""Poll intervals, hold times and timeouts derived from the bounds that a node must keep."""

from ...model.value import value

POLL_RESERVE_SECONDS = 1.7
"""Time left for one failed poll, the answer to the next, and requests under way."""
MIN_POLL_INTERVAL_RATIO = 0.4


def poll_interval_within(bound_seconds: float) -> float:
    """Return the poll interval that applies changes of the store within a bound.

    Parameters
    ----------
    bound_seconds
        Time after the store acknowledged a change by which every node must have applied it.
    """
    return max(bound_seconds - POLL_RESERVE_SECONDS, bound_seconds * MIN_POLL_INTERVAL_RATIO)


REWRITE_SECONDS = 2.0
"""Time after a store outage within which replicas write their expired entries again."""
POLL_SECONDS = 0.3
"""Time for the poll that returns these entries."""
IN_FLIGHT_RESERVE_SECONDS = 0.5
"""Time left for requests under way to a replica that counts as gone."""


def expiry_grace_seconds(poll_interval_seconds: float, drain_seconds: float) -> float:
    """Return how long a replica whose entry expired in a store outage may still receive requests.

    The period lasts until the replica should have written its entry again and this node has read
    it, but at most ``drain_seconds`` less a reserve.

    Parameters
    ----------
    poll_interval_seconds
        Time between two polls of the store.
    drain_seconds
        Time after which a replica that the store reports as leaving must receive no more requests.
    """
    rewritten_seconds = REWRITE_SECONDS + poll_interval_seconds + POLL_SECONDS
    return max(min(rewritten_seconds, drain_seconds - IN_FLIGHT_RESERVE_SECONDS), 0.0)


DEFAULT_RECOVERY_SECONDS = 4.0
"""Default for the time after a store outage at which the bounds apply again."""
RECOVERY_RESERVE_SECONDS = 0.4
"""Time left for the answer to the first poll after an outage and for requests under way."""
MAX_HOLD_SECONDS = 3.0
"""Maximum hold time of a long poll; a longer one saves calls but detects failures later."""
LONG_POLL_ANSWER_SECONDS = 1.0
"""Time for the answer of a long poll to arrive after the hold time; allows for a slow store. A
store that is 200 times slower than usual takes 0.8 s, and must not seem unreachable."""
MAX_ANSWER_SECONDS = 1.5
"""Maximum timeout of a poll that the store answers at once."""
MAX_ANSWER_SHARE = 0.45
"""Maximum share of the recovery time that a poll which fails in an outage may use."""
FIRST_BACKOFF_SECONDS = 0.15
"""Pause after the first failed poll."""
MAX_BACKOFF_SECONDS = 2.0
"""Maximum pause after a failed poll; failed calls are charged, too."""


@value
class PollTimes:
    """Timeouts of polls and the backoff after a failed one.

    Parameters
    ----------
    hold_seconds
        How long the store may hold a poll while nothing changes.
    long_poll_timeout_seconds
        Timeout of such a poll.
    timeout_seconds
        Timeout of a poll or read that is answered at once.
    first_backoff_seconds, max_backoff_seconds
        Pause after the first failed poll, and the maximum up to which it doubles.
    """

    hold_seconds: float
    long_poll_timeout_seconds: float
    timeout_seconds: float
    first_backoff_seconds: float
    max_backoff_seconds: float


def poll_times_within(recovery_seconds: float) -> PollTimes:
    """Return poll times with which a node meets its bounds again in time after a store outage.

    A poll may fail just before the outage ends. Its timeout and the backoff must both be over
    within the recovery time. After a failed poll only short polls are used until one is answered,
    so only the poll during which the outage began can be a long one: its timeout plus the first
    backoff must fit into the recovery time.

    Parameters
    ----------
    recovery_seconds
        Time after the end of an outage at which the bounds apply to a node again.
    """
    within_seconds = max(recovery_seconds - RECOVERY_RESERVE_SECONDS, recovery_seconds / 2.0)
    first_backoff_seconds = min(FIRST_BACKOFF_SECONDS, within_seconds / 4.0)
    timeout_seconds = min(MAX_ANSWER_SECONDS, within_seconds * MAX_ANSWER_SHARE)
    long_poll_timeout_seconds = min(
        MAX_HOLD_SECONDS + LONG_POLL_ANSWER_SECONDS, within_seconds - first_backoff_seconds
    )
    return PollTimes(
        max(long_poll_timeout_seconds - LONG_POLL_ANSWER_SECONDS, 0.0),
        long_poll_timeout_seconds,
        timeout_seconds,
        first_backoff_seconds,
        min(MAX_BACKOFF_SECONDS, within_seconds - timeout_seconds),
    )
