"""Each check of the soak by ledgers written by hand: broken, just inside its bound, excused."""

from testtools import TestCase

from scripts.soak.checks.answers import check_answers
from scripts.soak.checks.budget import check_budget, check_deadlines
from scripts.soak.checks.gone import check_gone
from scripts.soak.checks.lost import check_lost
from scripts.soak.checks.quota import check_quota, check_revoked
from scripts.soak.checks.runs import check_refused, check_twice, check_unasked
from scripts.soak.ledger import Attempt, Ending, SpanKind
from scripts.soak.requests import Kind
from scripts.soak.settings import Bounds, SoakSettings
from tests.soak.check_test_case import BOUNDS, MOMENT, CheckTest
from tests.soak.hand_ledger import (
    NODE,
    SHARDS,
    TIMEOUT_SECONDS,
    HandLedger,
    route,
    table,
)
from wingquay.model.tenants import Tenant
from wingquay.platform.standins.replica_record import ArrivalEnd


class LostTest(CheckTest):
    def cut(self, seconds: float = 0.5, **fields: object) -> Attempt:
        """Add a request whose connection closed without an answer."""
        attempt = self.hand.request(seconds=seconds, **fields)  # type: ignore[arg-type]
        attempt.ending = Ending.CLOSED
        return attempt

    def test_request_that_was_passed_on_and_cut(self) -> None:
        self.hand.arrival(self.cut(0.05), work_seconds=2.0)
        self.assert_found(check_lost, 1)

    def test_request_counts_as_read_after_the_slack(self) -> None:
        for seconds, count in ((0.2 - MOMENT, 0), (0.2 + MOMENT, 1)):
            self.start_over()
            self.cut(seconds)
            self.assert_found(check_lost, count, seconds)

    def test_replica_that_broke_off_is_an_excuse(self) -> None:
        for end in ArrivalEnd:
            self.start_over()
            self.hand.arrival(self.cut()).end = end
            excused = end in (ArrivalEnd.ANSWER_WITHHELD, ArrivalEnd.ENDED)
            self.assert_found(check_lost, 0 if excused else 1, end)

    def test_unplanned_trouble_of_the_node_is_an_excuse(self) -> None:
        for kind in SpanKind:
            self.start_over()
            self.cut()
            self.hand.trouble(kind, 99.0, 99.5)
            excused = kind in (SpanKind.KILL, SpanKind.FREEZE)
            self.assert_found(check_lost, 0 if excused else 1, kind)

    def test_deadline_and_time_limit_are_excuses(self) -> None:
        for seconds, count in ((TIMEOUT_SECONDS - 0.1, 1), (TIMEOUT_SECONDS, 0)):
            self.start_over()
            self.cut(seconds)
            self.assert_found(check_lost, count, seconds)
        self.start_over()
        self.cut(1.0, deadline_seconds=1.0)
        self.assert_found(check_lost, 0)

    def test_stop_excuses_only_work_in_its_last_part(self) -> None:
        grace = BOUNDS.grace_seconds
        stop_at = 99.0
        last_part_at = stop_at + grace * 5.0 / 6.0
        for sent_after, cut_at, works, count in (
            (2.9, last_part_at + MOMENT, True, 0),
            (2.9, last_part_at - MOMENT, True, 1),
            (2.9, last_part_at + MOMENT, False, 1),
            (3.1, last_part_at + MOMENT, True, 1),
        ):
            self.hand = HandLedger()
            self.hand.publish(table(1, *(route(Kind.FETCH),)), 0.0)
            sent_at = stop_at + sent_after
            attempt = self.cut(cut_at - sent_at, sent_at=sent_at, deadline_seconds=9.0)
            # The time limit of the route lies behind the cut.
            attempt.target = "/elsewhere/1?work=10"
            self.hand.arrival(attempt, work_seconds=9.0 if works else 0.1)
            self.hand.trouble(SpanKind.STOP, stop_at, stop_at + grace)
            self.assert_found(check_lost, count, (sent_after, cut_at, works))


