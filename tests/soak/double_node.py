"""A double of a node, in this process, that can be made to break one rule."""

import asyncio
import signal
from collections.abc import Callable
from enum import Enum
from itertools import count

import attrs

from scripts.soak.checks.answers import MERGED_SIGNATURES, MISSING_SHARDS, SIGNATURE
from scripts.soak.deployment import Deployment
from scripts.soak.exchange import Answer, ClientConnection, ConnectionClosedError
from scripts.soak.ledger import Attempt
from scripts.soak.settings import HOST, loopback_host
from wingquay.adapters.http_messages import ConnectionCutError, HttpRequest, HttpResponse
from wingquay.adapters.http_server import HttpServer
from wingquay.model.routing_table import Route, RoutingTable
from wingquay.platform.configuration_document import parse_configuration
from wingquay.platform.names import CONFIGURATION_KEY, REPLICA_PREFIX
from wingquay.platform.replica_entry import parse_replica
from wingquay.platform.standins.replica import RECORD_BYTES

CONNECT_SECONDS = 1.0
EXTRA_SENDS = 3
DENIED_EVERY = 4
"""Of so many requests one is denied."""


class Flaw(Enum):
    """What a double does wrong."""

    NONE = "none"
    CUTS_AT_STOP = "cuts_at_stop"
    SENDS_TWICE = "sends_twice"
    REFUSES_AFTER_RUN = "refuses_after_run"
    SWAPS_ANSWERS = "swaps_answers"
    MERGES_WRONGLY = "merges_wrongly"
    CHANGES_TARGET = "changes_target"
    PASSES_KEY_ON = "passes_key_on"
    DENIES = "denies"
    SENDS_OFTEN = "sends_often"
    STATES_NO_DEADLINE = "states_no_deadline"
    WORKS_ON = "works_on"
    KEEPS_FIRST_CONFIGURATION = "keeps_first_configuration"
    GOES_BACK = "goes_back"
    HOLDS_REQUESTS = "holds_requests"
    IGNORES_LIMITS = "ignores_limits"
    KEEPS_KEYS = "keeps_keys"


@attrs.define(slots=True)
class _Limit:
    """How many requests of a tenant ran, by time."""

    times: list[float] = attrs.field(factory=list)


