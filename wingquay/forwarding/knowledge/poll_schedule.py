"""How soon a node looks at the store again, and how long the store may hold the look."""

from .follower_settings import FollowerHooks, FollowerSettings
from .proof_manager import ProofManager


class PollSchedule:
    """The pace of one node's looks, by what it hears of others and what it waits for.

    Parameters
    ----------
    settings
        The usual pace, and how long a look may take.
    hooks
        Tell this node's place among those that tell each other what they read.
    keeper
        Knows how soon the configuration has to be proven again.
    """

    def __init__(
        self, settings: FollowerSettings, hooks: FollowerHooks, keeper: ProofManager
    ) -> None:
        self._settings = settings
        self._hooks = hooks
        self._keeper = keeper
        self._has_heard = False
        """Whether news of another node were taken in since the last look."""
        self._is_left_alone = False
        """Whether none were before that look: those that go first may be turned away."""
        self.gather_seconds = settings.poll_interval_seconds
        """Time between two looks that is wanted at present."""
        self.failures = 0
        """Looks that were lost, one after the other."""

    @property
    def is_hurried(self) -> bool:
        """Whether looks are wanted more often than usual."""
        return self.gather_seconds < self._settings.poll_interval_seconds

    @property
    def seconds(self) -> float:
        """Least time between two looks, shorter where others go by what this node reads."""
        proving = self._keeper.looks
        if self._may_wait and self._hooks.tells_others():
            shared_seconds = self._settings.shared_poll_interval_seconds
            if proving is not None:
                shared_seconds = proving.shared_poll_interval_seconds
            return min(self.gather_seconds, shared_seconds)
        if proving is None:
            return self.gather_seconds
        return min(self.gather_seconds, proving.own_seconds - self.hold_seconds)

    @property
    def hold_seconds(self) -> float:
        """How long the store may hold the next look.

        Not at all after one that was lost: a held one that an outage swallows is noticed late, and
        the configuration of 4 outages in 60 came up to 0.4 s after its bound (simulated).
        """
        if not self._may_wait or self.failures:
            return 0.0
        proving = self._keeper.looks
        return self._settings.poll_times.hold_seconds if proving is None else proving.hold_seconds

    def timeout_seconds(self, hold_seconds: float) -> float:
        """Return after which time a look counts as lost that the store may hold for so long."""
        look = self._keeper.looks or self._settings.poll_times
        return look.held_timeout_seconds if hold_seconds > 0.0 else look.timeout_seconds

    def most_pause_seconds(self, now: float) -> float:
        """Return for how long the next look may be put off."""
        return max(self._keeper.look_by() - self.hold_seconds - now, 0.0)

    def backoff_seconds(self, is_listed: bool) -> float:
        """Return the pause after a look that was lost, longer each time in a row.

        Parameters
        ----------
        is_listed
            Whether anything is known to go by meanwhile.
        """
        settings = self._settings
        pause = settings.poll_times.first_backoff_seconds * 2.0 ** min(self.failures, 6)
        if not is_listed:
            return min(pause, settings.unknown_backoff_seconds)
        most = settings.poll_times.most_backoff_seconds
        if self.is_hurried:
            most = min(most, settings.hurried_backoff_seconds)
        return min(pause, most)

    def heard(self) -> None:
        """Take in that another node has told news."""
        self._has_heard = True
        self._is_left_alone = False

    def looked(self) -> None:
        """Take in that a look of this node was answered."""
        self._is_left_alone = not self._has_heard
        self._has_heard = False

    @property
    def _may_wait(self) -> bool:
        """Whether this node lets the store hold its looks, and so hears of changes at once.

        One node of a group does, and tells the others. If all did, their looks would have begun
        when its news come, and none would be put off: 8 looks a node and minute, where one node in
        ten needs 18.
        """
        return self._hooks.is_first() or self._is_left_alone
