"""A planned stop does not count time in which the process was paused."""

import testtools

from wingquay.orchestration.settings import StopSettings
from wingquay.orchestration.stop_machine import StopCheckDue, StopMachine
from wingquay.ports.machine import Exit, StopRequested

SETTINGS = StopSettings(least_seconds=1.0, most_seconds=30.0, check_seconds=0.05)


class TestPausedStop(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.machine = StopMachine(SETTINGS, lambda: 0, lambda: 0)
        self.machine.handle(StopRequested(), 100.0)

    def exits_at(self, now):
        actions = self.machine.handle(StopCheckDue(), now)
        return any(isinstance(action, Exit) for action in actions)

    def test_it_exits_after_the_minimum_time(self):
        checks = [100.0 + 0.05 * number for number in range(1, 30)]
        exits = [now for now in checks if self.exits_at(now)]
        self.assertEqual([101.0], [round(now, 2) for now in exits])

    def test_messages_that_arrive_during_a_pause_are_read_before_the_exit(self):
        self.assertFalse(self.exits_at(100.05))
        self.assertFalse(self.exits_at(140.0))
        self.assertFalse(self.exits_at(140.05))
