"""The store client while the store goes down, falls silent and loses replies at random."""

import asyncio
import random

from testtools import TestCase

from wingquay.adapters.settings import Endpoint
from wingquay.adapters.store_client import StoreClient
from wingquay.model.failure import Failure
from wingquay.ports.machine import Event
from wingquay.ports.store import (
    CompareAndSwap,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    SwapResult,
)
from wingquay.simulation.models.store_model import StoreSettings
from wingquay.simulation.models.store_operations import prefix_span
from wingquay.standins.store import StoreStandin
from wingquay.standins.store_admin import LoseReplies, Silence, SlowDown

HOST = "127.0.0.1"
SWAPS = 300
SWAPS_AT_ONCE = 10
SWAP_TIMEOUT_SECONDS = 0.3
TEST_TIMEOUT_SECONDS = 60.0
SETTINGS = StoreSettings(rate_per_second=300.0, burst=30.0, lost_reply_share=0.02)


class StoreClientFaultsTest(TestCase):
    def test_outcomes_are_true_to_what_took_effect(self) -> None:
        stored, outcomes = asyncio.run(self.swap_under_faults(random.Random(17)))
        for key, outcome in outcomes.items():
            if isinstance(outcome, SwapResult):
                self.assertEqual((key, True), (key, outcome.succeeded))
                self.assertIn(key, stored)
            elif outcome is not StoreFailureKind.LOST_REPLY:
                self.assertNotIn(key, stored, outcome)
        self.assertEqual(SWAPS, len(outcomes))
        # The history is worth something only if it met every kind of outcome.
        met = {type(o) if isinstance(o, SwapResult) else o for o in outcomes.values()}
        lost = StoreFailureKind.LOST_REPLY
        self.assertTrue({SwapResult, lost, StoreFailureKind.UNREACHABLE} <= met, met)

    async def swap_under_faults(
        self, rng: random.Random
    ) -> tuple[set[str], dict[str, SwapResult | StoreFailureKind]]:
        standin = StoreStandin(SETTINGS, random.Random(23))
        endpoints = [Endpoint(HOST, await standin.start()) for _ in range(2)]
        outcomes: dict[str, SwapResult | StoreFailureKind] = {}
        permits = asyncio.Semaphore(SWAPS_AT_ONCE)

        def take(event: Event) -> None:
            assert isinstance(event, StoreResponse)
            assert event.operation_id not in outcomes, "a second response"
            result = event.result
            assert isinstance(result, SwapResult | Failure)
            outcomes[event.operation_id] = result.kind if isinstance(result, Failure) else result
            permits.release()

        client = StoreClient(endpoints, take)
        await client.start()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for index in range(SWAPS):
                await permits.acquire()
                key = f"key-{index}"
                swap = CompareAndSwap(key, 0, b"value")
                client.perform(StoreRequest(key, swap, SWAP_TIMEOUT_SECONDS))
                await asyncio.sleep(rng.random() * 0.01)
                await self.break_something(standin, rng)
            for _ in range(SWAPS_AT_ONCE):
                await permits.acquire()
        await client.close()
        await asyncio.sleep(SWAP_TIMEOUT_SECONDS)
        stored = {entry.key.decode() for entry in standin.model.state.read(prefix_span(""))}
        await standin.close()
        return stored, outcomes

    async def break_something(self, standin: StoreStandin, rng: random.Random) -> None:
        match rng.randrange(60):
            case 0:
                await standin.refuse(seconds=0.3)
            case 1:
                standin.admin.perform(Silence(seconds=0.1))
            case 2:
                standin.admin.perform(SlowDown(extra_seconds=0.4, seconds=0.1))
            case 3:
                standin.admin.perform(LoseReplies(count=2))
