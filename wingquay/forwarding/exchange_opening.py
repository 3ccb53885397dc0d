"""From a request that may run to its first sendings, or to its refusal if none can be made."""

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
from .settling.cutoff import in_time_seconds
from .settling.settlement import Settlement
from .timers import CutoffDue, ExchangeEndDue, HedgeDue, RetryDue


class ExchangeOpening:
    """Opens exchanges and begins them, or holds them while records of replicas are missing.

    Parameters
    ----------
    waiting
        Decides on requests that no replica can take.
    random_source
        Starts the rounds of weighted routes.
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
        self._held: set[int] = set()
        self.ask_nodes: Callable[[Exchange, list[ServiceCall], float], list[Action]] | None = None
        """Asks other nodes for shards, once the link to them is open."""

    @property
    def held(self) -> int:
        """The number of requests that are held for missing records of replicas."""
        return len(self._held)

    def set_table(self, table: RoutingTable) -> None:
        """Use a configuration for requests that arrive from now on."""
        self._weights.keep_only(table.routes)

    def open(self, arrival: Arrival, is_suspect: bool, now: float) -> list[Action]:
        """Open a request and begin it.

        Parameters
        ----------
        is_suspect
            Whether replicas ended under an earlier attempt of its caller.
        """
        event = arrival.event
        route = arrival.route
        ends_at = max(self.ends_at(arrival), now)
        in_time = in_time_seconds(route, event.transit_seconds, self._settings)
        cutoff_at = min(arrival.arrived_at + in_time, ends_at)
        exchange = Exchange(event, arrival.table, route, arrival.arrived_at, cutoff_at, ends_at)
        exchange.tenant = arrival.tenant
        exchange.is_suspect = is_suspect
        self._settlement.add(exchange)
        services = route.shards or (self._weights.choose(route),)
        exchange.calls = [ServiceCall(exchange, service) for service in services]
        return self.begin_or_hold(exchange, now)

    def ends_at(self, arrival: Arrival) -> float:
        """Return when a request is given up on."""
        seconds = arrival.route.timeout_seconds
        deadline_seconds = arrival.event.deadline_seconds
        if deadline_seconds is not None:
            seconds = min(seconds, deadline_seconds)
        return arrival.sent_at + max(seconds - self._settings.end_margin_seconds, seconds / 2)

    def begin_or_hold(self, exchange: Exchange, now: float) -> list[Action]:
        """Begin a request if replicas can be asked; hold it while records are missing."""
        if self._settlement.can_be_enough(exchange, now):
            return self.begin(exchange, now)
        return self._hold_or_refuse(exchange, now)

    def begin(self, exchange: Exchange, now: float) -> list[Action]:
        """Send all calls and set the timers."""
        event = exchange.event
        route = exchange.route
        self._held.discard(exchange.exchange_id)
        actions: list[Action] = []
        if exchange.is_sequential and exchange.origin is None:
            actions += self._sequential.send_next(exchange, now)
        elif self.ask_nodes is not None and route.shards and exchange.origin is None:
            actions += self.ask_nodes(exchange, exchange.calls, now)
        else:
            actions += self._starter.begin_all(exchange.calls, now)
        actions.append(Schedule(exchange.ends_at, ExchangeEndDue(event.exchange_id)))
        if route.shards:
            actions.append(Schedule(exchange.cutoff_at, CutoffDue(event.exchange_id)))
        if route.is_repeatable and (route.max_attempts > 1 or exchange.is_sequential):
            hedge_at = now + self._latencies.hedge_seconds(route)
            actions.append(Schedule(hedge_at, HedgeDue(event.exchange_id)))
        return actions + self._settlement.settle(exchange, now)

    def _hold_or_refuse(self, exchange: Exchange, now: float) -> list[Action]:
        """Hold a request that no replica can take, as long as that is better than coming back."""
        match self._waiting.decide(exchange, now):
            case Reject() as rejection:
                self._held.discard(exchange.exchange_id)
                return self._settlement.reject(exchange, rejection, now)
        self._held.add(exchange.exchange_id)
        due_at = self._waiting.recheck_at(exchange, now)
        return [Schedule(due_at, RetryDue(exchange.exchange_id))]

    def is_held(self, exchange: Exchange) -> bool:
        """Whether a request is held for missing records of replicas."""
        return exchange.exchange_id in self._held

    def not_held(self, exchange: Exchange) -> None:
        """Take in that a request ends."""
        self._held.discard(exchange.exchange_id)
