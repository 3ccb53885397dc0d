"""A request that ends every replica that runs it, and comes again.

Symptom: 154 replicas ended under one request within 13 s; 4 s after it had ended the third, it was
sent to replicas four times more, by nodes that were in touch. In most of these seconds no other
request over shards was served.

Sequence: a sweep over all shards comes to a node, which asks a replica of each, some through other
nodes, and hedges some. Each replica ends 45 ms after it began. For each end the shard's other
replica is asked, until none is left, and the caller gets a failure. Replicas are back after 3 s.
The same sweep comes to another node after 4 s, which knows nothing of that.

Cause: what replicas did under a request was known to the attempt of its caller only, and their ends
were taken for malformed answers.

What settled it: lines `request_ended ... answered=0 of=20 arrivals=33` of different nodes, some 4 s
apart, with `malformed` in place of every answer, the ends of all 40 replicas in the same tenths of
a second, and this test, in which one request that is repeated does the same. That the repeats were
one request could not be seen in those lines: they had no digest yet.
"""

import random
from collections import Counter

from testtools import TestCase

from wingquay.forwarding.crashing.suspects import SuspicionLevel
from wingquay.forwarding.settling.reply_builder import HELD_REASON
from wingquay.ports.forwarding import OpaqueRequest, ReplyFailure
from wingquay.simulation.forwarding.callers import LEAD_SECONDS, PATHS
from wingquay.simulation.forwarding.crash_oracle import CrashedUnder, CrashOracle
from wingquay.simulation.forwarding.faults import (
    address_reused,
    node_killed,
    replica_crash,
    store_down,
)
from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulated_node import SimulatedForwardingNode
from wingquay.simulation.forwarding.simulation import ForwardingSimulation, SimulatedFault

BEGINS_SECONDS = LEAD_SECONDS + 5.0
"""Nodes are in touch by then."""
GAP_SECONDS = 4.3
TIMES = 5
SPREAD_SECONDS = 0.1
"""Time from the third end to the moment at which every node refuses the request."""
SINGLE_SEND_ENDS = 3
"""Replicas that may end one after the other before the request is known for what it does."""


def settings(**changes: float) -> SimulationSettings:
    """Return a run in which the request comes five times."""
    return SimulationSettings(nodes=5, seconds=30.0, requests_per_second=30.0, **changes)  # type: ignore[arg-type]


def played(
    path: str,
    chosen: SimulationSettings,
    faults: tuple[SimulatedFault, ...] = (),
    seed: int = 1,
    gap_seconds: float = GAP_SECONDS,
    times: int = TIMES,
) -> tuple[CrashedUnder, tuple[str, ...]]:
    """Let a request that ends replicas come again and again; return what it did and what broke."""
    simulation = ForwardingSimulation(seed, chosen, faults)
    simulation.crashing_targets.add(path.encode())
    chance = random.Random(seed)
    repeat = simulation.callers.repeat
    simulation.clock.at(BEGINS_SECONDS, repeat, path, times, gap_seconds, chance)
    result = simulation.run()
    return simulation.oracle.crashes.requests[path.encode()], result.violations


class CrashingRequestTest(TestCase):
    def check(self, path: str, chosen: SimulationSettings, most_ends: int, seed: int = 1) -> None:
        """Check that a request is stopped in time, after few replicas have ended."""
        did, violations = played(path, chosen, seed=seed)
        self.assertEqual((), violations, seed)
        self.assertLessEqual(len(did.ended_at), most_ends, seed)

    def test_one_over_shards_ends_one_send_to_all_and_three_replicas_more(self) -> None:
        for chosen in (settings(), settings(delegate_min_shards=4, shards=10)):
            for seed in (1, 2, 3):
                # Hedges that went out before the first replica ended come on top.
                most_ends = chosen.shards * 3 // 2 + SINGLE_SEND_ENDS
                self.check("/sweep/crash", chosen, most_ends, seed)

    def test_one_to_a_single_replica_ends_three(self) -> None:
        for path in ("/fetch/crash", "/edit/crash"):
            for seed in (1, 2, 3):
                self.check(path, settings(), SINGLE_SEND_ENDS, seed)

    def test_it_is_stopped_by_nodes_that_start_again_and_while_the_store_is_away(self) -> None:
        for path in ("/sweep/crash", "/fetch/crash"):
            for seed in (1, 2, 3):
                _, violations = played(path, settings(), (node_killed,) * 8, seed, 2.0, 12)
                self.assertEqual((), violations, (path, seed))
        did, violations = played("/fetch/crash", settings(), (store_down,) * 6, 1, 1.0)
        self.assertEqual((), violations)
        self.assertLessEqual(len(did.ended_at), SINGLE_SEND_ENDS)


