"""Clusters detect joins, crashes, pauses and partitions, and declare no live node dead."""

import testtools

from tests.membership.simulated_cluster import SimulatedCluster
from wingquay.adapters import peer_codec
from wingquay.membership.replica_evidence import MAX_LEAVING_DETECTION_SECONDS
from wingquay.membership.settings import MembershipSettings
from wingquay.model.configuration import Configuration
from wingquay.ports.internal import (
    ConfigurationInForce,
    LeavingStarted,
    NewerRevisionReported,
    ReplicaObserved,
    ReplicaStateChanged,
)
from wingquay.ports.machine_directory import MachineEntry, MachineListRead, MachineState
from wingquay.ports.peer import MembershipMessage, ReplicaState

NODES = 24


class MembershipMachineTest(testtools.TestCase):
    def cluster(self, count=NODES, seed=1, **keywords):
        cluster = SimulatedCluster(seed, **keywords)
        cluster.start_nodes(count)
        cluster.run_until(cluster.is_settled, 60)
        return cluster

    def victim(self, cluster, position=-1):
        return list(cluster.nodes.values())[position]

    def test_nodes_find_each_other_from_seeds(self):
        self.cluster()

    def test_first_node_alone_is_available(self):
        cluster = self.cluster(count=1)
        self.assertEqual(frozenset(cluster.nodes), self.victim(cluster).available)

    def test_only_the_killed_node_is_declared_dead_at_every_node(self):
        cluster = self.cluster()
        victim = self.victim(cluster)
        cluster.crash(victim)
        cluster.run_until(lambda: cluster.count_seeing(victim.identity.node_id) == 0, 20)
        cluster.run(60)
        self.assertTrue(cluster.is_settled())
        self.assertEqual(0, cluster.total("membership_refutations_total"))

    def test_restarted_node_replaces_its_predecessor_at_once(self):
        cluster = self.cluster()
        victim = self.victim(cluster)
        cluster.crash(victim)
        cluster.start_node(NODES - 1)
        cluster.run_until(cluster.is_settled, 5)

    def test_leaving_node_is_unavailable_and_not_suspected(self):
        cluster = self.cluster()
        victim = self.victim(cluster)
        node_id = victim.identity.node_id
        cluster.deliver(victim, LeavingStarted())
        cluster.run_until(lambda: cluster.count_seeing(node_id) == 0, 3)
        cluster.run(120)
        self.assertTrue(all(node_id in node.leaving for node in cluster.nodes.values()))
        cluster.crash(victim)
        cluster.run_until(cluster.is_settled, 20)

    def test_loss_of_datagrams_causes_no_deaths(self):
        cluster = self.cluster()
        cluster.loss = 0.1
        cluster.run(600)
        self.assertEqual(0, cluster.total("membership_deaths_total"))
        cluster.loss = 0.0
        cluster.run_until(cluster.is_settled, 60)

    def test_short_pauses_cause_no_deaths(self):
        cluster = self.cluster()
        for node in list(cluster.nodes.values()):
            cluster.pause(node, 1.5)
            cluster.run(5)
        self.assertEqual(0, cluster.total("membership_deaths_total"))

    def test_node_paused_for_long_declares_nobody_dead_and_returns(self):
        cluster = self.cluster()
        victim = self.victim(cluster)
        cluster.pause(victim, 60)
        cluster.run(60)
        self.assertEqual(0, cluster.count_seeing(victim.identity.node_id))
        cluster.run_until(cluster.is_settled, 10)
        self.assertEqual(0, victim.counts["membership_deaths_total"])

    def test_simultaneous_pause_of_all_nodes_causes_no_deaths(self):
        cluster = self.cluster()
        for node in cluster.nodes.values():
            cluster.pause(node, 30)
        cluster.run(90)
        self.assertEqual(0, cluster.total("membership_deaths_total"))
        self.assertTrue(cluster.is_settled())

    def test_node_with_lost_outgoing_messages_is_removed_and_returns(self):
        cluster = self.cluster()
        node_id = self.victim(cluster).identity.node_id
        cluster.lost_from.add(node_id)
        cluster.run_until(lambda: cluster.count_seeing(node_id) == 0, 60)
        self.assertEqual({NODES - 1}, self.sizes_without(cluster, node_id))
        cluster.lost_from.clear()
        cluster.run_until(cluster.is_settled, 60)

    def test_node_with_lost_incoming_messages_is_removed_and_returns(self):
        cluster = self.cluster()
        node_id = self.victim(cluster).identity.node_id
        cluster.lost_to.add(node_id)
        cluster.run_until(lambda: cluster.count_seeing(node_id) == 0, 60)
        self.assertEqual({NODES - 1}, self.sizes_without(cluster, node_id))
        cluster.lost_to.clear()
        cluster.run_until(cluster.is_settled, 60)

    def sizes_without(self, cluster, node_id):
        others = [node for key, node in cluster.nodes.items() if key != node_id]
        return {len(node.available) for node in others}

    def test_cluster_recovers_from_a_network_partition(self):
        cluster = self.cluster()
        cluster.cut_off("dej")
        cluster.run(60)
        sizes = {len(node.available) for node in cluster.nodes.values()}
        self.assertEqual({NODES // 4, NODES - NODES // 4}, sizes)
        cluster.heal()
        cluster.run_until(cluster.is_settled, 60)

    def test_partition_longer_than_the_memory_of_dead_nodes_heals_through_seeds(self):
        settings = MembershipSettings(forget_dead_seconds=60)
        cluster = self.cluster(settings=settings)
        cluster.cut_off("dej")
        cluster.run(300)
        cluster.heal()
        cluster.run_until(cluster.is_settled, 120)

    def test_hundreds_of_restarts_leave_no_stale_nodes(self):
        cluster = self.cluster()
        for _ in range(200):
            index = cluster.random.randrange(NODES)
            host = f"10.0.0.{index + 1}"
            for node in list(cluster.nodes.values()):
                if node.identity.host == host:
                    cluster.crash(node)
            cluster.run(cluster.random.uniform(0, 4))
            cluster.start_node(index)
        cluster.run_until(cluster.is_settled, 60)

    def test_nodes_without_seeds_join_through_the_machine_list(self):
        cluster = SimulatedCluster(1)
        cluster.machine_list = MachineListRead(
            tuple(
                MachineEntry(f"10.0.0.{number}", 7000, "dej", MachineState.LIVE)
                for number in range(5, 9)
            )
        )
        for index in range(4, 8):
            cluster.start_node(index)
        cluster.run_until(cluster.is_settled, 60)

    def test_lagging_machine_list_does_not_remove_responsive_nodes(self):
        cluster = self.cluster()
        entries = [
            MachineEntry(node.identity.host, 7000, node.identity.zone, MachineState.LEAVING)
            for node in cluster.nodes.values()
        ]
        cluster.machine_list = MachineListRead(tuple(entries))
        cluster.run(120)
        self.assertTrue(cluster.is_settled())
        self.assertEqual(0, cluster.total("membership_suspicions_total"))

    def test_newer_revision_reaches_all_nodes(self):
        cluster = self.cluster()
        in_force = set()

        def fetch(node, event):
            if isinstance(event, NewerRevisionReported):
                in_force.add(node.identity.node_id)
                cluster.deliver(node, ConfigurationInForce(Configuration(revision=event.revision)))

        cluster.on_notify = fetch
        first = self.victim(cluster)
        cluster.deliver(first, ConfigurationInForce(Configuration(revision=7)))
        everyone_else = set(cluster.nodes) - {first.identity.node_id}
        cluster.run_until(lambda: in_force == everyone_else, 4)

    def test_replica_leaving_is_spread_to_all_nodes_within_the_bound(self):
        cluster = self.cluster()
        cluster.deliver(self.victim(cluster), ReplicaObserved("r1", ReplicaState.LEAVING))
        state_change = ReplicaStateChanged("r1", ReplicaState.LEAVING)
        bound = MAX_LEAVING_DETECTION_SECONDS
        cluster.run_until(
            lambda: all(state_change in node.notified for node in cluster.nodes.values()), bound
        )

    def test_joining_node_receives_leaving_replicas(self):
        cluster = self.cluster()
        cluster.deliver(self.victim(cluster), ReplicaObserved("r1", ReplicaState.LEAVING))
        cluster.run(60)
        newcomer = cluster.start_node(NODES)
        state_change = ReplicaStateChanged("r1", ReplicaState.LEAVING)
        cluster.run_until(lambda: state_change in newcomer.notified, 10)

    def test_datagram_size_is_bounded_with_many_pending_updates(self):
        sizes = []

        def watch(sender, to, message):
            if isinstance(message, MembershipMessage):
                sizes.append(len(peer_codec.encode(message, sender)))

        cluster = self.cluster(watcher=watch)
        for number in range(300):
            node = self.victim(cluster, number % NODES)
            cluster.deliver(node, ReplicaObserved(f"replica-{number}", ReplicaState.LEAVING))
        cluster.run(30)
        self.assertLessEqual(max(sizes), cluster.settings.gossip_maximum_bytes + 200)

    def test_same_seed_gives_the_same_run(self):
        def trace(seed):
            sent = []
            cluster = SimulatedCluster(seed, watcher=lambda *message: sent.append(message))
            cluster.start_nodes(8)
            cluster.loss = 0.2
            cluster.run(30)
            return sent

        self.assertEqual(trace(5), trace(5))
        self.assertNotEqual(trace(5), trace(6))
