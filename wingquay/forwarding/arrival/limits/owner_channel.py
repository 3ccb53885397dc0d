"""What a node has told one owner, and whether that owner can be reached."""

from collections import deque
from dataclasses import dataclass

from ....ports.limit_messages import LimitTell
from ....ports.machine import Action, Log, LogLevel, Schedule
from ....ports.peer_link import NodeIdentity, SendToPeer
from ...timers import LimitAckDue, LimitProbeDue, LimitReportDue

REPORT_DELAY_SECONDS = 0.015
"""Time for which what was begun is gathered before the owner is told. A tenant that sends 800
requests a second exceeds its limit by 12 more for it."""
MIN_REPORT_INTERVAL_SECONDS = 0.1
"""Least time between two tellings. A node with 120 requests a second tells each of 8 owners ten
times a second so, with three tenants each time, and stays below 12 KB/s with the answers."""
REPLY_TIMEOUT_SECONDS = 0.3
"""Time without an answer after which an owner counts as out of reach. Nodes answer within a few
milliseconds, starved ones within 0.1 s; what is begun at once meanwhile is not known elsewhere."""
CONTACT_VALID_SECONDS = 0.3
"""Time for which an owner that was heard counts as in touch, so that requests may begin before it
knows of them. Without this bound every node that is cut off would begin one more at any time, 70
requests of a tenant whose limit leaves room for 5; with it, only what arrives in this time. So
nodes with few requests ask first, which costs them the same messages, and busy nodes need not."""
MIN_PROBE_SECONDS = 0.5
"""Time after which an owner that was out of reach is told something again, only to be answered."""
MAX_PROBE_SECONDS = 4.0
"""The same when it stays away: half of the calls' windows lie behind until it is asked again."""


@dataclass(slots=True, eq=False)
class _Report:
    """What one message told."""

    sequence: int
    sent_at: float
    counts: dict[str, int]
    without_permit: dict[str, int]
    """How many of them no owner has permitted."""


