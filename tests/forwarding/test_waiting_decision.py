"""Unit tests of the decision whether a request is sent, waits, or is rejected."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.forwarding.sending.capacity import (
    NEVER,
    ExpectedCapacity,
    ReplicaCapacity,
    capacity_for_share,
    expected_capacity,
)
from wingquay.forwarding.sending.decision import (
    NO_CAPACITY_REASON,
    NO_EXTRA_REQUEST_REASON,
    NO_REPLICA_REASON,
    NOT_REPEATABLE_REASON,
    Decision,
    Reject,
    SendNow,
    WaitingRequest,
    WaitUntil,
    decide,
)
from wingquay.forwarding.sending.retry_after import (
    DEFAULT_RETRY_AFTER_SECONDS,
    JITTER_RATIO,
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    jittered_retry_after,
)
from wingquay.forwarding.sending.waiting_settings import WaitingRule, WaitingSettings

ESTIMATE = WaitingSettings(WaitingRule.ESTIMATE)
SHARES = WaitingSettings(WaitingRule.FIXED_SHARES)
RULES = (ESTIMATE, SHARES)


def request(**fields: object) -> WaitingRequest:
    """Return a request that arrived at 0 with an objective of 1 s and a time limit of 8 s."""
    defaults: dict[str, object] = {
        "arrived_at": 0.0,
        "cutoff_at": 0.95,
        "ends_at": 8.0,
        "objective_seconds": 1.0,
        "has_unblocked": True,
    }
    return WaitingRequest(**{**defaults, **fields})  # type: ignore[arg-type]


def outcome(decision: Decision) -> str:
    """Return a decision as text, with its time in milliseconds."""
    match decision:
        case SendNow(incarnation=incarnation):
            return f"send {incarnation}"
        case WaitUntil(when=when):
            return f"wait {when * 1000:.0f}"
        case Reject(retry_after_seconds=seconds):
            return f"reject {seconds if seconds == NEVER else round(seconds * 1000)}"


class DecisionTest(TestCase):
    """Each row: name, request, capacity, time, and the decisions by estimate and fixed shares."""

    def check(
        self, rows: tuple[tuple[str, WaitingRequest, ExpectedCapacity, float, str, str], ...]
    ) -> None:
        decided = {
            name: tuple(outcome(decide(known, capacity, rule, now)) for rule in RULES)
            for name, known, capacity, now, _, _ in rows
        }
        self.assertEqual({row[0]: row[4:] for row in rows}, decided)

    def test_a_request_that_has_not_run(self) -> None:
        none = request(has_unblocked=False)
        coming = request(has_unblocked=False, is_settling=True)
        self.check(
            (
                ("capacity now", request(), ExpectedCapacity(0.0, "r"), 0.0, "send r", "send r"),
                ("capacity soon", request(), ExpectedCapacity(0.06), 0.0, "wait 60", "wait 30"),
                ("capacity in time", request(), ExpectedCapacity(0.5), 0.0, "wait 100", "wait 30"),
                (
                    "late but still worth it",
                    request(),
                    ExpectedCapacity(3.9),
                    0.0,
                    "wait 100",
                    "wait 30",
                ),
                (
                    "capacity too late",
                    request(),
                    ExpectedCapacity(4.5),
                    0.0,
                    "reject 4500",
                    "wait 30",
                ),
                (
                    "has waited",
                    request(),
                    ExpectedCapacity(4.1),
                    3.9,
                    "reject 200",
                    "reject 200",
                ),
                (
                    "full and silent",
                    request(),
                    ExpectedCapacity(NEVER),
                    0.0,
                    "reject inf",
                    "reject inf",
                ),
                ("no replica", none, ExpectedCapacity(NEVER), 0.0, "reject inf", "reject inf"),
                ("unreachable briefly", none, ExpectedCapacity(0.15), 0.0, "wait 100", "wait 30"),
                (
                    "unreachable for long",
                    none,
                    ExpectedCapacity(0.3),
                    0.0,
                    "reject 300",
                    "wait 30",
                ),
                ("records missing", coming, ExpectedCapacity(NEVER), 0.0, "wait 30", "wait 30"),
                (
                    "records still missing",
                    coming,
                    ExpectedCapacity(NEVER),
                    2.39,
                    "reject 30",
                    "reject 30",
                ),
            )
        )

    def test_a_request_that_may_have_run(self) -> None:
        ran = request(may_have_run=True)
        once = request(may_have_run=True, may_run_again=False)
        soon = request(may_have_run=True, extra_request_at=0.2)
        late = request(may_have_run=True, extra_request_at=0.4)
        alone = request(may_have_run=True, has_unblocked=False)
        coming = request(may_have_run=True, has_unblocked=False, is_settling=True)
        self.check(
            (
                ("send to another", ran, ExpectedCapacity(0.0, "r"), 0.0, "send r", "send r"),
                (
                    "may not run again",
                    once,
                    ExpectedCapacity(0.0, "r"),
                    0.0,
                    "reject inf",
                    "reject inf",
                ),
                ("budget soon", soon, ExpectedCapacity(0.0, "r"), 0.0, "wait 100", "wait 30"),
                ("budget late", late, ExpectedCapacity(0.0, "r"), 0.0, "reject 400", "wait 30"),
                ("no other", alone, ExpectedCapacity(NEVER), 0.0, "reject inf", "reject inf"),
                ("records missing", coming, ExpectedCapacity(NEVER), 5.0, "wait 5030", "wait 5030"),
            )
        )

    def test_the_reason_of_a_rejection(self) -> None:
        rows = (
            (request(has_unblocked=False), ExpectedCapacity(NEVER), NO_REPLICA_REASON),
            (request(), ExpectedCapacity(NEVER), NO_CAPACITY_REASON),
            (request(), ExpectedCapacity(5.0), NO_CAPACITY_REASON),
            (request(extra_request_at=NEVER), ExpectedCapacity(0.1), NO_EXTRA_REQUEST_REASON),
            (
                request(may_have_run=True, may_run_again=False),
                ExpectedCapacity(0.0),
                NOT_REPEATABLE_REASON,
            ),
        )
        for known, capacity, reason in rows:
            match decide(known, capacity, ESTIMATE, 0.0):
                case Reject(reason=found):
                    self.assertEqual(reason, found)
                case other:
                    self.fail(f"{known} in {capacity}: {other}")

    @given(
        capacity=st.one_of(st.just(NEVER), st.floats(0.0, 20.0)),
        now=st.floats(0.0, 8.0),
        has_unblocked=st.booleans(),
        is_settling=st.booleans(),
        rule=st.sampled_from(RULES),
    )
    def test_waiting_is_bounded_and_a_recheck_is_never_in_the_past(
        self,
        capacity: float,
        now: float,
        has_unblocked: bool,
        is_settling: bool,
        rule: WaitingSettings,
    ) -> None:
        known = request(has_unblocked=has_unblocked, is_settling=is_settling)
        match decide(known, ExpectedCapacity(capacity), rule, now):
            case WaitUntil(when=when):
                self.assertGreater(when, now)
                self.assertLessEqual(when, known.ends_at / 2 + 1e-9)
            case Reject(retry_after_seconds=seconds):
                self.assertGreater(seconds, 0.0)
            case SendNow():
                self.assertLessEqual(capacity, now)


def saturated(name: str = "r", **fields: object) -> ReplicaCapacity:
    """Return a saturated replica with two slots and a work time of 0.2 s."""
    defaults: dict[str, object] = {
        "incarnation": name,
        "available_at": 0.0,
        "slots": 2,
        "max_in_flight": 3,
        "in_flight": 3,
        "reported_requests": 0.0,
        "work_seconds": 0.2,
    }
    return ReplicaCapacity(**{**defaults, **fields})  # type: ignore[arg-type]


class CapacityTest(TestCase):
    def test_when_capacity_is_expected(self) -> None:
        free, half = saturated("free", in_flight=0), saturated("half", in_flight=1)
        silent = saturated(work_seconds=NEVER)
        rows: tuple[tuple[str, list[ReplicaCapacity], int, ExpectedCapacity], ...] = (
            ("no replica", [], 0, ExpectedCapacity(NEVER)),
            ("one is free", [saturated(), half], 0, ExpectedCapacity(0.0, "half")),
            ("the least busy", [half, free], 0, ExpectedCapacity(0.0, "free")),
            ("queued requests take it", [saturated(), half], 2, ExpectedCapacity(0.05)),
            ("full", [saturated()], 0, ExpectedCapacity(0.1)),
            ("full, and others wait", [saturated()], 4, ExpectedCapacity(0.5)),
            ("two full ones", [saturated(), saturated("s")], 0, ExpectedCapacity(0.05)),
            (
                "half is reported by others",
                [saturated(reported_requests=3.0)],
                0,
                ExpectedCapacity(0.2),
            ),
            ("unreachable", [saturated(available_at=0.4)], 0, ExpectedCapacity(0.4)),
            ("silent", [silent], 0, ExpectedCapacity(NEVER)),
            ("one is silent", [silent, saturated()], 0, ExpectedCapacity(0.1)),
        )
        found = {
            name: expected_capacity(capacities, queued_before, 0.0)
            for name, capacities, queued_before, _ in rows
        }
        rounded = {
            name: ExpectedCapacity(round(capacity.at, 3), capacity.incarnation)
            for name, capacity in found.items()
        }
        self.assertEqual({row[0]: row[3] for row in rows}, rounded)

    def test_capacity_of_a_share_of_the_services(self) -> None:
        moments = (0.0, 0.3, 0.1, NEVER)
        self.assertEqual(ExpectedCapacity(0.3), capacity_for_share(moments, 0.75))
        self.assertEqual(ExpectedCapacity(NEVER), capacity_for_share(moments, 0.8))
        self.assertEqual(ExpectedCapacity(0.0), capacity_for_share(moments, 0.0))


class RetryAfterTest(TestCase):
    @given(capacity=st.one_of(st.just(NEVER), st.floats(0.0, 100.0)), draw=st.floats(0.0, 1.0))
    def test_the_retry_is_not_before_capacity_and_not_far_too_late(
        self, capacity: float, draw: float
    ) -> None:
        seconds = jittered_retry_after(capacity, draw)
        known = DEFAULT_RETRY_AFTER_SECONDS if capacity == NEVER else capacity
        self.assertGreaterEqual(seconds, min(known, MAX_RETRY_AFTER_SECONDS))
        self.assertGreaterEqual(seconds, MIN_RETRY_AFTER_SECONDS)
        self.assertLessEqual(seconds, MAX_RETRY_AFTER_SECONDS * (1.0 + JITTER_RATIO))
