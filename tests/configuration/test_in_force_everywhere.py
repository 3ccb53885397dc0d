"""A confirmed revision reaches every node in time, and no node returns to an older one."""

from random import Random

from testtools import TestCase

from tests.configuration.examples import assign, document, price
from tests.configuration.fleet import check_history, configured_cluster, confirm, propose_plan
from wingquay.configuration import dissemination as dissemination_module
from wingquay.configuration import watcher as watcher_module
from wingquay.configuration.document import pack_body
from wingquay.configuration.in_force import InForceConfiguration
from wingquay.configuration.keys import assignments_prefix
from wingquay.configuration.node_view import NodeView
from wingquay.model.identifiers import Revision, ZoneName
from wingquay.ports.operator import ConfirmPlan
from wingquay.ports.peer import ConfigurationBody, PeerReceived
from wingquay.simulation.configuration_cluster import ConfigurationCluster
from wingquay.simulation.hollow_node import HollowNode
from wingquay.simulation.models.store_model import StoreSettings
from wingquay.simulation.models.store_operations import prefix_span

IN_FORCE_SECONDS = 4.0
"""Maximum time from a confirm until the revision is in force on every node."""


def watchers(cluster: ConfigurationCluster, zone: str) -> list[HollowNode]:
    """Return the nodes of a zone that hold a watcher assignment."""
    return [
        node
        for node in cluster.nodes
        if node.identity.zone == zone and node.machine.holds_watcher_assignment
    ]


