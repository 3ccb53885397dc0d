"""Many nodes share a few replicas without overloading any of them."""

import random
from dataclasses import dataclass, replace

from testtools import TestCase

from tests.forwarding.choice.load_simulation import LoadSimulation, simulated_route
from tests.forwarding.choice.virtual_replicas import VirtualClock, VirtualReplica
from tests.forwarding.one_node import replica, table
from wingquay.forwarding.settings import ChoiceStrategy
from wingquay.model.routing_table import WeightedService
from wingquay.ports.forwarding import ReplyFailure

BURST = 2.2
SEEDS = range(1, 5)


@dataclass(frozen=True)
class Load:
    """A service with few replicas, and the request rate of its callers."""

    nodes: int
    replicas: int
    slots: int
    work_seconds: float
    objective_seconds: float
    per_second: float


MANY_NODES = Load(70, 5, 2, 0.133, 1.045, 4.19)
FEWER_NODES = Load(25, 4, 6, 0.090, 0.347, 5.29)


def simulate(
    load: Load,
    strategy: ChoiceStrategy,
    seed: int,
    lost_share: float = 0.0,
    is_repeatable: bool = True,
) -> LoadSimulation:
    """Simulate ten seconds of normal load, fifteen of a burst and five of normal load."""
    source = random.Random(seed)
    clock = VirtualClock()
    replicas = [
        VirtualReplica(
            replace(replica(f"r{number}", "one", "abcd"[number % 4]), slots=load.slots),
            clock,
            random.Random(source.getrandbits(32)),
            speed=(0.8, 1.0, 1.3)[number % 3],
            is_uneven=True,
            lost_share=lost_share if number else 0.0,
        )
        for number in range(load.replicas)
    ]
    route = simulated_route(
        "/one/",
        services=(WeightedService("one", 1.0),),
        objective_seconds=load.objective_seconds,
        timeout_seconds=8.0,
        is_repeatable=is_repeatable,
    )
    work = {"/one/": load.work_seconds}
    retries = 1 if is_repeatable else 0
    result = LoadSimulation(replicas, clock, work, source, work_spread=0.5, retries=retries)
    result.add_nodes(
        load.nodes, "abcd", table(1, route), retry_slack=180.0, choice_strategy=strategy
    )
    result.requests("/one/", load.per_second, 0.0, 10.0)
    result.requests("/one/", load.per_second * BURST, 10.0, 15.0)
    result.requests("/one/", load.per_second, 25.0, 5.0)
    clock.run(40.0)
    return result


def mean_quantile(loads: list[LoadSimulation], share: float) -> float:
    """Return the mean of a quantile over several simulations."""
    return sum(load.quantile("/one/", share) for load in loads) / len(loads)


class EvenLoadTest(TestCase):
    def test_a_burst_is_served_in_time_and_spread_evenly(self) -> None:
        for load in (MANY_NODES, FEWER_NODES):
            for strategy in ChoiceStrategy:
                loads = [simulate(load, strategy, seed) for seed in SEEDS]
                self.assertLess(mean_quantile(loads, 0.99), load.objective_seconds, load)
                max_to_mean_runs = sum(item.max_to_mean_runs() for item in loads) / len(loads)
                self.assertLess(max_to_mean_runs, 1.45, load)

    def test_lost_answers_do_not_delay_other_requests(self) -> None:
        for load in (MANY_NODES, FEWER_NODES):
            loads = [simulate(load, ChoiceStrategy.COMPLETION, seed, 0.08) for seed in SEEDS]
            self.assertLess(mean_quantile(loads, 0.95), load.objective_seconds, load)
            self.assertEqual([], [item for one in loads for item in one.ended if item.failure])


class OnceOnlyTest(TestCase):
    def test_a_non_repeatable_request_that_may_have_run_is_not_sent_again(self) -> None:
        load = simulate(MANY_NODES, ChoiceStrategy.COMPLETION, 1, 0.4, is_repeatable=False)
        self.assertEqual(len(load.ended), load.sent)
        lost = [item for item in load.ended if item.kind is ReplyFailure]
        self.assertGreater(len(lost), 0)
