"""Builds the estimate of a replica's performance from its state."""

from .completion import ReplicaEstimate
from .replica_state import ReplicaState


def estimate_replica(
    state: ReplicaState, now: float, zone: str, prefers_reliable: bool, is_trial_allowed: bool
) -> ReplicaEstimate:
    """Return the current estimate of a replica.

    Parameters
    ----------
    zone
        The zone of this node.
    prefers_reliable
        Whether to prefer reliable replicas over the others.
    is_trial_allowed
        Whether the replica may be tried if it was slow; if so, its measured slowdown decays.
    """
    return ReplicaEstimate(
        slowdown=state.expected_slowdown(now, is_trial_allowed),
        outstanding=len(state.in_flight) + state.reported_requests(now),
        slots=state.known_slots,
        failure_rate=state.failure_rate(now),
        is_overdue=state.is_overdue(now),
        is_in_other_zone=state.record.zone != zone,
        counts_as_unreliable=prefers_reliable and not state.is_reliable(now),
    )
