"""A planned stop cuts requests that the stopping node has passed on to a replica."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.client import Client, Outcome  # noqa: E402
from standins.deployment import HOST, Deployment, configuration, route  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.running import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    IS_TROUBLED,
    run_case,
)

DEADLINE_MS = 8000
GRACE_SECONDS = 6.0
EXCUSED_SECONDS = 3.0
"""Requests that were sent up to then after the SIGTERM may be cut while a replica works on them."""
WORK_MS = 1200
"""Work of a long ticket-fetch: rlc-portal gives a mean of 220 ms and a maximum of 1,300 ms."""
SEND_TIMES = (-0.3, 0.6, 1.5, 2.4, 3.3, 4.2, 4.7, 4.9)
"""When the clients send their second request, in seconds after the SIGTERM."""
REST_SECONDS = 1.0
"""Time between the clients' first requests and the SIGTERM. The longest rest is 5.9 s; clients
may reuse a connection that has rested for 12 s (four fifths of ``idleTimeoutMs``)."""


class PlannedStop:
    """Clients with kept connections to a node that is stopped."""

    def __init__(self, directory: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(directory, self.record)
        self._stopped, self._other = self.deployment.nodes
        self._outcomes: list[Outcome] = []
        self._term_at = 0.0

    async def start(self) -> bool:
        """Start everything; return whether the nodes became ready."""
        tickets = route("r-ticket", "/timi402/", "support-desk")
        await self.deployment.start_store(configuration(7, [tickets]))
        await self.deployment.start_replicas("support-desk", (4, 4))
        return await self.deployment.start_nodes()

    async def run(self) -> None:
        """Run the clients and stop one node meanwhile."""
        loop = asyncio.get_running_loop()
        self._term_at = loop.time() + REST_SECONDS
        self.record.start_at = self._term_at
        clients = [
            asyncio.create_task(self._run_client(number, send_at))
            for number, send_at in enumerate(SEND_TIMES)
        ]
        await asyncio.sleep(self._term_at - loop.time())
        if IS_TROUBLED:
            self.record.note("SIGTERM to", self._stopped.name)
            self._stopped.signal(signal.SIGTERM)
        watching = asyncio.create_task(self._watch_end())
        await asyncio.gather(*clients)
        watching.cancel()

    async def _run_client(self, number: int, send_at: float) -> None:
        """Make one short request, rest, and send a long one on the kept connection."""
        client = Client(self._stopped.name, self._stopped.host, self._stopped.port)
        first = await self._send(client, f"warm-{number}", 20)
        if first.text != "200":
            return
        await asyncio.sleep(self._term_at + send_at - asyncio.get_running_loop().time())
        if not client.is_open:
            self.record.note("kept connection is closed, another node is used", number)
            client = Client(self._other.name, self._other.host, self._other.port)
        self._outcomes.append(await self._send(client, f"long-{number}", WORK_MS))
        client.close()

    async def _send(self, client: Client, request_id: str, work_ms: int) -> Outcome:
        self.record.note("client sends", request_id, node=client.node)
        target = f"/timi402/2f?work={work_ms}"
        outcome = await client.send(HOST, target, request_id, DEADLINE_MS)
        took_ms = round((outcome.ended_at - outcome.sent_at) * 1000)
        self.record.note("client gets", request_id, outcome.text, took_ms=took_ms)
        return outcome

    async def _watch_end(self) -> None:
        while self._stopped.is_running:
            await asyncio.sleep(0.02)
        self.record.note("process ended", self._stopped.name)

    def verdict(self) -> tuple[int, str]:
        """Return the exit status and what was found."""
        arrived = self.deployment.arrived()
        cut = [
            outcome.request_id
            for outcome in self._outcomes
            if outcome.answer is None
            and outcome.request_id in arrived
            and outcome.sent_at > self._term_at + EXCUSED_SECONDS
            and outcome.ended_at < self._term_at + GRACE_SECONDS + 1.0
        ]
        if cut:
            return BROKEN, f"broken: LOST by {cut}, passed on to a replica, then cut"
        if len(self._outcomes) < len(SEND_TIMES):
            return COULD_NOT_RUN, "could not run: not all clients got through"
        return HELD, f"LOST held for {len(self._outcomes)} requests"


if __name__ == "__main__":
    sys.exit(run_case(PlannedStop))