class DoubleNode:
    """Passes requests on as simply as can be; without a flaw it keeps all rules."""

    def __init__(self, deployment: Deployment, number: int, flaw: Flaw) -> None:
        zones = deployment.settings.zone_names
        self.name = f"node-{number}"
        self.zone = zones[number % len(zones)]
        self.host = loopback_host(number)
        self.port = 0
        self._deployment = deployment
        self._flaw = flaw
        self._requests = count(1)
        self._choices = count(number)
        self._server: HttpServer | None = None
        self._ended = asyncio.Event()
        self._ended.set()
        self._is_stopping = False
        self._tables: list[RoutingTable] = []
        self._limits: dict[str, _Limit] = {}
        self._last_answer: HttpResponse | None = None
        self._working: set[asyncio.Task[Answer | None]] = set()

    @property
    def is_running(self) -> bool:
        """Whether it has been started and has not ended."""
        return not self._ended.is_set()

    async def start(self) -> None:
        """Listen."""
        self._ended.clear()
        self._is_stopping = False
        self._server = HttpServer(self._handle)
        self.port = await self._server.start(self.host, self.port)

    def signal(self, number: signal.Signals) -> None:
        """Stop or end; other signals do nothing."""
        if not self.is_running:
            return
        if number is signal.SIGTERM and not self._is_stopping:
            self._is_stopping = True
            asyncio.get_running_loop().create_task(self._stop())
        elif number is signal.SIGKILL:
            asyncio.get_running_loop().create_task(self._end(0.0))

    async def is_ready(self) -> bool:
        """Whether it takes new connections."""
        return self.is_running and not self._is_stopping

    async def wait_ended(self) -> None:
        """Wait until it has ended."""
        await self._ended.wait()

    async def _stop(self) -> None:
        assert self._server is not None
        self._server.is_leaving = True
        grace_seconds = self._deployment.settings.bounds.grace_seconds
        is_flawed = self._flaw is Flaw.CUTS_AT_STOP
        await self._end(0.0 if is_flawed else grace_seconds * 0.9)

    async def _end(self, grace_seconds: float) -> None:
        if self._server is not None:
            server, self._server = self._server, None
            await server.close(grace_seconds)
        self._ended.set()

    # Requests

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        table = self._table(request.path)
        route = table.find(HOST, request.path)
        if route is None:
            return HttpResponse(404)
        refusal = self._refusal(table, route, request)
        if refusal:
            headers = {"retry-after": "0.1"} if refusal in (429, 503) else {}
            return HttpResponse(refusal, headers)
        if self._flaw is Flaw.HOLDS_REQUESTS:
            await asyncio.sleep(route.timeout_seconds + 1.0)
        answer = await self._serve(table, route, request)
        if self._flaw is Flaw.REFUSES_AFTER_RUN and next(self._requests) % DENIED_EVERY == 0:
            return HttpResponse(503, {"retry-after": "0.1"})
        if self._flaw is Flaw.SWAPS_ANSWERS:
            answer, self._last_answer = self._last_answer or answer, answer
        return answer

    def _refusal(self, table: RoutingTable, route: Route, request: HttpRequest) -> int:
        """Return the status with which a request is refused; 0: it is not."""
        if self._flaw is Flaw.DENIES and next(self._requests) % DENIED_EVERY == 0:
            return 403
        if table.tenants is None or route.is_public:
            return 0
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        tables = self._tables if self._flaw is Flaw.KEEPS_KEYS else [table]
        tenants = [item.tenants.find_by_key(key) for item in tables if item.tenants is not None]
        known = [tenant for tenant in tenants if tenant is not None]
        if not known:
            return 401
        if not known[0].requests_per_second or self._flaw is Flaw.IGNORES_LIMITS:
            return 0
        nodes = len(self._deployment.nodes)
        window = self._deployment.settings.bounds.quota_window_seconds
        allowed = (known[0].requests_per_second * window + known[0].burst) / nodes / 2
        limit = self._limits.setdefault(known[0].name, _Limit())
        now = asyncio.get_running_loop().time()
        limit.times = [at for at in limit.times if at > now - window]
        if len(limit.times) >= allowed:
            return 429
        limit.times.append(now)
        return 0

    def _table(self, path: str) -> RoutingTable:
        item = self._deployment.store.contents.items[CONFIGURATION_KEY]
        table = parse_configuration(item.value)
        assert isinstance(table, RoutingTable)
        if not self._tables or table.version > self._tables[-1].version:
            self._tables.append(table)
        if self._flaw is Flaw.KEEPS_FIRST_CONFIGURATION:
            return self._tables[0]
        if self._flaw is Flaw.GOES_BACK and next(self._requests) % 2:
            return self._last_other_table(path)
        return self._tables[-1]

    def _last_other_table(self, path: str) -> RoutingTable:
        """Return the latest table that handles a path in another way than the newest one."""
        latest = self._tables[-1]
        services = [_services(table, path) for table in self._tables]
        others = [
            table
            for table, names in zip(self._tables, services, strict=True)
            if names and names != services[-1]
        ]
        return others[-1] if others else latest

    async def _serve(self, table: RoutingTable, route: Route, request: HttpRequest) -> HttpResponse:
        tenant = self._tenant(table, route, request)
        services = route.shards or route.all_services
        answers = [
            await self._ask(service, request, tenant, route.is_repeatable) for service in services
        ]
        whole = [answer for answer in answers if answer is not None and answer.status == 200]
        if not route.shards:
            return _passed_on(answers[0])
        if len(whole) < len(services) * route.min_share:
            return HttpResponse(502)
        records = [
            answer.body[start : start + RECORD_BYTES]
            for answer in whole
            for start in range(0, len(answer.body), RECORD_BYTES)
        ]
        if self._flaw is not Flaw.MERGES_WRONGLY:
            records.sort(reverse=True)
        headers = {
            MERGED_SIGNATURES: ", ".join(answer.headers[SIGNATURE] for answer in whole),
            MISSING_SHARDS: str(len(services) - len(whole)),
        }
        return HttpResponse(200, headers, b"".join(records[: route.merged_records]))

    def _tenant(self, table: RoutingTable, route: Route, request: HttpRequest) -> str:
        if table.tenants is None or route.is_public:
            return ""
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        for item in reversed(self._tables):
            tenant = None if item.tenants is None else item.tenants.find_by_key(key)
            if tenant is not None:
                return tenant.name
        return ""

    # Replicas

    async def _ask(
        self, service: str, request: HttpRequest, tenant: str, is_repeatable: bool
    ) -> Answer | None:
        """Send a request to a replica of a service; return its answer, if there is one."""
        sends = 1
        if self._flaw is Flaw.SENDS_OFTEN and is_repeatable:
            sends += EXTRA_SENDS
        if self._flaw is Flaw.SENDS_TWICE and not is_repeatable:
            sends = 2
        sending = [self._exchange(service, request, tenant) for _ in range(sends)]
        if self._flaw is not Flaw.WORKS_ON:
            return (await asyncio.gather(*sending))[-1]
        task = asyncio.create_task(sending[0])
        self._working.add(task)
        task.add_done_callback(self._working.discard)
        return await asyncio.shield(task)

    async def _exchange(self, service: str, request: HttpRequest, tenant: str) -> Answer | None:
        host, port, replica_id = self._replica(service)
        target = request.target.decode()
        if self._flaw is Flaw.CHANGES_TARGET:
            target += "&more=1"
        attempt = Attempt("", "", request.method, target, request.body, "", 5.0, False, 0.0)
        try:
            connection = await ClientConnection.open(host, port, CONNECT_SECONDS)
        except (OSError, TimeoutError):
            return None
        try:
            await connection.send(attempt, self._headers(request, tenant, replica_id), 0.0)
            return await connection.receive()
        except ConnectionClosedError:
            return None
        finally:
            connection.close()

    def _headers(self, request: HttpRequest, tenant: str, replica_id: str) -> list[tuple[str, str]]:
        headers = [
            ("Host", HOST),
            ("Request-Id", request.headers["request-id"]),
            ("Expected-Instance", replica_id),
        ]
        if self._flaw is not Flaw.STATES_NO_DEADLINE:
            headers.append(("Deadline-Ms", request.headers["deadline-ms"]))
        if tenant:
            headers.append(("Tenant", tenant))
        if self._flaw is Flaw.PASSES_KEY_ON and "authorization" in request.headers:
            headers.append(("Authorization", request.headers["authorization"]))
        return headers

    def _replica(self, service: str) -> tuple[str, int, str]:
        items = self._deployment.store.contents.items
        found: list[tuple[str, int, str]] = []
        for key, item in sorted(items.items()):
            if key.startswith(REPLICA_PREFIX):
                replica_id = key.removeprefix(REPLICA_PREFIX)
                record = parse_replica(replica_id, item.value)
                if getattr(record, "service", "") == service:
                    found.append((record.host, record.port, replica_id))  # type: ignore[union-attr]
        return found[next(self._choices) % len(found)]


def make_doubles(flaw: Flaw) -> Callable[[Deployment, int], DoubleNode]:
    """Return what makes the nodes of a run, all with the same flaw."""
    return lambda deployment, number: DoubleNode(deployment, number, flaw)


def _services(table: RoutingTable, path: str) -> tuple[str, ...]:
    route = table.find(HOST, path)
    return () if route is None else route.all_services


def _passed_on(answer: Answer | None) -> HttpResponse:
    if answer is None:
        raise ConnectionCutError
    kept = {
        name: text
        for name, text in answer.headers.items()
        if name not in ("content-length", "connection")
    }
    return HttpResponse(answer.status, kept, answer.body)
