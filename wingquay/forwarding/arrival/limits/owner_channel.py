"""Reports from this node to one limit owner, and whether that owner is reachable."""

from collections import deque
from dataclasses import dataclass

from ....ports.limit_messages import LimitReport
from ....ports.machine import Action, Log, LogLevel, Schedule
from ....ports.peer_link import NodeIdentity, SendToPeer
from ...timers import LimitAckDue, LimitProbeDue, LimitReportDue

REPORT_DELAY_SECONDS = 0.015
"""Time for which started requests are collected before they are reported. A tenant that sends 800
requests per second exceeds its limit by 12 more because of it."""
MIN_REPORT_INTERVAL_SECONDS = 0.1
"""Minimum time between two reports, which bounds the network traffic. A node with 120 requests per
second and 8 owners stays below 12 KB/s."""
REPLY_TIMEOUT_SECONDS = 0.3
"""Time without a reply after which an owner is considered unreachable. Nodes reply within a few
milliseconds, overloaded ones within 0.1 s; requests that start in the meantime are not known
elsewhere."""
CONTACT_VALID_SECONDS = 0.3
"""Time after the sending of an answered message during which requests may start before the owner
has permitted them. Later, a node needs a permit first; this includes nodes with few requests, which
seldom report. Without this bound each node that is cut off could start a request at any time, 70
requests of a tenant whose limit leaves room for 5."""
MIN_PROBE_SECONDS = 0.5
"""Time until an unreachable owner is first probed."""
MAX_PROBE_SECONDS = 4.0
"""Maximum time between two probes of an unreachable owner."""


@dataclass(slots=True, eq=False)
class _Report:
    """The contents of one report message."""

    sequence: int
    sent_at: float
    counts: dict[str, int]
    before_permit: dict[str, int]
    """Requests by tenant that started before a permit."""


