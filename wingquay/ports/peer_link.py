"""The port to the link between nodes, whatever the messages on it mean."""

from dataclasses import dataclass

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..model.value import value
from .machine import Action, Event


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


@value
class NodeRecord:
    """What a node says of itself in the store.

    Parameters
    ----------
    processor
        How fast it computes, in whole cores.
    """

    identity: NodeIdentity
    processor: float = 1.0


class PeerMessage:
    """Base of every message between nodes."""

    __slots__ = ()


class MembershipMessage(PeerMessage):
    """Base of the messages that travel as datagrams."""

    __slots__ = ()


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
    """The connection to a node broke or could not be made; sent messages may be lost.

    Parameters
    ----------
    was_open
        Whether there was a connection; otherwise no message has left.
    """

    node_id: NodeId
    reason: str
    was_open: bool = True


@value
class OpenPeerLink(Action):
    """Listen for other nodes; ``PeerLinkOpened`` follows unless the address cannot be bound.

    Parameters
    ----------
    cluster_key
        The secret that all nodes share.
    """

    cluster_key: bytes


@value
class PeerLinkOpened(Event):
    """Other nodes can reach this one.

    Parameters
    ----------
    identity
        What they have to know for that.
    """

    identity: NodeIdentity
