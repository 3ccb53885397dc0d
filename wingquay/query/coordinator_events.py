"""Timer events of the coordinator."""

from dataclasses import dataclass

from ..model.identifiers import ReplicaId, RequestId
from ..model.key_range import KeyRange
from ..ports.machine import Event


@dataclass(frozen=True, slots=True)
class AnswerDue(Event):
    """The answer must be sent now to arrive before the deadline."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class PromiseDue(Event):
    """The promised latency has passed for a request that prefers latency to coverage."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SubRequestRetryDue(Event):
    """A retry for keys without an answer is due.

    Parameters
    ----------
    plan_number
        ``QueryState.plan_number`` at scheduling time; the event is ignored if it has changed.
    retry_number
        Number of this retry, from 1.
    avoid
        Replicas that left out these keys.
    """

    request_id: RequestId
    plan_number: int
    key_ranges: tuple[KeyRange, ...]
    retry_number: int
    avoid: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnerCheckDue(Event):
    """The check for silent owners is due."""
