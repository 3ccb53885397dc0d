"""Each mechanism that protects an invariant: the check is quiet with it and notices its absence.

The mechanisms of claims that need several takeovers have their own tests in ``tests/claims``.
"""

import random

import testtools

from wingquay.commands.simulate import read_settings
from wingquay.configuration.document import parse_document
from wingquay.configuration.in_force import InForceConfiguration
from wingquay.configuration.node_view import NodeView
from wingquay.model.configuration import Configuration
from wingquay.model.mechanisms import Mechanism
from wingquay.ports.peer import NodeIdentity
from wingquay.simulation.configuration_oracle import ConfigurationOracle
from wingquay.simulation.invariants import Invariant, Violations
from wingquay.simulation.mechanisms import PROTECTS
from wingquay.simulation.script import Step, StepName
from wingquay.simulation.scripted_simulation import ScriptedSimulation
from wingquay.simulation.simulation import Simulation

SWEEP, CHECK, EDIT = 0, 1, 2
LOOKUP_REPLICAS = range(6)
INTAKE_REPLICAS = (6, 7)


def step(name, first=0, second=0):
    return Step(name=name, first=first, second=second)


def asks(kind, count, wait_milliseconds=20):
    """Ask ``count`` times, through one node after the other."""
    steps = []
    for number in range(count):
        steps.append(step(StepName.ASK, kind, number))
        steps.append(step(StepName.WAIT, wait_milliseconds))
    return steps


def violations(steps, without=()):
    deployment = ScriptedSimulation(0, frozenset(without))
    for entry in steps:
        deployment.perform(entry)
    deployment.finish()
    found = deployment.simulation.oracle.violations
    return {name: count for name, count in found.by_name().items() if count}, found.examples


class TestInvariantsNeedTheirMechanisms(testtools.TestCase):
    def check_needs(self, mechanism, steps):
        found, examples = violations(steps)
        self.assertEqual({}, found, examples)
        found, _ = violations(steps, [mechanism])
        self.assertIn(PROTECTS[mechanism], found)

    def test_snapshot_pinning(self):
        steps = asks(SWEEP, 3)
        steps += [
            step(StepName.NEW_VERSION, 0),
            step(StepName.INSTALL_VERSION, 0),
            step(StepName.ANSWER_NEWEST, 0, 1),
        ]
        self.check_needs(Mechanism.SNAPSHOT_PINNING, steps + asks(SWEEP, 20))

    def test_coverage_accounting(self):
        steps = asks(SWEEP, 3)
        steps.append(step(StepName.MOVE_BOUND, 0, 0))
        self.check_needs(Mechanism.COVERAGE_ACCOUNTING, steps + asks(SWEEP, 100))

    def test_duplicate_result_filter(self):
        steps = [step(StepName.REPEAT_RESULTS, 1)]
        self.check_needs(Mechanism.DUPLICATE_RESULT_FILTER, steps + asks(SWEEP, 20))

    def test_run_tracking(self):
        steps = [step(StepName.SLOW_REPLICA, replica, 300) for replica in INTAKE_REPLICAS]
        steps += [step(StepName.ASK, EDIT, 0), step(StepName.WAIT, 4000)]
        self.check_needs(Mechanism.RUN_TRACKING, steps)

    def test_unrepeatable_guard(self):
        steps = asks(EDIT, 10)
        for replica in INTAKE_REPLICAS:
            steps.append(step(StepName.SLOW_REPLICA, replica, 30))
            steps += asks(EDIT, 3)
        self.check_needs(Mechanism.UNREPEATABLE_GUARD, steps)

    def test_claim_quorum(self):
        steps = []
        for node in range(6):
            steps.append(step(StepName.ASK, EDIT, node))
            steps.append(step(StepName.ASK_AGAIN, node + 1, 1))
            steps.append(step(StepName.WAIT, 100))
        self.check_needs(Mechanism.CLAIM_QUORUM, steps)

    def test_replica_leaving(self):
        steps = [step(StepName.DRAIN_REPLICA, 0), *asks(SWEEP, 10)]
        steps += [step(StepName.WAIT, 6000), *asks(SWEEP, 20)]
        self.check_needs(Mechanism.REPLICA_LEAVING, steps)

    def test_planned_stop_drain(self):
        steps = asks(SWEEP, 10)
        steps += [step(StepName.SLOW_REPLICA, replica, 150) for replica in LOOKUP_REPLICAS]
        steps += [step(StepName.ASK, SWEEP, node) for node in range(6)]
        steps += [step(StepName.WAIT, 10), step(StepName.STOP_NODE, 0)]
        self.check_needs(Mechanism.PLANNED_STOP_DRAIN, [*steps, step(StepName.WAIT, 3000)])

    def test_confirm_read_back(self):
        steps = [
            step(StepName.CHANGE_PRICE, 0, 3),
            step(StepName.WAIT, 38),
            step(StepName.LOSE_STORE_REPLIES, 1),
            step(StepName.WAIT, 8000),
        ]
        self.check_needs(Mechanism.CONFIRM_READ_BACK, steps)


class TestConfigurationNeedsItsMechanisms(testtools.TestCase):
    def test_peer_dissemination(self):
        found = self._run_race("")
        self.assertEqual(0, found)
        self.assertTrue(self._run_race("peer_dissemination") > 0)

    def _run_race(self, without):
        settings = read_settings("ro-nord", 1, 10.0, "racing_operators", "wingquay", 0.005, without)
        simulation = Simulation(settings)
        simulation.run()
        counts = simulation.oracle.violations.counts
        return counts[Invariant.CONFIGURATION_IN_FORCE_AND_MONOTONIC]

    def test_revision_monotonic(self):
        self.assertEqual(0, self._take_late_older_revision(frozenset()))
        without = frozenset({Mechanism.REVISION_MONOTONIC})
        self.assertEqual(1, self._take_late_older_revision(without))

    def _take_late_older_revision(self, without):
        """Let revision 2 come after revision 3, as on a slow path, and ask the oracle."""
        found = Violations()
        oracle = ConfigurationOracle(found)
        identity = NodeIdentity("node-1", "small", "east", "10.0.0.1", 7000)
        in_force = InForceConfiguration(NodeView(identity, random.Random(1), without))
        for revision in (1, 2, 3):
            oracle.confirmed(revision, f"plan-{revision}", float(revision))
        for revision in (1, 3, 2):
            configuration = Configuration(revision=revision, confirm_id=f"plan-{revision}")
            document = parse_document(configuration.model_dump_json().encode())
            in_force.apply(document, 4.0, "peer")
            oracle.in_force("node-1", in_force.revision, 4.0)
        return found.total


class TestCatalogue(testtools.TestCase):
    def test_every_mechanism_protects_something(self):
        self.assertEqual(set(Mechanism), set(PROTECTS))

    def test_every_invariant_has_a_mechanism(self):
        without_mechanism = {Invariant.OWN_ANSWER, Invariant.ANSWERED_BY_DEADLINE}
        protected = set(PROTECTS.values())
        for invariant in set(Invariant) - without_mechanism:
            self.assertIn(invariant.value, protected)
