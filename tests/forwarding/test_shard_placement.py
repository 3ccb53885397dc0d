"""Assignment of the shards of wide requests: owners in few zones, the same on every node."""

import random
from collections import Counter
from collections.abc import Mapping

from testtools import TestCase

from tests.forwarding.one_node import replica
from wingquay.forwarding.choice.replica_directory import ReplicaDirectory
from wingquay.forwarding.knowledge.node_groups import NodeGroups
from wingquay.forwarding.peers.request_rate import RequestRate
from wingquay.forwarding.peers.shard_placement import ShardPlacement, assign_bounded
from wingquay.forwarding.peers.zone_choice import choose_zones, spread_zones
from wingquay.forwarding.settings import ForwardingSettings
from wingquay.ports.peer_link import NodeIdentity, NodeRecord

ZONES = ("a", "b", "c", "d", "e", "f")
SHARDS = 87
FAST_PROCESSOR = 2.15
SLOW_PROCESSOR = 0.516


def shards(count: int = SHARDS) -> tuple[str, ...]:
    return tuple(f"s{number}" for number in range(count))


def identity(name: str) -> NodeIdentity:
    return NodeIdentity(f"{name}-1", "", name[0], name, 7)


def names_of(zones: tuple[str, ...], nodes: int) -> list[str]:
    """Return the names of all nodes; the first letter is the zone."""
    return [f"{zone}{number:02}" for zone in zones for number in range(nodes)]


class Fleet:
    """The nodes and replicas as seen by one node; a shard has replicas in adjacent zones."""

    def __init__(
        self,
        own: str = "a00",
        zones: tuple[str, ...] = ZONES,
        nodes: int = 32,
        copies: int = 2,
        fast_nodes: int = 3,
    ) -> None:
        settings = ForwardingSettings(zone=own[0])
        self.own = own
        self.groups = NodeGroups(settings, own)
        self.groups.set_max_shard_count(SHARDS)
        for name in names_of(zones, nodes):
            processor = FAST_PROCESSOR if int(name[1:]) >= nodes - fast_nodes else SLOW_PROCESSOR
            self.groups.put(name, NodeRecord(identity(name), processor))
        self.directory = ReplicaDirectory(settings, random.Random(1))
        for number, shard in enumerate(shards()):
            for copy in range(copies):
                zone = zones[(number + copy) % len(zones)]
                self.directory.put(replica(f"{shard}-{copy}", shard, zone), 0.0)
        self.rate = RequestRate()
        self.placement = ShardPlacement(settings, self.groups, self.directory, self.rate)

    def owners(self, now: float = 1.0) -> dict[str, str]:
        """Return the name of the owner of each shard."""
        found: Mapping[str, NodeIdentity | None] = self.placement.owners(shards(), now)
        return {shard: owner.host if owner else self.own for shard, owner in found.items()}


