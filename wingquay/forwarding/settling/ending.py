"""The replies that end an exchange, and the log line of each that was not simply served."""

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
MOST_CALLS_TOLD = 4
"""Calls whose attempts a log line tells."""

HELD_REASON = "replicas ended under this request; it is held back"


class ExchangeEnding:
    """Makes the actions that end an exchange.

    Parameters
    ----------
    random_source
        Spreads the times at which callers come back.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def reject_arrival_not_run(
        self, event: ForwardRequested, reason: str, retry_after_seconds: float, tenant: str = ""
    ) -> list[Action]:
        """Refuse a request before anything was done for it."""
        rejected = Rejected(ForwardFailureKind.NOT_RUN, reason, retry_after_seconds)
        return self.reject_arrival(event, rejected, tenant)

    def reject_arrival(
        self, event: ForwardRequested, rejected: Rejected, tenant: str = ""
    ) -> list[Action]:
        """Reject a request before anything was done for it."""
        kind, reason = rejected.kind, rejected.reason
        outcome = "refused" if kind is ForwardFailureKind.NOT_RUN else kind.value
        return [
            ReplyFailure(event.exchange_id, kind, reason, rejected.retry_after_seconds),
            _count(outcome),
            _arrival_line(event, outcome, reason, tenant),
        ]

    def left_arrival(self, event: ForwardRequested, tenant: str) -> list[Action]:
        """Take note that nobody waits any more for a request that was not begun."""
        reason = "it waited for its tenant's limit"
        return [_count("caller_left"), _arrival_line(event, "caller_left", reason, tenant)]

    def no_route(self, event: ForwardRequested, version: int) -> list[Action]:
        """Say that no route fits."""
        reason = f"no route for host {event.host!r} and path {event.path!r}"
        return [
            ReplyFailure(event.exchange_id, ForwardFailureKind.NO_ROUTE, reason),
            _count("no_route"),
            _arrival_line(event, "no_route", f"{reason} in version {version}"),
        ]

    def unchanged(self, exchange: Exchange, answer: ReplicaAnswer, now: float) -> list[Action]:
        """Pass on a replica's answer."""
        outcome = "late" if now > exchange.cutoff_at else "served"
        return [ReplyUnchanged(exchange.exchange_id, answer), *_end(exchange, outcome, "", now)]

    def merged(self, exchange: Exchange, answered: list[ServiceCall], now: float) -> list[Action]:
        """Answer with what the shards brought."""
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
        return [reply, *_end(exchange, outcome, "", now)]

    def failed(self, exchange: Exchange, call: ServiceCall, now: float) -> list[Action]:
        """Answer after every allowed replica failed."""
        if call.failure is not None:
            reply: Action = ReplyUnchanged(exchange.exchange_id, call.failure)
            return [reply, *_end(exchange, "replica_failure", "passed on", now)]
        reason = "the replicas asked brought no answer"
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.FAILED, reason)
        return [reply, *_end(exchange, "failed", reason, now)]

    def too_few(self, exchange: Exchange, now: float) -> list[Action]:
        """Answer when too many shards have failed for a success."""
        reason = "too few shards can still answer"
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.FAILED, reason)
        return [reply, *_end(exchange, "failed", reason, now)]

    def reject_not_run(
        self, exchange: Exchange, reason: str, usable_after_seconds: float, now: float
    ) -> list[Action]:
        """Refuse a request that has run nowhere.

        Parameters
        ----------
        usable_after_seconds
            When replicas may next be asked, from now.
        """
        seconds = jittered_retry_after(usable_after_seconds, self._random.random())
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.NOT_RUN, reason, seconds)
        return [reply, *_end(exchange, "refused", reason, now)]

    def reject(self, exchange: Exchange, rejection: Reject, now: float) -> list[Action]:
        """Reject a request that has run nowhere."""
        priority = str(exchange.route.priority)
        labels = (("reason", rejection.reason), ("priority", priority))
        counted = Count("forwarded_rejections_total", labels=labels)
        seconds = rejection.retry_after_seconds
        return [*self.reject_not_run(exchange, rejection.reason, seconds, now), counted]

    def held(self, exchange: Exchange, held_seconds: float, now: float) -> list[Action]:
        """Answer a request under which replicas end, which is held back from now on."""
        kind = ForwardFailureKind.NOT_RUN
        if exchange.may_have_run:
            kind = ForwardFailureKind.FAILED
        reply = ReplyFailure(exchange.exchange_id, kind, HELD_REASON, held_seconds)
        return [reply, *_end(exchange, "held", HELD_REASON, now)]

    def out_of_time(self, exchange: Exchange, now: float) -> list[Action]:
        """Answer when the time of the exchange is over."""
        reason = "no answer within the time allowed"
        if not exchange.may_have_run:
            return self.reject_not_run(exchange, reason, MIN_RETRY_AFTER_SECONDS, now)
        if len(exchange.calls) == 1 and exchange.calls[0].failure is not None:
            return self.failed(exchange, exchange.calls[0], now)
        reply = ReplyFailure(exchange.exchange_id, ForwardFailureKind.TIMED_OUT, reason)
        return [reply, *_end(exchange, "timed_out", reason, now)]

    def for_node(self, exchange: Exchange, now: float) -> list[Action]:
        """Take note of what another node asked for and did not get or no longer wants."""
        line = _line(exchange, "delegated_open", "", now - exchange.arrived_at)
        return [_count("delegated_open"), line]

    def caller_left(self, exchange: Exchange, now: float) -> list[Action]:
        """Take note that nobody waits any more."""
        return _end(exchange, "caller_left", "", now)


