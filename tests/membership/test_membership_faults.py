"""Random sequences of faults must not leave nodes with wrong membership views."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.membership.simulated_cluster import SEED_COUNT, ZONES, SimulatedCluster
from wingquay.ports.internal import LeavingStarted

ADDRESSES = 9
INDEXES = st.integers(0, ADDRESSES - 1)


class MembershipFaults(RuleBasedStateMachine):
    """After any sequence of faults has ended, every node sees exactly the running nodes."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.cluster = SimulatedCluster(seed)
        self.running = dict(enumerate(self.cluster.start_nodes(ADDRESSES)))
        self.cluster.run_until(self.cluster.is_settled, 60)

    @rule(index=INDEXES)
    def crash(self, index):
        node = self.running.pop(index, None)
        if node is not None:
            self.cluster.crash(node)

    @rule(index=INDEXES)
    def restart(self, index):
        self.crash(index)
        self.running[index] = self.cluster.start_node(index)

    @rule(index=INDEXES, seconds=st.floats(0.1, 30))
    def pause(self, index, seconds):
        if index in self.running:
            self.cluster.pause(self.running[index], seconds)

    @rule(index=INDEXES)
    def leave(self, index):
        if index in self.running:
            self.cluster.deliver(self.running[index], LeavingStarted())

    @rule(zone=st.sampled_from(ZONES))
    def cut_off(self, zone):
        self.cluster.cut_off(zone)

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.5]))
    def lose_datagrams(self, loss):
        self.cluster.loss = loss

    @rule(index=INDEXES, incoming=st.booleans())
    def lose_one_way(self, index, incoming):
        if index in self.running:
            lost = self.cluster.lost_to if incoming else self.cluster.lost_from
            lost.add(self.running[index].identity.node_id)

    @rule()
    def restore_links(self):
        self.cluster.lost_from.clear()
        self.cluster.lost_to.clear()

    @rule(seconds=st.floats(0.1, 40))
    def run_clock(self, seconds):
        self.cluster.run(seconds)

    @invariant()
    def nodes_see_themselves(self):
        for node_id, node in self.cluster.nodes.items():
            assert node_id in node.available | node.leaving
            assert not node.available & node.leaving

    def teardown(self):
        self.heal()
        self.restore_links()
        self.lose_datagrams(0.0)
        for index in range(SEED_COUNT):
            if index not in self.running:
                self.restart(index)
        self.cluster.run(30)
        self.cluster.run_until(self.cluster.is_settled, 120)


MembershipFaults.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
TestMembershipFaults = MembershipFaults.TestCase
