"""Leases of the modelled store."""

from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """A lease: how long it is granted for, and when it lapses unless it is renewed."""

    lease_id: int
    time_to_live_seconds: float
    expires_at: float


class LeaseTable:
    """The leases that have not lapsed."""

    def __init__(self) -> None:
        self._leases: dict[int, Lease] = {}
        self._last_id = 0

    def grant(self, time_to_live_seconds: float, now: float) -> Lease:
        """Return a new lease."""
        self._last_id += 1
        lease = Lease(self._last_id, time_to_live_seconds, now + time_to_live_seconds)
        self._leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: int, now: float) -> Lease | None:
        """Renew a lease, or return ``None`` if it has lapsed."""
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.time_to_live_seconds
        return lease

    @property
    def ids(self) -> tuple[int, ...]:
        """The leases that have not lapsed."""
        return tuple(self._leases)

    def holds(self, lease_id: int) -> bool:
        """Whether the lease has not lapsed."""
        return lease_id in self._leases

    def remove(self, lease_id: int) -> None:
        """End a lease, if it is there."""
        self._leases.pop(lease_id, None)

    def next_expiry_at(self) -> float | None:
        """Return when the next lease lapses."""
        expiries = (lease.expires_at for lease in self._leases.values())
        return min(expiries, default=None)

    def lapsed(self, now: float) -> list[int]:
        """Return the leases that are over at ``now``."""
        return [lease.lease_id for lease in self._leases.values() if lease.expires_at <= now]
