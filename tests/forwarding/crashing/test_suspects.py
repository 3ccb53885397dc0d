"""Which ends count, and what is remembered of a request."""

from testtools import TestCase

from wingquay.forwarding.crashing.evidence import (
    TOLD_TOLERANCE_SECONDS,
    ReplicaEnd,
    separate_ends,
)
from wingquay.forwarding.crashing.suspects import (
    CLEARED_SECONDS,
    FORGET_SECONDS,
    HOLD_SECONDS,
    MAX_HOLD_SECONDS,
    MOST_SUSPECTS,
    Suspects,
    SuspicionLevel,
)

IDENTITY = b"i" * 16


def end(replica_id: str, sent_at: float, node_id: str = "n1", took: float = 0.05) -> ReplicaEnd:
    return ReplicaEnd(replica_id, node_id, sent_at, sent_at + took)


def ends_in_row(number: int, sent_at: float = 0.0) -> list[ReplicaEnd]:
    return [end(f"r{place}", sent_at + place) for place in range(number)]


class SeparateEndsTest(TestCase):
    def check(self, expected: list[str], *ends: ReplicaEnd) -> None:
        self.assertEqual(expected, [item.life for item in separate_ends(ends)])

    def test_ends_that_overlap_count_once(self) -> None:
        self.check(["a"], end("a", 0.0), end("b", 0.01), end("c", 0.04, took=0.4))

    def test_an_end_counts_if_its_request_was_sent_after_the_one_before(self) -> None:
        self.check(["a", "c"], end("a", 0.0), end("b", 0.04), end("c", 0.05))

    def test_an_end_that_another_node_tells_must_lie_further_apart(self) -> None:
        late = 0.05 + TOLD_TOLERANCE_SECONDS
        self.check(["a"], end("a", 0.0), end("b", late - 0.01, "n2"))
        self.check(["a", "b"], end("a", 0.0), end("b", late + 0.01, "n2"))

    def test_the_order_in_which_they_become_known_does_not_matter(self) -> None:
        self.check(["r0", "r1", "r2"], *reversed(ends_in_row(3)))


class SuspectsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = Suspects()

    def verdict(self, now: float) -> SuspicionLevel:
        return self.suspects.suspicion_level(IDENTITY, now)

    def test_a_request_is_suspect_after_one_end_and_held_after_three_in_a_row(self) -> None:
        verdicts = []
        for item in ends_in_row(3):
            verdicts.append(self.verdict(item.sent_at))
            self.suspects.add(IDENTITY, [item], item.ended_at)
        verdicts.append(self.verdict(3.0))
        usual, suspect, held = SuspicionLevel.NORMAL, SuspicionLevel.SUSPECT, SuspicionLevel.HELD
        self.assertEqual([usual, suspect, suspect, held], verdicts)

    def test_many_ends_at_once_hold_nothing(self) -> None:
        ends = [end(f"r{place}", 0.001 * place) for place in range(20)]
        self.suspects.add(IDENTITY, ends, 0.1)
        self.assertEqual(SuspicionLevel.SUSPECT, self.verdict(1.0))

    def test_the_same_end_told_by_two_nodes_counts_once(self) -> None:
        told = [end("r0", 0.0), end("r0", 1.0, "n2"), end("r0", 2.0, "n3")]
        for item in told:
            self.suspects.add(IDENTITY, [item], 3.0)
        self.assertEqual(SuspicionLevel.SUSPECT, self.verdict(3.0))
        self.assertFalse(self.suspects.add(IDENTITY, told, 3.0))

    def test_ends_of_several_nodes_add_up(self) -> None:
        for place in range(3):
            self.suspects.add(IDENTITY, [end(f"r{place}", place, f"n{place}")], 3.0)
        self.assertEqual(SuspicionLevel.HELD, self.verdict(3.0))

    def test_an_answer_clears_it_also_of_older_ends_that_are_told_later(self) -> None:
        self.suspects.add(IDENTITY, ends_in_row(2), 2.0)
        self.assertTrue(self.suspects.clear(IDENTITY, 2.5))
        self.assertEqual(SuspicionLevel.NORMAL, self.verdict(2.5))
        self.assertFalse(self.suspects.add(IDENTITY, ends_in_row(3), 3.0))
        self.assertTrue(self.suspects.add(IDENTITY, [end("later", 2.6)], 3.0))

    def test_a_hold_ends_with_a_try_and_another_end_holds_it_longer(self) -> None:
        self.suspects.add(IDENTITY, ends_in_row(3), 3.0)
        over_at = 3.0 + HOLD_SECONDS
        self.assertEqual(SuspicionLevel.HELD, self.verdict(over_at - 0.1))
        self.assertEqual(SuspicionLevel.SUSPECT, self.verdict(over_at))
        self.suspects.add(IDENTITY, [end("again", over_at + 1.0)], over_at + 2.0)
        self.assertEqual(MAX_HOLD_SECONDS, self.suspects.held_seconds(IDENTITY, over_at + 2.0))

    def test_a_lifted_hold_ends_at_once(self) -> None:
        self.suspects.add(IDENTITY, ends_in_row(3), 3.0)
        self.assertTrue(self.suspects.lift(IDENTITY, 4.0))
        self.assertFalse(self.suspects.lift(IDENTITY, 4.0))
        self.assertEqual(SuspicionLevel.SUSPECT, self.verdict(4.0))

    def test_what_does_not_come_again_is_forgotten(self) -> None:
        self.suspects.add(IDENTITY, ends_in_row(1), 1.0)
        self.assertEqual(SuspicionLevel.SUSPECT, self.verdict(1.0 + FORGET_SECONDS))
        self.assertEqual(SuspicionLevel.NORMAL, self.verdict(1.1 + FORGET_SECONDS))

    def test_the_table_has_a_bound_and_keeps_what_is_held(self) -> None:
        self.suspects.add(IDENTITY, ends_in_row(3), 3.0)
        for number in range(2 * MOST_SUSPECTS):
            self.suspects.add(number.to_bytes(16), ends_in_row(1), 4.0)
        self.assertEqual(MOST_SUSPECTS, len(self.suspects))
        self.assertEqual(SuspicionLevel.HELD, self.verdict(4.0))

    def test_so_has_the_memory_of_those_that_were_cleared(self) -> None:
        for number in range(2 * MOST_SUSPECTS):
            self.suspects.add(number.to_bytes(16), ends_in_row(1), 4.0)
            self.suspects.clear(number.to_bytes(16), 4.0)
        self.assertEqual(MOST_SUSPECTS, len(self.suspects._cleared))
        self.suspects.add(IDENTITY, ends_in_row(1), 5.0 + CLEARED_SECONDS)
        self.suspects.clear(IDENTITY, 5.0 + CLEARED_SECONDS)
        self.assertEqual([IDENTITY], list(self.suspects._cleared))
