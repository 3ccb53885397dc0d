"""When a second replica is asked because the first one takes too long."""

from ...ports.machine import Action, Schedule
from ..crashing.sequential_sending import SequentialSending
from ..exchange import Exchange, ServiceCall
from ..sending.attempts import AttemptSender
from ..sending.latencies import RouteLatencies
from ..timers import HedgeDue
from .settlement import Settlement

RECHECK_SECONDS = 0.012
"""Least time between two looks at attempts that take too long."""
DUE_SHARE = 0.99
"""Part of the delay after which an attempt is due: timers may fire a little early."""
UNANSWERED_SHARDS = 4
"""Attempts under way from which on it says something that none was answered."""
UNANSWERED_SHARE = 0.5
"""Part of the objective for which second replicas are then not asked: a request that ends replicas
would end the second ones as well, before the first end is heard."""


class Hedging:
    """Looks at the attempts of an exchange until none may need another one.

    Parameters
    ----------
    latencies
        Tell how long attempts of a route usually take.
    sender
        Sends to the second replica, within the budget of extra arrivals.
    settlement
        Knows the open exchanges.
    careful
        Sends requests that may end replicas.
    """

    def __init__(
        self,
        latencies: RouteLatencies,
        sender: AttemptSender,
        settlement: Settlement,
        sequential: SequentialSending,
    ) -> None:
        self._sequential = sequential
        self._latencies = latencies
        self._sender = sender
        self._settlement = settlement

    def due(self, event: HedgeDue, now: float) -> list[Action]:
        """Ask second replicas where attempts take too long, and look again later."""
        exchange = self._settlement.get(event.exchange_id)
        if exchange is None:
            return []
        delay = self._latencies.hedge_seconds(exchange.route)
        actions = self._sequential.send_next(exchange, now) if exchange.is_sequential else []
        waits_for_first = _waits_for_first_answer(exchange, now)
        may_need_more = False
        for call in exchange.calls:
            if call.answer is not None or call.attempts_left <= 0:
                continue
            if call.is_delegated and not call.attempts:
                continue
            may_need_more = True
            if waits_for_first:
                continue
            if len(call.attempts) == 1 and _is_overdue(call, delay, now):
                actions += self._sender.try_send(call, now, False, is_hedge=True)
        if may_need_more and now < exchange.ends_at:
            again_at = now + max(RECHECK_SECONDS, delay / 4)
            actions.append(Schedule(again_at, event))
        return actions


def _waits_for_first_answer(exchange: Exchange, now: float) -> bool:
    """Whether it is early and none of several replicas has answered the request."""
    if exchange.is_cleared:
        return False
    if now >= exchange.arrived_at + exchange.route.objective_seconds * UNANSWERED_SHARE:
        return False
    return sum(len(call.attempts) for call in exchange.calls) >= UNANSWERED_SHARDS


def _is_overdue(call: ServiceCall, delay: float, now: float) -> bool:
    return all(now - attempt.sent_at >= delay * DUE_SHARE for attempt in call.attempts.values())
