"""The value of a node's key in the store: where other nodes reach it, as JSON."""

import orjson

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer_link import NodeIdentity


def node_value(identity: NodeIdentity) -> bytes:
    """Return the value that tells an identity."""
    return orjson.dumps(
        {
            "node_id": identity.node_id,
            "deployment": identity.deployment,
            "zone": identity.zone,
            "host": identity.host,
            "port": identity.port,
        }
    )


def parse_node(value: bytes) -> NodeIdentity | None:
    """Return the identity that a value tells; ``None``: the node cannot be reached."""
    try:
        document = orjson.loads(value)
        return NodeIdentity(
            NodeId(str(document["node_id"])),
            DeploymentName(str(document["deployment"])),
            ZoneName(str(document["zone"])),
            str(document["host"]),
            int(document["port"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
