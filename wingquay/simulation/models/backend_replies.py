"""The replies of a modelled back end that wait to be sent."""

from dataclasses import replace

from ...model.identifiers import AttemptId
from ...ports.backend import LoadReport
from .backend_messages import BackendExchange, BackendReply, ReplyKind
from .backend_work import Work
from .dataset import Dataset
from .held_index import HeldIndex

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
        self, exchange: BackendExchange, kind: ReplyKind, load: LoadReport, now: float
    ) -> None:
        """Reply that the exchange did not run; ``load`` is what the replica shows."""
        if kind is ReplyKind.NOT_HELD:
            # Whoever says that it lacks a version knows at that moment which ones it has.
            oldest, newest = self._held.oldest, self._held.newest
            load = replace(load, oldest_version=oldest, newest_version=newest)
        reply = BackendReply(
            attempt_id=exchange.attempt_id,
            kind=kind,
            not_run=True,
            load=load,
            oldest=self._held.oldest,
            newest=self._held.newest,
            retry_after_seconds=self._retry_after_seconds if kind in _MAY_PASS else None,
        )
        self._add(reply, now)

    def answer(self, work: Work, load: LoadReport, now: float) -> None:
        """Reply as the work's end says; ``load`` is what the replica shows."""
        kind = work.end.reply_kind
        is_answer = kind is ReplyKind.ANSWERED
        reply = BackendReply(
            attempt_id=work.exchange.attempt_id,
            kind=kind,
            not_run=False,
            load=load,
            oldest=self._held.oldest,
            newest=self._held.newest,
            snapshot=work.exchange.snapshot if is_answer else None,
            covered=work.covered if is_answer else (),
            rows=work.rows(self._dataset) if is_answer else (),
        )
        self._add(reply, now)

    def _add(self, reply: BackendReply, now: float) -> None:
        if not self._replies:
            self._due_at = now
        self._replies.append(reply)
