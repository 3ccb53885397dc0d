"""When a caller that was rejected is told to come back."""

from .room import NEVER

MIN_RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a caller comes back at the earliest: sooner, a node that has no room is asked
again before anything can have changed, and the caller has few tries."""
UNKNOWN_RETURN_SECONDS = 1.0
"""Seconds after which a caller may come back if no room is known of: another node may have some."""
MOST_RETURN_SECONDS = 3.0
"""Seconds after which a caller may come back if room is known to come later: callers obey for a
third of the time that they have left, and those that wait longest have 8 s."""
SPREAD_RATIO = 0.5
"""Part of the time to come back by which callers that were rejected together are spread: their room
comes free one after the other, and a caller that comes later by that is still better off than one
that is rejected again."""


def jittered_retry_after(room_seconds: float, draw: float) -> float:
    """Return after which time a caller may come back.

    Parameters
    ----------
    room_seconds
        Time until there will be room for it; infinity: not known.
    draw
        A random number from 0 to 1.
    """
    if room_seconds == NEVER:
        room_seconds = UNKNOWN_RETURN_SECONDS
    seconds = min(max(MIN_RETRY_AFTER_SECONDS, room_seconds), MOST_RETURN_SECONDS)
    return seconds * (1.0 + SPREAD_RATIO * draw)
