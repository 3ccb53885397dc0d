"""The back-end client against the stand-in: both sides of the wire format, written apart."""

import asyncio
import random

from testtools import TestCase

from wingquay.adapters.backend_client import BackendClient
from wingquay.model.answer import Row
from wingquay.model.failure import Failure
from wingquay.model.identifiers import (
    AttemptId,
    ReplicaId,
    RequestKindName,
    ServiceName,
    ShardId,
    SnapshotVersion,
)
from wingquay.model.key_range import FULL_KEY_RANGE
from wingquay.ports.backend import (
    AttemptFinished,
    BackendAnswer,
    BackendFailureKind,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from wingquay.ports.machine import Event
from wingquay.simulation.models.backend_settings import BackendSettings
from wingquay.simulation.models.dataset import Dataset
from wingquay.simulation.models.service_time import ServiceTimeSettings
from wingquay.standins.backend import BackendStandin
from wingquay.standins.backend_admin import (
    ChangeVersions,
    Drain,
    Misbehave,
    Misbehaviour,
    ServeShard,
)

HOST = "127.0.0.1"
REPLICA = ReplicaId("r0")
SERVICE = ServiceName("coverage-lookup")
DATASET = Dataset(key_count=10)
VERSION = SnapshotVersion(1)
STEADY = ServiceTimeSettings(median_seconds=0.002, sigma=0.0, straggler_share=0.0)


class Bench:
    """A stand-in and a client."""

    def __init__(self, standin: BackendStandin, port: int) -> None:
        self.standin = standin
        self.port = port
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.client = BackendClient(self.events.put_nowait)
        self.count = 0

    async def attempt(
        self, snapshot: SnapshotVersion | None = VERSION, remaining_seconds: float = 10.0
    ) -> BackendAnswer | BackendFailureKind:
        self.count += 1
        start = StartAttempt(
            AttemptId(f"attempt-{self.count}"),
            REPLICA,
            HOST,
            self.port,
            70,
            SERVICE,
            ShardId("s0"),
            RequestKindName("tower-sweep"),
            (FULL_KEY_RANGE,),
            snapshot,
            remaining_seconds,
            repeatable=snapshot is not None,
        )
        self.client.perform(start)
        finished = await self.events.get()
        assert isinstance(finished, AttemptFinished), finished
        result = finished.result
        return result.kind if isinstance(result, Failure) else result


class BackendInteropTest(TestCase):
    def test_answers_refusals_and_misbehaviour_are_understood(self) -> None:
        async def check() -> None:
            settings = BackendSettings(
                REPLICA, SERVICE, ShardId("s0"), service_time=STEADY, report_delay_seconds=0.0
            )
            standin = BackendStandin(settings, random.Random(1), DATASET)
            bench = Bench(standin, await standin.start())
            try:
                async with asyncio.timeout(20.0):
                    await self.check_reads_and_writes(bench)
                    await self.check_misbehaviour(bench)
                    await self.check_refusals(bench)
            finally:
                await bench.client.close()
                await standin.close()

        asyncio.run(check())

    async def check_reads_and_writes(self, bench: Bench) -> None:
        rows = DATASET.rows_for(SERVICE, FULL_KEY_RANGE, VERSION)
        self.assertEqual(BackendAnswer(VERSION, (FULL_KEY_RANGE,), rows), await bench.attempt())
        receipt = BackendAnswer(None, (FULL_KEY_RANGE,), (Row("", "recorded"),))
        self.assertEqual(receipt, await bench.attempt(snapshot=None))
        self.assertEqual(["attempt-2"], [w.attempt_id for w in bench.standin.model.ledger.writes])

    async def check_misbehaviour(self, bench: Bench) -> None:
        for mode in ("crossed", "cut", "truncated", "closed"):
            bench.standin.admin.perform(Misbehave(mode=Misbehaviour(mode)))
            self.assertEqual(BackendFailureKind.BROKEN, await bench.attempt(), mode)
        bench.standin.admin.perform(Misbehave(mode=Misbehaviour.SILENT))
        self.assertEqual(BackendFailureKind.TIMED_OUT, await bench.attempt(remaining_seconds=0.1))

    async def check_refusals(self, bench: Bench) -> None:
        admin = bench.standin.admin
        self.assertEqual(BackendFailureKind.NOT_HELD, await bench.attempt(SnapshotVersion(7)))
        bench.standin.model.fail_next(1)
        self.assertEqual(BackendFailureKind.ERROR, await bench.attempt())
        admin.perform(ServeShard(shard="s0", remove=True))
        self.assertEqual(BackendFailureKind.WRONG_SHARD, await bench.attempt())
        admin.perform(ChangeVersions(install=3, drop=1))
        admin.perform(Drain())
        self.assertEqual(BackendFailureKind.DRAINING, await bench.attempt())
        bench.client.perform(ProbeReplica(REPLICA, HOST, bench.port, 5.0))
        shown = LoadReport(0.0, True, False, SnapshotVersion(2), SnapshotVersion(3))
        self.assertEqual(ReplicaProbed(REPLICA, shown), await bench.events.get())
