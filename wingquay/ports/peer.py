"""The port towards other nodes: the messages between our own processes.

The adapter carries them as protobuf: membership messages as datagrams (they may be lost, doubled
or reordered), all others on one authenticated connection a pair of nodes (in order while it
lasts; a break loses what was in transit).
"""

from dataclasses import dataclass
from enum import Enum

from wingquay.model.answer import HeldVersions, SubResult
from wingquay.model.identifiers import (
    DeploymentName,
    NodeId,
    ReplicaId,
    RequestId,
    Revision,
    SubRequestId,
    ZoneName,
)
from wingquay.model.request import SubRequest
from wingquay.model.value import value
from wingquay.ports.machine import Action, Event


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Who a node is and where it listens for peers (IP number and port, TCP and UDP alike).

    A membership message may be sent to an identity with an empty ``node_id``: then whoever
    listens at the address gets it. That is how a node joins.
    """

    node_id: NodeId
    deployment: DeploymentName
    zone: ZoneName
    host: str
    port: int


class NodeState(Enum):
    """What is believed of a node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """A belief about a node, as spread by gossip; a greater incarnation overrides.

    ``suspected_by`` names who first said so when ``state`` is ``SUSPECT``, so that independent
    suspicions can be told from repeated ones; otherwise it is empty.
    """

    identity: NodeIdentity
    state: NodeState
    incarnation: int
    suspected_by: NodeId = NodeId("")


class ReplicaState(Enum):
    """What is believed of a replica."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ReplicaUpdate:
    """A belief about a replica, spread by its owners; a greater ``version`` overrides."""

    replica_id: ReplicaId
    state: ReplicaState
    version: int
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class Gossip:
    """Beliefs that ride on membership messages."""

    configuration_revision: Revision
    node_updates: tuple[NodeUpdate, ...] = ()
    replica_updates: tuple[ReplicaUpdate, ...] = ()


class PeerMessage:
    """Base of every message between nodes."""

    __slots__ = ()


class MembershipMessage(PeerMessage):
    """Base of the messages that travel as datagrams."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Ping(MembershipMessage):
    """Direct probe; with ``sequence`` 0 it only carries gossip and is not answered.

    Source: SWIM (Das, Gupta, Motivala, 2002), section 3.
    """

    sequence: int
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class Acknowledgement(MembershipMessage):
    """The answer to a probe, direct or on behalf of ``subject``.

    An answer to a ``PingRequest`` that names the answering node itself as subject means that the
    node asked for did not answer it.
    """

    sequence: int
    subject: NodeId
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class PingRequest(MembershipMessage):
    """Indirect probe: "probe ``subject`` for me"."""

    sequence: int
    subject: NodeIdentity
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class NodeListRequest(PeerMessage):
    """Ask for the whole membership and the configuration revision, when joining."""


@dataclass(frozen=True, slots=True)
class NodeList(PeerMessage):
    """The whole membership as the sender believes it."""

    gossip: Gossip


@value
class SubRequestBatch(PeerMessage):
    """Sub-requests for shards that the receiver owns."""

    sub_requests: tuple[SubRequest, ...]


@value
class SubResultBatch(PeerMessage):
    """Results of sub-requests that the receiver asked for."""

    results: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class CancelSubRequests(PeerMessage):
    """The receiver may drop these sub-requests: nobody waits for them any more."""

    sub_request_ids: tuple[SubRequestId, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationFetch(PeerMessage):
    """Ask for the configuration if the receiver has one newer than ``known_revision``."""

    known_revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigurationBody(PeerMessage):
    """A confirmed configuration (``body`` is its JSON)."""

    revision: Revision
    body: bytes


class VoteKind(Enum):
    """A claim voter's answer."""

    GRANTED = "granted"
    """The voter knows of no other submission and now remembers this claim."""
    ALREADY_CLAIMED = "already_claimed"
    """Another submission holds the claim; ``outcome`` says what came of it, if known."""
    CANNOT_VOUCH = "cannot_vouch"
    """The voter's memory is incomplete or full, or it does not hold the zone's seat."""


@dataclass(frozen=True, slots=True)
class SeatEpoch:
    """How often the seat of ``zone`` was taken over without the memory of its last holder."""

    zone: ZoneName
    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Ask the receiver, which holds its zone's seat for the key, to remember a claim.

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
    seat_epochs
        The newest epochs of the partition that the sender has heard of.
    """

    claim_key: str
    request_digest: str
    request_id: RequestId
    round_number: int
    zones: tuple[ZoneName, ...]
    seat_epochs: tuple[SeatEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimVote(PeerMessage):
    """A voter's answer to the ``ClaimRequest`` with the same request id and round.

    Parameters
    ----------
    epoch
        The epoch of the voter's own seat; 0 when it has none.
    holder_request_id, holder_request_digest, outcome
        Of the submission that holds the claim, when ``vote`` is ``ALREADY_CLAIMED``;
        ``outcome`` is the stored answer (bytes that only the query machine reads).
    seat_epochs
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
    seat_epochs: tuple[SeatEpoch, ...] = ()


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
class ClaimSeatOffer(PeerMessage):
    """The sender holds seats that it believes to be the receiver's: "ask me for them"."""

    offer_id: str
    partitions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClaimTableRequest(PeerMessage):
    """Ask for the claims of a partition, to rebuild a seat or to take it over from its holder.

    Parameters
    ----------
    transfer_id
        Names this request; the table carries it back.
    offer_id
        The ``ClaimSeatOffer`` that is accepted: the receiver hands its seat over and votes no
        more. ``None``: the table is asked for by another zone's new holder.
    zones, seat_epochs
        As in ``ClaimRequest``; with the sender's own new epoch when it rebuilds.
    ended_epoch
        When not 0, the table as it was when this epoch of the receiver's seat ended is asked
        for, because the list of zones has changed since.
    """

    partition: int
    transfer_id: str
    offer_id: str | None
    zones: tuple[ZoneName, ...]
    seat_epochs: tuple[SeatEpoch, ...]
    ended_epoch: int = 0


@dataclass(frozen=True, slots=True)
class ClaimTable(PeerMessage):
    """A piece of the claims of a partition, as they all were at one moment.

    Parameters
    ----------
    complete
        Whether the sender vouches for its memory.
    handed_over
        Whether the seat itself passes to the receiver.
    epoch, seat_epochs
        The epoch of the sender's seat, and the newest epochs that it has heard of.
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
    seat_epochs: tuple[SeatEpoch, ...]
    confirmed_age_seconds: float
    table_id: str
    records: tuple[ClaimRecord, ...]
    piece: int = 0
    pieces: int = 1


@value
class SendToPeer(Action):
    """Send ``message`` to a node; to oneself it is handled at once without the network."""

    to: NodeIdentity
    message: PeerMessage


@value
class PeerReceived(Event):
    """A message came from an authenticated peer."""

    sender: NodeIdentity
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLinkBroken(Event):
    """The connection to a node broke or could not be made; sent messages may be lost."""

    node_id: NodeId
    reason: str
