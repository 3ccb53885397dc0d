"""The command line of the simulation of forwarding nodes."""

import contextlib
import io

from testtools import TestCase

from wingquay.cli import run


def output_of(*arguments: str) -> tuple[int, str]:
    text = io.StringIO()
    with contextlib.redirect_stdout(text), contextlib.redirect_stderr(text):
        code = run(["forwarding", *arguments])
    return code, text.getvalue()


class ForwardingCommandTest(TestCase):
    def test_runs_are_told_with_their_seeds_and_faults(self) -> None:
        code, text = output_of("--seconds", "1", "--runs", "2", "--faults", "store_down")
        self.assertEqual(0, code)
        self.assertIn("seed=1 faults=store_down", text)
        self.assertIn("seed=2", text)

    def test_bad_flags_are_named_with_what_is_allowed(self) -> None:
        for arguments, words in (
            (("--runs", "0"), ("--runs is 0", "from 1")),
            (("--seconds", "-1"), ("--seconds is -1", "more than 0")),
            (("--faults", "rain"), ("'rain'", "store_down")),
        ):
            code, text = output_of(*arguments)
            self.assertEqual(2, code)
            for word in words:
                self.assertIn(word, text)

    def test_faults_are_listed(self) -> None:
        code, text = output_of("--list")
        self.assertEqual(0, code)
        self.assertIn("reshard", text)
