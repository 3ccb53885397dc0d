"""The simulated store comes back from an older copy, and nodes keep their promises through it."""

import random

from testtools import TestCase

from tests.simulation.forwarding.test_soak import SOAK
from wingquay.model.store_version import StoreVersion
from wingquay.ports.machine import Event
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    StartWatch,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreRestored,
    SwapResult,
    WatchBroken,
)
from wingquay.simulation.forwarding.faults import (
    FAULTS,
    RESTORE_FAULTS,
    play,
    replica_drains,
    store_restored,
)
from wingquay.simulation.forwarding.settings import SimulationSettings
from wingquay.simulation.forwarding.simulation import ForwardingSimulation
from wingquay.simulation.forwarding.store import StoreModel
from wingquay.simulation.virtual_clock import VirtualClock

ERA = 1


class RestoredModelTest(TestCase):
    """What the model shows to one node."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock)
        self.store.keep_copies()
        self.events: list[Event] = []
        self._operations = 0

    def emit(self, event: Event) -> None:
        self.events.append(event)

    def wait(self, seconds: float) -> None:
        self.clock.run_until(self.clock.now + seconds)

    def ask(self, operation: StoreOperation) -> object:
        self._operations += 1
        self.store.perform(0, StoreRequest(f"o{self._operations}", operation), self.emit)
        self.wait(0.1)
        answer = self.events[-1]
        assert isinstance(answer, StoreResponse)
        return answer.result

    def read(self) -> ReadResult:
        result = self.ask(Read("", prefix=True))
        assert isinstance(result, ReadResult)
        return result

    def test_later_writes_are_lost_and_revisions_are_assigned_again(self) -> None:
        self.store.put("a", b"1")
        self.wait(1.0)
        self.store.put("a", b"2")
        self.store.put("b", b"1")
        lost = self.store.restore(0.4)
        self.assertEqual(["a", "b"], [item.key for item in lost.changed])
        self.assertEqual([b"1"], [item.value for item in self.read().values])
        self.store.put("c", b"1")
        versions = {item.key: item.modified_at for item in self.read().values}
        expected = {"a": StoreVersion.of(ERA, 1), "c": StoreVersion.of(ERA, 2)}
        self.assertEqual(expected, versions)

    def test_deleted_keys_are_there_again(self) -> None:
        self.store.put("a", b"1")
        self.wait(1.0)
        self.store.delete("a")
        self.assertEqual(("a",), self.store.restore(0.4).deleted)

    def test_leases_are_gone_with_their_keys(self) -> None:
        lease = self.ask(GrantLease(36))
        assert isinstance(lease, LeaseState)
        self.ask(CompareAndSwap("a", 0, b"1", lease.lease_id))
        self.wait(1.0)
        self.store.restore(0.5)
        self.assertEqual((), self.read().values)
        renewed = self.ask(KeepLeaseAlive(lease.lease_id))
        self.assertEqual(LeaseState(lease.lease_id, 0.0), renewed)

    def test_the_first_answer_of_the_era_follows_its_announcement(self) -> None:
        self.read()
        self.store.restore(0.0)
        self.read()
        self.read()
        announced = [event for event in self.events if isinstance(event, StoreRestored)]
        self.assertEqual([StoreRestored(StoreVersion.of(ERA, 0))], announced)
        self.assertIs(announced[0], self.events[1])

    def test_a_watch_of_the_earlier_era_has_lost_its_history(self) -> None:
        self.store.put("a", b"1")
        version = self.read().store_revision
        self.store.watch(0, StartWatch("w", "", version), self.emit)
        self.wait(0.1)
        self.store.restore(0.0)
        self.wait(0.1)
        broken = self.events[-1]
        assert isinstance(broken, WatchBroken)
        self.assertTrue(broken.history_lost)
        self.assertIsInstance(self.events[-2], StoreRestored)

    def test_a_condition_of_the_earlier_era_is_not_met(self) -> None:
        self.store.put("a", b"1")
        self.wait(1.0)
        (item,) = self.read().values
        self.store.restore(0.5)
        swap = self.ask(CompareAndSwap("a", item.modified_at, b"2"))
        self.assertNotIsInstance(swap, SwapResult)


def drain_then_restore(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let the store lose a drain that is due everywhere, while the replica still serves."""
    replica_drains(simulation, chance)
    bound = simulation.settings.drain_bound_seconds
    simulation.clock.after(bound + 0.1, simulation.restore_store, 0.1, 8.0, chance)


class PromisesTest(TestCase):
    def test_a_drained_replica_gets_nothing_although_the_copy_says_that_it_is_ready(self) -> None:
        settings = SimulationSettings(requests_per_second=300.0)
        for seed in range(3):
            result = play(seed, settings, (drain_then_restore,) * 2)
            self.assertEqual((), result.violations, seed)

    def test_nodes_serve_on_while_the_store_comes_back(self) -> None:
        for seed in range(3):
            result = play(seed, SimulationSettings(), (store_restored,) * 2)
            self.assertEqual((), result.violations, seed)
            self.assertGreater(result.served, 0.95 * result.requests, seed)

    def test_a_minute_of_faults_with_restorations(self) -> None:
        drawn = (*FAULTS, *RESTORE_FAULTS * 6)
        for seed in (80000, 80002):
            chance = random.Random(f"soak/{seed}")
            result = play(seed, SOAK, tuple(chance.choice(drawn) for _ in range(20)))
            self.assertEqual((), result.violations, seed)
