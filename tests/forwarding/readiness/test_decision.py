"""The decision whether a node takes callers, case by case."""

import random

from testtools import TestCase

from tests.forwarding.one_node import replica, sharded_route, single_route, table
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.readiness.decision import (
    LEAST_SHARE,
    OwnSide,
    Situation,
    Why,
    judge,
)
from wingquay.forwarding.readiness.departure import (
    IDLE_CLOSING_SECONDS,
    LAST_ZONE_AWAY_SECONDS,
    LEAST_AWAY_SECONDS,
    LEAST_IN_SECONDS,
    MOST_AWAY_SECONDS,
    MOST_LEAST_AWAY_SECONDS,
    TRIAL_SECONDS,
    CallersMove,
    Departure,
)
from wingquay.forwarding.readiness.route_demand import ASKED_MEMORY_SECONDS, RouteDemand
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.model.routing_table import WeightedService


def situation(**fields: object) -> Situation:
    """Return what a node of a zone that is cut off knows, but for some fields."""
    known: dict[str, object] = {
        "other_zones": ("a", "c", "d"),
        "zones_out": ("a", "c", "d"),
        "own_side": OwnSide.IN_REACH,
        "contradicted_by": "",
        "share_here": 0.1,
        "share_elsewhere": 1.0,
        "is_last_zone": False,
    }
    return Situation(**{**known, **fields})  # type: ignore[arg-type]


CASES: tuple[tuple[dict[str, object], Why], ...] = (
    ({}, Why.ZONE_CUT_OFF),
    ({"zones_out": ()}, Why.IN_REACH),
    ({"zones_out": ("a", "c")}, Why.IN_REACH),
    ({"other_zones": (), "zones_out": ()}, Why.ONE_ZONE),
    ({"other_zones": ("a",), "zones_out": ("a",)}, Why.FEW_ZONES),
    ({"contradicted_by": "b-2"}, Why.NEIGHBOURS_REACH),
    ({"share_here": 0.9}, Why.HOLDS_ENOUGH),
    ({"share_here": 0.85}, Why.ZONE_CUT_OFF),
    ({"share_here": 0.7, "share_elsewhere": 0.75}, Why.NO_GAIN),
    ({"share_elsewhere": 0.1}, Why.NO_GAIN),
    ({"is_last_zone": True}, Why.LAST_ZONE),
    ({"own_side": OwnSide.SILENT, "share_here": 0.0}, Why.NODE_CUT_OFF),
    ({"own_side": OwnSide.SILENT, "share_here": 0.0, "is_last_zone": True}, Why.NODE_CUT_OFF),
    (
        {"own_side": OwnSide.SILENT, "other_zones": ("a",), "zones_out": ("a",)},
        Why.NODE_CUT_OFF,
    ),
    ({"own_side": OwnSide.SILENT, "contradicted_by": "b-2"}, Why.NEIGHBOURS_REACH),
    ({"own_side": OwnSide.UNKNOWN}, Why.UNKNOWN),
)


class JudgeTest(TestCase):
    def test_each_case(self) -> None:
        for fields, why in CASES:
            with self.subTest(**fields):
                self.assertIs(why, judge(situation(**fields)))

    def test_only_two_reasons_make_it_leave(self) -> None:
        leaving = {why for why in Why if why.is_to_leave}
        self.assertEqual({Why.ZONE_CUT_OFF, Why.NODE_CUT_OFF}, leaving)


