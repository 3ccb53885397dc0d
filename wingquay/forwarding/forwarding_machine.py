"""Passes requests on to replicas: one replica, or one of each shard with a merged answer."""

import random

from wingquay.forwarding.attempts import AttemptSender
from wingquay.forwarding.cutoff import in_time_seconds, is_enough
from wingquay.forwarding.ending import ExchangeEnding
from wingquay.forwarding.exchange import Attempt, Exchange, ServiceCall
from wingquay.forwarding.latencies import RouteLatencies
from wingquay.forwarding.presence import NodeCount
from wingquay.forwarding.replica_directory import ReplicaDirectory
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.forwarding.timers import (
    AbandonDue,
    CutoffDue,
    ExchangeEndDue,
    HedgeDue,
    RetryDue,
)
from wingquay.forwarding.waiting_line import WaitingLine
from wingquay.forwarding.weighted_choice import WeightedChoice
from wingquay.model.routing_table import Route, RoutingTable
from wingquay.ports.forwarding import (
    CallerLeft,
    ForwardRequested,
    ReplicaAnswer,
    ReplicaAnswered,
    SendFailed,
    SendFailureKind,
)
from wingquay.ports.machine import Action, Event, Schedule

UNCONFIGURED_RETRY_SECONDS = 0.3
FIRST_SERVER_ERROR_STATUS = 500
HEDGE_RECHECK_SECONDS = 0.012
"""Time between two looks at attempts that take too long."""


