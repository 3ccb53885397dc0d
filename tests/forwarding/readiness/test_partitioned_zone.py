"""A partitioned zone leaves service as a whole within the limit, and returns afterwards."""

from testtools import TestCase

from tests.forwarding.one_node import sharded_route, single_route, table
from tests.forwarding.readiness.zone_fleet import (
    STORE,
    FleetNode,
    PartitionFailure,
    ZoneFleet,
    partition_zone,
    spread_replicas,
)
from wingquay.ports.forwarding import OpenConnection, ReplyFailure, ReplyMerged
from wingquay.ports.peer_link import PeerLinkBroken, SendToPeer
from wingquay.ports.reach_news import ReachabilityReport

ZONES = ("a", "b", "c", "d")
SHARDS = 12
NODES = 3
PARTITION_SECONDS = 6.0
LEAVE_SECONDS = 1.0
RETURN_SECONDS = 1.0


def wide_fleet(nodes: int = NODES, zones: tuple[str, ...] = ZONES, **settings: object) -> ZoneFleet:
    """Return a fleet with replicas of each shard in all zones but one."""
    route = sharded_route(SHARDS, min_share=0.85)
    records = spread_replicas(route.shards, zones, max(1, len(zones) - 1))
    fleet = ZoneFleet(zones, nodes, table(1, route), records, **settings)
    fleet.start()
    fleet.advance(1.0)
    return fleet


def send_wide_requests(
    fleet: ZoneFleet, seconds: float, nodes: list[FleetNode] | None = None
) -> None:
    """Send five wide requests per second to each node, or to some nodes."""
    for _ in range(round(seconds * 5)):
        for node in nodes if nodes is not None else fleet.nodes:
            fleet.request(node, "/all/x")
        fleet.advance(0.2)


