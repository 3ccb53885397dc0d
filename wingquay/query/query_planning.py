"""Plans requests: pins a snapshot, sends the pieces, plans anew, asks again for what is missing."""

from ..model.answer import MissingReason
from ..model.configuration import Configuration, Service
from ..model.identifiers import ReplicaId, ServiceName
from ..model.key_range import KeyRange
from ..ports.machine import Action, Count, Schedule
from .coordinator_events import PieceRetryDue
from .merge import AnswerMerge
from .piece_sender import PieceSender
from .query_ending import QueryEnding
from .query_state import Piece, QueryState
from .query_table import QueryTable
from .settings import QuerySettings
from .version_table import VersionTable


class QueryPlanning:
    """Plans and re-plans requests.

    Parameters
    ----------
    checks_snapshot
        Whether sub-answers of another version are left out of the merge.
    """

    def __init__(
        self,
        settings: QuerySettings,
        table: QueryTable,
        sender: PieceSender,
        ending: QueryEnding,
        checks_snapshot: bool,
    ) -> None:
        self._settings = settings
        self._table = table
        self._sender = sender
        self._ending = ending
        self._checks_snapshot = checks_snapshot
        self.versions = VersionTable()
        """Which snapshots the replicas hold."""
        self.configuration: Configuration | None = None
        """The configuration in force."""

    def apply(self, configuration: Configuration) -> None:
        """Follow the configuration."""
        self.configuration = configuration
        self.versions.apply(configuration)

    def run(self, state: QueryState, now: float) -> list[Action]:
        """Pin a snapshot and send out a sub-request for each shard."""
        resolved = state.resolved
        snapshot = self.versions.best(resolved.service.name) if resolved.repeatable else None
        state.merge = AnswerMerge(state.wanted, snapshot, self._checks_snapshot)
        state.generation += 1
        return self._send(state, resolved.service, state.wanted, 0, now)

    def _send(
        self,
        state: QueryState,
        service: Service,
        key_ranges: tuple[KeyRange, ...],
        retries: int,
        now: float,
        avoid: tuple[ReplicaId, ...] = (),
    ) -> list[Action]:
        plan = self._sender.plan(service, key_ranges)
        state.merge.note_missing(plan.unassigned, MissingReason.NO_SHARD)
        if not state.resolved.repeatable and len(plan.pieces) > 1:
            state.reason = "an unrepeatable request must address one shard"
            return self._ending.finish(state, now)
        actions = self._sender.send(state, plan.pieces, now, retries, avoid)
        return actions + self._ending.settle(state, now)

    # Snapshots ---------------------------------------------------------------------------

    def should_replan(self, state: QueryState) -> bool:
        """Whether another snapshot would cover more shards than the pinned one."""
        if not state.resolved.repeatable or state.replans >= self._settings.most_replans:
            return False
        service: ServiceName = state.resolved.service.name
        pinned = state.merge.snapshot
        best = self.versions.best(service)
        if pinned is None or best == pinned:
            return False
        better = self.versions.shards_holding(service, best)
        return better > self.versions.shards_holding(service, pinned)

    def replan(self, state: QueryState, now: float) -> list[Action]:
        """Start the whole query anew with another snapshot: versions never mix."""
        state.replans += 1
        state.waiting_retries = 0
        dropped = self._table.drop_pieces(state)
        return [Count("wingquay_replans_total"), *dropped, *self.run(state, now)]

    # Missing keys ------------------------------------------------------------------------

    def ask_again_later(
        self,
        state: QueryState,
        piece: Piece,
        key_ranges: tuple[KeyRange, ...],
        now: float,
        avoid: tuple[ReplicaId, ...] = (),
    ) -> list[Action]:
        """Schedule a second try for keys without an answer, if there is time for one."""
        if piece.retries >= self._settings.most_piece_retries:
            return []
        wait = self._settings.piece_retry_seconds * 2.0**piece.retries
        if now + wait >= state.answer_at:
            return []
        state.waiting_retries += 1
        due = PieceRetryDue(
            request_id=state.request_id,
            generation=state.generation,
            key_ranges=key_ranges,
            retries=piece.retries + 1,
            avoid=avoid,
        )
        return [Schedule(now + wait, due)]

    def on_piece_retry(self, event: PieceRetryDue, now: float) -> list[Action]:
        """Ask again for keys without an answer, by the configuration now in force."""
        state = self._table.state(event.request_id)
        if state is None or state.generation != event.generation:
            return []
        state.waiting_retries -= 1
        service = self._current_service(state)
        return self._send(state, service, event.key_ranges, event.retries, now, event.avoid)

    def _current_service(self, state: QueryState) -> Service:
        before = state.resolved.service
        if self.configuration is None:
            return before
        return self.configuration.service(before.name) or before
