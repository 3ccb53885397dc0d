"""A ledger written by hand: requests, their arrivals, configurations and spans of trouble."""

from collections.abc import Iterator
from itertools import count

import attrs

from scripts.soak.ledger import Attempt, Ending, Ledger, PublishedTable, SpanKind
from scripts.soak.requests import Kind, prefix_of
from scripts.soak.settings import CALLER_LIMITS, HOST
from wingquay.model.routing_table import Route, RoutingTable, UpstreamService, WeightedService
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.platform.standins.replica_record import Arrival, ArrivalEnd

NODE = "node-0"
SERVICE, OTHER_SERVICE = "desk-a", "desk-b"
SHARDS = ("shard-0", "shard-1", "shard-2")
TIMEOUT_SECONDS = 2.0
MIN_SHARE = 0.66
MERGED_RECORDS = 2
WORK_MS = 1_000
RECORD_BYTES = 16


def route(kind: Kind, service: str = SERVICE) -> Route:
    """Return the route of a kind; checks go to all shards."""
    shards = SHARDS if kind is Kind.CHECK else ()
    return Route(
        name=kind.value,
        host=HOST,
        path_prefix=prefix_of(kind),
        services=() if shards else (WeightedService(service, 1.0),),
        shards=shards,
        is_repeatable=kind is not Kind.EDIT,
        max_attempts=2,
        timeout_seconds=TIMEOUT_SECONDS,
        objective_seconds=0.5,
        merged_records=MERGED_RECORDS if shards else 0,
        min_share=MIN_SHARE if shards else 1.0,
    )


def table(version: int, *routes: Route, tenants: tuple[Tenant, ...] = ()) -> RoutingTable:
    """Return a configuration; without routes it has those of fetches, edits and checks."""
    chosen = routes or (route(Kind.FETCH), route(Kind.EDIT), route(Kind.CHECK))
    names = {name for item in chosen for name in item.all_services}
    services = {name: UpstreamService(name, 10) for name in sorted(names)}
    directory = TenantDirectory(tenants) if tenants else None
    return RoutingTable(version, chosen, services, CALLER_LIMITS, directory)


@attrs.define
class HandLedger:
    """Builds a ledger in which nothing is wrong but what is written into it."""

    ledger: Ledger = attrs.field(factory=Ledger)
    _numbers: Iterator[int] = attrs.field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        self.ledger.ended_at = 1_000.0

    def publish(self, published: RoutingTable, at: float) -> None:
        """Publish a configuration that the store acknowledges at once."""
        self.ledger.tables.append(PublishedTable(published, at, at))

    def trouble(
        self, kind: SpanKind, begun_at: float, ended_at: float, subject: str = NODE
    ) -> None:
        """Note a span of trouble."""
        self.ledger.begin_span(kind, subject, begun_at).ended_at = ended_at

    def request(
        self,
        kind: Kind = Kind.FETCH,
        sent_at: float = 100.0,
        seconds: float = 0.1,
        **fields: object,
    ) -> Attempt:
        """Add a request that was answered with 200 after so many seconds."""
        name = f"request-{next(self._numbers)}"
        target = f"{prefix_of(kind)}1?work={WORK_MS}"
        attempt = Attempt(name, NODE, "GET", target, b"", "", 5.0, False, sent_at)
        attempt.last_byte_at = sent_at
        attempt.ended_at = sent_at + seconds
        attempt.ending = Ending.ANSWERED
        attempt.status = 200
        for field, value in fields.items():
            setattr(attempt, field, value)
        self.ledger.attempts[name] = attempt
        return attempt

    def arrival(
        self,
        attempt: Attempt,
        service: str = SERVICE,
        replica: str = "replica-0",
        after_seconds: float = 0.01,
        work_seconds: float | None = 0.05,
        **fields: object,
    ) -> Arrival:
        """Add an arrival of a request at a replica, which answered it.

        Parameters
        ----------
        work_seconds
            Time from the start to the end of the work; ``None``: the replica rejected it.
        """
        at = attempt.sent_at + after_seconds
        arrival = Arrival(
            attempt.request_id,
            service,
            replica,
            at,
            attempt.method,
            attempt.target,
            attempt.body,
            attempt.deadline_seconds - after_seconds,
            "",
            False,
        )
        if work_seconds is None:
            arrival.end = ArrivalEnd.REJECTED
        else:
            arrival.started_at = at
            arrival.ended_at = at + work_seconds
            arrival.end = ArrivalEnd.ANSWERED
            arrival.status = 200
            arrival.signature = f"signature-{service}-{replica}-{attempt.request_id}"
        for field, value in fields.items():
            setattr(arrival, field, value)
        self.ledger.note_arrival(arrival)
        return arrival

    def served(self, **fields: object) -> tuple[Attempt, Arrival]:
        """Add a request that one replica ran and whose answer the client got unchanged."""
        attempt = self.request(**fields)  # type: ignore[arg-type]
        arrival = self.arrival(attempt)
        attempt.headers = {"server-stamp": arrival.signature}
        return attempt, arrival

    def merged(self, shards: int = len(SHARDS), sent_at: float = 100.0) -> Attempt:
        """Add a request whose answer was merged from so many shards."""
        attempt = self.request(Kind.CHECK, sent_at)
        parts = [self.arrival(attempt, name) for name in SHARDS[:shards]]
        for number, part in enumerate(parts):
            part.answer_body = bytes([number + 1]) * RECORD_BYTES
        attempt.headers = {
            "part-stamps": ", ".join(part.signature for part in parts),
            "missing-shards": str(len(SHARDS) - shards),
        }
        best = sorted((part.answer_body for part in parts), reverse=True)
        attempt.answer_body = b"".join(best[:MERGED_RECORDS])
        return attempt
