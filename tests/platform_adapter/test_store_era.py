"""The store comes back from an older copy: what its client makes of the eras of its answers."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.adapters.raw_http import run
from tests.platform_adapter.test_store_client import Client
from wingquay.model.failure import Failure
from wingquay.model.store_version import MAX_ERA, MAX_REVISION, StoreVersion, is_same_era
from wingquay.platform.standins.store_contents import StoreCopy
from wingquay.platform.store_era import MAX_LOGGED_HEADERS, AnswerEra, StoreEra
from wingquay.ports.machine import Log
from wingquay.ports.store import (
    CompareAndSwap,
    KeepLeaseAlive,
    Read,
    ReadResult,
    StartWatch,
    StoredValue,
    StoreFailureKind,
    StoreRestored,
    SwapResult,
    WatchBroken,
    WatchChanged,
)

versions = st.builds(StoreVersion.of, st.integers(0, MAX_ERA), st.integers(0, MAX_REVISION))


class StoreVersionTest(TestCase):
    @given(versions, versions)
    def test_versions_are_ordered_by_era_then_revision(
        self, first: StoreVersion, second: StoreVersion
    ) -> None:
        pairs = [(item.era, item.revision) for item in (first, second)]
        self.assertEqual(pairs[0] < pairs[1], first < second)
        self.assertEqual(first.era == second.era, is_same_era(first, second))

    def test_in_era_0_a_version_is_the_revision(self) -> None:
        self.assertEqual(7, StoreVersion.of(0, 7))

    def test_numbers_that_do_not_fit_are_named(self) -> None:
        for era, revision in ((-1, 0), (MAX_ERA + 1, 0), (0, -1), (0, MAX_REVISION + 1)):
            error = self.assertRaises(ValueError, StoreVersion.of, era, revision)
            self.assertIn("allowed", str(error))


class EraHeaderTest(TestCase):
    def observed(self, *headers: str | None) -> tuple[list[AnswerEra], list[Log]]:
        lines: list[Log] = []
        era = StoreEra(lines.append)
        return [era.observe(header) for header in headers], lines

    def test_a_rise_is_a_new_era_and_a_lower_one_is_late(self) -> None:
        seen, lines = self.observed("4", "4", "5", "4", "5", "7")
        current, new, late = AnswerEra.CURRENT, AnswerEra.NEW, AnswerEra.LATE
        self.assertEqual([current, current, new, late, current, new], seen)
        self.assertEqual([], lines)

    def test_a_store_without_eras_stays_in_era_0(self) -> None:
        lines: list[Log] = []
        era = StoreEra(lines.append)
        for _ in range(3):
            self.assertIs(AnswerEra.CURRENT, era.observe(None))
        self.assertEqual((0, []), (era.latest, lines))

    def test_a_header_that_cannot_be_read_counts_as_the_latest_era(self) -> None:
        bad = ["", "x", "-1", "1.5", "+3", "\u0663", "9" * 60, str(MAX_ERA + 1)]
        seen, lines = self.observed("3", *bad, "3")
        self.assertEqual([AnswerEra.CURRENT] * (len(bad) + 2), seen)
        self.assertEqual(MAX_LOGGED_HEADERS, len(lines))
        self.assertEqual({"value": "x", "allowed": f"0 to {MAX_ERA}"}, dict(lines[1].fields))

    @given(st.lists(st.one_of(st.none(), st.text(), st.integers(-5, 50).map(str)), max_size=20))
    def test_the_latest_era_never_falls_whatever_is_stated(self, headers: list[str | None]) -> None:
        era = StoreEra(lambda _line: None)
        for header in headers:
            before = era.latest
            seen = era.observe(header)
            self.assertGreaterEqual(era.latest, before)
            if seen is AnswerEra.NEW:
                self.assertGreater(era.latest, before)


class RestoredStoreTest(TestCase):
    async def started(self) -> Client:
        client = Client()
        await client.start()
        client.store.era = "1"
        client.store.put("a", 1)
        client.store.put("b", 1)
        return client

    async def listed(self, client: Client) -> ReadResult:
        result = await client.ask(Read("", prefix=True, may_start_stale=True))
        assert isinstance(result, ReadResult)
        return result

    def test_a_held_watch_announces_the_new_era_and_loses_its_history(self) -> None:
        async def test() -> None:
            client = await self.started()
            listing = await self.listed(client)
            copy = client.store.contents.copy()
            client.store.put("b", 2)
            client.client.start_watch(StartWatch("w", "", listing.store_revision))
            self.assertIsInstance(await client.events.get(), WatchChanged)
            client.store.restore(copy)
            restored = await client.events.get()
            broken = await client.events.get()
            self.assertEqual(StoreRestored(StoreVersion.of(2, 0)), restored)
            self.assertEqual(("w", True), (broken.watch_id, broken.history_lost))

        run(test())

    def test_revisions_that_were_assigned_again_are_not_joined_to_the_earlier_ones(self) -> None:
        async def test() -> None:
            client = await self.started()
            listing = await self.listed(client)
            client.store.put("b", 2)
            client.store.restore(StoreCopy(1, {"a": client.store.contents.items["a"]}))
            for number in range(5):
                client.store.put(f"c/{number}", 1)
            client.client.start_watch(StartWatch("w", "", listing.store_revision))
            self.assertIsInstance(await client.events.get(), StoreRestored)
            broken = await client.events.get()
            assert isinstance(broken, WatchBroken)
            self.assertTrue(broken.history_lost)

        run(test())

    def test_an_answer_of_an_earlier_era_changes_nothing(self) -> None:
        async def test() -> None:
            client = await self.started()
            client.store.era = "2"
            first = await self.listed(client)
            client.store.eras = ["1"]
            late = await client.ask(CompareAndSwap("c", 0, b"x"))
            assert isinstance(late, Failure)
            self.assertIs(StoreFailureKind.LOST_REPLY, late.kind)
            client.store.eras = ["1"]
            client.client.start_watch(StartWatch("w", "", first.store_revision))
            broken = await client.events.get()
            assert isinstance(broken, WatchBroken)
            self.assertFalse(broken.history_lost)
            self.assertTrue(client.events.empty())

        run(test())

    def test_a_condition_of_an_earlier_era_is_not_sent(self) -> None:
        async def test() -> None:
            client = await self.started()
            listing = await self.listed(client)
            stored: StoredValue = next(item for item in listing.values if item.key == "a")
            client.store.restore(StoreCopy(0, {}))
            self.assertIsInstance(await self.next_after_restoration(client), ReadResult)
            client.store.put("a", 9)
            calls = client.store.calls["/-/kv-txn"]
            refused = await client.ask(CompareAndSwap("a", stored.modified_at, b"x"))
            assert isinstance(refused, Failure)
            self.assertIs(StoreFailureKind.UNREACHABLE, refused.kind)
            self.assertEqual(calls, client.store.calls["/-/kv-txn"])
            created = await client.ask(CompareAndSwap("d", 0, b"x"))
            assert isinstance(created, SwapResult)
            self.assertEqual(StoreVersion.of(2, 2), created.store_revision)

        run(test())

    async def next_after_restoration(self, client: Client) -> object:
        listing = asyncio.create_task(client.ask(Read("", prefix=True)))
        self.assertIsInstance(await client.events.get(), StoreRestored)
        return await listing

    def test_a_listing_after_it_does_not_start_from_a_lagging_copy(self) -> None:
        async def test() -> None:
            client = await self.started()
            await self.listed(client)
            client.store.keep_copy()
            stale_reads = client.store.calls["stale"]
            client.store.restore(StoreCopy(1, {"a": client.store.contents.items["a"]}))
            client.client.start_watch(StartWatch("w", "", StoreVersion.of(1, 1)))
            self.assertIsInstance(await client.events.get(), StoreRestored)
            self.assertIsInstance(await client.events.get(), WatchBroken)
            listing = await self.listed(client)
            self.assertEqual(["a"], [item.key for item in listing.values])
            self.assertEqual(stale_reads, client.store.calls["stale"])

        run(test())

    def test_a_lease_of_an_earlier_era_is_announced_as_lost_before_its_answer(self) -> None:
        async def test() -> None:
            client = await self.started()
            await self.listed(client)
            client.store.restore(StoreCopy(0, {}))
            lease_id = client.store.contents.grant(30.0, asyncio.get_running_loop().time())
            asked = asyncio.create_task(client.ask(KeepLeaseAlive(lease_id)))
            self.assertIsInstance(await client.events.get(), StoreRestored)
            await asked

        run(test())
