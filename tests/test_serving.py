"""``wingquay serve`` as a process: signals, exit codes, nothing started on wrong settings."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import testtools
from testtools.matchers import Contains

from wingquay.adapters.settings_document import settings_example

TIME_LIMIT_SECONDS = 30
TREE = pathlib.Path(__file__).parent.parent


class ServeTest(testtools.TestCase):
    def start(
        self, *replacements: tuple[str, str], flags: tuple[str, ...] = ()
    ) -> "subprocess.Popen[str]":
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        text = settings_example().replace('host = "10.0.0.1"', 'host = "127.0.0.1"')
        for port in (7400, 7401, 7402):
            text = text.replace(f"# port = {port}", "port = 0")
        for old, new in replacements:
            assert old in text, old
            text = text.replace(old, new)
        path = pathlib.Path(directory.name) / "node.toml"
        path.write_text(text, encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "wingquay", "serve", "--settings", str(path), *flags],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": str(TREE)},
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process: "subprocess.Popen[str]") -> None:
        process.kill()
        process.communicate(timeout=TIME_LIMIT_SECONDS)

    def wait_for(self, process: "subprocess.Popen[str]", event: str) -> str:
        assert process.stderr is not None
        lines: list[str] = []
        for line in process.stderr:
            if f"event={event}" in line:
                return line
            lines.append(line)
        raise AssertionError(f"the process ended without {event}: {lines}")

    def test_first_signal_begins_the_planned_stop(self) -> None:
        process = self.start()
        self.wait_for(process, "node_started")
        process.send_signal(signal.SIGTERM)
        self.wait_for(process, "planned_stop_started")
        self.assertThat(self.wait_for(process, "node_stopped"), Contains("cut_requests=0"))
        self.assertEqual(0, process.wait(TIME_LIMIT_SECONDS))

    def test_second_signal_ends_the_stop_and_says_so(self) -> None:
        process = self.start(
            ("# least_seconds = 1.0", "least_seconds = 600.0"),
            ("# most_seconds = 30.0", "most_seconds = 600.0"),
        )
        self.wait_for(process, "node_started")
        process.send_signal(signal.SIGTERM)
        self.wait_for(process, "planned_stop_started")
        process.send_signal(signal.SIGTERM)
        self.assertThat(self.wait_for(process, "node_stopped"), Contains("a second signal"))
        self.assertEqual(1, process.wait(TIME_LIMIT_SECONDS))

    def test_wrong_settings_start_nothing(self) -> None:
        process = self.start(('zone = "cluj-a"', 'zone = ""'), ("[log]", "[log]\nx = 1"))
        _, errors = process.communicate(timeout=TIME_LIMIT_SECONDS)
        self.assertEqual(2, process.returncode)
        self.assertEqual(2, len(errors.splitlines()), errors)
        self.assertNotIn("node_started", errors)

    def test_address_that_is_taken_is_one_clear_line(self) -> None:
        process = self.start()
        line = self.wait_for(process, "node_started")
        port = line.partition("callers=127.0.0.1:")[2].partition(" ")[0]
        second = self.start(flags=("--callers", f"127.0.0.1:{port}"))
        _, errors = second.communicate(timeout=TIME_LIMIT_SECONDS)
        self.assertEqual(1, second.returncode)
        self.assertThat(errors, Contains("event=start_failed"))
        self.assertNotIn("Traceback", errors)