class DisseminationTest(TestCase):
    """Dissemination of a revision from a confirm to every node."""

    def reaches_every_node(self, cluster: ConfigurationCluster, revision: int = 2) -> bool:
        """Run the cluster; return whether all nodes get ``revision`` in ``IN_FORCE_SECONDS``."""
        reached = cluster.run_until(lambda: cluster.lowest_revision() == revision, IN_FORCE_SECONDS)
        check_history(cluster)
        return reached

    def test_revision_reaches_every_node_of_every_zone(self) -> None:
        cluster = configured_cluster(3, {"cluj-a": 12, "cluj-b": 12, "dej": 12})
        node = cluster.nodes[5]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        self.assertTrue(self.reaches_every_node(cluster))

    def test_revision_reaches_every_node_despite_message_loss(self) -> None:
        cluster = configured_cluster(4, {"cluj-a": 12, "cluj-b": 12})
        node = cluster.nodes[5]
        plan = propose_plan(cluster, node, assign())
        cluster.message_loss = 0.33
        confirm(cluster, node, plan)
        self.assertTrue(self.reaches_every_node(cluster))

    def test_announcements_alone_reach_every_node(self) -> None:
        cluster = configured_cluster(5, {"cluj-a": 12, "cluj-b": 12})
        cluster.probes_on = False
        for node in cluster.nodes[1:]:
            node.store_cut = True
        node = cluster.nodes[0]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        self.assertTrue(self.reaches_every_node(cluster))

    def test_anti_entropy_alone_reaches_every_node(self) -> None:
        for name in ("ANNOUNCE_ROUNDS", "NODES_NOTIFIED_PER_ZONE"):
            self.patch(dissemination_module, name, 0)
        cluster = configured_cluster(5)
        cluster.probes_on = False
        for node in cluster.nodes[1:]:
            node.store_cut = True
        node = cluster.nodes[0]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        self.assertTrue(cluster.run_until(lambda: cluster.lowest_revision() == 2, 200.0))

    def test_watchers_pass_the_revision_on_if_the_confirming_node_crashes(self) -> None:
        cluster = configured_cluster(6)
        for node in cluster.nodes:
            if not node.machine.holds_watcher_assignment:
                break
        plan = propose_plan(cluster, node, assign())
        swaps = cluster.counts["store_CompareAndSwap"]
        cluster.command(node, ConfirmPlan(plan_id=plan))
        cluster.run_until(lambda: cluster.counts["store_CompareAndSwap"] == swaps + 2, 1.0, 0.0001)
        cluster.restart(node)
        self.assertTrue(self.reaches_every_node(cluster))

    def test_partitioned_zone_keeps_its_revision_and_catches_up(self) -> None:
        cluster = configured_cluster(7)
        cluster.cut("cluj-a", "cluj-b")
        for node in cluster.nodes:
            node.store_cut = node.identity.zone == "cluj-b"
        node = cluster.nodes[0]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        cluster.run(30.0)
        revisions = {n.identity.zone: n.machine.revision for n in cluster.nodes}
        self.assertEqual({"cluj-a": 2, "cluj-b": 1}, revisions)
        cluster.heal()
        self.assertTrue(self.reaches_every_node(cluster))

    def test_zone_without_the_store_gets_the_revision_from_another_zone(self) -> None:
        cluster = configured_cluster(8)
        for node in cluster.nodes:
            node.store_cut = node.identity.zone == "cluj-b"
        node = cluster.nodes[0]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        self.assertTrue(self.reaches_every_node(cluster))

    def test_polling_detects_a_change_skipped_by_the_watch(self) -> None:
        cluster = configured_cluster(9)
        zone_b = [node for node in cluster.nodes if node.identity.zone == "cluj-b"]
        cluster.cut("cluj-a", "cluj-b")
        cluster.store.skip_watch_events(10)
        node = cluster.nodes[0]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        reached = cluster.run_until(
            lambda: all(other.machine.revision == 2 for other in zone_b), 20.0
        )
        self.assertTrue(reached)

    def test_broken_watch_is_restarted_after_a_read(self) -> None:
        cluster = configured_cluster(10)
        self.patch(watcher_module, "POLL_INTERVAL_SECONDS", 1000.0)
        cluster.run(20.0)
        zone_b = [node for node in cluster.nodes if node.identity.zone == "cluj-b"]
        node = cluster.nodes[0]
        plan = propose_plan(cluster, node, assign())
        cluster.cut("cluj-a", "cluj-b")
        cluster.store.break_watches("compacted", cluster.now)
        confirm(cluster, node, plan)
        self.assertTrue(
            cluster.run_until(lambda: all(o.machine.revision == 2 for o in zone_b), 4.0)
        )

    def test_stale_and_invalid_bodies_are_ignored(self) -> None:
        cluster = configured_cluster(11)
        node, other = cluster.nodes[0], cluster.nodes[1]
        confirm(cluster, node, propose_plan(cluster, node, assign()))
        self.assertTrue(self.reaches_every_node(cluster))
        stale = document(revision=1)
        wrong_revision = document(revision=3)
        for revision, body in (
            (1, stale.body),
            (7, wrong_revision.body),
            (8, b"not a document"),
        ):
            message = ConfigurationBody(Revision(revision), pack_body(body))
            node.machine.handle(PeerReceived(other.identity, message), cluster.now)
            self.assertEqual(2, node.machine.revision)
        truncated = ConfigurationBody(Revision(9), pack_body(wrong_revision.body)[:-9])
        node.machine.handle(PeerReceived(other.identity, truncated), cluster.now)
        self.assertEqual(2, node.machine.revision)

    def test_different_documents_of_one_revision_are_reported(self) -> None:
        view = NodeView(configured_cluster(2).nodes[0].identity, Random(1))
        in_force = InForceConfiguration(view)
        in_force.apply(document(confirm_id="one"), 0.0, "store")
        again = in_force.apply(document(confirm_id="one"), 1.0, "peer")
        other = in_force.apply(document(confirm_id="other"), 1.0, "peer")
        self.assertEqual([], again)
        self.assertEqual(["configuration_forked"], [getattr(a, "message", "") for a in other])
        assert in_force.document is not None
        self.assertEqual("one", in_force.document.configuration.confirm_id)


class StartTest(TestCase):
    """Nodes that start get the configuration from peers or the store."""

    def test_new_node_gets_the_configuration_from_peers_while_the_store_is_down(self) -> None:
        cluster = configured_cluster(12)
        cluster.store.refuse_until(cluster.now + 600.0, cluster.now)
        restarted = cluster.restart(cluster.nodes[2])
        self.assertTrue(cluster.run_until(lambda: restarted.ready, 5.0))
        self.assertEqual(1, restarted.machine.revision)

    def test_node_without_peers_and_store_is_not_ready(self) -> None:
        cluster = configured_cluster(13)
        cluster.cut("cluj-a", "cluj-b")
        cluster.store.refuse_until(cluster.now + 60.0, cluster.now)
        zone_a = [node for node in cluster.nodes if node.identity.zone == "cluj-a"]
        restarted = [cluster.restart(node) for node in zone_a]
        cluster.run(50.0)
        self.assertEqual([False] * 3, [node.ready for node in restarted])
        cluster.run(40.0)
        self.assertEqual([True] * 3, [node.ready for node in restarted])

    def test_simultaneous_start_of_all_nodes_does_not_overload_the_store(self) -> None:
        settings = StoreSettings(rate_per_second=20.0, burst=20.0)
        cluster = configured_cluster(14, {"cluj-a": 30, "cluj-b": 30}, settings)
        for node in list(cluster.nodes):
            cluster.restart(node)
        before = cluster.counts["store_Read"]
        self.assertTrue(cluster.run_until(lambda: cluster.lowest_revision() == 1, 5.0))
        self.assertLess(cluster.counts["store_Read"] - before, 40)


