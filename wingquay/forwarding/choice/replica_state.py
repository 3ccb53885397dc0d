"""What this node has seen of a life of a replica: attempts under way, slowness, load, failures."""

import math
from dataclasses import dataclass, field

from ...model.replica_record import ReplicaRecord
from ...ports.forwarding import ReportedLoad
from ..settings import ForwardingSettings

SLOWNESS_WEIGHT = 0.4
PAUSE_WEIGHT = 0.1
"""The same for the first slow answer of a replica that says that its work takes as long as usual:
most often it was a pause, which is over once it answers, and the way to a far replica is dear."""
SLOWNESS_MEMORY_SECONDS = 2.0
"""Time constant with which a replica's slowness is forgotten, so that it is tried again."""
SLOWNESS_TOLERANCE = 1.25
"""Slowness that counts as none: otherwise a replica once slow would never be asked again."""
GREATEST_SLOWNESS = 20.0
SLOW_RATIO = 2.5
"""Latency of an attempt, in usual latencies, from which on it counts as slow."""
TROUBLE_WEIGHT = 0.5
"""How far one attempt that failed moves the share of failing attempts."""
RELIEF_WEIGHT = 0.2
"""How far one attempt that succeeded moves it."""
TROUBLE_TOLERANCE = 0.05
TROUBLE_MEMORY_SECONDS = 4.0
TROUBLE_FACTOR = 10.0
"""Cost factor, less one, of a replica at which every attempt fails."""
LOAD_MEMORY_SECONDS = 0.1
"""Time constant with which a reported load is forgotten."""
WORK_MEMORY_SECONDS = 0.4
"""Time constant with which the reported pace of work is forgotten: replicas that share a machine
are slow for some half a second."""
OVERDUE_FACTOR = 6.0
"""Cost factor of a replica that holds an attempt beyond the time at which it is hedged."""
COLD_FACTOR = 1.6
COLD_MEMORY_SECONDS = 2.0
"""Time for which sendings to a cold replica are remembered; bounds count those of a second."""
OTHER_ZONE_FACTOR = 2.5
OWNED_OTHER_ZONE_FACTOR = 1.7
"""The same for an owner of the shard: it sends for a whole group, and groups of every zone share a
replica, so one request more at a near replica costs less than the way to a far one."""
PROVEN_SECONDS = 6.0
"""Time for which a good answer proves a replica."""
UNPROVEN_FACTOR = 1.3
"""Cost factor of a replica that has not proved itself, where a slow one cannot be made up for."""
BREAKS = 5
"""Connections that break off in a row, with no answer between them, from which a replica is left
out. One that ends two of five runs by a reset still brings three answers of five, and its shard may
have no better one; five in a row happen to it once in a hundred. One that has ended refuses the
next connection, and is left out for that."""
MOST_DOUBLINGS = 8


