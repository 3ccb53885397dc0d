"""Evidence about replicas: which source decides, and what is spread."""

import testtools

from wingquay.membership.replica_evidence import (
    MAX_LEAVING_DETECTION_SECONDS,
    Evidence,
    ReplicaEvidence,
    ReplicaEvidenceSettings,
    effective_state,
    state_to_spread,
)
from wingquay.membership.replica_table import ReplicaTable
from wingquay.model.answer import HeldVersions
from wingquay.model.configuration import (
    Configuration,
    Deployment,
    PriorityClass,
    Replica,
    Service,
    Shard,
)
from wingquay.ports.internal import ReplicaObserved, ReplicaStateChanged
from wingquay.ports.machine_directory import MachineEntry, MachineState
from wingquay.ports.peer import ReplicaState, ReplicaUpdate

SETTINGS = ReplicaEvidenceSettings()
SERVING, LEAVING, GONE = ReplicaState.SERVING, ReplicaState.LEAVING, ReplicaState.GONE
NOW = 100.0


def effective(now=NOW, **evidence):
    return effective_state(ReplicaEvidence(**evidence), SETTINGS, now)


def spread(now=NOW, **evidence):
    return state_to_spread(ReplicaEvidence(**evidence), SETTINGS, now)


class ReplicaEvidenceTest(testtools.TestCase):
    def test_fresh_own_evidence_decides(self):
        for state in ReplicaState:
            self.assertEqual(state, effective(own=Evidence(state, NOW - 1)))

    def test_one_other_source_does_not_override_fresh_own_evidence(self):
        own = Evidence(SERVING, NOW - 1)
        self.assertEqual(SERVING, effective(own=own, machine_list=Evidence(LEAVING, NOW)))
        self.assertEqual(SERVING, effective(own=own, gossip=Evidence(LEAVING, NOW)))

    def test_two_other_sources_override_own_evidence(self):
        others = {"machine_list": Evidence(LEAVING, NOW), "gossip": Evidence(GONE, NOW)}
        self.assertEqual(GONE, effective(own=Evidence(SERVING, NOW - 1), **others))

    def test_one_source_is_enough_without_fresh_own_evidence(self):
        stale = Evidence(SERVING, NOW - SETTINGS.own_fresh_seconds - 0.1)
        self.assertEqual(LEAVING, effective(machine_list=Evidence(LEAVING, NOW)))
        self.assertEqual(LEAVING, effective(own=stale, machine_list=Evidence(LEAVING, NOW)))
        self.assertEqual(LEAVING, effective(own=stale, gossip=Evidence(LEAVING, NOW)))

    def test_newer_serving_gossip_overrides_an_older_list(self):
        others = {"machine_list": Evidence(LEAVING, NOW - 5), "gossip": Evidence(SERVING, NOW)}
        self.assertEqual(SERVING, effective(**others))

    def test_replica_serving_after_leaving_stays_leaving_for_return_seconds(self):
        evidence = ReplicaEvidence().with_own(LEAVING, NOW).with_own(SERVING, NOW + 1)
        self.assertEqual(LEAVING, effective_state(evidence, SETTINGS, NOW + 1))
        later = NOW + SETTINGS.return_seconds
        evidence = evidence.with_own(SERVING, later)
        self.assertEqual(SERVING, effective_state(evidence, SETTINGS, later))

    def test_own_leaving_evidence_is_spread_at_once(self):
        self.assertEqual(LEAVING, spread(own=Evidence(LEAVING, NOW)))
        same = Evidence(LEAVING, NOW - 1)
        self.assertIsNone(spread(own=Evidence(LEAVING, NOW), gossip=same))

    def test_wrong_leaving_gossip_is_corrected_only_after_return_seconds(self):
        wrong_gossip = Evidence(LEAVING, NOW - 1)
        own = {"own": Evidence(SERVING, NOW), "own_serving_since": NOW - 50}
        self.assertIsNone(spread(gossip=wrong_gossip, **own))
        older = Evidence(LEAVING, NOW - SETTINGS.return_seconds)
        self.assertEqual(SERVING, spread(gossip=older, **own))

    def test_list_is_spread_only_without_gossip_and_own_evidence(self):
        machine_list = Evidence(LEAVING, NOW)
        self.assertEqual(LEAVING, spread(machine_list=machine_list))
        self.assertIsNone(spread(machine_list=machine_list, gossip=Evidence(SERVING, NOW - 500)))
        self.assertIsNone(spread(machine_list=machine_list, own=Evidence(SERVING, NOW)))


REPLICA = Replica(replica_id="r1", zone="dej", host="10.1.0.1", port=80)
CONFIGURATION = Configuration(
    deployments=(Deployment(name="ro-nord", zones=("dej",)),),
    classes=(PriorityClass(name="top", price=1, promise_seconds=1),),
    services=(
        Service(
            name="coverage-lookup",
            deployment="ro-nord",
            kinds=(),
            shards=(Shard(shard_id="s1", replicas=(REPLICA,)),),
        ),
    ),
)


class ReplicaTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = ReplicaTable(SETTINGS)
        self.table.configure(CONFIGURATION)

    def apply_list(self, state, now):
        return self.table.apply_machine_list([MachineEntry("10.1.0.1", 80, "dej", state)], now)

    def test_drain_flag_is_reported_and_spread_once(self):
        changes = self.table.observe(ReplicaObserved("r1", LEAVING), NOW)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], changes.state_changes)
        self.assertEqual([ReplicaUpdate("r1", LEAVING, 1)], changes.urgent_updates)
        again = self.table.observe(ReplicaObserved("r1", LEAVING), NOW + 1)
        self.assertEqual(([], []), (again.state_changes, again.urgent_updates))

    def test_gossip_before_the_configuration_is_reported_again_with_it(self):
        table = ReplicaTable(SETTINGS)
        table.apply_gossip(ReplicaUpdate("r1", LEAVING, 1), NOW)
        changes = table.configure(CONFIGURATION)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], changes.state_changes)

    def test_greater_version_overrides_and_leaving_wins_a_tie(self):
        self.table.apply_gossip(ReplicaUpdate("r1", SERVING, 5), NOW)
        self.assertIsNone(self.table.apply_gossip(ReplicaUpdate("r1", LEAVING, 4), NOW))
        changes = self.table.apply_gossip(ReplicaUpdate("r1", LEAVING, 5), NOW)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], changes.state_changes)
        self.assertIsNone(self.table.apply_gossip(ReplicaUpdate("r1", SERVING, 5), NOW))
        self.assertEqual([ReplicaUpdate("r1", LEAVING, 5)], self.table.not_serving_updates())

    def test_gossip_takes_effect_within_the_bound_as_own_evidence_ages(self):
        self.table.observe(ReplicaObserved("r1", SERVING), NOW)
        changes = self.table.apply_gossip(ReplicaUpdate("r1", LEAVING, 1), NOW + 0.5)
        self.assertEqual([], changes.state_changes)
        changes = self.table.tick(NOW + MAX_LEAVING_DETECTION_SECONDS)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], changes.state_changes)

    def test_stale_list_does_not_override_own_evidence(self):
        for second in range(20):
            changes = self.table.observe(ReplicaObserved("r1", SERVING), NOW + second)
            self.assertEqual([], changes.state_changes)
            changes = self.apply_list(MachineState.LEAVING, NOW + second + 0.5)
            self.assertEqual(([], []), (changes.state_changes, changes.urgent_updates))

    def test_wrong_leaving_gossip_is_corrected_once(self):
        self.table.apply_gossip(ReplicaUpdate("r1", LEAVING, 1), NOW)
        spread_updates, state_changes = [], []
        for second in range(10):
            changes = self.table.observe(ReplicaObserved("r1", SERVING), NOW + second)
            spread_updates += changes.urgent_updates
            state_changes += changes.state_changes
        self.assertEqual([ReplicaUpdate("r1", SERVING, 2)], spread_updates)
        self.assertEqual(SERVING, state_changes[-1].state)
        self.assertEqual([], self.table.not_serving_updates())

    def test_list_entry_that_returns_to_live_takes_effect(self):
        self.assertEqual(
            [ReplicaStateChanged("r1", LEAVING)],
            self.apply_list(MachineState.LEAVING, 1).state_changes,
        )
        self.table.apply_gossip(ReplicaUpdate("r1", SERVING, 9), 2.0)
        changes = self.apply_list(MachineState.LIVE, 3.0)
        self.assertEqual([], self.table.not_serving_updates())
        self.assertEqual([], changes.state_changes)

    def test_held_versions_are_reported_and_spread_without_urgency(self):
        held = HeldVersions("r1", 3, 7)
        changes = self.table.observe(ReplicaObserved("r1", SERVING, held), NOW)
        self.assertEqual([ReplicaStateChanged("r1", SERVING, held)], changes.state_changes)
        self.assertEqual([], changes.urgent_updates)
        self.assertEqual([ReplicaUpdate("r1", SERVING, 1, held)], changes.other_updates)

    def test_recently_observed_versions_are_not_replaced_by_gossip(self):
        observed, gossiped = HeldVersions("r1", 3, 7), HeldVersions("r1", 2, 6)
        self.table.observe(ReplicaObserved("r1", SERVING, observed), NOW)
        changes = self.table.apply_gossip(ReplicaUpdate("r1", SERVING, 5, gossiped), NOW + 1)
        self.assertEqual([], changes.state_changes)
        self.assertEqual([ReplicaUpdate("r1", SERVING, 5, gossiped)], changes.other_updates)
        changes = self.table.apply_gossip(ReplicaUpdate("r1", SERVING, 6, gossiped), NOW + 10)
        self.assertEqual([ReplicaStateChanged("r1", SERVING, gossiped)], changes.state_changes)

    def test_replicas_removed_from_the_configuration_are_forgotten(self):
        self.table.apply_gossip(ReplicaUpdate("r1", LEAVING, 1), NOW)
        self.table.configure(Configuration())
        self.assertEqual([], self.table.not_serving_updates())
        self.assertFalse(self.table.is_replica_address("10.1.0.1", 80))