class OwnerChannel:
    """Reports started requests to one owner and detects by its replies whether it is reachable.

    Parameters
    ----------
    owner
        The owner.
    window_seconds
        Time for which a request counts.
    """

    def __init__(self, owner: NodeIdentity, window_seconds: float) -> None:
        self.owner = owner
        self.is_unreachable = False
        """Whether the owner is considered unreachable."""
        self.requires_permit = True
        """Whether the owner wants to permit every request; true until it replies otherwise."""
        self._window_seconds = window_seconds
        self._pending: dict[str, int] = {}
        self._before_permit: dict[str, int] = {}
        self._charged: dict[str, int] = {}
        self._pending_since = 0.0
        self._is_due = False
        self._contact_at = float("-inf")
        """When the latest message was sent to which the owner has replied. What the owner sent
        before that, on the same link, has arrived."""
        self._ask_first_until = float("-inf")
        """Time until which requests need a permit of the owner first, since it may have sent
        messages about hot tenants while it was unreachable."""
        self._sequence = 0
        self._reported_at = float("-inf")
        self._reports: deque[_Report] = deque()
        self._hot_until: dict[str, float] = {}
        self._probe_seconds = MIN_PROBE_SECONDS

    def may_start_before_permit(self, name: str, now: float) -> bool:
        """Return whether requests of a tenant may start before this owner has permitted them."""
        if self.is_unreachable or self.requires_permit or now < self._ask_first_until:
            return False
        if now >= self._contact_at + CONTACT_VALID_SECONDS:
            return False
        return now >= self._hot_until.get(name, now)

    def set_hot(self, name: str, seconds: float, now: float) -> None:
        """Store for how long a tenant's requests need a permit of this owner first; 0 ends it."""
        if seconds > 0:
            self._hot_until[name] = now + seconds
        else:
            self._hot_until.pop(name, None)

    # Reports

    def report_requests(
        self,
        name: str,
        requests: int,
        now: float,
        charged: int = 0,
        is_before_permit: bool = False,
    ) -> list[Action]:
        """Add requests to the next report.

        Parameters
        ----------
        requests
            Number of started requests; negative if they are given back.
        charged
            Requests that the tenant's other owner may not have received.
        is_before_permit
            Whether the requests were started before a permit because the tenant was not hot.
        """
        if is_before_permit:
            self._before_permit[name] = self._before_permit.get(name, 0) + requests
        if not self._pending:
            self._pending_since = now
        self._pending[name] = self._pending.get(name, 0) + requests
        if charged:
            self._charged[name] = self._charged.get(name, 0) + charged
        if self._is_due or self.is_unreachable:
            return []
        self._is_due = True
        due_at = max(now + REPORT_DELAY_SECONDS, self._reported_at + MIN_REPORT_INTERVAL_SECONDS)
        return [Schedule(due_at, LimitReportDue(self.owner.node_id))]

    def send_report(self, now: float, is_probe: bool = False) -> list[Action]:
        """Send the pending report; a probe is sent even if it is empty."""
        self._is_due = False
        self._drop_expired(now)
        if self.is_unreachable and not is_probe:
            return []
        if not self._pending and not is_probe:
            return []
        reported: tuple[dict[str, int], ...] = ({}, {}, {})
        if not self.is_unreachable:
            reported = (self._pending, self._charged, self._before_permit)
            self._pending, self._charged, self._before_permit = {}, {}, {}
        counts, charged, before_permit = reported
        self._reported_at = now
        self._sequence += 1
        self._reports.append(_Report(self._sequence, now, counts, before_permit))
        names = tuple(counts)
        message = LimitReport(
            self._sequence,
            names,
            tuple(counts.values()),
            tuple(charged.get(name, 0) for name in names),
        )
        timeout = LimitAckDue(self.owner.node_id, self._sequence)
        return [SendToPeer(self.owner, message), Schedule(now + REPLY_TIMEOUT_SECONDS, timeout)]

    def on_acknowledgement(self, sequence: int, now: float) -> list[Action]:
        """Handle that the owner has counted all reports up to a sequence number."""
        sent_at = float("-inf")
        while self._reports and self._reports[0].sequence <= sequence:
            sent_at = self._reports.popleft().sent_at
        return self.on_reply(sent_at, now)

    def on_reply(self, sent_at: float, now: float) -> list[Action]:
        """Handle a reply of the owner to a message that was sent at ``sent_at``."""
        self._contact_at = max(self._contact_at, sent_at)
        was_unreachable = self.is_unreachable
        self.is_unreachable = False
        self._probe_seconds = MIN_PROBE_SECONDS
        if not was_unreachable:
            return []
        self._ask_first_until = now + self._window_seconds
        log = Log("limit_owner_back", LogLevel.INFO, (("owner", self.owner.node_id),))
        return [log, *self.send_report(now)]

    # Unreachable owners

    def is_unacknowledged(self, sequence: int) -> bool:
        """Return whether the report with this sequence number is still unacknowledged."""
        return bool(self._reports) and self._reports[0].sequence <= sequence

    def mark_unreachable(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Mark the owner as unreachable.

        Returns
        -------
        tuple
            Requests by tenant that started before a permit and possibly have not been counted, and
            the action that schedules a probe.
        """
        if self.is_unreachable:
            return {}, []
        self.is_unreachable = True
        self._drop_expired(now)
        uncounted: dict[str, int] = {}
        for counts in [*(report.before_permit for report in self._reports), self._before_permit]:
            for name, requests in counts.items():
                uncounted[name] = uncounted.get(name, 0) + requests
        self._before_permit = {}
        probe = LimitProbeDue(self.owner.node_id)
        return uncounted, [Schedule(now + self._probe_seconds, probe)]

    def on_link_broken(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Handle a broken link: queue started requests without an acknowledgement again.

        Requests that were given back and charged requests are not queued again.
        """
        uncounted = self.mark_unreachable(now)
        self.requires_permit = True
        self._hot_until.clear()
        if not self._pending:
            self._pending_since = now
        for report in self._reports:
            for name, requests in report.counts.items():
                self._pending[name] = self._pending.get(name, 0) + max(requests, 0)
        self._reports.clear()
        return uncounted

    def probe(self, now: float) -> list[Action]:
        """Probe the owner, with an interval that doubles up to its maximum."""
        if not self.is_unreachable:
            return []
        self._probe_seconds = min(2.0 * self._probe_seconds, MAX_PROBE_SECONDS)
        again = Schedule(now + self._probe_seconds, LimitProbeDue(self.owner.node_id))
        return [*self.send_report(now, True), again]

    def _drop_expired(self, now: float) -> None:
        old = now - self._window_seconds
        while self._reports and self._reports[0].sent_at < old:
            self._reports.popleft()
        if self._pending and self.is_unreachable and self._pending_since < old:
            self._pending = {}
            self._charged = {}
        for name in [name for name, until in self._hot_until.items() if until <= now]:
            del self._hot_until[name]
