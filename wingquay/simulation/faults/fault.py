"""What a fault is, and how its happenings are spread over a run."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from ..models.service_time import DURATION_DIGITS
from ..simulated_replica import SimulatedReplica
from ..simulation_settings import WARM_UP_SECONDS

if TYPE_CHECKING:
    from ..simulation import Simulation

MEAN_INTERVAL_SECONDS = 8.0
"""Mean time between two happenings of one fault; there is at least one a run."""


@dataclass(frozen=True)
class FaultContext:
    """What a fault works with.

    Parameters
    ----------
    random_source
        The fault's own, so that its happenings depend on the seed alone.
    share
        The number given after its name, if any.
    """

    simulation: "Simulation"
    random_source: Random
    share: float | None = None

    def moments(self, interval_seconds: float = MEAN_INTERVAL_SECONDS) -> Iterator[float]:
        """Yield the moments at which the fault happens, at least one."""
        start = WARM_UP_SECONDS
        end = self.simulation.traffic_end
        yield self.random_source.uniform(start, end)
        at_seconds = start + self._gap(interval_seconds)
        while at_seconds < end:
            yield at_seconds
            at_seconds += self._gap(interval_seconds)

    def _gap(self, mean_seconds: float) -> float:
        return round(self.random_source.expovariate(1.0 / mean_seconds), DURATION_DIGITS)

    def any_replica(self) -> SimulatedReplica:
        """Choose a replica of the first configuration."""
        return self.random_source.choice(self.simulation.backends.first_replicas)

    def at(self, at_seconds: float, happen: Callable[[], None]) -> None:
        """Let it happen at ``at_seconds`` and count it."""
        self.simulation.clock.at(at_seconds, self._happen, happen)

    def _happen(self, happen: Callable[[], None]) -> None:
        self.simulation.faults_injected += 1
        happen()

    def later(self, seconds: float, do: Callable[[], None]) -> None:
        """Do something ``seconds`` after now, such as ending what happened."""
        self.simulation.clock.after(seconds, do)


@dataclass(frozen=True)
class Fault:
    """A fault that can be asked for by name.

    Parameters
    ----------
    install
        Plans its happenings.
    takes_share
        Whether a number may follow its name.
    """

    name: str
    summary: str
    install: Callable[[FaultContext], None]
    takes_share: bool = False
