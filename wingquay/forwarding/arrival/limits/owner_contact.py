"""What a node has told one owner, and whether that owner can be reached."""

from collections import deque
from dataclasses import dataclass

from ....ports.limit_messages import LimitReport
from ....ports.machine import Action, Log, LogLevel, Schedule
from ....ports.peer_link import NodeIdentity, SendToPeer
from ...timers import LimitAckDue, LimitProbeDue, LimitReportDue

TELL_SECONDS = 0.015
"""Time for which what was begun is gathered before the owner is told. A tenant that sends 800
requests a second exceeds its limit by 12 more for it."""
TELL_PAUSE_SECONDS = 0.1
"""Least time between two tellings. A node with 120 requests a second tells each of 8 owners ten
times a second so, with three tenants each time, and stays below 12 KB/s with the answers."""
SILENCE_SECONDS = 0.3
"""Time without an answer after which an owner counts as out of reach. Nodes answer within a few
milliseconds, starved ones within 0.1 s; what is begun at once meanwhile is not known elsewhere."""
HEARD_SECONDS = 0.3
"""Time for which an owner that was heard counts as in touch, so that requests may begin before it
knows of them. Without this bound every node that is cut off would begin one more at any time, 70
requests of a tenant whose limit leaves room for 5; with it, only what arrives in this time. So
nodes with few requests ask first, which costs them the same messages, and busy nodes need not."""
FIRST_PROBE_SECONDS = 0.5
"""Time after which an owner that was out of reach is told something again, only to be answered."""
MOST_PROBE_SECONDS = 4.0
"""The same when it stays away: half of the calls' windows lie behind until it is asked again."""


@dataclass(slots=True, eq=False)
class _Telling:
    """What one message told."""

    sequence: int
    sent_at: float
    counts: dict[str, int]
    at_once: dict[str, int]
    """How many of them no owner has permitted."""


class OwnerContact:
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
        self._at_once: dict[str, int] = {}
        self._charged: dict[str, int] = {}
        self._pending_since = 0.0
        self._is_due = False
        self._heard_at = float("-inf")
        self._mistrusted_until = float("-inf")
        """Until when it is asked first: it may have said of hot tenants what was never heard."""
        self._sequence = 0
        self._told_at = float("-inf")
        self._tellings: deque[_Telling] = deque()
        self._hot_until: dict[str, float] = {}
        self._probe_seconds = FIRST_PROBE_SECONDS

    def lets_begin(self, name: str, now: float) -> bool:
        """Whether requests of a tenant may begin before this owner knows of them."""
        if self.is_lost or self.asks_first or now < self._mistrusted_until:
            return False
        if now >= self._heard_at + HEARD_SECONDS:
            return False
        return now >= self._hot_until.get(name, now)

    def hear_hot(self, name: str, seconds: float, now: float) -> None:
        """Take in for how long it is to be asked first for a tenant; 0: no longer."""
        if seconds > 0:
            self._hot_until[name] = now + seconds
        else:
            self._hot_until.pop(name, None)

    # Telling

    def note(
        self, name: str, requests: int, now: float, charged: int = 0, is_at_once: bool = False
    ) -> list[Action]:
        """Take in what is to be told.

        Parameters
        ----------
        charged
            What another owner may not know of.
        is_at_once
            Whether the requests were begun without any owner's word.
        """
        if is_at_once:
            self._at_once[name] = self._at_once.get(name, 0) + requests
        if not self._pending:
            self._pending_since = now
        self._pending[name] = self._pending.get(name, 0) + requests
        if charged:
            self._charged[name] = self._charged.get(name, 0) + charged
        if self._is_due or self.is_lost:
            return []
        self._is_due = True
        due_at = max(now + TELL_SECONDS, self._told_at + TELL_PAUSE_SECONDS)
        return [Schedule(due_at, LimitReportDue(self.owner.node_id))]

    def tell(self, now: float, is_probe: bool = False) -> list[Action]:
        """Send what is to be told; a probe is sent although there is nothing."""
        self._is_due = False
        self._forget_old(now)
        if self.is_lost and not is_probe:
            return []
        if not self._pending and not is_probe:
            return []
        told: tuple[dict[str, int], ...] = ({}, {}, {})
        if not self.is_lost:
            told = (self._pending, self._charged, self._at_once)
            self._pending, self._charged, self._at_once = {}, {}, {}
        counts, charged, at_once = told
        self._told_at = now
        self._sequence += 1
        self._tellings.append(_Telling(self._sequence, now, counts, at_once))
        names = tuple(counts)
        message = LimitReport(
            self._sequence,
            names,
            tuple(counts.values()),
            tuple(charged.get(name, 0) for name in names),
        )
        look = LimitAckDue(self.owner.node_id, self._sequence)
        return [SendToPeer(self.owner, message), Schedule(now + SILENCE_SECONDS, look)]

    def acknowledged(self, sequence: int, now: float) -> list[Action]:
        """Take in that all up to a message has been counted; return what is told next."""
        while self._tellings and self._tellings[0].sequence <= sequence:
            self._tellings.popleft()
        return self.heard(now)

    def heard(self, now: float) -> list[Action]:
        """Take in that the owner has answered."""
        self._heard_at = now
        was_lost = self.is_lost
        self.is_lost = False
        self._probe_seconds = FIRST_PROBE_SECONDS
        if not was_lost:
            return []
        self._mistrusted_until = now + self._window_seconds
        line = Log("limit_owner_back", LogLevel.INFO, (("owner", self.owner.node_id),))
        return [line, *self.tell(now)]

    # Silence

    def is_silent(self, sequence: int) -> bool:
        """Whether a message that was sent a while ago has not been acknowledged."""
        return bool(self._tellings) and self._tellings[0].sequence <= sequence

    def lose(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Take the owner as out of reach.

        Returns
        -------
        tuple
            What no owner may know of, by tenant, and the next try to reach it.
        """
        if self.is_lost:
            return {}, []
        self.is_lost = True
        self._forget_old(now)
        unknown: dict[str, int] = {}
        for counts in [*(telling.at_once for telling in self._tellings), self._at_once]:
            for name, requests in counts.items():
                unknown[name] = unknown.get(name, 0) + requests
        self._at_once = {}
        probe = LimitProbeDue(self.owner.node_id)
        return unknown, [Schedule(now + self._probe_seconds, probe)]

    def broken(self, now: float) -> tuple[dict[str, int], list[Action]]:
        """Take in that the link is gone and with it, maybe, what was told; it is told again."""
        lost = self.lose(now)
        self.asks_first = True
        self._hot_until.clear()
        if not self._pending:
            self._pending_since = now
        for telling in self._tellings:
            for name, requests in telling.counts.items():
                self._pending[name] = self._pending.get(name, 0) + max(requests, 0)
        self._tellings.clear()
        return lost

    def probe(self, now: float) -> list[Action]:
        """Try to reach the owner again, less often the longer it is away."""
        if not self.is_lost:
            return []
        self._probe_seconds = min(2.0 * self._probe_seconds, MOST_PROBE_SECONDS)
        again = Schedule(now + self._probe_seconds, LimitProbeDue(self.owner.node_id))
        return [*self.tell(now, True), again]

    def _forget_old(self, now: float) -> None:
        old = now - self._window_seconds
        while self._tellings and self._tellings[0].sent_at < old:
            self._tellings.popleft()
        if self._pending and self.is_lost and self._pending_since < old:
            self._pending = {}
            self._charged = {}
        for name in [name for name, until in self._hot_until.items() if until <= now]:
            del self._hot_until[name]
