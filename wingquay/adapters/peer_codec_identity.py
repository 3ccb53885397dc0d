"""Protobuf form of a node's identity, which every message and every handshake bears."""

from functools import lru_cache

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer_link import NodeIdentity
from .proto import peer_pb2

IDENTITY_CACHE_SIZE = 4096
"""Identities kept in both forms: several times the nodes of the largest deployment."""


@lru_cache(maxsize=IDENTITY_CACHE_SIZE)
def identity_to_bytes(identity: NodeIdentity) -> bytes:
    """Return the serialized form of ``identity``."""
    message = peer_pb2.NodeIdentity(
        node_id=identity.node_id,
        deployment=identity.deployment,
        zone=identity.zone,
        host=identity.host,
        port=identity.port,
    )
    return message.SerializeToString(deterministic=True)


@lru_cache(maxsize=IDENTITY_CACHE_SIZE)
def identity_from_bytes(data: bytes) -> NodeIdentity:
    """Return the identity that ``data`` holds.

    Raises
    ------
    google.protobuf.message.DecodeError
        If ``data`` is not a serialized identity.
    """
    message = peer_pb2.NodeIdentity.FromString(data)
    return NodeIdentity(
        NodeId(message.node_id),
        DeploymentName(message.deployment),
        ZoneName(message.zone),
        message.host,
        message.port,
    )
