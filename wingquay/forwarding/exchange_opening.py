"""Opens exchanges for admitted requests and makes their first sends, or rejects them."""

import random
from collections.abc import Callable

from ..model.routing_table import RoutingTable
from ..ports.machine import Action, Schedule
from .arrival.pending_arrivals import Arrival
from .choice.weighted_round_robin import WeightedRoundRobin
from .crashing.sequential_sending import SequentialSending
from .exchange import Exchange, ServiceCall
from .sending.call_starter import CallStarter
from .sending.decision import Reject
from .sending.latencies import RouteLatencies
from .sending.waiting_policy import WaitingPolicy
from .settings import ForwardingSettings
from .settling.cutoff import compute_cutoff_seconds
from .settling.settlement import Settlement
from .timers import CutoffDue, ExchangeEndDue, HedgeDue, RetryDue


class ExchangeOpening:
    """Opens exchanges, and begins them at once or when missing replica records have arrived.

    Parameters
    ----------
    waiting
        Decides whether requests that no replica can take wait or are rejected.
    random_source
        Sets the starting points of weighted routes.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        waiting: WaitingPolicy,
        latencies: RouteLatencies,
        settlement: Settlement,
        starter: CallStarter,
        sequential: SequentialSending,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._waiting = waiting
        self._latencies = latencies
        self._settlement = settlement
        self._starter = starter
        self._sequential = sequential
        self._weights = WeightedRoundRobin(random_source)
        self._awaiting_records: set[int] = set()
        self.delegate_calls: Callable[[Exchange, list[ServiceCall], float], list[Action]] | None = (
            None
        )
        """Delegates calls to other nodes; ``None`` until the links to them are open."""

    @property
    def awaiting_records_count(self) -> int:
        """Number of exchanges that wait for missing replica records."""
        return len(self._awaiting_records)

    def set_table(self, table: RoutingTable) -> None:
        """Apply a configuration to requests that arrive from now on."""
        self._weights.keep_only(table.routes)

    def open(self, arrival: Arrival, is_suspect: bool, now: float) -> list[Action]:
        """Open an exchange for a request and begin it.

        Parameters
        ----------
        is_suspect
            Whether replicas crashed during an earlier request with the same identity.
        """
        event = arrival.event
        route = arrival.route
        ends_at = max(self.compute_ends_at(arrival), now)
        cutoff_seconds = compute_cutoff_seconds(route, event.transit_seconds, self._settings)
        cutoff_at = min(arrival.arrived_at + cutoff_seconds, ends_at)
        exchange = Exchange(event, arrival.table, route, arrival.arrived_at, cutoff_at, ends_at)
        exchange.tenant = arrival.tenant
        exchange.is_suspect = is_suspect
        self._settlement.add(exchange)
        services = route.shards or (self._weights.choose(route),)
        exchange.calls = [ServiceCall(exchange, service) for service in services]
        return self.begin_or_await_records(exchange, now)

    def compute_ends_at(self, arrival: Arrival) -> float:
        """Return the time at which a request times out."""
        seconds = arrival.route.timeout_seconds
        deadline_seconds = arrival.event.deadline_seconds
        if deadline_seconds is not None:
            seconds = min(seconds, deadline_seconds)
        return arrival.sent_at + max(seconds - self._settings.timeout_margin_seconds, seconds / 2)

    def begin_or_await_records(self, exchange: Exchange, now: float) -> list[Action]:
        """Begin an exchange if enough services have replicas, or wait for missing records."""
        if self._settlement.can_meet_min_share(exchange, now):
            return self.begin(exchange, now)
        return self._await_records_or_reject(exchange, now)

    def begin(self, exchange: Exchange, now: float) -> list[Action]:
        """Send all calls of an exchange and schedule its timers."""
        event = exchange.event
        route = exchange.route
        self._awaiting_records.discard(exchange.exchange_id)
        actions: list[Action] = []
        if exchange.is_sequential and exchange.origin is None:
            actions += self._sequential.send_next(exchange, now)
        elif self.delegate_calls is not None and route.shards and exchange.origin is None:
            actions += self.delegate_calls(exchange, exchange.calls, now)
        else:
            actions += self._starter.begin_all(exchange.calls, now)
        actions.append(Schedule(exchange.ends_at, ExchangeEndDue(event.exchange_id)))
        if route.shards:
            actions.append(Schedule(exchange.cutoff_at, CutoffDue(event.exchange_id)))
        if route.is_repeatable and (route.max_attempts > 1 or exchange.is_sequential):
            hedge_at = now + self._latencies.hedge_seconds(route)
            actions.append(Schedule(hedge_at, HedgeDue(event.exchange_id)))
        return actions + self._settlement.settle(exchange, now)

    def _await_records_or_reject(self, exchange: Exchange, now: float) -> list[Action]:
        """Let an exchange wait for replica records, or reject it if its caller should retry."""
        match self._waiting.decide(exchange, now):
            case Reject() as rejection:
                self._awaiting_records.discard(exchange.exchange_id)
                return self._settlement.reject(exchange, rejection, now)
        self._awaiting_records.add(exchange.exchange_id)
        due_at = self._waiting.recheck_at(exchange, now)
        return [Schedule(due_at, RetryDue(exchange.exchange_id))]

    def awaits_records(self, exchange: Exchange) -> bool:
        """Return whether an exchange waits for missing replica records."""
        return exchange.exchange_id in self._awaiting_records

    def stop_awaiting_records(self, exchange: Exchange) -> None:
        """Remove an exchange that ends from those that wait for records."""
        self._awaiting_records.discard(exchange.exchange_id)
