"""Events and actions for the link between nodes, independent of the messages sent over it."""

from dataclasses import dataclass

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..model.value import value
from .machine import Action, Event


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of a node and the address where it listens for peers.

    ``host`` is an IP address; ``port`` is used for TCP and UDP. A membership message sent to an
    identity with an empty ``node_id`` reaches whichever node listens at the address. Nodes use this
    to join.
    """

    node_id: NodeId
    deployment: DeploymentName
    zone: ZoneName
    host: str
    port: int


@value
class NodeRecord:
    """A node's own record in the store.

    Parameters
    ----------
    processor
        Compute capacity, in whole cores.
    """

    identity: NodeIdentity
    processor: float = 1.0


class PeerMessage:
    """Base of every message between nodes."""

    __slots__ = ()


class MembershipMessage(PeerMessage):
    """Base of the messages sent as datagrams."""

    __slots__ = ()


@value
class SendToPeer(Action):
    """Send ``message`` to a node; a message to the node itself is handled at once."""

    to: NodeIdentity
    message: PeerMessage


@value
class PeerReceived(Event):
    """A message arrived from an authenticated peer."""

    sender: NodeIdentity
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLinkBroken(Event):
    """The connection to a node broke or could not be opened; sent messages may be lost.

    Parameters
    ----------
    was_open
        Whether there was a connection; otherwise no message was sent.
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
        Secret shared by all nodes.
    """

    cluster_key: bytes


@value
class PeerLinkOpened(Event):
    """Confirms that this node listens for other nodes.

    Parameters
    ----------
    identity
        The node's identity and address, to be published to other nodes.
    """

    identity: NodeIdentity
