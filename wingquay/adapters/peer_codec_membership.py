"""Protobuf form of the membership messages."""

from ..model.answer import HeldVersions
from ..model.identifiers import (
    NodeId,
    ReplicaId,
    Revision,
    SnapshotVersion,
)
from ..ports.peer import (
    Acknowledgement,
    Gossip,
    NodeList,
    NodeListRequest,
    NodeState,
    NodeUpdate,
    Ping,
    PingRequest,
    ReplicaState,
    ReplicaUpdate,
)
from .peer_codec_error import member_of
from .peer_codec_identity import identity_from_bytes, identity_to_bytes
from .proto import peer_pb2

_NODE_STATE_NUMBERS = {
    NodeState.ALIVE: peer_pb2.NODE_STATE_ALIVE,
    NodeState.SUSPECT: peer_pb2.NODE_STATE_SUSPECT,
    NodeState.LEAVING: peer_pb2.NODE_STATE_LEAVING,
    NodeState.DEAD: peer_pb2.NODE_STATE_DEAD,
}
_NODE_STATES = {int(number): state for state, number in _NODE_STATE_NUMBERS.items()}

_REPLICA_STATE_NUMBERS = {
    ReplicaState.SERVING: peer_pb2.REPLICA_STATE_SERVING,
    ReplicaState.LEAVING: peer_pb2.REPLICA_STATE_LEAVING,
    ReplicaState.GONE: peer_pb2.REPLICA_STATE_GONE,
}
_REPLICA_STATES = {int(number): state for state, number in _REPLICA_STATE_NUMBERS.items()}


def put_gossip(target: peer_pb2.Gossip, gossip: Gossip) -> None:
    """Write ``gossip`` into ``target``."""
    target.configuration_revision = gossip.configuration_revision
    for node_update in gossip.node_updates:
        target.node_updates.add(
            identity=identity_to_bytes(node_update.identity),
            state=_NODE_STATE_NUMBERS[node_update.state],
            incarnation=node_update.incarnation,
            suspected_by=node_update.suspected_by,
        )
    for replica_update in gossip.replica_updates:
        _put_replica_update(target.replica_updates.add(), replica_update)


def _put_replica_update(target: peer_pb2.ReplicaUpdate, update: ReplicaUpdate) -> None:
    target.replica_id = update.replica_id
    target.state = _REPLICA_STATE_NUMBERS[update.state]
    target.version = update.version
    if update.held is not None:
        target.held_oldest = update.held.oldest
        target.held_newest = update.held.newest


def gossip_from(message: peer_pb2.Gossip) -> Gossip:
    """Return the gossip that ``message`` holds."""
    return Gossip(
        configuration_revision=Revision(message.configuration_revision),
        node_updates=tuple(_node_update_from(update) for update in message.node_updates),
        replica_updates=tuple(_replica_update_from(update) for update in message.replica_updates),
    )


def _node_update_from(message: peer_pb2.NodeUpdate) -> NodeUpdate:
    return NodeUpdate(
        identity_from_bytes(message.identity),
        member_of(_NODE_STATES, message.state),
        message.incarnation,
        NodeId(message.suspected_by),
    )


def _replica_update_from(message: peer_pb2.ReplicaUpdate) -> ReplicaUpdate:
    replica_id = ReplicaId(message.replica_id)
    held = None
    if message.HasField("held_oldest") and message.HasField("held_newest"):
        held = HeldVersions(
            replica_id,
            SnapshotVersion(message.held_oldest),
            SnapshotVersion(message.held_newest),
        )
    state = member_of(_REPLICA_STATES, message.state)
    return ReplicaUpdate(replica_id, state, message.version, held)


def put_ping(target: peer_pb2.Ping, message: Ping) -> None:
    """Write a probe."""
    target.sequence = message.sequence
    put_gossip(target.gossip, message.gossip)


def ping_from(message: peer_pb2.Ping) -> Ping:
    """Read a probe."""
    return Ping(message.sequence, gossip_from(message.gossip))


def put_acknowledgement(target: peer_pb2.Acknowledgement, message: Acknowledgement) -> None:
    """Write the answer to a probe."""
    target.sequence = message.sequence
    target.subject = message.subject
    put_gossip(target.gossip, message.gossip)


def acknowledgement_from(message: peer_pb2.Acknowledgement) -> Acknowledgement:
    """Read the answer to a probe."""
    subject = NodeId(message.subject)
    return Acknowledgement(message.sequence, subject, gossip_from(message.gossip))


def put_ping_request(target: peer_pb2.PingRequest, message: PingRequest) -> None:
    """Write an indirect probe."""
    target.sequence = message.sequence
    target.subject = identity_to_bytes(message.subject)
    put_gossip(target.gossip, message.gossip)


def ping_request_from(message: peer_pb2.PingRequest) -> PingRequest:
    """Read an indirect probe."""
    subject = identity_from_bytes(message.subject)
    return PingRequest(message.sequence, subject, gossip_from(message.gossip))


def put_node_list_request(target: peer_pb2.NodeListRequest, message: NodeListRequest) -> None:
    """Write a request for the whole membership, which has no fields."""
    target.SetInParent()


def node_list_request_from(message: peer_pb2.NodeListRequest) -> NodeListRequest:
    """Read a request for the whole membership."""
    return NodeListRequest()


def put_node_list(target: peer_pb2.NodeList, message: NodeList) -> None:
    """Write the whole membership."""
    put_gossip(target.gossip, message.gossip)


def node_list_from(message: peer_pb2.NodeList) -> NodeList:
    """Read the whole membership."""
    return NodeList(gossip_from(message.gossip))
