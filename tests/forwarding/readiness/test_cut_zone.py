"""A zone that is cut off leaves its callers to others, all of it and soon, and takes them back."""

from testtools import TestCase

from tests.forwarding.one_node import sharded_route, single_route, table
from tests.forwarding.readiness.zone_fleet import (
    STORE,
    CutKind,
    FleetNode,
    ZoneFleet,
    cut_zone,
    spread_replicas,
)
from wingquay.ports.forwarding import OpenConnection, ReplyFailure, ReplyMerged
from wingquay.ports.peer_link import PeerLinkBroken, SendToPeer
from wingquay.ports.reach_news import ReachabilityReport

ZONES = ("a", "b", "c", "d")
SHARDS = 12
NODES = 3
CUT_SECONDS = 6.0
LEAVE_SECONDS = 1.0
RETURN_SECONDS = 1.0


def wide_fleet(nodes: int = NODES, zones: tuple[str, ...] = ZONES, **settings: object) -> ZoneFleet:
    """Return a fleet whose shards have replicas in all zones but one each."""
    route = sharded_route(SHARDS, min_share=0.85)
    records = spread_replicas(route.shards, zones, max(1, len(zones) - 1))
    fleet = ZoneFleet(zones, nodes, table(1, route), records, **settings)
    fleet.start()
    fleet.advance(1.0)
    return fleet


def busy(fleet: ZoneFleet, seconds: float, nodes: list[FleetNode] | None = None) -> None:
    """Let callers send wide requests to some nodes, five a second each."""
    for _ in range(round(seconds * 5)):
        for node in nodes if nodes is not None else fleet.nodes:
            fleet.request(node, "/all/x")
        fleet.advance(0.2)


