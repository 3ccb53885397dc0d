"""A simulated back end: the shared model on the virtual clock."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..model.configuration import Replica
from ..model.identifiers import AttemptId, NodeId
from ..ports.backend import LoadReport, StartAttempt
from .models.backend_messages import BackendExchange, BackendReply
from .models.backend_model import BackendModel
from .virtual_clock import VirtualClock

Reply = Callable[[BackendReply], None]
Arrived = Callable[[StartAttempt, NodeId, float], None]


@dataclass(slots=True)
class Condition:
    """What is wrong with a replica's machine.

    Parameters
    ----------
    alive
        Whether the process runs; if not, connections are refused.
    silent
        Whether the machine neither answers nor refuses.
    extra_reply_seconds
        Delay of every reply on top of the network's.
    answers_newest
        Whether it answers reads from its newest version, whichever is asked for, and says so.
    """

    alive: bool = True
    silent: bool = False
    extra_reply_seconds: float = 0.0
    answers_newest: bool = False


class SimulatedReplica:
    """Feeds a ``BackendModel`` and hands its replies back to who asked.

    Parameters
    ----------
    arrived
        Told of every request that arrives.
    """

    def __init__(
        self,
        entry: Replica,
        model: BackendModel,
        clock: VirtualClock,
        arrived: Arrived,
    ) -> None:
        self.entry = entry
        self.model = model
        self.condition = Condition()
        self._clock = clock
        self._arrived = arrived
        self._asked_by: dict[AttemptId, Reply] = {}
        self._wake_at: float | None = None

    @property
    def answers(self) -> bool:
        """Whether the process runs and its machine can be reached."""
        return self.condition.alive and not self.condition.silent

    def arrive(self, attempt: StartAttempt, node_id: NodeId, elapsed: float, reply: Reply) -> None:
        """Take in a request that left ``node_id`` ``elapsed`` seconds ago."""
        self._arrived(attempt, node_id, self._clock.now)
        self._asked_by[attempt.attempt_id] = reply
        exchange = BackendExchange.of_attempt(attempt, elapsed)
        if self.condition.answers_newest and exchange.snapshot is not None:
            _, newest = self.model.held_versions
            exchange = replace(exchange, snapshot=newest)
        self.model.arrive(exchange, self._clock.now)
        self._advance()

    def cancel(self, attempt_id: AttemptId) -> None:
        """Take in that the other side closed the exchange's connection."""
        if self._asked_by.pop(attempt_id, None) is not None:
            self.model.cancel(attempt_id, self._clock.now)
            self._advance()

    def report(self) -> LoadReport:
        """Return what the health page shows."""
        return self.model.report(self._clock.now)

    def lose_everything(self) -> None:
        """Forget who waits; used when the process ends."""
        self._asked_by.clear()

    def wake(self) -> None:
        """Look again at what the model has to do; used after its state was changed."""
        self._advance()

    def _advance(self) -> None:
        now = self._clock.now
        for message in self.model.advance(now):
            reply = self._asked_by.pop(message.attempt_id, None)
            if reply is not None:
                reply(message)
        next_at = self.model.next_event_at()
        if next_at is None:
            return
        if self._wake_at is None or next_at < self._wake_at:
            self._wake_at = next_at
            self._clock.at(next_at, self._on_wake, next_at)

    def _on_wake(self, planned_at: float) -> None:
        if self._wake_at == planned_at:
            self._wake_at = None
            self._advance()
