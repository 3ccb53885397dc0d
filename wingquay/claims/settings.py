"""Settings of the claims machine."""

from dataclasses import dataclass

from ..model.mechanisms import Mechanism

HOUR_SECONDS = 3600.0
MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ClaimsSettings:
    """How long claims are remembered, how much of them, and how often nodes ask each other.

    Parameters
    ----------
    retention_seconds
        How long after its first submission a caller may repeat a key.
    retention_margin_seconds
        How much longer claims are kept: covers the deciding, the drift of clocks and the
        longest run of a request.
    assignment_validity_seconds
        How long a voter votes after the store last confirmed its assignment. The store may be down
        for this long without any effect; a zone that must wait out the memory of a lost voter
        waits for this long on top of the retention.
    assignment_confirm_interval_seconds
        How often a voter reads the assignment document.
    capacity_records
        Claims that a node remembers at most; new ones are then refused, none is forgotten early.
    outcome_limit_bytes
        Size up to which an outcome is kept for repeats.
    outcomes_capacity_bytes
        Size of all kept outcomes together.
    crash_takeover_delay_seconds, join_takeover_delay_seconds
        How long a new assignment holder waits for an offer of the assignment before it takes it
        over: after
        it saw the last holder crash, and otherwise, unless every other node of the zone has said
        that it has nothing to offer. The latter is long, since a takeover in spite of a living
        holder throws that one's memory away.
    alone_takeover_delay_seconds
        The same while the node has seen no other node of its zone that could offer the assignment.
    table_retry_seconds
        How often assignments are offered again, and how soon tables are asked for again; the latter
        doubles each time.
    table_retry_most_seconds
        Longest time between two requests for the same table.
    handed_over_keep_seconds
        How long an assignment that was handed over can be fetched once more.
    retired_keep_seconds
        How long the memory of an epoch that has ended is kept for those that rebuild from it.
    store_retry_seconds
        Least time between two operations on the store after one that brought nothing.
    ask_retry_seconds
        Delay before voters are asked again; after a few times it doubles.
    decide_share
        Share of a request's remaining time that may be spent on deciding; the rest is for its run.
    closed_keep_seconds
        How long a decided submission is kept to answer late votes and broken links.
    tick_seconds
        How often timers are looked at.
    table_piece_records, table_piece_bytes
        Bounds of one piece of a table (the bytes are those of its outcomes).
    disabled
        Mechanisms that are taken out, for tests only.
    """

    retention_seconds: float = HOUR_SECONDS
    retention_margin_seconds: float = 120.0
    assignment_validity_seconds: float = 4 * HOUR_SECONDS
    assignment_confirm_interval_seconds: float = HOUR_SECONDS / 2
    capacity_records: int = 100_000
    outcome_limit_bytes: int = 16 * 1024
    outcomes_capacity_bytes: int = 64 * MEBIBYTE
    crash_takeover_delay_seconds: float = 0.5
    join_takeover_delay_seconds: float = 60.0
    alone_takeover_delay_seconds: float = 5.0
    table_retry_seconds: float = 1.0
    table_retry_most_seconds: float = 30.0
    handed_over_keep_seconds: float = 30.0
    retired_keep_seconds: float = 600.0
    store_retry_seconds: float = 2.0
    ask_retry_seconds: float = 0.05
    decide_share: float = 0.5
    closed_keep_seconds: float = 60.0
    tick_seconds: float = 0.5
    table_piece_records: int = 200
    table_piece_bytes: int = MEBIBYTE // 4
    disabled: frozenset[Mechanism] = frozenset()

    @property
    def total_retention_seconds(self) -> float:
        """How long after its grant a claim is stored."""
        return self.retention_seconds + self.retention_margin_seconds

    @property
    def rebuild_wait_seconds(self) -> float:
        """Time after a takeover until every claim that earlier holders granted has expired."""
        return self.assignment_validity_seconds + self.total_retention_seconds

    def enabled(self, mechanism: Mechanism) -> bool:
        """Whether ``mechanism`` is enabled; only tests disable any."""
        return mechanism not in self.disabled
