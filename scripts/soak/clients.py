"""Clients that keep connections through everything, rest, leave early, send slowly and retry."""

import asyncio
import contextlib
import random
from itertools import count

import attrs

from wingquay.model.tenants import Tenant

from .exchange import ClientConnection, perform
from .ingress import Ingress
from .ledger import Attempt, Ending, Ledger
from .node_process import Node
from .requests import SHAPES, Kind, prefix_of
from .settings import CALLER_LIMITS, HOST, SoakSettings

CONNECT_SECONDS = 1.0
KEEPER_SHARE = 0.75
"""Share of the clients that keep a connection for many requests."""
REST_SHARE = 0.25
"""Share of the pauses in which a client that keeps its connection rests."""
REST_PART = 0.8
"""Greatest part of the idle time after which a client still reuses a connection."""
SLOW_SHARE = 0.04
SLOW_SECONDS = 0.6
RETRIES = 1
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""
NEVER_RETRIED = frozenset({400, 401, 404, 413, 431})
WAIT_PART = 1.0 / 3.0
"""Greatest part of the time that is left which a client waits before it tries again."""
OLD_KEY_SHARE = 0.04
"""Share of the requests that show a key which may have been taken away."""
BODY_BYTES = (0, 400, 4_000)


class Keys:
    """The keys that clients show."""

    def __init__(self) -> None:
        self._tenants: tuple[Tenant, ...] = ()
        self._old: list[str] = []

    def update(self, tenants: tuple[Tenant, ...]) -> None:
        """Take in the tenants of a configuration that is in force everywhere."""
        now_held = {key for tenant in tenants for key in tenant.keys}
        known = {key for tenant in self._tenants for key in tenant.keys}
        self._old += sorted(known - now_held)
        self._tenants = tenants

    def draw(self, chance: random.Random) -> str:
        """Return a key; empty: there are none."""
        if not self._tenants:
            return ""
        if self._old and chance.random() < OLD_KEY_SHARE:
            return chance.choice(self._old)
        return chance.choice(chance.choice(self._tenants).keys)


@attrs.frozen
class Profile:
    """What one client is like.

    Parameters
    ----------
    name, zone
        What the platform chooses its node by.
    kinds
        The kinds of requests that it sends.
    pause_seconds
        Mean time between two requests.
    """

    name: str
    zone: str
    kinds: tuple[Kind, ...]
    pause_seconds: float


