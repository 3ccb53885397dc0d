"""Messages between nodes about claims on unrepeatable requests; see also ``peer.py``.

Claim keys are divided into claim partitions. Each zone assigns each partition to one of
its nodes, which votes on claims.
"""

from dataclasses import dataclass
from enum import Enum

from ..model.identifiers import RequestId, ZoneName
from .peer import PeerMessage


class VoteKind(Enum):
    """Result of a claim voter's vote."""

    GRANTED = "granted"
    """The voter has no record of another submission and has recorded this claim."""
    ALREADY_CLAIMED = "already_claimed"
    """Another submission holds the claim; ``outcome`` is its result, if available."""
    CANNOT_VOTE = "cannot_vote"
    """The voter's claim records are incomplete or full, or it lacks the zone's assignment."""


@dataclass(frozen=True, slots=True)
class AssignmentEpoch:
    """Number of times that the assignment of ``zone`` was taken over without its claim records."""

    zone: ZoneName
    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Request to record a claim, sent to a zone's voter for the claim key.

    Parameters
    ----------
    claim_key
        Digest of caller, service and idempotency key.
    request_digest
        Digest of the request's content, which detects reuse of a key for a different request.
    round_number
        Round of this submission, incremented when it releases its grants and requests them again.
        Grants and releases of different rounds are independent.
    zones
        Zones whose majority decides, in the sender's view. Voters with a different list do not
        grant.
    assignment_epochs
        The newest epochs of the key's partition that the sender has received.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    round_number: int
    zones: tuple[ZoneName, ...]
    assignment_epochs: tuple[AssignmentEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimVote(PeerMessage):
    """A voter's reply to the ``ClaimRequest`` with the same request id and round.

    Parameters
    ----------
    epoch
        Epoch of the voter's own assignment; 0 if it has none.
    holder_request_id, holder_request_digest, outcome
        Describe the submission that holds the claim if ``vote`` is ``ALREADY_CLAIMED``. ``outcome``
        is the stored answer, in a format that only the query machine reads.
    assignment_epochs
        The newest epochs of the partition that the voter had received when it voted. A grant from
        an older epoch of one of these zones does not count.
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
    """The result of a claimed request, for its voters to store.

    An ``outcome`` of ``None`` releases the claim of this round and of earlier ones: the request did
    not run and will not run under them.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    round_number: int
    outcome: bytes | None


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A stored claim; ``age_seconds`` is the time since it was granted."""

    claim_key: str
    request_id: RequestId
    request_digest: str
    round_number: int
    outcome: bytes | None
    age_seconds: float


@dataclass(frozen=True, slots=True)
class ClaimAssignmentOffer(PeerMessage):
    """Offer assignments to the receiver, which should hold them in the sender's view.

    The receiver accepts with a ``ClaimTableRequest``. An empty ``partitions`` informs a newly seen
    node that the sender holds no assignments for it.
    """

    offer_id: str
    partitions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClaimTableRequest(PeerMessage):
    """Request the claims of a partition, to rebuild an assignment or to take one over.

    Parameters
    ----------
    transfer_id
        Id of this request, returned with the table.
    offer_id
        The accepted ``ClaimAssignmentOffer``: the receiver hands its assignment over and stops
        voting. ``None``: the sender is the new holder in another zone and only reads the table.
    zones, assignment_epochs
        As in ``ClaimRequest``; includes the sender's own new epoch when it rebuilds.
    ended_epoch
        If not 0, requests the table as of the end of this epoch of the receiver's assignment,
        because the list of zones has changed since.
    """

    partition: int
    transfer_id: str
    offer_id: str | None
    zones: tuple[ZoneName, ...]
    assignment_epochs: tuple[AssignmentEpoch, ...]
    ended_epoch: int = 0


@dataclass(frozen=True, slots=True)
class ClaimTable(PeerMessage):
    """A part of a consistent snapshot of a partition's claims.

    Parameters
    ----------
    complete
        Whether the sender's claim records are complete, so that it can vote from them.
    handed_over
        Whether the assignment itself passes to the receiver.
    epoch, assignment_epochs
        Epoch of the sender's assignment, and the newest epochs that it has received.
    confirmed_age_seconds
        Time since the sender's epoch was last confirmed by the platform's store.
    table_id
        Id of the snapshot. Only parts with the same id belong together.
    piece, pieces
        Index of this part from 0, and the number of parts.
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
