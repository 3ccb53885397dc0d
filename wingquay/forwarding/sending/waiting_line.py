"""Calls that wait for a replica of their service, most urgent first."""

import heapq
from itertools import count

from ..exchange import ServiceCall


class WaitingLine:
    """One line for each service, in the order of priority, then of arrival."""

    def __init__(self) -> None:
        self._lines: dict[str, list[tuple[int, float, int, ServiceCall]]] = {}
        self._numbers = count()

    def add(self, call: ServiceCall) -> None:
        """Put a call in line."""
        exchange = call.exchange
        entry = (exchange.route.priority, exchange.arrived_at, next(self._numbers), call)
        heapq.heappush(self._lines.setdefault(call.service, []), entry)

    def ahead(self, call: ServiceCall) -> int:
        """Return how many calls go before one at its service."""
        exchange = call.exchange
        own = (exchange.route.priority, exchange.arrived_at)
        return sum(
            entry[:2] < own and entry[3].is_waiting for entry in self._lines.get(call.service, [])
        )

    def first(self, service: str) -> ServiceCall | None:
        """Take the most urgent call that still waits out of line."""
        line = self._lines.get(service)
        while line:
            call = heapq.heappop(line)[3]
            if call.is_waiting and call.answer is None and not call.attempts:
                return call
        self._lines.pop(service, None)
        return None
