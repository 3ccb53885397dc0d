"""Sends calls to replicas, or lets them stand in line until one can be asked."""

from collections.abc import Iterable

from ...ports.machine import Action, Schedule
from ..exchange import ServiceCall
from ..settings import ForwardingSettings
from ..timers import RetryDue
from .attempts import AttemptSender
from .waiting_line import WaitingLine


class CallStarter:
    """Starts calls, most urgent first where they have to wait."""

    def __init__(self, settings: ForwardingSettings, sender: AttemptSender) -> None:
        self._settings = settings
        self._sender = sender
        self._waiting = WaitingLine()

    def begin(self, call: ServiceCall, now: float) -> list[Action]:
        """Start a call for the first time: the request earns extra arrivals at its service."""
        self._sender.earn(call.service)
        call.is_begun = True
        return self.start(call, now)

    def start(self, call: ServiceCall, now: float) -> list[Action]:
        """Send the call, or let it wait for a replica."""
        actions = self._sender.try_send(call, now, self._may_ask_blocked(call, now))
        if actions:
            return actions
        return self._wait(call, now)

    def begin_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Start calls for the first time."""
        return [action for call in calls for action in self.begin(call, now)]

    def start_all(self, calls: Iterable[ServiceCall], now: float) -> list[Action]:
        """Send calls, or let them wait for replicas."""
        return [action for call in calls for action in self.start(call, now)]

    def _may_ask_blocked(self, call: ServiceCall, now: float) -> bool:
        """Whether replicas that just failed are better than none.

        A merged answer does without a shard whose replicas are all out of reach, as long as it
        can be in time.
        """
        exchange = call.exchange
        return not exchange.route.shards or now >= exchange.in_time_at

    def _wait(self, call: ServiceCall, now: float) -> list[Action]:
        exchange = call.exchange
        call.is_waiting = True
        self._waiting.add(call)
        if exchange.is_retry_due:
            return []
        exchange.is_retry_due = True
        due_at = now + self._settings.retry_wait_seconds
        return [Schedule(due_at, RetryDue(exchange.exchange_id))]

    def serve_waiting(self, service: str, now: float) -> list[Action]:
        """Send the most urgent call that waits for a replica of the service."""
        call = self._waiting.first(service)
        if call is None:
            return []
        return self._sender.try_send(call, now, self._may_ask_blocked(call, now))
