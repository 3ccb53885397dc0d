"""Times at which a node leaves service and returns, with limits against flapping."""

from enum import Enum

MIN_AWAY_SECONDS = 2.0
"""Minimum time out of service. The platform checks readiness once a second and needs two failures
in a row, so a shorter absence has no effect."""
MAX_FLAPPING_AWAY_SECONDS = 4.0
"""Limit up to which the minimum time doubles while the node flaps."""
MIN_READY_SECONDS = 1.0
"""Minimum time in service between a return and the next departure. Callers that came back move once
at most."""
FLAPPING_SECONDS = 10.0
"""A node that leaves again within this time of its return doubles its minimum time away."""
MAX_AWAY_SECONDS = 10.0
"""Time out of service after which a node returns for a trial whatever its decision, so that an
unforeseen failure can't take all zones out of service for good."""
FALLBACK_ZONE_AWAY_SECONDS = 4.0
"""The same for the fallback zone, which stays in service if all zones lose contact. It leaves only
once it has lost the store as well, two to three seconds into a partition, and knows least whether
others are left."""
TRIAL_SECONDS = 2.0
"""Duration of such a trial: two readiness checks of the platform."""
CLOSING_SECONDS = 1.0
"""Time out of service after which responses close their connections. Before that, the platform may
still route the caller's next connection to this node."""
IDLE_CLOSING_SECONDS = 2.0
"""Time out of service after which idle connections are closed. The platform has certainly missed
two readiness checks by then."""


class ConnectionClosing(Enum):
    """What a node that is out of service does with its callers' connections."""

    KEEP = "stay"
    CLOSE_AFTER_RESPONSE = "answers_close"
    CLOSE_IDLE = "idle_close"


class Departure:
    """Tracks whether this node is out of service, and since when."""

    def __init__(self) -> None:
        self._left_at: float | None = None
        self._returned_at = float("-inf")
        self._is_trial = False
        self._min_away_seconds = MIN_AWAY_SECONDS

    @property
    def is_away(self) -> bool:
        """Whether the node is out of service."""
        return self._left_at is not None

    def away_seconds(self, now: float) -> float:
        """Return how long the node has been out of service; 0: it is in service."""
        return 0.0 if self._left_at is None else now - self._left_at

    def connection_closing(self, now: float) -> ConnectionClosing:
        """Return how to close callers' connections."""
        seconds = self.away_seconds(now)
        if seconds >= IDLE_CLOSING_SECONDS:
            return ConnectionClosing.CLOSE_IDLE
        return (
            ConnectionClosing.CLOSE_AFTER_RESPONSE
            if seconds >= CLOSING_SECONDS
            else ConnectionClosing.KEEP
        )

    def update(self, should_leave: bool, now: float, is_fallback_zone: bool = False) -> bool:
        """Leave service or return if the time limits allow it; return whether that changed.

        Parameters
        ----------
        should_leave
            Whether the current decision requires the node to leave service.
        is_fallback_zone
            Whether this zone stays in service if all zones lose contact.
        """
        if self._left_at is None:
            return should_leave and self._leave(now)
        away_seconds = now - self._left_at
        max_seconds = FALLBACK_ZONE_AWAY_SECONDS if is_fallback_zone else MAX_AWAY_SECONDS
        is_trial = should_leave and away_seconds >= max_seconds
        if not is_trial and (should_leave or away_seconds < self._min_away_seconds):
            return False
        self._left_at = None
        self._returned_at = now
        self._is_trial = is_trial
        return True

    def _leave(self, now: float) -> bool:
        ready_seconds = now - self._returned_at
        if ready_seconds < (TRIAL_SECONDS if self._is_trial else MIN_READY_SECONDS):
            return False
        is_flapping = ready_seconds < FLAPPING_SECONDS and not self._is_trial
        doubled_seconds = min(self._min_away_seconds * 2.0, MAX_FLAPPING_AWAY_SECONDS)
        self._min_away_seconds = doubled_seconds if is_flapping else MIN_AWAY_SECONDS
        self._left_at = now
        return True