class ForwardingMachine:
    """Decides what happens to each request.

    Parameters
    ----------
    settings
        Times and budgets.
    directory
        The replicas; kept up to date by another machine.
    nodes
        How many nodes there are; kept up to date by another machine.
    random_source
        Starts the rounds of weighted routes.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        nodes: NodeCount,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._latencies = RouteLatencies(settings)
        self._sender = AttemptSender(settings, directory, self._latencies, nodes)
        self._weights = WeightedChoice(random_source)
        self._waiting = WaitingLine()
        self._ending = ExchangeEnding()
        self._table: RoutingTable | None = None
        self._exchanges: dict[int, Exchange] = {}
        self._held: set[int] = set()

    @property
    def open_exchanges(self) -> int:
        """The number of requests without an answer."""
        return len(self._exchanges)

    @property
    def held_exchanges(self) -> int:
        """The number of requests that are held for missing records of replicas."""
        return len(self._held)

    def set_table(self, table: RoutingTable) -> None:
        """Use a configuration for requests that arrive from now on."""
        self._table = table
        self._weights.keep_only(table.routes)
        self._latencies.keep_only(table.routes)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done."""
        if isinstance(event, ReplicaAnswered):
            return self._answered(event, now)
        if isinstance(event, ForwardRequested):
            return self._requested(event, now)
        if isinstance(event, HedgeDue):
            return self._hedge_due(event, now)
        if isinstance(event, SendFailed):
            return self._send_failed(event, now)
        if isinstance(event, AbandonDue):
            return self._abandon_due(event, now)
        if isinstance(event, CutoffDue | ExchangeEndDue | RetryDue | CallerLeft):
            return self._exchange_event(event, now)
        return []

    # Arrival

    def _requested(self, event: ForwardRequested, now: float) -> list[Action]:
        table = self._table
        if table is None:
            return self._ending.refuse_arrival(
                event, "no configuration yet", UNCONFIGURED_RETRY_SECONDS
            )
        route = table.find(event.host, event.path)
        if route is None:
            return self._ending.no_route(event, table.version)
        exchange = self._open(event, table, route, now)
        services = route.shards or (self._weights.choose(route),)
        exchange.calls = [ServiceCall(exchange, service) for service in services]
        for call in exchange.calls:
            self._sender.earn(call.service)
        if not self._can_be_enough(exchange, now):
            return self._hold_or_refuse(exchange, now)
        return self._begin(exchange, now)

    def _begin(self, exchange: Exchange, now: float) -> list[Action]:
        """Send all calls and set the timers."""
        event = exchange.event
        route = exchange.route
        self._held.discard(exchange.exchange_id)
        actions: list[Action] = []
        for call in exchange.calls:
            actions += self._start(call, now)
        actions.append(Schedule(exchange.ends_at, ExchangeEndDue(event.exchange_id)))
        if route.shards:
            actions.append(Schedule(exchange.in_time_at, CutoffDue(event.exchange_id)))
        if route.is_repeatable and route.max_attempts > 1:
            hedge_at = now + self._latencies.hedge_seconds(route)
            actions.append(Schedule(hedge_at, HedgeDue(event.exchange_id)))
        return actions + self._settle(exchange, now)

    def _hold_or_refuse(self, exchange: Exchange, now: float) -> list[Action]:
        """Hold a request while records of replicas are missing; refuse it otherwise."""
        whole_seconds = exchange.ends_at - exchange.arrived_at
        held_until = exchange.arrived_at + whole_seconds * self._settings.hold_ratio
        if not self._directory.is_settling(now) or now >= held_until:
            return self._close(exchange, self._refuse(exchange, now), now)
        self._held.add(exchange.exchange_id)
        due_at = now + self._settings.retry_wait_seconds
        return [Schedule(due_at, RetryDue(exchange.exchange_id))]

    def _open(
        self, event: ForwardRequested, table: RoutingTable, route: Route, now: float
    ) -> Exchange:
        seconds = route.timeout_seconds
        if event.deadline_seconds is not None:
            seconds = min(seconds, event.deadline_seconds)
        ends_at = now + max(seconds - self._settings.end_margin_seconds, seconds / 2)
        in_time_at = min(
            now + in_time_seconds(route, event.transit_seconds, self._settings), ends_at
        )
        exchange = Exchange(event, table, route, now, in_time_at, ends_at)
        self._exchanges[event.exchange_id] = exchange
        return exchange

    def _start(self, call: ServiceCall, now: float) -> list[Action]:
        """Send the call, or let it wait for a replica."""
        actions = self._sender.try_send(call, now, self._may_ask_blocked(call, now))
        if actions:
            return actions
        return self._wait(call, now)

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

    # What replicas do

    def _answered(self, event: ReplicaAnswered, now: float) -> list[Action]:
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        answer = event.answer
        actions: list[Action] = []
        self._sender.finish(attempt)
        if answer.is_other_replica:
            self._directory.remove(attempt.replica.record.replica_id)
        elif answer.not_run:
            attempt.replica.on_shed(self._settings, now)
        else:
            actions += self._sender.answered(attempt, event.load, now)
            if not answer.is_success and answer.status >= FIRST_SERVER_ERROR_STATUS:
                attempt.replica.on_trouble(now)
        self._note(attempt, f"{answer.status}{' not run' if answer.not_run else ''}", now)
        actions += self._take_answer(attempt, answer, now)
        return actions + self._serve_waiting(attempt.call.service, now)

    def _take_answer(self, attempt: Attempt, answer: ReplicaAnswer, now: float) -> list[Action]:
        call = attempt.call
        exchange = call.exchange
        not_run = answer.not_run or answer.is_other_replica
        if not_run:
            self._sender.not_run(attempt)
        if not self._is_open(exchange) or call.answer is not None:
            return []
        if not_run:
            return self._retry(call, now)
        if answer.is_success and answer.signature not in exchange.signatures:
            call.answer = answer
            call.answered_at = now
            exchange.signatures.add(str(answer.signature))
            return self._sender.abandon(call, now) + self._settle(exchange, now)
        if not answer.is_success and answer.signature is not None:
            call.failure = answer
        if exchange.is_repeatable:
            return self._retry(call, now)
        return self._settle(exchange, now)

    def _send_failed(self, event: SendFailed, now: float) -> list[Action]:
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        call = attempt.call
        self._sender.finish(attempt)
        self._note(attempt, event.kind.value, now)
        was_sent = event.kind is not SendFailureKind.NOT_SENT
        actions: list[Action] = []
        if event.kind is not SendFailureKind.MALFORMED:
            actions += self._sender.failed(attempt, event.reason, not was_sent, now)
        else:
            attempt.replica.on_trouble(now)
        if not was_sent:
            self._sender.not_arrived(attempt)
        if self._is_open(call.exchange) and call.answer is None:
            if was_sent and not call.exchange.is_repeatable:
                actions += self._settle(call.exchange, now)
            else:
                actions += self._retry(call, now)
        return actions + self._serve_waiting(call.service, now)

    def _retry(self, call: ServiceCall, now: float) -> list[Action]:
        """Ask another replica, unless an attempt of the call is still under way."""
        actions: list[Action] = []
        if not call.attempts:
            actions = self._start(call, now)
        return actions + self._settle(call.exchange, now)

    def _serve_waiting(self, service: str, now: float) -> list[Action]:
        """Send the most urgent call that waits for a replica of the service."""
        call = self._waiting.first(service)
        if call is None:
            return []
        return self._sender.try_send(call, now, self._may_ask_blocked(call, now))

    # Time

    def _hedge_due(self, event: HedgeDue, now: float) -> list[Action]:
        exchange = self._exchanges.get(event.exchange_id)
        if exchange is None:
            return []
        delay = self._latencies.hedge_seconds(exchange.route)
        actions: list[Action] = []
        may_need_more = False
        for call in exchange.calls:
            if call.answer is not None or len(call.asked) >= exchange.route.max_attempts:
                continue
            may_need_more = True
            if len(call.attempts) == 1 and self._is_overdue(call, delay, now):
                actions += self._sender.try_send(call, now, False, is_hedge=True)
        if may_need_more and now < exchange.ends_at:
            again_at = now + max(HEDGE_RECHECK_SECONDS, delay / 4)
            actions.append(Schedule(again_at, event))
        return actions

    def _is_overdue(self, call: ServiceCall, delay: float, now: float) -> bool:
        return all(now - attempt.sent_at >= delay * 0.99 for attempt in call.attempts.values())

    def _abandon_due(self, event: AbandonDue, now: float) -> list[Action]:
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        actions = self._sender.cancel(attempt, now)
        return actions + self._serve_waiting(attempt.call.service, now)

    def _exchange_event(
        self, event: CutoffDue | ExchangeEndDue | RetryDue | CallerLeft, now: float
    ) -> list[Action]:
        exchange = self._exchanges.get(event.exchange_id)
        if exchange is None:
            return []
        if isinstance(event, RetryDue):
            return self._retry_due(exchange, now)
        if isinstance(event, CutoffDue):
            return self._settle(exchange, now)
        if isinstance(event, CallerLeft):
            return self._close(exchange, self._ending.caller_left(exchange, now), now)
        return self._settle(exchange, now) or self._out_of_time(exchange, now)

    def _out_of_time(self, exchange: Exchange, now: float) -> list[Action]:
        return self._close(exchange, self._ending.out_of_time(exchange, now), now)

    def _retry_due(self, exchange: Exchange, now: float) -> list[Action]:
        if exchange.exchange_id in self._held:
            can_begin = self._can_be_enough(exchange, now)
            return self._begin(exchange, now) if can_begin else self._hold_or_refuse(exchange, now)
        exchange.is_retry_due = False
        actions: list[Action] = []
        for call in exchange.calls:
            if call.is_waiting and call.answer is None and not call.attempts:
                call.refused.clear()
                actions += self._start(call, now)
        return actions + self._settle(exchange, now)

    # Ending

    def _settle(self, exchange: Exchange, now: float) -> list[Action]:
        """Answer the caller if there is nothing more to wait for."""
        if not self._is_open(exchange):
            return []
        if exchange.route.shards:
            return self._settle_merged(exchange, now)
        return self._settle_single(exchange, now)

    def _settle_merged(self, exchange: Exchange, now: float) -> list[Action]:
        answered = exchange.answered_calls
        enough = is_enough(exchange.route, len(answered))
        is_over = len(answered) == len(exchange.calls)
        if not is_over and enough:
            is_over = now >= exchange.in_time_at - 1e-6 or all(
                self._is_hopeless(call, now) for call in exchange.calls if call.answer is None
            )
        if not is_over:
            return self._refuse_unoffered(exchange, now)
        return self._close(exchange, self._ending.merged(exchange, answered, now), now)

    def _settle_single(self, exchange: Exchange, now: float) -> list[Action]:
        call = exchange.calls[0]
        if call.answer is not None:
            return self._close(exchange, self._ending.unchanged(exchange, call.answer, now), now)
        if call.attempts or not call.may_have_run:
            return self._refuse_unoffered(exchange, now)
        exhausted = len(call.asked) >= exchange.route.max_attempts
        if exhausted or not exchange.is_repeatable:
            return self._close(exchange, self._ending.failed(exchange, call, now), now)
        return []

    def _refuse_unoffered(self, exchange: Exchange, now: float) -> list[Action]:
        """Refuse a request that can reach no replica, while coming back is worth it."""
        if exchange.may_have_run or any(call.attempts for call in exchange.calls):
            return []
        latest = exchange.in_time_at
        if not any(self._directory.has_usable(call.service, now) for call in exchange.calls):
            objective = exchange.route.objective_seconds
            latest = exchange.arrived_at + objective * self._settings.offer_ratio
        if now + self._settings.retry_wait_seconds < latest:
            return []
        return self._close(exchange, self._refuse(exchange, now), now)

    def _refuse(self, exchange: Exchange, now: float) -> list[Action]:
        usable_at = max(self._directory.usable_at(call.service, now) for call in exchange.calls)
        return self._ending.refuse(exchange, "no replica can be asked", usable_at - now, now)

    def _can_be_enough(self, exchange: Exchange, now: float) -> bool:
        """Whether the services of which a replica can be asked make a success."""
        if not exchange.route.shards:
            service = exchange.calls[0].service
            return self._directory.has_any(service, now) or not self._directory.is_settling(now)
        usable = [self._directory.has_usable(call.service, now) for call in exchange.calls]
        return is_enough(exchange.route, sum(usable))

    def _is_hopeless(self, call: ServiceCall, now: float) -> bool:
        """Whether nothing can come of the call before the answer must leave."""
        if call.attempts:
            return False
        if len(call.asked) >= call.exchange.route.max_attempts:
            return True
        return not self._directory.has_usable(call.service, now)

    def _close(self, exchange: Exchange, actions: list[Action], now: float) -> list[Action]:
        del self._exchanges[exchange.exchange_id]
        self._held.discard(exchange.exchange_id)
        for call in exchange.calls:
            call.is_waiting = False
            actions = actions + self._sender.abandon(call, now)
        return actions

    def _is_open(self, exchange: Exchange) -> bool:
        return exchange.exchange_id in self._exchanges

    @staticmethod
    def _note(attempt: Attempt, outcome: str, now: float) -> None:
        took_ms = round((now - attempt.sent_at) * 1000.0)
        kind = "hedge" if attempt.is_hedge else "send"
        replica_id = attempt.replica.record.replica_id
        attempt.call.history.append(f"{kind} {replica_id} {took_ms}ms {outcome}")
