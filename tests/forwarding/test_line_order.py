"""Loads on a small service: bursts, hot callers, the last slot, a start; by where work waits."""

from testtools import TestCase

from tests.forwarding.known_callers import with_tenants
from tests.forwarding.one_node import OneNode, replica, single_route, table
from tests.forwarding.played_service import PlayedService
from wingquay.forwarding.sending.waiting_settings import LinePlace, WaitingRule, WaitingSettings
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ReportedLoad
from wingquay.ports.machine import Count, Observe

OBJECTIVE_SECONDS = 1.05
HOT, CALM = Tenant("hot", ("hot-key",)), Tenant("calm", ("calm-key",))
WAYS = {place.value: WaitingSettings(WaitingRule.ESTIMATE, place) for place in LinePlace}


def service(
    waiting: WaitingSettings, replicas: int, settled_seconds: float, *tenants: Tenant
) -> PlayedService:
    """Return a service that takes urgent and usual requests at a node that is one of few."""
    node = OneNode(waiting=waiting)
    shared = {"objective_seconds": OBJECTIVE_SECONDS, "timeout_seconds": 8.0, "max_attempts": 1}
    urgent = single_route("/urgent/", priority=0, **shared)
    usual = single_route("/usual/", priority=2, **shared)
    records = [replica(f"r{number}", "s") for number in range(replicas)]
    configuration = table(1, urgent, usual, connections=240)
    if tenants:
        configuration = with_tenants(configuration, *tenants)
    node.start(configuration, *records)
    node.advance(settled_seconds)
    played = PlayedService(node)
    if settled_seconds:
        played.ask("/usual/first", key=tenants[0].keys[0] if tenants else "")
        played.run(0.2 + settled_seconds)
    return played


class LoadTest(TestCase):
    """Each load: what callers get where work waits at the replicas, and where it waits here."""

    def both(self, replicas: int = 1, settled_seconds: float = 10.0) -> dict[str, PlayedService]:
        return {name: service(waiting, replicas, settled_seconds) for name, waiting in WAYS.items()}

    def test_an_urgent_call_overtakes_a_burst(self) -> None:
        seconds = {}
        for name, played in self.both().items():
            for _ in range(15):
                played.ask("/usual/x")
            played.run(0.01)
            number = played.ask("/urgent/x")
            played.run(3.0)
            seconds[name] = round(played.seconds(number), 1)
        self.assertEqual({"replica": 1.0, "node": 0.3}, seconds)

    def test_a_replica_that_says_that_it_has_more_slots_gets_more(self) -> None:
        under_way = {}
        for slots in (2, 8):
            played = service(WAYS["node"], 1, 10.0)
            played.ask("/usual/x")
            played.node.answer(played.node.sends[0], load=ReportedLoad(1, 0, slots))
            for _ in range(20):
                played.ask("/usual/x")
            under_way[slots] = len(played.node.sends)
        self.assertEqual({2: 3, 8: 12}, under_way)

    def test_the_last_slot_goes_to_the_urgent_call(self) -> None:
        started = {}
        for name, played in self.both().items():
            numbers = [played.ask("/usual/x") for _ in range(5)]
            urgent = played.ask("/urgent/x")
            played.run(1.0)
            waited = [f"id-{number}" for number in (*numbers[3:], urgent)]
            started[name] = [waited.index(name) for name in played.started if name in waited]
        self.assertEqual({"replica": [0, 1, 2], "node": [2, 0, 1]}, started)

    def test_a_burst_beyond_what_can_be_served_is_rejected_at_once(self) -> None:
        found = {}
        for name, played in self.both(replicas=2).items():
            numbers = [played.ask("/usual/x") for _ in range(160)]
            at_once = sum(number in played.node.replies for number in numbers)
            played.run(6.0)
            found[name] = (at_once, played.outcomes(numbers, OBJECTIVE_SECONDS))
        expected = {
            "replica": (0, {"in time": 28, "late": 123, "not_run": 9}),
            "node": (34, {"in time": 28, "late": 95, "not_run": 37}),
        }
        self.assertEqual(expected, found)

    def test_what_arrives_right_after_a_start_is_served(self) -> None:
        found = {}
        for name, played in self.both(replicas=2, settled_seconds=0.0).items():
            numbers = [played.ask("/usual/x") for _ in range(12)]
            played.run(3.0)
            found[name] = played.outcomes(numbers, OBJECTIVE_SECONDS)
        self.assertEqual({name: {"in time": 12} for name in WAYS}, found)


class HotCallerTest(TestCase):
    """One tenant sends twenty times as much as another one."""

    def calm_seconds(self, waiting: WaitingSettings) -> float:
        played = service(waiting, 1, 10.0, HOT, CALM)
        for _ in range(20):
            played.ask("/usual/x", key=HOT.keys[0])
        played.run(0.01)
        number = played.ask("/usual/x", key=CALM.keys[0])
        played.run(4.0)
        return round(played.seconds(number), 1)

    def test_only_tenants_that_were_served_are_remembered_and_by_name(self) -> None:
        names = {}
        for tenants in ((), (HOT, CALM)):
            played = service(WAYS["node"], 1, 10.0, *tenants)
            lines = played.node.machine._forwarding._queue._lines.values()
            ranks = [rank for line in lines for rank in line._ranks.values()]
            names[len(tenants)] = [name for rank in ranks for name in rank.flows]
        self.assertEqual({0: [], 2: ["hot"]}, names)

    def test_the_calm_one_does_not_wait_for_the_burst(self) -> None:
        seconds = {name: self.calm_seconds(waiting) for name, waiting in WAYS.items()}
        self.assertEqual({"replica": 1.4, "node": 0.3}, seconds)


class OperatorTest(TestCase):
    def test_what_waits_and_who_is_rejected_is_told_and_bounded(self) -> None:
        played = service(WAYS["node"], 2, 10.0)
        for _ in range(160):
            played.ask("/usual/x")
        played.run(2.5)
        lines = played.node.logs("calls_wait")
        self.assertLessEqual(len(lines), 4)
        self.assertGreater(max(int(str(line["waiting"])) for line in lines), 50)
        self.assertGreater(max(int(str(line["oldest_ms"])) for line in lines), 900)
        rejected = {
            action.labels
            for action in played.node.actions
            if isinstance(action, Count) and action.name == "forwarded_rejections_total"
        }
        reason = "its replicas have no room soon enough"
        self.assertEqual({(("reason", reason), ("priority", "2"))}, rejected)
        waited = [
            action.value
            for action in played.node.actions
            if isinstance(action, Observe) and action.name == "forwarded_wait_seconds"
        ]
        self.assertGreater(len(waited), 50)
