"""Requests that wait at the node are ordered by priority and fairness, unlike at replicas."""

from testtools import TestCase

from tests.forwarding.known_callers import with_tenants
from tests.forwarding.one_node import OneNode, replica, single_route, table
from tests.forwarding.virtual_service import VirtualService
from wingquay.forwarding.sending.waiting_settings import QueueLocation, WaitingRule, WaitingSettings
from wingquay.model.tenants import Tenant
from wingquay.ports.forwarding import ReportedLoad
from wingquay.ports.machine import Count, Observe

OBJECTIVE_SECONDS = 1.05
HOT, CALM = Tenant("hot", ("hot-key",)), Tenant("calm", ("calm-key",))
SETTINGS = {
    location.value: WaitingSettings(WaitingRule.ESTIMATE, location) for location in QueueLocation
}


def service(
    waiting: WaitingSettings, replicas: int, settled_seconds: float, *tenants: Tenant
) -> VirtualService:
    """Return a service with an urgent and a normal route, forwarded by a single node."""
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
    simulation = VirtualService(node)
    if settled_seconds:
        simulation.ask("/usual/first", key=tenants[0].keys[0] if tenants else "")
        simulation.run(0.2 + settled_seconds)
    return simulation


class LoadTest(TestCase):
    """Compares queueing at the replicas with queueing at the node."""

    def services(
        self, replicas: int = 1, settled_seconds: float = 10.0
    ) -> dict[str, VirtualService]:
        return {
            name: service(waiting, replicas, settled_seconds) for name, waiting in SETTINGS.items()
        }

    def test_an_urgent_request_overtakes_a_burst(self) -> None:
        seconds = {}
        for name, simulation in self.services().items():
            for _ in range(15):
                simulation.ask("/usual/x")
            simulation.run(0.01)
            number = simulation.ask("/urgent/x")
            simulation.run(3.0)
            seconds[name] = round(simulation.seconds(number), 1)
        self.assertEqual({"replica": 1.0, "node": 0.3}, seconds)

    def test_a_replica_that_reports_more_slots_receives_more_requests(self) -> None:
        in_flight = {}
        for slots in (2, 8):
            simulation = service(SETTINGS["node"], 1, 10.0)
            simulation.ask("/usual/x")
            simulation.node.answer(simulation.node.sends[0], load=ReportedLoad(1, 0, slots))
            for _ in range(20):
                simulation.ask("/usual/x")
            in_flight[slots] = len(simulation.node.sends)
        self.assertEqual({2: 3, 8: 12}, in_flight)

    def test_the_last_slot_goes_to_the_urgent_request(self) -> None:
        started = {}
        for name, simulation in self.services().items():
            numbers = [simulation.ask("/usual/x") for _ in range(5)]
            urgent = simulation.ask("/urgent/x")
            simulation.run(1.0)
            waited = [f"id-{number}" for number in (*numbers[3:], urgent)]
            started[name] = [waited.index(name) for name in simulation.started if name in waited]
        self.assertEqual({"replica": [0, 1, 2], "node": [2, 0, 1]}, started)

    def test_requests_that_cannot_be_served_are_rejected_at_once(self) -> None:
        found = {}
        for name, simulation in self.services(replicas=2).items():
            numbers = [simulation.ask("/usual/x") for _ in range(160)]
            at_once = sum(number in simulation.node.replies for number in numbers)
            simulation.run(6.0)
            found[name] = (at_once, simulation.outcomes(numbers, OBJECTIVE_SECONDS))
        expected = {
            "replica": (0, {"in time": 28, "late": 123, "not_run": 9}),
            "node": (34, {"in time": 28, "late": 95, "not_run": 37}),
        }
        self.assertEqual(expected, found)

    def test_requests_right_after_a_start_are_served(self) -> None:
        found = {}
        for name, simulation in self.services(replicas=2, settled_seconds=0.0).items():
            numbers = [simulation.ask("/usual/x") for _ in range(12)]
            simulation.run(3.0)
            found[name] = simulation.outcomes(numbers, OBJECTIVE_SECONDS)
        self.assertEqual({name: {"in time": 12} for name in SETTINGS}, found)


class HotCallerTest(TestCase):
    """One tenant sends twenty times as many requests as another."""

    def calm_seconds(self, waiting: WaitingSettings) -> float:
        simulation = service(waiting, 1, 10.0, HOT, CALM)
        for _ in range(20):
            simulation.ask("/usual/x", key=HOT.keys[0])
        simulation.run(0.01)
        number = simulation.ask("/usual/x", key=CALM.keys[0])
        simulation.run(4.0)
        return round(simulation.seconds(number), 1)

    def test_only_named_tenants_that_were_served_are_remembered(self) -> None:
        names = {}
        for tenants in ((), (HOT, CALM)):
            simulation = service(SETTINGS["node"], 1, 10.0, *tenants)
            queues = simulation.node.machine._forwarding._queue._queues.values()
            ranks = [rank for queue in queues for rank in queue._ranks.values()]
            names[len(tenants)] = [name for rank in ranks for name in rank.flows]
        self.assertEqual({0: [], 2: ["hot"]}, names)

    def test_the_calm_tenant_does_not_wait_for_the_burst(self) -> None:
        seconds = {name: self.calm_seconds(waiting) for name, waiting in SETTINGS.items()}
        self.assertEqual({"replica": 1.4, "node": 0.3}, seconds)


class OperatorTest(TestCase):
    def test_waiting_and_rejected_requests_are_logged_and_counted(self) -> None:
        simulation = service(SETTINGS["node"], 2, 10.0)
        for _ in range(160):
            simulation.ask("/usual/x")
        simulation.run(2.5)
        lines = simulation.node.logs("calls_waiting")
        self.assertLessEqual(len(lines), 4)
        self.assertGreater(max(int(str(line["waiting"])) for line in lines), 50)
        self.assertGreater(max(int(str(line["oldest_ms"])) for line in lines), 900)
        rejected = {
            action.labels
            for action in simulation.node.actions
            if isinstance(action, Count) and action.name == "forwarded_rejections_total"
        }
        reason = "its replicas have no room soon enough"
        self.assertEqual({(("reason", reason), ("priority", "2"))}, rejected)
        waited = [
            action.value
            for action in simulation.node.actions
            if isinstance(action, Observe) and action.name == "forwarded_wait_seconds"
        ]
        self.assertGreater(len(waited), 50)
