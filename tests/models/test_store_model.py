"""Tests of the simulated key-value store and machine list on virtual time."""

import random

from testtools import TestCase

from wingquay.model.failure import Failure
from wingquay.model.identifiers import ZoneName
from wingquay.ports.machine_directory import MachineEntry, MachineState
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StoreFailureKind,
    StoreOperation,
    StoreResponse,
    SwapResult,
    WatchBroken,
    WatchChanged,
)
from wingquay.simulation.models.machine_list_model import MachineListModel
from wingquay.simulation.models.store_model import StoreModel, StoreSettings
from wingquay.simulation.models.store_operations import StoreOutput, prefix_span

KEY = "wingquay/configuration/current"
PREFIX = "wingquay/"
HALF_LATENCY_SECONDS = StoreSettings().latency_seconds / 2
LOST = StoreFailureKind.LOST_REPLY


class StoreHarness:
    """A simulated store with a virtual clock."""

    def __init__(self, **changes: object) -> None:
        settings = StoreSettings(**changes)  # type: ignore[arg-type]
        self.store = StoreModel(settings, random.Random(3))
        self.now = 0.0
        self.count = 0

    def submit(self, operation: StoreOperation, timeout_seconds: float = 2.0) -> str:
        self.count += 1
        operation_id = f"operation-{self.count}"
        self.store.submit(operation_id, operation, self.now, timeout_seconds)
        return operation_id

    def pass_time(self, seconds: float) -> list[StoreOutput]:
        self.now += seconds
        return self.store.advance(self.now)

    def perform(self, operation: StoreOperation) -> object:
        """Submit an operation and return its result, or the failure's kind."""
        operation_id = self.submit(operation)
        while (next_at := self.store.next_event_at()) is not None:
            self.now = max(self.now, next_at)
            for output in self.store.advance(self.now):
                if isinstance(output, StoreResponse) and output.operation_id == operation_id:
                    result = output.result
                    return result.kind if isinstance(result, Failure) else result
        raise AssertionError("no reply")

    def swap(self, expected: int, value: bytes | None, lease_id: int = 0) -> object:
        return self.perform(CompareAndSwap(KEY, expected, value, lease_id))

    def value(self) -> bytes | None:
        result = self.perform(Read(KEY))
        assert isinstance(result, ReadResult)
        return result.values[0].value if result.values else None


class SwapTest(TestCase):
    def test_a_failed_swap_returns_the_current_value(self) -> None:
        harness = StoreHarness()
        self.assertEqual(SwapResult(True, 2), harness.swap(0, b"one"))
        rejected = harness.swap(0, b"two")
        assert isinstance(rejected, SwapResult) and rejected.current is not None
        self.assertEqual((False, 2), (rejected.succeeded, rejected.store_revision))
        self.assertEqual(b"one", rejected.current.value)
        self.assertEqual(SwapResult(True, 3), harness.swap(2, b"two"))
        self.assertEqual(SwapResult(True, 4), harness.swap(3, None))
        self.assertIsNone(harness.value())

    def test_a_prefix_read_returns_its_keys_in_order(self) -> None:
        harness = StoreHarness()
        for key in ("wingquay/b", "other", "wingquay/a", "wingquaz"):
            harness.perform(CompareAndSwap(key, 0, b""))
        result = harness.perform(Read(PREFIX, prefix=True))
        assert isinstance(result, ReadResult)
        self.assertEqual(["wingquay/a", "wingquay/b"], [value.key for value in result.values])

    def test_a_lost_reply_hides_a_swap_that_took_effect(self) -> None:
        harness = StoreHarness()
        harness.store.faults.replies_to_lose = 1
        self.assertEqual(LOST, harness.swap(0, b"landed"))
        self.assertEqual(b"landed", harness.value())

    def test_a_slow_swap_takes_effect_after_its_timeout(self) -> None:
        harness = StoreHarness()
        harness.store.slow_down(10.0, until=1.0, now=0.0)
        self.assertEqual(LOST, harness.swap(0, b"late"))
        self.assertEqual((), harness.store.state.read(prefix_span("")))
        harness.pass_time(10.0)
        self.assertEqual(b"late", harness.value())


