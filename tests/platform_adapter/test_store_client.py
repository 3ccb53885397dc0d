"""The platform's store client against a stand-in of the store on loopback."""

import asyncio

from testtools import TestCase

from tests.adapters.raw_http import LOOPBACK, run
from wingquay.model.failure import Failure
from wingquay.platform.standins.store import StandInStore
from wingquay.platform.store_client import PlatformStoreClient
from wingquay.platform.store_formats import is_full_watch, watch_changed
from wingquay.ports.machine import Count, Event, Log
from wingquay.ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StartWatch,
    StopWatch,
    StoredValue,
    StoreFailureKind,
    StoreOperation,
    StoreRequest,
    StoreResponse,
    StoreResult,
    SwapResult,
    WatchBroken,
    WatchChanged,
)


class Client:
    def __init__(self) -> None:
        self.store = StandInStore()
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.counts: list[Count] = []
        self.lines: list[Log] = []
        self._operations = 0

    async def start(self) -> None:
        port = await self.store.start()
        self.client = PlatformStoreClient(
            LOOPBACK, port, self.events.put_nowait, self.counts.append, self.lines.append
        )

    async def ask(self, operation: StoreOperation) -> StoreResult | Failure[StoreFailureKind]:
        self._operations += 1
        self.client.perform(StoreRequest(f"o{self._operations}", operation))
        response = await self.events.get()
        assert isinstance(response, StoreResponse)
        assert response.operation_id == f"o{self._operations}"
        return response.result


