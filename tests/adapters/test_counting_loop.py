"""The event loop that goes by a clock that counts suspension."""

import asyncio
import time

from testtools import TestCase

from wingquay.adapters.counting_loop import CountingLoop, best_clock, counting_clock


class FakeClocks:
    """A steady clock and one that counts suspension."""

    def __init__(self) -> None:
        self.steady = 100.0
        self.suspended = 7.0

    def suspend(self, seconds: float) -> None:
        self.suspended += seconds

    def counting(self) -> float:
        self.steady += 0.001
        return self.steady + self.suspended


class CountingLoopTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clocks = FakeClocks()
        self.loop = CountingLoop(self.clocks.counting, lambda: self.clocks.steady)
        self.addCleanup(self.loop.close)
        self.woken: list[float] = []
        self.loop.on_woken = self.woken.append

    def test_its_clock_goes_on_while_the_machine_is_suspended(self) -> None:
        before = self.loop.time()
        self.clocks.suspend(8.0)
        self.assertGreaterEqual(self.loop.time() - before, 8.0)

    def test_timers_that_became_due_meanwhile_fire_on_waking(self) -> None:
        fired: list[str] = []

        async def test() -> None:
            self.loop.call_later(30.0, fired.append, "due")
            self.loop.call_later(60.0, fired.append, "later")
            self.clocks.suspend(31.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        self.loop.run_until_complete(test())
        self.assertEqual(["due"], fired)

    def test_waking_is_told_once_before_what_has_come_in_is_handled(self) -> None:
        seen: list[str] = []
        self.loop.on_woken = lambda seconds: seen.append(f"woken after {seconds:.0f} s")

        async def test() -> None:
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            writer.write(b"x")
            self.clocks.suspend(3.0)
            await reader.read(1)
            seen.append("answer")
            writer.close()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            seen.append("request")
            writer.write(b"y")
            writer.close()

        server = self.loop.run_until_complete(asyncio.start_server(answer, "127.0.0.1", 0))
        self.loop.run_until_complete(test())
        server.close()
        self.assertEqual(["woken after 3 s", "request", "answer"], seen)

    def test_a_difference_that_reading_the_clocks_makes_is_not_told(self) -> None:
        async def test() -> None:
            for _ in range(100):
                await asyncio.sleep(0)

        self.loop.run_until_complete(test())
        self.assertEqual([], self.woken)

    def test_the_systems_clock_is_taken_where_there_is_one(self) -> None:
        self.assertIs(
            counting_clock if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic, best_clock()
        )
