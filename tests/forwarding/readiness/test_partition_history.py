"""Random partitions and crashes: callers are never served worse than if all nodes stayed."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.forwarding.one_node import sharded_route, table
from tests.forwarding.readiness.zone_fleet import (
    STORE,
    FleetNode,
    PartitionFailure,
    ZoneFleet,
    spread_replicas,
)

ZONES = ("a", "b", "c", "d")
NODES = 2
SHARDS = 4
ROUTE_MIN_SHARE = 0.85
SETTLE_SECONDS = 5.0
"""Time after which every node has decided on a change, including its minimum time away."""


class PartitionHistory(RuleBasedStateMachine):
    """Partitions zones, single nodes and the store at random, and heals the partitions."""

    def __init__(self) -> None:
        super().__init__()
        self.sides = dict.fromkeys(ZONES, 0)
        """The side of the partition on which each zone is; zones on the same side reach each
        other."""
        self.store_side = 0
        self.isolated: set[str] = set()
        """Nodes that reach nobody."""

    @initialize(copies=st.integers(2, 3))
    def start(self, copies: int) -> None:
        route = sharded_route(SHARDS, min_share=ROUTE_MIN_SHARE)
        records = spread_replicas(route.shards, ZONES, copies)
        self.fleet = ZoneFleet(ZONES, NODES, table(1, route), records)
        self.fleet.start()
        self.send_requests(1.0)
        self.fleet.is_lost = self.is_lost

    def is_lost(self, sender: str, receiver: str) -> bool:
        """Whether packets between two places are lost."""
        if sender in self.isolated or receiver in self.isolated:
            return True
        return self.side_of(sender) != self.side_of(receiver)

    def side_of(self, place: str) -> int:
        """Return the side of the partition on which a place is."""
        return self.store_side if place == STORE else self.sides[self.fleet.zone_of[place]]

    def send_requests(self, seconds: float) -> None:
        """Send requests to all nodes."""
        for _ in range(round(seconds * 5)):
            for node in self.fleet.nodes:
                self.fleet.request(node, "/all/x")
            self.fleet.advance(0.2)

    @rule(
        sides=st.lists(st.integers(0, 3), min_size=4, max_size=4),
        store_side=st.integers(0, 4),
        kind=st.sampled_from(PartitionFailure),
    )
    def partition(self, sides: list[int], store_side: int, kind: PartitionFailure) -> None:
        """Partition the zones and the store."""
        self.fleet.partition_failure = kind
        self.sides = dict(zip(ZONES, sides, strict=True))
        self.store_side = store_side
        self.send_requests(0.4)

    @rule(store_zone=st.sampled_from(ZONES), kind=st.sampled_from(PartitionFailure))
    def partition_all_zones(self, store_zone: str, kind: PartitionFailure) -> None:
        """Partition all zones from each other; one of them keeps the store."""
        self.fleet.partition_failure = kind
        self.sides = {zone: number for number, zone in enumerate(ZONES)}
        self.store_side = self.sides[store_zone]
        self.compare_service()

    @rule(
        zone=st.sampled_from(ZONES),
        with_store=st.booleans(),
        kind=st.sampled_from(PartitionFailure),
    )
    def partition_one_zone(self, zone: str, with_store: bool, kind: PartitionFailure) -> None:
        """Partition one zone from all others."""
        self.fleet.partition_failure = kind
        self.sides = {name: int(name == zone) for name in ZONES}
        self.store_side = int(with_store)
        self.send_requests(1.0)

    @rule(names=st.sets(st.sampled_from([f"{zone}-0" for zone in ZONES]), max_size=3))
    def isolate_nodes(self, names: set[str]) -> None:
        """Isolate single nodes; nodes isolated before are connected again."""
        self.isolated = names
        self.send_requests(0.4)

    @rule()
    def heal(self) -> None:
        """End every partition."""
        self.sides = dict.fromkeys(ZONES, 0)
        self.store_side = 0
        self.isolated = set()
        self.send_requests(0.4)

    @rule(zones=st.sets(st.sampled_from(ZONES), max_size=4))
    def crash_replicas(self, zones: set[str]) -> None:
        """Crash all replicas of some zones; the replicas of other zones are up again."""
        self.fleet.dead = {
            record.replica_id for record in self.fleet.records if record.zone in zones
        }
        self.send_requests(0.4)

    @rule()
    def compare_service(self) -> None:
        """Check that callers get at least the service they would get if every node stayed."""
        self.send_requests(SETTLE_SECONDS)
        out_of_service = [zone for zone in ZONES if not self.fleet.ready(zone)]
        if len(out_of_service) == len(ZONES):
            # Allowed only if each zone is isolated and the one that stays has also lost the store.
            assert self.is_every_zone_isolated(), self.sides
        for zone in out_of_service:
            share_in_zone = max(self.share(node) for node in self.fleet.nodes_in(zone))
            others = [node for node in self.fleet.nodes if node.is_ready]
            share_elsewhere = min([self.share(node) for node in others], default=0.0)
            assert share_elsewhere >= share_in_zone, (zone, share_in_zone, share_elsewhere)

    def is_every_zone_isolated(self) -> bool:
        """Whether every zone is isolated, and the first one also without the store."""
        sides_with_nodes = {side for zone, side in self.sides.items() if self.has_nodes(zone)}
        zones = [zone for zone in ZONES if self.has_nodes(zone)]
        return len(sides_with_nodes) == len(zones) and self.sides["a"] != self.store_side

    def has_nodes(self, zone: str) -> bool:
        """Whether any node of the zone is not isolated."""
        return any(node.name not in self.isolated for node in self.fleet.nodes_in(zone))

    def share(self, node: FleetNode) -> float:
        """Return 1 if a node can answer wide requests, else 0."""
        reachable = {
            record.service
            for record in self.fleet.records
            if self.fleet.failure_to(node, record) is None
        }
        return float(len(reachable) / SHARDS >= ROUTE_MIN_SHARE)


PartitionHistoryTest = PartitionHistory.TestCase
PartitionHistoryTest.settings = settings(max_examples=25, stateful_step_count=12, deadline=None)
