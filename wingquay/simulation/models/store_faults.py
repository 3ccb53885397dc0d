"""Faults of the modelled store that last for a while or strike the next replies."""

import random


class StoreFaults:
    """What is wrong at a given time.

    Parameters
    ----------
    lost_reply_share
        Share of replies, 0 to 1, that are lost after the operation took effect.
    rng
        Decides which.
    """

    def __init__(self, lost_reply_share: float, rng: random.Random) -> None:
        self.refusing_until = 0.0
        self.silent_until = 0.0
        self.replies_to_lose = 0
        """How many of the next replies are lost for certain."""
        self._lost_reply_share = lost_reply_share
        self._rng = rng
        self._extra_seconds = 0.0
        self._slow_until = 0.0

    def refuses(self, now: float) -> bool:
        """Whether no connection can be made."""
        return now < self.refusing_until

    def is_silent(self, now: float) -> bool:
        """Whether requests are taken in and nothing comes of them."""
        return now < self.silent_until

    def slow_down(self, extra_seconds: float, until: float) -> None:
        """Make operations submitted before ``until`` take ``extra_seconds`` longer."""
        self._extra_seconds = extra_seconds
        self._slow_until = until

    def extra_seconds(self, now: float) -> float:
        """Return how much longer an operation submitted now takes."""
        return self._extra_seconds if now < self._slow_until else 0.0

    def loses_next_reply(self) -> bool:
        """Decide about one reply."""
        if self.replies_to_lose > 0:
            self.replies_to_lose -= 1
            return True
        return self._lost_reply_share > 0 and self._rng.random() < self._lost_reply_share