class RunsTest(CheckTest):
    def test_two_runs_only_of_what_may_run_once(self) -> None:
        for kind, count in ((Kind.EDIT, 1), (Kind.FETCH, 0), (Kind.CHECK, 0)):
            self.start_over()
            attempt = self.hand.request(kind)
            self.hand.arrival(attempt, replica="replica-0")
            self.assert_found(check_twice, 0, kind)
            self.hand.arrival(attempt, replica="replica-1")
            self.assert_found(check_twice, count, kind)

    def test_rejected_arrival_is_no_run(self) -> None:
        attempt = self.hand.request(Kind.EDIT)
        self.hand.arrival(attempt, work_seconds=None)
        self.hand.arrival(attempt, replica="replica-1")
        self.assert_found(check_twice, 0)

    def test_promises_of_what_has_run(self) -> None:
        for status, count in ((408, 1), (421, 1), (429, 1), (503, 1), (502, 0), (504, 0), (200, 0)):
            self.start_over()
            self.hand.arrival(self.hand.request(Kind.EDIT, status=status))
            self.assert_found(check_refused, count, status)

    def test_promise_of_what_has_not_run(self) -> None:
        self.hand.arrival(self.hand.request(Kind.EDIT, status=503), work_seconds=None)
        self.hand.arrival(self.hand.request(Kind.FETCH, status=503))
        self.assert_found(check_refused, 0)

    def test_arrivals_that_no_client_sent_so(self) -> None:
        for field, value in (
            ("request_id", "request-9"),
            ("method", "POST"),
            ("target", "/fetch/2"),
            ("body", b"x"),
            ("shows_key", True),
            ("service", "shard-0"),
            ("tenant", "blue"),
        ):
            self.start_over()
            arrival = self.hand.arrival(self.hand.request())
            self.assert_found(check_unasked, 0, field)
            self.hand.ledger.arrivals.clear()
            setattr(arrival, field, value)
            self.hand.ledger.note_arrival(arrival)
            self.assert_found(check_unasked, 1, field)

    def test_rejected_arrival_at_a_service_without_a_route(self) -> None:
        self.hand.arrival(self.hand.request(), "shard-0", work_seconds=None)
        self.assert_found(check_unasked, 0)


