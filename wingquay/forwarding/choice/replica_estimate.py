"""Builds the estimate of a replica's performance from its state."""

from .completion import ReplicaEstimate
from .replica_state import ReplicaState


def estimate_replica(
    state: ReplicaState, now: float, zone: str, prefers_proven: bool, may_try: bool
) -> ReplicaEstimate:
    """Return the current estimate of a replica.

    Parameters
    ----------
    zone
        The zone of this node.
    prefers_proven
        Whether to prefer replicas that recently answered in time over the others.
    may_try
        Whether the measured slowdown decays with time, so that a slow replica is tried again.
    """
    return ReplicaEstimate(
        slowdown=state.expected_slowdown(now, may_try),
        outstanding=len(state.in_flight) + state.reported_requests(now),
        slots=state.known_slots,
        failure_rate=state.failure_rate(now),
        is_overdue=state.is_overdue(now),
        is_in_other_zone=state.record.zone != zone,
        is_unproven=prefers_proven and not state.is_proven(now),
    )