class FaultTest(TestCase):
    def test_operations_above_the_rate_limit_are_rejected(self) -> None:
        harness = StoreHarness(rate_per_second=1.0, burst=2.0)
        for _ in range(4):
            harness.submit(GrantLease(10))
        outputs = harness.pass_time(0.1)
        rejected = [output.result.kind for output in outputs if isinstance(output.result, Failure)]  # type: ignore[union-attr]
        self.assertEqual([StoreFailureKind.RATE_LIMITED] * 2, rejected)
        harness.pass_time(1.0)
        self.assertIsInstance(harness.perform(Read(KEY)), ReadResult)

    def test_an_outage_loses_replies_rejects_operations_and_breaks_watches(self) -> None:
        harness = StoreHarness()
        harness.store.start_watch("watch", prefix_span(PREFIX), 0, 0.0)
        harness.submit(CompareAndSwap(KEY, 0, b"landed"))
        harness.store.refuse_until(60.0, now=0.001)
        lost, broken = harness.store.advance(0.001)
        assert isinstance(lost, StoreResponse) and isinstance(lost.result, Failure)
        self.assertEqual(LOST, lost.result.kind)
        self.assertIsInstance(broken, WatchBroken)
        self.assertEqual(StoreFailureKind.UNREACHABLE, harness.perform(Read(KEY)))
        harness.pass_time(60.0)
        self.assertEqual(b"landed", harness.value())

    def test_an_unresponsive_store_applies_nothing(self) -> None:
        harness = StoreHarness()
        harness.store.silence_until(1.0, now=0.0)
        self.assertEqual(LOST, harness.swap(0, b"never"))
        self.assertIsNone(harness.value())


class LeaseTest(TestCase):
    def test_an_expired_lease_deletes_its_keys(self) -> None:
        harness = StoreHarness()
        granted = harness.perform(GrantLease(10))
        assert isinstance(granted, LeaseState)
        lease_id = granted.lease_id
        self.assertEqual(SwapResult(True, 2), harness.swap(0, b"held", lease_id))
        harness.pass_time(9.0)
        renewed = harness.perform(KeepLeaseAlive(lease_id))
        self.assertEqual(LeaseState(lease_id, 10 - HALF_LATENCY_SECONDS), renewed)
        harness.pass_time(9.0)
        self.assertEqual(b"held", harness.value())
        harness.pass_time(1.1)
        self.assertIsNone(harness.value())
        self.assertEqual(LeaseState(lease_id, 0), harness.perform(KeepLeaseAlive(lease_id)))
        self.assertEqual(SwapResult(False, 3), harness.swap(0, b"again", lease_id))

    def test_revoking_a_lease_deletes_its_keys_at_once(self) -> None:
        harness = StoreHarness()
        harness.perform(GrantLease(10))
        harness.swap(0, b"held", 1)
        self.assertEqual(LeaseState(1, 0), harness.perform(RevokeLease(1)))
        self.assertIsNone(harness.value())


class WatchTest(TestCase):
    def changes(self, outputs: list[StoreOutput]) -> list[tuple[int, int, int]]:
        return [
            (output.store_revision, len(output.changed), len(output.deleted))
            for output in outputs
            if isinstance(output, WatchChanged)
        ]

    def test_a_watch_reports_past_and_new_changes(self) -> None:
        harness = StoreHarness()
        harness.swap(0, b"one")
        harness.store.start_watch("watch", prefix_span(PREFIX), 2, harness.now)
        self.assertEqual([(2, 1, 0)], self.changes(harness.pass_time(0.1)))
        harness.submit(CompareAndSwap("elsewhere", 0, b""))
        harness.submit(CompareAndSwap(KEY, 2, None))
        self.assertEqual([(4, 0, 1)], self.changes(harness.pass_time(0.1)))
        harness.store.stop_watch("watch", harness.now)
        harness.submit(CompareAndSwap(KEY, 0, b""))
        self.assertEqual([], self.changes(harness.pass_time(0.1)))

    def test_a_watch_can_skip_changes_and_break(self) -> None:
        harness = StoreHarness()
        harness.store.start_watch("watch", prefix_span(PREFIX), 0, 0.0)
        harness.store.skip_watch_events(1)
        harness.submit(CompareAndSwap(KEY, 0, b"skipped"))
        harness.submit(CompareAndSwap("wingquay/told", 0, b"told"))
        self.assertEqual([(3, 1, 0)], self.changes(harness.pass_time(0.1)))
        harness.store.break_watches("test", harness.now)
        self.assertEqual([WatchBroken("watch", "test")], harness.pass_time(0.0))

    def test_a_watch_of_compacted_history_breaks(self) -> None:
        harness = StoreHarness()
        harness.swap(0, b"one")
        harness.store.compact(harness.now)
        harness.store.start_watch("watch", prefix_span(PREFIX), 2, harness.now)
        (broken,) = harness.pass_time(0.0)
        self.assertIsInstance(broken, WatchBroken)


class MachineListTest(TestCase):
    def test_the_machine_list_lags_and_can_fail(self) -> None:
        machines = MachineListModel(lag_seconds=5.0)
        entry = MachineEntry("127.0.0.1", 80, ZoneName("dej"), MachineState.LIVE)
        machines.put(entry, 0.0)
        self.assertEqual((), machines.read(4.9))
        self.assertEqual((entry,), machines.read(5.0))
        machines.remove("127.0.0.1", 80, 6.0)
        self.assertEqual((entry,), machines.read(10.9))
        machines.fail_until(12.0)
        self.assertIsInstance(machines.read(11.0), Failure)
        self.assertEqual((), machines.read(12.0))
