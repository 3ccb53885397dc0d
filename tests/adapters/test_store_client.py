"""The store client against the stand-in, and its decoders against anything."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from wingquay.adapters.etcd_json import decode
from wingquay.adapters.etcd_watch_json import LineSplitter, decode_watch_line
from wingquay.adapters.http_messages import HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.adapters.machine_directory_client import MachineDirectoryClient, decode_machine_list
from wingquay.adapters.settings import Endpoint
from wingquay.adapters.store_client import StoreClient
from wingquay.model.failure import Failure
from wingquay.model.identifiers import ZoneName
from wingquay.ports.machine import Event
from wingquay.ports.machine_directory import (
    DirectoryFailureKind,
    MachineEntry,
    MachineListRead,
    MachineState,
    ReadMachineList,
)
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
    SwapResult,
    WatchBroken,
    WatchChanged,
)
from wingquay.simulation.models.store_model import StoreSettings
from wingquay.standins.store import StoreStandin
from wingquay.standins.store_admin import BreakWatches, FailMachineList, LapseLease, PutMachine

HOST = "127.0.0.1"
KEY = "wingquay/configuration/current"
PREFIX = "wingquay/"
TIMEOUT_SECONDS = 20.0
OPERATIONS: list[StoreOperation] = [
    Read(KEY),
    CompareAndSwap(KEY, 0, b"value"),
    GrantLease(10),
    KeepLeaseAlive(1),
    RevokeLease(1),
]


class Bench:
    """A stand-in, a client and the events that it emitted."""

    def __init__(self, standin: StoreStandin, port: int) -> None:
        self.standin = standin
        self.port = port
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.client = StoreClient([Endpoint(HOST, port)], self.events.put_nowait)

    async def perform(self, operation: StoreOperation, timeout_seconds: float = 10.0) -> object:
        self.client.perform(StoreRequest("operation", operation, timeout_seconds))
        response = await self.events.get()
        assert isinstance(response, StoreResponse), response
        result = response.result
        return result.kind if isinstance(result, Failure) else result


def run(check: Callable[[Bench], Awaitable[None]], **changes: object) -> None:
    async def serve() -> None:
        settings = StoreSettings(**changes)  # type: ignore[arg-type]
        standin = StoreStandin(settings, random.Random(5), machine_lag_seconds=0.0)
        bench = Bench(standin, await standin.start())
        await bench.client.start()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await check(bench)
        finally:
            await bench.client.close()
            await standin.close()

    asyncio.run(serve())


class OperationTest(TestCase):
    def test_swaps_reads_and_leases(self) -> None:
        async def check(bench: Bench) -> None:
            granted = await bench.perform(GrantLease(30))
            assert isinstance(granted, LeaseState)
            self.assertTrue(0 < granted.time_to_live_seconds <= 30)
            lease_id = granted.lease_id
            swap = CompareAndSwap(KEY, 0, b"\xffvalue", lease_id)
            value = StoredValue(KEY, b"\xffvalue", 2, lease_id)
            self.assertEqual(SwapResult(True, 2), await bench.perform(swap))
            self.assertEqual(SwapResult(False, 2, value), await bench.perform(swap))
            for read in (Read(KEY), Read(PREFIX, prefix=True), Read("", prefix=True)):
                self.assertEqual(ReadResult((value,), 2), await bench.perform(read))
            unchanged = Read(KEY, modified_after=2)
            self.assertEqual(ReadResult((), 2), await bench.perform(unchanged))
            changed = Read(PREFIX, prefix=True, modified_after=1)
            self.assertEqual(ReadResult((value,), 2), await bench.perform(changed))
            renewed = await bench.perform(KeepLeaseAlive(lease_id))
            self.assertIsInstance(renewed, LeaseState)
            gone = LeaseState(lease_id, 0.0)
            for operation in (RevokeLease(lease_id), KeepLeaseAlive(lease_id)):
                self.assertEqual(gone, await bench.perform(operation))
            self.assertEqual(gone, await bench.perform(RevokeLease(lease_id)))
            self.assertEqual(SwapResult(False, 0), await bench.perform(swap))
            self.assertEqual(ReadResult((), 3), await bench.perform(Read(KEY)))

        run(check)

    def test_a_swap_that_deletes(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.perform(CompareAndSwap(KEY, 0, b"value"))
            deleted = await bench.perform(CompareAndSwap(KEY, 2, None))
            self.assertEqual(SwapResult(True, 3), deleted)

        run(check)

    def test_a_lost_reply_is_told_from_one_that_was_refused(self) -> None:
        async def check(bench: Bench) -> None:
            bench.standin.model.faults.replies_to_lose = 1
            lost = await bench.perform(CompareAndSwap(KEY, 0, b"landed"), timeout_seconds=0.3)
            self.assertEqual(StoreFailureKind.LOST_REPLY, lost)
            read = await bench.perform(Read(KEY))
            assert isinstance(read, ReadResult)
            self.assertEqual(b"landed", read.values[0].value)
            self.assertEqual(StoreFailureKind.RATE_LIMITED, await bench.perform(Read(KEY)))

        run(check, rate_per_second=0.001, burst=2.0)

    def test_a_store_that_is_down_is_unreachable_and_comes_back(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.standin.refuse(seconds=1.0)
            swap = CompareAndSwap(KEY, 0, b"value")
            self.assertEqual(StoreFailureKind.UNREACHABLE, await bench.perform(swap))
            while await bench.perform(swap) == StoreFailureKind.UNREACHABLE:
                await asyncio.sleep(0.02)
            read = await bench.perform(Read(KEY))
            assert isinstance(read, ReadResult)
            self.assertEqual(1, len(read.values))

        run(check)


class EndpointTest(TestCase):
    def test_the_next_endpoint_is_tried_but_no_swap_is_sent_twice(self) -> None:
        async def check(bench: Bench) -> None:
            received: list[str] = []

            async def unavailable(request: HttpRequest) -> HttpResponse:
                received.append(request.path)
                return HttpResponse(503)

            server = HttpServer(unavailable)
            broken = Endpoint(HOST, await server.start(HOST, 0))
            good = Endpoint(HOST, bench.port)
            events: asyncio.Queue[Event] = asyncio.Queue()
            client = StoreClient([broken, good], events.put_nowait)
            await client.start()
            client.perform(StoreRequest("swap", CompareAndSwap(KEY, 0, b"value")))
            swapped = await events.get()
            assert isinstance(swapped, StoreResponse) and isinstance(swapped.result, Failure)
            self.assertEqual(StoreFailureKind.LOST_REPLY, swapped.result.kind)
            await server.close()
            client.perform(StoreRequest("read", Read(KEY)))
            self.assertEqual(StoreResponse("read", ReadResult((), 1)), await events.get())
            self.assertEqual(["/v3/kv/txn"], received)
            await client.close()

        run(check)

    def test_a_reply_that_makes_no_sense_is_malformed(self) -> None:
        async def check(bench: Bench) -> None:
            async def nonsense(_request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, {}, b"<html>")

            server = HttpServer(nonsense)
            port = await server.start(HOST, 0)
            events: asyncio.Queue[Event] = asyncio.Queue()
            client = StoreClient([Endpoint(HOST, port)], events.put_nowait)
            await client.start()
            for operation in OPERATIONS:
                client.perform(StoreRequest("operation", operation))
                response = await events.get()
                assert isinstance(response, StoreResponse)
                assert isinstance(response.result, Failure)
                self.assertEqual(StoreFailureKind.MALFORMED, response.result.kind)
            await client.close()
            await server.close()

        run(check)


class WatchTest(TestCase):
    def test_a_watch_tells_changes_and_deletions_until_it_breaks(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.perform(CompareAndSwap(KEY, 0, b"one"))
            bench.client.perform(StartWatch("watch", PREFIX, 2))
            one = WatchChanged("watch", (StoredValue(KEY, b"one", 2),), (), 2)
            self.assertEqual(one, await bench.events.get())
            bench.client.perform(StoreRequest("delete", CompareAndSwap(KEY, 2, None)))
            events = [await bench.events.get(), await bench.events.get()]
            self.assertIn(WatchChanged("watch", (), (KEY,), 3), events)
            bench.standin.admin.perform(BreakWatches())
            self.assertIsInstance(await bench.events.get(), WatchBroken)

        run(check)

    def test_a_lapsed_lease_shows_as_a_deletion(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.perform(GrantLease(60))
            await bench.perform(CompareAndSwap(KEY, 0, b"held", 1))
            bench.client.perform(StartWatch("watch", PREFIX, 3))
            bench.standin.admin.perform(LapseLease(lease_id=1))
            self.assertEqual(WatchChanged("watch", (), (KEY,), 3), await bench.events.get())

        run(check)

    def test_compacted_history_and_an_outage_break_a_watch(self) -> None:
        async def check(bench: Bench) -> None:
            await bench.perform(CompareAndSwap(KEY, 0, b"one"))
            bench.standin.model.compact(0.0)
            bench.client.perform(StartWatch("old", PREFIX, 1))
            broken = await bench.events.get()
            assert isinstance(broken, WatchBroken)
            self.assertIn("compacted", broken.reason)
            bench.client.perform(StartWatch("new", PREFIX, 3))
            await bench.perform(Read(KEY))
            await bench.standin.refuse(seconds=60.0)
            self.assertIsInstance(await bench.events.get(), WatchBroken)

        run(check)

    def test_a_stopped_watch_is_silent(self) -> None:
        async def check(bench: Bench) -> None:
            bench.client.perform(StartWatch("watch", PREFIX, 0))
            bench.client.perform(StopWatch("watch"))
            await bench.perform(CompareAndSwap(KEY, 0, b"one"))
            await bench.standin.refuse(seconds=60.0)
            self.assertTrue(bench.events.empty())

        run(check)


class MachineDirectoryTest(TestCase):
    def test_the_list_is_read_or_its_failure_told(self) -> None:
        async def check(bench: Bench) -> None:
            directory = MachineDirectoryClient(
                [Endpoint(HOST, bench.port)], bench.events.put_nowait
            )
            await directory.start()
            put = PutMachine(host=HOST, port=7, zone="dej", state=MachineState.LEAVING)
            bench.standin.admin.perform(put)
            directory.perform(ReadMachineList())
            entry = MachineEntry(HOST, 7, ZoneName("dej"), MachineState.LEAVING)
            self.assertEqual(MachineListRead((entry,)), await bench.events.get())
            bench.standin.admin.perform(FailMachineList(seconds=60))
            directory.perform(ReadMachineList())
            read = await bench.events.get()
            assert isinstance(read, MachineListRead) and isinstance(read.result, Failure)
            self.assertEqual(DirectoryFailureKind.UNREACHABLE, read.result.kind)
            await directory.close()

        run(check)


JSON_TEXT = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["header", "revision", "kvs", "key", "value", "succeeded", "responses", "ID", "TTL"]
                + ["response_range", "result", "events", "kv", "type", "mod_revision", "canceled"]
                + ["host", "port", "zone", "state", "error", "message", "lease", "compact_revision"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


class DecoderTest(TestCase):
    def check(self, body: bytes) -> None:
        for operation in OPERATIONS:
            decode(operation, body)
        decode_watch_line("watch", body)
        decode_machine_list(body)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        self.check(body)

    @given(JSON_TEXT)
    def test_arbitrary_documents_never_raise(self, document: object) -> None:
        self.check(json.dumps(document).encode())

    @given(st.lists(st.binary(max_size=20)))
    def test_lines_do_not_depend_on_pieces(self, pieces: list[bytes]) -> None:
        whole = b"".join(pieces) + b"\n"
        splitter = LineSplitter()
        lines = [line for piece in [*pieces, b"\n"] for line in splitter.lines(piece)]
        self.assertEqual([line for line in whole.split(b"\n") if line.strip()], lines)
