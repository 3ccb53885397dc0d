"""Knows what replicas ran and what callers were told, and names every broken promise."""

import bisect
import heapq
from dataclasses import dataclass, field

from ...model.replica_record import ReplicaRecord
from ...model.routing_table import Route, RoutingTable
from ...ports.forwarding import (
    ForwardFailureKind,
    ForwardRequested,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SendToReplica,
)
from .caller_oracle import is_known_to_all, wrong_sending
from .crash_oracle import CrashOracle
from .settings import SimulationSettings

Reply = ReplyUnchanged | ReplyMerged | ReplyFailure
RECORD_BYTES = 16


@dataclass(slots=True)
class _Signed:
    request_id: str
    service: str
    status: int
    body: bytes


@dataclass(slots=True)
class _Request:
    event: ForwardRequested
    route: Route | None
    at: float
    node: int
    left_at: float | None = None
    reply: Reply | None = None
    replied_at: float | None = None


BEFORE_SECONDS = 0.001
"""Just before the store was away: a time at which nothing was wrong with it yet."""
DISTURBED_SECONDS = 1.0
"""Time after a disturbance of nodes in which bounds on time do not hold yet."""


@dataclass(slots=True)
class ForwardingOracle:
    """Collects what happened; ``violations`` says what must not have."""

    settings: SimulationSettings
    violations: list[str] = field(default_factory=list)
    requests: dict[str, _Request] = field(default_factory=dict)
    tables: list[tuple[float, RoutingTable]] = field(default_factory=list)
    draining_at: dict[str, float] = field(default_factory=dict)
    """When the store took that a replica drains or is gone."""
    evacuated: list[tuple[str, float, float]] = field(default_factory=list)
    """Zones whose replicas must get nothing, from when the store took that and until when."""
    unstable: list[tuple[float, float]] = field(default_factory=list)
    """Spans in which the store was in trouble."""
    restored: list[tuple[float, float]] = field(default_factory=list)
    """Spans in which the store was away, came back from an older copy and was written again."""
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    """Spans in which a node stood still or could not speak to the others."""
    suspended: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    """Spans in which each node was suspended."""
    started_at: dict[int, float] = field(default_factory=dict)
    """When each node began its present life."""
    crashes: CrashOracle = field(init=False)
    _replicas: dict[tuple[str, str], set[str]] = field(default_factory=dict)
    _runs: dict[str, list[str]] = field(default_factory=dict)
    _signed: dict[str, _Signed] = field(default_factory=dict)
    _arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    _asked: dict[str, list[float]] = field(default_factory=dict)
    _open: dict[tuple[int, int], str] = field(default_factory=dict)
    _adopted: dict[object, int] = field(default_factory=dict)
    """The latest configuration of each life of a node."""

    def __post_init__(self) -> None:
        """Take over the bounds."""
        self.crashes = CrashOracle(self.settings.contact_seconds)

    # What callers see

    def requested(
        self, event: ForwardRequested, route: Route | None, node: int, now: float
    ) -> None:
        """Take in a request to a node."""
        self.requests[event.request_id] = _Request(event, route, now, node)
        for service in route.all_services if route is not None else ():
            self._asked.setdefault(service, []).append(now)

    def left(self, request_id: str, now: float) -> None:
        """Take in that a caller went away."""
        self.requests[request_id].left_at = now

    def replied(self, request_id: str, reply: Reply, now: float) -> None:
        """Check a reply against what ran."""
        request = self.requests[request_id]
        if request.reply is not None:
            self._violated(f"{request_id}: replied to twice")
            return
        request.reply = reply
        request.replied_at = now
        if isinstance(reply, ReplyMerged):
            self._check_merged(request, reply)
        elif isinstance(reply, ReplyUnchanged):
            self._check_unchanged(request, reply)
        elif reply.kind is ForwardFailureKind.NOT_RUN:
            self._check_not_run(request_id, reply)
        elif reply.kind is ForwardFailureKind.NO_ROUTE:
            self._check_no_route(request)
        elif reply.kind is ForwardFailureKind.UNKNOWN_CALLER:
            self._check_unknown(request)

    # What replicas see

    def arrived(self, node: int, send: SendToReplica, record: ReplicaRecord, now: float) -> None:
        """Take in that a request reached a replica."""
        request = self.requests.get(send.request_id)
        if request is None:
            self._violated(f"{send.request_id}: sent although nobody asked")
            return
        self._arrivals.setdefault(record.service, []).append((now, send.request_id))
        self._open[node, send.attempt_id] = send.request_id
        wrong = wrong_sending(request.event, send, self._deciding_tables(request))
        if wrong:
            self._violated(f"{send.request_id}: {wrong}")
        if self._is_in_touch(node, now):
            self.crashes.arrived(send.request.target, send.request_id, now)
        if not self._was_suspended(node, now):
            self._check_drain(node, send, record, now)
            self._check_evacuated(send, record, now)
        has_left = request.left_at is not None and now > request.left_at + 0.1
        if has_left and not self.is_disturbed(now):
            self._violated(f"{send.request_id}: sent after its caller left")

    def ran(self, send: SendToReplica, record: ReplicaRecord, now: float) -> None:
        """Take in that a replica began to work on a request."""
        runs = self._runs.setdefault(send.request_id, [])
        runs.append(record.replica_id)
        self._replicas.setdefault((send.request_id, record.service), set()).add(record.replica_id)
        request = self.requests[send.request_id]
        route = request.route
        if route is not None and not route.is_repeatable and len(runs) > 1:
            self._violated(f"{send.request_id}: unrepeatable, ran on {runs}")
        if route is not None:
            self._check_attempts(send.request_id, record.service, route.max_attempts)
        if isinstance(request.reply, ReplyFailure):
            if request.reply.kind is ForwardFailureKind.NOT_RUN:
                self._violated(f"{send.request_id}: ran after it was refused as not run")
        if not self._is_allowed(request, record.service):
            self._violated(f"{send.request_id}: ran on {record.service}, which no route names")
        elif not self._is_in_force(request, record.service):
            self._violated(f"{send.request_id}: ran on {record.service} by an old configuration")

    def _check_attempts(self, request_id: str, service: str, most: int) -> None:
        replicas = self._replicas[request_id, service]
        if len(replicas) > most:
            self._violated(f"{request_id}: ran on {len(replicas)} replicas of {service}")

    def stopped(self, node: int, attempt_id: int) -> None:
        """Take in that a replica is done with an attempt."""
        self._open.pop((node, attempt_id), None)

    def signed(
        self, signature: str, send: SendToReplica, record: ReplicaRecord, status: int, body: bytes
    ) -> None:
        """Take in an answer as the replica gave it."""
        if signature in self._signed:
            self._violated(f"{signature}: two answers signed alike, so that no check can hold")
        self._signed[signature] = _Signed(send.request_id, record.service, status, body)

    # Checks over the whole run

    def check_open_work(self, now: float) -> None:
        """Check that nothing works for callers that left long ago."""
        if self.is_disturbed(now):
            return
        bound = self.settings.left_bound_seconds
        for request_id in self._open.values():
            left_at = self.requests[request_id].left_at
            if left_at is not None and now > left_at + bound + 0.05:
                self._violated(f"{request_id}: still worked on long after its caller left")

    def check_end(self, now: float) -> None:
        """Check what can only be told at the end."""
        late = self.settings.late_reply_seconds
        for request_id, request in self.requests.items():
            if request.route is None or request.left_at is not None:
                continue
            due_at = self._awake_at(request.node, request.at + self._limit(request)) + late
            if (request.replied_at or now) > due_at:
                self._violated(f"{request_id}: no reply by its time limit")
        for service in self._arrivals:
            self._check_budget(service)
        self.violations += self.crashes.violations()

    def _limit(self, request: _Request) -> float:
        """Return the longest time limit by which a node may rightly hold a request."""
        event = request.event
        tables = self._tables_at_arrival(request)
        routes = [table.find(event.host, event.path) for table in tables]
        return max(route.timeout_seconds for route in (*routes, request.route) if route is not None)

    def _awake_at(self, node: int, at: float) -> float:
        """Return the first moment from ``at`` on at which a node can act."""
        spans = sorted(self.suspended.get(node, ()))
        for begun, ended in spans:
            if begun <= at < ended:
                at = ended
        return at

    def _was_suspended(self, node: int, now: float) -> bool:
        """Whether a node is or was just suspended: it learns what has changed once it is awake."""
        contact = self.settings.contact_seconds
        spans = self.suspended.get(node, ())
        return any(begun <= now <= ended + contact for begun, ended in spans)

    def is_suspended(self, node: int, begun: float, ended: float) -> bool:
        """Whether a node was suspended all the time between two moments."""
        spans = self.suspended.get(node, ())
        return any(start <= begun and ended < end for start, end in spans)

    def is_disturbed(self, now: float) -> bool:
        """Whether nodes are, or were just now, unable to act or to speak to each other."""
        return any(begun <= now <= ended + DISTURBED_SECONDS for begun, ended in self.disturbed)

    def is_stable(self, start: float, end: float) -> bool:
        """Whether the store was out of trouble for a while before and during a span."""
        contact = self.settings.contact_seconds
        spans = (*self.unstable, *self.restored)
        return all(end < begun or ended + contact < start for begun, ended in spans)

    def _is_in_touch(self, node: int, now: float) -> bool:
        """Whether a node has been up, and all nodes and the store out of trouble, for a while."""
        contact = self.settings.contact_seconds
        is_calm = all(not begun <= now <= ended + contact for begun, ended in self.disturbed)
        return is_calm and self.is_stable(now, now) and self.started_at[node] + contact <= now

    def _knew_until(self, node: int, now: float) -> float | None:
        """Return up to when a node has certainly learned all that the store has acknowledged since.

        It keeps what it knew when the store came back from an older copy. ``None``: not known.
        """
        if self._is_in_touch(node, now):
            return now
        contact = self.settings.contact_seconds
        for begun, ended in reversed(self.restored):
            is_same_life = self.started_at[node] <= begun
            if begun < now <= ended + contact and is_same_life:
                return self._knew_until(node, begun - BEFORE_SECONDS)
        return None

    def check_configuration(self, node: int, version: int, now: float) -> None:
        """Take in by which configuration a node goes that has been in touch for long enough."""
        bound = self.settings.configuration_bound_seconds
        due = [table.version for taken, table in self.tables if taken + bound < now]
        if due and version < due[-1]:
            self._violated(f"node {node} goes by version {version} at {now:.3f}, {due[-1]} is due")

    def check_never_falls(self, life: object, node: int, version: int) -> None:
        """Take in by which configuration a life of a node goes; it never goes back to an older."""
        if version < self._adopted.get(life, 0):
            self._violated(f"node {node} went back to version {version}")
        self._adopted[life] = version

    def _check_budget(self, service: str) -> None:
        settings = self.settings
        window = settings.budget_window_seconds
        seen: set[str] = set()
        extra: list[float] = []
        for at, request_id in self._arrivals[service]:
            if request_id in seen:
                extra.append(at)
            seen.add(request_id)
        asked = self._asked.get(service, [])
        for index, at in enumerate(extra):
            start = at - window
            count = index + 1 - bisect.bisect_left(extra, start)
            own = bisect.bisect_right(asked, at) - bisect.bisect_left(asked, start)
            if count > settings.budget_ratio * own + settings.budget_slack:
                self._violated(f"{service}: {count} extra arrivals for {own} requests")
                return

    def _check_drain(
        self, node: int, send: SendToReplica, record: ReplicaRecord, now: float
    ) -> None:
        draining_at = self.draining_at.get(record.replica_id)
        if draining_at is None or record.replica_id != send.replica.replica_id:
            return
        bound = self.settings.drain_bound_seconds
        is_stable = self.is_stable(draining_at, draining_at) and self.is_stable(now, now)
        knew_until = self._knew_until(node, now)
        has_known = knew_until is not None and draining_at + bound < knew_until
        if now > draining_at + bound and (is_stable or has_known):
            late = now - draining_at
            self._violated(f"{record.replica_id}: new work {late:.2f} s after it drained")

    def _check_evacuated(self, send: SendToReplica, record: ReplicaRecord, now: float) -> None:
        if record.replica_id != send.replica.replica_id:
            # It stands at the address of one in another zone, and says that it is another one.
            return
        bound = self.settings.evacuation_bound_seconds
        for zone, begun, ended in self.evacuated:
            is_due = record.zone == zone and begun + bound < now < ended
            if is_due and self.is_stable(now, now):
                self._violated(f"{record.replica_id}: work in {zone}, which is evacuated")

    def _check_merged(self, request: _Request, reply: ReplyMerged) -> None:
        request_id = request.event.request_id
        route = request.route
        signed = [self._signed.get(signature) for signature in reply.signatures]
        if route is None or len(set(reply.signatures)) != len(reply.signatures):
            self._violated(f"{request_id}: a signature twice, or no route")
            return
        parts = [part for part in signed if part is not None and part.status == 200]
        if len(parts) != len(signed) or any(part.request_id != request_id for part in parts):
            self._violated(f"{request_id}: a signature that does not answer it")
            return
        services = {part.service for part in parts}
        tables = [table for _, table in self.tables]
        sets = {
            table_route.shards
            for table in tables
            for table_route in table.routes
            if table_route.path_prefix == route.path_prefix
        }
        fits = [
            shards
            for shards in sets
            if services <= set(shards) and len(shards) == len(parts) + reply.missing_shards
        ]
        if not fits or len(services) != len(parts):
            self._violated(f"{request_id}: parts and missing shards make up no configuration")
        if len(parts) / (len(parts) + reply.missing_shards) < route.min_share - 1e-9:
            self._violated(f"{request_id}: a success with too few shards")
        records = [
            part.body[start : start + RECORD_BYTES]
            for part in parts
            for start in range(0, len(part.body), RECORD_BYTES)
        ]
        if reply.body != b"".join(heapq.nlargest(route.merged_records, records)):
            self._violated(f"{request_id}: not the greatest records of its parts")

    def _check_unchanged(self, request: _Request, reply: ReplyUnchanged) -> None:
        request_id = request.event.request_id
        signed = self._signed.get(str(reply.answer.signature))
        if signed is None or signed.request_id != request_id:
            self._violated(f"{request_id}: an answer that belongs to another request")
        elif (signed.status, signed.body) != (reply.answer.status, reply.answer.body):
            self._violated(f"{request_id}: an answer that the replica did not give")

    def _check_not_run(self, request_id: str, reply: ReplyFailure) -> None:
        route = self.requests[request_id].route
        if self._runs.get(request_id) and route is not None and not route.is_repeatable:
            self._violated(f"{request_id}: refused as not run, but it ran")
        if reply.retry_after_seconds is None:
            self._violated(f"{request_id}: refused without saying when to come back")

    def _check_no_route(self, request: _Request) -> None:
        event = request.event
        if not self.is_stable(request.at, request.at):
            return
        possible = self._possible_tables(request.at)
        if possible and all(table.find(event.host, event.path) for table in possible):
            self._violated(f"{event.request_id}: no route although every configuration has one")

    def _check_unknown(self, request: _Request) -> None:
        if is_known_to_all(request.event, self._deciding_tables(request)):
            self._violated(f"{request.event.request_id}: a known key was called unknown")
        if self._runs.get(request.event.request_id):
            self._violated(f"{request.event.request_id}: ran although its key is unknown")

    def _deciding_tables(self, request: _Request) -> list[RoutingTable]:
        """Return the configurations by which a request may have been decided at its arrival."""
        later = [table for at, table in self.tables if at > request.at]
        return [*self._tables_at_arrival(request), *later]

    def _tables_at_arrival(self, request: _Request) -> list[RoutingTable]:
        """Return the configurations by which a node may have gone when a request arrived."""
        knew_until = self._knew_until(request.node, request.at)
        if knew_until is None:
            return [table for at, table in self.tables if at <= request.at]
        known = self._possible_tables(knew_until)
        return known + [table for at, table in self.tables if knew_until < at <= request.at]

    def _is_allowed(self, request: _Request, service: str) -> bool:
        event = request.event
        routes = [table.find(event.host, event.path) for _, table in self.tables]
        return any(route is not None and service in route.all_services for route in routes)

    def _is_in_force(self, request: _Request, service: str) -> bool:
        if not self.is_stable(request.at, request.at):
            return True
        event = request.event
        tables = [table for at, table in self.tables if at > request.at]
        tables += self._possible_tables(request.at)
        routes = [table.find(event.host, event.path) for table in tables]
        return any(route is not None and service in route.all_services for route in routes)

    def _possible_tables(self, at: float) -> list[RoutingTable]:
        bound = self.settings.configuration_bound_seconds
        settled = [index for index, (taken, _) in enumerate(self.tables) if taken + bound <= at]
        first = settled[-1] if settled else 0
        return [table for taken, table in self.tables[first:] if taken <= at]

    def _violated(self, text: str) -> None:
        self.violations.append(text)
