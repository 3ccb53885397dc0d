"""Decides when an exchange ends and with what, and keeps account of the open ones."""

from collections.abc import Callable

from ...ports.machine import Action
from ..choice.replica_directory import ReplicaDirectory
from ..exchange import Exchange, ServiceCall
from ..sending.attempts import AttemptSender
from ..sending.decision import Reject
from ..sending.waiting_policy import WaitingPolicy
from .cutoff import is_enough
from .ending import ExchangeEnding

TIME_TOLERANCE_SECONDS = 1e-6


class Settlement:
    """The open exchanges and their ends.

    Parameters
    ----------
    waiting
        Decides whether requests that reach no replica wait.
    directory
        Tells which services can be asked.
    sender
        Ends attempts that nobody waits for any more.
    ending
        Makes the replies.
    """

    def __init__(
        self,
        waiting: WaitingPolicy,
        directory: ReplicaDirectory,
        sender: AttemptSender,
        ending: ExchangeEnding,
    ) -> None:
        self._waiting = waiting
        self._directory = directory
        self._sender = sender
        self._ending = ending
        self._exchanges: dict[int, Exchange] = {}
        self.on_closed: Callable[[Exchange], list[Action]] = _nothing_more
        """Returns what else is to be done when an exchange ends."""
        self.on_not_run: Callable[[Exchange, float], list[Action]] = _nothing_to_give_back
        """Takes in that a tenant's request has ended and no replica may have run it."""

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Take in an exchange."""
        self._exchanges[exchange.exchange_id] = exchange

    def get(self, exchange_id: int) -> Exchange | None:
        """Return an open exchange."""
        return self._exchanges.get(exchange_id)

    def is_open(self, exchange: Exchange) -> bool:
        """Whether the caller still waits for the answer."""
        return exchange.exchange_id in self._exchanges

    def caller_left(self, exchange: Exchange, now: float) -> list[Action]:
        """End an exchange whose caller is gone."""
        if exchange.origin is not None:
            return self._close(exchange, self._ending.for_node(exchange, now), now)
        return self._close(exchange, self._ending.caller_left(exchange, now), now)

    def out_of_time(self, exchange: Exchange, now: float) -> list[Action]:
        """End an exchange whose time is over, with what is in if that is enough."""
        settled = self.settle(exchange, now)
        if not self.is_open(exchange):
            return settled
        if exchange.origin is not None:
            return self._close(exchange, [*settled, *self._ending.for_node(exchange, now)], now)
        return self._close(exchange, self._ending.out_of_time(exchange, now), now)

    def end_overdue(self, now: float) -> list[Action]:
        """End every exchange whose time is over."""
        actions: list[Action] = []
        for exchange in list(self._exchanges.values()):
            if now >= exchange.ends_at:
                actions += self.out_of_time(exchange, now)
        return actions

    def reject(self, exchange: Exchange, rejection: Reject, now: float) -> list[Action]:
        """End an exchange that has run nowhere, and say when there will be room for its caller."""
        return self._close(exchange, self._ending.reject(exchange, rejection, now), now)

    def end_held(self, identity: bytes, held_seconds: float, now: float) -> list[Action]:
        """End what is under way of a request under which replicas end, at once."""
        actions: list[Action] = []
        for exchange in list(self._exchanges.values()):
            if exchange.identity == identity:
                actions += self._end_held(exchange, held_seconds, now)
        return actions

    def _end_held(self, exchange: Exchange, held_seconds: float, now: float) -> list[Action]:
        # Replicas that have not begun to run it drop it with its connection.
        actions: list[Action] = []
        for attempt in [item for call in exchange.calls for item in call.attempts.values()]:
            actions += self._sender.cancel(attempt, now)
        if exchange.origin is not None:
            return self._close(exchange, actions + exchange.origin.report_held(held_seconds), now)
        ended = self._ending.held(exchange, held_seconds, now)
        return self._close(exchange, actions + ended, now)

    def give_back(self, exchange: Exchange, now: float) -> list[Action]:
        """Leave what is not under way to the node that asked for it."""
        assert exchange.origin is not None
        actions = exchange.origin.give_back(exchange)
        if not exchange.calls:
            return self._close(exchange, actions, now)
        return actions + self.settle(exchange, now)

    def settle(self, exchange: Exchange, now: float) -> list[Action]:
        """Answer the caller if there is nothing more to wait for."""
        if not self.is_open(exchange):
            return []
        if exchange.origin is not None:
            return self._settle_for_node(exchange, now)
        if exchange.route.shards:
            return self._settle_merged(exchange, now)
        return self._settle_single(exchange, now)

    def _settle_for_node(self, exchange: Exchange, now: float) -> list[Action]:
        """Report what is in once all of it is, or once the node has to answer its caller.

        That nothing comes of a shard is told at once: it may be the one too many.
        """
        assert exchange.origin is not None
        exhausted = [call for call in exchange.calls if call.is_exhausted]
        told = exchange.origin.report_exhausted(exhausted) if exchange.failures else []
        is_over = exchange.shards_in + len(exhausted) == len(exchange.calls)
        if exhausted and not exchange.origin.may_retry:
            is_over = False
        if not is_over and now < exchange.cutoff_at - TIME_TOLERANCE_SECONDS:
            return told
        actions = exchange.origin.report(exchange) + told
        if not is_over:
            return actions
        return self._close(exchange, actions, now)

    def _settle_merged(self, exchange: Exchange, now: float) -> list[Action]:
        enough = is_enough(exchange.route, exchange.shards_in)
        is_over = exchange.shards_in == len(exchange.calls)
        if not is_over and enough:
            is_over = now >= exchange.cutoff_at - TIME_TOLERANCE_SECONDS or all(
                self._is_hopeless(call, now) for call in exchange.calls if call.answer is None
            )
        if not is_over:
            if self._is_lost(exchange):
                return self._close(exchange, self._ending.too_few(exchange, now), now)
            return self._reject_unoffered(exchange, now)
        merged = self._ending.merged(exchange, exchange.answered_calls, now)
        return self._close(exchange, merged, now)

    def _is_lost(self, exchange: Exchange) -> bool:
        """Whether too many shards certainly bring no answer any more for a success."""
        shards = len(exchange.calls)
        if is_enough(exchange.route, shards - exchange.failures):
            return False
        return not is_enough(exchange.route, shards - self._exhausted(exchange))

    @staticmethod
    def _exhausted(exchange: Exchange) -> int:
        """Return how many shards certainly bring no answer any more."""
        return sum(call.is_exhausted for call in exchange.calls)

    def _settle_single(self, exchange: Exchange, now: float) -> list[Action]:
        call = exchange.calls[0]
        if call.answer is not None:
            return self._close(exchange, self._ending.unchanged(exchange, call.answer, now), now)
        if call.attempts or not call.may_have_run:
            return self._reject_unoffered(exchange, now)
        match self._waiting.decide(exchange, now):
            case Reject():
                return self._close(exchange, self._ending.failed(exchange, call, now), now)
            case _:
                return []

    def _reject_unoffered(self, exchange: Exchange, now: float) -> list[Action]:
        """Reject a request that reaches no replica, once coming back is better than waiting."""
        if exchange.may_have_run or any(call.attempts for call in exchange.calls):
            return []
        match self._waiting.decide(exchange, now):
            case Reject() as rejection:
                return self.reject(exchange, rejection, now)
            case _:
                return []

    def can_be_enough(self, exchange: Exchange, now: float) -> bool:
        """Whether the services of which a replica can be asked make a success."""
        if not exchange.route.shards:
            return self._directory.has_candidates(exchange.calls[0].service, now)
        usable = [self._directory.has_unblocked(call.service, now) for call in exchange.calls]
        return is_enough(exchange.route, sum(usable))

    def _is_hopeless(self, call: ServiceCall, now: float) -> bool:
        """Whether nothing can come of the call before the answer must leave."""
        if call.attempts or call.is_delegated:
            return False
        if call.attempts_left <= 0:
            return True
        return not self._directory.has_unblocked(call.service, now)

    def _close(self, exchange: Exchange, actions: list[Action], now: float) -> list[Action]:
        del self._exchanges[exchange.exchange_id]
        actions = actions + self.on_closed(exchange)
        if exchange.tenant is not None and exchange.origin is None and not exchange.may_have_run:
            actions = actions + self.on_not_run(exchange, now)
        for call in exchange.calls:
            call.is_waiting = False
            actions = actions + self._sender.abandon(call, now)
        return actions


def _nothing_more(_exchange: Exchange) -> list[Action]:
    return []


def _nothing_to_give_back(_exchange: Exchange, _now: float) -> list[Action]:
    return []
