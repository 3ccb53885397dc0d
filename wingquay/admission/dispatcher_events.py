"""Events that the dispatcher schedules for itself."""

from dataclasses import dataclass

from ..model.identifiers import AttemptId, SubRequestId
from ..model.value import value
from ..ports.machine import Event


@value
class HedgeDue(Event):
    """An attempt has taken longer than most: ask a second replica."""

    sub_request_id: SubRequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class WorkExpired(Event):
    """The deadline of an unrepeatable sub-request has come."""

    sub_request_id: SubRequestId


@dataclass(frozen=True, slots=True)
class ProbeDue(Event):
    """It is time to read the health pages of the replicas that this node owns."""


@dataclass(frozen=True, slots=True)
class HeartbeatDue(Event):
    """It is time to tell waiting nodes that this owner is alive."""
