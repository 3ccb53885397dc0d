"""Each mechanism is needed: without it, some sequence of faults makes a request run twice.

Every case runs with all mechanisms and again without the one under test.
"""

from collections.abc import Callable

from testtools import TestCase

from tests.claims.world import SimulatedNode, World, quick_settings
from wingquay.claims.keys import claim_key, partition_of
from wingquay.model.identifiers import CallerName, NodeId, ServiceName, ZoneName
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.internal import ClaimDecisionKind

KEY = "k0"
PARTITION = partition_of(claim_key(CallerName("surveyor"), ServiceName("survey-intake"), KEY))

Case = Callable[[World], None]


def ids(nodes: list[SimulatedNode]) -> set[NodeId]:
    return {node.identity.node_id for node in nodes}


def holder(world: World, zone_index: int) -> SimulatedNode:
    """Return the node that holds the zone's assignment for the key, in its own zone's view."""
    zone = world.zones[zone_index]
    identity = world.running(zone)[0].machine.holder(zone, PARTITION)
    assert identity is not None
    return world.nodes[identity.node_id]


def other_than(world: World, node: SimulatedNode) -> SimulatedNode:
    """Return another node of the same zone."""
    return next(peer for peer in world.running(node.identity.zone) if peer is not node)


def separate(world: World, *groups: list[SimulatedNode]) -> None:
    """Cut groups off from each other without changing any node's view of the membership."""
    for group in groups:
        world.cut_off(ids(group))


def cut_zones(world: World) -> None:
    left, right = world.running(world.zones[0]), world.running(world.zones[1])
    world.cut_off(ids(left))
    world.submit(left[0], KEY)
    world.submit(right[0], KEY)
    world.advance(5.0)


def assignment_taken_over_from_a_live_holder(world: World) -> None:
    """The first submission uses the old holder of an assignment, the second the new one."""
    old = holder(world, 0)
    new = other_than(world, old)
    others = [node for node in world.running() if node is not old]
    # Voters learn of the takeover from the new holder only, not from the store.
    world.store.cut_off |= ids([node for node in world.running() if node is not new])
    for node in others:
        world.send_view(node, ids([old]))
    world.advance(5.0)
    middle, last = holder(world, 1), holder(world, 2)
    first_submitter = other_than(world, middle)
    world.send_membership(first_submitter)
    separate(world, [last], [new])
    world.network.cut.discard(frozenset(ids([last, new])))
    second_submitter = last
    world.submit(first_submitter, KEY)
    world.advance(5.0)
    world.submit(second_submitter, KEY)
    world.advance(5.0)


def new_holder_after_a_crash(world: World) -> None:
    """The second submission uses a crashed voter's successor and a voter not used before."""
    old, middle, last = holder(world, 0), holder(world, 1), holder(world, 2)
    separate(world, [last])
    world.submit(middle, KEY)
    world.advance(2.0)
    world.crash(old)
    # The node that ran the request cannot send the outcome to the voter that was cut off.
    world.network.cut = {frozenset(ids([middle, last]))}
    world.send_membership()
    world.advance(5.0)
    world.submit(last, KEY)
    world.advance(5.0)


def paused_holder(world: World) -> None:
    """A holder is paused until the rebuild wait of its successor is over, then resumes."""
    paused = holder(world, 0)
    successor = other_than(world, paused)
    paused.paused = True
    world.send_view(successor, ids([paused]))
    world.advance(
        world.settings.join_takeover_delay_seconds + world.settings.rebuild_wait_seconds + 5.0
    )
    world.submit(successor, KEY)
    world.advance(2.0)
    world.submit(paused, KEY)
    paused.pending_events.reverse()
    world.random.seed(1)
    world.resume(paused)
    world.advance(5.0)


class Mechanisms(TestCase):
    def check(self, mechanism: Mechanism, zone_count: int, case: Case) -> None:
        with_all = World(zone_count, 2, seed=1)
        with_all.settle()
        case(with_all)
        self.assertEqual([], with_all.violations)
        without_mechanism = World(zone_count, 2, 1, quick_settings(frozenset({mechanism})))
        without_mechanism.settle()
        case(without_mechanism)
        self.assertNotEqual([], without_mechanism.violations)

    def test_quorum(self) -> None:
        self.check(Mechanism.CLAIM_QUORUM, 2, cut_zones)

    def test_assignment_epochs(self) -> None:
        self.check(Mechanism.CLAIM_ASSIGNMENT_EPOCHS, 3, assignment_taken_over_from_a_live_holder)

    def test_rebuild(self) -> None:
        self.check(Mechanism.CLAIM_REBUILD, 3, new_holder_after_a_crash)

    def test_pause_detection(self) -> None:
        self.check(Mechanism.CLAIM_PAUSE_DETECTION, 1, paused_holder)


class CrossedTakeovers(TestCase):
    """Two zones' assignments are taken over at once, each with the other's old holder in view.

    If the voters alone agreed on epochs, each new holder could rebuild from the other zone's old
    one, and two disjoint groups of voters would each form a majority.
    """

    def test_no_two_disjoint_quorums_form(self) -> None:
        for zone_count in (2, 4):
            for left_submits_first in (True, False):
                world = self._crossed(zone_count)
                submitters = [self.left[0], self.right[0]]
                for submitter in submitters if left_submits_first else reversed(submitters):
                    world.submit(submitter, KEY)
                    world.advance(3.0)
                self.assertEqual([], world.violations)

    def _crossed(self, zone_count: int) -> World:
        world = World(zone_count, 2, seed=1)
        world.settle()
        old = [holder(world, index) for index in range(zone_count)]
        new = [other_than(world, old[0]), other_than(world, old[1])]
        self.left = [old[0], new[1], *old[2:3]]
        self.right = [new[0], old[1], *old[3:4]]
        world.store.cut_off |= ids(old)
        world.cut_off(ids(self.left))
        everyone = ids(world.running())
        for side in (self.left, self.right):
            for node in side:
                world.send_view(node, everyone - ids(side))
        world.advance(4.0)
        return world


class ZoneLists(TestCase):
    """A node that has not received two new zones counts two of three zones as a majority."""

    def test_voters_reject_claimants_with_another_zone_list(self) -> None:
        world = World(3, 2, seed=1)
        world.settle()
        uninformed = other_than(world, holder(world, 0))
        for name in ("z3", "z4"):
            world.start_node(ZoneName(name))
        world.send_membership()
        zones = (*world.zones, ZoneName("z3"), ZoneName("z4"))
        world.change_zones(zones, ids([uninformed]))
        world.advance(10.0)
        left = [uninformed, holder(world, 0), holder(world, 1)]
        right = [holder(world, index) for index in (2, 3, 4)]
        world.cut_off(ids(left))
        world.submit(uninformed, KEY)
        world.advance(3.0)
        second = world.submit(right[0], KEY)
        world.advance(3.0)
        self.assertIs(ClaimDecisionKind.GRANTED, second.decision)
        self.assertEqual([], world.violations)
