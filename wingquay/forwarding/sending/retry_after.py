"""Computes the time after which a rejected caller should retry."""

from .capacity import NEVER

MIN_RETRY_AFTER_SECONDS = 0.1
"""Shortest time after which a caller retries; earlier, the load can hardly have changed. A caller
has few tries."""
DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Time after which a caller retries when it is unknown when there will be capacity."""
MAX_RETRY_AFTER_SECONDS = 3.0
"""Longest time after which a caller retries, without jitter. Callers obey for a third of the time
that they have left, and those that wait longest have 8 s."""
JITTER_RATIO = 0.5
"""Maximum jitter as a fraction of the time; it spreads callers that were rejected together."""


def jittered_retry_after(available_in_seconds: float, draw: float) -> float:
    """Return the time in seconds after which a caller may retry.

    Parameters
    ----------
    available_in_seconds
        Time until capacity for the caller is expected; infinity: not known.
    draw
        A random number from 0 to 1.
    """
    if available_in_seconds == NEVER:
        available_in_seconds = DEFAULT_RETRY_AFTER_SECONDS
    seconds = min(max(MIN_RETRY_AFTER_SECONDS, available_in_seconds), MAX_RETRY_AFTER_SECONDS)
    return seconds * (1.0 + JITTER_RATIO * draw)
