"""The voter: grants claims and stores their outcomes."""

from ..ports.peer_claims import ClaimOutcome, ClaimRequest, ClaimVote, VoteKind
from .assignment import Assignment, AssignmentStatus, LocalAssignments
from .keys import partition_of
from .memory import Submission


class Voter:
    """Votes on claim requests with the assignments of this node."""

    def __init__(self, assignments: LocalAssignments) -> None:
        self._assignments = assignments

    def vote(self, request: ClaimRequest, now: float) -> ClaimVote:
        """Return the vote on ``request``, and store the claim if it is granted."""
        assignment = self._assignments.by_partition[partition_of(request.claim_key)]
        self._assignments.record_epochs(assignment, request.assignment_epochs, now)
        may_vote = self._assignments.can_vote(assignment, request.zones, now)
        stored = assignment.memory.submissions(request.claim_key, now)
        for entry in sorted(stored, key=_unknown_outcomes_last):
            is_other = entry.request_id != request.request_id
            if entry.outcome is not None or (may_vote and is_other):
                return _already_claimed(request, assignment, entry)
        if not may_vote or (not stored and assignment.memory.is_full):
            return _vote(request, assignment, VoteKind.CANNOT_VOTE)
        grant = Submission(
            request_id=request.request_id,
            request_digest=request.request_digest,
            round_number=request.round_number,
            granted_at=now,
        )
        assignment.memory.add(request.claim_key, grant)
        return _vote(request, assignment, VoteKind.GRANTED)

    def record_outcome(self, outcome: ClaimOutcome, now: float) -> None:
        """Store the outcome of a claim, or release the claim if there is none."""
        assignment = self._assignments.by_partition[partition_of(outcome.claim_key)]
        if outcome.outcome is None:
            assignment.memory.release(outcome.claim_key, outcome.request_id, outcome.round_number)
            return
        known = assignment.memory.submissions(outcome.claim_key, now)
        has_capacity = (
            assignment.status is AssignmentStatus.VOTING and not assignment.memory.is_full
        )
        if not known and not has_capacity:
            return
        finished = Submission(
            request_id=outcome.request_id,
            request_digest=outcome.request_digest,
            round_number=outcome.round_number,
            granted_at=now,
            outcome=outcome.outcome,
        )
        assignment.memory.add(outcome.claim_key, finished)


def _unknown_outcomes_last(entry: Submission) -> bool:
    return entry.outcome is None


def _vote(request: ClaimRequest, assignment: Assignment, kind: VoteKind) -> ClaimVote:
    return ClaimVote(
        claim_key=request.claim_key,
        request_id=request.request_id,
        round_number=request.round_number,
        vote=kind,
        epoch=assignment.epoch if assignment.status is AssignmentStatus.VOTING else 0,
        assignment_epochs=assignment.assignment_epochs(),
    )


def _already_claimed(
    request: ClaimRequest, assignment: Assignment, claimed_by: Submission
) -> ClaimVote:
    return ClaimVote(
        claim_key=request.claim_key,
        request_id=request.request_id,
        round_number=request.round_number,
        vote=VoteKind.ALREADY_CLAIMED,
        epoch=assignment.epoch if assignment.status is AssignmentStatus.VOTING else 0,
        holder_request_id=claimed_by.request_id,
        holder_request_digest=claimed_by.request_digest,
        outcome=claimed_by.outcome,
        assignment_epochs=assignment.assignment_epochs(),
    )
