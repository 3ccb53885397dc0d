"""A model of one replica: slots, a queue, pauses, and the ways in which it goes wrong."""

import random
from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field, replace

from ...model.replica_record import ReplicaRecord
from ...ports.forwarding import (
    ConnectionTried,
    ReplicaAnswer,
    ReplicaAnswered,
    ReportedLoad,
    SendFailed,
    SendFailureKind,
    SendToReplica,
)
from ...ports.machine import Event
from ..virtual_clock import VirtualClock
from .oracle import ForwardingOracle
from .settings import SimulationSettings

RECORD_BYTES = 16
RECORDS = 8
CONNECT_SECONDS = 0.08
CRASH_SECONDS = 0.045
"""Time from the begin of a request that ends its replica to that end."""

Outcome = ReplicaAnswered | SendFailed
Tell = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class _Work:
    node: int
    send: SendToReplica
    tell: Tell
    seconds: float
    life: str
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class ReplicaModel:
    """One replica.

    Parameters
    ----------
    pace
        Factor on the duration of its work.
    is_dark
        It says nothing at all.
    is_dead
        Its port is closed.
    crashing_targets
        Targets of requests that end it once it begins to run them.
    crash_and_restart
        Ends it and brings up a new start of it later.
    refuse_share, fail_share, lose_share
        Shares of requests that it refuses without running them, runs and answers with an error,
        and runs and loses the answer of.
    """

    record: ReplicaRecord
    clock: VirtualClock
    settings: SimulationSettings
    oracle: ForwardingOracle
    random: random.Random
    mean_seconds: float
    crashing_targets: Container[bytes]
    crash_and_restart: Callable[["ReplicaModel"], None]
    pace: float = 1.0
    is_dark: bool = False
    is_dead: bool = False
    refuse_share: float = 0.0
    fail_share: float = 0.0
    lose_share: float = 0.0
    paused_until: float = 0.0
    _running: int = 0
    _queue: deque[_Work] = field(default_factory=deque)
    _works: dict[tuple[int, int], _Work] = field(default_factory=dict)

    def start_pausing(self) -> None:
        """Pause now and then, each replica at times of its own."""
        every = self.settings.pause_every_seconds
        self.clock.after(self.random.uniform(0.0, every), self._pause)

    def receive(self, node: int, send: SendToReplica, tell: Tell) -> None:
        """Take in a request that a node sent."""
        if self.is_dead or self.is_dark:
            wait = CONNECT_SECONDS if self.is_dark else 0.0
            failure = SendFailed(send.attempt_id, SendFailureKind.NOT_SENT, "no connection")
            self.clock.after(wait, tell, failure)
            return
        self.oracle.arrived(node, send, self.record, self.clock.now)
        if self.record.replica_id != send.replica.replica_id:
            self._refuse(node, send, tell, is_other=True)
            return
        is_full = len(self._queue) >= self.settings.queue_length
        if is_full or self.random.random() < self.refuse_share:
            self._refuse(node, send, tell, is_other=False)
            return
        work = _Work(node, send, tell, self._duration(send), self.record.incarnation)
        self._works[node, send.attempt_id] = work
        self._queue.append(work)
        self._start()

    def connect(self, life: str, emit: Callable[[Event], None]) -> None:
        """Take a connection that is meant for a life of this replica, or let it come to nothing."""
        if self.is_dark:
            event = ConnectionTried(life, "no answer")
            self.clock.after(CONNECT_SECONDS, emit, event)
            return
        is_refused = self.is_dead
        emit(ConnectionTried(life, "refused" if is_refused else "", is_refused))

    def cancel(self, node: int, attempt_id: int) -> None:
        """Drop a request whose connection closed."""
        work = self._works.pop((node, attempt_id), None)
        if work is not None:
            work.is_cancelled = True
            self.oracle.stopped(node, attempt_id)

    def crash(self, is_silent: bool = False) -> None:
        """End: every connection breaks, or no end of them is seen behind a cut."""
        self.is_dead = True
        for (node, attempt_id), work in list(self._works.items()):
            self.oracle.stopped(node, attempt_id)
            work.is_cancelled = True
            if not is_silent:
                work.tell(SendFailed(attempt_id, SendFailureKind.BROKEN, "reset", True))
        self._works.clear()
        self._queue.clear()

    def start_again(self, born: int) -> None:
        """Begin another life, which knows nothing of the one before."""
        self.record = replace(self.record, born=born)
        self.is_dead = False
        self._running = 0

    def _pause(self) -> None:
        self.paused_until = self.clock.now + self.settings.pause_seconds
        self.clock.after(self.settings.pause_every_seconds, self._pause)
        self.clock.at(self.paused_until, self._start)

    def _start(self) -> None:
        while self._queue and self._running < self.settings.slots:
            if self.clock.now < self.paused_until:
                return
            work = self._queue.popleft()
            if work.is_cancelled:
                continue
            self._running += 1
            self.oracle.ran(work.send, self.record, self.clock.now)
            if work.send.request.target in self.crashing_targets:
                self.clock.after(CRASH_SECONDS, self._end_under, work)
            else:
                self.clock.after(work.seconds, self._finish, work)

    def _end_under(self, work: _Work) -> None:
        """End by a request that it runs, whether anybody still waits for that or not."""
        if not self.is_dead and work.life == self.record.incarnation:
            self.oracle.crashes.ended(work.send.request.target, self.clock.now)
            self.crash_and_restart(self)

    def _finish(self, work: _Work) -> None:
        if work.life != self.record.incarnation:
            return
        if self.clock.now < self.paused_until:
            self.clock.at(self.paused_until, self._finish, work)
            return
        self._running -= 1
        self._start()
        key = next((key for key, other in self._works.items() if other is work), None)
        if key is None or self.is_dead or self.is_dark:
            return
        del self._works[key]
        self.oracle.stopped(*key)
        self._answer(work)

    def _answer(self, work: _Work) -> None:
        send = work.send
        if self.random.random() < self.lose_share:
            work.tell(SendFailed(send.attempt_id, SendFailureKind.BROKEN, "answer lost", True))
            return
        status = 500 if self.random.random() < self.fail_share else 200
        body = self.random.randbytes(RECORD_BYTES * RECORDS) if status == 200 else b""
        # Nodes number their attempts by themselves, and one may ask what another one has asked.
        signature = f"{self.record.replica_id}:{send.request_id}:{work.node}:{send.attempt_id}"
        self.oracle.signed(signature, send, self.record, status, body)
        load = ReportedLoad(self._running, len(self._queue), self.settings.slots)
        answered = ReplicaAnswered(
            send.attempt_id, ReplicaAnswer(status, (), body, signature), load
        )
        work.tell(answered)
        if self.random.random() < 0.01:
            # A surplus answer: the same one again, late.
            self.clock.after(0.05, work.tell, answered)

    def _refuse(self, node: int, send: SendToReplica, tell: Tell, is_other: bool) -> None:
        self.oracle.stopped(node, send.attempt_id)
        status = 421 if is_other else 503
        answer = ReplicaAnswer(status, (), b"", None, not is_other, is_other)
        tell(ReplicaAnswered(send.attempt_id, answer))

    def _duration(self, send: SendToReplica) -> float:
        return self.mean_seconds * self.pace * self.random.lognormvariate(0.0, 0.35)
