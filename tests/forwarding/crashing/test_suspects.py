"""Which crashes count as independent, and when requests are suspect, held, cleared or expired."""

from testtools import TestCase

from wingquay.forwarding.crashing.replica_crash import (
    REPORT_TOLERANCE_SECONDS,
    ReplicaCrash,
    select_independent_crashes,
)
from wingquay.forwarding.crashing.suspects import (
    CLEARED_EXPIRY_SECONDS,
    EXPIRY_SECONDS,
    HOLD_SECONDS,
    MAX_HOLD_SECONDS,
    MAX_SUSPECTS,
    SuspectTable,
    SuspicionLevel,
)

IDENTITY = b"i" * 16


def crash(replica_id: str, sent_at: float, node_id: str = "n1", took: float = 0.05) -> ReplicaCrash:
    return ReplicaCrash(replica_id, node_id, sent_at, sent_at + took)


def consecutive_crashes(number: int, sent_at: float = 0.0) -> list[ReplicaCrash]:
    return [crash(f"r{position}", sent_at + position) for position in range(number)]


class IndependentCrashesTest(TestCase):
    def check(self, expected: list[str], *crashes: ReplicaCrash) -> None:
        self.assertEqual(
            expected, [item.incarnation for item in select_independent_crashes(crashes)]
        )

    def test_overlapping_crashes_count_once(self) -> None:
        self.check(["a"], crash("a", 0.0), crash("b", 0.01), crash("c", 0.04, took=0.4))

    def test_a_crash_counts_if_its_request_was_sent_after_the_previous_crash(self) -> None:
        self.check(["a", "c"], crash("a", 0.0), crash("b", 0.04), crash("c", 0.05))

    def test_crashes_reported_by_different_nodes_need_a_tolerance(self) -> None:
        late = 0.05 + REPORT_TOLERANCE_SECONDS
        self.check(["a"], crash("a", 0.0), crash("b", late - 0.01, "n2"))
        self.check(["a", "b"], crash("a", 0.0), crash("b", late + 0.01, "n2"))

    def test_the_order_of_reports_does_not_matter(self) -> None:
        self.check(["r0", "r1", "r2"], *reversed(consecutive_crashes(3)))


class SuspectTableTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = SuspectTable()

    def level(self, now: float) -> SuspicionLevel:
        return self.suspects.suspicion_level(IDENTITY, now)

    def test_a_request_is_suspect_after_one_crash_and_held_after_three(self) -> None:
        levels = []
        for item in consecutive_crashes(3):
            levels.append(self.level(item.sent_at))
            self.suspects.add(IDENTITY, [item], item.crashed_at)
        levels.append(self.level(3.0))
        usual, suspect, held = SuspicionLevel.NORMAL, SuspicionLevel.SUSPECT, SuspicionLevel.HELD
        self.assertEqual([usual, suspect, suspect, held], levels)

    def test_simultaneous_crashes_start_no_hold(self) -> None:
        crashes = [crash(f"r{position}", 0.001 * position) for position in range(20)]
        self.suspects.add(IDENTITY, crashes, 0.1)
        self.assertEqual(SuspicionLevel.SUSPECT, self.level(1.0))

    def test_a_crash_reported_by_several_nodes_counts_once(self) -> None:
        reports = [crash("r0", 0.0), crash("r0", 1.0, "n2"), crash("r0", 2.0, "n3")]
        for item in reports:
            self.suspects.add(IDENTITY, [item], 3.0)
        self.assertEqual(SuspicionLevel.SUSPECT, self.level(3.0))
        self.assertFalse(self.suspects.add(IDENTITY, reports, 3.0))

    def test_crashes_at_several_nodes_add_up(self) -> None:
        for position in range(3):
            self.suspects.add(IDENTITY, [crash(f"r{position}", position, f"n{position}")], 3.0)
        self.assertEqual(SuspicionLevel.HELD, self.level(3.0))

    def test_an_answer_clears_a_request_and_late_reports_of_older_crashes_are_ignored(self) -> None:
        self.suspects.add(IDENTITY, consecutive_crashes(2), 2.0)
        self.assertTrue(self.suspects.clear(IDENTITY, 2.5))
        self.assertEqual(SuspicionLevel.NORMAL, self.level(2.5))
        self.assertFalse(self.suspects.add(IDENTITY, consecutive_crashes(3), 3.0))
        self.assertTrue(self.suspects.add(IDENTITY, [crash("later", 2.6)], 3.0))

    def test_a_crash_after_a_hold_starts_a_longer_hold(self) -> None:
        self.suspects.add(IDENTITY, consecutive_crashes(3), 3.0)
        over_at = 3.0 + HOLD_SECONDS
        self.assertEqual(SuspicionLevel.HELD, self.level(over_at - 0.1))
        self.assertEqual(SuspicionLevel.SUSPECT, self.level(over_at))
        self.suspects.add(IDENTITY, [crash("again", over_at + 1.0)], over_at + 2.0)
        self.assertEqual(MAX_HOLD_SECONDS, self.suspects.held_seconds(IDENTITY, over_at + 2.0))

    def test_a_released_request_is_suspect_immediately(self) -> None:
        self.suspects.add(IDENTITY, consecutive_crashes(3), 3.0)
        self.assertTrue(self.suspects.release(IDENTITY, 4.0))
        self.assertFalse(self.suspects.release(IDENTITY, 4.0))
        self.assertEqual(SuspicionLevel.SUSPECT, self.level(4.0))

    def test_a_suspect_expires(self) -> None:
        self.suspects.add(IDENTITY, consecutive_crashes(1), 1.0)
        self.assertEqual(SuspicionLevel.SUSPECT, self.level(1.0 + EXPIRY_SECONDS))
        self.assertEqual(SuspicionLevel.NORMAL, self.level(1.1 + EXPIRY_SECONDS))

    def test_the_table_is_bounded_and_held_requests_are_not_evicted(self) -> None:
        self.suspects.add(IDENTITY, consecutive_crashes(3), 3.0)
        for number in range(2 * MAX_SUSPECTS):
            self.suspects.add(number.to_bytes(16), consecutive_crashes(1), 4.0)
        self.assertEqual(MAX_SUSPECTS, len(self.suspects))
        self.assertEqual(SuspicionLevel.HELD, self.level(4.0))

    def test_the_memory_of_cleared_requests_is_bounded(self) -> None:
        for number in range(2 * MAX_SUSPECTS):
            self.suspects.add(number.to_bytes(16), consecutive_crashes(1), 4.0)
            self.suspects.clear(number.to_bytes(16), 4.0)
        self.assertEqual(MAX_SUSPECTS, len(self.suspects._cleared))
        self.suspects.add(IDENTITY, consecutive_crashes(1), 5.0 + CLEARED_EXPIRY_SECONDS)
        self.suspects.clear(IDENTITY, 5.0 + CLEARED_EXPIRY_SECONDS)
        self.assertEqual([IDENTITY], list(self.suspects._cleared))
