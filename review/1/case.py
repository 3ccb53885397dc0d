"""A late repeat of a rejection is taken for the answer to a second try that is running."""

import asyncio
import os
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.client import Client, Outcome  # noqa: E402
from standins.deployment import HOST, Deployment, configuration, route  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.replica import Replica  # noqa: E402
from standins.running import BROKEN, HELD, IS_TROUBLED, run_case  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
RUN_SECONDS = 75.0
ZONES = ("udon-hall", "khonkaen-hall", "sakon-hall")
NODES = 8
"""khetna-wq: 8 machines in these zones."""
PREFIXES = {"survey-intake": "/timi402/", "harvest-notice": "/bapu561/"}
"""khetna-wq: the services of single requests; the prefixes are examples of our pages."""
REPLICAS, SLOTS, QUEUE, CONNECTIONS = (1, 1, 0), 2, 12, 26
"""khetna-wq: many of its services have two replicas, in these zones, of that kind."""
DEADLINE_MS, OBJECTIVE_MS = 6000, 458
"""khetna-wq: survey-edit."""
WORK_MS = (13, 60)
"""Least and greatest work; the requests of khetna-wq have means from 5.7 to 108 ms."""
CLIENTS_PER_NODE = 4
"""Clients of each service at each node."""
PAUSE_SECONDS = (0.017, 0.12)

SURPLUS_SHARE, SURPLUS_RATIO, SURPLUS_SECONDS = 0.6, 0.03, 5.0
"""khetna-wq: { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }."""
CALM_SECONDS = 1.0
REJECTED = 503
PROMISES = {"408", "421", "429", "503"}


class RepeatedRejections:
    """Clients that send requests which may run once, to replicas that are full now and then."""

    def __init__(self, directory: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(directory, self.record, NODES, ZONES)
        self._random = random.Random(SEED)
        self._outcomes: list[Outcome] = []
        self._number = 0
        self._is_over = False

    async def start(self) -> bool:
        """Start everything; return whether the nodes became ready."""
        routes = [
            route(
                f"r-{service}",
                prefix,
                service,
                routeType="non_idempotent",
                timeoutMs=DEADLINE_MS,
                targetLatencyMs=OBJECTIVE_MS,
            )
            for service, prefix in PREFIXES.items()
        ]
        await self.deployment.start_store(configuration(7, routes, CONNECTIONS))
        for service in PREFIXES:
            await self.deployment.start_replicas(service, REPLICAS, SLOTS, QUEUE)
        return await self.deployment.start_nodes()

    async def run(self) -> None:
        """Run the clients with the trouble."""
        self.record.start_at = asyncio.get_running_loop().time()
        nodes = self.deployment.nodes * CLIENTS_PER_NODE
        running = [
            asyncio.create_task(
                self._send_requests(Client(node.name, node.host, node.port), prefix)
            )
            for node in nodes
            for prefix in PREFIXES.values()
        ]
        trouble = asyncio.create_task(self._trouble()) if IS_TROUBLED else None
        await asyncio.sleep(RUN_SECONDS)
        self._is_over = True
        await asyncio.gather(*running)
        if trouble is not None:
            trouble.cancel()

    async def _send_requests(self, client: Client, prefix: str) -> None:
        """Send one request after the other, with pauses, on a kept connection."""
        while not self._is_over:
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
            self._number += 1
            request_id = f"r{self._number}"
            work_ms = round(self._random.uniform(*WORK_MS))
            self.record.note("client sends", request_id, node=client.node)
            target = f"{prefix}2f?work={work_ms}"
            outcome = await client.send(HOST, target, request_id, DEADLINE_MS, "POST", body=b"edit")
            self.record.note("client gets", request_id, outcome.text)
            self._outcomes.append(outcome)
        client.close()

    async def _trouble(self) -> None:
        """Let some replicas repeat some of their answers, late, for some seconds at a time."""
        replicas = self.deployment.replicas
        while True:
            chosen = self._random.sample(replicas, int(len(replicas) * SURPLUS_SHARE))
            for replica in chosen:
                replica.has_surplus = _rejections_within_ratio(replica)
            self.record.note("extra late begins", *(item.replica_id for item in chosen))
            await asyncio.sleep(SURPLUS_SECONDS)
            for replica in chosen:
                replica.has_surplus = lambda _status: False
            self.record.note("extra late ends")
            await asyncio.sleep(CALM_SECONDS)

    def verdict(self) -> tuple[int, str]:
        """Return the exit status and what was found."""
        replicas = self.deployment.replicas
        runs = Counter(request_id for replica in replicas for request_id in replica.runs)
        twice = sorted(request_id for request_id, count in runs.items() if count > 1)
        refused = [
            outcome.request_id
            for outcome in self._outcomes
            if outcome.text in PROMISES and runs[outcome.request_id]
        ]
        answers = sum(replica.answers for replica in replicas)
        surplus = sum(replica.surplus_answers for replica in replicas)
        seen = dict(Counter(outcome.text for outcome in self._outcomes))
        facts = f"requests: {seen}; answers of replicas: {answers}, repeated late: {surplus}"
        if twice or refused:
            return BROKEN, f"broken: TWICE by {twice}, REFUSED by {refused}; {facts}"
        return HELD, f"TWICE and REFUSED held; {facts}"


def _rejections_within_ratio(replica: Replica) -> Callable[[int], bool]:
    """Return which answers to repeat: rejections, within the ratio of all answers since now."""
    answers_before = replica.answers
    surplus_before = replica.surplus_answers

    def has_surplus(status: int) -> bool:
        allowed = SURPLUS_RATIO * (replica.answers - answers_before)
        return status == REJECTED and replica.surplus_answers - surplus_before + 1 <= allowed

    return has_surplus


if __name__ == "__main__":
    sys.exit(run_case(RepeatedRejections))