class AssignmentTest(TestCase):
    def test_no_name_has_more_than_an_even_share(self) -> None:
        names = dict.fromkeys(names_of(("a",), 8), 0.7)
        for count in (90, 135, 750):
            assigned = assign_bounded(names, shards(count))
            self.assertEqual(count, len(assigned))
            self.assertLessEqual(max(Counter(assigned.values()).values()), -(-count // 8))

    def test_shares_follow_the_processors(self) -> None:
        weights = {"strong": 2.0, "weak-1": 0.5, "weak-2": 0.5}
        shares = Counter(assign_bounded(weights, shards(90)).values())
        self.assertEqual({"strong": 60, "weak-1": 15, "weak-2": 15}, dict(shares))

    def test_few_shards_move_when_a_node_is_lost(self) -> None:
        names = names_of(("a",), 8)
        before = assign_bounded(dict.fromkeys(names, 1.0), shards(90))
        after = assign_bounded(dict.fromkeys(names[:7], 1.0), shards(90))
        moved = sum(before[shard] != after[shard] for shard in before)
        self.assertLess(moved, 45)


class ZonesTest(TestCase):
    def test_the_own_zone_comes_first_and_few_others_follow(self) -> None:
        pairs = {f"s{n}": {ZONES[n % 6], ZONES[(n + 1) % 6]} for n in range(60)}
        load: Counter[str] = Counter()
        for own in ZONES:
            chosen = choose_zones(own, list(ZONES), pairs)
            self.assertEqual(60, len(chosen))
            self.assertTrue(all(zone in pairs[shard] for shard, zone in chosen.items()))
            self.assertEqual(3, len(set(chosen.values())))
            self.assertTrue(all(chosen[shard] == own for shard in pairs if own in pairs[shard]))
            load.update(set(chosen.values()))
        self.assertEqual({3}, set(load.values()))

    def test_the_second_zone_differs_between_zones(self) -> None:
        zones = ["a", "b", "c", "d"]
        replica_zones = {f"s{n}": set(zones) - {zones[n % 4]} for n in range(40)}
        others = [set(choose_zones(own, zones, replica_zones).values()) - {own} for own in zones]
        self.assertEqual([{"b"}, {"c"}, {"d"}, {"a"}], others)

    def test_shards_without_replicas_are_left_out(self) -> None:
        replica_zones: dict[str, set[str]] = {"s0": {"a"}, "s1": set(), "s2": {"b"}}
        self.assertEqual({"s0": "a", "s2": "b"}, choose_zones("a", ["a", "b"], replica_zones))

    def test_many_zones_and_a_zone_without_nodes(self) -> None:
        zones = [f"z{number:02}" for number in range(14)]
        replica_zones = {f"s{n}": {zones[n % 14], zones[(n + 1) % 14]} for n in range(28)}
        chosen = choose_zones("elsewhere", zones, replica_zones)
        self.assertTrue(all(zone in replica_zones[shard] for shard, zone in chosen.items()))
        self.assertLessEqual(len(set(chosen.values())), 9)


class OwnersTest(TestCase):
    def test_every_owner_has_a_same_zone_replica(self) -> None:
        fleet = Fleet()
        owners = fleet.owners()
        self.assertEqual(set(shards()), set(owners))
        for shard, name in owners.items():
            self.assertIn(name[0], fleet.directory.zones_of(shard, 1.0))

    def test_the_number_of_owners_is_about_the_square_root_of_the_shards(self) -> None:
        owners = Counter(Fleet().owners().values())
        self.assertEqual(9, len(owners))
        self.assertLessEqual(max(owners.values()), 10)

    def test_all_nodes_agree_on_the_owner_in_a_zone(self) -> None:
        owners_by_shard_and_zone: dict[tuple[str, str], set[str]] = {}
        for own in ("a00", "a17", "b03", "c05", "d09", "e01", "f31"):
            for shard, name in Fleet(own).owners().items():
                owners_by_shard_and_zone.setdefault((shard, name[0]), set()).add(name)
        self.assertEqual({1}, {len(names) for names in owners_by_shard_and_zone.values()})

    def test_the_fastest_nodes_are_owners(self) -> None:
        self.assertTrue(all(int(name[1:]) >= 29 for name in Fleet().owners().values()))

    def test_an_owner_contacts_its_own_shards_itself(self) -> None:
        fleet = Fleet(own="a31")
        found = fleet.placement.owners(shards(), 1.0)
        self.assertIn(len([1 for owner in found.values() if owner is None]), range(9, 11))

    def test_failed_nodes_are_avoided_and_few_shards_move(self) -> None:
        fleet = Fleet()
        before = fleet.owners()
        lost = next(name for name in before.values() if name[0] == "a")
        fleet.groups.suspect(f"{lost}-1", 1.0)
        after = fleet.owners(1.1)
        self.assertNotIn(lost, after.values())
        self.assertEqual(set(shards()), set(after))
        moved = [shard for shard in before if before[shard] != after[shard]]
        self.assertLessEqual(len(moved), 20)
        self.assertEqual(before, fleet.owners(2.1))

    def test_zones_without_nodes_leave_their_shards_to_others_or_to_direct_sends(self) -> None:
        fleet = Fleet(nodes=4, copies=1)
        for name in names_of(("c",), 4):
            fleet.groups.remove(name)
        lacking = {shard for number, shard in enumerate(shards()) if ZONES[number % 6] == "c"}
        self.assertEqual(set(shards()) - lacking, set(fleet.owners()))

    def test_too_few_nodes_use_no_owners(self) -> None:
        self.assertEqual({}, Fleet(zones=("a", "b"), nodes=1, fast_nodes=0).owners())

    def test_a_placement_follows_replicas_within_seconds(self) -> None:
        fleet = Fleet()
        fleet.owners(1.0)
        for number, shard in enumerate(shards()):
            for copy in range(2):
                fleet.directory.remove(f"{shard}-{copy}")
            fleet.directory.put(replica(f"{shard}-n", shard, ZONES[(number + 3) % 6]), 1.0)
        for shard, name in fleet.owners(3.1).items():
            self.assertIn(name[0], fleet.directory.zones_of(shard, 3.1))


class LoadTest(TestCase):
    def requests(self, fleet: Fleet, per_second: float) -> None:
        """Count requests at this node, at the rate of every other node, for half a minute."""
        for number in range(int(30 * per_second)):
            fleet.rate.count(number / per_second)

    def test_more_nodes_own_shards_as_requests_grow(self) -> None:
        sizes = []
        for per_second in (0.15, 0.5, 2.0, 8.0):
            owned: set[str] = set()
            for number in range(12):
                fleet = Fleet(own=f"a{number:02}")
                self.requests(fleet, per_second)
                owned |= {name for name in fleet.owners(30.0).values() if name[0] == "a"}
            sizes.append(len(owned))
        self.assertEqual(sorted(sizes), sizes)
        self.assertEqual(3, sizes[0])
        self.assertGreater(sizes[2], 2 * sizes[0])

    def test_the_number_of_sharing_nodes_grows_with_the_rate(self) -> None:
        fleet = Fleet()
        self.assertEqual(2, fleet.placement.sharing_nodes("s0", 1.0))
        self.requests(fleet, 1.0)
        self.assertGreater(fleet.placement.sharing_nodes("s0", 30.0), 2)

    def test_the_rate_decays(self) -> None:
        rate = RequestRate()
        for number in range(200):
            rate.count(number / 2.0)
        self.assertAlmostEqual(2.0, rate.per_second(100.0), delta=0.1)
        self.assertLess(rate.per_second(130.0), 0.15)


class SpreadTest(TestCase):
    """Zones with too few nodes for the shards of a wide request."""

    SHARDS = tuple(f"s{number:02}" for number in range(90))

    def spread(self, nodes_per_zone: dict[str, int], replica_zones: str = "abc") -> Counter[str]:
        zones = dict.fromkeys(self.SHARDS, "a")
        by_shard = {shard: set(replica_zones) for shard in self.SHARDS}
        return Counter(spread_zones("a", nodes_per_zone, by_shard, zones).values())

    def test_a_zone_with_enough_nodes_keeps_its_requests(self) -> None:
        self.assertEqual({"a": 90}, self.spread({"a": 19, "b": 20, "c": 18, "d": 19}))
        self.assertEqual({"a": 90}, self.spread({"a": 8, "b": 8, "c": 8}))

    def test_small_zones_share_by_their_nodes(self) -> None:
        self.assertEqual({"a": 45, "b": 45}, self.spread({"a": 4, "b": 4, "c": 4, "d": 4}))
        shares = self.spread({"a": 2, "b": 2, "c": 4, "d": 4})
        self.assertEqual({"a": 23, "b": 23, "c": 44}, shares)

    def test_zones_without_replicas_are_left_out(self) -> None:
        self.assertEqual({"a": 90}, self.spread({"a": 4, "b": 4}, replica_zones="a"))

    def test_a_shard_with_replicas_in_one_zone_only_stays_there(self) -> None:
        replica_zones = {shard: {"d"} if shard == "s00" else {"a", "b"} for shard in self.SHARDS}
        zones = {shard: "d" if shard == "s00" else "a" for shard in self.SHARDS}
        nodes_per_zone = {"a": 2, "b": 2, "d": 1}
        spread = spread_zones("a", nodes_per_zone, replica_zones, zones)
        self.assertEqual("d", spread["s00"])
        self.assertEqual({"a", "b", "d"}, set(spread.values()))
