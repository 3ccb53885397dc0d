"""Keeps up with everything under one prefix of the key-value store."""

from ...model.failure import Failure
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
"""Time in which the store usually answers, also when it is busy."""


class StoreFollower:
    """Reads a prefix once, then watches it; reads it anew when history is lost.

    Parameters
    ----------
    settings
        What is followed and how often.
    hooks
        Take the news.
    keeper
        Keeps the proof of the configuration by the looks that are answered; ``None``: nobody does.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        hooks: FollowerHooks,
        keeper: ProofManager | None = None,
    ) -> None:
        self._settings = settings
        self._hooks = hooks
        self._reads = 0
        self._watches = 0
        self._keeper = keeper or ProofManager(None, lambda: 0.0, self.next_answer_at)
        self._pace = PollSchedule(settings, hooks, self._keeper)
        self._copy = StoreCopy()
        self._is_watching = False
        self._watch_gather_seconds = settings.poll_interval_seconds
        """The pace of the watch under way."""
        self._watch_hold_seconds = 0.0
        """How long the store may hold its looks."""
        self._looked_at = float("-inf")
        """When the store last told what there is."""
        self._look_at = 0.0
        """When the next look begins; one that has begun is not put off."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event of the store or a timer."""
        if isinstance(event, WatchChanged):
            return self._changed(event, now)
        if isinstance(event, StoreResponse):
            return self._read_done(event, now)
        if isinstance(event, WatchBroken):
            return self._broken(event, now)
        if isinstance(event, PeerSnapshot):
            return self._peer_told(event, now)
        if isinstance(event, Start):
            return self._look(now)
        if isinstance(event, PollRetryDue) and event.watch_id == self._operation_id:
            return self._look(now)
        return []

    def snapshot(self) -> ReadResult | None:
        """Return everything under the prefix as far as it is known; ``None``: nothing is."""
        return self._copy.snapshot()

    def set_poll_interval(self, seconds: float | None, now: float) -> list[Action]:
        """Look at the store at another pace; ``None``: the usual one."""
        wanted = self._settings.poll_interval_seconds if seconds is None else seconds
        if wanted == self._pace.gather_seconds:
            return []
        self._pace.gather_seconds = wanted
        if not self._is_watching or now >= self._look_at:
            # A look that has begun tells every change at once; the next one keeps the new pace.
            return []
        return [StopWatch(self._watch_id), *self._watch(now, self._pause_seconds(now))]

    def absorb(self, news: StoreUpdate, pause_seconds: float, now: float) -> list[Action]:
        """Take in what another node has read; put the own look off.

        News that begin after what is known here, or end before it, are passed over: the own look
        shows what they told, as it does when no more news come.

        Parameters
        ----------
        pause_seconds
            Time until the own look, if nothing more is heard by then; 0: it is not put off.
        """
        seen = self._copy.revision
        if not self._copy.is_listed or seen is None:
            return []
        if news.from_revision > seen:
            return [self._passed_over(news, seen, now)]
        if seen > news.store_revision:
            return []
        self._pace.heard()
        self._copy.change(news.changed, news.deleted, news.store_revision)
        actions = self._hooks.on_changes(news.changed, news.deleted, now)
        return actions + self.put_off(pause_seconds, now)

    def put_off(self, pause_seconds: float, now: float) -> list[Action]:
        """Look so much later, unless a look is wanted or has begun."""
        pause_seconds = min(pause_seconds, self._pace.most_pause_seconds(now))
        if not self._is_watching or self._pace.is_hurried or now >= self._look_at:
            return []
        if now + pause_seconds <= self._look_at:
            return []
        return [StopWatch(self._watch_id), *self._watch(now, pause_seconds)]

    def poll_now(self, now: float) -> list[Action]:
        """Look at the store at once, in place of a look under way that may be lost."""
        if not self._is_watching:
            return []
        return [StopWatch(self._watch_id), *self._watch(now, 0.0)]

    def next_answer_at(self, now: float) -> float:
        """Return when the store may answer the look that is due or under way."""
        answer_at = self._look_at + self._watch_hold_seconds + USUAL_ANSWER_SECONDS
        if now < answer_at:
            return answer_at
        lost_at = self._look_at + self._pace.timeout_seconds(self._watch_hold_seconds)
        return lost_at + self._settings.poll_times.first_backoff_seconds + USUAL_ANSWER_SECONDS

    @property
    def known_revision(self) -> int | None:
        """The store's revision up to which everything is known."""
        return self._copy.revision

    @property
    def usual_gather_seconds(self) -> float:
        """The time between two looks when nothing is missing."""
        return self._settings.poll_interval_seconds

    @property
    def _operation_id(self) -> str:
        return f"follow-{self._reads}"

    @property
    def _watch_id(self) -> str:
        return f"follow-{self._watches}"

    def _look(self, now: float) -> list[Action]:
        if self._copy.revision is not None:
            return self._watch(now)
        self._reads += 1
        self._look_at = now
        operation = Read(self._settings.prefix, prefix=True, may_start_stale=True)
        timeout = self._settings.poll_times.timeout_seconds
        return [StoreRequest(self._operation_id, operation, timeout)]

    def _pause_seconds(self, now: float) -> float:
        """Return the time until the next look is due at the present pace."""
        return max(0.0, self._looked_at + self._pace.seconds - now)

    def _watch(self, now: float, pause_seconds: float = 0.0) -> list[Action]:
        revision = self._copy.revision
        assert revision is not None
        self._watch_gather_seconds = self._pace.seconds
        self._watch_hold_seconds = self._pace.hold_seconds
        pause_seconds = min(pause_seconds, self._pace.most_pause_seconds(now))
        self._look_at = now + pause_seconds
        self._watches += 1
        self._is_watching = True
        return [
            StartWatch(
                self._watch_id,
                self._settings.prefix,
                revision,
                self._watch_gather_seconds,
                pause_seconds,
                self._watch_hold_seconds,
                self._pace.timeout_seconds(self._watch_hold_seconds),
            )
        ]

    def _read_done(self, event: StoreResponse, now: float) -> list[Action]:
        if event.operation_id != self._operation_id:
            return []
        result = event.result
        if not isinstance(result, ReadResult):
            reason = result.reason if isinstance(result, Failure) else "unexpected result"
            return self._failed(reason, now)
        self._pace.failures = 0
        self._looked_at = now
        return self._listed(result.values, result.store_revision, now, result.begun_at)

    def _peer_told(self, event: PeerSnapshot, now: float) -> list[Action]:
        """Begin with what another node knows; the store's own word follows by the watch."""
        if self._copy.is_listed:
            return []
        # The answer to a read under way would be taken for a second listing.
        self._reads += 1
        fields = (("store_revision", event.store_revision), ("values", len(event.values)))
        line = Log("store_known_from_peer", LogLevel.WARNING, fields)
        return [line, *self._listed(event.values, event.store_revision, now)]

    def _listed(
        self,
        values: tuple[StoredValue, ...],
        store_revision: int,
        now: float,
        begun_at: float | None = None,
    ) -> list[Action]:
        self._copy.list_anew(values, store_revision)
        actions = self._hooks.on_listing(values, now)
        actions += self._keeper.looked(begun_at, store_revision, now)
        pause_seconds = self._pause_seconds(now) if self._hooks.is_enough() else 0.0
        return actions + self._watch(now, pause_seconds)

    def _changed(self, event: WatchChanged, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        before = self._copy.revision
        assert before is not None
        self._pace.failures = 0
        self._looked_at = now
        look_due_at = self._look_at
        # An answer that was cut is followed up at once: that look has begun already.
        self._look_at = now if event.may_have_more else now + self._pace.seconds
        # What an answer holds that was cut is not all that was there when the look began.
        begun_at = None if event.may_have_more else event.begun_at
        if event.store_revision < before:
            # News of another node have told all of it since this look began, and more.
            return self._keeper.looked(begun_at, event.store_revision, now)
        self._copy.change(event.changed, event.deleted, event.store_revision)
        actions = self._hooks.on_changes(event.changed, event.deleted, now)
        told_proofs = self._keeper.looked(begun_at, event.store_revision, now)
        news = StoreUpdate(
            before,
            event.store_revision,
            event.changed,
            event.deleted,
            self._age_seconds(look_due_at, now),
            event.may_have_more,
        )
        actions += [*self._hooks.on_look(news, now), *told_proofs]
        self._pace.looked()
        is_same_pace = self._watch_gather_seconds == self._pace.seconds
        is_same_place = self._watch_hold_seconds == self._pace.hold_seconds
        if event.may_have_more or (is_same_pace and is_same_place):
            return actions
        return [*actions, StopWatch(self._watch_id), *self._watch(now, self._pace.seconds)]

    def _age_seconds(self, look_due_at: float, now: float) -> float:
        """Return how old an answer may be; that of a held look may be as new as it is late."""
        return 0.0 if self._watch_hold_seconds > 0.0 else max(now - look_due_at, 0.0)

    def _broken(self, event: WatchBroken, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        self._is_watching = False
        if event.history_lost:
            self._copy.forget_revision()
            line = Log("store_history_lost", LogLevel.WARNING, (("reason", event.reason),))
            return [line, *self._look(now)]
        return self._failed(event.reason, now)

    def _failed(self, reason: str, now: float) -> list[Action]:
        self._hooks.on_trouble(now)
        self._keeper.poll_failed(reason)
        is_listed = self._copy.is_listed
        due_at = now + self._pace.backoff_seconds(is_listed)
        asking: list[Action] = [] if is_listed else [RequestPeerSnapshot()]
        self._pace.failures += 1
        fields = (
            ("reason", reason),
            ("failures", self._pace.failures),
            ("waited_ms", _milliseconds(now - self._look_at)),
            ("silent_ms", self._silent_ms(now)),
            ("pause_ms", _milliseconds(due_at - now)),
        )
        self._look_at = due_at
        return [
            Log("store_unreachable", LogLevel.WARNING, fields),
            *asking,
            Schedule(due_at, PollRetryDue(self._operation_id)),
        ]

    def _passed_over(self, news: StoreUpdate, seen_revision: int, now: float) -> Log:
        """Return the line that tells of news with a gap before them."""
        fields = (
            ("known_revision", seen_revision),
            ("from_revision", news.from_revision),
            ("failures", self._pace.failures),
            ("silent_ms", self._silent_ms(now)),
        )
        return Log("store_news_passed_over", LogLevel.INFO, fields)

    def _silent_ms(self, now: float) -> int:
        """Return for how long the store itself has told nothing; -1: it never did."""
        if self._looked_at == float("-inf"):
            return -1
        return _milliseconds(now - self._looked_at)


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000.0)
