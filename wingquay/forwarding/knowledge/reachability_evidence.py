"""Which replicas and nodes have just failed without a word of their zone since.

What requests show is taken in here for nothing: it decides when it is worth checking whether zones
are out of reach.
"""

DOUBTFUL_TARGETS = 2
"""Replicas and nodes out of reach from which on a zone may be: one is a crash, as happens daily."""
MEMORY_SECONDS = 1.0
"""Time for which a failure counts: a cut shows itself by the first requests after it, and a busy
node sees several within a tenth of a second."""


class ReachabilityEvidence:
    """Failures since the last answer of their zone."""

    def __init__(self) -> None:
        self._failed: dict[tuple[str, str], float] = {}
        self._is_looked_into = False
        self._answered: set[str] = set()
        """Zones that answered since it is being looked into."""

    def record_failure(self, zone: str, target: str, now: float) -> None:
        """Take in that a replica or a node did not answer or could not be reached."""
        self._failed[zone, target] = now

    def record_answer(self, zone: str) -> None:
        """Take in that something of a zone answered."""
        if self._is_looked_into:
            self._answered.add(zone)
        if self._failed:
            self._failed = {key: at for key, at in self._failed.items() if key[0] != zone}

    def begin(self) -> None:
        """Take in that it is being looked into what is in reach."""
        self._is_looked_into = True
        self._failed.clear()
        self._answered.clear()

    def end(self) -> None:
        """Take in that it has been looked into."""
        self._is_looked_into = False
        self._failed.clear()
        self._answered.clear()

    def take_answered(self) -> list[str]:
        """Return the zones that answered lately while it was being looked into."""
        answered, self._answered = sorted(self._answered), set()
        return answered

    def suggests_outage(self, now: float) -> bool:
        """Whether enough failed lately that zones may be out of reach."""
        if len(self._failed) < DOUBTFUL_TARGETS:
            return False
        self._failed = {key: at for key, at in self._failed.items() if now - at < MEMORY_SECONDS}
        return len(self._failed) >= DOUBTFUL_TARGETS
