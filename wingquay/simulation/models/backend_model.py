"""A back end as the brief describes it, on whatever clock its surroundings have.

Slots, a bounded queue, shedding, drain, cold start, stragglers, index versions, key ranges that
move, cancellation, deadlines and load reports that lag. There is no I/O: ``arrive`` and
``cancel`` are called when something happens, ``advance`` at ``next_event_at``.
"""

import random
from collections import deque

from ...model.identifiers import AttemptId, ShardId, SnapshotVersion
from ...model.key_range import KeyRange
from ...ports.backend import LoadReport
from .backend_messages import BackendExchange, BackendReply, ReplyKind
from .backend_replies import ReplyBox
from .backend_settings import BackendSettings
from .backend_work import Work, WorkEnd, WorkSchedule
from .dataset import Dataset
from .execution_ledger import ExecutionLedger
from .held_index import HeldIndex
from .load_history import LoadHistory
from .pace import Pace
from .service_time import draw_fate

_SEED_BITS = 64


class BackendModel:
    """One replica.

    Parameters
    ----------
    settings
        What it serves and how it behaves.
    rng
        Drawn from once, here, for the seed of every execution's fate; replicas that are built
        in the same order from the same source meet the same fates under every policy.
    dataset
        The rows that it answers with.
    ledger
        Where executions and writes are recorded; its own one by default.
    started_at
        Time at which the replica starts, cold.
    """

    def __init__(
        self,
        settings: BackendSettings,
        rng: random.Random,
        dataset: Dataset,
        ledger: ExecutionLedger | None = None,
        started_at: float = 0.0,
    ) -> None:
        self.settings = settings
        self.ledger = ledger if ledger is not None else ExecutionLedger()
        self.arrivals_while_draining: list[float] = []
        """Times at which work came in after the drain began."""
        self._fate_seed = rng.getrandbits(_SEED_BITS)
        self._execution_index = 0
        self._held = HeldIndex(settings.service, settings.oldest_version, settings.newest_version)
        self._held.serve_shard(settings.shard_id, settings.key_range)
        self._pace = Pace(settings.warm_up_seconds, settings.cold_factor, started_at)
        self._draining = False
        self._errors_due = 0
        self._connections = 0
        self._running: list[Work] = []
        self._queue: deque[Work] = deque()
        self._schedule = WorkSchedule()
        self._replies = ReplyBox(self._held, dataset, settings.retry_after_seconds)
        self._history = LoadHistory(settings.report_delay_seconds, self._true_report(started_at))

    # -- exchanges ---------------------------------------------------------------------------

    def arrive(self, exchange: BackendExchange, now: float) -> None:
        """Take in a request; its reply comes out of ``advance``, at once if it is refused."""
        self._run_until(now)
        if self._draining:
            self.arrivals_while_draining.append(now)
        refusal = self._refusal(exchange)
        if refusal is not None:
            self._replies.refuse(exchange, refusal, self._history.shown(now), now)
            return
        work = Work(exchange, deadline_at=now + exchange.remaining_seconds)
        if len(self._running) < self.settings.slots:
            self._begin(work, now)
        else:
            self._queue.append(work)
        self._record_load(now)

    def cancel(self, attempt_id: AttemptId, now: float) -> None:
        """End an attempt without a reply; its slot is free after the cancel delay.

        An attempt that waits is not run at all; unknown ones are ignored.
        """
        self._run_until(now)
        self._replies.drop(attempt_id)
        for work in self._queue:
            if work.exchange.attempt_id == attempt_id:
                self._queue.remove(work)
                break
        for work in self._running:
            if work.exchange.attempt_id == attempt_id and work.end is not WorkEnd.CANCELLED:
                noticed_at = min(work.ends_at, now + self.settings.cancel_delay_seconds)
                self._schedule.plan(work, noticed_at, WorkEnd.CANCELLED)
                break
        self._record_load(now)

    def advance(self, now: float) -> list[BackendReply]:
        """Work until ``now`` and return the replies that are due, in order."""
        self._run_until(now)
        return self._replies.take()

    def next_event_at(self) -> float | None:
        """Return when ``advance`` has something to do next; ``None``: nothing is going on.

        The time may lie in the past: then it is due at once.
        """
        due_at = self._replies.next_at()
        return self._schedule.next_at() if due_at is None else due_at

    # -- connections -------------------------------------------------------------------------

    def open_connection(self) -> bool:
        """Count a new connection, or refuse it when the limit is reached."""
        if self._connections >= self.settings.connection_limit:
            return False
        self._connections += 1
        return True

    def close_connection(self) -> None:
        """Count a connection less."""
        self._connections -= 1

    # -- state and what operators and faults do to it ------------------------------------------

    @property
    def held_versions(self) -> tuple[SnapshotVersion, SnapshotVersion]:
        """The oldest and the newest index version truly held."""
        return self._held.oldest, self._held.newest

    @property
    def in_flight(self) -> int:
        """Exchanges that run or wait."""
        return len(self._running) + len(self._queue)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused because the replica leaves."""
        return self._draining

    def report(self, now: float) -> LoadReport:
        """Return what the health page shows: the state of a while ago, or a lie."""
        self._run_until(now)
        return self._history.shown(now)

    def lie_about_load(self, report: LoadReport | None) -> None:
        """Make reports show ``report`` (its ``None`` fields stay true); ``None`` ends the lie."""
        self._history.lie(report)

    def drain(self, now: float) -> None:
        """Refuse new work from now on; what runs or waits is finished."""
        self._run_until(now)
        self._draining = True
        self._record_load(now)

    def install_version(self, version: SnapshotVersion, now: float) -> None:
        """Hold ``version`` as well, if it is newer than all held ones."""
        self._run_until(now)
        self._held.install_version(version)
        self._record_load(now)

    def drop_version(self, version: SnapshotVersion, now: float) -> None:
        """Drop ``version`` and all older ones; the newest one always stays."""
        self._run_until(now)
        self._held.drop_version(version)
        self._record_load(now)

    def serve_shard(self, shard_id: ShardId, key_range: KeyRange | None, now: float) -> None:
        """Serve ``key_range`` for the shard from now on; ``None``: do not serve it any more."""
        self._run_until(now)
        self._held.serve_shard(shard_id, key_range)

    def slow_down(self, factor: float, until: float, now: float) -> None:
        """Make work that begins before ``until`` take ``factor`` times as long."""
        self._run_until(now)
        self._pace.slow_down(factor, until)

    def pause(self, until: float, now: float) -> None:
        """Stop all progress until ``until``, as a suspended process does.

        Refusals are still made at once.
        """
        self._run_until(now)
        self._pace.paused_until = until
        for work in self._running:
            self._schedule.plan(work, work.ends_at + max(0.0, until - now), work.end)

    def fail_next(self, count: int) -> None:
        """Let the next ``count`` executions end in an error, after they ran."""
        self._errors_due = count

    def restart(self, oldest: SnapshotVersion, newest: SnapshotVersion, now: float) -> None:
        """Start again, cold, with these versions; what was in flight is lost without a reply."""
        self._run_until(now)
        for work in self._running:
            self.ledger.record_busy(now - work.began_at)
        self._running.clear()
        self._queue.clear()
        self._schedule.clear()
        self._replies.take()
        self._connections = 0
        self._draining = False
        self._held.oldest = oldest
        self._held.newest = newest
        self._pace.restart(now)
        self._history = LoadHistory(self.settings.report_delay_seconds, self._true_report(now))

    # -- work --------------------------------------------------------------------------------

    def _run_until(self, now: float) -> None:
        while (work := self._schedule.take_due(now)) is not None:
            self._finish(work, work.ends_at)

    def _begin(self, work: Work, now: float) -> None:
        """Work on an exchange, or reply that it did not run; the caller has a slot free."""
        exchange = work.exchange
        refusal = self._refusal_at_begin(work, now)
        if refusal is not None:
            self._replies.refuse(exchange, refusal, self._history.shown(now), now)
            return
        work.began_at = now
        work.covered = self._held.covered(exchange)
        self._running.append(work)
        self.ledger.record(exchange, self.settings.replica_id, now)
        ends_at, end = self._drawn_end(exchange, now)
        if ends_at > work.deadline_at:
            ends_at = max(work.deadline_at, self._pace.paused_until)
            end = WorkEnd.DEADLINE_PASSED
        self._schedule.plan(work, ends_at, end)

    def _drawn_end(self, exchange: BackendExchange, now: float) -> tuple[float, WorkEnd]:
        fate = draw_fate(
            self.settings.service_time,
            self._fate_seed,
            self.settings.replica_id,
            self._execution_index,
            exchange.kind,
        )
        self._execution_index += 1
        ends_in_error = fate.ends_in_error or self._errors_due > 0
        self._errors_due = max(0, self._errors_due - 1)
        seconds = fate.service_seconds * self._pace.factor(now)
        ends_at = max(now, self._pace.paused_until) + seconds
        return ends_at, WorkEnd.ERROR if ends_in_error else WorkEnd.ANSWERED

    def _finish(self, work: Work, now: float) -> None:
        self._running.remove(work)
        self.ledger.record_busy(now - work.began_at)
        if work.end is not WorkEnd.CANCELLED:
            self._replies.answer(work, self._history.shown(now), now)
        while self._queue and len(self._running) < self.settings.slots:
            self._begin(self._queue.popleft(), now)
        self._record_load(now)

    # -- state -----------------------------------------------------------------------------

    def _refusal(self, exchange: BackendExchange) -> ReplyKind | None:
        if self._draining:
            return ReplyKind.DRAINING
        refusal = self._held.refusal(exchange)
        if refusal is not None:
            return refusal
        slots_taken = len(self._running) >= self.settings.slots
        queue_full = len(self._queue) >= self.settings.queue_limit
        return ReplyKind.SHED if slots_taken and queue_full else None

    def _refusal_at_begin(self, work: Work, now: float) -> ReplyKind | None:
        if now >= work.deadline_at:
            return ReplyKind.DEADLINE_PASSED
        return self._held.refusal(work.exchange)

    def _true_report(self, now: float) -> LoadReport:
        return LoadReport(
            utilization=self.in_flight / self.settings.slots,
            draining=self._draining,
            cold=self._pace.is_cold(now),
            oldest_version=self._held.oldest,
            newest_version=self._held.newest,
        )

    def _record_load(self, now: float) -> None:
        self._history.record(self._true_report(now), now)