class Client:
    """Sends one request after the other until it is told to end."""

    def __init__(
        self,
        profile: Profile,
        settings: SoakSettings,
        ingress: Ingress,
        ledger: Ledger,
        keys: Keys,
        numbers: "count[int]",
    ) -> None:
        self._profile = profile
        self._settings = settings
        self._ingress = ingress
        self._ledger = ledger
        self._keys = keys
        self._numbers = numbers
        self._random = random.Random(f"{settings.seed}/{profile.name}")
        self._keeps = self._random.random() < KEEPER_SHARE
        self._connections = 0
        self._connection: ClientConnection | None = None
        self._node: Node | None = None
        self._over = asyncio.Event()

    def end(self) -> None:
        """Begin no further request."""
        self._over.set()

    async def run(self) -> None:
        """Send requests until the end."""
        await self._pause(self._random.uniform(0.0, self._profile.pause_seconds))
        while not self._over.is_set():
            kind = self._draw_kind()
            await self._request(kind)
            await self._pause(self._draw_pause())
        self._disconnect()

    async def _pause(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._over.wait(), seconds)

    def _draw_kind(self) -> Kind:
        kinds = self._profile.kinds
        return self._random.choices(kinds, [SHAPES[kind].weight for kind in kinds])[0]

    def _draw_pause(self) -> float:
        if self._keeps and self._random.random() < REST_SHARE:
            return self._random.uniform(0.5, CALLER_LIMITS.idle_seconds * REST_PART)
        return self._random.expovariate(1.0 / self._profile.pause_seconds)

    async def _request(self, kind: Kind) -> None:
        """Send one request, with retries within its deadline as clients make them."""
        loop = asyncio.get_running_loop()
        shape = SHAPES[kind]
        ends_at = loop.time() + shape.deadline_seconds * self._settings.deadline_factor
        work_ms = self._random.randint(*shape.work_ms)
        target = f"{prefix_of(kind)}{self._random.randrange(40)}?work={work_ms}"
        size = self._random.choice(BODY_BYTES) if kind in (Kind.EDIT, Kind.FETCH) else 0
        body = self._random.randbytes(size)
        for _ in range(RETRIES + 1):
            attempt = await self._try(target, body, ends_at - loop.time())
            wait_seconds = self._retry_after(attempt, shape.is_repeatable, ends_at - loop.time())
            if wait_seconds is None or self._over.is_set():
                return
            await self._pause(wait_seconds)

    async def _try(self, target: str, body: bytes, deadline_seconds: float) -> Attempt:
        loop = asyncio.get_running_loop()
        connection = await self._connect()
        assert self._node is not None
        attempt = Attempt(
            f"{self._settings.seed}-{next(self._numbers)}",
            self._node.name,
            "POST" if body else "GET",
            target,
            body,
            self._keys.draw(self._random),
            deadline_seconds,
            connection is not None and connection.requests > 0,
            loop.time(),
        )
        self._ledger.attempts[attempt.request_id] = attempt
        if connection is None:
            attempt.ending = Ending.NOT_CONNECTED
            attempt.ended_at = loop.time()
            return attempt
        send_seconds = SLOW_SECONDS if self._random.random() < SLOW_SHARE else 0.0
        leaves = self._random.random() < self._settings.leave_share
        leave_seconds = self._random.uniform(0.005, 0.4) if leaves else None
        await perform(connection, attempt, self._headers(attempt), send_seconds, leave_seconds)
        self._finish(attempt, connection)
        return attempt

    def _headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        headers = [
            ("Host", HOST),
            ("Request-Id", attempt.request_id),
            ("Deadline-Ms", str(round(attempt.deadline_seconds * 1000.0))),
            ("X-Client", self._profile.name),
        ]
        return [*headers, ("Authorization", f"Bearer {attempt.key}")] if attempt.key else headers

    async def _connect(self) -> ClientConnection | None:
        """Return the kept connection if it is open, or a new one."""
        if self._connection is not None and self._connection.is_open:
            return self._connection
        self._disconnect()
        self._connections += 1
        profile = self._profile
        self._node = self._ingress.choose(profile.zone, profile.name, self._connections)
        try:
            self._connection = await ClientConnection.open(
                self._node.host, self._node.port, CONNECT_SECONDS
            )
        except (OSError, TimeoutError):
            self._connection = None
        return self._connection

    def _finish(self, attempt: Attempt, connection: ClientConnection) -> None:
        """Keep the connection if the client keeps connections and the node does not close it."""
        is_kept = (
            self._keeps
            and attempt.ending is Ending.ANSWERED
            and attempt.headers.get("connection", "").lower() != "close"
            and connection.next_request()
        )
        if not is_kept:
            self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _retry_after(
        self, attempt: Attempt, is_repeatable: bool, left_seconds: float
    ) -> float | None:
        """Return after which time the client tries again; ``None``: it does not."""
        is_served = attempt.ending is Ending.ANSWERED and 200 <= attempt.status < 300
        if is_served or attempt.ending is Ending.LEFT or left_seconds <= 0.05:
            return None
        if attempt.ending is Ending.ANSWERED and attempt.status in NEVER_RETRIED:
            return None
        is_promise = attempt.ending is Ending.ANSWERED and attempt.status in PROMISES
        was_sent = attempt.ending is not Ending.NOT_CONNECTED
        if not is_repeatable and was_sent and not is_promise:
            return None
        self._disconnect()
        asked = float(attempt.headers.get("retry-after", "0")) if is_promise else 0.0
        return min(asked, left_seconds * WAIT_PART)
