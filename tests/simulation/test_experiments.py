"""Experiments: files are checked, runs are paired by seed, and a report shows what was run."""

import contextlib
import io
import pathlib
import tempfile
from unittest import mock

import testtools
from testtools.matchers import Contains, FileExists

from wingquay import cli
from wingquay.commands.exit_codes import OK, USAGE
from wingquay.model.failure import Failure
from wingquay.simulation.experiments.experiment_file import Experiment, read_experiment
from wingquay.simulation.experiments.measure import measure
from wingquay.simulation.experiments.result_files import read_results
from wingquay.simulation.experiments.run_result import P99_MS, RunResult
from wingquay.simulation.experiments.scenario import Run, make_scenario
from wingquay.simulation.experiments.statistics_over_seeds import (
    Spread,
    by_scenario,
    compare,
    floor_of,
    ratio_to,
)

SHIPPED = pathlib.Path(__file__).parents[2] / "experiments"

WRONG = """
title = "wrong"
sedes = [1]
[[matrix]]
deployments = ["ro-nort"]
loads = [0.7, -1]
faults = ["straglers"]
seeds = []
"""

SMALL = """
title = "small & quick"
seeds = [1]
seconds = 0.2
[[matrix]]
deployments = ["isan-north"]
policies = ["naive", "floor"]
faults = ["stragglers:0.02"]
loads = [0.05]
"""


class ExperimentTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, text):
        path = self.directory / "experiment.toml"
        path.write_text(text, encoding="utf-8")
        return path

    def run_line(self, *arguments):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            code = cli.run(["experiment", *(str(argument) for argument in arguments)])
        return code, printed.getvalue()


class TestFile(ExperimentTest):
    def test_shipped_files_are_right(self):
        for path in sorted(SHIPPED.glob("*.toml")):
            self.assertIsInstance(read_experiment(path), Experiment, path)

    def test_every_wrong_field_is_one_line(self):
        lines = read_experiment(self.write(WRONG)).reason.splitlines()
        fields = [line.partition(":")[0] for line in lines]
        self.assertEqual(
            ["matrix[0].deployments[0]", "matrix[0].faults[0]", "matrix[0].loads[1]"], fields[:3]
        )
        self.assertEqual(["matrix[0].seeds", "sedes"], fields[3:])
        self.assertThat(lines[2], Contains("-1 is not allowed; must be greater than 0"))

    def test_what_cannot_be_read_is_a_failure(self):
        self.assertIsInstance(read_experiment(self.directory / "none.toml"), Failure)
        self.assertThat(read_experiment(self.write("=")).reason, Contains("not TOML"))

    def test_a_policy_that_ignores_a_dimension_is_run_once(self):
        text = SMALL.replace('"stragglers:0.02"', '"stragglers:0.01", "stragglers:0.02"')
        runs = read_experiment(self.write(text)).runs()
        self.assertEqual(
            ["naive", "naive", "floor"],
            [run.scenario.policy for run in runs],
        )


class TestStatistics(testtools.TestCase):
    def result(self, policy, seed, p99_ms, faults="stragglers"):
        scenario = make_scenario("ro-nord", policy, faults, 0.7, "", 3.0)
        result = RunResult.of(Run(scenario, seed))
        result.metrics = {P99_MS: {"outage-ping": p99_ms}}
        return result

    def test_the_floor_is_that_of_the_same_seed(self):
        results = [self.result("floor", seed, 10.0 * seed) for seed in (1, 2, 3)]
        results += [self.result("wingquay", seed, 20.0 * seed + 5) for seed in (1, 2, 4)]
        grouped = by_scenario(results)
        scenario = results[-1].scenario
        ratio = ratio_to(grouped[scenario], floor_of(scenario, grouped), P99_MS, "outage-ping")
        self.assertEqual(Spread(2.375, 2.25, 2.5, 2), ratio)

    def test_changes_are_paired_by_seed(self):
        now = by_scenario(self.result("naive", seed, value) for seed, value in ((1, 5.0), (2, 9.0)))
        before = by_scenario(self.result("naive", seed, 7.0) for seed in (2, 1, 3))
        (change,) = compare(now, before)
        self.assertEqual(Spread(0.0, -2.0, 2.0, 2), change.difference)
        self.assertEqual((1, 1), (change.higher, change.lower))

    def test_broken_runs_are_kept_out(self):
        result = measure(Run(make_scenario("nowhere", "naive", "", 0.1, "", 1.0), 1))
        self.assertThat(result.failure, Contains("'nowhere'"))
        self.assertEqual({}, by_scenario([result]))


class TestCommand(ExperimentTest):
    def test_report_results_and_comparison(self):
        file = self.write(SMALL)
        first = self.directory / "first"
        code, text = self.run_line(file, "--out", first, "--workers", "2")
        self.assertEqual(OK, code, text)
        for name in ("results.csv", "latency-1.png", "coverage.png", "extra-load.png"):
            self.assertThat(first / name, FileExists())
        page = (first / "report.html").read_text(encoding="utf-8")
        self.assertThat(page, Contains("small &amp; quick"))
        self.assertThat(page, Contains("neighbour-check"))
        self.assertEqual(2, len(read_results(first).runs))

        code, text = self.run_line(file, "--out", self.directory / "second", "--against", first)
        self.assertEqual(OK, code, text)
        page = (self.directory / "second" / "report.html").read_text(encoding="utf-8")
        self.assertThat(page, Contains("Paired by seed. 0 of "))

    def test_an_interrupt_keeps_the_runs_that_ended(self):
        def run_all(runs, workers, progress):
            progress(1, RunResult.of(runs[0]))
            raise KeyboardInterrupt

        out = self.directory / "out"
        with mock.patch("wingquay.commands.experiment.run_all", run_all):
            self.assertRaises(KeyboardInterrupt, self.run_line, self.write(SMALL), "--out", out)
        (kept,) = read_results(out).runs
        self.assertEqual("naive", kept.policy)

    def test_wrong_flags_are_refused_before_anything_runs(self):
        file = self.write(SMALL)
        out = self.directory / "out"
        for flags, named in (
            (("--workers", "0"), "--workers: 0"),
            (("--against", out), "--against"),
            (("--out", file), "--out"),
        ):
            code, text = self.run_line(file, "--out", out, *flags)
            self.assertEqual(USAGE, code)
            self.assertThat(text, Contains(named))
