"""Usable nodes, node entries, and opening of the link to other nodes."""

from testtools import TestCase

from tests.forwarding.one_node import (
    CLUSTER_KEY,
    NODE_PREFIX,
    OneNode,
    replica,
    sharded_route,
    table,
)
from wingquay.adapters.node_record import node_value, parse_node
from wingquay.forwarding.knowledge.node_groups import NodeGroups
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.ports.machine import Action
from wingquay.ports.peer_link import NodeIdentity, NodeRecord, OpenPeerLink, PeerLinkOpened
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    LeaseState,
    StartWatch,
    StoredValue,
    StoreRequest,
    StoreResponse,
    SwapResult,
)

SETTINGS = ForwardingSettings(zone="a")
NAMES = [f"n{number:02}" for number in range(20)]


def identity(name: str, zone: str = "a") -> NodeIdentity:
    return NodeIdentity(f"{name}-1", "", zone, name, 7)


def groups_of(own: str, names: list[str], max_shard_count: int = 100) -> NodeGroups:
    groups = NodeGroups(SETTINGS, own)
    for name in names:
        groups.put(name, NodeRecord(identity(name)))
    groups.set_max_shard_count(max_shard_count)
    return groups


class UsableNodesTest(TestCase):
    def usable_names(self, groups: NodeGroups, now: float) -> list[str]:
        return [node.name for nodes in groups.usable_by_zone(now).values() for node in nodes]

    def test_nodes_without_an_address_are_left_out(self) -> None:
        groups = groups_of("n00", NAMES[:4])
        groups.put("other", NodeRecord(identity("other", "b")))
        groups.put("n03", None)
        by_zone = groups.usable_by_zone(0.0)
        found = {zone: [node.name for node in nodes] for zone, nodes in by_zone.items()}
        self.assertEqual({"a": ["n00", "n01", "n02"], "b": ["other"]}, found)
        self.assertEqual((4, 2), (groups.node_count, groups.zone_count))

    def test_suspicion_lasts_longer_with_each_failure(self) -> None:
        groups = groups_of("n00", NAMES[:5])

        def is_usable(now: float) -> bool:
            return "n01" in self.usable_names(groups, now)

        groups.suspect("n01-1", 10.0)
        self.assertEqual([False, False, True], [is_usable(now) for now in (10.0, 10.9, 11.0)])
        groups.suspect("n01-1", 11.0)
        self.assertEqual([False, True], [is_usable(now) for now in (12.9, 13.0)])
        groups.clear_suspicion("n01-1")
        groups.suspect("n01-1", 13.0)
        self.assertEqual([False, True], [is_usable(now) for now in (13.9, 14.0)])

    def test_version_changes_with_the_set_of_usable_nodes(self) -> None:
        groups = groups_of("n00", NAMES[:3])
        seen = [groups.version(10.0), groups.version(10.0)]
        groups.suspect("n01-1", 10.0)
        groups.suspect("n02-1", 10.5)
        seen += [groups.version(now) for now in (10.9, 11.0, 11.4, 11.5, 99.0)]
        groups.remove("n02")
        seen.append(groups.version(99.0))
        first = seen[0]
        self.assertEqual(first, seen[1])
        steps = [later - first for later in seen[2:]]
        self.assertEqual([2, 3, 3, 4, 4, 5], steps)

    def test_new_incarnation_of_a_node_is_not_suspect(self) -> None:
        groups = groups_of("n00", NAMES[:5])
        groups.suspect("n01-1", 10.0)
        groups.put("n01", NodeRecord(NodeIdentity("n01-2", "", "a", "n01", 7)))
        self.assertIn("n01", self.usable_names(groups, 10.0))


class NodeRecordTest(TestCase):
    def test_record_round_trip(self) -> None:
        record = NodeRecord(identity("n"), 2.15)
        self.assertEqual(record, parse_node(node_value(record)))

    def test_invalid_record_means_no_address(self) -> None:
        for value in (b"1", b"", b"{}", b'{"node_id": 1}', b"\xff"):
            self.assertIsNone(parse_node(value))


