"""Handles the answers and failures of attempts at replicas."""

from ...ports.forwarding import (
    CancelSend,
    ConnectionTried,
    ReplicaAnswer,
    ReplicaAnswered,
    SendFailed,
    SendFailureKind,
)
from ...ports.machine import Action
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..crashing.guard import CrashGuard
from ..crashing.sequential_sending import SequentialSending
from ..exchange import Attempt, Exchange, ServiceCall
from ..sending.attempts import AttemptSender
from ..sending.call_starter import CallStarter
from ..settings import ForwardingSettings
from .settlement import Settlement

FIRST_SERVER_ERROR_STATUS = 500
MILLISECONDS_PER_SECOND = 1000.0


class AttemptOutcomeHandler:
    """Handles the end of an attempt: records the answer, retries the call or ends the exchange."""

    def __init__(
        self,
        settings: ForwardingSettings,
        directory: ReplicaDirectory,
        sender: AttemptSender,
        starter: CallStarter,
        settlement: Settlement,
        guard: CrashGuard,
        sequential: SequentialSending,
    ) -> None:
        self._guard = guard
        self._sequential = sequential
        self._settings = settings
        self._directory = directory
        self._sender = sender
        self._starter = starter
        self._settlement = settlement

    def on_answered(self, event: ReplicaAnswered, now: float) -> list[Action]:
        """Handle a complete answer of a replica."""
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        answer = event.answer
        exchange = attempt.call.exchange
        was_sequential = exchange.is_sequential
        actions: list[Action] = []
        self._sender.finish(attempt)
        if answer.is_other_replica:
            self._directory.mark_stale(attempt.replica, now)
        elif answer.not_run:
            attempt.replica.on_shed(self._settings, now)
        else:
            actions += self._sender.on_answered(attempt, event.load, now)
            actions += self._guard.on_answered(exchange, now)
            if not answer.is_success and answer.status >= FIRST_SERVER_ERROR_STATUS:
                attempt.replica.on_failed_attempt(now)
        self._record_history(attempt, f"{answer.status}{' not run' if answer.not_run else ''}", now)
        actions += self._apply_answer(attempt, answer, now)
        if was_sequential and not exchange.is_sequential and self._settlement.is_open(exchange):
            actions += self._sequential.send_remaining(exchange, now)
        return actions + self._starter.send_queued(attempt.call.service, now)

    def _apply_answer(self, attempt: Attempt, answer: ReplicaAnswer, now: float) -> list[Action]:
        call = attempt.call
        exchange = call.exchange
        not_run = answer.not_run or answer.is_other_replica
        if not_run:
            self._sender.on_not_run(attempt)
        if not self._settlement.is_open(exchange) or call.answer is not None:
            return []
        if not_run:
            exchange.failures += 1
            return self._retry(call, now)
        if answer.is_success and answer.signature not in exchange.signatures:
            call.record_answer(answer, now)
            exchange.signatures.add(str(answer.signature))
            return self._sender.abandon(call, now) + self._settlement.settle(exchange, now)
        exchange.failures += 1
        if not answer.is_success and answer.signature is not None:
            call.failure = answer
        if exchange.is_repeatable:
            return self._retry(call, now)
        return self._settlement.settle(exchange, now)

    def on_send_failed(self, event: SendFailed, now: float) -> list[Action]:
        """Handle an attempt that failed without an answer."""
        attempt = self._sender.get(event.attempt_id)
        if attempt is None:
            return []
        call = attempt.call
        call.exchange.failures += 1
        self._sender.finish(attempt)
        self._record_history(attempt, _failure_text(event), now)
        was_sent = event.kind is not SendFailureKind.NOT_SENT
        actions: list[Action] = []
        if not was_sent:
            actions += self._sender.on_unreachable(attempt.replica, event.reason, now)
        elif event.kind is not SendFailureKind.MALFORMED:
            actions += self._sender.on_failed(attempt, event.reason, False, now)
        else:
            attempt.replica.on_failed_attempt(now)
        if not was_sent:
            self._sender.on_not_arrived(attempt)
        if event.is_unanswered:
            actions += self._guard.on_disconnected(attempt, now)
        return actions + self._after_failure(attempt, was_sent, now)

    def on_replica_restarted(self, replica: ReplicaState, now: float) -> list[Action]:
        """Abort all attempts at the previous incarnation of a replica that has restarted."""
        actions: list[Action] = []
        for attempt_id in tuple(replica.in_flight):
            attempt = self._sender.get(attempt_id)
            if attempt is not None:
                actions += self._abort_attempt(attempt, now)
        return actions + self._starter.send_queued(replica.record.service, now)

    def _abort_attempt(self, attempt: Attempt, now: float) -> list[Action]:
        """Cancel an attempt at an incarnation that has ended; it may have run the request."""
        attempt.call.exchange.failures += 1
        self._sender.finish(attempt)
        self._record_history(attempt, "replica restarted", now)
        actions: list[Action] = [CancelSend(attempt.attempt_id)]
        actions += self._guard.on_disconnected(attempt, now)
        return actions + self._after_failure(attempt, was_sent=True, now=now)

    def _after_failure(self, attempt: Attempt, was_sent: bool, now: float) -> list[Action]:
        """Retry a call after a failed attempt if that is allowed, or settle its exchange."""
        call = attempt.call
        actions: list[Action] = []
        if self._settlement.is_open(call.exchange) and call.answer is None:
            if was_sent and not call.exchange.is_repeatable:
                actions += self._settlement.settle(call.exchange, now)
            elif call.exchange.is_sequential and call.exchange.origin is not None:
                actions += self._settlement.return_calls(call.exchange, now)
            else:
                actions += self._retry(call, now)
        return actions + self._starter.send_queued(call.service, now)

    def on_connection_tried(self, event: ConnectionTried, now: float) -> list[Action]:
        """Handle the result of a connection test and send calls that were waiting for it."""
        actions = self._sender.on_connection_tried(event, now)
        probe_actions, exchanges = self._guard.on_connection_tried(event, now)
        actions += probe_actions
        for exchange in exchanges:
            actions += self._resume(exchange, now)
        replica = self._directory.get_incarnation(event.incarnation)
        if replica is None or not event.is_open:
            return actions
        return actions + self._starter.send_queued(replica.record.service, now)

    def _resume(self, exchange: Exchange, now: float) -> list[Action]:
        """Send calls that were waiting for the result of crash probes."""
        if not self._settlement.is_open(exchange) or exchange.origin is not None:
            return []
        if exchange.is_sequential:
            return self._sequential.send_next(exchange, now)
        return self._sequential.send_remaining(exchange, now)

    def _retry(self, call: ServiceCall, now: float) -> list[Action]:
        """Send a call to another replica unless an attempt of it is still in flight."""
        actions: list[Action] = []
        if not call.attempts:
            actions = self._starter.send_or_queue(call, now)
        return actions + self._settlement.settle(call.exchange, now)

    @staticmethod
    def _record_history(attempt: Attempt, outcome: str, now: float) -> None:
        took_ms = round((now - attempt.sent_at) * MILLISECONDS_PER_SECOND)
        kind = "hedge" if attempt.is_hedge else "send"
        replica_id = attempt.replica.record.replica_id
        attempt.call.history.append(f"{kind} {replica_id} {took_ms}ms {outcome}")


def _failure_text(event: SendFailed) -> str:
    """Return the outcome of a failed attempt for the log."""
    return f"{event.kind.value} unanswered" if event.is_unanswered else event.kind.value
