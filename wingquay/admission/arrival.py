"""Decisions about a sub-request on its arrival at the owner."""

from ..model.answer import SubFailureKind
from ..model.failure import Failure
from ..model.identifiers import ReplicaId
from ..model.request import SubRequest
from ..ports.machine import Action, Schedule
from ..routing.replica_tracker import ReplicaTracker
from .owner_events import WorkExpired
from .shard_state import ShardState
from .work_item import WorkItem


def early_refusal(
    shard_state: ShardState, work: WorkItem, now: float
) -> Failure[SubFailureKind] | None:
    """Return a refusal if the deadline is expected to be missed, else ``None``."""
    expected = (
        shard_state.class_delay_seconds(work.sub_request, now) + work.expected_service_seconds
    )
    remaining = work.sub_request.remaining_seconds
    if expected <= remaining:
        return None
    reason = f"expected latency {expected:.3f} s exceeds the remaining {remaining:.3f} s"
    return Failure(SubFailureKind.REFUSED, reason)


def schedule_expiry(work: WorkItem) -> list[Action]:
    """Schedule the expiry of an unrepeatable sub-request at its deadline.

    The coordinator then receives a result that states whether the sub-request may have run.
    Repeatable sub-requests need no such result.
    """
    if work.sub_request.repeatable:
        return []
    expired = WorkExpired(work.sub_request.sub_request_id)
    return [Schedule(work.deadline_at, expired)]


def replicas_to_avoid(
    sub_request: SubRequest, usable: list[ReplicaTracker]
) -> tuple[ReplicaId, ...]:
    """Return the replicas that left out keys earlier, or none if all usable ones did."""
    avoided = sub_request.avoid
    if not avoided or all(tracker.replica.replica_id in avoided for tracker in usable):
        return ()
    return avoided
