"""Kept connections go on with the limits of an old configuration, for as long as they are used."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.client import Client, Outcome  # noqa: E402
from standins.deployment import (  # noqa: E402
    HOST,
    LIMITS,
    Deployment,
    configuration,
    route,
)
from standins.record import Record  # noqa: E402
from standins.running import BROKEN, HELD, IS_TROUBLED, run_case  # noqa: E402

DEADLINE_MS = 8000
CONFIGURATION_SECONDS = 3.0
"""``configApplyMs`` of rlc-portal."""
WAIT_SECONDS = 8.0
"""Time from the acknowledgement of the new configuration to the large requests."""
OLD_BODY_BYTES = LIMITS["maxBodyBytes"]
NEW_BODY_BYTES = 2 * OLD_BODY_BYTES
LARGE_BODY_BYTES = 300_000
CLIENTS = 20
PAUSE_SECONDS = 0.5
ALLOWED, ALLOWED_RATIO = 5, 1 / 500
"""Requests that may be denied: 5, and one in 500 of all."""
EXEMPT = {408, 421, 429}


class RaisedLimit:
    """Clients with kept connections, and an operator who allows longer bodies."""

    def __init__(self, directory: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(directory, self.record)
        self._routes = [route("r-ticket", "/timi402/", "support-desk")]
        self._outcomes: list[Outcome] = []
        self._large: list[Outcome] = []
        self._is_raised = asyncio.Event()
        self._send_large_at = float("inf")

    async def start(self) -> bool:
        """Start everything; return whether the nodes became ready."""
        first_limit = OLD_BODY_BYTES if IS_TROUBLED else NEW_BODY_BYTES
        await self.deployment.start_store(self._document(7, first_limit))
        await self.deployment.start_replicas("support-desk", (4, 4))
        return await self.deployment.start_nodes()

    def _document(self, version: int, body_bytes: int) -> bytes:
        limits = LIMITS | {"maxBodyBytes": body_bytes}
        return configuration(version, self._routes, limits=limits)

    async def run(self) -> None:
        """Run the clients and change the configuration meanwhile."""
        loop = asyncio.get_running_loop()
        nodes = self.deployment.nodes
        clients = [asyncio.create_task(self._run_client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(2.0)
        self.record.start_at = loop.time()
        if IS_TROUBLED:
            self.deployment.store.put("op/config", self._document(9, NEW_BODY_BYTES))
            self.record.note("configuration 9 acknowledged, maxBodyBytes", NEW_BODY_BYTES)
        self._send_large_at = loop.time() + WAIT_SECONDS
        await asyncio.gather(*clients)
        fresh = Client(nodes[0].name, nodes[0].host, nodes[0].port)
        await self._send(fresh, "large-on-a-new-connection", LARGE_BODY_BYTES)
        fresh.close()

    async def _run_client(self, number: int) -> None:
        """Use one connection all the time, first for short bodies, then for a long one."""
        node = self.deployment.nodes[number % len(self.deployment.nodes)]
        client = Client(node.name, node.host, node.port)
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < self._send_large_at:
            count += 1
            self._outcomes.append(await self._send(client, f"c{number}-{count}", 100))
            await asyncio.sleep(PAUSE_SECONDS)
        large = await self._send(client, f"c{number}-large", LARGE_BODY_BYTES)
        self._large.append(large)
        self._outcomes.append(large)
        client.close()

    async def _send(self, client: Client, request_id: str, body_bytes: int) -> Outcome:
        outcome = await client.send(
            HOST, "/timi402/2f", request_id, DEADLINE_MS, "POST", body=b"x" * body_bytes
        )
        self.record.note("client gets", request_id, outcome.text, body_bytes=body_bytes)
        return outcome

    def verdict(self) -> tuple[int, str]:
        """Return the exit status and what was found."""
        denied = [
            outcome.request_id
            for outcome in self._large
            if outcome.answer is not None
            and 300 <= outcome.answer.status < 500
            and outcome.answer.status not in EXEMPT
            and not outcome.answer.header("server-stamp")
        ]
        allowed = ALLOWED + ALLOWED_RATIO * len(self._outcomes)
        facts = f"{len(denied)} of {len(self._outcomes)} requests denied, {allowed:.1f} allowed"
        if len(denied) > allowed:
            return BROKEN, f"broken: DENIED, {facts}, {WAIT_SECONDS:g} s after the acknowledgement"
        return HELD, f"DENIED held: {facts}"


if __name__ == "__main__":
    sys.exit(run_case(RaisedLimit))
