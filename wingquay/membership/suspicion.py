"""How long a suspected node has to refute the suspicion.

Source: Lifeguard (2018), section IV-B: independent confirmations shorten the time.
"""

import math
from dataclasses import dataclass, field

from ..model.identifiers import NodeId
from .settings import MembershipSettings


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one node, which is declared dead when the suspicion expires.

    Parameters
    ----------
    started_at
        When the suspicion began (seconds).
    minimum_seconds, maximum_seconds
        Time to refute with all confirmations and with none.
    needed_confirmations
        Number of confirmations from which on the minimum applies.
    reporters
        The nodes that reported the suspicion, including the first.
    """

    started_at: float
    minimum_seconds: float
    maximum_seconds: float
    needed_confirmations: int
    reporters: list[NodeId] = field(default_factory=list)

    def confirm(self, reporter: NodeId) -> bool:
        """Record a reporter; return whether the report should be spread."""
        if reporter in self.reporters or len(self.reporters) > self.needed_confirmations:
            return False
        self.reporters.append(reporter)
        return True

    def postpone(self, seconds: float) -> None:
        """Extend the suspicion by ``seconds`` in which this node itself was suspended."""
        self.started_at += seconds

    @property
    def expires_at(self) -> float:
        """When the suspected node is declared dead (seconds)."""
        confirmations = max(0, len(self.reporters) - 1)
        if confirmations >= self.needed_confirmations:
            return self.started_at + self.minimum_seconds
        shrunk = math.log(confirmations + 1) / math.log(self.needed_confirmations + 1)
        span = self.maximum_seconds - self.minimum_seconds
        return self.started_at + self.maximum_seconds - span * shrunk


def new_suspicion(settings: MembershipSettings, node_count: int, now: float) -> Suspicion:
    """Return a suspicion that starts ``now`` in a cluster of ``node_count`` nodes."""
    scaled = settings.suspicion_factor * math.log10(max(1, node_count))
    minimum = max(
        settings.suspicion_minimum_seconds,
        scaled * settings.probe_interval_seconds,
    )
    others = max(0, node_count - 2)
    return Suspicion(
        started_at=now,
        minimum_seconds=minimum,
        maximum_seconds=minimum * settings.suspicion_spread,
        needed_confirmations=min(settings.suspicion_confirmations, others),
    )
