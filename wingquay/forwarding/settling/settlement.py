"""Holds the open exchanges and decides when each of them ends; ``ReplyBuilder`` builds replies."""

from collections.abc import Callable

from ...ports.machine import Action
from ..choice.replica_directory import ReplicaDirectory
from ..exchange import Exchange, ServiceCall
from ..sending.attempts import AttemptSender
from ..sending.decision import Reject
from ..sending.waiting_policy import WaitingPolicy
from .cutoff import meets_min_share
from .reply_builder import ReplyBuilder

TIME_TOLERANCE_SECONDS = 1e-6


class Settlement:
    """Holds the open exchanges and ends them.

    Parameters
    ----------
    waiting
        Decides whether requests that no replica can take wait or are rejected.
    directory
        Provides the services that have unblocked replicas.
    sender
        Cancels attempts whose answer is no longer needed.
    replies
        Builds the replies.
    """

    def __init__(
        self,
        waiting: WaitingPolicy,
        directory: ReplicaDirectory,
        sender: AttemptSender,
        replies: ReplyBuilder,
    ) -> None:
        self._waiting = waiting
        self._directory = directory
        self._sender = sender
        self._replies = replies
        self._exchanges: dict[int, Exchange] = {}
        self.on_closed: Callable[[Exchange], list[Action]] = _no_actions
        """Returns further actions for an exchange that has ended."""
        self.on_not_run: Callable[[Exchange, float], list[Action]] = _no_refund
        """Called when a tenant's request ends that certainly no replica has run."""

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Add an open exchange."""
        self._exchanges[exchange.exchange_id] = exchange

    def get(self, exchange_id: int) -> Exchange | None:
        """Return an open exchange; ``None`` if it has ended."""
        return self._exchanges.get(exchange_id)

    def is_open(self, exchange: Exchange) -> bool:
        """Return whether an exchange has not ended yet."""
        return exchange.exchange_id in self._exchanges

    def on_caller_left(self, exchange: Exchange, now: float) -> list[Action]:
        """End an exchange whose caller has left."""
        if exchange.origin is not None:
            return self._close(
                exchange, self._replies.record_incomplete_delegation(exchange, now), now
            )
        return self._close(exchange, self._replies.record_caller_left(exchange, now), now)

    def end_timed_out(self, exchange: Exchange, now: float) -> list[Action]:
        """End an exchange at its deadline, with a partial answer if it meets the minimum share."""
        settled = self.settle(exchange, now)
        if not self.is_open(exchange):
            return settled
        if exchange.origin is not None:
            return self._close(
                exchange,
                [*settled, *self._replies.record_incomplete_delegation(exchange, now)],
                now,
            )
        return self._close(exchange, self._replies.reply_timed_out(exchange, now), now)

    def end_expired(self, now: float) -> list[Action]:
        """End every exchange whose deadline has passed."""
        actions: list[Action] = []
        for exchange in list(self._exchanges.values()):
            if now >= exchange.ends_at:
                actions += self.end_timed_out(exchange, now)
        return actions

    def end_all(self, reason: str, now: float) -> list[Action]:
        """End every exchange, with what was answered so far if that is a success."""
        actions: list[Action] = []
        for exchange in list(self._exchanges.values()):
            actions += self._close(exchange, self._final_reply(exchange, reason, now), now)
        return actions

    def _final_reply(self, exchange: Exchange, reason: str, now: float) -> list[Action]:
        """Return the reply to an exchange that this node gives up."""
        if exchange.origin is not None:
            report = exchange.origin.report(exchange)
            return [*report, *self._replies.record_incomplete_delegation(exchange, now)]
        if exchange.route.shards and meets_min_share(exchange.route, exchange.answered_shards):
            return self._replies.reply_merged(exchange, exchange.answered_calls, now)
        return self._replies.reply_given_up(exchange, reason, now)

    def reject(self, exchange: Exchange, rejection: Reject, now: float) -> list[Action]:
        """End an exchange that no replica has run; the reply states when to retry."""
        return self._close(exchange, self._replies.reject(exchange, rejection, now), now)

    def end_held(self, identity: bytes, held_seconds: float, now: float) -> list[Action]:
        """End all open exchanges of a request that is now held because it crashes replicas."""
        actions: list[Action] = []
        for exchange in list(self._exchanges.values()):
            if exchange.identity == identity:
                actions += self._end_held(exchange, held_seconds, now)
        return actions

    def _end_held(self, exchange: Exchange, held_seconds: float, now: float) -> list[Action]:
        # Replicas that have not started to run the request drop it when its connection closes.
        actions: list[Action] = []
        for attempt in [item for call in exchange.calls for item in call.attempts.values()]:
            actions += self._sender.cancel(attempt, now)
        if exchange.origin is not None:
            return self._close(exchange, actions + exchange.origin.report_held(held_seconds), now)
        ended = self._replies.reply_held(exchange, held_seconds, now)
        return self._close(exchange, actions + ended, now)

    def return_calls(self, exchange: Exchange, now: float) -> list[Action]:
        """Return the calls that are not in flight to the delegating node."""
        assert exchange.origin is not None
        actions = exchange.origin.return_calls(exchange)
        if not exchange.calls:
            return self._close(exchange, actions, now)
        return actions + self.settle(exchange, now)

    def settle(self, exchange: Exchange, now: float) -> list[Action]:
        """End an exchange if nothing more needs to be waited for."""
        if not self.is_open(exchange):
            return []
        if exchange.origin is not None:
            return self._settle_delegated(exchange, now)
        if exchange.route.shards:
            return self._settle_merged(exchange, now)
        return self._settle_single(exchange, now)

    def _settle_delegated(self, exchange: Exchange, now: float) -> list[Action]:
        """Report the answers to the delegating node once they are complete, or at the cutoff.

        Exhausted shards are reported at once: the request may no longer succeed without them.
        """
        assert exchange.origin is not None
        exhausted = [call for call in exchange.calls if call.is_exhausted]
        notifications = exchange.origin.report_exhausted(exhausted) if exchange.failures else []
        is_over = exchange.answered_shards + len(exhausted) == len(exchange.calls)
        if exhausted and not exchange.origin.may_retry:
            is_over = False
        if not is_over and now < exchange.cutoff_at - TIME_TOLERANCE_SECONDS:
            return notifications
        actions = exchange.origin.report(exchange) + notifications
        if not is_over:
            return actions
        return self._close(exchange, actions, now)

    def _settle_merged(self, exchange: Exchange, now: float) -> list[Action]:
        enough = meets_min_share(exchange.route, exchange.answered_shards)
        is_over = exchange.answered_shards == len(exchange.calls)
        if not is_over and enough:
            is_over = now >= exchange.cutoff_at - TIME_TOLERANCE_SECONDS or all(
                self._cannot_answer(call, now) for call in exchange.calls if call.answer is None
            )
        if not is_over:
            if self._is_unattainable(exchange):
                return self._close(exchange, self._replies.reply_too_few_shards(exchange, now), now)
            return self._reject_if_unsent(exchange, now)
        merged = self._replies.reply_merged(exchange, exchange.answered_calls, now)
        return self._close(exchange, merged, now)

    def _is_unattainable(self, exchange: Exchange) -> bool:
        """Return whether too many shards are exhausted for a success."""
        shards = len(exchange.calls)
        if meets_min_share(exchange.route, shards - exchange.failures):
            return False
        return not meets_min_share(exchange.route, shards - self._count_exhausted(exchange))

    @staticmethod
    def _count_exhausted(exchange: Exchange) -> int:
        """Return the number of shards that can no longer answer."""
        return sum(call.is_exhausted for call in exchange.calls)

    def _settle_single(self, exchange: Exchange, now: float) -> list[Action]:
        call = exchange.calls[0]
        if call.answer is not None:
            return self._close(
                exchange, self._replies.reply_unchanged(exchange, call.answer, now), now
            )
        if call.attempts or not call.may_have_run:
            return self._reject_if_unsent(exchange, now)
        match self._waiting.decide(exchange, now):
            case Reject():
                return self._close(exchange, self._replies.reply_failed(exchange, call, now), now)
            case _:
                return []

    def _reject_if_unsent(self, exchange: Exchange, now: float) -> list[Action]:
        """Reject a request that was not sent yet if its caller should retry instead of waiting."""
        if exchange.may_have_run or any(call.attempts for call in exchange.calls):
            return []
        match self._waiting.decide(exchange, now):
            case Reject() as rejection:
                return self.reject(exchange, rejection, now)
            case _:
                return []

    def can_meet_min_share(self, exchange: Exchange, now: float) -> bool:
        """Return whether enough services have replicas for a success.

        For shards, replicas that currently receive no requests do not count.
        """
        if not exchange.route.shards:
            return self._directory.has_candidates(exchange.calls[0].service, now)
        usable = [self._directory.has_unblocked(call.service, now) for call in exchange.calls]
        return meets_min_share(exchange.route, sum(usable))

    def _cannot_answer(self, call: ServiceCall, now: float) -> bool:
        """Return whether the call cannot be answered before the cutoff."""
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


def _no_actions(_exchange: Exchange) -> list[Action]:
    return []


def _no_refund(_exchange: Exchange, _now: float) -> list[Action]:
    return []