class LinkTest(TestCase):
    """Order of writing the cluster key, opening the link and writing the node entry."""

    def started(self, route_shards: int, *values: StoredValue) -> OneNode:
        node = OneNode(delegate_min_shards=4)
        records = [replica(f"r{number}", f"s{number}") for number in range(route_shards)]
        node.start(table(1, sharded_route(route_shards)), *records, values=values)
        return node

    def operation(self, node: OneNode) -> object:
        return node.last(StoreRequest).operation

    def answer(self, node: OneNode, result: object) -> None:
        request = node.last(StoreRequest)
        node.emit(StoreResponse(request.operation_id, result))  # type: ignore[arg-type]

    def opened(self, node: OneNode) -> list[Action]:
        return [action for action in node.actions if isinstance(action, OpenPeerLink)]

    def test_link_is_opened_for_narrow_routes_as_well(self) -> None:
        # Nodes use the link to report requests that crash replicas, whatever their routes are.
        for shards in (1, 3):
            node = self.started(shards, StoredValue(CLUSTER_KEY, b"known", 5))
            node.advance(0.4)
            self.assertEqual([], self.opened(node))
            node.advance(0.5)
            self.assertEqual(1, len(self.opened(node)))

    def test_link_is_opened_sooner_if_requests_need_it(self) -> None:
        known = StoredValue(CLUSTER_KEY, b"known", 5)
        wide = self.started(4, known)
        wide.advance(0.2)
        self.assertEqual(1, len(self.opened(wide)))
        remote = OneNode()
        records = [replica(f"r{number}", f"s{number}", "b") for number in range(6)]
        remote.start(table(1, sharded_route(6)), *records, values=(known,))
        remote.advance(0.4)
        self.assertEqual([], self.opened(remote))
        remote.advance(0.5)
        self.assertEqual(1, len(self.opened(remote)))

    def test_node_waits_for_a_late_configuration(self) -> None:
        node = OneNode(delegate_min_shards=4)
        node.start(None, values=(StoredValue(CLUSTER_KEY, b"known", 5),))
        node.advance(1.0)
        records = [replica(f"r{number}", f"s{number}") for number in range(4)]
        node.change(*records, configuration=table(1, sharded_route(4)))
        node.advance(0.2)
        self.assertEqual(1, len(self.opened(node)))

    def test_node_without_configuration_writes_its_entry(self) -> None:
        node = OneNode()
        node.start(None)
        node.advance(4.0)
        self.assertIsInstance(self.operation(node), GrantLease)

    def test_first_node_writes_the_cluster_key(self) -> None:
        node = self.started(4)
        node.advance(2.5)
        operation = self.operation(node)
        assert isinstance(operation, CompareAndSwap)
        self.assertEqual((CLUSTER_KEY, 0), (operation.key, operation.expected_modified_at))
        self.answer(node, SwapResult(True, 9))
        self.assertEqual([OpenPeerLink(operation.value or b"")], self.opened(node))

    def test_later_nodes_use_the_stored_cluster_key(self) -> None:
        node = self.started(4)
        node.advance(2.5)
        current = StoredValue(CLUSTER_KEY, b"theirs", 5)
        self.answer(node, SwapResult(False, 9, current))
        self.assertEqual([OpenPeerLink(b"theirs")], self.opened(node))
        listed = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        listed.advance(2.5)
        self.assertEqual([OpenPeerLink(b"known")], self.opened(listed))

    def test_node_entry_contains_its_address(self) -> None:
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        node.advance(2.5)
        own = NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)
        node.emit(PeerLinkOpened(own))
        node.advance(0.5)
        self.answer(node, LeaseState(7, 36.0))
        node.advance(0.1)
        operation = self.operation(node)
        assert isinstance(operation, CompareAndSwap)
        self.assertEqual(node_value(NodeRecord(own)), operation.value)

    def test_store_is_polled_more_often_while_nodes_join(self) -> None:
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        usual = node.last(StartWatch).poll_interval_seconds
        node.advance(0.8)
        self.assertEqual(1, len(self.opened(node)))
        node.emit(PeerLinkOpened(NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)))
        node.advance(0.5)
        idle = node.last(StartWatch).poll_interval_seconds
        node.request("/all/x")
        node.advance(0.5)
        busy = node.last(StartWatch).poll_interval_seconds
        self.assertLess(busy, min(idle, usual))
        node.advance(3.0)
        node.change()
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)

    def test_polls_are_not_more_frequent_if_node_entries_exist_already(self) -> None:
        others = [
            StoredValue(
                f"{NODE_PREFIX}n{number}",
                node_value(NodeRecord(NodeIdentity(f"n{number}", "", "a", "10.0.1.9", number))),
                5,
            )
            for number in range(5)
        ]
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5), *others)
        usual = node.last(StartWatch).poll_interval_seconds
        node.advance(0.8)
        node.emit(PeerLinkOpened(NodeIdentity("node-1", "", "a", "10.0.1.1", 7)))
        node.request("/all/x")
        node.advance(1.0)
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)

    def test_node_entry_is_written_if_the_link_does_not_open(self) -> None:
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        node.advance(6.0)
        self.assertIsInstance(self.operation(node), GrantLease)
