"""The composition root of a node on the platform."""

import asyncio
import contextlib
import random
import secrets
import signal
import socket
import sys

from ..adapters.counting_loop import CountingLoop
from ..adapters.deferred_log import DeferredLog
from ..adapters.deferred_metrics import DeferredMetrics
from ..adapters.deferred_peer_link import DeferredPeerLink
from ..adapters.forwarding_server import ForwardingServer
from ..adapters.gradual_import import LOG_MODULES, METRICS_MODULES, import_gradually
from ..adapters.held_record import held_value, parse_held
from ..adapters.http_messages import HttpRequest, HttpResponse
from ..adapters.http_server import HttpServer
from ..adapters.node_record import node_value, parse_node
from ..adapters.peer_snapshots import PeerSnapshots
from ..adapters.replica_client import CONNECT_SECONDS, ReplicaClient
from ..forwarding.arrival.limits.limit_settings import LimitSettings
from ..forwarding.forwarding_node import ForwardingNode, StoreFormats
from ..forwarding.knowledge.poll_times import (
    DEFAULT_RECOVERY_SECONDS,
    expiry_grace_seconds,
    poll_interval_within,
    poll_times_within,
)
from ..forwarding.knowledge.proof_poll_times import proof_poll_times_within
from ..forwarding.knowledge.store_follower import FollowerSettings
from ..forwarding.settings import ForwardingSettings
from ..ports.forwarding import (
    CancelSend,
    OpenConnection,
    ReplyFailure,
    ReplyMerged,
    ReplyUnchanged,
    SendToReplica,
    SetForwarding,
)
from ..ports.machine import (
    Action,
    Count,
    Event,
    Exit,
    Log,
    Observe,
    ProcessResumed,
    Start,
    StopRequested,
)
from ..ports.peer_link import OpenPeerLink, SendToPeer
from ..ports.peer_snapshot import RequestPeerSnapshot
from ..ports.store import StartWatch, StopWatch, StoreRequest
from ..runtime import NodeRuntime
from .caller_dialect import PlatformCallerDialect
from .configuration_document import parse_configuration
from .names import (
    CLUSTER_KEY,
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    HELD_PREFIX,
    NODE_PREFIX,
    READY_PATH,
    REPLICA_PREFIX,
)
from .replica_dialect import PlatformReplicaDialect
from .replica_entry import parse_replica
from .settings import PlatformSettings
from .store_client import PlatformStoreClient

SEED_BITS = 64
RESPONSE_GRACE_SECONDS = 0.3
"""How long replies that are decided may still take to leave when the node closes."""
ACCEPT_SECONDS = 1.0
"""Time after the start at which callers are accepted even without a configuration."""
LOAD_LOG_SECONDS = 2.0
"""Time after the start at which the library for logs is loaded: requests go first."""
LOAD_METRICS_SECONDS = 2.0
"""Time after that at which the library for metrics is loaded."""
BUDGET_SHARE = 0.9
"""Share of the allowed ratio of extra arrivals that is used."""
UNREADY_STOP_SHARE = 0.5
"""Share of the time of grace for which callers' idle connections stay open after a stop began."""
END_RESERVE_SECONDS = 0.8
"""Time of grace kept for replies to leave and for the process to end by itself."""
LEAST_STOP_SHARE = 0.5


