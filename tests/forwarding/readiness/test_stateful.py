"""Random cuts, ends of replicas and loads: callers never fare worse than without the decision."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.forwarding.one_node import sharded_route, table
from tests.forwarding.readiness.zone_fleet import (
    STORE,
    CutKind,
    FleetNode,
    ZoneFleet,
    spread_replicas,
)

ZONES = ("a", "b", "c", "d")
NODES = 2
SHARDS = 4
LEAST_SHARE = 0.85
SETTLE_SECONDS = 5.0
"""Time after which every node has decided on a change, its least time away included."""


class CutHistory(RuleBasedStateMachine):
    """Zones, single nodes and the store lose each other in any way, and find each other again."""

    def __init__(self) -> None:
        super().__init__()
        self.sides = dict.fromkeys(ZONES, 0)
        """On which side of a cut each zone is; those of one side reach each other."""
        self.store_side = 0
        self.alone: set[str] = set()
        """Nodes that have lost everybody."""

    @initialize(copies=st.integers(2, 3))
    def start(self, copies: int) -> None:
        route = sharded_route(SHARDS, min_share=LEAST_SHARE)
        records = spread_replicas(route.shards, ZONES, copies)
        self.fleet = ZoneFleet(ZONES, NODES, table(1, route), records)
        self.fleet.start()
        self.load(1.0)
        self.fleet.loses = self.loses

    def loses(self, sender: str, receiver: str) -> bool:
        """Whether packets between two places are lost."""
        if sender in self.alone or receiver in self.alone:
            return True
        return self.side_of(sender) != self.side_of(receiver)

    def side_of(self, place: str) -> int:
        """Return the side of a place."""
        return self.store_side if place == STORE else self.sides[self.fleet.zone_of[place]]

    def load(self, seconds: float) -> None:
        """Let callers send requests to all nodes."""
        for _ in range(round(seconds * 5)):
            for node in self.fleet.nodes:
                self.fleet.request(node, "/all/x")
            self.fleet.advance(0.2)

    @rule(
        sides=st.lists(st.integers(0, 3), min_size=4, max_size=4),
        store_side=st.integers(0, 4),
        kind=st.sampled_from(CutKind),
    )
    def cut(self, sides: list[int], store_side: int, kind: CutKind) -> None:
        """Cut zones and the store from each other."""
        self.fleet.kind = kind
        self.sides = dict(zip(ZONES, sides, strict=True))
        self.store_side = store_side
        self.load(0.4)

    @rule(store_zone=st.sampled_from(ZONES), kind=st.sampled_from(CutKind))
    def cut_all_zones(self, store_zone: str, kind: CutKind) -> None:
        """Cut all zones from each other; one of them keeps the store."""
        self.fleet.kind = kind
        self.sides = {zone: number for number, zone in enumerate(ZONES)}
        self.store_side = self.sides[store_zone]
        self.look()

    @rule(zone=st.sampled_from(ZONES), with_store=st.booleans(), kind=st.sampled_from(CutKind))
    def cut_one_zone(self, zone: str, with_store: bool, kind: CutKind) -> None:
        """Cut one zone from all others, as happens most."""
        self.fleet.kind = kind
        self.sides = {name: int(name == zone) for name in ZONES}
        self.store_side = int(with_store)
        self.load(1.0)

    @rule(names=st.sets(st.sampled_from([f"{zone}-0" for zone in ZONES]), max_size=3))
    def cut_nodes(self, names: set[str]) -> None:
        """Let single nodes lose everybody; those that were cut before are back."""
        self.alone = names
        self.load(0.4)

    @rule()
    def heal(self) -> None:
        """End every cut."""
        self.sides = dict.fromkeys(ZONES, 0)
        self.store_side = 0
        self.alone = set()
        self.load(0.4)

    @rule(zones=st.sets(st.sampled_from(ZONES), max_size=4))
    def end_replicas(self, zones: set[str]) -> None:
        """End all replicas of some zones; those of the others are back."""
        self.fleet.dead = {
            record.replica_id for record in self.fleet.records if record.zone in zones
        }
        self.load(0.4)

    @rule()
    def look(self) -> None:
        """Compare what callers get with what they would get if every node took callers."""
        self.load(SETTLE_SECONDS)
        away = [zone for zone in ZONES if not self.fleet.ready(zone)]
        if len(away) == len(ZONES):
            # Only if no zone has anybody, and the one that stays has lost the store as well.
            assert self.is_everybody_apart(), self.sides
        for zone in away:
            without = max(self.share(node) for node in self.fleet.of(zone))
            others = [node for node in self.fleet.nodes if node.is_ready]
            with_it = min([self.share(node) for node in others], default=0.0)
            assert with_it >= without, (zone, without, with_it)

    def is_everybody_apart(self) -> bool:
        """Whether every zone is alone, and the first one without the store."""
        reached = {side for zone, side in self.sides.items() if self.has_nodes(zone)}
        pairs = [zone for zone in ZONES if self.has_nodes(zone)]
        return len(reached) == len(pairs) and self.sides["a"] != self.store_side

    def has_nodes(self, zone: str) -> bool:
        """Whether a node of the zone is not alone."""
        return any(node.name not in self.alone for node in self.fleet.of(zone))

    def share(self, node: FleetNode) -> float:
        """Return whether a node can answer wide requests."""
        held = {
            record.service
            for record in self.fleet.records
            if self.fleet.failure_to(node, record) is None
        }
        return float(len(held) / SHARDS >= LEAST_SHARE)


CutHistoryTest = CutHistory.TestCase
CutHistoryTest.settings = settings(max_examples=25, stateful_step_count=12, deadline=None)