class OwnerChannel:
    """Tells one owner what this node has begun, and knows by its answers whether it is there.

    Parameters
    ----------
    owner
        The owner.
    window_seconds
        After this time nothing that was begun counts any more.
    """

    def __init__(self, owner: NodeIdentity, window_seconds: float) -> None:
        self.owner = owner
        self.is_lost = False
        """Whether it is out of reach."""
        self.asks_first = True
        """Whether it wants to be asked before every request; so until it has said otherwise."""
        self._window_seconds = window_seconds
        self._pending: dict[str, int] = {}
        self._without_permit: dict[str, int] = {}
        self._charged: dict[str, int] = {}
        self._pending_since = 0.0
        self._is_due = False
        self._last_reply_at = float("-inf")
        self._ask_first_until = float("-inf")
        """Until when it is asked first: it may have said of hot tenants what was never heard."""
        self._sequence = 0
        self._reported_at = float("-inf")
        self._reports: deque[_Report] = deque()
        self._hot_until: dict[str, float] = {}
        self._probe_seconds = MIN_PROBE_SECONDS

    def may_start_unasked(self, name: str, now: float) -> bool:
        """Whether requests of a tenant may begin before this owner knows of them."""
        if self.is_lost or self.asks_first or now < self._ask_first_until:
            return False
        if now >= self._last_reply_at + CONTACT_VALID_SECONDS:
            return False
        return now >= self._hot_until.get(name, now)

    def set_hot(self, name: str, seconds: float, now: float) -> None:
        """Take in for how long it is to be asked first for a tenant; 0: no longer."""
        if seconds > 0:
            self._hot_until[name] = now + seconds
        else:
            self._hot_until.pop(name, None)

    # Telling

    def note(
        self,
        name: str,
        requests: int,
        now: float,
        charged: int = 0,
        is_without_permit: bool = False,
    ) -> list[Action]:
        """Take in what is to be told.

        Parameters
        ----------
        charged
            What another owner may not know of.
        is_without_permit
            Whether the requests were begun without any owner's word.
        """
        if is_without_permit:
            self._without_permit[name] = self._without_permit.get(name, 0) + requests
        if not self._pending:
            self._pending_since = now
        self._pending[name] = self._pending.get(name, 0) + requests
        if charged:
            self._charged[name] = self._charged.get(name, 0) + charged
        if self._is_due or self.is_lost:
            return []
        self._is_due = True
        due_at = max(now + REPORT_DELAY_SECONDS, self._reported_at + MIN_REPORT_INTERVAL_SECONDS)
        return [Schedule(due_at, LimitReportDue(self.owner.node_id))]

    def send_report(self, now: float, is_probe: bool = False) -> list[Action]:
        """Send what is to be told; a probe is sent although there is nothing."""
        self._is_due = False
        self._drop_expired(now)
        if self.is_lost and not is_probe:
            return []
        if not self._pending and not is_probe:
            return []
        reported: tuple[dict[str, int], ...] = ({}, {}, {})
        if not self.is_lost:
            reported = (self._pending, self._charged, self._without_permit)
            self._pending, self._charged, self._without_permit = {}, {}, {}
        counts, charged, without_permit = reported
        self._reported_at = now
        self._sequence += 1
        self._reports.append(_Report(self._sequence, now, counts, without_permit))
        names = tuple(counts)
        message = LimitTell(
            self._sequence,
            names,
            tuple(counts.values()),
            tuple(charged.get(name, 0) for name in names),
        )
        timeout = LimitAckDue(self.owner.node_id, self._sequence)
        return [SendToPeer(self.owner, message), Schedule(now + REPLY_TIMEOUT_SECONDS, timeout)]

    def acknowledged(self, sequence: int, now: float) -> list[Action]:
        """Take in that all up to a message has been counted; return what is told next."""
        while self._reports and self._reports[0].sequence <= sequence:
            self._reports.popleft()
        return self.received_reply(now)

    def received_reply(self, now: float) -> list[Action]:
        """Take in that the owner has answered."""
        self._last_reply_at = now
        was_lost = self.is_lost
        self.is_lost = False
        self._probe_seconds = MIN_PROBE_SECONDS
        if not was_lost:
            return []
        self._ask_first_until = now + self._window_seconds
        log = Log("limit_owner_back", LogLevel.INFO, (("owner", self.owner.node_id),))
        return [log, *self.send_report(now)]

    # Silence

    def is_silent(self, sequence: int) -> bool:
        """Whether a message that was sent a while ago has not been acknowledged."""
        return bool(self._reports) and self._reports[0].sequence <= sequence

    def mark_lost(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Take the owner as out of reach.

        Returns
        -------
        tuple
            What no owner may know of, by tenant, and the next try to reach it.
        """
        if self.is_lost:
            return {}, []
        self.is_lost = True
        self._drop_expired(now)
        unknown: dict[str, int] = {}
        for counts in [*(report.without_permit for report in self._reports), self._without_permit]:
            for name, requests in counts.items():
                unknown[name] = unknown.get(name, 0) + requests
        self._without_permit = {}
        probe = LimitProbeDue(self.owner.node_id)
        return unknown, [Schedule(now + self._probe_seconds, probe)]

    def link_broken(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Take in that the link is gone and with it, maybe, what was told; it is told again."""
        lost = self.mark_lost(now)
        self.asks_first = True
        self._hot_until.clear()
        if not self._pending:
            self._pending_since = now
        for report in self._reports:
            for name, requests in report.counts.items():
                self._pending[name] = self._pending.get(name, 0) + max(requests, 0)
        self._reports.clear()
        return lost

    def probe(self, now: float) -> list[Action]:
        """Try to reach the owner again, less often the longer it is away."""
        if not self.is_lost:
            return []
        self._probe_seconds = min(2.0 * self._probe_seconds, MAX_PROBE_SECONDS)
        again = Schedule(now + self._probe_seconds, LimitProbeDue(self.owner.node_id))
        return [*self.send_report(now, True), again]

    def _drop_expired(self, now: float) -> None:
        old = now - self._window_seconds
        while self._reports and self._reports[0].sent_at < old:
            self._reports.popleft()
        if self._pending and self.is_lost and self._pending_since < old:
            self._pending = {}
            self._charged = {}
        for name in [name for name, until in self._hot_until.items() if until <= now]:
            del self._hot_until[name]