class PlatformNode:
    """Decisions, adapters and the runtime between them; create it inside a running loop.

    Parameters
    ----------
    connect_seconds
        Time allowed for a new connection to a replica.
    """

    def __init__(
        self, settings: PlatformSettings, connect_seconds: float = CONNECT_SECONDS
    ) -> None:
        self._settings = settings
        self._metrics = DeferredMetrics()
        self._log = DeferredLog(sys.stdout, {"node": settings.node})
        self.readiness_port = settings.readiness.port
        self._is_ready = False
        self._has_news = asyncio.Event()
        loop = asyncio.get_running_loop()
        if isinstance(loop, CountingLoop):
            loop.on_woken = self._woken
        self._exited: asyncio.Future[Exit] = asyncio.get_running_loop().create_future()
        bound_seconds = min(
            settings.drain_seconds,
            settings.configuration_seconds,
            settings.evacuation_seconds or settings.configuration_seconds,
        )
        gather_seconds = poll_interval_within(bound_seconds)
        machine = ForwardingNode(
            settings.node,
            ForwardingSettings(
                zone=settings.zone,
                zones=settings.zones,
                leaves_when_cut_off=settings.leaves_when_cut_off,
                processor=settings.processor,
                cold_overage=settings.cold_overage,
                cold_slack=settings.cold_slack,
                retry_ratio=settings.retry_ratio * BUDGET_SHARE,
                retry_slack=settings.retry_slack,
                retry_window_seconds=settings.retry_window_seconds,
                vanished_outage_grace_seconds=expiry_grace_seconds(
                    gather_seconds, settings.drain_seconds
                ),
                idle_close_seconds=settings.grace_seconds * UNREADY_STOP_SHARE,
                max_stop_seconds=most_stop_seconds(settings.grace_seconds),
            ),
            _follower_settings(settings, gather_seconds),
            _store_formats(),
            random.Random(secrets.randbits(SEED_BITS)),
            LimitSettings(
                settings.limit_window_seconds, settings.limit_overage, settings.limit_slack
            ),
        )
        self._machine = machine
        self._runtime = NodeRuntime(machine, asyncio.get_running_loop())
        self._server = ForwardingServer(PlatformCallerDialect(), self.emit)
        self._readiness = HttpServer(self._answer_readiness)
        self._page = HttpServer(self._answer_metrics)
        seeds = [(seed.host, seed.port) for seed in settings.seeds if seed != settings.peers]
        self.peers = PeerSnapshots(seeds, machine.store_snapshot, self.emit)
        self._peer_server = HttpServer(self.peers.answer)
        self._link = self._peer_link()
        count = self._metrics.count
        dialect = PlatformReplicaDialect()
        self._replicas = ReplicaClient(dialect, self.emit, count, connect_seconds)
        store = settings.store
        self._store = PlatformStoreClient(
            store.host, store.port, self.emit, count, self._log.perform
        )
        self._register()

    async def run(self, listening: socket.socket) -> Exit:
        """Serve until a stop is asked for and over.

        Callers are accepted once the store has told the configuration, or soon in any case: those
        that wait for a few milliseconds are served, and without a store they hear that at once.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.emit, StopRequested())
        # What the settings say of this node cannot change while it runs.
        loop.add_signal_handler(signal.SIGHUP, self._log.perform, Log("settings_kept"))
        settings = self._settings
        readiness = settings.readiness
        self.readiness_port = await self._readiness.start(readiness.host, readiness.port)
        if settings.peers is not None:
            await self._peer_server.start(settings.peers.host, settings.peers.port)
        if settings.metrics is not None:
            await self._page.start(settings.metrics.host, settings.metrics.port)
        self._log.perform(Log("node_started", fields=(("zone", settings.zone),)))
        self.emit(Start())
        if self._link is not None:
            self._link.load()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._has_news.wait(), ACCEPT_SECONDS)
        await self._server.serve_on(listening)
        loading = loop.create_task(self._load_libraries())
        ended = await self._exited
        loading.cancel()
        await self._server.close(ended.grace_seconds + RESPONSE_GRACE_SECONDS)
        self.peers.close()
        if self._link is not None:
            await self._link.close()
        self._replicas.close()
        await self._store.close()
        self._runtime.close()
        self._log.load()
        return ended

    async def _load_libraries(self) -> None:
        await asyncio.sleep(LOAD_LOG_SECONDS)
        await import_gradually(LOG_MODULES)
        self._log.load()
        await asyncio.sleep(LOAD_METRICS_SECONDS)
        await import_gradually(METRICS_MODULES)
        self._metrics.load()

    def metrics_page(self) -> bytes:
        """Return the figures of this node, as text."""
        return self._metrics.page()

    def emit(self, event: Event) -> None:
        """Hand an event to the decisions."""
        self._runtime.emit(event)

    def _woken(self, seconds: float) -> None:
        self.emit(ProcessResumed(seconds))

    def perform(self, action: Action) -> None:
        """Perform an action that was decided."""
        self._runtime.perform(action)

    def _register(self) -> None:
        runtime = self._runtime
        runtime.register(Log, self._log.perform)
        runtime.register(Count, self._metrics.count)
        runtime.register(Observe, self._metrics.observe)
        runtime.register(SendToReplica, self._replicas.send)
        runtime.register(CancelSend, self._replicas.cancel)
        runtime.register(OpenConnection, self._replicas.open)
        runtime.register(ReplyUnchanged, self._server.reply)
        runtime.register(ReplyMerged, self._server.reply)
        runtime.register(ReplyFailure, self._server.reply)
        runtime.register(StoreRequest, self._store.perform)
        runtime.register(StartWatch, self._store.start_watch)
        runtime.register(StopWatch, self._store.stop_watch)
        runtime.register(RequestPeerSnapshot, self.peers.ask)
        runtime.register(OpenPeerLink, self._open_link)
        runtime.register(SendToPeer, self._send_to_peer)
        runtime.register(SetForwarding, self._set_forwarding)
        runtime.register(Exit, self._exit)

    def _peer_link(self) -> DeferredPeerLink | None:
        address = self._settings.peer_link
        if address is None:
            return None
        settings = self._settings
        return DeferredPeerLink(
            settings.node, settings.zone, address.host, address.port, self.emit, self._log.perform
        )

    def _open_link(self, action: OpenPeerLink) -> None:
        if self._link is not None:
            self._link.open(action)

    def _send_to_peer(self, action: SendToPeer) -> None:
        if self._link is not None:
            self._link.send(action)

    def _set_forwarding(self, action: SetForwarding) -> None:
        self._is_ready = action.is_ready
        if action.is_ready or action.closes_connections:
            self._has_news.set()
        self._server.configure(action)

    def _exit(self, action: Exit) -> None:
        if not self._exited.done():
            self._exited.set_result(action)

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        if request.path != READY_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self._is_ready else 503)

    async def _answer_metrics(self, _request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, {"content-type": "text/plain"}, self.metrics_page())


def most_stop_seconds(grace_seconds: float) -> float:
    """Return how long a stop may wait for requests, given the time until the end by force."""
    return max(grace_seconds - END_RESERVE_SECONDS, grace_seconds * LEAST_STOP_SHARE)


def _follower_settings(settings: PlatformSettings, gather_seconds: float) -> FollowerSettings:
    """Return how the store is followed, by the strict bound where there is one."""
    look = poll_times_within(settings.contact_seconds or DEFAULT_RECOVERY_SECONDS)
    usual = FollowerSettings(poll_interval_seconds=gather_seconds, poll_times=look)
    if settings.revocation_seconds is None:
        return usual
    proving = proof_poll_times_within(
        settings.revocation_seconds, settings.proving_way, look, usual.shared_poll_interval_seconds
    )
    return FollowerSettings(
        poll_interval_seconds=gather_seconds, poll_times=look, proof_poll_times=proving
    )


def _store_formats() -> StoreFormats:
    return StoreFormats(
        CONFIGURATION_KEY,
        REPLICA_PREFIX,
        NODE_PREFIX,
        CLUSTER_KEY,
        EVACUATION_PREFIX,
        parse_configuration,
        parse_replica,
        parse_node,
        node_value,
        HELD_PREFIX,
        parse_held,
        held_value,
    )
