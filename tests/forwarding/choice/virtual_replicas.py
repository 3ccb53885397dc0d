"""Simulated replicas on a virtual clock, which queue, slow down, pause and lose answers."""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from wingquay.model.replica_record import ReplicaRecord
from wingquay.ports.forwarding import ReportedLoad

SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
SLOW_SHARE = 0.15


class VirtualClock:
    """Runs scheduled functions in virtual time."""

    def __init__(self) -> None:
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, seconds: float, function: Callable[[], None]) -> None:
        """Schedule a function at a time, or now if that time has passed."""
        heapq.heappush(self._due, (max(seconds, self.now), next(self._numbers), function))

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Schedule a function after a delay in seconds."""
        self.at(self.now + seconds, function)

    def run(self, seconds: float) -> None:
        """Advance the clock and run the functions that become due."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, function = heapq.heappop(self._due)
            function()
        self.now = end


@dataclass(eq=False)
class Work:
    """One request at a replica; ``done`` receives the load, or ``None`` if the answer is lost."""

    seconds: float
    done: Callable[[ReportedLoad | None], None]
    shed: Callable[[], None]
    is_cancelled: bool = False


@dataclass(eq=False)
class VirtualReplica:
    """Processes requests in its slots, and queues further ones.

    Parameters
    ----------
    speed
        Constant factor of its work times.
    is_uneven
        Whether it is slower by ``SLOW_FACTOR`` in some periods.
    queue_limit
        Number of queued requests above which it sheds.
    lost_share
        Fraction of requests that run but whose connection is reset instead of answered.
    pause_seconds, pause_every_seconds
        Duration and period of its pauses, in which no work completes.
    """

    record: ReplicaRecord
    clock: VirtualClock
    random_source: random.Random
    speed: float = 1.0
    is_uneven: bool = False
    queue_limit: int = 12
    lost_share: float = 0.0
    pause_seconds: float = 0.0
    pause_every_seconds: float = 3.0
    runs: int = 0
    _running: set[Work] = field(default_factory=set)
    _waiting: deque[Work] = field(default_factory=deque)
    _phase: float = 0.0
    _pause_phase: float = 0.0

    def __post_init__(self) -> None:
        """Draw the phases of its slow periods and pauses."""
        self._phase = self.random_source.random() * SLOW_SECONDS
        self._pause_phase = self.random_source.random() * self.pause_every_seconds

    @property
    def work_factor(self) -> float:
        """Current factor of its work times from slow periods."""
        if not self.is_uneven:
            return 1.0
        number = math.floor((self.clock.now + self._phase) / SLOW_SECONDS)
        drawn = random.Random(f"{self.record.replica_id} {number}").random()
        return SLOW_FACTOR if drawn < SLOW_SHARE else 1.0

    def arrive(self, work: Work) -> None:
        """Run, queue or shed a request."""
        if len(self._running) < self.record.slots:
            self._run(work)
        elif len(self._waiting) < self.queue_limit:
            self._waiting.append(work)
        else:
            work.shed()

    def cancel(self, work: Work) -> None:
        """Drop a request whose connection was closed."""
        work.is_cancelled = True
        if work in self._waiting:
            self._waiting.remove(work)
        if work in self._running:
            self._free(work)

    def _run(self, work: Work) -> None:
        self.runs += 1
        self._running.add(work)
        ends_at = self.clock.now + work.seconds * self.speed * self.work_factor
        if self.pause_seconds:
            ends_at += self._paused_seconds(ends_at)
        self.clock.at(ends_at, lambda: self._ended(work))

    def _paused_seconds(self, ends_at: float) -> float:
        """Return the delay of work by a pause that starts before the work ends."""
        every = self.pause_every_seconds
        begins_at = math.floor((ends_at + self._pause_phase) / every) * every - self._pause_phase
        pause_ends_at = begins_at + self.pause_seconds
        if pause_ends_at <= self.clock.now:
            return 0.0
        return pause_ends_at - max(begins_at, self.clock.now)

    def _ended(self, work: Work) -> None:
        if work.is_cancelled:
            return
        self._free(work)
        if self.random_source.random() < self.lost_share:
            work.done(None)
            return
        slots = self.record.slots
        load = ReportedLoad(len(self._running), len(self._waiting), slots, self.work_factor)
        work.done(load)

    def _free(self, work: Work) -> None:
        self._running.discard(work)
        while self._waiting and len(self._running) < self.record.slots:
            self._run(self._waiting.popleft())
