"""The value of a node's key in the store: where other nodes reach it, as JSON."""

import orjson

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer_link import NodeIdentity, NodeRecord


def node_value(record: NodeRecord) -> bytes:
    """Return the value that tells a node's record."""
    identity = record.identity
    return orjson.dumps(
        {
            "node_id": identity.node_id,
            "deployment": identity.deployment,
            "zone": identity.zone,
            "host": identity.host,
            "port": identity.port,
            "processor": record.processor,
        }
    )


def parse_node(value: bytes) -> NodeRecord | None:
    """Return the record that a value tells; ``None``: the node cannot be reached."""
    try:
        document = orjson.loads(value)
        identity = NodeIdentity(
            NodeId(str(document["node_id"])),
            DeploymentName(str(document["deployment"])),
            ZoneName(str(document["zone"])),
            str(document["host"]),
            int(document["port"]),
        )
        return NodeRecord(identity, float(document["processor"]))
    except (ValueError, KeyError, TypeError):
        return None
