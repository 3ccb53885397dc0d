"""Stores the requests during which replicas have crashed recently, and which of them are held."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .replica_crash import ReplicaCrash, select_independent_crashes

CRASHES_BEFORE_HOLD = 3
"""Independent crashes during a request after which it is held.

With two, an unrelated request that is in flight at two crashing replicas would be held as well."""
HOLD_SECONDS = 300.0
"""Hold period of the first hold of a request. The attempt after it ends one replica at most; an
unrelated request is released by it."""
MAX_HOLD_SECONDS = 600.0
"""Hold period after a further crash; also the maximum lease of a held request's key."""
EXPIRY_SECONDS = 600.0
"""Time after the last change or the end of the hold after which a request is removed."""
CLEARED_EXPIRY_SECONDS = 10.0
"""Time for which a cleared request is remembered, so that late reports of older crashes are
ignored."""
MAX_SUSPECTS = 512
"""Requests in the table; the least recently changed ones are evicted first. With all their crashes
they take 2.3 kB each, 1.2 MB in all."""
MAX_CRASHES = 8
"""Crashes that are stored for a request; further ones have no effect."""


class SuspicionLevel(Enum):
    """How a request may be sent, depending on the replicas that have crashed during it."""

    NORMAL = "usual"
    SUSPECT = "suspect"
    """Replicas have crashed during it and none has answered it since: one replica at a time."""
    HELD = "held"
    """It is not sent to any replica."""


@dataclass(slots=True, eq=False)
class Suspect:
    """The crashes and holds of one request.

    Parameters
    ----------
    holds
        Number of holds so far.
    """

    crashes: dict[str, ReplicaCrash] = field(default_factory=dict)
    """Independent crashes by the incarnation of the replica, so that a crash that several nodes
    report counts once."""
    held_until: float = float("-inf")
    holds: int = 0
    changed_at: float = 0.0

    def has_crashed_after_hold(self, crashes: Iterable[ReplicaCrash], now: float) -> bool:
        """Return whether one of the crashes happened in an attempt after a hold."""
        was_held = self.holds > 0 and now >= self.held_until
        return was_held and any(crash.sent_at >= self.held_until for crash in crashes)


class SuspectTable:
    """A bounded table of suspect and held requests by their identity.

    Releasing a request ends its hold, after which it is suspect. Clearing it removes it, because a
    replica has answered it without crashing.
    """

    def __init__(self) -> None:
        self._by_identity: dict[bytes, Suspect] = {}
        self._cleared: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of requests in the table."""
        return len(self._by_identity)

    def get(self, identity: bytes) -> Suspect | None:
        """Return the entry of a request; ``None`` if there is none."""
        return self._by_identity.get(identity)

    def suspicion_level(self, identity: bytes, now: float) -> SuspicionLevel:
        """Return the suspicion level of a request."""
        suspect = self._by_identity.get(identity)
        if suspect is None or self._is_expired(suspect, now):
            return SuspicionLevel.NORMAL
        return SuspicionLevel.HELD if now < suspect.held_until else SuspicionLevel.SUSPECT

    def held_seconds(self, identity: bytes, now: float) -> float:
        """Return the remaining hold period of a request; 0 if it is not held."""
        suspect = self._by_identity.get(identity)
        return 0.0 if suspect is None else max(suspect.held_until - now, 0.0)

    def count_held(self, now: float) -> int:
        """Return the number of held requests."""
        return sum(now < suspect.held_until for suspect in self._by_identity.values())

    def add(self, identity: bytes, crashes: Iterable[ReplicaCrash], now: float) -> bool:
        """Add crashes during a request; return whether its entry has changed."""
        cleared_at = self._cleared.get(identity, float("-inf"))
        previous = self._by_identity.get(identity)
        known_crashes = {} if previous is None else previous.crashes
        new_crashes = [
            crash
            for crash in crashes
            if crash.crashed_at > cleared_at and crash.incarnation not in known_crashes
        ]
        selected = select_independent_crashes([*known_crashes.values(), *new_crashes])[:MAX_CRASHES]
        crashed_after_hold = previous is not None and previous.has_crashed_after_hold(
            new_crashes, now
        )
        if len(selected) <= len(known_crashes) and not crashed_after_hold:
            return False
        suspect = self._refresh_entry(identity, now)
        suspect.crashes = {crash.incarnation: crash for crash in selected}
        if now >= suspect.held_until and (
            crashed_after_hold or len(selected) >= CRASHES_BEFORE_HOLD
        ):
            self._hold(suspect, MAX_HOLD_SECONDS if suspect.holds else HOLD_SECONDS, now)
        return True

    def hold(self, identity: bytes, seconds: float, now: float) -> bool:
        """Hold a request that another node holds; return whether it was not held before."""
        if now < self.held_until(identity):
            return False
        self._hold(self._refresh_entry(identity, now), seconds, now)
        return True

    def held_until(self, identity: bytes) -> float:
        """Return the end of the hold period; negative infinity if the request was never held."""
        suspect = self._by_identity.get(identity)
        return float("-inf") if suspect is None else suspect.held_until

    def release(self, identity: bytes, now: float) -> bool:
        """End the hold of a request, which stays suspect; return whether it was held."""
        suspect = self._by_identity.get(identity)
        if suspect is None or now >= suspect.held_until:
            return False
        suspect.held_until = now
        suspect.changed_at = now
        return True

    def clear(self, identity: bytes, now: float) -> bool:
        """Remove a request that a replica has answered; return whether it was in the table."""
        if self._by_identity.pop(identity, None) is None:
            return False
        self._cleared[identity] = now
        for old in [key for key, at in self._cleared.items() if now - at > CLEARED_EXPIRY_SECONDS]:
            del self._cleared[old]
        if len(self._cleared) > MAX_SUSPECTS:
            del self._cleared[next(iter(self._cleared))]
        return True

    @staticmethod
    def _hold(suspect: Suspect, seconds: float, now: float) -> None:
        suspect.held_until = now + seconds
        suspect.holds += 1

    def _refresh_entry(self, identity: bytes, now: float) -> Suspect:
        """Move the entry of a request to the end, or create it; evict one if the table is full."""
        suspect = self._by_identity.pop(identity, None)
        if suspect is None or self._is_expired(suspect, now):
            suspect = Suspect()
        suspect.changed_at = now
        self._by_identity[identity] = suspect
        if len(self._by_identity) > MAX_SUSPECTS:
            self._evict_one(now)
        return suspect

    def _evict_one(self, now: float) -> None:
        """Remove the least recently changed entry, preferably one that is not held."""
        not_held = (key for key, item in self._by_identity.items() if now >= item.held_until)
        oldest = next(not_held, None) or next(iter(self._by_identity))
        del self._by_identity[oldest]

    @staticmethod
    def _is_expired(suspect: Suspect, now: float) -> bool:
        return now > max(suspect.changed_at, suspect.held_until) + EXPIRY_SECONDS