class AnswersTest(CheckTest):
    def test_sound_answers(self) -> None:
        self.hand.served()
        for shards in (2, 3):
            self.hand.merged(shards)
        self.hand.request(status=503, headers={})
        self.assert_found(check_answers, 0)

    def test_single_answers_that_no_replica_gave(self) -> None:
        for headers, body in (
            ({}, b""),
            ({"server-stamp": "other"}, b""),
            (None, b"x"),
        ):
            self.start_over()
            attempt, _ = self.hand.served()
            attempt.headers = attempt.headers if headers is None else headers
            attempt.answer_body = body
            self.assert_found(check_answers, 1, (headers, body))

    def test_answer_that_belongs_to_another_request(self) -> None:
        attempt, _ = self.hand.served()
        attempt.headers["request-id"] = attempt.request_id
        self.assert_found(check_answers, 0)
        attempt.headers["request-id"] = "request-9"
        self.assert_found(check_answers, 1)

    def test_failure_with_the_signature_of_another_answer(self) -> None:
        attempt, arrival = self.hand.served(status=500)
        self.assert_found(check_answers, 1)
        arrival.status = 500
        self.assert_found(check_answers, 0)
        arrival.end = ArrivalEnd.ANSWER_WITHHELD
        self.assert_found(check_answers, 1, attempt)

    def test_bytes_that_are_no_answer(self) -> None:
        self.hand.request().ending = Ending.MALFORMED
        self.assert_found(check_answers, 1)

    def test_merged_answers_that_do_not_fit(self) -> None:
        for fault in ("too few", "twice", "missing", "records", "failed part"):
            self.start_over()
            attempt = self.hand.merged(1 if fault == "too few" else 3)
            if fault == "twice":
                first = attempt.headers["part-stamps"].split(", ")[0]
                attempt.headers["part-stamps"] += f", {first}"
            if fault == "missing":
                attempt.headers["missing-shards"] = "1"
            if fault == "records":
                attempt.answer_body = attempt.answer_body[::-1][: len(attempt.answer_body) // 2]
            if fault == "failed part":
                self.hand.ledger.arrivals[attempt.request_id][0].status = 500
            self.assert_found(check_answers, 1, fault)


class BudgetTest(CheckTest):
    def extra(self, count: int, sent_at: float = 100.0) -> None:
        """Add requests with one extra arrival each."""
        for number in range(count):
            attempt = self.hand.request(sent_at=sent_at + number * MOMENT)
            self.hand.arrival(attempt, replica="replica-0")
            self.hand.arrival(attempt, replica="replica-1", work_seconds=None)

    def test_extra_arrivals_within_a_window(self) -> None:
        # Of five requests a fifth is one extra arrival, and the slack is four.
        self.extra(5)
        self.assert_found(check_budget, 0)
        self.extra(1, 101.0)
        self.assert_found(check_budget, 1)

    def test_extra_arrivals_of_two_windows_do_not_add_up(self) -> None:
        self.extra(5)
        self.extra(5, 100.0 + BOUNDS.retry_window_seconds + 1.0)
        self.assert_found(check_budget, 0)

    def test_requests_on_too_many_replicas(self) -> None:
        settings = SoakSettings(bounds=Bounds(retry_slack=1_000.0))
        for count, found in ((3, 0), (4, 1)):
            self.start_over()
            for _ in range(count):
                attempt = self.hand.request()
                for number in range(3):
                    self.hand.arrival(attempt, replica=f"replica-{number}")
            self.assert_found(check_budget, found, count, settings)

    def late(self, count: int, given_seconds: float | None, others: int = 0) -> None:
        for number in range(count + others):
            arrival = self.hand.arrival(self.hand.request())
            if number < count:
                arrival.deadline_seconds = given_seconds

    def test_more_time_than_remains(self) -> None:
        remaining_seconds = 5.0 - 0.01
        for count, given, others, found in (
            (21, None, 0, 1),
            (20, None, 0, 0),
            (21, None, 84, 0),
            (21, None, 83, 1),
            (21, remaining_seconds + 0.5 + MOMENT, 0, 1),
            (21, remaining_seconds + 0.5 - MOMENT, 0, 0),
        ):
            self.start_over()
            self.late(count, given, others)
            self.assert_found(check_deadlines, found, (count, given, others))

    def test_nodes_out_of_touch_may_give_more_time(self) -> None:
        self.late(21, None)
        self.assert_excused_out_of_touch(check_deadlines, 100.0)


class GoneTest(CheckTest):
    def leave(self, count: int, works_on: float, kind: Kind = Kind.FETCH) -> None:
        """Add requests whose clients leave after 0.1 s while a replica works on for a time."""
        for _ in range(count):
            attempt = self.hand.request(kind, seconds=0.1, ending=Ending.LEFT)
            self.hand.arrival(attempt, work_seconds=0.09 + works_on)

    def test_work_that_goes_on(self) -> None:
        for count, works_on, found in (
            (8, 0.5 + MOMENT, 1),
            (8, 0.5 - MOMENT, 0),
            (7, 0.5 + MOMENT, 0),
        ):
            self.start_over()
            self.leave(count, works_on)
            self.assert_found(check_gone, found, (count, works_on))

    def test_a_quarter_may_go_on(self) -> None:
        self.leave(2, 0.6)
        self.leave(6, 0.1)
        self.assert_found(check_gone, 0)
        self.leave(1, 0.6)
        self.assert_found(check_gone, 1)

    def test_what_may_run_once_may_go_on(self) -> None:
        self.leave(8, 0.6, Kind.EDIT)
        self.assert_found(check_gone, 0)

    def test_nodes_out_of_touch_may_work_on(self) -> None:
        self.leave(8, 0.6)
        self.assert_excused_out_of_touch(check_gone, 100.0)

    def test_work_that_begins_late(self) -> None:
        for count, after, found in ((4, 0.6 + MOMENT, 1), (4, 0.6 - MOMENT, 0), (3, 0.7, 0)):
            self.start_over()
            for _ in range(count):
                attempt = self.hand.request(seconds=0.1, ending=Ending.LEFT)
                self.hand.arrival(attempt, after_seconds=after, work_seconds=None)
            self.assert_found(check_gone, found, (count, after))


class QuotaTest(CheckTest):
    TENANT = Tenant("blue", ("old", "kept"), None, 1.0, 2.0)
    RENEWED = Tenant("blue", ("kept", "new"), None, 1.0, 2.0)

    def setUp(self) -> None:
        super().setUp()
        self.hand.ledger.tables.clear()
        self.hand.publish(table(1, tenants=(self.TENANT,)), 0.0)

    def run_requests(self, count: int, sent_at: float = 100.0) -> None:
        for _ in range(count):
            self.hand.arrival(self.hand.request(sent_at=sent_at, key="kept"), tenant="blue")

    def test_runs_within_a_window(self) -> None:
        # (1/s for 5 s and a burst of 2) with a tenth more, and 2 of slack, are 9.7.
        self.run_requests(9)
        self.assert_found(check_quota, 0)
        self.run_requests(1, 100.0 + BOUNDS.quota_window_seconds + MOMENT)
        self.assert_found(check_quota, 0)
        self.run_requests(1, 100.0 + BOUNDS.quota_window_seconds - MOMENT)
        self.assert_found(check_quota, 1)

    def test_rejected_requests_do_not_count(self) -> None:
        self.run_requests(9)
        attempt = self.hand.request(key="kept", status=429)
        self.hand.arrival(attempt, work_seconds=None, tenant="blue")
        self.assert_found(check_quota, 0)

    def run_by_old_key(self, after: float, status: int = 200) -> Attempt:
        """Add a request by a key, sent so long after it was taken away."""
        self.hand.publish(table(2, tenants=(self.RENEWED,)), 100.0)
        attempt = self.hand.request(sent_at=100.0 + after, key="old", status=status)
        self.hand.arrival(attempt, work_seconds=0.05 if status == 200 else None, tenant="blue")
        return attempt

    def test_key_that_was_taken_away(self) -> None:
        for after, found in ((4.0 - MOMENT, 0), (4.0 + MOMENT, 1)):
            self.hand.ledger.tables[1:] = []
            self.run_by_old_key(after)
            self.assert_found(check_revoked, found, after)

    def test_rejected_key_and_kept_key(self) -> None:
        self.run_by_old_key(9.0, status=401)
        self.hand.arrival(self.hand.request(sent_at=110.0, key="kept"), tenant="blue")
        self.assert_found(check_revoked, 0)

    def test_only_a_restored_store_excuses_an_old_key(self) -> None:
        self.run_by_old_key(9.0)
        for kind in SpanKind:
            self.hand.ledger.spans.clear()
            self.hand.trouble(kind, 101.0, 102.0)
            excused = kind in (SpanKind.RESTORED, SpanKind.LAG)
            self.assert_found(check_revoked, 0 if excused else 1, kind)

    def test_without_a_bound_for_keys_that_of_the_configuration_holds(self) -> None:
        settings = SoakSettings(bounds=Bounds(revocation_seconds=None))
        for after, found in ((3.0 - MOMENT, 0), (3.0 + MOMENT, 1)):
            self.hand.ledger.tables[1:] = []
            self.run_by_old_key(after)
            self.assert_found(check_revoked, found, after, settings)
        self.hand.trouble(SpanKind.LINK, 101.0, 102.0, NODE)
        self.assert_found(check_revoked, 0, "out of touch", settings)


class ShardsTest(TestCase):
    def test_the_shards_of_the_ledger_are_those_of_its_route(self) -> None:
        self.assertEqual(SHARDS, route(Kind.CHECK).shards)
