"""State that this node keeps of a replica: attempts in flight, slowdown, load and failures."""

import math
from dataclasses import dataclass, field

from ...model.replica_record import ReplicaRecord
from ...ports.forwarding import ReportedLoad
from ..settings import ForwardingSettings

SLOWDOWN_WEIGHT = 0.4
"""EWMA weight of a new latency sample in the slowdown."""
PAUSE_WEIGHT = 0.1
"""EWMA weight of the first slow sample of a replica that reports typical work times: it is probably
a pause that is already over."""
SLOWDOWN_MEMORY_SECONDS = 2.0
"""Time constant with which the measured slowdown decays, so that the replica is tried again."""
MIN_COUNTED_SLOWDOWN = 1.25
"""Slowdown below which a replica counts as not slow, so that it recovers fully."""
MAX_SLOWDOWN = 20.0
SLOW_ATTEMPT_RATIO = 2.5
"""Latency of an attempt, relative to the median, from which on it extends the slow streak."""
FAILURE_WEIGHT = 0.5
"""EWMA weight of a failed attempt in the failure rate."""
SUCCESS_WEIGHT = 0.2
"""EWMA weight of a successful attempt in the failure rate."""
FAILURE_RATE_TOLERANCE = 0.05
"""Failure rate below which a replica counts as not failing."""
FAILURE_MEMORY_SECONDS = 4.0
"""Time constant with which the failure rate decays."""
FAILURE_FACTOR = 10.0
"""Increase of the cost, as a factor, of a replica at which every attempt fails."""
LOAD_MEMORY_SECONDS = 0.1
"""Time constant with which a reported load decays."""
REPORTED_SLOWDOWN_MEMORY_SECONDS = 0.4
"""Time constant with which the reported slowdown decays. Replicas that share a machine are slow for
some half a second at a time."""
OVERDUE_FACTOR = 6.0
"""Cost factor of a replica with an overdue attempt."""
COLD_FACTOR = 1.6
"""Cost factor of a cold replica."""
COLD_MEMORY_SECONDS = 2.0
"""Time for which requests sent to a cold replica are remembered; limits are per second."""
OTHER_ZONE_FACTOR = 2.5
"""Cost factor of a replica in another zone."""
OWNED_OTHER_ZONE_FACTOR = 1.7
"""Cost factor of a replica in another zone when this node owns the shard. It is lower because
owners in all zones share the replicas, so that load matters more than the network round trip."""
RELIABLE_SECONDS = 6.0
"""Time for which a replica counts as reliable after an answer within the objective."""
UNRELIABLE_FACTOR = 1.3
"""Cost factor of a replica that isn't reliable, where reliable ones are preferred."""
MIN_BROKEN_CONNECTIONS = 5
"""Consecutive broken connections after which a replica is blocked. A replica that resets some of
its connections still answers most requests, so a few are tolerated; a crashed replica refuses the
next connection and is blocked for that. A replica that resets two of five connections breaks five
in a row once in a hundred times."""
MAX_DOUBLINGS = 8
"""Maximum number of times that the backoff is doubled."""


