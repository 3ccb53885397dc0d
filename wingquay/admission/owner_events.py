"""Timer events of the owner role."""

from dataclasses import dataclass

from ..model.identifiers import AttemptId, SubRequestId
from ..model.value import value
from ..ports.machine import Event


@value
class HedgeDue(Event):
    """An attempt has reached the hedge delay; a second replica should be tried."""

    sub_request_id: SubRequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class WorkExpired(Event):
    """The deadline of an unrepeatable sub-request has passed."""

    sub_request_id: SubRequestId


@dataclass(frozen=True, slots=True)
class ProbeDue(Event):
    """The health pages of the replicas of owned shards are due to be read."""


@dataclass(frozen=True, slots=True)
class HeartbeatDue(Event):
    """A heartbeat to the nodes that wait for results is due."""
