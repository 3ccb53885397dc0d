"""The voter: grants claims, remembers what came of them."""

from wingquay.claims.keys import partition_of
from wingquay.claims.memory import Submission
from wingquay.claims.seat import Seat, SeatStatus, SeatTable
from wingquay.ports.peer_claims import ClaimOutcome, ClaimRequest, ClaimVote, VoteKind


class Voter:
    """Answers claim requests from the seats of this node."""

    def __init__(self, seats: SeatTable) -> None:
        self._seats = seats

    def vote(self, request: ClaimRequest, now: float) -> ClaimVote:
        """Return the vote on ``request`` and remember a grant."""
        seat = self._seats.seats[partition_of(request.claim_key)]
        self._seats.learn(seat, request.seat_epochs, now)
        vouches = self._seats.can_vouch(seat, request.zones, now)
        remembered = seat.memory.submissions(request.claim_key, now)
        for entry in sorted(remembered, key=_unknown_outcomes_last):
            is_other = entry.request_id != request.request_id
            if entry.outcome is not None or (vouches and is_other):
                return _already_claimed(request, seat, entry)
        if not vouches or (not remembered and seat.memory.is_full):
            return _vote(request, seat, VoteKind.CANNOT_VOUCH)
        grant = Submission(
            request_id=request.request_id,
            request_digest=request.request_digest,
            round_number=request.round_number,
            granted_at=now,
        )
        seat.memory.remember(request.claim_key, grant)
        return _vote(request, seat, VoteKind.GRANTED)

    def record_outcome(self, outcome: ClaimOutcome, now: float) -> None:
        """Remember what came of a claim, or that it is free again."""
        seat = self._seats.seats[partition_of(outcome.claim_key)]
        if outcome.outcome is None:
            seat.memory.release(outcome.claim_key, outcome.request_id, outcome.round_number)
            return
        known = seat.memory.submissions(outcome.claim_key, now)
        has_room = seat.status is SeatStatus.VOUCHING and not seat.memory.is_full
        if not known and not has_room:
            return
        finished = Submission(
            request_id=outcome.request_id,
            request_digest=outcome.request_digest,
            round_number=outcome.round_number,
            granted_at=now,
            outcome=outcome.outcome,
        )
        seat.memory.remember(outcome.claim_key, finished)


def _unknown_outcomes_last(entry: Submission) -> bool:
    return entry.outcome is None


def _vote(request: ClaimRequest, seat: Seat, kind: VoteKind) -> ClaimVote:
    return ClaimVote(
        claim_key=request.claim_key,
        request_id=request.request_id,
        round_number=request.round_number,
        vote=kind,
        epoch=seat.epoch if seat.status is SeatStatus.VOUCHING else 0,
        seat_epochs=seat.seat_epochs(),
    )


def _already_claimed(request: ClaimRequest, seat: Seat, holder: Submission) -> ClaimVote:
    return ClaimVote(
        claim_key=request.claim_key,
        request_id=request.request_id,
        round_number=request.round_number,
        vote=VoteKind.ALREADY_CLAIMED,
        epoch=seat.epoch if seat.status is SeatStatus.VOUCHING else 0,
        holder_request_id=holder.request_id,
        holder_request_digest=holder.request_digest,
        outcome=holder.outcome,
        seat_epochs=seat.seat_epochs(),
    )
