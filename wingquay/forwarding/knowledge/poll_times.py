"""How often a node looks at the store and how long it waits there, from the bounds it must keep."""

from ...model.value import value

GATHER_RESERVE_SECONDS = 1.7
"""Time left for a look that fails once, its answer, and requests on their way."""
LEAST_GATHER_RATIO = 0.4


def poll_interval_within(bound_seconds: float) -> float:
    """Return how often to look at the store so that its news are in force in time.

    Parameters
    ----------
    bound_seconds
        Time after the store took a change at which every node must have followed it.
    """
    return max(bound_seconds - GATHER_RESERVE_SECONDS, bound_seconds * LEAST_GATHER_RATIO)


RETURN_SECONDS = 2.0
"""Time after the store's return in which entries that lapsed meanwhile are written again."""
LOOK_SECONDS = 0.3
"""Time for the look that shows them."""
DRAIN_RESERVE_SECONDS = 0.5
"""Time left for requests that are on their way to a replica that counts as gone."""


def expiry_grace_seconds(gather_seconds: float, drain_seconds: float) -> float:
    """Return how long a replica whose record lapsed in an outage may still get work.

    That is until its record would be back and seen, but always within the time after which a
    replica that the store said is gone must get nothing more.

    Parameters
    ----------
    gather_seconds
        Time between two looks at the store.
    drain_seconds
        Time after which a replica that the store says is leaving must get nothing more.
    """
    back_seconds = RETURN_SECONDS + gather_seconds + LOOK_SECONDS
    return max(min(back_seconds, drain_seconds - DRAIN_RESERVE_SECONDS), 0.0)


DEFAULT_RECOVERY_SECONDS = 4.0
"""Time after the store's return at which bounds hold again, where the platform states none."""
CONTACT_RESERVE_SECONDS = 0.4
"""Time left, once the look after an outage begins, for its answer and requests on their way."""
MOST_HOLD_SECONDS = 3.0
"""Held for longer, looks are fewer calls, and one that is lost is noticed later."""
HELD_ANSWER_SECONDS = 1.0
"""Time for the answer to a held look to arrive: a store that is 200 times slower than usual takes
0.8 s, and looks that count as lost while it answers would have it seem out of reach."""
MOST_ANSWER_SECONDS = 1.5
"""Time for the answer to a look that the store does not hold."""
MOST_ANSWER_SHARE = 0.45
"""Share of the time after an outage that a look which is lost in it may take."""
FIRST_BACKOFF_SECONDS = 0.15
"""A look that was cut off by chance is made again soon."""
MOST_BACKOFF_SECONDS = 2.0
"""In an outage looks are priced and tell nothing."""


@value
class PollTimes:
    """How long a look at the store may take, and the pause after one that was lost.

    Parameters
    ----------
    hold_seconds
        How long the store may hold a look on which nothing has changed.
    held_timeout_seconds
        Time after which such a look counts as lost.
    timeout_seconds
        Time after which a look that is answered at once, or a reading of everything, does.
    first_backoff_seconds, most_backoff_seconds
        Pause after the first lost look, doubled each time up to the second figure.
    """

    hold_seconds: float
    held_timeout_seconds: float
    timeout_seconds: float
    first_backoff_seconds: float
    most_backoff_seconds: float


def poll_times_within(contact_seconds: float) -> PollTimes:
    """Return times by which a node looks at the store soon enough after an outage.

    A look may be lost just before the store is back. That it was lost is noticed a time-out later,
    and the next one follows after a pause: both together are over before bounds hold again. After a
    look that was lost none is held until one is answered, so that a held look is lost only if the
    outage began during it, and the first pause follows.

    Parameters
    ----------
    contact_seconds
        Time after the store's return at which a node is held to its bounds again.
    """
    within_seconds = max(contact_seconds - CONTACT_RESERVE_SECONDS, contact_seconds / 2.0)
    first_backoff_seconds = min(FIRST_BACKOFF_SECONDS, within_seconds / 4.0)
    timeout_seconds = min(MOST_ANSWER_SECONDS, within_seconds * MOST_ANSWER_SHARE)
    held_timeout_seconds = min(
        MOST_HOLD_SECONDS + HELD_ANSWER_SECONDS, within_seconds - first_backoff_seconds
    )
    return PollTimes(
        max(held_timeout_seconds - HELD_ANSWER_SECONDS, 0.0),
        held_timeout_seconds,
        timeout_seconds,
        first_backoff_seconds,
        min(MOST_BACKOFF_SECONDS, within_seconds - timeout_seconds),
    )
