"""Callers of simulated forwarding nodes: usual ones, and those whose requests end replicas."""

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Protocol

from ...ports.forwarding import CallerDisconnected, ForwardRequested, OpaqueRequest, ReplyFailure
from ..virtual_clock import VirtualClock
from .oracle import ForwardingOracle
from .routes import HOST
from .settings import SimulationSettings
from .simulated_node import SimulatedForwardingNode
from .tenant_keys import TenantKeys

LEAD_SECONDS = 3.0
"""Time between the start of the nodes and the first request."""
PATHS = ("/sweep/x", "/check/x", "/fetch/x", "/edit/x", "/none/x")
PATH_WEIGHTS = (6, 2, 2, 2, 0.2)
PATIENCE_SECONDS = 1.5
TRANSIT_SECONDS = 0.002
REPEAT_SECONDS = 0.3
"""Time after which a caller whose request failed sends it once more, to another node."""


UNREADY_SECONDS = 2.0
"""Time after which a node that says nothing gets no new connections."""


class NodesAround(Protocol):
    """What callers see of the nodes."""

    clock: VirtualClock
    oracle: ForwardingOracle
    settings: SimulationSettings
    nodes: list[SimulatedForwardingNode]
    tenants: TenantKeys


class Callers:
    """Send requests until the end of the run.

    Parameters
    ----------
    chance
        Draws when and what they send.
    numbers
        Numbers of requests, which nothing else has.
    """

    def __init__(
        self, simulation: NodesAround, chance: random.Random, numbers: Iterator[int]
    ) -> None:
        self.leave_share = 0.0
        """Share of callers that leave before their answer."""
        self._simulation = simulation
        self._clock = simulation.clock
        self._oracle = simulation.oracle
        self._random = chance
        self._numbers = numbers

    @property
    def are_done(self) -> bool:
        """Whether the time in which requests are sent is over."""
        return self._clock.now > LEAD_SECONDS + self._simulation.settings.seconds

    def send_usual(self) -> None:
        """Send a request that chance draws, and another one later."""
        if self.are_done:
            return
        gap = self._random.expovariate(self._simulation.settings.requests_per_second)
        self._clock.after(gap, self.send_usual)
        ready = self._ready_nodes()
        if not ready:
            return
        node = self._random.choice(ready)
        path = self._random.choices(PATHS, PATH_WEIGHTS)[0]
        number = next(self._numbers)
        has_tenants = self._simulation.settings.tenants > 0
        key = self._simulation.tenants.draw() if has_tenants else None
        event = self._arrives(node, path, number, key)
        if self._random.random() < self.leave_share:
            after = self._random.uniform(0.005, 0.1)
            self._clock.after(after, self._leave, node, number, event.request_id)
        node.emit(event)

    def repeat(self, path: str, times: int, gap_seconds: float, chance: random.Random) -> None:
        """Send the same request again and again, each time to any node that is ready.

        After a failure it comes once more at once, as callers' repeats do.
        """
        if not times or self.are_done:
            return
        self._clock.after(
            gap_seconds * chance.uniform(0.9, 1.2),
            self.repeat,
            path,
            times - 1,
            gap_seconds,
            chance,
        )
        request_id = self._send(path, chance)
        if request_id is not None:
            self._clock.after(REPEAT_SECONDS, self._send_after_failure, request_id, path, chance)

    def cut_off(self, node: SimulatedForwardingNode) -> None:
        """Take in that a node ended: its callers hear nothing more."""
        for request_id in node.open_requests.values():
            self._oracle.left(request_id, self._clock.now)
        node.open_requests.clear()

    def _send_after_failure(self, request_id: str, path: str, chance: random.Random) -> None:
        reply = self._oracle.requests[request_id].reply
        if reply is None or isinstance(reply, ReplyFailure):
            self._send(path, chance)

    def _send(self, path: str, chance: random.Random) -> str | None:
        """Send a request to any node; return its id, or ``None`` if no node is ready."""
        ready = self._ready_nodes()
        if not ready:
            return None
        node = chance.choice(ready)
        has_tenants = self._simulation.settings.tenants > 0
        key = self._simulation.tenants.first() if has_tenants else None
        event = self._arrives(node, path, next(self._numbers), key)
        node.emit(event)
        return event.request_id

    def _event(self, number: int, request_id: str, path: str, key: str | None) -> ForwardRequested:
        """Return a request as a node's adapter understands it; ``None``: nobody has keys."""
        request = OpaqueRequest(b"GET", path.encode(), ())
        usual = ForwardRequested(
            number, request_id, HOST, path, request, PATIENCE_SECONDS, TRANSIT_SECONDS
        )
        if key is None:
            return usual
        request, stripped_request = self._simulation.tenants.requests(path, key)
        return replace(usual, request=request, key=key, stripped_request=stripped_request)

    def _arrives(
        self, node: SimulatedForwardingNode, path: str, number: int, key: str | None
    ) -> ForwardRequested:
        request_id = f"request-{number}"
        event = self._event(number, request_id, path, key)
        route = self._oracle.tables[-1][1].find(HOST, path)
        self._oracle.requested(event, route, node.number, self._clock.now)
        node.open_requests[number] = request_id
        return event

    def _leave(self, node: SimulatedForwardingNode, number: int, request_id: str) -> None:
        if node.open_requests.pop(number, None) is not None:
            self._oracle.left(request_id, self._clock.now)
            node.emit(CallerDisconnected(number))

    def _ready_nodes(self) -> list[SimulatedForwardingNode]:
        latest = self._clock.now - UNREADY_SECONDS
        return [
            node
            for node in self._simulation.nodes
            if node.is_alive
            and node.is_ready
            and not self._oracle.is_suspended(node.number, latest, self._clock.now)
        ]
