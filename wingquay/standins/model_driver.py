"""Drives a model of the simulation on the event loop's clock."""

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

Output = TypeVar("Output")


class DrivenModel(Protocol[Output]):
    """A model that says when it has something to do next."""

    def advance(self, now: float) -> list[Output]:
        """Work until ``now`` and return what is due."""
        ...

    def next_event_at(self) -> float | None:
        """Return when ``advance`` has something to do next."""
        ...


class ModelDriver(Generic[Output]):
    """Calls ``advance`` when it is time and hands each output to ``deliver``."""

    def __init__(
        self,
        model: DrivenModel[Output],
        deliver: Callable[[Output], None],
    ) -> None:
        self._model = model
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The model's time, in seconds."""
        return self._loop.time()

    def run(self) -> None:
        """Let the model work until now; call it after each thing done to the model."""
        for output in self._model.advance(self.now):
            self._deliver(output)
        self.stop()
        next_event_at = self._model.next_event_at()
        if next_event_at is not None:
            self._timer = self._loop.call_at(next_event_at, self.run)

    def stop(self) -> None:
        """Call ``advance`` no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
