"""Keeps up with everything under one prefix of the key-value store."""

from collections.abc import Callable

from ...model.failure import Failure
from ...model.value import value
from ...ports.machine import Action, Event, Log, LogLevel, Schedule, Start
from ...ports.peer_snapshot import AskPeers, PeerSnapshot
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
from ...ports.store_news import StoreNews
from .look_times import DEFAULT_CONTACT_SECONDS, LookTimes, look_times_within


@value
class FollowAgain(Event):
    """Look at the store again after a failure."""

    watch_id: str


@value
class FollowerSettings:
    """How a prefix is followed.

    Parameters
    ----------
    prefix
        Keys that begin with it are followed.
    gather_seconds
        Least time between two looks at a prefix that changes all the time.
    shared_gather_seconds
        The same for a node that looks for others, too: in busy times ten nodes that looked by
        themselves would see a change a third of a second after it was made, on average.
    look
        How long a look may take and the pause after one that was lost. Calls that are refused are
        priced, too.
    hurried_backoff_seconds
        Most pause while news are waited for.
    unknown_backoff_seconds
        Most pause as long as nothing at all is known: a node cannot serve before.
    """

    prefix: str = ""
    gather_seconds: float = 1.3
    shared_gather_seconds: float = 0.8
    look: LookTimes = look_times_within(DEFAULT_CONTACT_SECONDS)
    hurried_backoff_seconds: float = 1.0
    unknown_backoff_seconds: float = 0.2


@value
class FollowerHooks:
    """What the follower tells its owner.

    Parameters
    ----------
    on_listing
        Everything that is there, after it was read anew.
    on_changes
        What changed and which keys are gone.
    on_trouble
        The store could not be reached.
    on_look
        A look of its own showed changes: what was known before, and what is now.
    tells_others
        Whether other nodes are told what this one reads.
    is_first
        Whether this node is the first to look of those that tell each other what they read.
    is_enough
        Whether what is known is enough to go by until the next look is due.
    """

    on_listing: Callable[[tuple[StoredValue, ...], float], list[Action]]
    on_changes: Callable[[tuple[StoredValue, ...], tuple[str, ...], float], list[Action]]
    on_trouble: Callable[[float], None]
    on_look: Callable[[StoreNews, float], list[Action]]
    tells_others: Callable[[], bool]
    is_first: Callable[[], bool]
    is_enough: Callable[[], bool]


