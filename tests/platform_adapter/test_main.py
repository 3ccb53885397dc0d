"""The start of the process: settings that cannot be used, the first look at them."""

import contextlib
import io
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

import h11
from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK
from tests.platform_adapter.test_formats import ROOT, SETTINGS
from wingquay.platform.__main__ import glance_at_callers, main
from wingquay.platform.settings import parse_settings


class FirstLookTest(TestCase):
    def test_it_finds_what_the_check_finds(self) -> None:
        settings = parse_settings(SETTINGS)
        callers = (settings.callers.host, settings.callers.port)
        self.assertEqual(callers, glance_at_callers(SETTINGS))

    def test_the_template_has_the_field_on_a_line_of_its_own(self) -> None:
        template = (ROOT / "deploy" / "settings.toml.template").read_text()
        filled = template.replace("{{listenAddrs.front|json}}", '"10.1.0.9:8104"')
        self.assertEqual(("10.1.0.9", 8104), glance_at_callers(filled))

    def test_what_has_no_form_is_left_to_the_check(self) -> None:
        for text in ("", 'callers = "here"', 'callers = "1.2.3.4:x"', "callers"):
            self.assertEqual(0, glance_at_callers(text)[1])


class QuickStartTest(TestCase):
    def test_little_is_loaded_before_callers_can_connect(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            text = SETTINGS.replace('"127.0.0.1:1"', '"127.0.0.1:0"')
            path.write_text(text.replace("ratio = 0.2", "ratio = -1"))
            command = [sys.executable, "-S", "-X", "importtime", "deploy/start_node.py"]
            libraries = str(Path(h11.__file__).parents[1])
            environment = {"WINGQUAY_BOOT": str(path), "PYTHONPATH": libraries}
            played = subprocess.run(  # noqa: S603
                command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False
            )
        self.assertIn("retries.ratio is -1", played.stderr)
        lines = played.stderr.splitlines()
        loaded = [line.rpartition("|")[2].strip() for line in lines if "import time:" in line]
        # The first package that is loaded once the socket listens.
        before = set(loaded[: loaded.index("wingquay.model")])
        self.assertIn("_socket", before)
        dear = {"runpy", "socket", "enum", "typing", "contextlib", "collections", "selectors"}
        self.assertEqual(set(), before & dear)


class BadStartTest(TestCase):
    def complaint(self, settings: str | None) -> str:
        output = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            if settings is not None:
                path.write_text(settings)
            environment = mock.patch.dict(os.environ, {"WINGQUAY_BOOT": str(path)})
            with environment, contextlib.redirect_stderr(output):
                self.assertEqual(1, main())
        return output.getvalue()

    def test_a_missing_file_is_named(self) -> None:
        self.assertIn("settings.toml", self.complaint(None))

    def test_a_bad_field_is_named_with_what_is_allowed(self) -> None:
        settings = SETTINGS.replace('"127.0.0.1:1"', '"127.0.0.1:0"')
        text = self.complaint(settings.replace("ratio = 0.2", "ratio = -1"))
        self.assertIn("retries.ratio is -1; allowed: a number from 0 to 1", text)

    def test_an_address_in_use_is_named(self) -> None:
        with socket.create_server((LOOPBACK, 0)) as taken:
            port = taken.getsockname()[1]
            text = self.complaint(SETTINGS.replace("127.0.0.1:1", f"127.0.0.1:{port}"))
        self.assertIn(f"listen.callers is 127.0.0.1:{port}", text)
