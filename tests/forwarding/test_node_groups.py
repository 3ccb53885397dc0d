"""Who asks which shard within a group, and how the link to other nodes comes to be open."""

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


def groups_of(own: str, names: list[str], fan_out: int = 100) -> NodeGroups:
    groups = NodeGroups(SETTINGS, own)
    for name in names:
        groups.put(name, NodeRecord(identity(name)))
    groups.set_max_shard_count(fan_out)
    return groups


class ReachableTest(TestCase):
    def reachable(self, groups: NodeGroups, now: float) -> list[str]:
        return [node.name for nodes in groups.usable_by_zone(now).values() for node in nodes]

    def test_nodes_without_an_address_are_left_out(self) -> None:
        groups = groups_of("n00", NAMES[:4])
        groups.put("far", NodeRecord(identity("far", "b")))
        groups.put("n03", None)
        by_zone = groups.usable_by_zone(0.0)
        found = {zone: [node.name for node in nodes] for zone, nodes in by_zone.items()}
        self.assertEqual({"a": ["n00", "n01", "n02"], "b": ["far"]}, found)
        self.assertEqual((4, 2), (groups.size, groups.zones))

    def test_a_node_that_failed_is_passed_over_longer_each_time_and_then_tried_again(self) -> None:
        groups = groups_of("n00", NAMES[:5])

        def is_there(now: float) -> bool:
            return "n01" in self.reachable(groups, now)

        groups.suspect("n01-1", 10.0)
        self.assertEqual([False, False, True], [is_there(now) for now in (10.0, 10.9, 11.0)])
        groups.suspect("n01-1", 11.0)
        self.assertEqual([False, True], [is_there(now) for now in (12.9, 13.0)])
        groups.clear_suspicion("n01-1")
        groups.suspect("n01-1", 13.0)
        self.assertEqual([False, True], [is_there(now) for now in (13.9, 14.0)])

    def test_the_version_changes_whenever_other_nodes_can_be_asked(self) -> None:
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

    def test_a_new_start_of_a_node_is_trusted_at_once(self) -> None:
        groups = groups_of("n00", NAMES[:5])
        groups.suspect("n01-1", 10.0)
        groups.put("n01", NodeRecord(NodeIdentity("n01-2", "", "a", "n01", 7)))
        self.assertIn("n01", self.reachable(groups, 10.0))


class RecordFormTest(TestCase):
    def test_a_record_is_read_as_it_was_written(self) -> None:
        record = NodeRecord(identity("n"), 2.15)
        self.assertEqual(record, parse_node(node_value(record)))

    def test_anything_else_is_a_node_that_cannot_be_reached(self) -> None:
        for value in (b"1", b"", b"{}", b'{"node_id": 1}', b"\xff"):
            self.assertIsNone(parse_node(value))


class LinkTest(TestCase):
    """The cluster's key, the link and the node's own key, one after the other."""

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

    def test_the_link_is_opened_for_narrow_routes_near_their_replicas_as_well(self) -> None:
        # Nodes tell each other under which requests replicas end, whatever their routes are.
        for shards in (1, 3):
            node = self.started(shards, StoredValue(CLUSTER_KEY, b"known", 5))
            node.advance(0.4)
            self.assertEqual([], self.opened(node))
            node.advance(0.5)
            self.assertEqual(1, len(self.opened(node)))

    def test_the_link_is_opened_sooner_where_requests_cannot_do_without(self) -> None:
        known = StoredValue(CLUSTER_KEY, b"known", 5)
        wide = self.started(4, known)
        wide.advance(0.2)
        self.assertEqual(1, len(self.opened(wide)))
        far = OneNode()
        records = [replica(f"r{number}", f"s{number}", "b") for number in range(6)]
        far.start(table(1, sharded_route(6)), *records, values=(known,))
        far.advance(0.4)
        self.assertEqual([], self.opened(far))
        far.advance(0.5)
        self.assertEqual(1, len(self.opened(far)))

    def test_a_configuration_that_comes_late_is_waited_for(self) -> None:
        node = OneNode(delegate_min_shards=4)
        node.start(None, values=(StoredValue(CLUSTER_KEY, b"known", 5),))
        node.advance(1.0)
        records = [replica(f"r{number}", f"s{number}") for number in range(4)]
        node.change(*records, configuration=table(1, sharded_route(4)))
        node.advance(0.2)
        self.assertEqual(1, len(self.opened(node)))

    def test_a_node_without_a_configuration_is_counted_all_the_same(self) -> None:
        node = OneNode()
        node.start(None)
        node.advance(4.0)
        self.assertIsInstance(self.operation(node), GrantLease)

    def test_the_first_node_writes_the_cluster_key(self) -> None:
        node = self.started(4)
        node.advance(2.5)
        operation = self.operation(node)
        assert isinstance(operation, CompareAndSwap)
        self.assertEqual((CLUSTER_KEY, 0), (operation.key, operation.expected_modified_at))
        self.answer(node, SwapResult(True, 9))
        self.assertEqual([OpenPeerLink(operation.value or b"")], self.opened(node))

    def test_later_nodes_take_the_key_that_stands_there(self) -> None:
        node = self.started(4)
        node.advance(2.5)
        current = StoredValue(CLUSTER_KEY, b"theirs", 5)
        self.answer(node, SwapResult(False, 9, current))
        self.assertEqual([OpenPeerLink(b"theirs")], self.opened(node))
        listed = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        listed.advance(2.5)
        self.assertEqual([OpenPeerLink(b"known")], self.opened(listed))

    def test_the_nodes_key_tells_where_it_listens(self) -> None:
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

    def test_keys_of_nodes_that_start_together_are_looked_for_soon(self) -> None:
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        usual = node.last(StartWatch).poll_interval_seconds
        node.advance(0.8)
        self.assertEqual(1, len(self.opened(node)))
        node.emit(PeerLinkOpened(NodeIdentity("node-1-a", "", "a", "10.0.1.1", 7)))
        node.advance(0.5)
        idle = node.last(StartWatch).poll_interval_seconds
        node.request("/all/x")
        node.advance(0.5)
        asked = node.last(StartWatch).poll_interval_seconds
        self.assertLess(asked, min(idle, usual))
        node.advance(3.0)
        node.change()
        self.assertEqual(usual, node.last(StartWatch).poll_interval_seconds)

    def test_nodes_that_know_each_other_by_their_last_lives_do_not_look_sooner(self) -> None:
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

    def test_a_link_that_does_not_open_does_not_keep_the_node_from_being_counted(self) -> None:
        node = self.started(4, StoredValue(CLUSTER_KEY, b"known", 5))
        node.advance(6.0)
        self.assertIsInstance(self.operation(node), GrantLease)