class PartitionedZoneTest(TestCase):
    def test_all_nodes_of_a_partitioned_zone_leave_within_the_limit(self) -> None:
        for kind in PartitionFailure:
            for zone in ("b", "d"):
                with self.subTest(kind=kind, zone=zone):
                    fleet = wide_fleet()
                    send_wide_requests(fleet, 1.0)
                    fleet.partition_failure = kind
                    fleet.is_lost = partition_zone(fleet, zone)
                    send_wide_requests(fleet, LEAVE_SECONDS)
                    self.assertEqual(0, fleet.ready(zone))
                    for other in set(ZONES) - {zone}:
                        self.assertEqual(NODES, fleet.ready(other))

    def test_zone_leaves_if_only_its_outgoing_packets_are_lost(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        both = partition_zone(fleet, "b")
        fleet.is_lost = lambda sender, receiver: (
            both(sender, receiver) and fleet.zone_of.get(sender) == "b"
        )
        send_wide_requests(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_evacuated_zone_leaves_when_partitioned(self) -> None:
        fleet = wide_fleet()
        fleet.evacuate("b")
        send_wide_requests(fleet, 2.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_flapping_partition_causes_few_departures(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        partition = partition_zone(fleet, "b")
        for step in range(20):
            fleet.is_lost = partition if step % 2 == 0 else lambda _sender, _receiver: False
            send_wide_requests(fleet, 0.6)
        for node in fleet.nodes_in("b"):
            self.assertLessEqual(len(node.logs("node_left_service")), 3)

    def test_long_partition_is_interrupted_by_trials(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 30.0, fleet.nodes_in("b"))
        times = [at for at, _ in fleet.nodes_in("b")[0].changes[1:]]
        gaps = [round(later - at) for at, later in zip(times, times[1:], strict=False)]
        self.assertEqual([10, 2, 10, 2], gaps[:4])

    def test_nodes_without_requests_leave_as_well(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, LEAVE_SECONDS, fleet.nodes_in("b")[:1])
        self.assertEqual(0, fleet.ready("b"))

    def test_zone_leaves_even_if_it_still_reaches_the_store(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b", with_store=True)
        send_wide_requests(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_first_zone_leaves_once_its_store_polls_fail(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "a")
        send_wide_requests(fleet, 4.5)
        self.assertEqual([0, NODES, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_zone_returns_soon_after_the_partition(self) -> None:
        for kind in PartitionFailure:
            with self.subTest(kind=kind):
                fleet = wide_fleet()
                send_wide_requests(fleet, 1.0)
                fleet.partition_failure = kind
                fleet.is_lost = partition_zone(fleet, "b")
                send_wide_requests(fleet, PARTITION_SECONDS)
                self.assertEqual(0, fleet.ready("b"))
                fleet.is_lost = lambda _sender, _receiver: False
                fleet.advance(RETURN_SECONDS)
                self.assertEqual(NODES, fleet.ready("b"))
                send_wide_requests(fleet, 1.0)
                node, number = fleet.request(fleet.nodes_in("b")[0], "/all/x")
                fleet.advance(0.5)
                self.assertIsInstance(node.replies[number], ReplyMerged)

    def test_connections_close_after_the_platform_reroutes_callers(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 1.0)
        node = fleet.nodes_in("b")[0]
        left_at = node.changes[-1][0]
        self.assertFalse(node.answers_close)
        send_wide_requests(fleet, left_at + 1.4 - fleet.now)
        self.assertTrue(node.answers_close)
        self.assertEqual([], node.idle_closed_at)
        send_wide_requests(fleet, 1.5)
        self.assertEqual(1, len(node.idle_closed_at))
        self.assertTrue(2.0 <= node.idle_closed_at[0] - left_at <= 2.6)
        send_wide_requests(fleet, 3.0)
        fleet.is_lost = lambda _sender, _receiver: False
        fleet.advance(1.0)
        self.assertFalse(node.answers_close)

    def test_departure_and_return_are_logged_with_reasons(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, PARTITION_SECONDS)
        fleet.is_lost = lambda _sender, _receiver: False
        fleet.advance(1.0)
        for node in fleet.nodes_in("b"):
            (left,) = node.logs("node_left_service")
            self.assertEqual("zone_cut_off", left["reason"])
            self.assertEqual("a,c,d", left["unreachable_zones"])
            self.assertEqual(0.0, left["answerable_share"])
            self.assertEqual(1.0, left["answerable_share_elsewhere"])
            (back,) = node.logs("node_returned_to_service")
            self.assertEqual("other_zones_in_reach", back["reason"])

    def test_setting_disables_leaving(self) -> None:
        fleet = wide_fleet(leaves_when_cut_off=False)
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 3.0)
        self.assertEqual(NODES, fleet.ready("b"))

    def test_callers_of_a_partitioned_zone_are_served_by_another(self) -> None:
        """Callers are sent to a ready zone, as the platform does."""
        served = {}
        for is_enabled in (True, False):
            fleet = wide_fleet(leaves_when_cut_off=is_enabled)
            send_wide_requests(fleet, 1.0)
            fleet.is_lost = partition_zone(fleet, "b")
            sent = []
            for second in range(6):
                nodes = fleet.nodes_in("b") if fleet.ready("b") else fleet.nodes_in("c")
                for _ in range(10):
                    sent += [fleet.request(node, "/all/x") for node in nodes]
                    fleet.advance(0.1)
                del second
            fleet.advance(2.0)
            answers = [node.replies.get(number) for node, number in sent]
            served[is_enabled] = sum(isinstance(item, ReplyMerged) for item in answers) / len(sent)
        self.assertLess(served[False], 0.1)
        self.assertGreater(served[True], 0.75)


class StayingTest(TestCase):
    def assert_all_stay(self, fleet: ZoneFleet) -> None:
        """Check that no node left service."""
        for node in fleet.nodes:
            self.assertEqual([], node.logs("node_left_service"), node.name)
            self.assertTrue(node.is_ready, node.name)

    def test_store_outage_for_all_or_some_zones(self) -> None:
        for zones_without_store in (set(ZONES), {"b"}, {"b", "c"}):
            fleet = wide_fleet()
            send_wide_requests(fleet, 1.0)

            def is_lost(
                sender: str, receiver: str, zones_without_store: set[str] = zones_without_store
            ) -> bool:
                return receiver == STORE and sender[0] in zones_without_store

            fleet.is_lost = is_lost
            send_wide_requests(fleet, 5.0)
            self.assert_all_stay(fleet)

    def test_crash_of_all_replicas_of_one_zone(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.dead = {record.replica_id for record in fleet.records if record.zone == "c"}
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_crash_of_all_replicas(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.dead = {record.replica_id for record in fleet.records}
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_partition_of_some_nodes_of_a_zone(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        partitioned = {node.name for node in fleet.nodes_in("b")[:1]}

        def is_lost(sender: str, receiver: str) -> bool:
            is_partitioned = sender in partitioned or receiver in partitioned
            return is_partitioned and fleet.zone_of.get(sender) != fleet.zone_of.get(receiver)

        fleet.is_lost = is_lost
        send_wide_requests(fleet, 5.0)
        self.assert_all_stay(fleet)

    def test_partition_into_two_pairs_of_zones(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)

        def is_lost(sender: str, receiver: str) -> bool:
            sides = [fleet.zone_of.get(place, "a") in "ab" for place in (sender, receiver)]
            return sides[0] is not sides[1]

        fleet.is_lost = is_lost
        send_wide_requests(fleet, 5.0)
        self.assert_all_stay(fleet)

    def test_zone_with_replicas_for_all_recent_demand(self) -> None:
        routes = (sharded_route(SHARDS, min_share=0.85), single_route("/one/", "one"))
        records = spread_replicas(routes[0].shards, ZONES, 3)
        records += spread_replicas(["one"], ZONES, 4)
        fleet = ZoneFleet(ZONES, NODES, table(1, *routes), records)
        fleet.start()
        for _ in range(20):
            for node in fleet.nodes:
                fleet.request(node, "/one/x")
            fleet.advance(0.1)
        fleet.is_lost = partition_zone(fleet, "b")
        for step in range(40):
            for node in fleet.nodes:
                fleet.request(node, "/one/x")
            if step % 10 == 0:
                fleet.request(fleet.nodes_in("b")[0], "/all/x")
            fleet.advance(0.1)
        self.assert_all_stay(fleet)
        self.assertEqual(
            "holds_what_callers_ask",
            fleet.nodes_in("b")[0].logs("node_stays_in_service")[0]["reason"],
        )

    def test_deployment_with_one_zone(self) -> None:
        fleet = wide_fleet(zones=("a",))
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = lambda sender, receiver: receiver != STORE
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_one_zone_stays_if_all_are_partitioned(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)

        def is_lost(sender: str, receiver: str) -> bool:
            zones = [fleet.zone_of.get(place) for place in (sender, receiver)]
            return None not in zones and zones[0] != zones[1]

        fleet.is_lost = is_lost
        send_wide_requests(fleet, 9.0)
        self.assertEqual([NODES, 0, 0, 0], [fleet.ready(zone) for zone in ZONES])

    def test_partition_between_the_only_two_zones(self) -> None:
        fleet = wide_fleet(zones=("a", "b"))
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_slow_zone(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)

        def delay(sender: str, receiver: str) -> float:
            return 0.05 if (fleet.zone_of[sender] == "b") != (fleet.zone_of[receiver] == "b") else 0

        fleet.delay = delay
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_evacuated_zone(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.evacuate("b")
        send_wide_requests(fleet, 3.0)
        self.assert_all_stay(fleet)

    def test_start_of_all_nodes_while_all_replicas_are_down(self) -> None:
        route = sharded_route(SHARDS, min_share=0.85)
        records = spread_replicas(route.shards, ZONES, 3)
        fleet = ZoneFleet(ZONES, NODES, table(1, route), records)
        fleet.dead = {record.replica_id for record in records}
        fleet.start()
        send_wide_requests(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_partition_with_services_without_replicas(self) -> None:
        routes = (sharded_route(SHARDS), single_route("/one/", "none"))
        records = spread_replicas(routes[0].shards[:1], ZONES, 4)
        fleet = ZoneFleet(ZONES, NODES, table(1, *routes), records)
        fleet.start()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 3.0)
        self.assert_all_stay(fleet)

    def test_no_probes_or_reports_without_partition(self) -> None:
        counts = {}
        for is_enabled in (True, False):
            fleet = wide_fleet(leaves_when_cut_off=is_enabled)
            send_wide_requests(fleet, 3.0)
            fleet.dead = {fleet.records[0].replica_id}
            for node in fleet.nodes:
                # Restarts of nodes in the same zone must not start a check either.
                for other in fleet.nodes_in(node.zone):
                    if other is not node:
                        node.emit(PeerLinkBroken(other.name, "the node crashed"))
            send_wide_requests(fleet, 3.0)
            actions = [action for node in fleet.nodes for action in node.actions]
            counts[is_enabled] = sum(isinstance(action, OpenConnection) for action in actions)
            sent = [action.message for action in actions if isinstance(action, SendToPeer)]
            self.assertEqual(0, sum(isinstance(message, ReachabilityReport) for message in sent))
        self.assertEqual(counts[False], counts[True])


class SingleNodeTest(TestCase):
    def test_only_isolated_nodes_leave(self) -> None:
        fleet = wide_fleet(nodes=3)
        send_wide_requests(fleet, 1.0)
        isolated = {f"{zone}-1" for zone in ZONES}
        fleet.is_lost = lambda sender, receiver: sender in isolated or receiver in isolated
        send_wide_requests(fleet, 1.5)
        away = {node.name for node in fleet.nodes if not node.is_ready}
        self.assertEqual(isolated, away)
        node = next(node for node in fleet.nodes if node.name == "b-1")
        self.assertEqual("node_cut_off", node.logs("node_left_service")[0]["reason"])
        fleet.is_lost = lambda _sender, _receiver: False
        send_wide_requests(fleet, 1.0)
        self.assertTrue(all(node.is_ready for node in fleet.nodes))

    def test_unready_node_still_answers_requests(self) -> None:
        fleet = wide_fleet()
        send_wide_requests(fleet, 1.0)
        fleet.is_lost = partition_zone(fleet, "b")
        send_wide_requests(fleet, 1.0)
        node, number = fleet.request(fleet.nodes_in("b")[0], "/all/x")
        fleet.advance(0.3)
        self.assertIsInstance(node.replies[number], ReplyFailure)
