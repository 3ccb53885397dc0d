"""What a stand-in replica does to requests and answers besides its work."""

import random
from enum import Enum

import attrs


class Fate(Enum):
    """What becomes of one request at a replica."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The replica answers with a failure of its own after it has run the request."""
    ANSWER_LOST = "answer_lost"
    """The replica runs the request and closes the connection without an answer."""
    CUT_SHORT = "cut_short"
    """The answer ends before it is whole."""
    GARBLED = "garbled"
    """The replica sends bytes that form no answer."""
    DOUBLED = "doubled"
    """The answer is sent twice in a row."""
    SILENT = "silent"
    """The replica takes the request and never answers; it does not run it."""


@attrs.define(slots=True)
class ReplicaBehaviour:
    """Draws the fate of each request; everything is off at first.

    Parameters
    ----------
    random_source
        Draws what is left to chance.
    slowdown
        Factor on the time of the work.
    shares
        Share of the requests that meet each fate; the others are answered.
    late_repeat_share
        Share of the answers that are sent once more, late: in the place of the next one on their
        connection.
    rejects_all
        Whether all requests are rejected as not run.
    """

    random_source: random.Random
    slowdown: float = 1.0
    shares: dict[Fate, float] = attrs.field(factory=dict)
    late_repeat_share: float = 0.0
    rejects_all: bool = False

    def draw_fate(self) -> Fate:
        """Return the fate of the next request."""
        drawn = self.random_source.random()
        for fate, share in self.shares.items():
            drawn -= share
            if drawn < 0:
                return fate
        return Fate.ANSWERED

    def repeats_late(self) -> bool:
        """Return whether the answer just sent is repeated later."""
        return self.random_source.random() < self.late_repeat_share
