"""Sends calls to replicas, or lets them stand in line until one can be asked."""

from collections.abc import Iterable

from ...ports.machine import Action, Log, LogLevel, Observe, Schedule
from ..exchange import ServiceCall
from ..timers import RetryDue
from .attempts import AttemptSender
from .call_queue import CallQueue
from .waiting_policy import WaitingPolicy

TELL_SECONDS = 1.0
"""Seconds between two lines about what waits: callers of a node wait a few seconds at most, and an
operator who reads the lines of many nodes sees each wave of them once."""
MILLISECONDS_PER_SECOND = 1000.0


class CallStarter:
    """Starts calls, in the order of their line where they have to wait."""

    def __init__(self, sender: AttemptSender, waiting: WaitingPolicy, line: CallQueue) -> None:
        self._sender = sender
        self._waiting = waiting
        self._line = line
        self._tell_at = float("-inf")

    def begin(self, call: ServiceCall, now: float) -> list[Action]:
        """Start a call for the first time: the request earns extra arrivals at its service."""
        self._sender.earn(call.service, now)
        call.is_begun = True
        return self.send_or_queue(call, now)

    def send_or_queue(self, call: ServiceCall, now: float) -> list[Action]:
        """Send the call, or let it wait; those that wait already go by their order."""
        if self._line.has_any(call.service):
            return self._wait(call, now) + self.send_queued(call.service, now)
        actions = self._try_send(call, now)
        if not actions:
            return self._wait(call, now)
        self._line.charge(call, now)
        return actions

    def send_queued(self, service: str, now: float) -> list[Action]:
        """Send calls that wait for a replica of the service, in their order, while they can be."""
        actions: list[Action] = []

        def can_be_sent(call: ServiceCall) -> bool:
            sent = self._try_send(call, now)
            actions.extend(sent)
            return bool(sent)

        while (call := self._line.first(service, can_be_sent, now)) is not None:
            seconds = now - call.exchange.arrived_at
            priority = str(call.exchange.route.priority)
            actions.append(Observe("forwarded_wait_seconds", seconds, (("priority", priority),)))
        return actions

    def _try_send(self, call: ServiceCall, now: float) -> list[Action]:
        return self._sender.try_send(call, now, self._may_ask_blocked(call, now))

    def begin_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Start calls for the first time."""
        return [action for call in calls for action in self.begin(call, now)]

    def send_or_queue_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Send calls, or let them wait for replicas."""
        return [action for call in calls for action in self.send_or_queue(call, now)]

    def _may_ask_blocked(self, call: ServiceCall, now: float) -> bool:
        """Whether replicas that just failed are better than none.

        A merged answer does without a shard whose replicas are all out of reach, as long as it
        can be in time.
        """
        exchange = call.exchange
        return not exchange.route.shards or now >= exchange.cutoff_at

    def _wait(self, call: ServiceCall, now: float) -> list[Action]:
        exchange = call.exchange
        call.is_waiting = True
        self._line.add(call, now)
        actions = self._tell(call, now)
        if exchange.is_retry_scheduled:
            return actions
        exchange.is_retry_scheduled = True
        due_at = self._waiting.recheck_at(exchange, now)
        return [*actions, Schedule(due_at, RetryDue(exchange.exchange_id))]

    def _tell(self, call: ServiceCall, now: float) -> list[Action]:
        """Say now and then how much waits, for as long as something does."""
        if now < self._tell_at:
            return []
        self._tell_at = now + TELL_SECONDS
        oldest_ms = round(self._line.oldest_seconds(now) * MILLISECONDS_PER_SECOND)
        fields = (("waiting", len(self._line)), ("oldest_ms", oldest_ms), ("last", call.service))
        return [Log("calls_wait", LogLevel.INFO, fields)]
