"""Slow replicas are tried one at a time, and less often after a slow trial."""

from testtools import TestCase

from tests.forwarding.one_node import OneNode, replica, sharded_route, table
from wingquay.forwarding.choice.replica_state import ReplicaState
from wingquay.forwarding.choice.replica_trials import ReplicaTrials
from wingquay.forwarding.settings import ForwardingSettings

SHARDS = 6
TYPICAL_SECONDS = 0.01
SLOW_SECONDS = 0.09


def state(slow_streak: int) -> ReplicaState:
    return ReplicaState(replica("r", "s"), 0.0, slow_streak=slow_streak)


class SlowStreakTest(TestCase):
    def test_attempts_slowed_by_the_same_pause_count_once(self) -> None:
        replica_state = state(0)
        for _ in range(3):
            replica_state.on_latency(6.0, sent_at=10.0, now=10.2)
        self.assertEqual(1, replica_state.slow_streak)

    def test_a_slow_trial_extends_the_streak_and_a_typical_one_ends_it(self) -> None:
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

    def test_replicas_that_are_not_slow_are_not_spaced(self) -> None:
        trials = ReplicaTrials(ForwardingSettings(zone="a"))
        trials.on_chosen(state(2), 1.0)
        self.assertTrue(trials.is_allowed(state(0), 1.0))

    def test_a_slow_replica_chosen_without_alternative_is_no_trial(self) -> None:
        trials = ReplicaTrials(ForwardingSettings(zone="a"))
        trials.on_chosen(state(2), 1.0)
        trials.on_chosen(state(2), 1.5)
        self.assertTrue(trials.is_allowed(state(2), 2.01))


class RequestTest(TestCase):
    """All replicas of the local zone become slow at once, those of the other zone do not."""

    def test_one_request_does_not_try_all_slow_replicas(self) -> None:
        node = OneNode()
        records = [replica(f"near{number}", f"s{number}", "a") for number in range(SHARDS)]
        records += [replica(f"far{number}", f"s{number}", "b") for number in range(SHARDS)]
        node.start(table(1, sharded_route(SHARDS, max_attempts=1)), *records)
        for _ in range(20):
            self.serve(node, local_seconds=TYPICAL_SECONDS)
        local_sends = [self.serve(node, local_seconds=SLOW_SECONDS) for _ in range(120)]
        self.assertEqual(SHARDS, local_sends[0])
        # Later requests avoid the slow replicas except for one trial at a time.
        self.assertLessEqual(max(local_sends[2:]), 1)
        self.assertGreater(sum(local_sends[2:]), 0)

    def serve(self, node: OneNode, local_seconds: float) -> int:
        """Run one request; return the number of local replicas that it was sent to."""
        before = len(node.all_sends)
        node.request("/all/x")
        node.advance(TYPICAL_SECONDS)
        for send in list(node.sends):
            if send.replica.zone == "b" or local_seconds == TYPICAL_SECONDS:
                node.answer(send)
        node.advance(local_seconds - TYPICAL_SECONDS)
        for send in list(node.sends):
            node.answer(send)
        node.advance(0.05)
        return sum(send.replica.zone == "a" for send in node.all_sends[before:])
