"""Sends a request that may crash replicas to one replica at a time."""

from collections.abc import Callable

from ...ports.machine import Action
from ..exchange import Exchange, ServiceCall
from ..sending.call_starter import CallStarter


class SequentialSending:
    """Sends the calls of a request one by one, and all remaining ones once it is cleared."""

    def __init__(self, starter: CallStarter) -> None:
        self._starter = starter
        self.begin_calls: Callable[[Exchange, list[ServiceCall], float], list[Action]] = self._begin
        """Begins calls in parallel, by delegation once links to other nodes are open."""

    def send_next(self, exchange: Exchange, now: float) -> list[Action]:
        """Send one call, unless a recent attempt of the exchange is still in flight."""
        actions: list[Action] = []
        if exchange.has_recent_attempt(now):
            return actions
        for call in _open_calls(exchange):
            actions += self._start(call, now)
            if call.attempts:
                break
        return actions

    def send_remaining(self, exchange: Exchange, now: float) -> list[Action]:
        """Send all remaining calls of a request that was cleared."""
        open_calls = _open_calls(exchange)
        begun = [call for call in open_calls if call.is_begun]
        not_begun = [call for call in open_calls if not call.is_begun]
        actions = self.begin_calls(exchange, not_begun, now) if not_begun else []
        return actions + self._starter.send_or_queue_all(begun, now)

    def _start(self, call: ServiceCall, now: float) -> list[Action]:
        if call.is_begun:
            return self._starter.send_or_queue(call, now)
        return self._starter.begin(call, now)

    def _begin(self, _exchange: Exchange, calls: list[ServiceCall], now: float) -> list[Action]:
        return self._starter.begin_all(calls, now)


def _open_calls(exchange: Exchange) -> list[ServiceCall]:
    """Return the calls that are not in flight and may still be sent."""
    return [
        call
        for call in exchange.calls
        if call.answer is None
        and not call.attempts
        and not call.is_delegated
        and call.attempts_left > 0
        and (exchange.is_repeatable or not call.may_have_run)
    ]
