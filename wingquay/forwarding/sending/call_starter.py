"""Sends calls to replicas, or queues them until a replica has capacity."""

from collections.abc import Iterable

from ...ports.machine import Action, Log, LogLevel, Observe, Schedule
from ..exchange import ServiceCall
from ..timers import RetryDue
from .attempts import AttemptSender
from .call_queue import CallQueue
from .waiting_policy import WaitingPolicy

LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines about waiting calls."""
MILLISECONDS_PER_SECOND = 1000.0


class CallStarter:
    """Sends calls, in the order of the queue where calls have to wait."""

    def __init__(self, sender: AttemptSender, waiting: WaitingPolicy, queue: CallQueue) -> None:
        self._sender = sender
        self._waiting = waiting
        self._queue = queue
        self._next_log_at = float("-inf")

    def begin(self, call: ServiceCall, now: float) -> list[Action]:
        """Send or queue a new call, which earns extra requests for its service."""
        self._sender.earn(call.service, now)
        call.is_begun = True
        return self.send_or_queue(call, now)

    def send_or_queue(self, call: ServiceCall, now: float) -> list[Action]:
        """Send the call if a replica has capacity and no other call waits; otherwise queue it."""
        if self._queue.has_waiting(call.service):
            return self._enqueue(call, now) + self.send_queued(call.service, now)
        actions = self._try_send(call, now)
        if not actions:
            return self._enqueue(call, now)
        self._queue.charge(call, now)
        return actions

    def send_queued(self, service: str, now: float) -> list[Action]:
        """Send the waiting calls of a service in queue order, as long as there is capacity.

        ``pop_first`` removes a call from the queue only if it was sent.
        """
        actions: list[Action] = []

        def try_send_call(call: ServiceCall) -> bool:
            sent = self._try_send(call, now)
            actions.extend(sent)
            return bool(sent)

        while (call := self._queue.pop_first(service, try_send_call, now)) is not None:
            seconds = now - call.exchange.arrived_at
            priority = str(call.exchange.route.priority)
            actions.append(Observe("forwarded_wait_seconds", seconds, (("priority", priority),)))
        return actions

    def _try_send(self, call: ServiceCall, now: float) -> list[Action]:
        return self._sender.try_send(call, now, self._may_use_blocked(call, now))

    def begin_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Send or queue new calls."""
        return [action for call in calls for action in self.begin(call, now)]

    def send_or_queue_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Send or queue several calls."""
        return [action for call in calls for action in self.send_or_queue(call, now)]

    def _may_use_blocked(self, call: ServiceCall, now: float) -> bool:
        """Whether a call may be sent to a blocked replica when there is no other.

        Until its cutoff, a merged answer rather omits a shard whose replicas are all blocked.
        """
        exchange = call.exchange
        return not exchange.route.shards or now >= exchange.cutoff_at

    def _enqueue(self, call: ServiceCall, now: float) -> list[Action]:
        exchange = call.exchange
        call.is_waiting = True
        self._queue.add(call, now)
        actions = self._log_waiting(call, now)
        if exchange.is_retry_scheduled:
            return actions
        exchange.is_retry_scheduled = True
        due_at = self._waiting.recheck_at(exchange, now)
        return [*actions, Schedule(due_at, RetryDue(exchange.exchange_id))]

    def _log_waiting(self, call: ServiceCall, now: float) -> list[Action]:
        """Return a log line about the waiting calls, at most one per interval."""
        if now < self._next_log_at:
            return []
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        oldest_ms = round(self._queue.oldest_wait_seconds(now) * MILLISECONDS_PER_SECOND)
        fields = (
            ("waiting", len(self._queue)),
            ("oldest_ms", oldest_ms),
            ("service", call.service),
        )
        return [Log("calls_waiting", LogLevel.INFO, fields)]
