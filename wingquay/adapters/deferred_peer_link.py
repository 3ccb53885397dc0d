"""The link to other nodes, loaded while a node reads the store for the first time.

That reading waits for the network most of the time, a tenth of a second and more on a large
deployment, and the link is wanted as soon as it has told that routes are wide.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.machine import Event, Log, LogLevel
from ..ports.peer_link import NodeIdentity, OpenPeerLink, PeerLinkOpened, SendToPeer
from .gradual_import import LINK_MODULES, LINK_PAUSE_SECONDS, import_gradually

if TYPE_CHECKING:
    from .peer_link import PeerLink

DIAL_SECONDS = 1.0
CLOSE_SECONDS = 0.2
"""Time for what is buffered to leave when the node ends: it must end within its time of grace."""


class DeferredPeerLink:
    """Performs ``OpenPeerLink`` and ``SendToPeer``.

    Parameters
    ----------
    name, zone
        This node; its id is its name, so that others reach it by what they knew of its last life.
    host, port
        Where other nodes reach it.
    emit
        Takes the events.
    log
        Takes log lines.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        port: int,
        emit: Callable[[Event], None],
        log: Callable[[Log], None],
    ) -> None:
        self._identity = NodeIdentity(NodeId(name), DeploymentName(""), ZoneName(zone), host, port)
        self._emit = emit
        self._log = log
        self._link: PeerLink | None = None
        self._loading: asyncio.Task[None] | None = None
        self._opening: asyncio.Task[None] | None = None

    def load(self) -> None:
        """Begin to load the link."""
        if self._loading is None:
            loading = import_gradually(LINK_MODULES, LINK_PAUSE_SECONDS)
            self._loading = asyncio.get_running_loop().create_task(loading)

    def open(self, action: OpenPeerLink) -> None:
        """Listen, once the link is loaded."""
        self.load()
        if self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open(action))

    def send(self, action: SendToPeer) -> None:
        """Send a message to another node."""
        if self._link is not None:
            self._link.perform(action)

    async def close(self) -> None:
        """Send what is buffered, within a bounded time, and close."""
        for task in (self._loading, self._opening):
            if task is not None:
                task.cancel()
        if self._link is not None:
            await self._link.close()

    async def _open(self, action: OpenPeerLink) -> None:
        assert self._loading is not None
        await self._loading
        from . import forwarding_peer_codec
        from .peer_channel import PeerLinkSettings
        from .peer_link import PeerLink

        settings = PeerLinkSettings(
            dial_timeout_seconds=DIAL_SECONDS, close_timeout_seconds=CLOSE_SECONDS
        )
        link = PeerLink(
            self._identity,
            action.cluster_key,
            forwarding_peer_codec,
            self._emit,
            self._log,
            settings,
        )
        try:
            identity = await link.start()
        except OSError as error:
            fields = (("port", self._identity.port), ("reason", str(error)))
            self._log(Log("peer_link_unavailable", LogLevel.ERROR, fields))
            return
        self._link = link
        self._emit(PeerLinkOpened(identity))
