"""Cost of an event loop whose clock counts suspension, by two ways to notice waking.

``python -m benchmarks.loop_clock`` prints microseconds of processor time a turn of the loop and a
use of its clock, for asyncio's own loop, for the one in use, which compares the clocks at each
turn, and for one that compares them at each use. The least of the repeats counts; they take turns.
"""

import asyncio
import time
from collections.abc import Callable

import fire

from wingquay.adapters.counting_loop import (
    LEAST_SUSPENSION_SECONDS,
    CountingLoop,
    best_clock,
)

MICROSECONDS = 1e6
Loop = asyncio.SelectorEventLoop


class LoopThatComparesAtEachUse(asyncio.SelectorEventLoop):
    """The way that was not taken."""

    def __init__(self) -> None:
        self._counting = best_clock()
        self._ahead_seconds = self._counting() - time.monotonic()
        super().__init__()

    def time(self) -> float:
        """Return the time and notice whether it went on while the steady clock stood still."""
        now = self._counting()
        ahead_seconds = now - time.monotonic()
        if ahead_seconds - self._ahead_seconds >= LEAST_SUSPENSION_SECONDS:
            self._ahead_seconds = ahead_seconds
        return now


WAYS: dict[str, Callable[[], Loop]] = {
    "asyncio's own": asyncio.SelectorEventLoop,
    "at each turn": CountingLoop,
    "at each use": LoopThatComparesAtEachUse,
}


def turn_microseconds(loop: Loop, turns: int) -> float:
    """Return the processor time of one turn of the loop with nothing to do."""

    async def go_round() -> None:
        for _ in range(turns):
            await asyncio.sleep(0)

    begun_at = time.process_time()
    loop.run_until_complete(go_round())
    return (time.process_time() - begun_at) / turns * MICROSECONDS


def use_microseconds(loop: Loop, uses: int) -> float:
    """Return the processor time of one use of the loop's clock."""
    clock = loop.time
    begun_at = time.process_time()
    for _ in range(uses):
        clock()
    return (time.process_time() - begun_at) / uses * MICROSECONDS


def measure(turns: int = 100_000, uses: int = 200_000, repeats: int = 15) -> None:
    """Print a line for each way."""
    turn_times: dict[str, list[float]] = {name: [] for name in WAYS}
    use_times: dict[str, list[float]] = {name: [] for name in WAYS}
    for _ in range(repeats):
        for name, make in WAYS.items():
            loop = make()
            turn_times[name].append(turn_microseconds(loop, turns))
            use_times[name].append(use_microseconds(loop, uses))
            loop.close()
    for name in WAYS:
        turn, use = min(turn_times[name]), min(use_times[name])
        print(f"{name:16}{turn:8.2f} us a turn{use:8.3f} us a use")


def main() -> None:
    """Run from the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
