"""The virtual clock: callbacks in the order of (time, sequence), with no waiting between them."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class VirtualClock:
    """A queue of callbacks and the present virtual time in seconds.

    Two callbacks for one instant run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.callbacks_run = 0
        self._sequence = 0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, at_seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run ``callback(*arguments)`` at ``at_seconds``, or next if that has passed."""
        instant = at_seconds if at_seconds > self.now else self.now
        self._sequence += 1
        heappush(self._queue, (instant, self._sequence, callback, arguments))

    def after(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Run ``callback(*arguments)`` in ``seconds`` from now."""
        self.at(self.now + seconds, callback, *arguments)

    def run_until(self, end_seconds: float) -> None:
        """Run every callback up to and including ``end_seconds``, then stand at that time."""
        queue = self._queue
        while queue and queue[0][0] <= end_seconds:
            instant, _, callback, arguments = heappop(queue)
            self.now = instant
            self.callbacks_run += 1
            callback(*arguments)
        self.now = max(self.now, end_seconds)
