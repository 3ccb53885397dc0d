"""Calls to the store after it has come back from an older copy, by number of nodes.

Usage::

    python -m benchmarks.store_restoration [--nodes 10,100,300] [--seed 1]

Simulated nodes on a virtual clock: no processor time is measured. Each number of nodes is played
twice with the same seed, with and without a restoration.
"""

import random
import sys
from collections import Counter

import fire

from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulation import ForwardingSimulation

RESTORED_AT_SECONDS = 12.0
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 3.0
COUNTED_SECONDS = 10
SHARDS = 50
"""Decides the size of the groups in which nodes share what they read."""
REQUESTS_PER_SECOND = 5.0


class CallCounter:
    """Counts the calls of each second after the restoration."""

    def __init__(self, simulation: ForwardingSimulation) -> None:
        self._simulation = simulation
        self._seen: Counter[str] = Counter()
        self.by_kind: Counter[str] = Counter()
        self.by_second: list[int] = []

    def begin(self) -> None:
        """Count from now on."""
        self._seen = self._calls()
        for second in range(1, COUNTED_SECONDS + 1):
            self._simulation.clock.after(float(second), self._count_second)

    def _count_second(self) -> None:
        calls = self._calls()
        added = calls - self._seen
        self._seen = calls
        self.by_kind += added
        self.by_second.append(added.total())

    def _calls(self) -> Counter[str]:
        return Counter(self._simulation.store.calls)


def count_calls(nodes: int, seed: int, is_restored: bool) -> CallCounter:
    """Play one run and return its calls."""
    settings = SimulationSettings(
        nodes=nodes,
        shards=SHARDS,
        seconds=RESTORED_AT_SECONDS + AWAY_SECONDS + COUNTED_SECONDS + 2.0,
        requests_per_second=REQUESTS_PER_SECOND,
    )
    simulation = ForwardingSimulation(seed, settings, ())
    counter = CallCounter(simulation)
    chance = random.Random(seed)
    if is_restored:
        simulation.clock.at(
            RESTORED_AT_SECONDS, simulation.restore_store, AWAY_SECONDS, COPY_AGE_SECONDS, chance
        )
    simulation.clock.at(RESTORED_AT_SECONDS + AWAY_SECONDS, counter.begin)
    result = simulation.run()
    for violation in result.violations:
        print(f"broken: {violation}", file=sys.stderr)
    return counter


def run(nodes: tuple[int, ...] | int = (10, 100, 300), seed: int = 1) -> None:
    """Print the calls of the ten seconds after the store's return."""
    for number in (nodes,) if isinstance(nodes, int) else nodes:
        for is_restored in (False, True):
            counter = count_calls(number, seed, is_restored)
            kinds = " ".join(f"{kind}={count}" for kind, count in sorted(counter.by_kind.items()))
            print(
                f"nodes={number} restored={int(is_restored)} calls={counter.by_kind.total()} "
                f"most_in_a_second={max(counter.by_second)} {kinds}"
            )


def main() -> None:
    """Run from the command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
