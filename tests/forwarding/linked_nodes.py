"""Nodes with an open link to other nodes, and helpers to read their messages."""

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
REMOTE_NODES = [
    NodeIdentity(f"far-{number}-b", "", "b", f"10.0.2.{number}", 7) for number in range(9)
]
OBJECTIVE_SECONDS = 0.1


def node_in_group(**route: object) -> OneNode:
    """Return a node with an open link, two others in its zone and three replicas per shard."""
    node = OneNode(delegate_min_shards=10)
    records = [
        replica(f"r{number}-{copy}", f"s{number}") for number in range(SHARDS) for copy in "abc"
    ]
    node.start(table(1, sharded_route(SHARDS, **route)), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS)
    return node


def join(node: OneNode, *identities: NodeIdentity) -> None:
    """Add nodes to the group: report their keys through the watch."""
    node.store_revision += 1
    values = [
        StoredValue(NODE_PREFIX + item.host, node_value(NodeRecord(item)), node.store_revision)
        for item in identities
    ]
    watch = node.last_watch_id
    node.emit(WatchChanged(watch, tuple(values), (), node.store_revision))


def delegated(node: OneNode) -> list[tuple[NodeIdentity, DelegatedRequest]]:
    """Return the requests that the node has delegated to others."""
    return [
        (action.to, action.message)
        for action in node.actions
        if isinstance(action, SendToPeer) and isinstance(action.message, DelegatedRequest)
    ]


def sent_messages(node: OneNode, kind: type) -> list[object]:
    """Return the messages of a kind that the node has sent to others."""
    messages = [action.message for action in node.actions if isinstance(action, SendToPeer)]
    return [message for message in messages if isinstance(message, kind)]


def whole_answer(message: DelegatedRequest, body: bytes = b"") -> DelegatedAnswer:
    """Return an answer with every delegated shard."""
    positions = tuple(range(len(message.shards)))
    return DelegatedAnswer(message.delegation_id, positions, message.shards, body)


def node_without_local_replicas(shards: int = SHARDS) -> OneNode:
    """Return a node whose shards have all replicas in another zone, which has nodes."""
    node = OneNode(delegate_min_shards=10)
    records = [replica(f"r{number}", f"s{number}", "b") for number in range(shards)]
    node.start(table(1, sharded_route(shards)), *records)
    node.emit(PeerLinkOpened(OWN))
    join(node, *OTHERS, *REMOTE_NODES)
    return node