@dataclass(slots=True)
class ReplicaState:
    """One life of a replica as the directory and this node's own attempts show it.

    A replica that starts again has another state: what was seen of the life before says nothing of
    the new one.

    Parameters
    ----------
    revision
        The store's revision up to which its entry is known.
    vanished_at
        When its record disappeared from the directory; ``None`` while it is there.
    """

    record: ReplicaRecord
    recorded_at: float
    revision: int = 0
    vanished_at: float | None = None
    in_flight: dict[int, tuple[float, float]] = field(default_factory=dict)
    """When each attempt under way was sent and when it becomes overdue, by attempt."""
    answered_at: float = float("-inf")
    blocked_until: float = 0.0
    failures_in_row: int = 0
    is_out_of_reach: bool = False
    """Whether no connection to it came up the last time: it gets work once one does."""
    is_reach_due: bool = False
    """Whether a connection to it will be tried by itself."""
    is_superseded: bool = False
    """Whether its replica is known to have started again."""
    incarnation: str = field(init=False)
    """The name of this life."""
    _sent_cold: list[float] = field(default_factory=list)
    """When requests were sent lately while it was cold."""
    _proved_at: float = float("-inf")
    slow_in_row: int = 0
    """Slow attempts since the last usual one, each sent after the one before had ended: attempts
    that met one pause count once."""
    _slow_at: float = float("-inf")
    _slowness: float = 1.0
    _slowness_at: float = 0.0
    _trouble: float = 0.0
    _trouble_at: float = 0.0
    _load: ReportedLoad | None = None
    _load_at: float = 0.0

    def __post_init__(self) -> None:
        """Name the life once: choices compare the names of all replicas of a service."""
        self.incarnation = self.record.incarnation

    @property
    def known_slots(self) -> int:
        """Requests that it works on at a time, by its record or by its own last word."""
        reported = 0 if self._load is None else self._load.slots
        return max(1, self.record.slots, reported)

    def is_blocked(self, settings: ForwardingSettings, now: float) -> bool:
        """Whether the replica gets work only when no other can.

        That is so while it is left out, while a first attempt after that is under way, and while
        it has been silent for long.
        """
        if now < self.blocked_until or (self.blocked_until and self.in_flight):
            return True
        if self.is_out_of_reach:
            return True
        return any(
            self.is_silent_since(sent_at) and now - sent_at >= settings.unreachable_after_seconds
            for sent_at, _ in self.in_flight.values()
        )

    @property
    def is_unused(self) -> bool:
        """Whether nothing was ever sent to it or heard of it."""
        return not self.in_flight and not self.failures_in_row and self.answered_at < 0.0

    def is_cold(self, now: float) -> bool:
        """Whether it is slow from its start, or again."""
        return now - self.recorded_at < self.record.cold_seconds

    def on_sent_cold(self, now: float) -> None:
        """Take in that a request was sent while it is cold."""
        self._sent_cold = [at for at in self._sent_cold if at > now - COLD_MEMORY_SECONDS]
        self._sent_cold.append(now)

    def sent_since(self, begun_at: float) -> int:
        """Return how many requests were sent to it since a moment, while it was cold."""
        return sum(at > begun_at for at in self._sent_cold)

    def is_silent_since(self, sent_at: float) -> bool:
        """Whether it has not answered anything since an attempt was sent."""
        return self.answered_at < sent_at

    def is_overdue(self, now: float) -> bool:
        """Whether an attempt at the replica takes longer than attempts should."""
        return any(overdue_at <= now for _, overdue_at in self.in_flight.values())

    def slowness(self, now: float) -> float:
        """Return its latency in usual latencies, drawn towards 1 as time passes."""
        kept = math.exp(-(now - self._slowness_at) / SLOWNESS_MEMORY_SECONDS)
        return 1.0 + (self._slowness - 1.0) * kept

    def trouble(self, now: float) -> float:
        """Return the share of attempts that fail there, forgotten as time passes."""
        kept = math.exp(-(now - self._trouble_at) / TROUBLE_MEMORY_SECONDS)
        share = self._trouble * kept
        return share if share >= TROUBLE_TOLERANCE else 0.0

    def is_proven(self, now: float) -> bool:
        """Whether it answered lately, and well."""
        return now - self._proved_at < PROVEN_SECONDS and self._slowness < SLOWNESS_TOLERANCE

    def cost(
        self,
        now: float,
        zone: str,
        prefers_proven: bool,
        is_owned: bool = False,
        may_try: bool = True,
    ) -> float:
        """Return the expected wait at the replica, in usual latencies.

        Parameters
        ----------
        may_try
            Whether a replica that was slow may be taken for faster by now; otherwise it counts as
            slow as it was.
        prefers_proven
            Whether a replica that answered well lately goes before one of which nothing is known.
        is_owned
            Whether the nodes of a group leave the replica's service to this node.
        """
        slots = max(1, self.record.slots)
        slowness = self.slowness(now) if may_try else self._slowness
        if slowness < SLOWNESS_TOLERANCE:
            slowness = 1.0
        waiting = len(self.in_flight) + self.reported_elsewhere(now)
        cost = max(slowness, self._reported_work(now)) * (1.0 + waiting / slots)
        cost *= 1.0 + TROUBLE_FACTOR * self.trouble(now)
        if self.is_overdue(now):
            cost *= OVERDUE_FACTOR
        if self.is_cold(now):
            cost *= COLD_FACTOR
        if self.record.zone != zone:
            cost *= OWNED_OTHER_ZONE_FACTOR if is_owned else OTHER_ZONE_FACTOR
        if prefers_proven and not self.is_proven(now):
            cost *= UNPROVEN_FACTOR
        return cost

    def pace(self, now: float, may_try: bool = True) -> float:
        """Return how long work takes there, in usual times; ``may_try`` as for ``cost``."""
        slowness = self.slowness(now) if may_try else self._slowness
        return max(slowness, self._reported_work(now)) * (COLD_FACTOR if self.is_cold(now) else 1.0)

    def on_latency(self, ratio: float, sent_at: float, now: float) -> None:
        """Take in the latency of an attempt, in usual latencies."""
        ratio = min(ratio, GREATEST_SLOWNESS)
        weight = SLOWNESS_WEIGHT
        if ratio < SLOW_RATIO:
            self.slow_in_row = 0
        elif sent_at >= self._slow_at:
            self.slow_in_row += 1
            self._slow_at = now
        if self.slow_in_row == 1 and self._says_usual(now):
            weight = PAUSE_WEIGHT
        present = self.slowness(now)
        self._slowness = present + weight * (ratio - present)
        self._slowness_at = now

    def _says_usual(self, now: float) -> bool:
        """Whether it has said just now that work takes as long as usual."""
        is_fresh = self._load is not None and self._load_at == now
        return is_fresh and self._reported_work(now) < SLOWNESS_TOLERANCE

    def on_answer(self, load: ReportedLoad | None, now: float) -> bool:
        """Take in that it answered; return whether it was left out before."""
        was_left_out = self.blocked_until > 0.0
        self.answered_at = now
        self._move_trouble(0.0, RELIEF_WEIGHT, now)
        self.failures_in_row = 0
        self.blocked_until = 0.0
        self.is_out_of_reach = False
        if load is not None:
            self._load = load
            self._load_at = now
        return was_left_out

    def on_good_answer(self, now: float) -> None:
        """Take in that it answered within the objective of a route."""
        self._proved_at = now

    def on_failure(self, settings: ForwardingSettings, is_certain: bool, now: float) -> float:
        """Take in that it failed: leave it out, longer each time; return for how long (seconds).

        Parameters
        ----------
        is_certain
            Whether it was out of reach; connections that broke off count from some in a row on.
        """
        self.failures_in_row += 1
        if not self.is_out_of_reach:
            # That it is out of reach is found out by connections, and forgotten when one comes up.
            self.on_failed_attempt(now)
        first = 1 if is_certain else BREAKS
        if self.failures_in_row < first:
            return 0.0
        doublings = min(self.failures_in_row - first, MOST_DOUBLINGS)
        seconds = settings.connect_backoff_seconds * 2.0**doublings
        seconds = min(seconds, settings.connect_backoff_max_seconds)
        self.blocked_until = now + seconds
        return seconds

    def on_reached(self) -> None:
        """Take in that a connection to it came up."""
        if self.is_out_of_reach:
            self.is_out_of_reach = False
            self.blocked_until = 0.0

    def on_shed(self, settings: ForwardingSettings, now: float) -> None:
        """Take in that it refused work for its load."""
        self.answered_at = now
        self.on_failed_attempt(now)
        self.blocked_until = max(self.blocked_until, now + settings.shed_backoff_seconds)

    def on_failed_attempt(self, now: float) -> None:
        """Take in that an attempt failed there."""
        self._move_trouble(1.0, TROUBLE_WEIGHT, now)

    def _move_trouble(self, towards: float, weight: float, now: float) -> None:
        present = self.trouble(now)
        self._trouble = present + weight * (towards - present)
        self._trouble_at = now

    def reported_elsewhere(self, now: float) -> float:
        """Return the requests of other nodes that it last reported, as far as that still holds."""
        if self._load is None:
            return 0.0
        reported = self._load.running + self._load.waiting
        kept = math.exp(-(now - self._load_at) / LOAD_MEMORY_SECONDS)
        return reported * kept

    def _reported_work(self, now: float) -> float:
        """Return how long work takes there, in usual times, as far as its last word still holds."""
        if self._load is None:
            return 1.0
        kept = math.exp(-(now - self._load_at) / WORK_MEMORY_SECONDS)
        return 1.0 + (self._load.work_factor - 1.0) * kept
