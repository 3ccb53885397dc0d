"""The requests under which replicas have ended lately, and which of them are held back."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .replica_crash import ReplicaCrash, select_independent_crashes

CRASHES_BEFORE_HOLD = 3
"""Replicas that end one after the other under a request until it is held back.

With two, a neighbour of the request that ends them is held as well if their second tries meet."""
HOLD_SECONDS = 300.0
"""How long a request is held back for the first time. The try after that ends one replica; an
innocent request gets through with it."""
MAX_HOLD_SECONDS = 600.0
"""The same when a try after a hold ends a replica again: the longest lease of the store."""
EXPIRY_SECONDS = 600.0
"""Time after the last end, and after the end of a hold, at which a request is forgotten."""
CLEARED_EXPIRY_SECONDS = 10.0
"""Time for which it is remembered that a request was answered: news of older ends may be on their
way."""
MAX_SUSPECTS = 512
"""Requests that are remembered; those longest ago are forgotten first. With all their ends they
take 2.3 kB each, 1.2 MB in all (allocations traced)."""
MAX_CRASHES = 8
"""Ends that are remembered of a request; further ones change nothing."""


class SuspicionLevel(Enum):
    """How a request is to be treated."""

    NORMAL = "usual"
    SUSPECT = "suspect"
    """Replicas ended under it, and none has answered it since: one replica is asked at a time."""
    HELD = "held"
    """It is not sent to any replica."""


@dataclass(slots=True, eq=False)
class Suspect:
    """What is known of one request.

    Parameters
    ----------
    holds
        How many times it was held back.
    """

    crashes: dict[str, ReplicaCrash] = field(default_factory=dict)
    """Ends that came one after the other, by the life of the replica: what two nodes tell of
    one counts once."""
    held_until: float = float("-inf")
    holds: int = 0
    changed_at: float = 0.0

    def has_crashed_after_hold(self, ends: Iterable[ReplicaCrash], now: float) -> bool:
        """Whether replicas ended under it when it was tried after a hold."""
        was_held = self.holds > 0 and now >= self.held_until
        return was_held and any(end.sent_at >= self.held_until for end in ends)


class SuspectTable:
    """A table of bounded size."""

    def __init__(self) -> None:
        self._by_identity: dict[bytes, Suspect] = {}
        self._cleared: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._by_identity)

    def get(self, identity: bytes) -> Suspect | None:
        """Return what is known of a request."""
        return self._by_identity.get(identity)

    def suspicion_level(self, identity: bytes, now: float) -> SuspicionLevel:
        """Return how a request is to be treated."""
        suspect = self._by_identity.get(identity)
        if suspect is None or self._is_expired(suspect, now):
            return SuspicionLevel.NORMAL
        return SuspicionLevel.HELD if now < suspect.held_until else SuspicionLevel.SUSPECT

    def held_seconds(self, identity: bytes, now: float) -> float:
        """Return how much longer a request is held back; 0: it is not."""
        suspect = self._by_identity.get(identity)
        return 0.0 if suspect is None else max(suspect.held_until - now, 0.0)

    def count_held(self, now: float) -> int:
        """Return how many requests are held back."""
        return sum(now < suspect.held_until for suspect in self._by_identity.values())

    def add(self, identity: bytes, ends: Iterable[ReplicaCrash], now: float) -> bool:
        """Take in ends under a request; return whether more is known of it than before."""
        cleared_at = self._cleared.get(identity, float("-inf"))
        known = self._by_identity.get(identity)
        present = {} if known is None else known.crashes
        fresh = [
            end for end in ends if end.crashed_at > cleared_at and end.incarnation not in present
        ]
        separate = select_independent_crashes([*present.values(), *fresh])[:MAX_CRASHES]
        crashed_after_hold = known is not None and known.has_crashed_after_hold(fresh, now)
        if len(separate) <= len(present) and not crashed_after_hold:
            return False
        suspect = self._refresh_entry(identity, now)
        suspect.crashes = {end.incarnation: end for end in separate}
        if now >= suspect.held_until and (
            crashed_after_hold or len(separate) >= CRASHES_BEFORE_HOLD
        ):
            self._hold(suspect, MAX_HOLD_SECONDS if suspect.holds else HOLD_SECONDS, now)
        return True

    def hold(self, identity: bytes, seconds: float, now: float) -> bool:
        """Hold a request back as another node does; return whether that is news."""
        if now < self.held_until(identity):
            return False
        self._hold(self._refresh_entry(identity, now), seconds, now)
        return True

    def held_until(self, identity: bytes) -> float:
        """Return until when a request is held back."""
        suspect = self._by_identity.get(identity)
        return float("-inf") if suspect is None else suspect.held_until

    def release(self, identity: bytes, now: float) -> bool:
        """Let a request be tried again, at one replica at a time; return whether it was held."""
        suspect = self._by_identity.get(identity)
        if suspect is None or now >= suspect.held_until:
            return False
        suspect.held_until = now
        suspect.changed_at = now
        return True

    def clear(self, identity: bytes, now: float) -> bool:
        """Take in that a replica has answered a request; return whether it was suspect."""
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
        """Return a request's entry as the latest one; make one, and room for it, if need be."""
        suspect = self._by_identity.pop(identity, None)
        if suspect is None or self._is_expired(suspect, now):
            suspect = Suspect()
        suspect.changed_at = now
        self._by_identity[identity] = suspect
        if len(self._by_identity) > MAX_SUSPECTS:
            self._evict_one(now)
        return suspect

    def _evict_one(self, now: float) -> None:
        """Forget the entry that changed longest ago, one that is not held if there is any."""
        waiting = (key for key, item in self._by_identity.items() if now >= item.held_until)
        oldest = next(waiting, None) or next(iter(self._by_identity))
        del self._by_identity[oldest]

    @staticmethod
    def _is_expired(suspect: Suspect, now: float) -> bool:
        return now > max(suspect.changed_at, suspect.held_until) + EXPIRY_SECONDS