class StoreFollower:
    """Reads a prefix once, then watches it; reads it anew when history is lost.

    Parameters
    ----------
    settings
        What is followed and how often.
    hooks
        Take the news.
    """

    def __init__(self, settings: FollowerSettings, hooks: FollowerHooks) -> None:
        self._settings = settings
        self._hooks = hooks
        self._reads = 0
        self._watches = 0
        self._failures = 0
        self._is_listed = False
        self._is_watching = False
        self._gather_seconds = settings.gather_seconds
        self._watch_gather_seconds = settings.gather_seconds
        """The pace of the watch under way."""
        self._watch_hold_seconds = 0.0
        """How long the store may hold its looks."""
        self._has_heard = False
        """Whether news of another node were taken in since the last look."""
        self._is_left_alone = False
        """Whether none were before that look: those that go first may be turned away."""
        self._looked_at = float("-inf")
        """When the store last told what there is."""
        self._look_at = 0.0
        """When the next look begins; one that has begun is not put off."""
        self._items: dict[str, StoredValue] = {}
        self._seen_revision: int | None = None
        """The store's revision up to which everything is known."""

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
        if isinstance(event, FollowAgain) and event.watch_id == self._operation_id:
            return self._look(now)
        return []

    def known(self) -> ReadResult | None:
        """Return everything under the prefix as far as it is known; ``None``: nothing is."""
        if not self._is_listed or self._seen_revision is None:
            return None
        return ReadResult(tuple(self._items.values()), self._seen_revision)

    def gather(self, seconds: float | None, now: float) -> list[Action]:
        """Look at the store at another pace; ``None``: the usual one."""
        wanted = self._settings.gather_seconds if seconds is None else seconds
        if wanted == self._gather_seconds:
            return []
        self._gather_seconds = wanted
        if not self._is_watching or now >= self._look_at:
            # A look that has begun tells every change at once; the next one keeps the new pace.
            return []
        return [StopWatch(self._watch_id), *self._watch(now, self._pause_seconds(now))]

    def absorb(self, news: StoreNews, pause_seconds: float, now: float) -> list[Action]:
        """Take in what another node has read; put the own look off.

        News that begin after what is known here, or end before it, are passed over: the own look
        shows what they told, as it does when no more news come.

        Parameters
        ----------
        pause_seconds
            Time until the own look, if nothing more is heard by then; 0: it is not put off.
        """
        seen = self._seen_revision
        if not self._is_listed or seen is None:
            return []
        if news.from_revision > seen:
            return [self._passed_over(news, seen, now)]
        if seen > news.store_revision:
            return []
        self._seen_revision = news.store_revision
        self._has_heard = True
        self._is_left_alone = False
        actions = self._hooks.on_changes(news.changed, news.deleted, now)
        self._remember(news.changed, news.deleted)
        is_hurried = self._gather_seconds < self._settings.gather_seconds
        is_later = now + pause_seconds > self._look_at
        if not self._is_watching or is_hurried or now >= self._look_at or not is_later:
            return actions
        return [*actions, StopWatch(self._watch_id), *self._watch(now, pause_seconds)]

    def look_now(self, now: float) -> list[Action]:
        """Look at the store at once, in place of a look under way that may be lost."""
        if not self._is_watching:
            return []
        return [StopWatch(self._watch_id), *self._watch(now, 0.0)]

    @property
    def seen_revision(self) -> int | None:
        """The store's revision up to which everything is known."""
        return self._seen_revision

    @property
    def usual_gather_seconds(self) -> float:
        """The time between two looks when nothing is missing."""
        return self._settings.gather_seconds

    @property
    def _may_wait(self) -> bool:
        """Whether this node lets the store hold its looks, and so hears of changes at once.

        One node of a group does, and tells the others. If all did, their looks would have begun
        when its news come, and none would be put off: 8 looks a node and minute, where one node in
        ten needs 18.
        """
        return self._hooks.is_first() or self._is_left_alone

    @property
    def _pace_seconds(self) -> float:
        """Least time between two looks, shorter where others go by what this node reads."""
        if self._may_wait and self._hooks.tells_others():
            return min(self._gather_seconds, self._settings.shared_gather_seconds)
        return self._gather_seconds

    @property
    def _hold_seconds(self) -> float:
        """How long the store may hold the next look.

        Not at all after one that was lost: a held one that an outage swallows is noticed late, and
        the configuration of 4 outages in 60 came up to 0.4 s after its bound (simulated).
        """
        return self._settings.look.hold_seconds if self._may_wait and not self._failures else 0.0

    @property
    def _operation_id(self) -> str:
        return f"follow-{self._reads}"

    @property
    def _watch_id(self) -> str:
        return f"follow-{self._watches}"

    def _look(self, now: float) -> list[Action]:
        if self._seen_revision is not None:
            return self._watch(now)
        self._reads += 1
        self._look_at = now
        operation = Read(self._settings.prefix, prefix=True, may_lag_at_first=True)
        timeout = self._settings.look.timeout_seconds
        return [StoreRequest(self._operation_id, operation, timeout)]

    def _pause_seconds(self, now: float) -> float:
        """Return the time until the next look is due at the present pace."""
        return max(0.0, self._looked_at + self._pace_seconds - now)

    def _watch(self, now: float, pause_seconds: float = 0.0) -> list[Action]:
        assert self._seen_revision is not None
        self._watch_gather_seconds = self._pace_seconds
        self._watch_hold_seconds = self._hold_seconds
        look = self._settings.look
        is_held = self._watch_hold_seconds > 0.0
        self._look_at = now + pause_seconds
        self._watches += 1
        self._is_watching = True
        return [
            StartWatch(
                self._watch_id,
                self._settings.prefix,
                self._seen_revision,
                self._watch_gather_seconds,
                pause_seconds,
                self._watch_hold_seconds,
                look.held_timeout_seconds if is_held else look.timeout_seconds,
            )
        ]

    def _remember(self, changed: tuple[StoredValue, ...], deleted: tuple[str, ...]) -> None:
        self._items.update({item.key: item for item in changed})
        for key in deleted:
            self._items.pop(key, None)

    def _read_done(self, event: StoreResponse, now: float) -> list[Action]:
        if event.operation_id != self._operation_id:
            return []
        result = event.result
        if not isinstance(result, ReadResult):
            reason = result.reason if isinstance(result, Failure) else "unexpected result"
            return self._failed(reason, now)
        self._failures = 0
        self._looked_at = now
        return self._listed(result.values, result.store_revision, now)

    def _peer_told(self, event: PeerSnapshot, now: float) -> list[Action]:
        """Begin with what another node knows; the store's own word follows by the watch."""
        if self._is_listed:
            return []
        # The answer to a read under way would be taken for a second listing.
        self._reads += 1
        fields = (("store_revision", event.store_revision), ("values", len(event.values)))
        line = Log("store_known_from_peer", LogLevel.WARNING, fields)
        return [line, *self._listed(event.values, event.store_revision, now)]

    def _listed(
        self, values: tuple[StoredValue, ...], store_revision: int, now: float
    ) -> list[Action]:
        self._is_listed = True
        self._seen_revision = store_revision
        self._items = {item.key: item for item in values}
        actions = self._hooks.on_listing(values, now)
        pause_seconds = self._pause_seconds(now) if self._hooks.is_enough() else 0.0
        return actions + self._watch(now, pause_seconds)

    def _changed(self, event: WatchChanged, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        assert self._seen_revision is not None
        self._failures = 0
        self._looked_at = now
        look_due_at = self._look_at
        # An answer that was cut is followed up at once: that look has begun already.
        self._look_at = now if event.may_have_more else now + self._pace_seconds
        before = self._seen_revision
        if event.store_revision < before:
            # News of another node have told all of it since this look began, and more.
            return []
        self._seen_revision = event.store_revision
        self._remember(event.changed, event.deleted)
        actions = self._hooks.on_changes(event.changed, event.deleted, now)
        news = StoreNews(
            before,
            self._seen_revision,
            event.changed,
            event.deleted,
            self._age_seconds(look_due_at, now),
            event.may_have_more,
        )
        actions += self._hooks.on_look(news, now)
        self._is_left_alone = not self._has_heard
        self._has_heard = False
        is_same_pace = self._watch_gather_seconds == self._pace_seconds
        is_same_place = self._watch_hold_seconds == self._hold_seconds
        if event.may_have_more or (is_same_pace and is_same_place):
            return actions
        return [*actions, StopWatch(self._watch_id), *self._watch(now, self._pace_seconds)]

    def _age_seconds(self, look_due_at: float, now: float) -> float:
        """Return how old an answer may be; that of a held look may be as new as it is late."""
        return 0.0 if self._watch_hold_seconds > 0.0 else max(now - look_due_at, 0.0)

    def _broken(self, event: WatchBroken, now: float) -> list[Action]:
        if event.watch_id != self._watch_id:
            return []
        self._is_watching = False
        if event.history_lost:
            self._seen_revision = None
            line = Log("store_history_lost", LogLevel.WARNING, (("reason", event.reason),))
            return [line, *self._look(now)]
        return self._failed(event.reason, now)

    def _failed(self, reason: str, now: float) -> list[Action]:
        self._hooks.on_trouble(now)
        settings = self._settings
        pause = settings.look.first_backoff_seconds * 2.0 ** min(self._failures, 6)
        is_hurried = self._gather_seconds < settings.gather_seconds
        most = settings.look.most_backoff_seconds
        if is_hurried:
            most = min(most, settings.hurried_backoff_seconds)
        asking: list[Action] = []
        if not self._is_listed:
            most = settings.unknown_backoff_seconds
            asking = [AskPeers()]
        self._failures += 1
        due_at = now + min(pause, most)
        fields = (
            ("reason", reason),
            ("failures", self._failures),
            ("waited_ms", _milliseconds(now - self._look_at)),
            ("silent_ms", self._silent_ms(now)),
            ("pause_ms", _milliseconds(due_at - now)),
        )
        return [
            Log("store_unreachable", LogLevel.WARNING, fields),
            *asking,
            Schedule(due_at, FollowAgain(self._operation_id)),
        ]

    def _passed_over(self, news: StoreNews, seen_revision: int, now: float) -> Log:
        """Return the line that tells of news with a gap before them."""
        fields = (
            ("known_revision", seen_revision),
            ("from_revision", news.from_revision),
            ("failures", self._failures),
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
