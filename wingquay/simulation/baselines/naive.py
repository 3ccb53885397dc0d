"""The naive policy: a random replica, no hedging, first come first served, retry on error.

It has no owners and no queues: whichever node a request came to sends every piece at once to a
random replica of the shard and lets the back ends queue. It takes the configuration as given.
"""

from dataclasses import dataclass, field
from random import Random

from ...model.answer import Answer, MissingPart, MissingReason, Outcome, Row
from ...model.configuration import Configuration, Replica, RequestKind, Service, Shard
from ...model.identifiers import AttemptId, RequestId, Revision, ServiceName, SnapshotVersion
from ...model.key_range import KeyRange, intersect, normalize, subtract
from ...model.request import QueryRequest
from ...ports.backend import (
    AttemptFinished,
    BackendAnswer,
    CancelAttempt,
    LoadReport,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from ...ports.caller import AnswerCaller, CallerGone, CallerRequest, SetReady
from ...ports.machine import Action, Event, Exit, Schedule, Start, StopRequested
from ...ports.peer import NodeIdentity

MOST_ATTEMPTS = 3
PROBE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class DeadlineReached(Event):
    """A request's time is up."""

    request_id: RequestId


@dataclass(slots=True)
class _Piece:
    shard: Shard
    wanted: tuple[KeyRange, ...]
    attempts: int = 0
    done: bool = False
    rows: tuple[Row, ...] = ()
    covered: tuple[KeyRange, ...] = ()


@dataclass(slots=True)
class _Query:
    request: QueryRequest
    kind: RequestKind
    snapshot: SnapshotVersion | None
    deadline_at: float
    pieces: list[_Piece] = field(default_factory=list)
    running: dict[AttemptId, _Piece] = field(default_factory=dict)
    attempts: int = 0


class NaiveNode:
    """A node of the naive policy."""

    def __init__(
        self, identity: NodeIdentity, configuration: Configuration, random_source: Random
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._random = random_source
        self._queries: dict[RequestId, _Query] = {}
        self._query_of: dict[AttemptId, _Query] = {}
        self._newest: dict[ServiceName, SnapshotVersion] = {}
        self._service_of = {
            replica.replica_id: service.name
            for service in configuration.services
            for shard in service.shards
            for replica in shard.replicas
        }
        self._attempt_number = 0

    @property
    def revision(self) -> Revision:
        """The revision of the configuration that was given."""
        return self._configuration.revision

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event."""
        if isinstance(event, AttemptFinished):
            return self._finished(event, now)
        if isinstance(event, CallerRequest):
            return self._begin(event.request, now)
        if isinstance(event, DeadlineReached):
            return self._end(event.request_id)
        if isinstance(event, CallerGone):
            return self._drop(event.request_id)
        if isinstance(event, ReplicaProbed):
            self._learn(event.replica_id, event.result)
            return []
        if isinstance(event, Start):
            return [*self._probe_all(), SetReady(True, "started")]
        if isinstance(event, StopRequested):
            return [SetReady(False, "stopping"), Exit(cut_requests=len(self._queries))]
        return []

    def _probe_all(self) -> list[Action]:
        return [
            ProbeReplica(replica.replica_id, replica.host, replica.port, PROBE_TIMEOUT_SECONDS)
            for service in self._configuration.services
            for shard in service.shards
            for replica in shard.replicas
        ]

    def _learn(self, replica_id: str, report: object) -> None:
        if not isinstance(report, LoadReport) or report.newest_version is None:
            return
        service = self._service_of.get(replica_id)  # type: ignore[call-overload]
        if service is not None:
            known = self._newest.get(service, report.newest_version)
            self._newest[service] = max(known, report.newest_version)

    def _begin(self, request: QueryRequest, now: float) -> list[Action]:
        service = self._configuration.service(request.service)
        kind = service.kind(request.kind) if service is not None else None
        if service is None or kind is None:
            answer = Answer(request.request_id, Outcome.INVALID, reason="unknown service or kind")
            return [AnswerCaller(answer)]
        seconds = request.deadline_seconds or kind.deadline_seconds
        snapshot = self._newest.get(service.name) if kind.repeatable else None
        query = _Query(request, kind, snapshot, now + seconds)
        query.pieces = _pieces(service, request)
        self._queries[request.request_id] = query
        actions: list[Action] = [
            Schedule(query.deadline_at, DeadlineReached(request.request_id)),
        ]
        for piece in query.pieces:
            actions += self._attempt(query, piece, now)
        return actions

    def _attempt(self, query: _Query, piece: _Piece, now: float) -> list[Action]:
        replica: Replica = self._random.choice(piece.shard.replicas)
        self._attempt_number += 1
        attempt_id = AttemptId(f"{self._identity.node_id}/{self._attempt_number}")
        query.running[attempt_id] = piece
        query.attempts += 1
        piece.attempts += 1
        self._query_of[attempt_id] = query
        request = query.request
        return [
            StartAttempt(
                attempt_id=attempt_id,
                replica_id=replica.replica_id,
                host=replica.host,
                port=replica.port,
                connection_limit=replica.connection_limit,
                service=request.service,
                shard_id=piece.shard.shard_id,
                kind=request.kind,
                key_ranges=piece.wanted,
                snapshot=query.snapshot,
                remaining_seconds=query.deadline_at - now,
                repeatable=query.kind.repeatable,
                body=request.body,
                traceparent=request.traceparent,
            )
        ]

    def _finished(self, event: AttemptFinished, now: float) -> list[Action]:
        if event.load is not None:
            self._learn(event.replica_id, event.load)
        query = self._query_of.pop(event.attempt_id, None)
        if query is None:
            return []
        piece = query.running.pop(event.attempt_id)
        if isinstance(event.result, BackendAnswer):
            piece.done = True
            piece.rows = event.result.rows
            piece.covered = event.result.covered
        elif piece.attempts < MOST_ATTEMPTS and now < query.deadline_at:
            return self._attempt(query, piece, now)
        if query.running:
            return []
        return self._end(query.request.request_id)

    def _end(self, request_id: RequestId) -> list[Action]:
        query = self._queries.pop(request_id, None)
        if query is None:
            return []
        actions = self._cancel(query)
        actions.append(AnswerCaller(_answer(query)))
        return actions

    def _drop(self, request_id: RequestId) -> list[Action]:
        query = self._queries.pop(request_id, None)
        return [] if query is None else self._cancel(query)

    def _cancel(self, query: _Query) -> list[Action]:
        actions: list[Action] = []
        for attempt_id in query.running:
            self._query_of.pop(attempt_id, None)
            actions.append(CancelAttempt(attempt_id))
        return actions


def _pieces(service: Service, request: QueryRequest) -> list[_Piece]:
    pieces = []
    for shard in service.shards:
        wanted = intersect(request.key_ranges, (shard.key_range,))
        if wanted:
            pieces.append(_Piece(shard, wanted))
    return pieces


def _answer(query: _Query) -> Answer:
    request = query.request
    done = [piece for piece in query.pieces if piece.done]
    if not query.kind.repeatable:
        outcome = Outcome.COMPLETE if len(done) == len(query.pieces) else Outcome.UNKNOWN
        rows = tuple(row for piece in done for row in piece.rows)
        return Answer(request.request_id, outcome, rows=rows, attempts=query.attempts)
    asked = normalize(request.key_ranges)
    covered = normalize(key_range for piece in done for key_range in piece.covered)
    missing = subtract(asked, covered)
    rows = tuple(row for piece in done for row in piece.rows)
    return Answer(
        request_id=request.request_id,
        outcome=Outcome.PARTIAL if missing else Outcome.COMPLETE,
        snapshot=query.snapshot,
        covered=covered,
        missing=tuple(MissingPart(entry, MissingReason.BACKEND_ERROR) for entry in missing),
        rows=tuple(sorted(rows, key=lambda row: row.key)),
        sub_requests=len(query.pieces),
        attempts=query.attempts,
    )
