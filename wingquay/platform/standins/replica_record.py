"""What a stand-in replica notes of each request that reached it."""

from enum import Enum

import attrs


class ArrivalEnd(Enum):
    """How a request ended at a replica."""

    OPEN = "open"
    REJECTED = "rejected"
    """It was not run, and the answer said so."""
    MISDIRECTED = "misdirected"
    """It was meant for another replica and not run."""
    ANSWERED = "answered"
    ANSWER_WITHHELD = "answer_withheld"
    """It was run, but no whole answer was sent."""
    DROPPED = "dropped"
    """Its connection closed, and the replica stopped working on it."""
    ENDED = "ended"
    """The replica ended."""


@attrs.define(slots=True)
class Arrival:
    """One request that reached a replica; times are on the loop's clock.

    Parameters
    ----------
    deadline_seconds
        How long the replica may work on it; ``None``: not stated.
    tenant
        The tenant that was named to the replica; empty: none.
    shows_key
        Whether the request shows a caller's key.
    signature, status, answer_body
        What the replica answered; empty, 0 and empty before that.
    """

    request_id: str
    service: str
    replica_id: str
    arrived_at: float
    method: str
    target: str
    body: bytes
    deadline_seconds: float | None
    tenant: str
    shows_key: bool
    started_at: float | None = None
    ended_at: float | None = None
    end: ArrivalEnd = ArrivalEnd.OPEN
    signature: str = ""
    status: int = 0
    answer_body: bytes = b""

    @property
    def has_run(self) -> bool:
        """Whether the replica began to work on the request."""
        return self.started_at is not None
