"""What is known of a replica at a moment, for the estimate of its completion."""

from .completion import ReplicaEstimate
from .replica_state import ReplicaState


def estimate_replica(
    state: ReplicaState, now: float, zone: str, prefers_proven: bool, may_try: bool
) -> ReplicaEstimate:
    """Return what is known of a replica now.

    Parameters
    ----------
    zone
        The zone of this node.
    prefers_proven
        Whether a replica that answered well lately goes before one of which nothing is known.
    may_try
        Whether a replica that was slow may be taken for faster by now.
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
