"""How a node looks at the store so that its configuration stays proven within a bound."""

from enum import Enum

from ...model.value import value
from .configuration_proof import BOUND_RESERVE_SECONDS
from .poll_times import HELD_ANSWER_SECONDS, PollTimes


class ProofPollMode(Enum):
    """How the node that looks for its group keeps the configuration proven."""

    HELD = "held"
    """The store holds each look, but for less time: changes are heard of at once."""
    SHORT = "short"
    """The store answers each look at once: the answer proves more, so fewer looks are needed."""


MOST_TIMEOUT_SHARE = 0.2
"""Share of the bound that one look may take where the bound is short."""
MOST_TRY_SHARE = 0.3
"""Share of a short bound that is left for a look that is lost and the pause after it."""
PROVING_ANSWER_SECONDS = 0.3
"""Time for the answer to the look that follows one that was lost: a busy store takes a tenth."""
MOST_RANK_SECONDS = 0.45
"""Most time by which the looks of a group's nodes are spread."""
MOST_PROVING_HOLD_SECONDS = 1.2
"""A held look proves what was so when it began, and the next one is answered as much later."""
MOST_RESERVE_SHARE = 0.2
"""Share of a short bound that is left for such an answer, the spread and clocks."""
MOST_HOLD_SHARE = 0.4
"""Share of the time to an own look for which a look is held: two follow each other before that."""
SHORT_LOOK_SHARE = 0.67
"""Share of the time to an own look after which the node that looks for others looks: what it reads
reaches them before their own looks are due, also when one of its looks is late."""


@value
class ProofPollTimes:
    """Looks that keep the configuration proven within a bound.

    Parameters
    ----------
    bound_seconds
        Time after the store acknowledged that a key is taken away from which on it is not served.
    own_seconds
        Age of the proof at which a node looks by itself, so that a look may fail once.
    shared_poll_interval_seconds
        Least time between two looks of a node that looks for others.
    hold_seconds
        How long the store may hold a look on which nothing has changed.
    held_timeout_seconds, timeout_seconds
        Time after which a look that is held, or is not, counts as lost.
    """

    bound_seconds: float
    own_seconds: float
    shared_poll_interval_seconds: float
    hold_seconds: float
    held_timeout_seconds: float
    timeout_seconds: float


def proof_poll_times_within(
    bound_seconds: float, way: ProofPollMode, look: PollTimes, shared_poll_interval_seconds: float
) -> ProofPollTimes:
    """Return looks by which one may fail and be tried again before the bound.

    Parameters
    ----------
    way
        How the node that looks for its group does.
    look
        Times of looks without the bound, which they do not exceed.
    shared_poll_interval_seconds
        Least time between two looks of a node that looks for others without the bound.
    """
    timeout_seconds = min(
        HELD_ANSWER_SECONDS, look.timeout_seconds, bound_seconds * MOST_TIMEOUT_SHARE
    )
    try_seconds = min(timeout_seconds + look.first_backoff_seconds, bound_seconds * MOST_TRY_SHARE)
    reserve_seconds = min(
        PROVING_ANSWER_SECONDS + MOST_RANK_SECONDS + BOUND_RESERVE_SECONDS,
        bound_seconds * MOST_RESERVE_SHARE,
    )
    own_seconds = bound_seconds - try_seconds - reserve_seconds
    if way is ProofPollMode.SHORT:
        shared_seconds = own_seconds * SHORT_LOOK_SHARE
        return ProofPollTimes(
            bound_seconds, own_seconds, shared_seconds, 0.0, timeout_seconds, timeout_seconds
        )
    most_seconds = own_seconds * MOST_HOLD_SHARE
    hold_seconds = min(MOST_PROVING_HOLD_SECONDS, look.hold_seconds, most_seconds)
    return ProofPollTimes(
        bound_seconds,
        own_seconds,
        min(shared_poll_interval_seconds, most_seconds),
        hold_seconds,
        hold_seconds + timeout_seconds,
        timeout_seconds,
    )
