"""The replies of a modelled back end that wait to be sent."""

from dataclasses import replace

from wingquay.model.identifiers import AttemptId
from wingquay.rehearsal.models.backend_messages import BackendExchange, BackendReply, ReplyKind
from wingquay.rehearsal.models.backend_work import Work
from wingquay.rehearsal.models.dataset import Dataset
from wingquay.rehearsal.models.held_index import HeldIndex
from wingquay.rehearsal.models.load_history import LoadHistory

_MAY_PASS = frozenset({ReplyKind.SHED, ReplyKind.DRAINING, ReplyKind.DEADLINE_PASSED})
"""Refusals that say when to try again."""


class ReplyBox:
    """Makes replies and keeps them until they are taken.

    Parameters
    ----------
    held, dataset
        What is held, and the rows of it.
    retry_after_seconds
        What refusals tell callers to wait.
    """

    def __init__(self, held: HeldIndex, dataset: Dataset, retry_after_seconds: float) -> None:
        self._held = held
        self._dataset = dataset
        self._retry_after_seconds = retry_after_seconds
        self._replies: list[BackendReply] = []
        self._due_at = 0.0

    def next_at(self) -> float | None:
        """Return when the oldest reply was due, or ``None`` if there is none."""
        return self._due_at if self._replies else None

    def take(self) -> list[BackendReply]:
        """Return the replies, oldest first, and keep them no longer."""
        replies = self._replies
        self._replies = []
        return replies

    def drop(self, attempt_id: AttemptId) -> None:
        """Drop the replies to an attempt."""
        self._replies = [reply for reply in self._replies if reply.attempt_id != attempt_id]

    def refuse(
        self, exchange: BackendExchange, kind: ReplyKind, history: LoadHistory, now: float
    ) -> None:
        """Reply that the exchange did not run."""
        reply = self._reply(exchange, kind, history, now, not_run=True)
        if kind in _MAY_PASS:
            reply = replace(reply, retry_after_seconds=self._retry_after_seconds)
        if kind is ReplyKind.NOT_HELD:
            # Whoever says that it lacks a version knows at that moment which ones it has.
            load = replace(reply.load, oldest_version=reply.oldest, newest_version=reply.newest)
            reply = replace(reply, load=load)
        self._add(reply, now)

    def answer(self, work: Work, history: LoadHistory, now: float) -> None:
        """Reply as the work's end says."""
        kind = work.end.reply_kind
        reply = self._reply(work.exchange, kind, history, now, not_run=False)
        if kind is ReplyKind.ANSWERED:
            rows = work.rows(self._dataset)
            snapshot = work.exchange.snapshot
            reply = replace(reply, snapshot=snapshot, covered=work.covered, rows=rows)
        self._add(reply, now)

    def _reply(
        self,
        exchange: BackendExchange,
        kind: ReplyKind,
        history: LoadHistory,
        now: float,
        *,
        not_run: bool,
    ) -> BackendReply:
        return BackendReply(
            attempt_id=exchange.attempt_id,
            kind=kind,
            not_run=not_run,
            load=history.shown(now),
            oldest=self._held.oldest,
            newest=self._held.newest,
        )

    def _add(self, reply: BackendReply, now: float) -> None:
        if not self._replies:
            self._due_at = now
        self._replies.append(reply)
