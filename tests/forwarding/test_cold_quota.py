"""All nodes together send no more requests to a cold replica than it handles."""

from dataclasses import replace

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.choice.replica_state import ReplicaState
from wingquay.forwarding.knowledge.presence import NodeCount
from wingquay.forwarding.sending.cold_quota import ColdQuota
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.routing_table import RoutingTable
from wingquay.ports.forwarding import SendToReplica

SETTINGS = ForwardingSettings(zone="a")
OVERAGE = 1.5
SLACK = 5.0


class _Node:
    """A node that sends as many requests to a cold replica as its quota allows."""

    def __init__(self, name: str, known: list[str]) -> None:
        self.nodes = NodeCount(SETTINGS)
        for other in known:
            self.nodes.put(other)
        self.quota = ColdQuota(OVERAGE, SLACK, self.nodes, name)
        self.replica = ReplicaState(replica("r", "s", cold_seconds=60.0), 0.0)

    def send(self, per_second: float, now: float) -> int:
        sent = 0
        while self.quota.may_send(self.replica, per_second, self.nodes.get(now), now):
            self.replica.on_cold_send(now)
            sent += 1
        return sent


def names(count: int) -> list[str]:
    return [f"nodes/{number:03}" for number in range(count)]


def max_in_a_second(nodes: list[_Node], per_second: float) -> int:
    """Return the maximum number of requests of all nodes in any second."""
    sent: list[float] = []
    for tenth in range(40):
        for number, node in enumerate(nodes):
            now = 1.0 + tenth / 10 + number / 10_000
            sent += [now] * node.send(per_second, now)
    return max((sum(at - 1.0 < other <= at for other in sent) for at in set(sent)), default=0)


class SharedQuotaTest(TestCase):
    def test_nodes_that_start_together_use_but_do_not_exceed_the_limit(self) -> None:
        for count in (6, 12, 76, 300):
            for per_second in (2.0, 10.0, 100.0):
                nodes = [_Node(name, names(count)) for name in names(count)]
                max_sent = max_in_a_second(nodes, per_second)
                bound = per_second * OVERAGE + SLACK
                self.assertLessEqual(max_sent, bound, (count, per_second))
                self.assertGreaterEqual(max_sent, min(bound * 0.25, count), (count, per_second))

    def test_a_fleet_that_grew_by_half_does_not_exceed_the_limit(self) -> None:
        for count in (12, 76, 200):
            for per_second in (2.0, 10.0, 100.0):
                known, all_names = names(count), names(count * 3 // 2)
                nodes = [_Node(name, known) for name in known]
                nodes += [_Node(name, all_names) for name in all_names[count:]]
                max_sent = max_in_a_second(nodes, per_second)
                self.assertLessEqual(max_sent, per_second * OVERAGE + SLACK, (count, per_second))

    def test_a_node_that_is_not_counted_yet_takes_no_request_of_a_small_quota(self) -> None:
        stranger = _Node("nodes/new", names(300))
        self.assertEqual(0, stranger.send(2.0, 1.0))


class ChoiceTest(TestCase):
    def node(self, per_second: float, *cold: str) -> OneNode:
        node = OneNode(cold_overage=1.0, cold_slack=0.0, min_nodes=1, max_nodes=1)
        route = single_route()
        made = table(1, route)
        services = {
            name: replace(service, cold_requests_per_second=per_second)
            for name, service in made.services.items()
        }
        configuration = RoutingTable(1, (route,), services, made.limits)
        records = [
            replica(name, "s", cold_seconds=30.0 if name in cold else 0.0) for name in ("r0", "r1")
        ]
        node.start(configuration, *records)
        return node

    def sent_to(self, node: OneNode, replica_id: str, requests: int = 40) -> int:
        """Return how many of the requests of one second are sent to a replica."""
        before = len(node.all_sends)
        for _ in range(requests):
            node.request()
            while node.sends:
                node.answer(node.sends[0])
            node.advance(1.0 / requests)
        sends: list[SendToReplica] = node.all_sends[before:]
        return sum(send.replica.replica_id == replica_id for send in sends)

    def test_requests_beyond_the_quota_go_to_another_replica(self) -> None:
        node = self.node(10.0, "r1")
        node.machine._directory.get("r0").on_shed(SETTINGS, node.now)  # type: ignore[union-attr]
        self.assertLessEqual(self.sent_to(node, "r1"), 6)
        self.assertGreaterEqual(self.sent_to(node, "r0"), 34)

    def test_the_quota_holds_if_all_replicas_are_cold(self) -> None:
        node = self.node(10.0, "r0", "r1")
        for replica_id in ("r0", "r1"):
            self.assertLessEqual(self.sent_to(node, replica_id), 7)

    def test_a_service_without_a_cold_limit_is_not_limited(self) -> None:
        node = self.node(0.0, "r0", "r1")
        total = sum(self.sent_to(node, replica_id) for replica_id in ("r0", "r1"))
        self.assertGreaterEqual(total, 20)

    def test_the_quota_applies_to_a_replica_that_is_cold_again(self) -> None:
        node = self.node(10.0)
        node.change(replica("r1", "s", cold_seconds=20.0))
        self.assertLessEqual(self.sent_to(node, "r1"), 6)