@dataclass(slots=True)
class ReplicaState:
    """State of one incarnation of a replica, from its record and this node's attempts.

    A replica that restarts gets a new state: measurements of an incarnation don't apply to the
    next one.

    Parameters
    ----------
    recorded_at
        When the record arrived that states the current ``cold_seconds``.
    revision
        The store's revision up to which the record is applied.
    vanished_at
        When the record was deleted from the store; ``None`` while it exists.
    """

    record: ReplicaRecord
    recorded_at: float
    revision: int = 0
    vanished_at: float | None = None
    in_flight: dict[int, tuple[float, float]] = field(default_factory=dict)
    """Time sent and time at which it becomes overdue of each attempt in flight, by attempt id."""
    answered_at: float = float("-inf")
    """Time of the last answer; minus infinity: none yet."""
    blocked_until: float = 0.0
    """End of the last backoff; 0: no backoff since the last answer or reconnection."""
    failures_in_row: int = 0
    """Consecutive failures to connect or to get an answer."""
    is_unreachable: bool = False
    """Whether the last connection attempt failed; the replica is blocked until one succeeds."""
    is_reconnect_scheduled: bool = False
    """Whether a connection attempt without a request is scheduled."""
    is_superseded: bool = False
    """Whether the replica has restarted, so that a newer incarnation replaces this one."""
    incarnation: str = field(init=False)
    """Name of this incarnation, unique among all replicas."""
    _cold_sends: list[float] = field(default_factory=list)
    """Times of recent requests that were sent while the replica was cold."""
    _in_time_at: float = float("-inf")
    """Time of the last answer within the objective of its route."""
    slow_streak: int = 0
    """Consecutive slow attempts. An attempt that was sent before the previous slow one ended is not
    counted, so that a single pause counts once."""
    _slow_at: float = float("-inf")
    _slowdown: float = 1.0
    _slowdown_at: float = 0.0
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0
    _load: ReportedLoad | None = None
    _load_at: float = 0.0

    def __post_init__(self) -> None:
        """Store the name of the incarnation, which is compared at every choice of a replica."""
        self.incarnation = self.record.incarnation

    @property
    def known_slots(self) -> int:
        """Requests that the replica processes concurrently, from its record or its last report."""
        reported = 0 if self._load is None else self._load.slots
        return max(1, self.record.slots, reported)

    def is_blocked(self, settings: ForwardingSettings, now: float) -> bool:
        """Whether the replica receives requests only when no other replica can.

        A replica is blocked during its backoff, while a first attempt after the backoff is in
        flight, while it is unreachable, and when it hasn't answered for a long time.
        """
        if now < self.blocked_until or (self.blocked_until and self.in_flight):
            return True
        if self.is_unreachable:
            return True
        return any(
            self.is_silent_since(sent_at) and now - sent_at >= settings.unreachable_after_seconds
            for sent_at, _ in self.in_flight.values()
        )

    @property
    def is_unused(self) -> bool:
        """Whether this node has had no contact with the replica yet."""
        return not self.in_flight and not self.failures_in_row and self.answered_at < 0.0

    def is_cold(self, now: float) -> bool:
        """Whether the replica is within the cold period that its record states."""
        return now - self.recorded_at < self.record.cold_seconds

    def on_cold_send(self, now: float) -> None:
        """Record that a request was sent while the replica is cold."""
        self._cold_sends = [at for at in self._cold_sends if at > now - COLD_MEMORY_SECONDS]
        self._cold_sends.append(now)

    def cold_sends_since(self, since: float) -> int:
        """Return the number of requests sent since a moment while the replica was cold."""
        return sum(at > since for at in self._cold_sends)

    def is_silent_since(self, sent_at: float) -> bool:
        """Whether the replica has sent no answer since a moment."""
        return self.answered_at < sent_at

    def is_overdue(self, now: float) -> bool:
        """Whether an attempt at the replica has exceeded its hedge delay."""
        return any(overdue_at <= now for _, overdue_at in self.in_flight.values())

    def slowdown(self, now: float) -> float:
        """Return the measured latency relative to the median, decayed towards 1."""
        decay = math.exp(-(now - self._slowdown_at) / SLOWDOWN_MEMORY_SECONDS)
        return 1.0 + (self._slowdown - 1.0) * decay

    def failure_rate(self, now: float) -> float:
        """Return the fraction of attempts that fail, 0 to 1, decayed towards 0."""
        decay = math.exp(-(now - self._failure_rate_at) / FAILURE_MEMORY_SECONDS)
        share = self._failure_rate * decay
        return share if share >= FAILURE_RATE_TOLERANCE else 0.0

    def is_reliable(self, now: float) -> bool:
        """Whether the replica recently answered within the objective and isn't slow."""
        return now - self._in_time_at < RELIABLE_SECONDS and self._slowdown < MIN_COUNTED_SLOWDOWN

    def cost(
        self,
        now: float,
        zone: str,
        prefers_reliable: bool,
        is_owned: bool = False,
        is_trial_allowed: bool = True,
    ) -> float:
        """Return the expected response time relative to the median, times penalty factors.

        Parameters
        ----------
        zone
            The zone of this node.
        is_trial_allowed
            Whether the replica may be tried if it was slow; if so, its measured slowdown decays.
        prefers_reliable
            Whether to prefer reliable replicas over the others.
        is_owned
            Whether this node owns the replica's service on behalf of a group of nodes.
        """
        slots = max(1, self.record.slots)
        slowdown = self.slowdown(now) if is_trial_allowed else self._slowdown
        if slowdown < MIN_COUNTED_SLOWDOWN:
            slowdown = 1.0
        outstanding = len(self.in_flight) + self.reported_requests(now)
        cost = max(slowdown, self._reported_slowdown(now)) * (1.0 + outstanding / slots)
        cost *= 1.0 + FAILURE_FACTOR * self.failure_rate(now)
        if self.is_overdue(now):
            cost *= OVERDUE_FACTOR
        if self.is_cold(now):
            cost *= COLD_FACTOR
        if self.record.zone != zone:
            cost *= OWNED_OTHER_ZONE_FACTOR if is_owned else OTHER_ZONE_FACTOR
        if prefers_reliable and not self.is_reliable(now):
            cost *= UNRELIABLE_FACTOR
        return cost

    def expected_slowdown(self, now: float, is_trial_allowed: bool = True) -> float:
        """Return the expected work time relative to the median.

        Parameters
        ----------
        is_trial_allowed
            As for ``cost``.
        """
        slowdown = self.slowdown(now) if is_trial_allowed else self._slowdown
        return max(slowdown, self._reported_slowdown(now)) * (
            COLD_FACTOR if self.is_cold(now) else 1.0
        )

    def on_latency(self, ratio: float, sent_at: float, now: float) -> None:
        """Record the latency of an attempt, relative to the median latency of its route."""
        ratio = min(ratio, MAX_SLOWDOWN)
        weight = SLOWDOWN_WEIGHT
        if ratio < SLOW_ATTEMPT_RATIO:
            self.slow_streak = 0
        elif sent_at >= self._slow_at:
            self.slow_streak += 1
            self._slow_at = now
        if self.slow_streak == 1 and self._reports_typical_latency(now):
            weight = PAUSE_WEIGHT
        current = self.slowdown(now)
        self._slowdown = current + weight * (ratio - current)
        self._slowdown_at = now

    def _reports_typical_latency(self, now: float) -> bool:
        """Whether the replica has just reported that its work times are typical."""
        is_fresh = self._load is not None and self._load_at == now
        return is_fresh and self._reported_slowdown(now) < MIN_COUNTED_SLOWDOWN

    def on_answer(self, load: ReportedLoad | None, now: float) -> bool:
        """Record an answer and reset the backoff; return whether one was set (even if over)."""
        was_blocked = self.blocked_until > 0.0
        self.answered_at = now
        self._update_failure_rate(0.0, SUCCESS_WEIGHT, now)
        self.failures_in_row = 0
        self.blocked_until = 0.0
        self.is_unreachable = False
        if load is not None:
            self._load = load
            self._load_at = now
        return was_blocked

    def on_answer_in_time(self, now: float) -> None:
        """Record an answer within the objective of its route."""
        self._in_time_at = now

    def on_connection_failure(
        self, settings: ForwardingSettings, blocks_at_once: bool, now: float
    ) -> float:
        """Record a failure to connect or to answer; return the backoff in seconds, 0 for none.

        The backoff doubles with each consecutive failure.

        Parameters
        ----------
        blocks_at_once
            Whether a single failure leads to a backoff, as for an unreachable or silent replica;
            otherwise only ``MIN_BROKEN_CONNECTIONS`` in a row do.
        """
        self.failures_in_row += 1
        if not self.is_unreachable:
            # Reachability is tracked separately and reset when a connection succeeds.
            self.on_failed_attempt(now)
        first = 1 if blocks_at_once else MIN_BROKEN_CONNECTIONS
        if self.failures_in_row < first:
            return 0.0
        doublings = min(self.failures_in_row - first, MAX_DOUBLINGS)
        seconds = settings.connect_backoff_seconds * 2.0**doublings
        seconds = min(seconds, settings.connect_backoff_max_seconds)
        self.blocked_until = now + seconds
        return seconds

    def on_connected(self) -> None:
        """Record a successful connection, which ends the backoff of an unreachable replica."""
        if self.is_unreachable:
            self.is_unreachable = False
            self.blocked_until = 0.0

    def on_shed(self, settings: ForwardingSettings, now: float) -> None:
        """Record that the replica refused a request because of overload, and back off."""
        self.answered_at = now
        self.on_failed_attempt(now)
        self.blocked_until = max(self.blocked_until, now + settings.shed_backoff_seconds)

    def on_failed_attempt(self, now: float) -> None:
        """Record a failed attempt in the failure rate."""
        self._update_failure_rate(1.0, FAILURE_WEIGHT, now)

    def _update_failure_rate(self, sample: float, weight: float, now: float) -> None:
        current = self.failure_rate(now)
        self._failure_rate = current + weight * (sample - current)
        self._failure_rate_at = now

    def reported_requests(self, now: float) -> float:
        """Return the number of requests that the replica last reported, decayed towards 0."""
        if self._load is None:
            return 0.0
        reported = self._load.running + self._load.waiting
        decay = math.exp(-(now - self._load_at) / LOAD_MEMORY_SECONDS)
        return reported * decay

    def _reported_slowdown(self, now: float) -> float:
        """Return the work time last reported, relative to typical, decayed towards 1."""
        if self._load is None:
            return 1.0
        decay = math.exp(-(now - self._load_at) / REPORTED_SLOWDOWN_MEMORY_SECONDS)
        return 1.0 + (self._load.work_factor - 1.0) * decay
