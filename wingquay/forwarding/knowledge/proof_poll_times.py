"""Polls of the store that keep the configuration proven within the revocation bound."""

from enum import Enum

from ...model.value import value
from .configuration_proof import BOUND_RESERVE_SECONDS
from .poll_times import LONG_POLL_ANSWER_SECONDS, PollTimes


class ProofPollMode(Enum):
    """How the node that polls for its group keeps the configuration proven."""

    HELD = "held"
    """Long polls with a shorter hold time: changes arrive at once."""
    SHORT = "short"
    """Short polls: an answer proves the configuration as of its arrival, so polls can be further
    apart than long polls, whose answers prove it as of up to ``hold_seconds`` before."""


MAX_TIMEOUT_SHARE = 0.2
"""Maximum share of the bound for the timeout of one poll."""
MAX_RETRY_SHARE = 0.3
"""Maximum share of the bound for a failed poll and the pause after it."""
RETRY_ANSWER_SECONDS = 0.3
"""Time for the answer to the poll that follows a failed one."""
MAX_POLL_SPREAD_SECONDS = 0.45
"""Maximum time over which the polls of a group's nodes are spread."""
MAX_PROOF_HOLD_SECONDS = 1.2
"""Maximum hold time. A long poll proves the configuration as of its start, so holding it ages the
proof."""
MAX_RESERVE_SHARE = 0.2
"""Maximum share of the bound reserved for the sum of ``RETRY_ANSWER_SECONDS``,
``MAX_POLL_SPREAD_SECONDS`` and ``BOUND_RESERVE_SECONDS``."""
MAX_LONG_POLL_SHARE = 0.4
"""Maximum share of ``poll_at_age_seconds`` for the hold time and for the interval of long polls."""
SHORT_POLL_SHARE = 0.67
"""Interval of short polls as a share of ``poll_at_age_seconds``: updates then arrive before the
polls of the other nodes are due, even if one poll is late."""


@value
class ProofPollTimes:
    """Poll times that keep the configuration proven within a bound.

    Parameters
    ----------
    bound_seconds
        Time after the store acknowledged a key's revocation by which the key must be rejected.
    poll_at_age_seconds
        Age of the proof at which a node polls by itself, early enough for one retry.
    shared_poll_interval_seconds
        Minimum time between two polls of a node that polls for its group.
    hold_seconds
        How long the store may hold a poll while nothing changes.
    long_poll_timeout_seconds, timeout_seconds
        Timeouts of long and short polls.
    """

    bound_seconds: float
    poll_at_age_seconds: float
    shared_poll_interval_seconds: float
    hold_seconds: float
    long_poll_timeout_seconds: float
    timeout_seconds: float


def proof_poll_times_within(
    bound_seconds: float,
    mode: ProofPollMode,
    poll_times: PollTimes,
    shared_poll_interval_seconds: float,
) -> ProofPollTimes:
    """Return poll times by which one poll may fail and be retried before the bound.

    Parameters
    ----------
    mode
        How the node polls that polls for its group.
    poll_times
        Poll times without the bound, which are upper limits here.
    shared_poll_interval_seconds
        Minimum time between two polls of a node that polls for its group without the bound.
    """
    timeout_seconds = min(
        LONG_POLL_ANSWER_SECONDS, poll_times.timeout_seconds, bound_seconds * MAX_TIMEOUT_SHARE
    )
    retry_seconds = min(
        timeout_seconds + poll_times.first_backoff_seconds, bound_seconds * MAX_RETRY_SHARE
    )
    reserve_seconds = min(
        RETRY_ANSWER_SECONDS + MAX_POLL_SPREAD_SECONDS + BOUND_RESERVE_SECONDS,
        bound_seconds * MAX_RESERVE_SHARE,
    )
    poll_at_age_seconds = bound_seconds - retry_seconds - reserve_seconds
    if mode is ProofPollMode.SHORT:
        shared_seconds = poll_at_age_seconds * SHORT_POLL_SHARE
        return ProofPollTimes(
            bound_seconds,
            poll_at_age_seconds,
            shared_seconds,
            0.0,
            timeout_seconds,
            timeout_seconds,
        )
    max_long_poll_seconds = poll_at_age_seconds * MAX_LONG_POLL_SHARE
    hold_seconds = min(MAX_PROOF_HOLD_SECONDS, poll_times.hold_seconds, max_long_poll_seconds)
    return ProofPollTimes(
        bound_seconds,
        poll_at_age_seconds,
        min(shared_poll_interval_seconds, max_long_poll_seconds),
        hold_seconds,
        hold_seconds + timeout_seconds,
        timeout_seconds,
    )
