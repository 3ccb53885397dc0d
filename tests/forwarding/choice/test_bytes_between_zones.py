"""What wide requests send between zones, by purpose, by each way of choosing replicas."""

import random
from dataclasses import dataclass

from testtools import TestCase

from tests.forwarding.choice.replayed_nodes import ReplayedLoad, replayed_route
from tests.forwarding.choice.replayed_replicas import ReplayedReplica, VirtualClock
from tests.forwarding.one_node import replica, table
from wingquay.forwarding.settings import ChoiceStrategy
from wingquay.ports.forwarding import ReplyFailure

SHARDS = 90
NODES = 16
PER_SECOND = 16.0
SETTLING_SECONDS = 4.0
"""Time in which nodes learn the usual latencies."""
SECONDS = 6.0
OBJECTIVE_SECONDS = 0.133


@dataclass
class Played:
    """What a replay came to, after it had settled."""

    bytes_by_purpose: dict[str, float]
    """In a second."""
    served_in_time: float

    @property
    def bytes_per_second(self) -> float:
        """All of them."""
        return sum(self.bytes_by_purpose.values())


def played(way: ChoiceStrategy, seed: int = 1) -> Played:
    """Let requests over 90 shards of 1,000 bytes each pass through nodes of four zones."""
    source = random.Random(seed)
    clock = VirtualClock()
    replicas = [
        ReplayedReplica(
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
    route = replayed_route(
        "/wide/",
        shards=tuple(f"bapu{561 + shard}" for shard in range(SHARDS)),
        objective_seconds=OBJECTIVE_SECONDS,
        min_share=0.95,
        merged_records=50,
    )
    load = ReplayedLoad(replicas, clock, {"/wide/": 0.0112}, source, body_bytes={"/wide/": 1000})
    load.add_nodes(NODES, "abcd", table(1, route), retry_slack=180.0, choice_strategy=way)
    load.join_nodes(SHARDS)
    load.requests("/wide/", PER_SECOND, 0.0, SETTLING_SECONDS + SECONDS)
    load.clock.run(SETTLING_SECONDS)
    before = load.far_bytes.copy()
    begun_at = clock.now
    load.clock.run(SECONDS + 1.0)
    counted = load.far_bytes - before
    ended = [item for item in load.ended if item.at - item.seconds >= begun_at]
    in_time = [
        item
        for item in ended
        if item.kind is not ReplyFailure and item.seconds <= OBJECTIVE_SECONDS
    ]
    by_purpose = {purpose: size / SECONDS for purpose, size in counted.items()}
    return Played(by_purpose, len(in_time) / len(ended))


class BytesBetweenZonesTest(TestCase):
    def test_near_replicas_that_are_early_enough_keep_bytes_within_the_zone(self) -> None:
        product = played(ChoiceStrategy.PRODUCT)
        completion = played(ChoiceStrategy.COMPLETION)
        self.assertLess(completion.bytes_per_second, 0.5 * product.bytes_per_second)
        self.assertGreaterEqual(completion.served_in_time, product.served_in_time - 0.01)

    def test_direct_answers_of_far_replicas_are_the_greatest_purpose(self) -> None:
        found = played(ChoiceStrategy.COMPLETION, seed=2).bytes_by_purpose
        self.assertEqual("replicas", max(found, key=lambda purpose: found[purpose]))
        self.assertLess(found["DelegatedRequest"], 0.5 * found["DelegatedAnswer"])
