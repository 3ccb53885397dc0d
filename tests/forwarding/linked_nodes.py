"""Nodes whose link to others is open, and what tests tell them and read of them."""

from tests.forwarding.one_node import NODE_PREFIX, OneNode, replica, sharded_route, table
from wingquay.adapters.node_record import node_value
from wingquay.ports.delegation import (
    DelegatedAnswer,
    DelegatedRequest,
)
from wingquay.ports.peer_link import (
    NodeIdentity,
    NodeRecord,
    PeerLinkOpened,
    SendToPeer,
)
from wingquay.ports.store import StoredValue, WatchChanged

SHARDS = 12
OWN = NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)
OTHERS = [NodeIdentity(f"node-{number}-a", "", "a", f"10.0.1.{number}", 7) for number in (2, 3)]
FAR_NODES = [NodeIdentity(f"far-{number}-b", "", "b", f"10.0.2.{number}", 7) for number in range(9)]
OBJECTIVE_SECONDS = 0.1


def node_in_group(**route: object) -> OneNode:
    """Return a node whose link is open, with two others in its zone and two replicas a shard."""
    node = OneNode(delegate_min_shards=10)
    records = [
        replica(f"r{number}-{copy}", f"s{number}") for number in range(SHARDS) for copy in "abc"
    ]
    node.start(table(1, sharded_route(SHARDS, **route)), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS)
    return node


def join(node: OneNode, *identities: NodeIdentity) -> None:
    """Let the watch tell the keys of nodes."""
    node.store_revision += 1
    values = [
        StoredValue(NODE_PREFIX + item.host, node_value(NodeRecord(item)), node.store_revision)
        for item in identities
    ]
    watch = node.last_watch_id
    node.emit(WatchChanged(watch, tuple(values), (), node.store_revision))


def delegated(node: OneNode) -> list[tuple[NodeIdentity, DelegatedRequest]]:
    """Return the requests that the node has asked others for."""
    return [
        (action.to, action.message)
        for action in node.actions
        if isinstance(action, SendToPeer) and isinstance(action.message, DelegatedRequest)
    ]


def told(node: OneNode, kind: type) -> list[object]:
    """Return the messages of a kind that the node has sent to others."""
    messages = [action.message for action in node.actions if isinstance(action, SendToPeer)]
    return [message for message in messages if isinstance(message, kind)]


def whole_answer(message: DelegatedRequest, body: bytes = b"") -> DelegatedAnswer:
    """Return an answer with every shard that was asked for."""
    positions = tuple(range(len(message.shards)))
    return DelegatedAnswer(message.delegation_id, positions, message.shards, body)


def node_apart_from_owners(shards: int = SHARDS) -> OneNode:
    """Return a node whose shards all have their replicas in another zone, with nodes there."""
    node = OneNode(delegate_min_shards=10)
    records = [replica(f"r{number}", f"s{number}", "b") for number in range(shards)]
    node.start(table(1, sharded_route(shards)), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS, *FAR_NODES)
    return node
