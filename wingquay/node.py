"""The composition root: builds one node from its settings and runs it until it is stopped."""

import asyncio
import random
import secrets

from .adapters import peer_codec
from .adapters.backend_client import BackendClient
from .adapters.bearer_tokens import ConfiguredCallers, TokenOwner, TokenTable
from .adapters.caller_server import CallerServer
from .adapters.health_pages import HealthPages
from .adapters.http_messages import HttpLimits
from .adapters.log_writer import LogWriter
from .adapters.machine_directory_client import MachineDirectoryClient
from .adapters.metrics import Metrics
from .adapters.operator_server import OperatorServer
from .adapters.peer_link import PeerLink
from .adapters.request_log import RequestLog
from .adapters.settings import CallerSection, Endpoint, Settings, parse_endpoint
from .adapters.settings_tuning import node_machine_settings
from .adapters.store_client import StoreClient
from .membership.settings import SeedAddress
from .model.identifiers import DeploymentName, NodeId, ZoneName
from .orchestration.node_machine import NodeMachine
from .ports.backend import CancelAttempt, ProbeReplica, StartAttempt
from .ports.caller import AnswerCaller, CallerGone, CallerRequest, SetCallers, SetReady
from .ports.machine import Count, Event, Exit, Log, Observe, Start, StopRequested
from .ports.machine_directory import ReadMachineList
from .ports.operator import OperatorReply
from .ports.peer import NodeIdentity, SendToPeer
from .ports.store import StartWatch, StopWatch, StoreRequest
from .runtime import NodeRuntime

NODE_ID_RANDOM_BYTES = 4
SEED_BITS = 64
RESPONSE_GRACE_SECONDS = 1.0
"""How long responses that are decided may still take to leave when the node closes."""


