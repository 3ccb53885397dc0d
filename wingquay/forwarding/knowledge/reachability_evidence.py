"""Recent failures of replicas and nodes, as evidence of unreachable zones.

The failures come from regular traffic. Enough of them start an explicit reachability check.
"""

MIN_FAILED_TARGETS = 2
"""Failed targets that start a reachability check; a single one is probably a crash."""
FAILURE_MEMORY_SECONDS = 1.0
"""Time for which a failure counts."""


class ReachabilityEvidence:
    """The targets that failed since the last answer of their zone."""

    def __init__(self) -> None:
        self._failed: dict[tuple[str, str], float] = {}
        self._is_checking = False
        self._answered: set[str] = set()
        """Zones that answered since the current check began."""

    def record_failure(self, zone: str, target: str, now: float) -> None:
        """Record that a replica or node did not answer or could not be reached."""
        self._failed[zone, target] = now

    def record_answer(self, zone: str) -> None:
        """Record an answer from a zone."""
        if self._is_checking:
            self._answered.add(zone)
        if self._failed:
            self._failed = {key: at for key, at in self._failed.items() if key[0] != zone}

    def begin_check(self) -> None:
        """Reset the evidence at the start of a reachability check."""
        self._is_checking = True
        self._failed.clear()
        self._answered.clear()

    def end_check(self) -> None:
        """Reset the evidence at the end of a reachability check."""
        self._is_checking = False
        self._failed.clear()
        self._answered.clear()

    def take_answered_zones(self) -> list[str]:
        """Return and clear the zones that answered during the current check."""
        answered, self._answered = sorted(self._answered), set()
        return answered

    def suggests_outage(self, now: float) -> bool:
        """Whether enough recent targets failed that a zone may be unreachable."""
        if len(self._failed) < MIN_FAILED_TARGETS:
            return False
        self._failed = {
            key: at for key, at in self._failed.items() if now - at < FAILURE_MEMORY_SECONDS
        }
        return len(self._failed) >= MIN_FAILED_TARGETS
