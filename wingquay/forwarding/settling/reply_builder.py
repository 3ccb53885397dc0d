"""Builds the reply that ends an exchange, its metrics, and a log line unless it was served."""

import random

from ...ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    ReplicaAnswer,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
)
from ...ports.machine import Action, Count, Log, LogLevel, Observe
from ..arrival.admission import Rejected
from ..arrival.request_identity import compute_identity
from ..exchange import Exchange, ServiceCall
from ..sending.decision import Reject
from ..sending.retry_after import MIN_RETRY_AFTER_SECONDS, jittered_retry_after
from .merging import merge_top_records

MILLISECONDS_PER_SECOND = 1000.0
MAX_LOGGED_CALLS = 4
"""Maximum number of calls whose attempts a log line lists."""

HELD_REASON = "replicas crashed while running this request; it is held"


class ReplyBuilder:
    """Builds the reply, metrics and log line of an exchange that ``Settlement`` ends.

    Parameters
    ----------
    random_source
        Adds jitter to the times after which callers retry.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def reject_arrival_not_run(
        self, event: ForwardRequested, reason: str, retry_after_seconds: float, tenant: str = ""
    ) -> list[Action]:
        """Reject a request with ``NOT_RUN`` before an exchange is opened for it."""
        rejected = Rejected(ForwardFailureKind.NOT_RUN, reason, retry_after_seconds)
        return self.reject_arrival(event, rejected, tenant)

    def reject_arrival(
        self, event: ForwardRequested, rejected: Rejected, tenant: str = ""
    ) -> list[Action]:
        """Reject a request before an exchange is opened for it."""
        kind, reason = rejected.kind, rejected.reason
        outcome = "refused" if kind is ForwardFailureKind.NOT_RUN else kind.value
        return [
            ReplyFailure(event.exchange_id, kind, reason, rejected.retry_after_seconds),
            _count_outcome(outcome),
            _arrival_log_line(event, outcome, reason, tenant),
        ]

    def record_caller_left_arrival(self, event: ForwardRequested, tenant: str) -> list[Action]:
        """Record that a caller left while its request was waiting for its tenant's limit."""
        reason = "the request was waiting for its tenant's limit"
        return [
            _count_outcome("caller_left"),
            _arrival_log_line(event, "caller_left", reason, tenant),
        ]

    def reject_no_route(self, event: ForwardRequested, version: int) -> list[Action]:
        """Reject a request that matches no route."""
        reason = f"no route for host {event.host!r} and path {event.path!r}"
        return [
            ReplyFailure(event.exchange_id, ForwardFailureKind.NO_ROUTE, reason),
            _count_outcome("no_route"),
            _arrival_log_line(event, "no_route", f"{reason} in version {version}"),
        ]

    def reply_unchanged(
        self, exchange: Exchange, answer: ReplicaAnswer, now: float
    ) -> list[Action]:
        """Return a replica's answer to the caller unchanged."""
        outcome = "late" if now > exchange.cutoff_at else "served"
        return [ReplyUnchanged(exchange.exchange_id, answer), *_finish(exchange, outcome, "", now)]

    def reply_merged(
        self, exchange: Exchange, answered: list[ServiceCall], now: float
    ) -> list[Action]:
        """Merge the answers of the shards and return the result to the caller."""
        answers = [call.answer for call in answered if call.answer is not None]
        body = merge_top_records([answer.body for answer in answers], exchange.route.merged_records)
        signatures = tuple(str(answer.signature) for answer in answers)
        missing = len(exchange.calls) - len(answers)
        reply = ReplyMerged(exchange.exchange_id, body, signatures, missing)
        outcome = "served"
        if missing:
            outcome = "partial"
        elif now > exchange.cutoff_at + 0.001:
            outcome = "late"
        return [reply, *_finish(exchange, outcome, "", now)]

    def reply_failed(self, exchange: Exchange, call: ServiceCall, now: float) -> list[Action]:
        """Report a failure after all allowed attempts failed.

        A failure that a replica answered is returned unchanged.
        """
        if call.failure is not None:
            reply: Action = ReplyUnchanged(exchange.exchange_id, call.failure)
            return [reply, *_finish(exchange, "replica_failure", "returned unchanged", now)]
        reason = "none of the contacted replicas answered"
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.FAILED, reason)
        return [reply, *_finish(exchange, "failed", reason, now)]

    def reply_too_few_shards(self, exchange: Exchange, now: float) -> list[Action]:
        """Report a failure because too many shards have failed for a success."""
        reason = "too few shards can still answer"
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.FAILED, reason)
        return [reply, *_finish(exchange, "failed", reason, now)]

    def reject_not_run(
        self, exchange: Exchange, reason: str, usable_after_seconds: float, now: float
    ) -> list[Action]:
        """Reject a request that no replica has run, with ``NOT_RUN``.

        Parameters
        ----------
        usable_after_seconds
            Time from now until replicas can be expected to accept the request.
        """
        seconds = jittered_retry_after(usable_after_seconds, self._random.random())
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.NOT_RUN, reason, seconds)
        return [reply, *_finish(exchange, "refused", reason, now)]

    def reject(self, exchange: Exchange, rejection: Reject, now: float) -> list[Action]:
        """Reject a request that no replica has run, and count the reason."""
        priority = str(exchange.route.priority)
        labels = (("reason", rejection.reason), ("priority", priority))
        counted = Count("forwarded_rejections_total", labels=labels)
        seconds = rejection.retry_after_seconds
        return [*self.reject_not_run(exchange, rejection.reason, seconds, now), counted]

    def reply_held(self, exchange: Exchange, held_seconds: float, now: float) -> list[Action]:
        """Report a failure because the request crashes replicas and is now held."""
        kind = ForwardFailureKind.NOT_RUN
        if exchange.may_have_run:
            kind = ForwardFailureKind.FAILED
        reply = ReplyFailure(exchange.exchange_id, kind, HELD_REASON, held_seconds)
        return [reply, *_finish(exchange, "held", HELD_REASON, now)]

    def reply_timed_out(self, exchange: Exchange, now: float) -> list[Action]:
        """Report a failure because the deadline of the exchange has passed."""
        reason = "no answer before the deadline"
        return self._reply_unanswered(exchange, ForwardFailureKind.TIMED_OUT, reason, now)

    def reply_given_up(self, exchange: Exchange, reason: str, now: float) -> list[Action]:
        """Report a failure because this node cannot wait for an answer any longer."""
        return self._reply_unanswered(exchange, ForwardFailureKind.FAILED, reason, now)

    def _reply_unanswered(
        self, exchange: Exchange, kind: ForwardFailureKind, reason: str, now: float
    ) -> list[Action]:
        """Report a failure because no answer has arrived.

        It is ``NOT_RUN`` if no replica may have run the request, the failure that the only service
        answered if there is one, and of the given kind otherwise.
        """
        if not exchange.may_have_run:
            return self.reject_not_run(exchange, reason, MIN_RETRY_AFTER_SECONDS, now)
        if len(exchange.calls) == 1 and exchange.calls[0].failure is not None:
            return self.reply_failed(exchange, exchange.calls[0], now)
        reply = ReplyFailure(exchange.exchange_id, kind, reason)
        return [reply, *_finish(exchange, kind.value, reason, now)]

    def record_incomplete_delegation(self, exchange: Exchange, now: float) -> list[Action]:
        """Record the end of a delegated exchange that did not answer all its shards."""
        line = _log_line(exchange, "delegated_open", "", now - exchange.arrived_at)
        return [_count_outcome("delegated_open"), line]

    def record_caller_left(self, exchange: Exchange, now: float) -> list[Action]:
        """Record that the caller has left."""
        return _finish(exchange, "caller_left", "", now)


