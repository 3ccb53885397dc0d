"""Extra arrivals where callers are told apart: nobody's burst spends what the others earned."""

from testtools import TestCase

from wingquay.forwarding.sending.extra_turns import WANT_SECONDS, ExtraTurns


class TurnsTest(TestCase):
    def test_the_next_one_is_kept_for_who_had_the_fewest_and_wants_one(self) -> None:
        turns = ExtraTurns()
        found = {"nobody wants one": turns.is_turn_of("hot", 0.0)}
        for _ in range(3):
            turns.took("hot", 0.0)
        found["hot had three, calm wants none"] = turns.is_turn_of("hot", 0.1)
        turns.wanted("hot", 0.1)
        turns.wanted("calm", 0.1)
        found["hot, calm wants one"] = turns.is_turn_of("hot", 0.2)
        found["calm"] = turns.is_turn_of("calm", 0.2)
        found["calm's request is over"] = turns.is_turn_of("hot", 0.1 + WANT_SECONDS)
        turns.wanted("calm", 1.0)
        turns.took("calm", 1.1)
        found["calm has had it"] = turns.is_turn_of("hot", 1.2)
        expected = {
            "nobody wants one": True,
            "hot had three, calm wants none": True,
            "hot, calm wants one": False,
            "calm": True,
            "calm's request is over": True,
            "calm has had it": True,
        }
        self.assertEqual(expected, found)

    def test_many_tenants_are_not_remembered_for_ever(self) -> None:
        turns = ExtraTurns()
        for number in range(1000):
            turns.took(f"tenant{number}", 0.0)
            turns.wanted(f"other{number}", 0.0)
        self.assertLess(len(turns._had) + len(turns._wanted_at), 200)
