"""``wingquay`` with a sampling profile: where the processor time of a real node goes.

``python -m benchmarks.support.sampled_node FILE serve --settings ...`` runs the command line as
``wingquay`` does. From SIGUSR1 on, every millisecond of processor time (ITIMER_PROF) notes the
Python frame that runs; at the end FILE holds how often each function was seen, as JSON. Unlike a
tracing profiler it does not make small functions look dear.
"""

import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

import orjson

from wingquay.cli import main

SAMPLE_SECONDS = 0.001


class Sampler:
    """Counts the functions that are running, by file and name."""

    def __init__(self) -> None:
        self._seen: Counter[str] = Counter()

    def begin(self, _number: int, _frame: FrameType | None) -> None:
        """Start to sample (a signal handler)."""
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_SECONDS, SAMPLE_SECONDS)

    def sample(self, _number: int, frame: FrameType | None) -> None:
        """Note the running function (a signal handler)."""
        if frame is not None:
            self._seen[f"{frame.f_code.co_filename}:{frame.f_code.co_name}"] += 1

    def write(self, path: Path) -> None:
        """End the sampling and write what was seen."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        path.write_bytes(orjson.dumps(self._seen))


def run(output: Path, arguments: list[str]) -> None:
    """Run ``wingquay`` with ``arguments`` and leave the profile in ``output``."""
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.sample)
    signal.signal(signal.SIGUSR1, sampler.begin)
    try:
        main(arguments)
    finally:
        sampler.write(output)


if __name__ == "__main__":
    run(Path(sys.argv[1]), sys.argv[2:])
