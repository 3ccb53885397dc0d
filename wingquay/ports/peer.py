"""The port towards other nodes: the messages between our own processes.

The adapter carries them as protobuf: membership messages as datagrams (they may be lost, doubled
or reordered), all others on one authenticated connection a pair of nodes (in order while it
lasts; a break loses what was in transit). Those about claims are in ``peer_claims.py``.
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
