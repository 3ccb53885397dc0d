"""Slow replicas are tried again one at a time, and seldom once a trial has shown them slow."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.forwarding.choice.replica_state import ReplicaState
from wingquay.forwarding.choice.replica_trials import ReplicaTrials
from wingquay.forwarding.settings import ForwardingSettings

SHARDS = 6
USUAL_SECONDS = 0.01
SLOW_SECONDS = 0.09


def state(slow_streak: int) -> ReplicaState:
    return ReplicaState(replica("r", "s"), 0.0, slow_streak=slow_streak)


class SlowInRowTest(TestCase):
    def test_attempts_that_met_one_pause_count_once(self) -> None:
        replica_state = state(0)
        for _ in range(3):
            replica_state.on_latency(6.0, sent_at=10.0, now=10.2)
        self.assertEqual(1, replica_state.slow_streak)

    def test_a_slow_trial_counts_and_a_usual_one_ends_the_row(self) -> None:
        replica_state = state(0)
        replica_state.on_latency(6.0, sent_at=10.0, now=10.2)
        replica_state.on_latency(6.0, sent_at=13.0, now=13.2)
        self.assertEqual(2, replica_state.slow_streak)
        replica_state.on_latency(1.1, sent_at=15.0, now=15.1)
        self.assertEqual(0, replica_state.slow_streak)


class SpacingTest(TestCase):
    def test_trials_are_spaced(self) -> None:
        trials = ReplicaTrials(ForwardingSettings(zone="a"))
        for slow_streak, spacing_seconds in ((1, 0.1), (2, 1.0), (7, 1.0)):
            start = 100.0 * slow_streak
            first, second = state(slow_streak), state(slow_streak)
            self.assertTrue(trials.is_allowed(first, start))
            trials.on_chosen(first, start)
            self.assertFalse(trials.is_allowed(second, start + spacing_seconds - 0.01))
            self.assertTrue(trials.is_allowed(second, start + spacing_seconds + 0.01))

    def test_usual_replicas_are_not_spaced(self) -> None:
        trials = ReplicaTrials(ForwardingSettings(zone="a"))
        trials.on_chosen(state(2), 1.0)
        self.assertTrue(trials.is_allowed(state(0), 1.0))

    def test_a_slow_replica_that_is_asked_for_want_of_another_is_no_trial(self) -> None:
        trials = ReplicaTrials(ForwardingSettings(zone="a"))
        trials.on_chosen(state(2), 1.0)
        trials.on_chosen(state(2), 1.5)
        self.assertTrue(trials.is_allowed(state(2), 2.01))


class RequestTest(TestCase):
    """All near replicas turn slow at once, the far ones answer as usual."""

    def test_one_request_does_not_try_them_all(self) -> None:
        node = OneNode()
        records = [replica(f"near{number}", f"s{number}", "a") for number in range(SHARDS)]
        records += [replica(f"far{number}", f"s{number}", "b") for number in range(SHARDS)]
        node.start(table(1, sharded_route(SHARDS, max_attempts=1)), *records)
        for _ in range(20):
            self.serve(node, near_seconds=USUAL_SECONDS)
        asked = [self.serve(node, near_seconds=SLOW_SECONDS) for _ in range(120)]
        self.assertEqual(SHARDS, asked[0])
        # Later requests do without them, but for one trial at a time.
        self.assertLessEqual(max(asked[2:]), 1)
        self.assertGreater(sum(asked[2:]), 0)

    def serve(self, node: OneNode, near_seconds: float) -> int:
        """Play one request; return how many near replicas it asked."""
        before = len(node.all_sends)
        node.request("/all/x")
        node.advance(USUAL_SECONDS)
        for send in list(node.sends):
            if send.replica.zone == "b" or near_seconds == USUAL_SECONDS:
                node.answer(send)
        node.advance(near_seconds - USUAL_SECONDS)
        for send in list(node.sends):
            node.answer(send)
        node.advance(0.05)
        return sum(send.replica.zone == "a" for send in node.all_sends[before:])
