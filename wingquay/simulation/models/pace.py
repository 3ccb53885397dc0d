"""How fast a modelled replica works at a given moment: cold, slowed down or paused."""


class Pace:
    """Slowness that concerns the whole replica rather than one piece of work.

    Parameters
    ----------
    warm_up_seconds, cold_factor
        Work begun at the start takes ``cold_factor`` times as long; the factor falls in a
        straight line to 1 over ``warm_up_seconds``.
    """

    def __init__(self, warm_up_seconds: float, cold_factor: float, started_at: float) -> None:
        self.paused_until = started_at
        """Time before which nothing makes progress."""
        self._warm_up_seconds = warm_up_seconds
        self._cold_factor = cold_factor
        self._started_at = started_at
        self._slow_factor = 1.0
        self._slow_until = started_at

    def restart(self, now: float) -> None:
        """Start again, cold."""
        self._started_at = now
        self._slow_until = now
        self.paused_until = now

    def slow_down(self, factor: float, until: float) -> None:
        """Make work that begins before ``until`` take ``factor`` times as long."""
        self._slow_factor = factor
        self._slow_until = until

    def is_cold(self, now: float) -> bool:
        """Whether the replica still warms up."""
        return now < self._started_at + self._warm_up_seconds

    def factor(self, now: float) -> float:
        """Return how many times as long work takes that begins now."""
        factor = self._slow_factor if now < self._slow_until else 1.0
        if self.is_cold(now):
            cold_share = 1.0 - (now - self._started_at) / self._warm_up_seconds
            factor *= 1.0 + (self._cold_factor - 1.0) * cold_share
        return factor
