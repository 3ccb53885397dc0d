"""Maintains a copy of one prefix of the key-value store."""

from ...model.failure import Failure
from ...model.store_version import begin_of_era, is_same_era
from ...ports.machine import Action, Event, Log, LogLevel, Schedule, Start
from ...ports.peer_snapshot import PeerSnapshot, RequestPeerSnapshot
from ...ports.store import (
    Read,
    ReadResult,
    StartWatch,
    StopWatch,
    StoredValue,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from ...ports.store_update import StoreUpdate
from .follower_settings import FollowerHooks as FollowerHooks
from .follower_settings import FollowerSettings as FollowerSettings
from .follower_settings import PollRetryDue as PollRetryDue
from .poll_schedule import PollSchedule
from .proof_manager import ProofManager
from .store_copy import StoreCopy

USUAL_ANSWER_SECONDS = 0.1
"""Usual response time of the store."""


class StoreFollower:
    """Reads a prefix once and then polls it for changes.

    A watch is a series of polls with one interval and one hold time. If the store no longer has the
    history since the last poll, the prefix is read again.

    Parameters
    ----------
    settings
        The prefix and the poll times.
    hooks
        Callbacks that receive the changes.
    proof_manager
        Extends the configuration proof by answered polls; ``None``: no proof is required.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        hooks: FollowerHooks,
        proof_manager: ProofManager | None = None,
    ) -> None:
        self._settings = settings
        self._hooks = hooks
        self._reads = 0
        self._watches = 0
        self._proof_manager = proof_manager or ProofManager(None, lambda: 0.0, self.next_answer_at)
        self._schedule = PollSchedule(settings, hooks, self._proof_manager)
        self._copy = StoreCopy()
        self._era_begin = 0
        """The lowest version of the latest era."""
        self._is_listing_shared = False
        """Whether the next listing is sent to the other nodes of the group."""
        self._is_watching = False
        self._watch_interval_seconds = settings.poll_interval_seconds
        """The poll interval of the current watch."""
        self._watch_hold_seconds = 0.0
        """How long the store may hold the polls of the current watch."""
        self._answered_at = float("-inf")
        """When the store last answered."""
        self._answer_begun_at = float("-inf")
        """When the poll or read began that the store last answered."""
        self._poll_at = 0.0
        """When the next poll starts; a poll under way is not postponed."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle a store event or a timer."""
        if isinstance(event, WatchChanged):
            return self._handle_watch_changed(event, now)
        if isinstance(event, StoreResponse):
            return self._handle_read(event, now)
        if isinstance(event, WatchBroken):
            return self._handle_watch_broken(event, now)
        if isinstance(event, PeerSnapshot):
            return self._apply_peer_snapshot(event, now)
        if isinstance(event, Start):
            return self._read_or_watch(now)
        if isinstance(event, PollRetryDue) and event.read_id == self._operation_id:
            return self._read_or_watch(now)
        return []

    def snapshot(self) -> ReadResult | None:
        """Return all items under the prefix with the revision; ``None``: none is valid."""
        return self._copy.snapshot()

    def set_poll_interval(self, seconds: float | None, now: float) -> list[Action]:
        """Set the poll interval; ``None``: the default one."""
        interval_seconds = self._settings.poll_interval_seconds if seconds is None else seconds
        if interval_seconds == self._schedule.requested_interval_seconds:
            return []
        self._schedule.requested_interval_seconds = interval_seconds
        if not self._is_watching or now >= self._poll_at:
            # A poll under way returns all changes at once; the next one uses the new interval.
            return []
        return [StopWatch(self._watch_id), *self._watch(now, self._pause_seconds(now))]

    def apply_update(self, update: StoreUpdate, now: float) -> list[Action]:
        """Apply an update of another node.

        Updates that start after the known revision or end before it are ignored: the next poll
        returns their changes. An update does not postpone that poll, because nothing tells how old
        it is; the proof that follows it does.
        """
        if update.is_listing:
            return self._apply_group_listing(update, now)
        known_revision = self._copy.revision
        if not self._copy.has_listing or known_revision is None:
            return []
        if not is_same_era(update.from_revision, update.store_revision):
            return [self._skipped_update_log(update, known_revision, now)]
        if update.from_revision > known_revision:
            return [self._skipped_update_log(update, known_revision, now)]
        if known_revision > update.store_revision:
            return []
        self._schedule.record_update()
        self._copy.apply(update.changed, update.deleted, update.store_revision)
        return self._hooks.on_changes(update.changed, update.deleted, now)

    def on_restored(self, era_begin: int, is_listing: bool, now: float) -> list[Action]:
        """Read everything again, because the store came back from an older copy.

        The first node of a group reads it at once and sends it to the others, which wait for that.

        Parameters
        ----------
        era_begin
            The lowest version of the new era.
        is_listing
            Whether a listing of the new era follows at once.
        """
        self._era_begin = era_begin
        self._copy.invalidate_revision()
        self._is_listing_shared = True
        stopping: list[Action] = [StopWatch(self._watch_id)] if self._is_watching else []
        self._is_watching = False
        # Answers to reads and polls of the earlier era are ignored.
        self._reads += 1
        self._watches += 1
        if is_listing:
            return stopping
        if self._hooks.is_first_in_group():
            return [*stopping, *self._read_or_watch(now)]
        wait_seconds = self._settings.group_listing_seconds + self._hooks.rank_delay_seconds()
        self._poll_at = now + wait_seconds
        return [*stopping, Schedule(self._poll_at, PollRetryDue(self._operation_id))]

    def _apply_group_listing(self, update: StoreUpdate, now: float) -> list[Action]:
        """Apply the listing of another node, unless this one has read the store of its era."""
        if self._copy.revision is not None or update.store_revision < self._era_begin:
            return []
        self._reads += 1
        self._is_listing_shared = False
        self._schedule.record_update()
        pause_seconds = self._proven_pause_seconds(now)
        return self._apply_listing(update.changed, update.store_revision, now, None, pause_seconds)

    def postpone_poll(self, now: float) -> list[Action]:
        """Postpone the next poll as far as the proof allows.

        A poll that is urgent or already under way is not postponed.
        """
        pause_seconds = min(self._proven_pause_seconds(now), self._schedule.max_pause_seconds(now))
        if not self._is_watching or self._schedule.is_urgent or now >= self._poll_at:
            return []
        if now + pause_seconds <= self._poll_at:
            return []
        return [StopWatch(self._watch_id), *self._watch(now, pause_seconds)]

    def poll_now(self, now: float) -> list[Action]:
        """Poll the store at once, and abandon a poll under way, which may be lost."""
        if not self._is_watching:
            return []
        return [StopWatch(self._watch_id), *self._watch(now, 0.0)]

    def next_answer_at(self, now: float) -> float:
        """Return when the store may answer the poll that is due or under way."""
        answer_at = self._poll_at + self._watch_hold_seconds + USUAL_ANSWER_SECONDS
        if now < answer_at:
            return answer_at
        times_out_at = self._poll_at + self._schedule.timeout_seconds(self._watch_hold_seconds)
        return times_out_at + self._settings.poll_times.first_backoff_seconds + USUAL_ANSWER_SECONDS

    @property
    def known_revision(self) -> int | None:
        """The store revision up to which the copy is complete."""
        return self._copy.revision

    @property
    def has_listing(self) -> bool:
        """Whether a complete listing was ever received."""
        return self._copy.has_listing

    @property
    def era_begin(self) -> int:
        """The lowest version of the latest era that is known."""
        return self._era_begin

    @property
    def _operation_id(self) -> str:
        return f"follow-{self._reads}"

    @property
    def _watch_id(self) -> str:
        return f"follow-{self._watches}"

    def _read_or_watch(self, now: float) -> list[Action]:
        if self._copy.revision is not None:
            return self._watch(now)
        self._reads += 1
        self._poll_at = now
        operation = Read(self._settings.prefix, prefix=True, may_start_stale=True)
        timeout = self._settings.poll_times.timeout_seconds
        return [StoreRequest(self._operation_id, operation, timeout)]

    def _pause_seconds(self, now: float) -> float:
        """Return the time until the next poll at the current interval."""
        return max(0.0, self._answer_begun_at + self._schedule.interval_seconds - now)

    def _proven_pause_seconds(self, now: float) -> float:
        """Return the time until the next poll of a node for which other nodes poll.

        It counts from the time as of which the contents are known to be complete, and grows with
        the node's position in its group, so that the nodes do not poll together.
        """
        interval_seconds = self._settings.poll_interval_seconds + self._hooks.rank_delay_seconds()
        return max(0.0, self._proof_manager.proven_as_of + interval_seconds - now)

    def _watch(self, now: float, pause_seconds: float = 0.0) -> list[Action]:
        revision = self._copy.revision
        assert revision is not None
        self._watch_interval_seconds = self._schedule.interval_seconds
        self._watch_hold_seconds = self._schedule.hold_seconds
        pause_seconds = min(pause_seconds, self._schedule.max_pause_seconds(now))
        self._poll_at = now + pause_seconds
        self._watches += 1
        self._is_watching = True
        return [
            StartWatch(
                self._watch_id,
                self._settings.prefix,
                revision,
                self._watch_interval_seconds,
                pause_seconds,
                self._watch_hold_seconds,
                self._schedule.timeout_seconds(self._watch_hold_seconds),
            )
        ]

    def _handle_read(self, event: StoreResponse, now: float) -> list[Action]:
        if event.operation_id != self._operation_id:
            return []
        result = event.result
        if not isinstance(result, ReadResult):
            reason = result.reason if isinstance(result, Failure) else "unexpected result"
            return self._handle_failure(reason, now)
        self._record_answer(result.begun_at, now)
        listing = self._apply_listing(result.values, result.store_revision, now, result.begun_at)
        if not self._is_listing_shared:
            return listing
        self._is_listing_shared = False
        version = result.store_revision
        update = StoreUpdate(begin_of_era(version), version, result.values, is_listing=True)
        return [*listing, *self._hooks.on_poll(update)]

    def _apply_peer_snapshot(self, event: PeerSnapshot, now: float) -> list[Action]:
        """Start with the contents received from another node; polls of the store follow."""
        if self._copy.has_listing:
            return []
        # The answer to a read under way must not count as a second listing.
        self._reads += 1
        fields = (("store_revision", event.store_revision), ("values", len(event.values)))
        line = Log("store_contents_from_peer", LogLevel.WARNING, fields)
        return [line, *self._apply_listing(event.values, event.store_revision, now)]

    def _apply_listing(
        self,
        values: tuple[StoredValue, ...],
        store_revision: int,
        now: float,
        begun_at: float | None = None,
        pause_seconds: float = 0.0,
    ) -> list[Action]:
        self._era_begin = begin_of_era(store_revision)
        self._copy.replace_all(values, store_revision)
        actions = self._hooks.on_listing(values, now)
        actions += self._proof_manager.handle_poll_answer(begun_at, store_revision, now)
        if self._hooks.is_sufficient():
            pause_seconds = max(pause_seconds, self._pause_seconds(now))
        return actions + self._watch(now, pause_seconds)

    def _handle_watch_changed(self, event: WatchChanged, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        before = self._copy.revision
        assert before is not None
        self._record_answer(event.begun_at, now)
        # After an incomplete answer the next poll has already started.
        self._poll_at = now if event.may_have_more else now + self._pause_seconds(now)
        # An incomplete answer does not contain everything that existed when the poll started.
        begun_at = None if event.may_have_more else event.begun_at
        if event.store_revision < before:
            # Updates of other nodes have already brought a later revision.
            return self._proof_manager.handle_poll_answer(begun_at, event.store_revision, now)
        self._copy.apply(event.changed, event.deleted, event.store_revision)
        actions = self._hooks.on_changes(event.changed, event.deleted, now)
        proof_answers = self._proof_manager.handle_poll_answer(begun_at, event.store_revision, now)
        update = StoreUpdate(
            before,
            event.store_revision,
            event.changed,
            event.deleted,
            event.may_have_more,
        )
        actions += [*self._hooks.on_poll(update), *proof_answers]
        self._schedule.record_poll_answer()
        is_same_interval = self._watch_interval_seconds == self._schedule.interval_seconds
        is_same_hold = self._watch_hold_seconds == self._schedule.hold_seconds
        if event.may_have_more or (is_same_interval and is_same_hold):
            return actions
        return [
            *actions,
            StopWatch(self._watch_id),
            *self._watch(now, self._pause_seconds(now)),
        ]

    def _record_answer(self, begun_at: float | None, now: float) -> None:
        """Record that the store answered a poll or read that began at ``begun_at``."""
        self._schedule.failed_polls = 0
        self._answered_at = now
        self._answer_begun_at = now if begun_at is None else begun_at

    def _handle_watch_broken(self, event: WatchBroken, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        self._is_watching = False
        if event.history_lost:
            self._copy.invalidate_revision()
            line = Log("store_history_lost", LogLevel.WARNING, (("reason", event.reason),))
            return [line, *self._read_or_watch(now)]
        return self._handle_failure(event.reason, now)

    def _handle_failure(self, reason: str, now: float) -> list[Action]:
        self._hooks.on_failure(now)
        self._proof_manager.poll_failed(reason)
        has_listing = self._copy.has_listing
        due_at = now + self._schedule.backoff_seconds(has_listing)
        snapshot_requests: list[Action] = [] if has_listing else [RequestPeerSnapshot()]
        self._schedule.failed_polls += 1
        fields = (
            ("reason", reason),
            ("consecutive_failures", self._schedule.failed_polls),
            ("waited_ms", _milliseconds(now - self._poll_at)),
            ("since_answer_ms", self._since_answer_ms(now)),
            ("pause_ms", _milliseconds(due_at - now)),
        )
        self._poll_at = due_at
        return [
            Log("store_poll_failed", LogLevel.WARNING, fields),
            *snapshot_requests,
            Schedule(due_at, PollRetryDue(self._operation_id)),
        ]

    def _skipped_update_log(self, update: StoreUpdate, known_revision: int, now: float) -> Log:
        """Return the log line for an update that leaves a gap after the known revision."""
        fields = (
            ("known_revision", known_revision),
            ("from_revision", update.from_revision),
            ("consecutive_failures", self._schedule.failed_polls),
            ("since_answer_ms", self._since_answer_ms(now)),
        )
        return Log("store_update_skipped", LogLevel.INFO, fields)

    def _since_answer_ms(self, now: float) -> int:
        """Return the milliseconds since the store itself last answered; -1: it never did."""
        if self._answered_at == float("-inf"):
            return -1
        return _milliseconds(now - self._answered_at)


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000.0)
