"""The simulated network: latency, loss, duplication, reordering and cuts, one way or both.

Places are zones, plus two that stand for the callers' network and for the platform.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from .deployment_profile import DeploymentProfile
from .virtual_clock import VirtualClock

CLIENTS = "clients"
PLATFORM = "platform"
JITTER_SHARE = 0.1
"""A message takes its latency and up to this share more."""
DATAGRAM_DELAY_SECONDS = 0.05
"""The most that a reordered datagram is held back."""


class Network:
    """Carries callbacks between places.

    Parameters
    ----------
    random_source
        For jitter and the fates of messages.
    """

    def __init__(
        self, profile: DeploymentProfile, clock: VirtualClock, random_source: Random
    ) -> None:
        self.datagram_loss_share = 0.0
        self.datagram_duplicate_share = 0.0
        self.datagram_reorder_share = 0.0
        self._profile = profile
        self._clock = clock
        self._random = random_source
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._extra_seconds: dict[tuple[str, str], float] = {}
        self._base_of: dict[tuple[str, str], float] = {}

    def one_way_seconds(self, source: str, destination: str) -> float:
        """Draw how long a message takes."""
        base_seconds = self._base_of.get((source, destination))
        if base_seconds is None:
            base_seconds = self._base_seconds(source, destination)
            self._base_of[source, destination] = base_seconds
        seconds = base_seconds * (1.0 + JITTER_SHARE * self._random.random())
        if self._extra_seconds:
            seconds += self._extra_seconds.get((source, destination), 0.0)
        return seconds

    def slow_down(self, source: str, destination: str, extra_seconds: float) -> None:
        """Let messages from ``source`` to ``destination`` take so much longer from now on."""
        self._extra_seconds[source, destination] = extra_seconds

    def speed_up(self, source: str, destination: str) -> None:
        """Take a ``slow_down`` back."""
        self._extra_seconds.pop((source, destination), None)

    def _base_seconds(self, source: str, destination: str) -> float:
        if CLIENTS in (source, destination):
            return self._profile.client_seconds
        if source == destination:
            return self._profile.same_zone_seconds
        return self._profile.between_zones_seconds

    def reaches(self, source: str, destination: str) -> bool:
        """Whether messages from ``source`` get to ``destination`` now."""
        return not self._cuts.get((source, destination))

    def cut(self, source: str, destination: str) -> None:
        """Begin to lose everything from ``source`` to ``destination``; cuts add up."""
        self._cuts[source, destination] += 1

    def heal(self, source: str, destination: str) -> None:
        """Take one cut back."""
        self._cuts[source, destination] -= 1

    def cut_off(self, zone: str, others: Iterable[str]) -> None:
        """Cut ``zone`` off from ``others``, both ways."""
        for other in others:
            self.cut(zone, other)
            self.cut(other, zone)

    def rejoin(self, zone: str, others: Iterable[str]) -> None:
        """Take a ``cut_off`` back."""
        for other in others:
            self.heal(zone, other)
            self.heal(other, zone)

    def send(
        self, source: str, destination: str, deliver: Callable[..., None], *arguments: Any
    ) -> bool:
        """Deliver after the latency; return ``False`` if the message is lost in a cut."""
        if self._cuts.get((source, destination)):
            return False
        self._clock.after(self.one_way_seconds(source, destination), deliver, *arguments)
        return True

    def send_datagram(
        self, source: str, destination: str, deliver: Callable[..., None], *arguments: Any
    ) -> None:
        """Deliver once, twice, late or never."""
        if self._cuts[source, destination]:
            return
        draw = self._random.random
        if draw() < self.datagram_loss_share:
            return
        copies = 2 if draw() < self.datagram_duplicate_share else 1
        for _ in range(copies):
            seconds = self.one_way_seconds(source, destination)
            if draw() < self.datagram_reorder_share:
                seconds += draw() * DATAGRAM_DELAY_SECONDS
            self._clock.after(seconds, deliver, *arguments)
