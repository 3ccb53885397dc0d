"""The asyncio runtime: order, timers, and exceptions that stop at the rim."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import testtools

from wingquay.ports.machine import Action, Count, Event, Log, Schedule
from wingquay.runtime import NodeRuntime


@dataclass(frozen=True, slots=True)
class Said(Event):
    word: str


@dataclass(frozen=True, slots=True)
class Say(Action):
    word: str


class Parrot:
    """Answers every word with one action; ``later`` through a timer; ``fail`` raises."""

    def handle(self, event: Event, now: float) -> list[Action]:
        assert isinstance(event, Said)
        if event.word == "fail":
            raise RuntimeError("no such word")
        if event.word == "later":
            return [Schedule(now + 0.001, Said("timer"))]
        if event.word == "twice":
            return [Schedule(now + 0.001, Said("one")), Schedule(now + 0.001, Said("two"))]
        return [Say(event.word)]


def run(
    scenario: Callable[[NodeRuntime, list[Action]], Awaitable[None]],
) -> list[Action]:
    performed: list[Action] = []

    async def main() -> None:
        runtime = NodeRuntime(Parrot(), asyncio.get_running_loop())
        for action_type in (Say, Log, Count):
            runtime.register(action_type, performed.append)
        await asyncio.wait_for(scenario(runtime, performed), 10)
        runtime.close()

    asyncio.run(main())
    return performed


class NodeRuntimeTest(testtools.TestCase):
    def test_events_emitted_while_performing_follow_in_order(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            def answer(action: Say) -> None:
                performed.append(action)
                if action.word == "first":
                    runtime.emit(Said("second"))
                    performed.append(Say("end of first"))

            runtime.register(Say, answer)
            runtime.emit(Said("first"))

        self.assertEqual([Say("first"), Say("end of first"), Say("second")], run(scenario))

    def test_timer_hands_the_event_back(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            runtime.emit(Said("later"))
            while not performed:
                await asyncio.sleep(0.001)

        self.assertEqual([Say("timer")], run(scenario))

    def test_timers_for_the_same_instant_fire_in_order_and_anew_each_time(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            for expected in (2, 4):
                runtime.emit(Said("twice"))
                while len(performed) < expected:
                    await asyncio.sleep(0.001)

        self.assertEqual([Say("one"), Say("two")] * 2, run(scenario))

    def test_closed_runtime_fires_no_timer(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            runtime.emit(Said("twice"))
            runtime.close()
            await asyncio.sleep(0.01)

        self.assertEqual([], run(scenario))

    def test_exception_in_the_machine_is_logged_with_the_event_type(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            runtime.emit(Said("fail"))
            runtime.emit(Said("still here"))

        log, count, said = run(scenario)
        assert isinstance(log, Log)
        self.assertEqual("event_failed", log.message)
        self.assertEqual("Said", dict(log.fields)["type"])
        self.assertIsInstance(count, Count)
        self.assertEqual(Say("still here"), said)

    def test_exception_in_a_performer_does_not_stop_the_loop(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            def fail(action: Say) -> None:
                raise OSError("socket is gone")

            runtime.register(Say, fail)
            runtime.emit(Said("one"))
            runtime.register(Say, performed.append)
            runtime.emit(Said("two"))

        log, _, said = run(scenario)
        assert isinstance(log, Log)
        self.assertEqual("action_failed", log.message)
        self.assertEqual(Say("two"), said)

    def test_closed_runtime_takes_no_events(self) -> None:
        async def scenario(runtime: NodeRuntime, performed: list[Action]) -> None:
            runtime.emit(Said("later"))
            runtime.close()
            runtime.emit(Said("too late"))
            await asyncio.sleep(0.01)

        self.assertEqual([], run(scenario))
