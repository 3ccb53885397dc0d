"""Wide requests must not send more bytes between zones than needed to answer in time."""

import random
from dataclasses import dataclass

from testtools import TestCase

from tests.forwarding.choice.load_simulation import LoadSimulation, simulated_route
from tests.forwarding.choice.virtual_replicas import VirtualClock, VirtualReplica
from tests.forwarding.one_node import replica, table
from wingquay.forwarding.settings import ChoiceStrategy
from wingquay.ports.forwarding import ReplyFailure

SHARDS = 90
NODES = 16
PER_SECOND = 16.0
WARM_UP_SECONDS = 4.0
"""Warm-up time in which nodes measure the typical latencies."""
SECONDS = 6.0
OBJECTIVE_SECONDS = 0.133


@dataclass
class Result:
    """Result of a simulation after its warm-up time."""

    bytes_by_purpose: dict[str, float]
    """Bytes between zones a second, by purpose."""
    served_in_time: float

    @property
    def bytes_per_second(self) -> float:
        """Bytes between zones a second."""
        return sum(self.bytes_by_purpose.values())


def simulate(strategy: ChoiceStrategy, seed: int = 1) -> Result:
    """Simulate requests over 90 shards of 1,000 bytes each at nodes of four zones."""
    source = random.Random(seed)
    clock = VirtualClock()
    replicas = [
        VirtualReplica(
            replica(f"i-{source.getrandbits(32):08x}", f"bapu{561 + shard}", zone),
            clock,
            random.Random(source.getrandbits(32)),
            speed=source.choice((0.8, 1.0, 1.3)),
            is_uneven=True,
            pause_seconds=0.1,
            pause_every_seconds=2.4,
        )
        for shard in range(SHARDS)
        for zone in ("abcd" * 2)[shard % 4 : shard % 4 + 3]
    ]
    route = simulated_route(
        "/wide/",
        shards=tuple(f"bapu{561 + shard}" for shard in range(SHARDS)),
        objective_seconds=OBJECTIVE_SECONDS,
        min_share=0.95,
        merged_records=50,
    )
    load = LoadSimulation(replicas, clock, {"/wide/": 0.0112}, source, body_bytes={"/wide/": 1000})
    load.add_nodes(NODES, "abcd", table(1, route), retry_slack=180.0, choice_strategy=strategy)
    load.join_nodes(SHARDS)
    load.requests("/wide/", PER_SECOND, 0.0, WARM_UP_SECONDS + SECONDS)
    load.clock.run(WARM_UP_SECONDS)
    before = load.bytes_between_zones.copy()
    started_at = clock.now
    load.clock.run(SECONDS + 1.0)
    sent_bytes = load.bytes_between_zones - before
    ended = [item for item in load.ended if item.at - item.seconds >= started_at]
    in_time = [
        item
        for item in ended
        if item.kind is not ReplyFailure and item.seconds <= OBJECTIVE_SECONDS
    ]
    by_purpose = {purpose: size / SECONDS for purpose, size in sent_bytes.items()}
    return Result(by_purpose, len(in_time) / len(ended))


class BytesBetweenZonesTest(TestCase):
    def test_same_zone_replicas_that_answer_in_time_are_preferred(self) -> None:
        product = simulate(ChoiceStrategy.PRODUCT)
        completion = simulate(ChoiceStrategy.COMPLETION)
        self.assertLess(completion.bytes_per_second, 0.5 * product.bytes_per_second)
        self.assertGreaterEqual(completion.served_in_time, product.served_in_time - 0.01)

    def test_replica_answers_are_the_largest_share_of_bytes_between_zones(self) -> None:
        found = simulate(ChoiceStrategy.COMPLETION, seed=2).bytes_by_purpose
        self.assertEqual("replicas", max(found, key=lambda purpose: found[purpose]))
        self.assertLess(found["DelegatedRequest"], 0.5 * found["DelegatedAnswer"])
