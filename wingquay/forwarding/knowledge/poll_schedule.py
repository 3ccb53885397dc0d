"""Schedule of one node's polls of the store."""

from .follower_settings import FollowerHooks, FollowerSettings
from .poll_times import LONG_POLL_ANSWER_SECONDS
from .proof_manager import ProofManager
from .proof_poll_times import MAX_LONG_POLL_SHARE


class PollSchedule:
    """Decides when a node polls the store next and how long the store may hold the poll.

    Parameters
    ----------
    settings
        The default poll interval, timeouts and backoff.
    hooks
        Provide whether this node polls for its group.
    proof_manager
        Provides the time by which the configuration must be proven again.
    """

    def __init__(
        self, settings: FollowerSettings, hooks: FollowerHooks, proof_manager: ProofManager
    ) -> None:
        self._settings = settings
        self._hooks = hooks
        self._proof_manager = proof_manager
        self._has_received_update = False
        """Whether an update of another node was applied since the last poll."""
        self._no_updates_between_polls = False
        """Whether no update of another node arrived between the last two polls."""
        self.requested_interval_seconds = settings.poll_interval_seconds
        """The poll interval that is currently requested."""
        self.failed_polls = 0
        """Consecutive failed polls."""

    @property
    def is_urgent(self) -> bool:
        """Whether a shorter poll interval than the default is requested."""
        return self.requested_interval_seconds < self._settings.poll_interval_seconds

    @property
    def interval_seconds(self) -> float:
        """Minimum time between two polls; shorter for a node that polls for its group."""
        proof_poll_times = self._proof_manager.proof_poll_times
        if self._uses_long_polls and self._hooks.shares_updates():
            shared_seconds = self._settings.shared_poll_interval_seconds
            if proof_poll_times is not None:
                shared_seconds = proof_poll_times.shared_poll_interval_seconds
            return min(self.requested_interval_seconds, shared_seconds)
        if proof_poll_times is None:
            return self.requested_interval_seconds
        return min(
            self.requested_interval_seconds,
            proof_poll_times.poll_at_age_seconds - self.hold_seconds,
        )

    @property
    def hold_seconds(self) -> float:
        """How long the store may hold the next poll.

        Zero after a failed poll, because the failure of a long poll is detected later than that of
        a short poll. The answer to a long poll proves the contents as of its start, so a node that
        polls for others limits the hold time: the next proof must arrive before their polls are
        due.
        """
        if not self._uses_long_polls or self.failed_polls:
            return 0.0
        proof_poll_times = self._proof_manager.proof_poll_times
        if proof_poll_times is not None:
            return proof_poll_times.hold_seconds
        hold_seconds = self._settings.poll_times.hold_seconds
        if not self._hooks.shares_updates():
            return hold_seconds
        return min(hold_seconds, self._settings.poll_interval_seconds * MAX_LONG_POLL_SHARE)

    def timeout_seconds(self, hold_seconds: float) -> float:
        """Return the timeout of a poll that the store may hold for ``hold_seconds``."""
        poll_times = self._proof_manager.proof_poll_times or self._settings.poll_times
        if hold_seconds == 0.0:
            return poll_times.timeout_seconds
        return min(poll_times.long_poll_timeout_seconds, hold_seconds + LONG_POLL_ANSWER_SECONDS)

    def max_pause_seconds(self, now: float) -> float:
        """Return the maximum time until the next poll."""
        return max(self._proof_manager.poll_deadline() - self.hold_seconds - now, 0.0)

    def backoff_seconds(self, has_listing: bool) -> float:
        """Return the pause after a failed poll, doubled with each failure in a row.

        Parameters
        ----------
        has_listing
            Whether the node has contents to work with in the meantime.
        """
        settings = self._settings
        pause = settings.poll_times.first_backoff_seconds * 2.0 ** min(self.failed_polls, 6)
        if not has_listing:
            return min(pause, settings.initial_backoff_seconds)
        max_seconds = settings.poll_times.max_backoff_seconds
        if self.is_urgent:
            max_seconds = min(max_seconds, settings.urgent_backoff_seconds)
        return min(pause, max_seconds)

    def record_update(self) -> None:
        """Record that an update of another node was applied."""
        self._has_received_update = True
        self._no_updates_between_polls = False

    def record_poll_answer(self) -> None:
        """Record that a poll of this node was answered."""
        self._no_updates_between_polls = not self._has_received_update
        self._has_received_update = False

    @property
    def _uses_long_polls(self) -> bool:
        """Whether this node uses long polls, by which it receives changes at once.

        The first node of a group uses long polls and sends the changes to the others. A node that
        receives no updates uses them as well. Other nodes use short polls, because only a poll that
        has not started can be postponed.
        """
        return self._hooks.is_first_in_group() or self._no_updates_between_polls