class WatcherTest(TestCase):
    """Two nodes of each zone watch the store, and none acts after its lease has expired."""

    def assignment_keys(self, cluster: ConfigurationCluster, zone: str) -> list[bytes]:
        span = prefix_span(assignments_prefix(ZoneName(zone)))
        return [entry.key for entry in cluster.store.state.read(span)]

    def test_two_nodes_of_each_zone_hold_assignments(self) -> None:
        cluster = configured_cluster(20, {"cluj-a": 8, "cluj-b": 2})
        for zone in ("cluj-a", "cluj-b"):
            self.assertEqual(2, len(watchers(cluster, zone)))
            self.assertEqual(2, len(self.assignment_keys(cluster, zone)))

    def test_no_node_requests_a_lease_while_all_assignments_are_held(self) -> None:
        cluster = configured_cluster(20, {"cluj-a": 8})
        leases = cluster.counts["store_GrantLease"]
        cluster.run(60.0)
        self.assertEqual(leases, cluster.counts["store_GrantLease"])

    def test_watches_that_break_repeatedly_are_restarted_with_backoff(self) -> None:
        cluster = configured_cluster(25, {"cluj-a": 2})
        cluster.forget_store_requests()

        def break_again() -> None:
            cluster.store.break_watches("the store limits the rate", cluster.now)
            cluster.call_later(0.05, break_again)

        break_again()
        cluster.run(60.0)
        # Two watchers: 40 renewals, 12 polls, and about 20 watches with one read each.
        self.assertLess(cluster.store_request_count(), 150)

    def test_assignment_of_a_crashed_holder_is_acquired_by_another_node(self) -> None:
        cluster = configured_cluster(21, {"cluj-a": 8})
        for node in watchers(cluster, "cluj-a"):
            cluster.restart(node)
        cluster.run(30.0)
        self.assertEqual(2, len(watchers(cluster, "cluj-a")))

    def test_planned_stop_releases_the_assignment_at_once(self) -> None:
        cluster = configured_cluster(22, {"cluj-a": 2})
        cluster.stop(watchers(cluster, "cluj-a")[0])
        cluster.run(0.1)
        self.assertEqual(1, len(self.assignment_keys(cluster, "cluj-a")))

    def test_holder_suspended_past_its_lease_does_not_act(self) -> None:
        cluster = configured_cluster(23, {"cluj-a": 8})
        suspended = watchers(cluster, "cluj-a")[0]
        others = [node for node in cluster.nodes if node is not suspended]
        cluster.pause(suspended, 25.0)
        cluster.run(20.0)
        confirm(cluster, others[0], propose_plan(cluster, others[0], price("spare", 3)))
        # The watch event that was queued during the pause must not cause any message.
        machine = suspended.machine
        cluster.run(4.9)
        seen = [event for event in suspended.waiting if type(event).__name__ == "WatchChanged"]
        self.assertNotEqual([], seen)
        self.assertEqual(
            [], [a for a in machine.handle(seen[0], cluster.now) if is_peer_message(a)]
        )
        self.assertFalse(machine.holds_watcher_assignment)
        self.assertEqual(1, machine.revision)

    def test_lease_that_expired_in_the_store_ends_the_assignment(self) -> None:
        cluster = configured_cluster(24, {"cluj-a": 2})
        holders = watchers(cluster, "cluj-a")
        for lease_id in range(1, 50):
            cluster.store.lapse_lease(lease_id, cluster.now)
        cluster.run(3.5)
        self.assertEqual(2, sum(node.logs["watcher_assignment_ended"] for node in holders))


def is_peer_message(action: object) -> bool:
    """Whether an action sends something to a peer."""
    return type(action).__name__ == "SendToPeer"
