"""CONFIG and DENIED by ledgers written by hand: broken, just inside a bound, excused."""

from scripts.soak.checks.configuration import (
    check_configuration,
    check_denied,
    check_held,
    check_regress,
)
from scripts.soak.ledger import Attempt, Ending, SpanKind
from scripts.soak.requests import Kind
from tests.soak.check_test_case import BOUNDS, MOMENT, CheckTest
from tests.soak.hand_ledger import (
    OTHER_SERVICE,
    SERVICE,
    TIMEOUT_SECONDS,
    route,
    table,
)


class ConfigurationTest(CheckTest):
    def moved(self, sent_after: float) -> Attempt:
        """Add a request that the old service ran, sent so long after its route had moved."""
        moved = table(2, route(Kind.FETCH, OTHER_SERVICE))
        self.hand.publish(moved, 100.0)
        attempt = self.hand.request(sent_at=100.0 + sent_after)
        self.hand.arrival(attempt, SERVICE)
        return attempt

    def test_old_service_runs_a_request_after_the_bound(self) -> None:
        bound = BOUNDS.configuration_seconds
        for after, count in ((bound - MOMENT, 0), (bound + MOMENT, 1)):
            self.start_over()
            self.moved(after)
            self.assert_found(check_configuration, count, after)

    def test_nodes_out_of_touch_may_go_by_an_old_configuration(self) -> None:
        attempt = self.moved(BOUNDS.configuration_seconds + 10.0)
        self.assert_excused_out_of_touch(check_configuration, attempt.sent_at)

    def test_trouble_of_another_node_is_no_excuse(self) -> None:
        attempt = self.moved(BOUNDS.configuration_seconds + 10.0)
        for kind in (SpanKind.KILL, SpanKind.LINK):
            self.hand.trouble(kind, attempt.sent_at - 1.0, attempt.sent_at, "node-1")
        self.assert_found(check_configuration, 1)

    def test_route_that_is_not_found(self) -> None:
        self.hand.request(status=404)
        self.assert_found(check_configuration, 1)
        self.hand.publish(table(2, route(Kind.EDIT)), 100.0 - MOMENT)
        self.assert_found(check_configuration, 0)

    def test_node_that_goes_back(self) -> None:
        self.hand.publish(table(2, route(Kind.FETCH, OTHER_SERVICE)), 100.0)
        for sent_at, service in ((101.0, OTHER_SERVICE), (101.2, SERVICE)):
            self.hand.arrival(self.hand.request(sent_at=sent_at), service)
        self.assert_found(check_regress, 0)
        self.hand.arrival(self.hand.request(sent_at=101.3), SERVICE)
        self.assert_found(check_regress, 1)

    def test_new_start_of_a_node_may_go_back(self) -> None:
        self.hand.publish(table(2, route(Kind.FETCH, OTHER_SERVICE)), 100.0)
        self.hand.arrival(self.hand.request(sent_at=101.0), OTHER_SERVICE)
        self.hand.trouble(SpanKind.START, 102.0, 102.2)
        self.hand.arrival(self.hand.request(sent_at=103.0), SERVICE)
        self.assert_found(check_regress, 0)

    def hold(self, count: int, seconds: float, others: int = 0) -> None:
        """Add requests that are held so long, and others that end at their time limit."""
        for number in range(count + others):
            held = seconds if number < count else TIMEOUT_SECONDS + MOMENT
            self.hand.request(seconds=held, status=504)

    def test_requests_held_beyond_the_time_of_their_route(self) -> None:
        for count, seconds, others, found in (
            (8, TIMEOUT_SECONDS + 0.5 + MOMENT, 0, 1),
            (8, TIMEOUT_SECONDS + 0.5 - MOMENT, 0, 0),
            (7, TIMEOUT_SECONDS + 0.5 + MOMENT, 0, 0),
            (8, TIMEOUT_SECONDS + 0.5 + MOMENT, 23, 1),
            (8, TIMEOUT_SECONDS + 0.5 + MOMENT, 24, 0),
        ):
            self.start_over()
            self.hold(count, seconds, others)
            self.assert_found(check_held, found, (count, seconds, others))

    def test_nodes_out_of_touch_may_hold_requests(self) -> None:
        self.hold(8, TIMEOUT_SECONDS + 1.0)
        self.assert_excused_out_of_touch(check_held, 100.0)

    def test_requests_that_were_left_or_never_sent_are_not_held(self) -> None:
        for field, value in (("ending", Ending.LEFT), ("last_byte_at", 0.0)):
            self.start_over()
            self.hold(8, TIMEOUT_SECONDS + 1.0)
            self.assert_found(check_held, 1, field)
            for attempt in self.hand.ledger.attempts.values():
                setattr(attempt, field, value)
            self.assert_found(check_held, 0, field)

    def deny(self, count: int, status: int = 403) -> None:
        for _ in range(count):
            self.hand.request(status=status)

    def test_denied_requests(self) -> None:
        for count, status, found in (
            (5, 403, 0),
            (6, 403, 1),
            (6, 404, 1),
            (20, 408, 0),
            (20, 421, 0),
            (20, 429, 0),
        ):
            self.start_over()
            self.deny(count, status)
            self.assert_found(check_denied, found, (count, status))

    def test_one_in_five_hundred_more_may_be_denied(self) -> None:
        for _ in range(494):
            self.hand.request()
        self.deny(6)
        self.assert_found(check_denied, 0)

    def test_nodes_out_of_touch_may_deny_ten(self) -> None:
        self.hand.trouble(SpanKind.LINK, 98.0, 101.0)
        self.deny(10)
        self.assert_found(check_denied, 0)
        self.deny(1)
        self.assert_found(check_denied, 1)

    def test_requests_that_a_configuration_does_not_allow_may_be_denied(self) -> None:
        self.deny(20)
        self.hand.publish(table(2, route(Kind.EDIT)), 99.0)
        self.assert_found(check_denied, 0)
