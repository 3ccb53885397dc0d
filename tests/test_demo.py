"""The demonstration: a whole system over real sockets gives no wrong answer."""

import asyncio
import contextlib
import io
import json

import testtools

from wingquay.demo.run import run_demo


class DemoTest(testtools.TestCase):
    def test_demo_answers_everything_rightly(self) -> None:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = asyncio.run(run_demo(seed=1, as_json=True, serve=False))
        report = json.loads(printed.getvalue())
        self.assertEqual([], report["faults"])
        self.assertEqual(0, report["wrong"])
        self.assertEqual((2, 55), (report["nodes"], report["backends"]))
        self.assertEqual(report["answers"], report["complete"] + report["partial"])
        self.assertEqual(0, code)
