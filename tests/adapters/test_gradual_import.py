"""Libraries are loaded piece by piece, and everything that they need is on the lists."""

import asyncio
import subprocess
import sys

from testtools import TestCase

from tests.adapters.raw_http import run
from wingquay.adapters.gradual_import import (
    LINK_MODULES,
    LOG_MODULES,
    METRICS_MODULES,
    import_gradually,
)

LEFT_TO_LOAD = """
import importlib, sys
import wingquay.platform.process
for name in {first!r}:
    importlib.import_module(name)
known = set(sys.modules)
import {last}
print(len(set(sys.modules) - known))
"""


class GradualImportTest(TestCase):
    def test_other_work_goes_on_between_the_pieces(self) -> None:
        async def test() -> None:
            steps: list[int] = []

            async def work() -> None:
                while True:
                    steps.append(1)
                    await asyncio.sleep(0)

            task = asyncio.create_task(work())
            await import_gradually(("json", "string", "random"), pause_seconds=0.0)
            task.cancel()
            self.assertGreaterEqual(len(steps), 3)

        run(test())

    def test_a_module_that_is_not_there_is_left_out(self) -> None:
        async def test() -> None:
            await import_gradually(("wingquay.no_such_module", "json"), pause_seconds=0.0)

        run(test())

    def test_every_module_on_the_lists_is_there(self) -> None:
        for name in (*LOG_MODULES, *METRICS_MODULES, *LINK_MODULES):
            __import__(name)

    def test_little_is_left_for_the_import_of_the_last_one(self) -> None:
        for names in (LOG_MODULES, METRICS_MODULES, LINK_MODULES):
            program = LEFT_TO_LOAD.format(first=names[:-1], last=names[-1])
            done = subprocess.run(
                [sys.executable, "-c", program], capture_output=True, text=True, check=True
            )
            self.assertLessEqual(int(done.stdout), 3, names[-1])
