"""When a node leaves and returns: least times against flapping, a most time away, its callers."""

from enum import Enum

MIN_AWAY_SECONDS = 2.0
"""Least time away. The platform asks each second and counts two misses in a row, so that a shorter
time away would move nobody."""
MAX_MIN_AWAY_SECONDS = 4.0
"""Where it has grown to at most: callers of a zone that is whole again wait no longer for it."""
MIN_READY_SECONDS = 1.0
"""Least time between a return and the next leave: callers that came back move once at most."""
FLAPPING_SECONDS = 10.0
"""A node that leaves again within this time of its return stays away twice as long."""
MAX_AWAY_SECONDS = 10.0
"""Time away after which a node takes callers for a while whatever it knows: if all zones were away
by a trouble that no rule foresaw, callers would find nobody."""
LAST_ZONE_AWAY_SECONDS = 4.0
"""The same for the zone that stays if all zones lose each other. It leaves once it has lost the
store, too, by then two to three seconds into a cut, and knows least whether others are left."""
TRIAL_SECONDS = 2.0
"""How long it takes callers then: two questions of the platform."""
CLOSING_SECONDS = 1.0
"""Time away from which on answers close their connections: before, the platform still hands new
ones to this node, and a caller would come back to it."""
IDLE_CLOSING_SECONDS = 2.0
"""Time away after which idle connections are closed: two questions have certainly been missed."""


class ConnectionClosing(Enum):
    """What a node that takes no callers does with the connections of those it has."""

    KEEP = "stay"
    CLOSE_AFTER_RESPONSE = "answers_close"
    CLOSE_IDLE = "idle_close"


class Departure:
    """Whether this node is away, and since when."""

    def __init__(self) -> None:
        self._left_at: float | None = None
        self._returned_at = float("-inf")
        self._is_trial = False
        self._least_away_seconds = MIN_AWAY_SECONDS

    @property
    def is_away(self) -> bool:
        """Whether no callers are taken."""
        return self._left_at is not None

    def away_seconds(self, now: float) -> float:
        """Return how long it has been away; 0: it is not."""
        return 0.0 if self._left_at is None else now - self._left_at

    def connection_closing(self, now: float) -> ConnectionClosing:
        """Return what becomes of callers' connections."""
        seconds = self.away_seconds(now)
        if seconds >= IDLE_CLOSING_SECONDS:
            return ConnectionClosing.CLOSE_IDLE
        return (
            ConnectionClosing.CLOSE_AFTER_RESPONSE
            if seconds >= CLOSING_SECONDS
            else ConnectionClosing.KEEP
        )

    def update(self, should_leave: bool, now: float, is_first_zone: bool = False) -> bool:
        """Leave or return if it is time to; return whether that has changed.

        Parameters
        ----------
        should_leave
            Whether this node should take no callers, by what it knows.
        is_first_zone
            Whether its zone is the one that stays if all zones lose each other.
        """
        if self._left_at is None:
            return should_leave and self._leave(now)
        away_seconds = now - self._left_at
        most_seconds = LAST_ZONE_AWAY_SECONDS if is_first_zone else MAX_AWAY_SECONDS
        is_trial = should_leave and away_seconds >= most_seconds
        if not is_trial and (should_leave or away_seconds < self._least_away_seconds):
            return False
        self._left_at = None
        self._returned_at = now
        self._is_trial = is_trial
        return True

    def _leave(self, now: float) -> bool:
        in_seconds = now - self._returned_at
        if in_seconds < (TRIAL_SECONDS if self._is_trial else MIN_READY_SECONDS):
            return False
        is_flapping = in_seconds < FLAPPING_SECONDS and not self._is_trial
        longer_seconds = min(self._least_away_seconds * 2.0, MAX_MIN_AWAY_SECONDS)
        self._least_away_seconds = longer_seconds if is_flapping else MIN_AWAY_SECONDS
        self._left_at = now
        return True
