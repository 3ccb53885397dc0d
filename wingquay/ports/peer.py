"""Messages between nodes: membership, gossip, sub-requests and configuration.

The adapter encodes them as protobuf. Membership messages travel as datagrams, which may be lost,
duplicated or reordered. All others share one authenticated connection per pair of nodes: they
arrive in order, and a broken connection loses those in transit. For messages about claims, see
``peer_claims.py``.
"""

from dataclasses import dataclass
from enum import Enum

from ..model.answer import HeldVersions, SubResult
from ..model.identifiers import (
    NodeId,
    ReplicaId,
    Revision,
    SubRequestId,
)
from ..model.request import SubRequest
from ..model.value import value
from .peer_link import MembershipMessage as MembershipMessage
from .peer_link import NodeIdentity as NodeIdentity
from .peer_link import PeerLinkBroken as PeerLinkBroken
from .peer_link import PeerMessage as PeerMessage
from .peer_link import PeerReceived as PeerReceived
from .peer_link import SendToPeer as SendToPeer


class NodeState(Enum):
    """State of a node in the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """State of a node, as spread by gossip; a higher incarnation overrides a lower one.

    Parameters
    ----------
    incarnation
        SWIM's counter, which the node raises to refute a suspicion; not a count of restarts.
    suspected_by
        The node that raised the suspicion, so that independent suspicions can be counted; empty
        unless ``state`` is ``SUSPECT``.
    """

    identity: NodeIdentity
    state: NodeState
    incarnation: int
    suspected_by: NodeId = NodeId("")


class ReplicaState(Enum):
    """State of a replica, as spread by gossip."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Same state of a replica as ``ReplicaRecord.is_draining``."""
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ReplicaUpdate:
    """State of a replica, spread by its owners; a higher ``version`` overrides a lower one."""

    replica_id: ReplicaId
    state: ReplicaState
    version: int
    held: HeldVersions | None = None


@dataclass(frozen=True, slots=True)
class Gossip:
    """State updates that are piggybacked on membership messages."""

    configuration_revision: Revision
    node_updates: tuple[NodeUpdate, ...] = ()
    replica_updates: tuple[ReplicaUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping(MembershipMessage):
    """Direct probe of a node; ``sequence`` 0 carries only gossip and gets no reply.

    Source: SWIM (Das, Gupta, Motivala, 2002), section 3.
    """

    sequence: int
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class Acknowledgement(MembershipMessage):
    """Reply to a ``Ping``, or to a ``PingRequest`` on behalf of ``subject``.

    A reply to a ``PingRequest`` whose ``subject`` is the replying node itself is a negative one:
    the probed node did not answer the replying node.
    """

    sequence: int
    subject: NodeId
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class PingRequest(MembershipMessage):
    """Indirect probe: requests that the receiver probe ``subject`` for the sender."""

    sequence: int
    subject: NodeIdentity
    gossip: Gossip


@dataclass(frozen=True, slots=True)
class NodeListRequest(PeerMessage):
    """Request the complete membership and the configuration revision, when joining."""


@dataclass(frozen=True, slots=True)
class NodeList(PeerMessage):
    """The complete membership in the sender's view."""

    gossip: Gossip


@value
class SubRequestBatch(PeerMessage):
    """Sub-requests for shards that the receiver owns."""

    sub_requests: tuple[SubRequest, ...]


@value
class SubResultBatch(PeerMessage):
    """Results of sub-requests that the receiver sent."""

    results: tuple[SubResult, ...]


@dataclass(frozen=True, slots=True)
class CancelSubRequests(PeerMessage):
    """Results of these sub-requests are no longer needed; the receiver may drop them."""

    sub_request_ids: tuple[SubRequestId, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationFetch(PeerMessage):
    """Request the configuration if the receiver has one newer than ``known_revision``."""

    known_revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigurationBody(PeerMessage):
    """A confirmed configuration; ``body`` is its JSON text."""

    revision: Revision
    body: bytes
