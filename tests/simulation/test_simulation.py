"""Simulations: one seed gives one run, and both policies answer truly when nothing is wrong."""

import json
import os
import subprocess
import sys

import testtools

from wingquay.commands.simulate import read_settings
from wingquay.simulation.faults.catalogue import FAULTS
from wingquay.simulation.simulation import Simulation
from wingquay.simulation.simulation_report import make_report

SECONDS = 1.0
LOAD = 0.1


def run(deployment="ro-nord", faults="none", policy="wingquay", seed=1, load=LOAD, without=""):
    settings = read_settings(deployment, seed, SECONDS, faults, policy, load, without)
    simulation = Simulation(settings)
    simulation.run()
    return simulation


class TestSimulation(testtools.TestCase):
    def test_without_faults_everything_is_answered_truly(self):
        for deployment in ("ro-nord", "isan-north"):
            simulation = run(deployment)
            report = make_report(simulation)
            self.assertEqual([], simulation.oracle.violations.examples)
            self.assertEqual(0, report["unreachable"])
            self.assertEqual(1.0, report["coverage"])

    def test_one_seed_gives_one_run(self):
        self.assertEqual(
            run(faults="stragglers").digest.hexdigest(),
            run(faults="stragglers").digest.hexdigest(),
        )
        self.assertNotEqual(
            run(faults="stragglers").digest.hexdigest(),
            run(faults="stragglers", seed=2).digest.hexdigest(),
        )

    def test_every_policy_meets_the_same_arrivals(self):
        asked = [
            [entry["queries"] for entry in make_report(run(policy=policy))["kinds"].values()]
            for policy in ("wingquay", "naive", "floor")
        ]
        self.assertEqual(asked[0], asked[1])
        self.assertEqual(asked[0], asked[2])

    def test_the_hash_seed_changes_nothing(self):
        self.assertEqual(self._digest_under("1"), self._digest_under("2"))

    def _digest_under(self, hash_seed):
        arguments = ["simulate", "--seconds", "1", "--load", "0.05", "--faults", "all", "--json"]
        result = subprocess.run(
            [sys.executable, "-m", "wingquay.cli", *arguments],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            check=False,
            timeout=100,
        )
        return json.loads(result.stdout)["digest"]


class TestCommandLine(testtools.TestCase):
    def test_unknown_names_are_refused_with_those_that_exist(self):
        for place, text in (("deployment", "x"), ("faults", "x"), ("without", "x")):
            arguments = {
                "deployment": "ro-nord",
                "seed": 1,
                "seconds": 1.0,
                "faults": "none",
                "policy": "naive",
                "load": 0.1,
                "without": "",
                place: text,
            }
            self.assertIn("'x'", read_settings(**arguments).reason)


class TestFaults(testtools.TestCase):
    def test_no_fault_alone_violates_anything(self):
        for name in FAULTS:
            simulation = run(faults=name, load=0.01)
            self.assertEqual([], simulation.oracle.violations.examples, name)
            self.assertTrue(simulation.measurements.queries > 0, name)

    def test_faults_happen_at_the_same_moments_under_every_policy(self):
        injected = [
            run(faults="index_update,zone_cut,replica_loss", policy=policy).faults_injected
            for policy in ("wingquay", "naive")
        ]
        self.assertEqual(injected[0], injected[1])