def _finish(exchange: Exchange, outcome: str, reason: str, now: float) -> list[Action]:
    seconds = now - exchange.arrived_at
    labels = (("route", exchange.route.name),)
    actions: list[Action] = [
        _count_outcome(outcome),
        Observe("forwarded_request_seconds", seconds, labels),
    ]
    if outcome != "served":
        actions.append(_log_line(exchange, outcome, reason, seconds))
    return actions


def _count_outcome(outcome: str) -> Count:
    return Count("forwarded_requests_total", labels=(("outcome", outcome),))


def _log_line(exchange: Exchange, outcome: str, reason: str, seconds: float) -> Log:
    logged_calls = [call for call in exchange.calls if call.answer is None]
    if not logged_calls:
        logged_calls = sorted(exchange.calls, key=lambda call: call.answered_at, reverse=True)
    fields: tuple[tuple[str, str | int | float], ...] = (
        ("request_id", exchange.event.request_id),
        ("outcome", outcome),
        ("route", exchange.route.name),
        ("version", exchange.table.version),
        ("total_ms", round(seconds * MILLISECONDS_PER_SECOND, 1)),
        ("answered", len(exchange.answered_calls)),
        ("of", len(exchange.calls)),
        ("arrivals", sum(call.send_count for call in exchange.calls)),
    )
    fields += (("digest", exchange.identity.hex()),)
    fields += exchange.tenant_fields
    if exchange.event.caller:
        fields += (("caller", exchange.event.caller),)
    if exchange.origin is not None:
        fields += (("delegated_by", exchange.origin.name),)
    if reason:
        fields += (("reason", reason),)
    detail = "; ".join(_call_text(call) for call in logged_calls[:MAX_LOGGED_CALLS])
    if detail:
        fields += (("slowest" if logged_calls[0].answer is not None else "unanswered", detail),)
    return Log("request_ended", LogLevel.INFO, fields)


def _call_text(call: ServiceCall) -> str:
    open_attempts = [
        f"open {attempt.replica.record.replica_id}" for attempt in call.attempts.values()
    ]
    return f"{call.service}: " + (", ".join(call.history + open_attempts) or "never sent")


def _arrival_log_line(event: ForwardRequested, outcome: str, reason: str, tenant: str = "") -> Log:
    fields: tuple[tuple[str, str], ...] = (
        ("request_id", event.request_id),
        ("outcome", outcome),
        ("reason", reason),
        ("digest", compute_identity(event.request, tenant).hex()),
        ("caller", event.caller),
    )
    if tenant:
        fields += (("tenant", tenant),)
    return Log("request_ended", LogLevel.INFO, fields)