class CutZoneTest(TestCase):
    def test_a_cut_zone_leaves_as_a_whole_and_soon(self) -> None:
        for kind in CutKind:
            for zone in ("b", "d"):
                with self.subTest(kind=kind, zone=zone):
                    fleet = wide_fleet()
                    busy(fleet, 1.0)
                    fleet.kind = kind
                    fleet.loses = cut_zone(fleet, zone)
                    busy(fleet, LEAVE_SECONDS)
                    self.assertEqual(0, fleet.ready(zone))
                    for other in set(ZONES) - {zone}:
                        self.assertEqual(NODES, fleet.ready(other))

    def test_a_cut_in_one_direction(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        both = cut_zone(fleet, "b")
        fleet.loses = lambda sender, receiver: (
            both(sender, receiver) and fleet.zone_of.get(sender) == "b"
        )
        busy(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_an_evacuated_zone_that_is_cut(self) -> None:
        fleet = wide_fleet()
        fleet.evacuate("b")
        busy(fleet, 2.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_cuts_that_come_and_go_move_callers_rarely(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        cut = cut_zone(fleet, "b")
        for step in range(20):
            fleet.loses = cut if step % 2 == 0 else lambda _sender, _receiver: False
            busy(fleet, 0.6)
        for node in fleet.of("b"):
            self.assertLessEqual(len(node.logs("callers_left_to_others")), 3)

    def test_a_long_cut_is_tried_again_and_again(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 30.0, fleet.of("b"))
        times = [at for at, _ in fleet.of("b")[0].changes[1:]]
        gaps = [round(later - at) for at, later in zip(times, times[1:], strict=False)]
        self.assertEqual([10, 2, 10, 2], gaps[:4])

    def test_nodes_without_requests_leave_with_the_others(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, LEAVE_SECONDS, fleet.of("b")[:1])
        self.assertEqual(0, fleet.ready("b"))

    def test_the_store_on_the_side_of_the_cut_zone(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b", with_store=True)
        busy(fleet, LEAVE_SECONDS)
        self.assertEqual([NODES, 0, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_the_first_zone_leaves_once_it_knows_that_the_store_is_away_too(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "a")
        busy(fleet, 4.5)
        self.assertEqual([0, NODES, NODES, NODES], [fleet.ready(zone) for zone in ZONES])

    def test_it_comes_back_soon_after_the_cut(self) -> None:
        for kind in CutKind:
            with self.subTest(kind=kind):
                fleet = wide_fleet()
                busy(fleet, 1.0)
                fleet.kind = kind
                fleet.loses = cut_zone(fleet, "b")
                busy(fleet, CUT_SECONDS)
                self.assertEqual(0, fleet.ready("b"))
                fleet.loses = lambda _sender, _receiver: False
                fleet.advance(RETURN_SECONDS)
                self.assertEqual(NODES, fleet.ready("b"))
                busy(fleet, 1.0)
                node, number = fleet.request(fleet.of("b")[0], "/all/x")
                fleet.advance(0.5)
                self.assertIsInstance(node.replies[number], ReplyMerged)

    def test_connections_close_politely_once_new_ones_go_elsewhere(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 1.0)
        node = fleet.of("b")[0]
        left_at = node.changes[-1][0]
        self.assertFalse(node.answers_close)
        busy(fleet, left_at + 1.4 - fleet.now)
        self.assertTrue(node.answers_close)
        self.assertEqual([], node.idle_closed_at)
        busy(fleet, 1.5)
        self.assertEqual(1, len(node.idle_closed_at))
        self.assertTrue(2.0 <= node.idle_closed_at[0] - left_at <= 2.6)
        busy(fleet, 3.0)
        fleet.loses = lambda _sender, _receiver: False
        fleet.advance(1.0)
        self.assertFalse(node.answers_close)

    def test_a_line_says_why_it_left_and_came_back(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, CUT_SECONDS)
        fleet.loses = lambda _sender, _receiver: False
        fleet.advance(1.0)
        for node in fleet.of("b"):
            (left,) = node.logs("callers_left_to_others")
            self.assertEqual("zone_cut_off", left["why"])
            self.assertEqual("a,c,d", left["zones_out"])
            self.assertEqual(0.0, left["share_here"])
            self.assertEqual(1.0, left["share_elsewhere"])
            (back,) = node.logs("callers_taken_back")
            self.assertEqual("other_zones_in_reach", back["why"])

    def test_the_switch_turns_it_off(self) -> None:
        fleet = wide_fleet(leaves_when_cut_off=False)
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 3.0)
        self.assertEqual(NODES, fleet.ready("b"))

    def test_callers_of_a_cut_zone_are_served_elsewhere(self) -> None:
        """Replays a cut: callers go to the nodes that the platform hands out."""
        served = {}
        for is_on in (True, False):
            fleet = wide_fleet(leaves_when_cut_off=is_on)
            busy(fleet, 1.0)
            fleet.loses = cut_zone(fleet, "b")
            sent = []
            for second in range(6):
                nodes = fleet.of("b") if fleet.ready("b") else fleet.of("c")
                for _ in range(10):
                    sent += [fleet.request(node, "/all/x") for node in nodes]
                    fleet.advance(0.1)
                del second
            fleet.advance(2.0)
            answers = [node.replies.get(number) for node, number in sent]
            served[is_on] = sum(isinstance(item, ReplyMerged) for item in answers) / len(sent)
        self.assertLess(served[False], 0.1)
        self.assertGreater(served[True], 0.75)


class StayingTest(TestCase):
    def assert_all_stay(self, fleet: ZoneFleet) -> None:
        """Check that no node left."""
        for node in fleet.nodes:
            self.assertEqual([], node.logs("callers_left_to_others"), node.name)
            self.assertTrue(node.is_ready, node.name)

    def test_the_store_away_for_all_or_some(self) -> None:
        for away in (set(ZONES), {"b"}, {"b", "c"}):
            fleet = wide_fleet()
            busy(fleet, 1.0)

            def loses(sender: str, receiver: str, away: set[str] = away) -> bool:
                return receiver == STORE and sender[0] in away

            fleet.loses = loses
            busy(fleet, 5.0)
            self.assert_all_stay(fleet)

    def test_all_replicas_of_one_zone_end(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.dead = {record.replica_id for record in fleet.records if record.zone == "c"}
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_all_replicas_end(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.dead = {record.replica_id for record in fleet.records}
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_a_zone_of_which_some_nodes_are_cut(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        halves = {node.name for node in fleet.of("b")[:1]}

        def loses(sender: str, receiver: str) -> bool:
            is_cut = sender in halves or receiver in halves
            return is_cut and fleet.zone_of.get(sender) != fleet.zone_of.get(receiver)

        fleet.loses = loses
        busy(fleet, 5.0)
        self.assert_all_stay(fleet)

    def test_two_zones_that_lose_the_two_others(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)

        def loses(sender: str, receiver: str) -> bool:
            sides = [fleet.zone_of.get(place, "a") in "ab" for place in (sender, receiver)]
            return sides[0] is not sides[1]

        fleet.loses = loses
        busy(fleet, 5.0)
        self.assert_all_stay(fleet)

    def test_a_zone_that_holds_all_that_callers_ask(self) -> None:
        routes = (sharded_route(SHARDS, min_share=0.85), single_route("/one/", "one"))
        records = spread_replicas(routes[0].shards, ZONES, 3)
        records += spread_replicas(["one"], ZONES, 4)
        fleet = ZoneFleet(ZONES, NODES, table(1, *routes), records)
        fleet.start()
        for _ in range(20):
            for node in fleet.nodes:
                fleet.request(node, "/one/x")
            fleet.advance(0.1)
        fleet.loses = cut_zone(fleet, "b")
        for step in range(40):
            for node in fleet.nodes:
                fleet.request(node, "/one/x")
            if step % 10 == 0:
                fleet.request(fleet.of("b")[0], "/all/x")
            fleet.advance(0.1)
        self.assert_all_stay(fleet)
        self.assertEqual("holds_what_callers_ask", fleet.of("b")[0].logs("callers_kept")[0]["why"])

    def test_a_deployment_of_one_zone(self) -> None:
        fleet = wide_fleet(zones=("a",))
        busy(fleet, 1.0)
        fleet.loses = lambda sender, receiver: receiver != STORE
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_if_all_zones_lose_each_other_one_stays(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)

        def loses(sender: str, receiver: str) -> bool:
            zones = [fleet.zone_of.get(place) for place in (sender, receiver)]
            return None not in zones and zones[0] != zones[1]

        fleet.loses = loses
        busy(fleet, 9.0)
        self.assertEqual([NODES, 0, 0, 0], [fleet.ready(zone) for zone in ZONES])

    def test_two_zones_that_lose_each_other(self) -> None:
        fleet = wide_fleet(zones=("a", "b"))
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_a_slow_zone(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)

        def delay(sender: str, receiver: str) -> float:
            return 0.05 if (fleet.zone_of[sender] == "b") != (fleet.zone_of[receiver] == "b") else 0

        fleet.delay = delay
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_an_evacuated_zone(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.evacuate("b")
        busy(fleet, 3.0)
        self.assert_all_stay(fleet)

    def test_a_start_of_all_while_all_zones_lose_each_other(self) -> None:
        route = sharded_route(SHARDS, min_share=0.85)
        records = spread_replicas(route.shards, ZONES, 3)
        fleet = ZoneFleet(ZONES, NODES, table(1, route), records)
        fleet.dead = {record.replica_id for record in records}
        fleet.start()
        busy(fleet, 4.0)
        self.assert_all_stay(fleet)

    def test_services_without_replicas(self) -> None:
        routes = (sharded_route(SHARDS), single_route("/one/", "none"))
        records = spread_replicas(routes[0].shards[:1], ZONES, 4)
        fleet = ZoneFleet(ZONES, NODES, table(1, *routes), records)
        fleet.start()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 3.0)
        self.assert_all_stay(fleet)

    def test_calm_times_cost_nothing(self) -> None:
        counts = {}
        for is_on in (True, False):
            fleet = wide_fleet(leaves_when_cut_off=is_on)
            busy(fleet, 3.0)
            fleet.dead = {fleet.records[0].replica_id}
            for node in fleet.nodes:
                # Nodes of the own zone that start anew are an everyday matter, too.
                for other in fleet.of(node.zone):
                    if other is not node:
                        node.emit(PeerLinkBroken(other.name, "the node ended"))
            busy(fleet, 3.0)
            actions = [action for node in fleet.nodes for action in node.actions]
            counts[is_on] = sum(isinstance(action, OpenConnection) for action in actions)
            sent = [action.message for action in actions if isinstance(action, SendToPeer)]
            self.assertEqual(0, sum(isinstance(message, ReachabilityReport) for message in sent))
        self.assertEqual(counts[False], counts[True])


class SingleNodeTest(TestCase):
    def test_single_nodes_that_lose_everybody_leave_alone(self) -> None:
        fleet = wide_fleet(nodes=3)
        busy(fleet, 1.0)
        cut = {f"{zone}-1" for zone in ZONES}
        fleet.loses = lambda sender, receiver: sender in cut or receiver in cut
        busy(fleet, 1.5)
        away = {node.name for node in fleet.nodes if not node.is_ready}
        self.assertEqual(cut, away)
        node = next(node for node in fleet.nodes if node.name == "b-1")
        self.assertEqual("node_cut_off", node.logs("callers_left_to_others")[0]["why"])
        fleet.loses = lambda _sender, _receiver: False
        busy(fleet, 1.0)
        self.assertTrue(all(node.is_ready for node in fleet.nodes))

    def test_requests_that_still_come_are_answered(self) -> None:
        fleet = wide_fleet()
        busy(fleet, 1.0)
        fleet.loses = cut_zone(fleet, "b")
        busy(fleet, 1.0)
        node, number = fleet.request(fleet.of("b")[0], "/all/x")
        fleet.advance(0.3)
        self.assertIsInstance(node.replies[number], ReplyFailure)