def _end(exchange: Exchange, outcome: str, reason: str, now: float) -> list[Action]:
    seconds = now - exchange.arrived_at
    labels = (("route", exchange.route.name),)
    actions: list[Action] = [
        _count(outcome),
        Observe("forwarded_request_seconds", seconds, labels),
    ]
    if outcome != "served":
        actions.append(_line(exchange, outcome, reason, seconds))
    return actions


def _count(outcome: str) -> Count:
    return Count("forwarded_requests_total", labels=(("outcome", outcome),))


def _line(exchange: Exchange, outcome: str, reason: str, seconds: float) -> Log:
    told = [call for call in exchange.calls if call.answer is None]
    if not told:
        told = sorted(exchange.calls, key=lambda call: call.answered_at, reverse=True)
    fields: tuple[tuple[str, str | int | float], ...] = (
        ("request_id", exchange.event.request_id),
        ("outcome", outcome),
        ("route", exchange.route.name),
        ("version", exchange.table.version),
        ("total_ms", round(seconds * MILLISECONDS_PER_SECOND, 1)),
        ("answered", len(exchange.answered_calls)),
        ("of", len(exchange.calls)),
        ("arrivals", sum(call.arrivals for call in exchange.calls)),
    )
    fields += (("digest", exchange.identity.hex()),)
    fields += exchange.tenant_fields
    if exchange.event.caller:
        fields += (("caller", exchange.event.caller),)
    if exchange.origin is not None:
        fields += (("asked_by", exchange.origin.name),)
    if reason:
        fields += (("reason", reason),)
    detail = "; ".join(_call_text(call) for call in told[:MOST_CALLS_TOLD])
    if detail:
        fields += (("slowest" if told[0].answer is not None else "unanswered", detail),)
    return Log("request_ended", LogLevel.INFO, fields)


def _call_text(call: ServiceCall) -> str:
    open_attempts = [
        f"open {attempt.replica.record.replica_id}" for attempt in call.attempts.values()
    ]
    return f"{call.service}: " + (", ".join(call.history + open_attempts) or "never sent")


def _arrival_line(event: ForwardRequested, outcome: str, reason: str, tenant: str = "") -> Log:
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
