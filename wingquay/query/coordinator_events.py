"""Events that the coordinator schedules for itself."""

from dataclasses import dataclass

from ..model.identifiers import ReplicaId, RequestId
from ..model.key_range import KeyRange
from ..ports.machine import Event


@dataclass(frozen=True, slots=True)
class AnswerDue(Event):
    """The answer must leave now to arrive by the deadline."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class PromiseDue(Event):
    """The class's promise has passed for a request that puts latency first."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SubRequestRetryDue(Event):
    """Keys whose replicas failed are to be asked for again."""

    request_id: RequestId
    generation: int
    key_ranges: tuple[KeyRange, ...]
    retries: int
    avoid: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnerCheckDue(Event):
    """It is time to look for silent owners."""
