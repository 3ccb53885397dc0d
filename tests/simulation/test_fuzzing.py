"""Stateful fuzzing, short and derandomized; long on demand with ``wingquay fuzz``."""

import pathlib
import tempfile

import testtools

from wingquay.simulation.fuzzing import search_for_violations
from wingquay.simulation.script import Script, Step, StepName, read_script, write_script
from wingquay.simulation.scripted_simulation import ScriptedSimulation

STEPS = 600


class TestFuzzing(testtools.TestCase):
    def test_no_history_violates_anything(self):
        search = search_for_violations(0, STEPS, derandomize=True)
        self.assertEqual((), search.examples, search.failing)
        self.assertTrue(search.steps >= STEPS / 2)

    def test_a_saved_script_runs_as_it_ran(self):
        script = Script(
            seed=3,
            steps=(
                Step(name=StepName.ASK, first=0, second=1),
                Step(name=StepName.CRASH_NODE, first=1),
                Step(name=StepName.WAIT, first=500),
            ),
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "script.json"
            write_script(script, path)
            self.assertEqual(script, read_script(path))
        digests = []
        for _ in range(2):
            deployment = ScriptedSimulation(script.seed)
            for step in script.steps:
                deployment.perform(step)
            deployment.finish()
            digests.append(deployment.simulation.digest.hexdigest())
        self.assertEqual(digests[0], digests[1])