class SpreadTest(TestCase):
    def test_every_node_of_many_knows_in_time_while_the_store_is_away(self) -> None:
        chosen = SimulationSettings(nodes=60, seconds=12.0, requests_per_second=30.0)
        simulation = ForwardingSimulation(1, chosen, ())
        simulation.crashing_targets.add(b"/fetch/crash")
        clock = simulation.clock
        clock.at(BEGINS_SECONDS - 1.0, simulation.store.take_down, 10.0)
        repeat = simulation.callers.repeat
        clock.at(BEGINS_SECONDS, repeat, "/fetch/crash", 3, 0.5, random.Random(1))
        refusing: list[int] = []

        def count_refusing(nodes: list[SimulatedForwardingNode]) -> None:
            request = OpaqueRequest(b"GET", b"/fetch/crash", ())
            verdicts = [node.verdict(request) for node in nodes]
            refusing.append(verdicts.count(SuspicionLevel.HELD))

        def watch() -> None:
            ended = simulation.oracle.crashes.requests.get(b"/fetch/crash")
            if ended is None or len(ended.ended_at) < SINGLE_SEND_ENDS:
                clock.after(0.001, watch)
                return
            clock.after(SPREAD_SECONDS, count_refusing, simulation.nodes)

        clock.at(BEGINS_SECONDS, watch)
        simulation.run()
        self.assertEqual([chosen.nodes], refusing)


class InnocentRequestTest(TestCase):
    """All usual requests of a route are the same, so each of them is as popular as can be."""

    def test_none_is_held_while_replicas_end_for_reasons_of_their_own(self) -> None:
        faults = (replica_crash,) * 24 + (address_reused,) * 4
        for seed in (1, 2, 3):
            simulation = ForwardingSimulation(seed, settings(copies=3), faults)
            result = simulation.run()
            self.assertEqual((), result.violations, seed)
            verdicts = Counter(
                node.verdict(OpaqueRequest(b"GET", path.encode(), ()))
                for node in simulation.nodes
                for path in PATHS
            )
            self.assertNotIn(SuspicionLevel.HELD, verdicts, seed)
            reasons = {
                request.reply.reason
                for request in simulation.oracle.requests.values()
                if isinstance(request.reply, ReplyFailure)
            }
            self.assertNotIn(HELD_REASON, reasons, seed)


class CrashOracleTest(TestCase):
    """The check itself: a request that reaches replicas too often is caught."""

    def violations(self, attempts: int, after_seconds: float) -> list[str]:
        oracle = CrashOracle(contact_seconds=4.0)
        for at in (1.0, 2.0, 3.0):
            oracle.ended(b"/x", at)
        for number in range(attempts):
            oracle.arrived(b"/x", f"request-{number}", 3.0 + after_seconds)
            oracle.arrived(b"/x", f"request-{number}", 3.0 + after_seconds)
        return oracle.violations()

    def test_four_attempts_after_the_bound_are_caught(self) -> None:
        self.assertEqual(1, len(self.violations(4, 4.1)))

    def test_three_of_them_and_any_number_before_it_are_allowed(self) -> None:
        self.assertEqual([], self.violations(3, 4.1) + self.violations(9, 3.9))
