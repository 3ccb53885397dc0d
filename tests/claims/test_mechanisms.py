"""Each mechanism is needed: without it, some sequence of faults makes a request run twice.

Every case runs with all mechanisms and again without the one under test.
"""

from collections.abc import Callable

from testtools import TestCase

from tests.claims.claims_cluster import ClaimsCluster, SimulatedNode, quick_settings
from wingquay.claims.keys import claim_key, partition_of
from wingquay.model.identifiers import CallerName, NodeId, ServiceName, ZoneName
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.internal import ClaimDecisionKind

KEY = "k0"
PARTITION = partition_of(claim_key(CallerName("surveyor"), ServiceName("survey-intake"), KEY))

Case = Callable[[ClaimsCluster], None]


def ids(nodes: list[SimulatedNode]) -> set[NodeId]:
    return {node.identity.node_id for node in nodes}


def holder(cluster: ClaimsCluster, zone_index: int) -> SimulatedNode:
    """Return the designated holder of the zone's assignment for the key, in the zone's own view."""
    zone = cluster.zones[zone_index]
    identity = cluster.running(zone)[0].machine.designated_holder(zone, PARTITION)
    assert identity is not None
    return cluster.nodes[identity.node_id]


def other_than(cluster: ClaimsCluster, node: SimulatedNode) -> SimulatedNode:
    """Return another node of the same zone."""
    return next(peer for peer in cluster.running(node.identity.zone) if peer is not node)


def separate(cluster: ClaimsCluster, *groups: list[SimulatedNode]) -> None:
    """Cut groups off from each other without changing any node's view of the membership."""
    for group in groups:
        cluster.cut_off(ids(group))


def submit_on_both_sides_of_a_partition(cluster: ClaimsCluster) -> None:
    left, right = cluster.running(cluster.zones[0]), cluster.running(cluster.zones[1])
    cluster.cut_off(ids(left))
    cluster.submit(left[0], KEY)
    cluster.submit(right[0], KEY)
    cluster.advance(5.0)


def assignment_taken_over_from_a_live_holder(cluster: ClaimsCluster) -> None:
    """The first submission uses the old holder of an assignment, the second the new one."""
    old = holder(cluster, 0)
    new = other_than(cluster, old)
    others = [node for node in cluster.running() if node is not old]
    # Voters learn of the takeover from the new holder only, not from the store.
    cluster.store.cut_off |= ids([node for node in cluster.running() if node is not new])
    for node in others:
        cluster.send_view(node, ids([old]))
    cluster.advance(5.0)
    middle, last = holder(cluster, 1), holder(cluster, 2)
    first_submitter = other_than(cluster, middle)
    cluster.send_membership(first_submitter)
    separate(cluster, [last], [new])
    cluster.network.cut.discard(frozenset(ids([last, new])))
    second_submitter = last
    cluster.submit(first_submitter, KEY)
    cluster.advance(5.0)
    cluster.submit(second_submitter, KEY)
    cluster.advance(5.0)


def new_holder_after_a_crash(cluster: ClaimsCluster) -> None:
    """The second submission uses a crashed voter's successor and a voter not used before."""
    old, middle, last = holder(cluster, 0), holder(cluster, 1), holder(cluster, 2)
    separate(cluster, [last])
    cluster.submit(middle, KEY)
    cluster.advance(2.0)
    cluster.crash(old)
    # The node that ran the request cannot send the outcome to the voter that was cut off.
    cluster.network.cut = {frozenset(ids([middle, last]))}
    cluster.send_membership()
    cluster.advance(5.0)
    cluster.submit(last, KEY)
    cluster.advance(5.0)


def paused_holder(cluster: ClaimsCluster) -> None:
    """A holder is paused until the rebuild wait of its successor is over, then resumes."""
    paused = holder(cluster, 0)
    successor = other_than(cluster, paused)
    paused.paused = True
    cluster.send_view(successor, ids([paused]))
    cluster.advance(
        cluster.settings.join_takeover_delay_seconds + cluster.settings.rebuild_wait_seconds + 5.0
    )
    cluster.submit(successor, KEY)
    cluster.advance(2.0)
    cluster.submit(paused, KEY)
    paused.pending_events.reverse()
    cluster.random.seed(1)
    cluster.resume(paused)
    cluster.advance(5.0)


class Mechanisms(TestCase):
    def check(self, mechanism: Mechanism, zone_count: int, case: Case) -> None:
        with_all = ClaimsCluster(zone_count, 2, seed=1)
        with_all.settle()
        case(with_all)
        self.assertEqual([], with_all.violations)
        without_mechanism = ClaimsCluster(zone_count, 2, 1, quick_settings(frozenset({mechanism})))
        without_mechanism.settle()
        case(without_mechanism)
        self.assertNotEqual([], without_mechanism.violations)

    def test_quorum(self) -> None:
        self.check(Mechanism.CLAIM_QUORUM, 2, submit_on_both_sides_of_a_partition)

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
                cluster = self._crossed(zone_count)
                submitters = [self.left[0], self.right[0]]
                for submitter in submitters if left_submits_first else reversed(submitters):
                    cluster.submit(submitter, KEY)
                    cluster.advance(3.0)
                self.assertEqual([], cluster.violations)

    def _crossed(self, zone_count: int) -> ClaimsCluster:
        cluster = ClaimsCluster(zone_count, 2, seed=1)
        cluster.settle()
        old = [holder(cluster, index) for index in range(zone_count)]
        new = [other_than(cluster, old[0]), other_than(cluster, old[1])]
        self.left = [old[0], new[1], *old[2:3]]
        self.right = [new[0], old[1], *old[3:4]]
        cluster.store.cut_off |= ids(old)
        cluster.cut_off(ids(self.left))
        everyone = ids(cluster.running())
        for side in (self.left, self.right):
            for node in side:
                cluster.send_view(node, everyone - ids(side))
        cluster.advance(4.0)
        return cluster


class ZoneLists(TestCase):
    """A node that has not received two new zones counts two of three zones as a majority."""

    def test_voters_reject_claimants_with_another_zone_list(self) -> None:
        cluster = ClaimsCluster(3, 2, seed=1)
        cluster.settle()
        uninformed = other_than(cluster, holder(cluster, 0))
        for name in ("z3", "z4"):
            cluster.start_node(ZoneName(name))
        cluster.send_membership()
        zones = (*cluster.zones, ZoneName("z3"), ZoneName("z4"))
        cluster.change_zones(zones, ids([uninformed]))
        cluster.advance(10.0)
        left = [uninformed, holder(cluster, 0), holder(cluster, 1)]
        right = [holder(cluster, index) for index in (2, 3, 4)]
        cluster.cut_off(ids(left))
        cluster.submit(uninformed, KEY)
        cluster.advance(3.0)
        second = cluster.submit(right[0], KEY)
        cluster.advance(3.0)
        self.assertIs(ClaimDecisionKind.GRANTED, second.decision)
        self.assertEqual([], cluster.violations)