class DepartureTest(TestCase):
    def test_it_stays_away_for_the_least_time(self) -> None:
        departure = Departure()
        self.assertTrue(departure.move(True, 10.0))
        self.assertFalse(departure.move(False, 10.0 + LEAST_AWAY_SECONDS - 0.1))
        self.assertTrue(departure.move(False, 10.0 + LEAST_AWAY_SECONDS))
        self.assertFalse(departure.is_away)

    def test_it_stays_in_for_the_least_time_and_away_longer_each_time(self) -> None:
        departure = Departure()
        now = 10.0
        for seconds in (2.0, 4.0, MOST_LEAST_AWAY_SECONDS, MOST_LEAST_AWAY_SECONDS):
            self.assertTrue(departure.move(True, now))
            self.assertFalse(departure.move(False, now + seconds - 0.01))
            self.assertTrue(departure.move(False, now + seconds))
            self.assertFalse(departure.move(True, now + seconds + LEAST_IN_SECONDS - 0.01))
            now += seconds + LEAST_IN_SECONDS

    def test_it_takes_callers_for_a_trial_whatever_it_knows(self) -> None:
        for is_first_zone, seconds in ((False, MOST_AWAY_SECONDS), (True, LAST_ZONE_AWAY_SECONDS)):
            departure = Departure()
            departure.move(True, 0.0, is_first_zone)
            self.assertFalse(departure.move(True, seconds - 0.1, is_first_zone))
            self.assertTrue(departure.move(True, seconds, is_first_zone))
            self.assertFalse(departure.move(True, seconds + TRIAL_SECONDS - 0.1, is_first_zone))
            self.assertTrue(departure.move(True, seconds + TRIAL_SECONDS, is_first_zone))

    def test_callers_move_once_new_ones_go_elsewhere(self) -> None:
        departure = Departure()
        self.assertIs(CallersMove.STAY, departure.callers_move(0.0))
        departure.move(True, 0.0)
        self.assertIs(CallersMove.STAY, departure.callers_move(0.9))
        self.assertIs(CallersMove.ANSWERS_CLOSE, departure.callers_move(1.0))
        self.assertIs(CallersMove.IDLE_CLOSE, departure.callers_move(IDLE_CLOSING_SECONDS))
        departure.move(False, 3.0)
        self.assertIs(CallersMove.STAY, departure.callers_move(3.0))


class ShareTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = ReplicaDirectory(ForwardingSettings("a"), random.Random(1))
        for name, zones in (("s0", "ab"), ("s1", "b"), ("s2", "ac"), ("s3", "abc"), ("one", "c")):
            for zone in zones:
                self.directory.put(replica(f"{name}-{zone}", name, zone), 0.0)
        self.asked = RouteDemand(self.directory)
        self.wide = sharded_route(4)
        self.narrow = single_route("/one/", "one")
        self.table = table(1, self.wide, self.narrow)

    def share(self, *zones_out: str, now: float = 0.0) -> float:
        return self.asked.share(self.table, zones_out, now)

    def test_all_routes_count_alike_when_nothing_was_asked(self) -> None:
        self.assertEqual(1.0, self.share())
        self.assertEqual(0.5, self.share("c"))
        self.assertEqual(1.0, self.share("b"))
        self.assertEqual(0.5, self.share("a", "b"))
        self.assertEqual(0.0, self.share("a", "b", "c"))

    def test_routes_count_by_requests_which_are_forgotten(self) -> None:
        for _ in range(3):
            self.asked.count(self.narrow, 0.0)
        self.asked.count(self.wide, 0.0)
        self.assertAlmostEqual(0.25, self.share("c"))
        later = 3 * ASKED_MEMORY_SECONDS
        for _ in range(3):
            self.asked.count(self.wide, later)
        self.assertGreater(self.share("c", now=later), 0.9)

    def test_nodes_that_see_few_requests_judge_alike(self) -> None:
        """Two requests in five are wide; each node takes two in three seconds."""
        chance = random.Random(2)
        judged = []
        for _ in range(18):
            self.asked = RouteDemand(self.directory)
            for number in range(22):
                route = self.wide if chance.random() < 0.4 else self.narrow
                self.asked.count(route, number * 1.5)
            judged.append(self.share("a", "b", now=33.0) >= LEAST_SHARE)
        self.assertEqual([False] * 18, judged)

    def test_weighted_services_count_by_weight(self) -> None:
        parts = (WeightedService("one", 3.0), WeightedService("s1", 1.0))
        self.table = table(1, single_route("/two/", services=parts))
        self.assertEqual(0.25, self.share("c"))
        self.assertEqual(0.75, self.share("b"))

    def test_a_configuration_without_routes_loses_nothing(self) -> None:
        self.table = table(1)
        self.assertEqual(1.0, self.share("a", "b", "c"))

    def test_a_new_configuration_forgets_old_routes(self) -> None:
        self.asked.count(self.narrow, 0.0)
        self.asked.keep_only((self.wide,))
        self.assertEqual(0.5, self.share("c"))
