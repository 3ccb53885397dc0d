import testtools

from wingquay.membership.replica_evidence import (
    REPLICA_LEAVING_BOUND_SECONDS,
    Evidence,
    ReplicaEvidence,
    ReplicaEvidenceSettings,
    believed_state,
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


def believed(now=NOW, **evidence):
    return believed_state(ReplicaEvidence(**evidence), SETTINGS, now)


def spread(now=NOW, **evidence):
    return state_to_spread(ReplicaEvidence(**evidence), SETTINGS, now)


class ReplicaEvidenceTest(testtools.TestCase):
    def test_what_we_saw_ourselves_just_now_counts(self):
        for state in ReplicaState:
            self.assertEqual(state, believed(own=Evidence(state, NOW - 1)))

    def test_one_lagging_source_does_not_win_over_our_own_fresh_evidence(self):
        own = Evidence(SERVING, NOW - 1)
        self.assertEqual(SERVING, believed(own=own, listed=Evidence(LEAVING, NOW)))
        self.assertEqual(SERVING, believed(own=own, gossip=Evidence(LEAVING, NOW)))

    def test_two_sources_win_over_our_own_evidence(self):
        hints = {"listed": Evidence(LEAVING, NOW), "gossip": Evidence(GONE, NOW)}
        self.assertEqual(GONE, believed(own=Evidence(SERVING, NOW - 1), **hints))

    def test_one_source_is_enough_without_fresh_evidence(self):
        stale = Evidence(SERVING, NOW - SETTINGS.own_fresh_seconds - 0.1)
        self.assertEqual(LEAVING, believed(listed=Evidence(LEAVING, NOW)))
        self.assertEqual(LEAVING, believed(own=stale, listed=Evidence(LEAVING, NOW)))
        self.assertEqual(LEAVING, believed(own=stale, gossip=Evidence(LEAVING, NOW)))

    def test_gossip_that_it_serves_wins_over_an_older_list(self):
        hints = {"listed": Evidence(LEAVING, NOW - 5), "gossip": Evidence(SERVING, NOW)}
        self.assertEqual(SERVING, believed(**hints))

    def test_replica_that_contradicts_itself_is_leaving_for_a_while(self):
        evidence = ReplicaEvidence().with_own(LEAVING, NOW).with_own(SERVING, NOW + 1)
        self.assertEqual(LEAVING, believed_state(evidence, SETTINGS, NOW + 1))
        later = NOW + SETTINGS.return_seconds
        evidence = evidence.with_own(SERVING, later)
        self.assertEqual(SERVING, believed_state(evidence, SETTINGS, later))

    def test_own_warning_is_spread_at_once(self):
        self.assertEqual(LEAVING, spread(own=Evidence(LEAVING, NOW)))
        same = Evidence(LEAVING, NOW - 1)
        self.assertIsNone(spread(own=Evidence(LEAVING, NOW), gossip=same))

    def test_wrong_warning_is_contradicted_only_after_a_while(self):
        warning = Evidence(LEAVING, NOW - 1)
        own = {"own": Evidence(SERVING, NOW), "own_serving_since": NOW - 50}
        self.assertIsNone(spread(gossip=warning, **own))
        older = Evidence(LEAVING, NOW - SETTINGS.return_seconds)
        self.assertEqual(SERVING, spread(gossip=older, **own))

    def test_list_is_passed_on_only_where_nobody_has_spoken(self):
        listed = Evidence(LEAVING, NOW)
        self.assertEqual(LEAVING, spread(listed=listed))
        self.assertIsNone(spread(listed=listed, gossip=Evidence(SERVING, NOW - 500)))
        self.assertIsNone(spread(listed=listed, own=Evidence(SERVING, NOW)))


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

    def listed(self, state, now):
        return self.table.read_list([MachineEntry("10.1.0.1", 80, "dej", state)], now)

    def test_drain_flag_is_told_and_spread_once(self):
        news = self.table.observe(ReplicaObserved("r1", LEAVING), NOW)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], news.beliefs)
        self.assertEqual([ReplicaUpdate("r1", LEAVING, 1)], news.urgent_updates)
        again = self.table.observe(ReplicaObserved("r1", LEAVING), NOW + 1)
        self.assertEqual(([], []), (again.beliefs, again.urgent_updates))

    def test_what_was_heard_before_the_configuration_is_told_again_with_it(self):
        table = ReplicaTable(SETTINGS)
        table.hear(ReplicaUpdate("r1", LEAVING, 1), NOW)
        news = table.configure(CONFIGURATION)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], news.beliefs)

    def test_greater_version_overrides_and_a_tie_goes_to_the_warning(self):
        self.table.hear(ReplicaUpdate("r1", SERVING, 5), NOW)
        self.assertIsNone(self.table.hear(ReplicaUpdate("r1", LEAVING, 4), NOW))
        news = self.table.hear(ReplicaUpdate("r1", LEAVING, 5), NOW)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], news.beliefs)
        self.assertIsNone(self.table.hear(ReplicaUpdate("r1", SERVING, 5), NOW))
        self.assertEqual([ReplicaUpdate("r1", LEAVING, 5)], self.table.warnings())

    def test_gossip_is_believed_within_the_bound_when_own_evidence_ages(self):
        self.table.observe(ReplicaObserved("r1", SERVING), NOW)
        news = self.table.hear(ReplicaUpdate("r1", LEAVING, 1), NOW + 0.5)
        self.assertEqual([], news.beliefs)
        news = self.table.tick(NOW + REPLICA_LEAVING_BOUND_SECONDS)
        self.assertEqual([ReplicaStateChanged("r1", LEAVING)], news.beliefs)

    def test_stale_list_against_live_evidence_changes_nothing(self):
        for second in range(20):
            news = self.table.observe(ReplicaObserved("r1", SERVING), NOW + second)
            self.assertEqual([], news.beliefs)
            news = self.listed(MachineState.LEAVING, NOW + second + 0.5)
            self.assertEqual(([], []), (news.beliefs, news.urgent_updates))

    def test_wrong_warning_is_contradicted_and_ends(self):
        self.table.hear(ReplicaUpdate("r1", LEAVING, 1), NOW)
        spread_updates, beliefs = [], []
        for second in range(10):
            news = self.table.observe(ReplicaObserved("r1", SERVING), NOW + second)
            spread_updates += news.urgent_updates
            beliefs += news.beliefs
        self.assertEqual([ReplicaUpdate("r1", SERVING, 2)], spread_updates)
        self.assertEqual(SERVING, beliefs[-1].state)
        self.assertEqual([], self.table.warnings())

    def test_list_that_takes_its_word_back_is_heard(self):
        self.assertEqual(
            [ReplicaStateChanged("r1", LEAVING)], self.listed(MachineState.LEAVING, 1).beliefs
        )
        self.table.hear(ReplicaUpdate("r1", SERVING, 9), 2.0)
        news = self.listed(MachineState.LIVE, 3.0)
        self.assertEqual([], self.table.warnings())
        self.assertEqual([], news.beliefs)

    def test_versions_are_told_and_spread_without_haste(self):
        held = HeldVersions("r1", 3, 7)
        news = self.table.observe(ReplicaObserved("r1", SERVING, held), NOW)
        self.assertEqual([ReplicaStateChanged("r1", SERVING, held)], news.beliefs)
        self.assertEqual([], news.urgent_updates)
        self.assertEqual([ReplicaUpdate("r1", SERVING, 1, held)], news.other_updates)

    def test_versions_seen_lately_are_not_replaced_by_older_gossip(self):
        seen, heard = HeldVersions("r1", 3, 7), HeldVersions("r1", 2, 6)
        self.table.observe(ReplicaObserved("r1", SERVING, seen), NOW)
        news = self.table.hear(ReplicaUpdate("r1", SERVING, 5, heard), NOW + 1)
        self.assertEqual([], news.beliefs)
        self.assertEqual([ReplicaUpdate("r1", SERVING, 5, heard)], news.other_updates)
        news = self.table.hear(ReplicaUpdate("r1", SERVING, 6, heard), NOW + 10)
        self.assertEqual([ReplicaStateChanged("r1", SERVING, heard)], news.beliefs)

    def test_replicas_out_of_the_configuration_are_forgotten(self):
        self.table.hear(ReplicaUpdate("r1", LEAVING, 1), NOW)
        self.table.configure(Configuration())
        self.assertEqual([], self.table.warnings())
        self.assertFalse(self.table.is_replica_address("10.1.0.1", 80))
