"""Knows which requests ended replicas, and how often each of them reached replicas after that."""

from dataclasses import dataclass, field

CRASHES = 3
"""Replicas that end under a request before nodes are held to stop it."""
MOST_LATE_REQUESTS = 3
"""Attempts of its callers that may reach replicas even then."""


@dataclass(slots=True)
class CrashedUnder:
    """What a request that ends replicas has done.

    Parameters
    ----------
    ended_at
        When each replica ended under it.
    late
        Attempts of callers that reached replicas after nodes must have stopped it.
    """

    ended_at: list[float] = field(default_factory=list)
    late: set[str] = field(default_factory=set)


@dataclass(slots=True)
class CrashOracle:
    """Counts, for each request that ends replicas, what reached replicas too late.

    Parameters
    ----------
    contact_seconds
        After the third end under a request, nodes in touch must stop it within this time.
    """

    contact_seconds: float
    requests: dict[bytes, CrashedUnder] = field(default_factory=dict)
    """By target."""

    def ended(self, target: bytes, now: float) -> None:
        """Take in that a replica ended under a request."""
        self.requests.setdefault(target, CrashedUnder()).ended_at.append(now)

    def arrived(self, target: bytes, request_id: str, now: float) -> None:
        """Take in that an attempt of a caller reached a replica from a node in touch."""
        known = self.requests.get(target)
        if known is None or len(known.ended_at) < CRASHES:
            return
        if now > known.ended_at[CRASHES - 1] + self.contact_seconds:
            known.late.add(request_id)

    def violations(self) -> list[str]:
        """Return what must not have happened."""
        return [
            f"{target.decode()}: sent to replicas {len(known.late)} times more after three had "
            f"ended under it; {len(known.ended_at)} ended in all"
            for target, known in self.requests.items()
            if len(known.late) > MOST_LATE_REQUESTS
        ]