class OperationsTest(TestCase):
    def test_all_pages_are_read_and_the_first_ones_revision_counts(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.page_items = 2
            for number in range(5):
                client.store.put(f"a/{number}", number)
            client.store.put("b/0", 0)
            result = await client.ask(Read("a/", prefix=True))
            self.assertEqual([f"a/{number}" for number in range(5)], [v.key for v in result.values])
            self.assertEqual([b"0", b"1"], [v.value for v in result.values[:2]])
            self.assertEqual(6, result.store_revision)

        run(test())

    def test_a_listing_from_a_copy_is_brought_up_to_date(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            store = client.store
            store.page_items = 2
            for number in range(5):
                store.put(f"a/{number}", number)
            store.keep_copy()
            store.put("a/1", 11)
            store.remove("a/3")
            store.put("a/9", 9)
            result = await client.ask(Read("a/", prefix=True, may_start_stale=True))
            known = {item.key: item.value for item in result.values}
            wanted = {"a/0": b"0", "a/1": b"11", "a/2": b"2", "a/4": b"4", "a/9": b"9"}
            self.assertEqual(wanted, known)
            self.assertEqual(8, result.store_revision)
            self.assertEqual((3, 1), (store.calls["stale"], store.calls["/-/kv-watch"]))

        run(test())

    def test_a_copy_with_nothing_new_is_current(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 1)
            result = await client.ask(Read("", prefix=True, may_start_stale=True))
            self.assertEqual((["a"], 1), ([v.key for v in result.values], result.store_revision))

        run(test())

    def test_a_copy_far_behind_is_caught_up_with_in_several_answers(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.keep_copy()
            for number in range(1_200):
                client.store.put(f"k{number:04}", number)
            result = await client.ask(Read("", prefix=True, may_start_stale=True))
            self.assertEqual((1_200, 1_200), (len(result.values), result.store_revision))
            self.assertEqual(3, client.store.calls["/-/kv-watch"])

        run(test())

    def test_a_copy_older_than_the_stores_history_is_not_used(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 1)
            client.store.keep_copy()
            client.store.put("b", 1)
            client.store.forget_history()
            result = await client.ask(Read("", prefix=True, may_start_stale=True))
            self.assertEqual(["a", "b"], sorted(item.key for item in result.values))
            self.assertEqual(2, result.store_revision)

        run(test())

    def test_a_reading_tells_when_the_store_was_asked_for_what_it_has_acknowledged(self) -> None:
        async def test() -> None:
            loop = asyncio.get_running_loop()
            client = Client()
            await client.start()
            client.store.put("a", 1)
            for may_lag in (False, True):
                before = loop.time()
                result = await client.ask(Read("", prefix=True, may_start_stale=may_lag))
                self.assertTrue(before <= result.begun_at <= loop.time())
            client.store.keep_copy()
            client.store.forget_history()
            client.store.put("b", 1)
            before = loop.time()
            result = await client.ask(Read("", prefix=True, may_start_stale=True))
            self.assertTrue(before <= result.begun_at <= loop.time())

        run(test())

    def test_a_store_that_fails_after_the_copy_leaves_nothing_to_go_by(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 1)
            client.store.statuses += [503]
            operation = Read("", prefix=True, may_start_stale=True)
            self.assertIs(StoreFailureKind.UNREACHABLE, (await client.ask(operation)).kind)
            client.store.refused_paths.add("/-/kv-watch")
            self.assertIs(StoreFailureKind.UNREACHABLE, (await client.ask(operation)).kind)

        run(test())

    def test_an_entry_that_cannot_be_decoded_keeps_no_other_from_being_read(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("servers/bad", {})
            client.store.put("servers/good", b"content")
            for stored in ("a", "e30", None, 7, ["e30="]):
                client.store.shown_values["servers/bad"] = stored
                result = await client.ask(Read("", prefix=True))
                expected = (
                    StoredValue("servers/bad", b"", 1, 0, 1),
                    StoredValue("servers/good", b"content", 2, 0, 2),
                )
                self.assertEqual(ReadResult(expected, 2, result.begun_at), result, stored)

        run(test())

    def test_leases_and_swaps(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            lease = await client.ask(GrantLease(30))
            self.assertEqual(LeaseState(1, 30.0), lease)
            swap = CompareAndSwap("nodes/n", 0, b"1", 1)
            self.assertTrue((await client.ask(swap)).succeeded)
            again = await client.ask(swap)
            self.assertIsInstance(again, SwapResult)
            self.assertFalse(again.succeeded)
            self.assertEqual((b"1", 1), (again.current.value, again.current.lease_id))
            self.assertEqual(30.0, (await client.ask(KeepLeaseAlive(1))).time_to_live_seconds)
            self.assertEqual(0.0, (await client.ask(KeepLeaseAlive(9))).time_to_live_seconds)
            self.assertEqual(6, len(client.counts) + 1)

        run(test())

    def test_refusals_are_told_apart(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            for status, kind in (
                (429, StoreFailureKind.RATE_LIMITED),
                (503, StoreFailureKind.UNREACHABLE),
            ):
                for operation in (Read("", prefix=True), GrantLease(30)):
                    client.store.statuses.append(status)
                    self.assertIs(kind, (await client.ask(operation)).kind)
            failure = await client.ask(RevokeLease(1))
            self.assertIs(StoreFailureKind.MALFORMED, failure.kind)

        run(test())


class WatchTest(TestCase):
    def test_changes_are_told_with_the_last_state_of_each_key(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 1)
            client.store.put("a", 2)
            client.store.put("b", 1)
            client.store.remove("b")
            client.client.start_watch(StartWatch("w", "", 0))
            event = await client.events.get()
            self.assertIsInstance(event, WatchChanged)
            self.assertEqual([b"2"], [item.value for item in event.changed])
            self.assertEqual((("b",), 4), (event.deleted, event.store_revision))
            client.store.put("c", 1)
            self.assertEqual("c", (await client.events.get()).changed[0].key)
            client.client.stop_watch(StopWatch("w"))

        run(test())

    def test_an_entry_that_cannot_be_decoded_keeps_no_other_from_being_told(self) -> None:
        good = {"tlsKey": "servers/good", "value": "eA==", "revision": 2}
        for stored in ("a", None, 7, ["e30="]):
            bad = {"tlsKey": "servers/bad", "value": stored, "revision": 1}
            changed = watch_changed("w", {"events": [bad, good], "at": 2}, 0)
            expected = (
                StoredValue("servers/bad", b"", 1),
                StoredValue("servers/good", b"x", 2),
            )
            self.assertEqual(WatchChanged("w", expected, (), 2, False), changed, stored)

    def test_lost_history_and_trouble_end_the_watch(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 1)
            client.store.forget_history()
            client.client.start_watch(StartWatch("w", "", 0))
            broken = await client.events.get()
            self.assertIsInstance(broken, WatchBroken)
            self.assertTrue(broken.history_lost)
            client.store.statuses.append(503)
            client.client.start_watch(StartWatch("w2", "", 1))
            self.assertFalse((await client.events.get()).history_lost)

        run(test())

    def test_a_pace_gathers_changes_into_one_look(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 0)
            client.client.start_watch(StartWatch("w", "", 0, poll_interval_seconds=0.3))
            await client.events.get()
            for number in range(5):
                client.store.put("a", number)
            event = await client.events.get()
            self.assertEqual([b"4"], [item.value for item in event.changed])
            self.assertEqual(2, client.store.calls["/-/kv-watch"])

        run(test())

    def test_a_look_that_must_not_wait_is_answered_at_once(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            client.store.put("a", 0)
            watch = StartWatch("w", "", 1, poll_interval_seconds=3_600.0, hold_seconds=0.0)
            client.client.start_watch(watch)
            event = await client.events.get()
            self.assertEqual(((), 1), (event.changed, event.store_revision))
            self.assertEqual(["1"], client.store.waits)

        run(test())

    def test_a_look_tells_when_it_was_begun_however_long_it_is_held(self) -> None:
        async def test() -> None:
            loop = asyncio.get_running_loop()
            client = Client()
            await client.start()
            begun: list[float] = []
            written: list[float] = []
            client.client.start_watch(StartWatch("w", "", 0))
            for number in range(3):
                while len(client.store.waits) <= number:
                    await asyncio.sleep(0.001)
                written.append(loop.time())
                client.store.put("a", number)
                begun.append((await client.events.get()).begun_at)
            in_turn = [at for pair in zip(begun, written, strict=True) for at in pair]
            self.assertEqual(sorted(in_turn), in_turn)

        run(test())

    def test_an_answer_that_may_have_been_cut_is_followed_up_at_once(self) -> None:
        async def test() -> None:
            client = Client()
            await client.start()
            for number in range(1_200):
                client.store.put(f"k{number:04}", number)
            client.client.start_watch(StartWatch("w", "", 0, poll_interval_seconds=3_600.0))
            events = [await client.events.get() for _ in range(3)]
            self.assertEqual([500, 1_000, 1_200], [event.store_revision for event in events])
            self.assertEqual([True, True, False], [event.may_have_more for event in events])

        run(test())

    def test_few_large_values_may_have_been_cut_as_well(self) -> None:
        self.assertTrue(is_full_watch({"events": [{"value": "a" * 800_000}]}))
        self.assertFalse(is_full_watch({"events": [{"value": "a"}, {"gone": True}]}))
