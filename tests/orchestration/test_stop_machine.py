"""The planned stop counts only time in which the process ran."""

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

    def test_it_ends_after_the_shortest_time(self):
        checks = [100.0 + 0.05 * number for number in range(1, 30)]
        exits = [now for now in checks if self.exits_at(now)]
        self.assertEqual([101.0], [round(now, 2) for now in exits])

    def test_what_came_in_a_pause_is_read_before_it_ends(self):
        self.assertFalse(self.exits_at(100.05))
        self.assertFalse(self.exits_at(140.0))
        self.assertFalse(self.exits_at(140.05))
