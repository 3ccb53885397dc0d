"""Loads a library piece by piece, so that a node goes on serving meanwhile.

An import keeps the event loop busy until it is done, and the libraries for logs, metrics and the
link to other nodes take 30 to 100 ms of processor time each: longer than some requests may take.
Their modules are loaded here one by one, those first that others need, and whatever waits on the
loop goes between. A module that a release of the library does not have is left out; the import that
follows loads what is then missing.
"""

import asyncio
import importlib
from collections.abc import Iterable

PAUSE_SECONDS = 0.01
"""Time left to other work after each module."""
LINK_PAUSE_SECONDS = 0.0
"""The same for the link: one turn of the loop. Wide requests are late until it is open, so whatever
waits for its turn loses more by longer pauses, which added up to 0.2 s."""

LOG_MODULES = (
    "pathlib",
    "zope.interface",
    "pyrsistent",
    "boltons.funcutils",
    "eliot",
    "wingquay.adapters.log_writer",
)
METRICS_MODULES = (
    "decimal",
    "gzip",
    "email.message",
    "email.parser",
    "http.client",
    "html",
    "shutil",
    "socketserver",
    "http.server",
    "urllib.request",
    "wsgiref.simple_server",
    "prometheus_client",
    "wingquay.adapters.metrics",
)
LINK_MODULES = (
    "google.protobuf.message",
    "google.protobuf.descriptor_pool",
    "google.protobuf.internal.builder",
    "wingquay.adapters.proto.peer_pb2",
    "wingquay.ports.delegation",
    "wingquay.adapters.forwarding_peer_codec",
    "wingquay.adapters.peer_frames",
    "wingquay.adapters.peer_handshake",
    "wingquay.adapters.peer_connection",
    "wingquay.adapters.peer_datagrams",
    "wingquay.adapters.peer_channel",
    "wingquay.adapters.peer_refusal_log",
    "wingquay.adapters.peer_link",
    "xxhash",
    "wingquay.forwarding.peers.zone_choice",
    "wingquay.forwarding.peers.open_delegations",
    "wingquay.forwarding.peers.takeover_timeout",
    "wingquay.forwarding.knowledge.node_groups",
    "wingquay.forwarding.peers.relays",
    "wingquay.forwarding.peers.connection_prewarmer",
    "wingquay.forwarding.peers.delegated_work",
    "wingquay.forwarding.peers.delegation_dispatcher",
    "wingquay.forwarding.peers.delegation_reports",
    "wingquay.forwarding.peers.delegation_takeover",
    "wingquay.forwarding.peers.delegation",
    "wingquay.forwarding.peers.peer_event_handler",
)


async def import_gradually(names: Iterable[str], pause_seconds: float = PAUSE_SECONDS) -> None:
    """Load modules by name, each followed by a pause."""
    for name in names:
        try:
            importlib.import_module(name)
        except ImportError:
            continue
        await asyncio.sleep(pause_seconds)
