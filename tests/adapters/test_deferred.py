"""Logs and figures that are kept until their libraries are loaded lose nothing."""

import io

from testtools import TestCase

from wingquay.adapters.deferred_log import KEPT_LINES, DeferredLog
from wingquay.adapters.deferred_metrics import DeferredMetrics
from wingquay.ports.machine import Count, Log, LogLevel, Observe


class DeferredLogTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.stream = io.StringIO()
        self.log = DeferredLog(self.stream, {"node": "n"}, clock=lambda: 1234.5678)

    def test_kept_lines_are_written_with_their_time_once_loaded(self) -> None:
        self.log.perform(Log("first"))
        self.assertEqual("", self.stream.getvalue())
        self.log.load()
        self.log.perform(Log("second"))
        first, second = self.stream.getvalue().splitlines()
        self.assertIn("event=first node=n written_at=1234.568", first)
        self.assertIn("event=second node=n", second)
        self.assertNotIn("written_at", second)

    def test_an_error_is_written_at_once(self) -> None:
        self.log.perform(Log("bad", LogLevel.ERROR))
        self.assertIn("event=bad", self.stream.getvalue())

    def test_no_more_than_a_bounded_number_of_lines_is_kept(self) -> None:
        for number in range(KEPT_LINES):
            self.log.perform(Log(f"line{number}"))
        self.assertEqual(KEPT_LINES, len(self.stream.getvalue().splitlines()))


class DeferredMetricsTest(TestCase):
    def test_what_was_counted_before_is_on_the_page(self) -> None:
        metrics = DeferredMetrics()
        metrics.count(Count("things_total", 2.0))
        metrics.observe(Observe("work_seconds", 0.2))
        metrics.load()
        metrics.count(Count("things_total"))
        page = metrics.page().decode()
        self.assertIn("wingquay_things_total 3.0", page)
        self.assertIn("wingquay_work_seconds_count 1.0", page)
