"""The platform's key-value service: etcd's behaviour, a rate limit, outages and lost replies.

There is no I/O and no clock: operations are submitted, and ``advance`` returns the replies and
watch notices that are due. An operation takes effect half way between request and reply, so a
timeout or an outage in between leaves the caller not knowing whether it did.
"""

import math
import random
from dataclasses import dataclass, replace
from heapq import heappop, heappush

from ...ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StoreFailureKind,
    WatchBroken,
    WatchChanged,
)
from .rate_limit import RateLimit
from .store_faults import StoreFaults
from .store_leases import LeaseTable
from .store_operations import (
    ModelOperation,
    ModelResult,
    StoreOutput,
    failed,
    reply_to,
    span_of_read,
    swap_result,
    transaction_of_swap,
)
from .store_state import (
    KeySpan,
    StoreState,
    Transaction,
    TransactionResult,
)
from .store_watches import Watch, WatchTable


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """How the store behaves without faults.

    Parameters
    ----------
    rate_per_second, burst
        Operations let through; others are refused.
    latency_seconds
        From a request to its reply.
    watch_delay_seconds
        From a change to its notice.
    lost_reply_share
        Share of replies, 0 to 1, that are lost after the operation took effect.
    history_limit
        Changes kept for watches; older ones are compacted.
    """

    rate_per_second: float = 50.0
    burst: float = 100.0
    latency_seconds: float = 0.004
    watch_delay_seconds: float = 0.005
    lost_reply_share: float = 0.0
    history_limit: int = 1000


@dataclass(frozen=True, slots=True)
class _Effect:
    operation_id: str
    operation: ModelOperation
    reply_delay_seconds: float
    reply_is_lost: bool


@dataclass(frozen=True, slots=True)
class _Delivery:
    output: StoreOutput


_Step = _Effect | _Delivery


