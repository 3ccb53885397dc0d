"""Sends hedges: second attempts of calls whose first attempt takes too long."""

from ...ports.machine import Action, Schedule
from ..crashing.sequential_sending import SequentialSending
from ..exchange import Exchange, ServiceCall
from ..sending.attempts import AttemptSender
from ..sending.latencies import RouteLatencies
from ..timers import HedgeDue
from .settlement import Settlement

MIN_RECHECK_SECONDS = 0.012
"""Minimum time between two checks of an exchange for slow attempts."""
OVERDUE_RATIO = 0.99
"""Share of the hedge delay after which an attempt is overdue: timers may fire a little early."""
MIN_UNANSWERED_ATTEMPTS = 4
"""Number of attempts in flight from which on hedges wait for a first answer."""
FIRST_ANSWER_WAIT_RATIO = 0.5
"""Share of the objective for which hedges wait for a first answer. The wait prevents hedges from
sending a request that crashes replicas to further replicas."""


class Hedging:
    """Checks the attempts of an exchange until no call can be hedged any more.

    Parameters
    ----------
    latencies
        Provides the hedge delay of a route.
    sender
        Sends to the second replica, within the budget of extra requests.
    settlement
        Holds the open exchanges.
    sequential
        Sends requests that may crash replicas to one replica at a time.
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

    def on_hedge_due(self, event: HedgeDue, now: float) -> list[Action]:
        """Hedge the calls whose attempt takes too long, and schedule the next check."""
        exchange = self._settlement.get(event.exchange_id)
        if exchange is None:
            return []
        delay = self._latencies.hedge_seconds(exchange.route)
        actions = self._sequential.send_next(exchange, now) if exchange.is_sequential else []
        waits_for_first = _waits_for_first_answer(exchange, now)
        may_need_hedge = False
        for call in exchange.calls:
            if call.answer is not None or call.attempts_left <= 0:
                continue
            if call.is_delegated and not call.attempts:
                continue
            may_need_hedge = True
            if waits_for_first:
                continue
            if len(call.attempts) == 1 and _is_overdue(call, delay, now):
                actions += self._sender.try_send(call, now, False, is_hedge=True)
        if may_need_hedge and now < exchange.ends_at:
            next_check_at = now + max(MIN_RECHECK_SECONDS, delay / 4)
            actions.append(Schedule(next_check_at, event))
        return actions


def _waits_for_first_answer(exchange: Exchange, now: float) -> bool:
    """Return whether hedges wait: no replica has answered yet, and it is early."""
    if exchange.is_cleared:
        return False
    if now >= exchange.arrived_at + exchange.route.objective_seconds * FIRST_ANSWER_WAIT_RATIO:
        return False
    return sum(len(call.attempts) for call in exchange.calls) >= MIN_UNANSWERED_ATTEMPTS


def _is_overdue(call: ServiceCall, delay: float, now: float) -> bool:
    return all(now - attempt.sent_at >= delay * OVERDUE_RATIO for attempt in call.attempts.values())
