"""Performs the sendings of forwarding over kept connections to replicas."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from ..model.replica_record import ReplicaRecord
from ..model.value import value
from ..ports.forwarding import (
    CancelSend,
    ConnectionTried,
    Headers,
    OpenConnection,
    ReplicaAnswer,
    ReplicaAnswered,
    ReportedLoad,
    SendFailed,
    SendFailureKind,
    SendToReplica,
)
from ..ports.machine import Count, Event
from .replica_connection import RawAnswer, RawSending, ReplicaConnection
from .request_encoder import RequestEncoder

CONNECT_SECONDS = 0.04
"""Time allowed for a new connection: replicas are some milliseconds away, and another one can be
asked while the answer can still be in time (the shortest objectives are 56 to 70 ms)."""

LAG_FACTOR = 3.0
"""Time added for a new connection, in times that its beginning had to wait for the event loop. A
weak machine that opens 20 at once sees them come up 100 ms late, and would take every replica for
one that is out of reach."""
SILENT_SECONDS = 0.25
"""Time without a byte after which a kept connection counts as gone silent. Others of its address
may be, too, since they may break off together without a word, while new ones work: so they are
dropped rather than found out by one request each."""

Address = tuple[str, int]


@value
class UnderstoodAnswer:
    """A raw answer in the terms of the port."""

    answer: ReplicaAnswer
    load: ReportedLoad | None
    is_malformed: bool = False
    """Whether it is no answer that a replica gives, such as one with an encoded body."""
    has_unreadable_load: bool = False
    """Whether it reported a load in a form that is not known."""


class ReplicaDialect(Protocol):
    """How requests to replicas and their answers are written; the platform provides it."""

    def own_headers(self, action: SendToReplica, waited_seconds: float) -> Headers:
        """Return the headers that differ from replica to replica, in visible ASCII."""
        ...

    def belongs(self, request_id: str, answer: RawAnswer) -> bool:
        """Whether an answer belongs to the request with that id."""
        ...

    def understand(self, answer: RawAnswer) -> UnderstoodAnswer:
        """Return an answer in the terms of the port."""
        ...


@value
class _NoConnection:
    """Why a connection did not come up, and whether nothing listens at the address."""

    reason: str
    is_refused: bool


class _Attempt:
    """A sending under way."""

    __slots__ = ("action", "begun_at", "connecting", "connection", "is_on_kept")

    def __init__(self, action: SendToReplica, begun_at: float) -> None:
        self.action = action
        self.begun_at = begun_at
        self.is_on_kept = False
        """Whether it went out on a connection that had served before."""
        self.connecting: asyncio.Task[None] | None = None
        self.connection: ReplicaConnection | None = None


class ReplicaClient:
    """Performs ``SendToReplica``, ``CancelSend`` and ``OpenConnection``.

    Parameters
    ----------
    dialect
        Writes requests and understands answers.
    emit
        Takes the events.
    count
        Takes counters.
    connect_seconds
        Time allowed for a new connection.
    """

    def __init__(
        self,
        dialect: ReplicaDialect,
        emit: Callable[[Event], None],
        count: Callable[[Count], None],
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._dialect = dialect
        self._encoder = RequestEncoder(dialect)
        self._emit = emit
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._attempts: dict[int, _Attempt] = {}
        self._idle: dict[Address, list[ReplicaConnection]] = {}
        self._open: dict[ReplicaConnection, Address] = {}
        self._known: dict[Address, ReplicaRecord] = {}
        """The replica that was last addressed where connections are open."""
        self._opening: dict[asyncio.Task[None], None] = {}
        """Connections that are opened ahead."""

    def send(self, action: SendToReplica) -> None:
        """Send on an idle connection or on a new one."""
        attempt = _Attempt(action, self._loop.time())
        self._attempts[action.attempt_id] = attempt
        address = self._address_of(action.replica)
        connection = self._take_idle(address, action.request_id)
        if connection is not None:
            attempt.is_on_kept = True
            self._send_on(attempt, connection)
            return
        self._make_room(address)
        attempt.connecting = self._loop.create_task(self._connect(attempt, address))

    def cancel(self, action: CancelSend) -> None:
        """End an attempt and its connection."""
        attempt = self._attempts.pop(action.attempt_id, None)
        if attempt is None:
            return
        if attempt.connecting is not None:
            attempt.connecting.cancel()
        if attempt.connection is not None:
            if self._has_gone_silent(attempt, attempt.connection):
                self._drop_idle(self._open[attempt.connection])
            attempt.connection.abort()

    def _has_gone_silent(self, attempt: _Attempt, connection: ReplicaConnection) -> bool:
        lasted_seconds = self._loop.time() - attempt.begun_at
        is_silent = attempt.is_on_kept and not connection.has_begun_answer
        return is_silent and lasted_seconds >= SILENT_SECONDS and connection in self._open

    def _address_of(self, record: ReplicaRecord) -> Address:
        """Return where a replica listens; connections kept to an earlier life of it are dropped."""
        address = (record.host, record.port)
        known = self._known.get(address, record)
        if known.replica_id == record.replica_id and known.born != record.born:
            self._drop_idle(address)
        self._known[address] = record
        return address

    def _drop_idle(self, address: Address) -> None:
        dropped = self._idle.pop(address, [])
        for connection in dropped:
            connection.abort()
        self._count(Count("replica_connections_dropped_total", len(dropped)))

    def open(self, action: OpenConnection) -> None:
        """Open a connection that no request needs yet."""
        task = self._loop.create_task(self._open_ahead(action, self._loop.time()))
        self._opening[task] = None
        task.add_done_callback(lambda done: self._opening.pop(done, None))

    def close(self) -> None:
        """End every connection; no event follows."""
        for task in list(self._opening):
            task.cancel()
        for attempt in self._attempts.values():
            if attempt.connecting is not None:
                attempt.connecting.cancel()
        self._attempts.clear()
        for connection in list(self._open):
            connection.abort()

    async def _connect(self, attempt: _Attempt, address: Address) -> None:
        connection = await self._new_connection(address, attempt.begun_at)
        if isinstance(connection, _NoConnection):
            self._failed(attempt, SendFailureKind.NOT_SENT, connection.reason)
            return
        attempt.connecting = None
        self._send_on(attempt, connection)

    async def _open_ahead(self, action: OpenConnection, begun_at: float) -> None:
        record = action.replica
        connection = await self._new_connection(self._address_of(record), begun_at)
        if isinstance(connection, _NoConnection):
            tried = ConnectionTried(record.incarnation, connection.reason, connection.is_refused)
            self._emit(tried)
            return
        self._freed(connection)
        self._emit(ConnectionTried(record.incarnation))

    async def _new_connection(
        self, address: Address, begun_at: float
    ) -> "ReplicaConnection | _NoConnection":
        """Return a new connection, or why there is none."""
        lag_seconds = self._loop.time() - begun_at
        connection = ReplicaConnection(self._freed, self._closed)
        self._open[connection] = address
        try:
            async with asyncio.timeout(self._connect_seconds + LAG_FACTOR * lag_seconds):
                await self._loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            reason = f"{type(error).__name__}: {error}"
            return _NoConnection(reason, isinstance(error, ConnectionRefusedError))
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._count(Count("replica_connections_total"))
        return connection

    def _send_on(self, attempt: _Attempt, connection: ReplicaConnection) -> None:
        action = attempt.action
        try:
            data = self._encoder.encode(action, self._loop.time() - attempt.begun_at)
        except h11.LocalProtocolError as error:
            self._freed(connection)
            self._failed(attempt, SendFailureKind.NOT_SENT, f"no form on the wire: {error}")
            return
        attempt.connection = connection
        request_id = action.request_id

        def belongs(answer: RawAnswer) -> bool:
            return self._dialect.belongs(request_id, answer)

        def on_answer(answer: RawAnswer) -> None:
            self._answered(attempt, answer)

        def on_broken(reason: str, is_malformed: bool) -> None:
            kind = SendFailureKind.MALFORMED if is_malformed else SendFailureKind.BROKEN
            self._failed(attempt, kind, reason, not connection.has_begun_answer)

        connection.send(
            RawSending(
                request_id,
                attempt.begun_at + action.remaining_seconds,
                data,
                action.request.method,
                belongs,
                on_answer,
                on_broken,
            )
        )

    def _answered(self, attempt: _Attempt, answer: RawAnswer) -> None:
        attempt_id = attempt.action.attempt_id
        if self._attempts.pop(attempt_id, None) is None:
            return
        understood = self._dialect.understand(answer)
        if understood.has_unreadable_load:
            self._count(Count("replica_loads_unreadable_total"))
        if understood.is_malformed:
            reason = f"status {answer.status} without what an answer must bear"
            self._emit(SendFailed(attempt_id, SendFailureKind.MALFORMED, reason))
            return
        self._emit(ReplicaAnswered(attempt_id, understood.answer, understood.load))

    def _failed(
        self,
        attempt: _Attempt,
        kind: SendFailureKind,
        reason: str,
        is_unanswered: bool = False,
    ) -> None:
        attempt_id = attempt.action.attempt_id
        if self._attempts.pop(attempt_id, None) is not None:
            self._emit(SendFailed(attempt_id, kind, reason, is_unanswered))

    def _take_idle(self, address: Address, request_id: str) -> ReplicaConnection | None:
        """Take the latest idle connection that has not carried the request yet."""
        now = self._loop.time()
        idle = self._idle.get(address, [])
        for connection in reversed(idle.copy()):
            if connection.usable_until <= now:
                connection.abort()
            elif not connection.has_carried(request_id):
                idle.remove(connection)
                return connection
        return None

    def _make_room(self, address: Address) -> None:
        """Close an idle connection in place of which a new one is opened.

        The number of connections to a replica is limited by the requests in flight, so an idle
        connection that can't take a request must not be kept beside a new one.
        """
        idle = self._idle.get(address)
        if idle:
            idle[0].abort()

    def _freed(self, connection: ReplicaConnection) -> None:
        address = self._open[connection]
        self._idle.setdefault(address, []).append(connection)

    def _closed(self, connection: ReplicaConnection) -> None:
        address = self._open.pop(connection, None)
        if address is None:
            return
        if connection.surplus_answers:
            self._count(Count("replica_surplus_answers_total", connection.surplus_answers))
        idle = self._idle.get(address)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(address, None)
            self._known.pop(address, None)
