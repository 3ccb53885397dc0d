"""Decision whether a node leaves service, the time limits of departures, and demand shares."""

import random

from testtools import TestCase

from tests.forwarding.one_node import replica, sharded_route, single_route, table
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.readiness.decision import (
    MIN_ANSWERABLE_SHARE,
    DecisionInputs,
    DecisionReason,
    OwnZoneStatus,
    decide,
)
from wingquay.forwarding.readiness.departure import (
    FALLBACK_ZONE_AWAY_SECONDS,
    IDLE_CLOSING_SECONDS,
    MAX_AWAY_SECONDS,
    MAX_FLAPPING_AWAY_SECONDS,
    MIN_AWAY_SECONDS,
    MIN_READY_SECONDS,
    TRIAL_SECONDS,
    ConnectionClosing,
    Departure,
)
from wingquay.forwarding.readiness.route_demand import DEMAND_DECAY_SECONDS, RouteDemand
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.routing_table import WeightedService


def decision_inputs(**fields: object) -> DecisionInputs:
    """Return the inputs for a node of a partitioned zone, with some fields replaced."""
    usual: dict[str, object] = {
        "other_zones": ("a", "c", "d"),
        "unreachable_zones": ("a", "c", "d"),
        "own_zone_status": OwnZoneStatus.REACHABLE,
        "connected_zone_peer": "",
        "answerable_share": 0.1,
        "answerable_share_elsewhere": 1.0,
        "stays_as_fallback": False,
    }
    return DecisionInputs(**{**usual, **fields})  # type: ignore[arg-type]


CASES: tuple[tuple[dict[str, object], DecisionReason], ...] = (
    ({}, DecisionReason.ZONE_CUT_OFF),
    ({"unreachable_zones": ()}, DecisionReason.OTHERS_REACHABLE),
    ({"unreachable_zones": ("a", "c")}, DecisionReason.OTHERS_REACHABLE),
    ({"other_zones": (), "unreachable_zones": ()}, DecisionReason.SINGLE_ZONE),
    ({"other_zones": ("a",), "unreachable_zones": ("a",)}, DecisionReason.FEW_ZONES),
    ({"connected_zone_peer": "b-2"}, DecisionReason.ZONE_PEER_CONNECTED),
    ({"answerable_share": 0.9}, DecisionReason.ENOUGH_ANSWERABLE),
    ({"answerable_share": 0.85}, DecisionReason.ZONE_CUT_OFF),
    ({"answerable_share": 0.7, "answerable_share_elsewhere": 0.75}, DecisionReason.NO_GAIN),
    ({"answerable_share_elsewhere": 0.1}, DecisionReason.NO_GAIN),
    ({"stays_as_fallback": True}, DecisionReason.FALLBACK_ZONE),
    (
        {"own_zone_status": OwnZoneStatus.SILENT, "answerable_share": 0.0},
        DecisionReason.NODE_CUT_OFF,
    ),
    (
        {
            "own_zone_status": OwnZoneStatus.SILENT,
            "answerable_share": 0.0,
            "stays_as_fallback": True,
        },
        DecisionReason.NODE_CUT_OFF,
    ),
    (
        {
            "own_zone_status": OwnZoneStatus.SILENT,
            "other_zones": ("a",),
            "unreachable_zones": ("a",),
        },
        DecisionReason.NODE_CUT_OFF,
    ),
    (
        {"own_zone_status": OwnZoneStatus.SILENT, "connected_zone_peer": "b-2"},
        DecisionReason.ZONE_PEER_CONNECTED,
    ),
    ({"own_zone_status": OwnZoneStatus.UNKNOWN}, DecisionReason.UNKNOWN),
)


class DecideTest(TestCase):
    def test_each_case(self) -> None:
        for fields, reason in CASES:
            with self.subTest(**fields):
                self.assertIs(reason, decide(decision_inputs(**fields)))

    def test_only_two_reasons_require_leaving(self) -> None:
        leave_reasons = {reason for reason in DecisionReason if reason.should_leave}
        self.assertEqual({DecisionReason.ZONE_CUT_OFF, DecisionReason.NODE_CUT_OFF}, leave_reasons)


