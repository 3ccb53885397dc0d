"""Log lines and the metrics page."""

import io

import testtools
from testtools.matchers import Contains

from wingquay.adapters.log_writer import LogWriter, format_line, write_logs_to
from wingquay.adapters.metrics import Metrics
from wingquay.adapters.request_log import LINES_PER_SECOND, RequestLog
from wingquay.model.answer import Answer, Outcome
from wingquay.model.identifiers import CallerName, RequestId, RequestKindName, ServiceName
from wingquay.model.request import QueryRequest
from wingquay.ports.machine import Count, Log, LogLevel, Observe


class LogWriterTest(testtools.TestCase):
    def test_line_carries_time_level_event_and_quotes_spaces(self) -> None:
        line = format_line(
            {
                "timestamp": 0.0,
                "message_type": "request_answered",
                "level": "info",
                "task_uuid": "hidden",
                "request_id": "n1-7",
                "reason": 'two words and "quotes"',
                "seconds": 0.25,
            }
        )
        self.assertEqual(
            "time=1970-01-01T00:00:00.000Z level=info event=request_answered request_id=n1-7 "
            'reason="two words and \\"quotes\\"" seconds=0.25',
            line,
        )

    def test_value_cannot_break_out_of_its_line(self) -> None:
        line = format_line({"message_type": "x", "value": "a\nlevel=error", "empty": ""})
        self.assertEqual(1, len(line.splitlines()))
        self.assertThat(line, Contains('value="a\\nlevel=error" empty=""'))

    def test_lines_below_the_level_are_left_out(self) -> None:
        stream = io.StringIO()
        end = write_logs_to(stream, LogLevel.WARNING)
        self.addCleanup(end)
        writer = LogWriter({"node": "n1"})
        writer.perform(Log("quiet"))
        writer.perform(Log("loud", LogLevel.ERROR, (("request_id", "r1"),)))
        lines = stream.getvalue().splitlines()
        self.assertEqual(1, len(lines))
        self.assertThat(lines[0], Contains("level=error event=loud node=n1 request_id=r1"))


class RequestLogTest(testtools.TestCase):
    def test_ends_are_logged_with_ids_and_bounded_in_number(self) -> None:
        lines: list[Log] = []
        log = RequestLog(lines.append, lambda: 7.0)
        request = QueryRequest(
            RequestId("n1-1"), CallerName("portal"), ServiceName("s"), RequestKindName("k"), ()
        )
        log.received(request)
        log.answered(Answer(RequestId("n1-1"), Outcome.COMPLETE))
        self.assertEqual((LogLevel.DEBUG, "request_answered"), (lines[0].level, lines[0].message))
        self.assertEqual("portal", dict(lines[0].fields)["caller"])
        for _ in range(LINES_PER_SECOND + 10):
            log.answered(Answer(RequestId("n1-2"), Outcome.REFUSED_NOT_RUN, reason="overloaded"))
        self.assertEqual(1 + LINES_PER_SECOND, len(lines))
        self.assertEqual(LogLevel.INFO, lines[-1].level)


class MetricsTest(testtools.TestCase):
    def test_page_has_counters_and_histograms(self) -> None:
        metrics = Metrics()
        metrics.count(Count("answers_total", 2, (("outcome", "complete"),)))
        metrics.observe(Observe("answer_seconds", 0.3))
        page = metrics.page().decode()
        self.assertThat(page, Contains('wingquay_answers_total{outcome="complete"} 2.0'))
        self.assertThat(page, Contains('wingquay_answer_seconds_bucket{le="0.5"} 1.0'))

    def test_gauge_is_read_when_the_page_is_rendered(self) -> None:
        metrics = Metrics()
        values = iter((1.0, 2.0))
        metrics.gauge("work_in_flight", "Work.", lambda: next(values))
        self.assertThat(metrics.page().decode(), Contains("\nwingquay_work_in_flight 1.0\n"))
        self.assertThat(metrics.page().decode(), Contains("\nwingquay_work_in_flight 2.0\n"))

    def test_labels_that_do_not_fit_are_dropped_and_counted(self) -> None:
        metrics = Metrics()
        metrics.count(Count("answers_total", 1, (("outcome", "complete"),)))
        metrics.count(Count("answers_total", 1, (("zone", "dej"),)))
        self.assertEqual(1.0, metrics.value("metrics_dropped_total"))
