"""The port towards other nodes: the messages between our own processes.

The adapter carries them as protobuf: membership messages as datagrams (they may be lost, doubled
or reordered), all others on one authenticated connection a pair of nodes (in order while it
lasts; a break loses what was in transit). Those about claims are in ``peer_claims.py``.
"""

from dataclasses import dataclass
from enum import Enum

from wingquay.model.answer import HeldVersions, SubResult
from wingquay.model.identifiers import (
    DeploymentName,
    NodeId,
    ReplicaId,
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
