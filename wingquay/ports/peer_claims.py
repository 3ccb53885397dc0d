"""The messages between nodes about claims of unrepeatable requests; see ``peer.py``."""

from dataclasses import dataclass
from enum import Enum

from ..model.identifiers import RequestId, ZoneName
from .peer import PeerMessage


class VoteKind(Enum):
    """A claim voter's answer."""

    GRANTED = "granted"
    """The voter knows of no other submission and now remembers this claim."""
    ALREADY_CLAIMED = "already_claimed"
    """Another submission holds the claim; ``outcome`` says what came of it, if known."""
    CANNOT_VOTE = "cannot_vote"
    """The voter's memory is incomplete or full, or it does not hold the zone's assignment."""


@dataclass(frozen=True, slots=True)
class AssignmentEpoch:
    """How often the assignment of ``zone`` was taken over without the memory of its last holder."""

    zone: ZoneName
    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Ask the receiver, which holds its zone's assignment for the key, to remember a claim.

    Parameters
    ----------
    claim_key
        Digest of caller, service and idempotency key.
    request_digest
        Digest of the request's content, so that a key used for another request is noticed.
    round_number
        Counts the times that the submission asked anew after it gave its grants back; grants
        and releases of other rounds do not mix.
    zones
        The zones whose majority decides, as the sender knows them; a voter of another list of
        zones does not grant.
    assignment_epochs
        The newest epochs of the partition that the sender has heard of.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    round_number: int
    zones: tuple[ZoneName, ...]
    assignment_epochs: tuple[AssignmentEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimVote(PeerMessage):
    """A voter's answer to the ``ClaimRequest`` with the same request id and round.

    Parameters
    ----------
    epoch
        The epoch of the voter's own assignment; 0 when it has none.
    holder_request_id, holder_request_digest, outcome
        Of the submission that holds the claim, when ``vote`` is ``ALREADY_CLAIMED``;
        ``outcome`` is the stored answer (bytes that only the query machine reads).
    assignment_epochs
        The newest epochs of the partition that the voter had heard of when it voted: a grant
        from an older epoch of one of these zones does not count.
    """

    claim_key: str
    request_id: RequestId
    round_number: int
    vote: VoteKind
    epoch: int
    holder_request_id: RequestId | None = None
    holder_request_digest: str = ""
    outcome: bytes | None = None
    assignment_epochs: tuple[AssignmentEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimOutcome(PeerMessage):
    """What came of a claimed request, for its voters to remember.

    ``outcome`` of ``None`` releases the claim of this round and of earlier ones: the request
    certainly did not run and will not run with them.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    round_number: int
    outcome: bytes | None


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One remembered claim; ``age_seconds`` since it was granted."""

    claim_key: str
    request_id: RequestId
    request_digest: str
    round_number: int
    outcome: bytes | None
    age_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimAssignmentOffer(PeerMessage):
    """The sender holds assignments that it believes to be the receiver's: "ask me for them".

    Without ``partitions`` it tells a node that it sees for the first time that it has none.
    """

    offer_id: str
    partitions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClaimTableRequest(PeerMessage):
    """Ask for the claims of a partition, to rebuild an assignment or to take one over.

    Parameters
    ----------
    transfer_id
        Names this request; the table carries it back.
    offer_id
        The ``ClaimAssignmentOffer`` that is accepted: the receiver hands its assignment over and
        votes no more. ``None``: the table is asked for by another zone's new holder.
    zones, assignment_epochs
        As in ``ClaimRequest``; with the sender's own new epoch when it rebuilds.
    ended_epoch
        When not 0, the table as it was when this epoch of the receiver's assignment ended is asked
        for, because the list of zones has changed since.
    """

    partition: int
    transfer_id: str
    offer_id: str | None
    zones: tuple[ZoneName, ...]
    assignment_epochs: tuple[AssignmentEpoch, ...]
    ended_epoch: int = 0


@dataclass(frozen=True, slots=True)
class ClaimTable(PeerMessage):
    """A piece of the claims of a partition, as they all were at one moment.

    Parameters
    ----------
    complete
        Whether the sender votes for its memory.
    handed_over
        Whether the assignment itself passes to the receiver.
    epoch, assignment_epochs
        The epoch of the sender's assignment, and the newest epochs that it has heard of.
    confirmed_age_seconds
        Time since the sender's epoch was last confirmed by the platform's store.
    table_id
        Names the moment that the table is of: only pieces with the same one belong together.
    piece, pieces
        This piece's number from 0, and how many there are.
    """

    partition: int
    transfer_id: str
    complete: bool
    handed_over: bool
    epoch: int
    assignment_epochs: tuple[AssignmentEpoch, ...]
    confirmed_age_seconds: float
    table_id: str
    records: tuple[ClaimRecord, ...]
    piece: int = 0
    pieces: int = 1
