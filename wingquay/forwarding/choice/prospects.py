"""What is known of a replica at a moment, for the estimate of its completion."""

from .completion import Prospect
from .replica_state import ReplicaState


def prospect_of(
    state: ReplicaState, now: float, zone: str, prefers_proven: bool, may_try: bool
) -> Prospect:
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
    return Prospect(
        pace=state.pace(now, may_try),
        ahead=len(state.in_flight) + state.reported_elsewhere(now),
        slots=max(1, state.record.slots),
        trouble=state.trouble(now),
        is_overdue=state.is_overdue(now),
        is_far=state.record.zone != zone,
        is_unproven=prefers_proven and not state.is_proven(now),
    )