class Node:
    """One wingquay process: its decision code, its adapters and the runtime between them.

    Create it inside a running event loop.

    Parameters
    ----------
    settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self._loop = asyncio.get_running_loop()
        self._early_events: list[Event] = []
        self._runtime: NodeRuntime | None = None
        self._exited: asyncio.Future[Exit] = self._loop.create_future()
        self._callers = ConfiguredCallers()
        self._pages = HealthPages(self.metrics.page)
        self._log = LogWriter(
            {"node": settings.node.name, "zone": settings.node.zone}, settings.log.level.value
        )
        self._requests = RequestLog(self._log.perform, self._loop.time)
        self._peer_link = PeerLink(
            _identity(settings),
            settings.peers.cluster_key.get_secret_value().encode(),
            peer_codec,
            self.emit,
            self._log.perform,
        )
        self._backends = BackendClient(self.emit, self.metrics.count)
        self._store = StoreClient(_endpoints(settings.store.endpoints), self.emit)
        self._machine_directory = MachineDirectoryClient(
            _endpoints(settings.machine_directory.endpoints), self.emit
        )
        self._operator_server = OperatorServer(self.emit, _operators(settings), self._pages)
        self._caller_server: CallerServer | None = None
        self.caller_address = Endpoint(settings.caller_interface.host, 0)
        """Where callers are served, once the node has started."""
        self.operator_address = Endpoint(settings.operator_interface.host, 0)
        """Where operators are served, once the node has started."""

    @property
    def identity(self) -> NodeIdentity:
        """Who this node is; the port is the bound one once the node has started."""
        return self._peer_link.identity

    @property
    def requests_in_flight(self) -> int:
        """Callers' requests that wait for their answer."""
        return 0 if self._caller_server is None else self._caller_server.requests_in_flight

    async def start(self) -> None:
        """Listen on every address and begin.

        Raises
        ------
        OSError
            An address cannot be listened on; everything opened before is closed again.
        """
        try:
            await self._open()
        except OSError:
            await self.close()
            raise

    async def _open(self) -> None:
        identity = await self._peer_link.start()
        await self._store.start()
        await self._machine_directory.start()
        limits = _caller_limits(self.settings.caller_interface)
        server = CallerServer(
            identity.node_id, self._emit_of_caller, self._callers, self._pages, limits
        )
        self._caller_server = server
        machine = NodeMachine(
            identity,
            node_machine_settings(self.settings),
            random.Random(secrets.randbits(SEED_BITS)),
            _seeds(self.settings),
        )
        self._show_gauges(machine)
        runtime = NodeRuntime(machine, self._loop)
        self._register(runtime, server)
        operators, callers = self.settings.operator_interface, self.settings.caller_interface
        operator_port = await self._operator_server.start(operators.host, operators.port)
        self.operator_address = Endpoint(operators.host, operator_port)
        self.caller_address = Endpoint(callers.host, await server.start(callers.host, callers.port))
        self._runtime = runtime
        runtime.start()
        self.emit(Start())
        for event in self._early_events:
            self.emit(event)
        self._log.perform(Log("node_started", fields=self._address_fields()))

    def emit(self, event: Event) -> None:
        """Hand an event to the decision code; before the start is over, it waits."""
        if self._runtime is None:
            self._early_events.append(event)
        else:
            self._runtime.emit(event)

    def request_stop(self) -> None:
        """Begin the planned stop; ``exited`` tells when it is over."""
        self.emit(StopRequested())

    async def exited(self) -> Exit:
        """Wait for the end of the planned stop."""
        return await asyncio.shield(self._exited)

    async def close(self) -> None:
        """Close every adapter; responses already decided leave first, in bounded time."""
        if self._caller_server is not None:
            await self._caller_server.close(RESPONSE_GRACE_SECONDS)
        await self._operator_server.close(RESPONSE_GRACE_SECONDS)
        await self._peer_link.close()
        await self._backends.close()
        await self._store.close()
        await self._machine_directory.close()
        if self._runtime is not None:
            self._runtime.close()

    def _show_gauges(self, machine: NodeMachine) -> None:
        counters = self._peer_link.counters
        gauge = self.metrics.gauge
        gauge("configuration_revision", "Revision in force; 0: none.", lambda: machine.revision)
        gauge("work_in_flight", "Requests and sub-requests not ended.", machine.in_flight)
        gauge("caller_requests", "Callers that wait.", lambda: self.requests_in_flight)
        gauge("peer_bytes_sent", "Bytes sent to peers (TCP).", lambda: counters.bytes_sent)
        gauge(
            "peer_datagram_bytes_sent",
            "Bytes sent to peers (UDP).",
            lambda: counters.datagram_bytes_sent,
        )
        gauge("peer_links_broken", "Links to peers that broke.", lambda: counters.links_broken)

    def _register(self, runtime: NodeRuntime, server: CallerServer) -> None:
        runtime.register(Log, self._log.perform)
        runtime.register(Count, self.metrics.count)
        runtime.register(Observe, self.metrics.observe)
        runtime.register(Exit, self._exit)
        runtime.register(AnswerCaller, self._answer_caller)
        runtime.register(SetReady, server.perform)
        runtime.register(SetCallers, self._set_callers)
        runtime.register(OperatorReply, self._operator_server.perform)
        runtime.register(SendToPeer, self._peer_link.perform)
        runtime.register(StartAttempt, self._backends.perform)
        runtime.register(CancelAttempt, self._backends.perform)
        runtime.register(ProbeReplica, self._backends.perform)
        for store_action in (StoreRequest, StartWatch, StopWatch):
            runtime.register(store_action, self._store.perform)
        runtime.register(ReadMachineList, self._machine_directory.perform)

    def _emit_of_caller(self, event: Event) -> None:
        """Note requests for the log on their way to the decision code."""
        if isinstance(event, CallerRequest):
            self._requests.received(event.request)
        elif isinstance(event, CallerGone):
            self._requests.abandoned(event.request_id)
        self.emit(event)

    def _answer_caller(self, action: AnswerCaller) -> None:
        if self._caller_server is not None:
            self._caller_server.perform(action)
        self._requests.answered(action.answer)

    def _set_callers(self, action: SetCallers) -> None:
        self._callers.replace(action.callers)

    def _exit(self, action: Exit) -> None:
        if not self._exited.done():
            self._exited.set_result(action)

    def _address_fields(self) -> tuple[tuple[str, str | int | float], ...]:
        return (
            ("node_id", self.identity.node_id),
            ("callers", f"{self.caller_address.host}:{self.caller_address.port}"),
            ("operators", f"{self.operator_address.host}:{self.operator_address.port}"),
            ("peers", f"{self.identity.host}:{self.identity.port}"),
        )


def _identity(settings: Settings) -> NodeIdentity:
    suffix = secrets.token_hex(NODE_ID_RANDOM_BYTES)
    return NodeIdentity(
        node_id=NodeId(f"{settings.node.name}-{suffix}"),
        deployment=DeploymentName(settings.node.deployment),
        zone=ZoneName(settings.node.zone),
        host=settings.peers.host,
        port=settings.peers.port,
    )


def _endpoints(texts: tuple[str, ...]) -> tuple[Endpoint, ...]:
    return tuple(parse_endpoint(text) for text in texts)


def _seeds(settings: Settings) -> tuple[SeedAddress, ...]:
    endpoints = _endpoints(settings.peers.seeds)
    return tuple(SeedAddress(endpoint.host, endpoint.port) for endpoint in endpoints)


def _operators(settings: Settings) -> TokenTable:
    entries = settings.operator_interface.operators
    return TokenTable(TokenOwner(entry.name, entry.token_sha256) for entry in entries)


def _caller_limits(section: CallerSection) -> HttpLimits:
    return HttpLimits(
        header_bytes=section.max_header_bytes,
        body_bytes=section.max_body_bytes,
        idle_seconds=section.idle_timeout_seconds,
        request_read_seconds=section.read_timeout_seconds,
        connections=section.connection_limit,
    )