class DepartureTest(TestCase):
    def test_node_stays_out_of_service_for_the_minimum_time(self) -> None:
        departure = Departure()
        self.assertTrue(departure.update(True, 10.0))
        self.assertFalse(departure.update(False, 10.0 + MIN_AWAY_SECONDS - 0.1))
        self.assertTrue(departure.update(False, 10.0 + MIN_AWAY_SECONDS))
        self.assertFalse(departure.is_away)

    def test_flapping_doubles_the_time_out_of_service(self) -> None:
        departure = Departure()
        now = 10.0
        for seconds in (2.0, 4.0, MAX_FLAPPING_AWAY_SECONDS, MAX_FLAPPING_AWAY_SECONDS):
            self.assertTrue(departure.update(True, now))
            self.assertFalse(departure.update(False, now + seconds - 0.01))
            self.assertTrue(departure.update(False, now + seconds))
            self.assertFalse(departure.update(True, now + seconds + MIN_READY_SECONDS - 0.01))
            now += seconds + MIN_READY_SECONDS

    def test_node_returns_for_a_trial_whatever_the_decision(self) -> None:
        for is_fallback_zone, seconds in (
            (False, MAX_AWAY_SECONDS),
            (True, FALLBACK_ZONE_AWAY_SECONDS),
        ):
            departure = Departure()
            departure.update(True, 0.0, is_fallback_zone)
            self.assertFalse(departure.update(True, seconds - 0.1, is_fallback_zone))
            self.assertTrue(departure.update(True, seconds, is_fallback_zone))
            self.assertFalse(
                departure.update(True, seconds + TRIAL_SECONDS - 0.1, is_fallback_zone)
            )
            self.assertTrue(departure.update(True, seconds + TRIAL_SECONDS, is_fallback_zone))

    def test_connections_close_only_after_a_while(self) -> None:
        departure = Departure()
        self.assertIs(ConnectionClosing.KEEP, departure.connection_closing(0.0))
        departure.update(True, 0.0)
        self.assertIs(ConnectionClosing.KEEP, departure.connection_closing(0.9))
        self.assertIs(ConnectionClosing.CLOSE_AFTER_RESPONSE, departure.connection_closing(1.0))
        self.assertIs(
            ConnectionClosing.CLOSE_IDLE, departure.connection_closing(IDLE_CLOSING_SECONDS)
        )
        departure.update(False, 3.0)
        self.assertIs(ConnectionClosing.KEEP, departure.connection_closing(3.0))


class RouteDemandTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = ReplicaDirectory(ForwardingSettings("a"), random.Random(1))
        for name, zones in (("s0", "ab"), ("s1", "b"), ("s2", "ac"), ("s3", "abc"), ("one", "c")):
            for zone in zones:
                self.directory.put(replica(f"{name}-{zone}", name, zone), 0.0)
        self.demand = RouteDemand(self.directory)
        self.wide = sharded_route(4)
        self.narrow = single_route("/one/", "one")
        self.table = table(1, self.wide, self.narrow)

    def share(self, *excluded_zones: str, now: float = 0.0) -> float:
        return self.demand.share(self.table, excluded_zones, now)

    def test_routes_have_equal_weight_without_requests(self) -> None:
        self.assertEqual(1.0, self.share())
        self.assertEqual(0.5, self.share("c"))
        self.assertEqual(1.0, self.share("b"))
        self.assertEqual(0.5, self.share("a", "b"))
        self.assertEqual(0.0, self.share("a", "b", "c"))

    def test_weights_follow_recent_requests(self) -> None:
        for _ in range(3):
            self.demand.record(self.narrow, 0.0)
        self.demand.record(self.wide, 0.0)
        self.assertAlmostEqual(0.25, self.share("c"))
        later = 3 * DEMAND_DECAY_SECONDS
        for _ in range(3):
            self.demand.record(self.wide, later)
        self.assertGreater(self.share("c", now=later), 0.9)

    def test_nodes_with_few_requests_decide_alike(self) -> None:
        """Guards against nodes of a zone that decide differently because each sees few requests."""
        chance = random.Random(2)
        decisions = []
        for _ in range(18):
            self.demand = RouteDemand(self.directory)
            for number in range(22):
                route = self.wide if chance.random() < 0.4 else self.narrow
                self.demand.record(route, number * 1.5)
            decisions.append(self.share("a", "b", now=33.0) >= MIN_ANSWERABLE_SHARE)
        self.assertEqual([False] * 18, decisions)

    def test_weighted_services(self) -> None:
        parts = (WeightedService("one", 3.0), WeightedService("s1", 1.0))
        self.table = table(1, single_route("/two/", services=parts))
        self.assertEqual(0.25, self.share("c"))
        self.assertEqual(0.75, self.share("b"))

    def test_share_is_one_without_routes(self) -> None:
        self.table = table(1)
        self.assertEqual(1.0, self.share("a", "b", "c"))

    def test_new_configuration_discards_old_routes(self) -> None:
        self.demand.record(self.narrow, 0.0)
        self.demand.keep_only((self.wide,))
        self.assertEqual(0.5, self.share("c"))