class StoreModel:
    """One store, whatever the number of its endpoints.

    Parameters
    ----------
    settings
        How it behaves without faults.
    rng
        Decides which replies are lost.
    """

    def __init__(self, settings: StoreSettings, rng: random.Random) -> None:
        self.settings = settings
        self.faults = StoreFaults(settings.lost_reply_share, rng)
        self.state = StoreState(settings.history_limit)
        self._rate_limit = RateLimit(settings.rate_per_second, settings.burst)
        self._leases = LeaseTable()
        self._watches = WatchTable()
        self._steps: list[tuple[float, int, _Step]] = []
        self._step_count = 0
        self._awaited: dict[str, ModelOperation] = {}
        self._outputs: list[StoreOutput] = []
        self._outputs_due_at = 0.0

    # -- what callers do -----------------------------------------------------------------------

    def submit(
        self,
        operation_id: str,
        operation: ModelOperation,
        now: float,
        timeout_seconds: float | None = None,
    ) -> None:
        """Take in an operation; its one reply comes out of ``advance``.

        If there is none within ``timeout_seconds`` the reply says ``LOST_REPLY``, and the
        operation may still take effect later. Without a timeout a lost reply never comes.
        """
        self._run_until(now)
        self._awaited[operation_id] = operation
        reply_at = now + self.settings.latency_seconds
        if self.faults.refuses(now):
            self._fail_at(reply_at, operation_id, StoreFailureKind.UNREACHABLE)
            return
        if timeout_seconds is not None:
            self._fail_at(now + timeout_seconds, operation_id, StoreFailureKind.LOST_REPLY)
        if self.faults.is_silent(now):
            return
        if not self._rate_limit.take(now):
            self._fail_at(reply_at, operation_id, StoreFailureKind.RATE_LIMITED)
            return
        half_seconds = (self.settings.latency_seconds + self.faults.extra_seconds(now)) / 2
        is_lost = self.faults.loses_next_reply()
        effect = _Effect(operation_id, operation, half_seconds, is_lost)
        self._add_step(now + half_seconds, effect)

    def forget(self, operation_id: str) -> None:
        """Let nobody wait for a reply any more; the operation still takes effect."""
        self._awaited.pop(operation_id, None)

    def holds_lease(self, lease_id: int) -> bool:
        """Whether a lease has not lapsed."""
        return self._leases.holds(lease_id)

    def start_watch(self, watch_id: str, span: KeySpan, from_revision: int, now: float) -> None:
        """Watch ``span`` from ``from_revision`` on (0: from now on)."""
        self._run_until(now)
        reason = self._watch_refusal(now)
        first = from_revision or self.state.revision + 1
        missed = self.state.changes_since(first)
        if missed is None:
            reason = f"revision {first} is compacted"
        if reason is not None:
            self._add_output(WatchBroken(watch_id, reason), now)
            return
        self._watches.add(Watch(watch_id, span, first))
        self._notify(first, now)

    def stop_watch(self, watch_id: str, now: float) -> None:
        """End a watch; nothing more comes of it."""
        self._run_until(now)
        self._watches.remove(watch_id)

    def advance(self, now: float) -> list[StoreOutput]:
        """Work until ``now`` and return what is due, in order."""
        self._run_until(now)
        outputs = self._outputs
        self._outputs = []
        return outputs

    def next_event_at(self) -> float | None:
        """Return when ``advance`` has something to do next; it may lie in the past."""
        if self._outputs:
            return self._outputs_due_at
        times = [self._steps[0][0]] if self._steps else []
        expiry_at = self._leases.next_expiry_at()
        if expiry_at is not None:
            times.append(expiry_at)
        return min(times, default=None)

    # -- faults --------------------------------------------------------------------------------

    def refuse_until(self, until: float, now: float) -> None:
        """Be down until ``until``: connections are refused, and those that are open break.

        Operations under way still take effect, but nobody hears of it.
        """
        self._run_until(now)
        self.faults.refusing_until = until
        lost = failed(StoreFailureKind.LOST_REPLY)
        for operation_id, operation in list(self._awaited.items()):
            self._deliver(reply_to(operation_id, operation, lost), now)
        self.break_watches("the store is down", now)

    def silence_until(self, until: float, now: float) -> None:
        """Take requests in until ``until`` without doing anything or replying."""
        self._run_until(now)
        self.faults.silent_until = until

    def slow_down(self, extra_seconds: float, until: float, now: float) -> None:
        """Take ``extra_seconds`` longer for operations submitted before ``until``."""
        self._run_until(now)
        self.faults.slow_down(extra_seconds, until)

    def break_watches(self, reason: str, now: float) -> None:
        """End every watch."""
        self._run_until(now)
        for watch_id in self._watches.ids:
            self._add_output(WatchBroken(watch_id, reason), now)
            self._watches.remove(watch_id)

    def skip_watch_events(self, count: int) -> None:
        """Leave out the next ``count`` watch notices."""
        self._watches.events_to_skip = count

    def compact(self, now: float) -> None:
        """Forget the history of all changes."""
        self._run_until(now)
        self.state.compact(self.state.revision)

    def limit_rate(self, rate_per_second: float, burst: float) -> None:
        """Let so many operations through from now on."""
        self._rate_limit = RateLimit(rate_per_second, burst)

    @property
    def lease_ids(self) -> tuple[int, ...]:
        """The leases that have not lapsed."""
        return self._leases.ids

    def lapse_lease(self, lease_id: int, now: float) -> None:
        """Let a lease lapse before its time."""
        self._run_until(now)
        self._end_lease(lease_id, now)

    # -- work ----------------------------------------------------------------------------------

    def _run_until(self, now: float) -> None:
        while True:
            step_at = self._steps[0][0] if self._steps else math.inf
            expiry_at = self._leases.next_expiry_at()
            if expiry_at is not None and expiry_at <= min(now, step_at):
                self._expire_leases(expiry_at)
            elif step_at <= now:
                self._perform(heappop(self._steps)[2], step_at)
            else:
                return

    def _perform(self, step: _Step, now: float) -> None:
        if isinstance(step, _Delivery):
            self._deliver(step.output, now)
            return
        revision = self.state.revision
        result = self._apply(step.operation, now)
        self._notify(revision + 1, now)
        if not step.reply_is_lost:
            # A lease lasts from the moment of its effect; its holder learns of it later.
            if isinstance(result, LeaseState):
                result = _aged(result, step.reply_delay_seconds)
            reply = reply_to(step.operation_id, step.operation, result)
            self._add_step(now + step.reply_delay_seconds, _Delivery(reply))

    def _apply(self, operation: ModelOperation, now: float) -> ModelResult:
        match operation:
            case Transaction():
                return self._apply_transaction(operation)
            case Read():
                values = tuple(
                    entry.to_stored_value()
                    for entry in self.state.read(span_of_read(operation))
                    if entry.modified_at > operation.modified_after
                )
                return ReadResult(values, self.state.revision)
            case CompareAndSwap():
                return swap_result(self._apply_transaction(transaction_of_swap(operation)))
            case GrantLease():
                lease = self._leases.grant(operation.time_to_live_seconds, now)
                return LeaseState(lease.lease_id, lease.time_to_live_seconds)
            case KeepLeaseAlive():
                renewed = self._leases.renew(operation.lease_id, now)
                seconds = 0.0 if renewed is None else renewed.time_to_live_seconds
                return LeaseState(operation.lease_id, seconds)
            case RevokeLease():
                self._end_lease(operation.lease_id, now)
                return LeaseState(operation.lease_id, 0.0)

    def _apply_transaction(self, transaction: Transaction) -> TransactionResult:
        leases = [lease_id for lease_id in transaction.lease_ids if lease_id]
        if not all(self._leases.holds(lease_id) for lease_id in leases):
            return TransactionResult(False, self.state.revision, (), lease_found=False)
        return self.state.apply(transaction)

    def _expire_leases(self, now: float) -> None:
        for lease_id in self._leases.lapsed(now):
            self._end_lease(lease_id, now)

    def _end_lease(self, lease_id: int, now: float) -> None:
        revision = self.state.revision
        self._leases.remove(lease_id)
        self.state.delete_lease(lease_id)
        self._notify(revision + 1, now)

    def _notify(self, from_revision: int, now: float) -> None:
        changes = self.state.changes_since(from_revision) or ()
        for notice in self._watches.notices(changes):
            self._add_step(now + self.settings.watch_delay_seconds, _Delivery(notice))

    def _watch_refusal(self, now: float) -> str | None:
        if self.faults.refuses(now):
            return "the store is down"
        if not self._rate_limit.take(now):
            return "the store limits the rate"
        return None

    # -- outputs -------------------------------------------------------------------------------

    def _fail_at(self, at: float, operation_id: str, kind: StoreFailureKind) -> None:
        reply = reply_to(operation_id, self._awaited[operation_id], failed(kind))
        self._add_step(at, _Delivery(reply))

    def _deliver(self, output: StoreOutput, now: float) -> None:
        if isinstance(output, WatchChanged | WatchBroken):
            if self._watches.holds(output.watch_id):
                self._add_output(output, now)
            return
        if output.operation_id in self._awaited:
            del self._awaited[output.operation_id]
            self._add_output(output, now)

    def _add_output(self, output: StoreOutput, now: float) -> None:
        if not self._outputs:
            self._outputs_due_at = now
        self._outputs.append(output)

    def _add_step(self, at: float, step: _Step) -> None:
        self._step_count += 1
        heappush(self._steps, (at, self._step_count, step))


def _aged(lease: LeaseState, seconds: float) -> LeaseState:
    return replace(lease, time_to_live_seconds=max(0.0, lease.time_to_live_seconds - seconds))
