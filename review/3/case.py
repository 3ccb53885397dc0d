"""Nodes in touch go by an old configuration after another node had a late answer."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.client import Client  # noqa: E402
from standins.deployment import HOST, Deployment, configuration, route  # noqa: E402
from standins.nodes import BOUNDS  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.running import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    IS_TROUBLED,
    run_case,
)

ZONES = ("udon-hall", "khonkaen-hall")
NODES = 4
GROWN_BOUNDS = BOUNDS | {
    "contactMs": 5000,
    "ackMs": 8000,
    "catchUpS": 6,
    "drainMs": 5000,
    "configApplyMs": 5000,
    "maxSkewMs": 15000,
    "budgetSlack": 168,
    "recoveryS": 15,
}
"""khetna-wq-grown."""
CONFIGURATION_SECONDS = 5.0
OLD_SERVICE, NEW_SERVICE = "survey-intake", "harvest-notice"
SETTLE_SECONDS, LOOK_SECONDS = 10.0, 4.0
CUT_SECONDS, CUT_TO_STORE_SECONDS = 2.6, 5.9
"""For how long nothing passes between the node and the store, and nothing from it to the store.
khetna-wq-grown: { kind = "core_cut", count = 1, for_s = 5.9, how = "leader one_way race hard" }."""
FIRST_CHANGE_SECONDS, SECOND_CHANGE_SECONDS = 0.1, 0.25
"""Times of two changes in quick succession ("race") after the beginning of the cut."""
PROBE_SECONDS, PROBE_PAUSE_SECONDS = 8.0, 0.05
DEADLINE_MS = 6000


class LateAnswer:
    """Nodes that go by each other's polls, one of which is partitioned from the store."""

    def __init__(self, directory: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(directory, self.record, NODES, ZONES, GROWN_BOUNDS)
        self._cut_node = -1
        self._acknowledged_at = 0.0
        self._sent: dict[str, tuple[int, float]] = {}

    async def start(self) -> bool:
        """Start everything; return whether the nodes became ready."""
        deployment = self.deployment
        await deployment.start_store(self._document(7, OLD_SERVICE, 6000))
        for service in (OLD_SERVICE, NEW_SERVICE):
            await deployment.start_replicas(service, (2, 2), 4, beats=False)
        await deployment.start_proxies()
        return await deployment.start_nodes()

    @staticmethod
    def _document(version: int, service: str, timeout_ms: int) -> bytes:
        """Return a configuration; both services have a route in each version."""
        other = NEW_SERVICE if service == OLD_SERVICE else OLD_SERVICE
        edits = route("r-edit", "/timi402/", service, timeoutMs=timeout_ms, targetLatencyMs=458)
        return configuration(version, [edits, route("r-other", "/bapu561/", other)])

    async def run(self) -> None:
        """Cut one node off from the store, change the configuration twice, ask all nodes."""
        await asyncio.sleep(SETTLE_SECONDS)
        self._cut_node = await self._find_polling_node()
        loop = asyncio.get_running_loop()
        proxy = self.deployment.proxies[self._cut_node]
        cut_at = self.record.start_at = loop.time()
        if IS_TROUBLED:
            proxy.from_store_held_until = cut_at + CUT_SECONDS
            proxy.to_store_held_until = cut_at + CUT_TO_STORE_SECONDS
            self.record.note("cut off from the store", self._name(self._cut_node))
        await asyncio.sleep(FIRST_CHANGE_SECONDS)
        self._change(8, OLD_SERVICE)
        await asyncio.sleep(SECOND_CHANGE_SECONDS - FIRST_CHANGE_SECONDS)
        self._change(9, NEW_SERVICE)
        self._acknowledged_at = loop.time()
        await asyncio.gather(*(self._ask(number) for number in range(NODES)))

    async def _find_polling_node(self) -> int:
        """Return the node that polls for the others, just after it has begun a long poll."""
        proxies = self.deployment.proxies
        for proxy in proxies:
            proxy.long_polls = 0
        await asyncio.sleep(LOOK_SECONDS)
        found = max(range(NODES), key=lambda number: proxies[number].long_polls)
        known = proxies[found].long_polls
        while proxies[found].long_polls == known:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        return found

    def _change(self, version: int, service: str) -> None:
        self.deployment.store.put("op/config", self._document(version, service, 5000))
        self.record.note("acknowledged: version", version, route_to=service)

    def _name(self, number: int) -> str:
        return self.deployment.nodes[number].name

    async def _ask(self, number: int) -> None:
        """Send requests to one node, one after the other, on a kept connection."""
        node = self.deployment.nodes[number]
        client = Client(node.name, node.host, node.port)
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < self._acknowledged_at + PROBE_SECONDS:
            count += 1
            request_id = f"n{number}-{count}"
            self._sent[request_id] = (number, loop.time())
            outcome = await client.send(HOST, "/timi402/2f?work=5", request_id, DEADLINE_MS)
            self.record.note("client gets", request_id, outcome.text, node=node.name)
            await asyncio.sleep(PROBE_PAUSE_SECONDS)
        client.close()

    def verdict(self) -> tuple[int, str]:
        """Return the exit status and what was found."""
        old_runs = [
            request_id
            for replica in self.deployment.replicas
            if replica.service == OLD_SERVICE
            for request_id in replica.runs
        ]
        ages = [
            (number, sent_at - self._acknowledged_at)
            for number, sent_at in (self._sent[request_id] for request_id in old_runs)
            if number != self._cut_node
        ]
        if not ages or not self._sent:
            return COULD_NOT_RUN, "could not run: the old service ran nothing"
        late = [number for number, age in ages if age > CONFIGURATION_SECONDS]
        latest = max(age for _, age in ages)
        facts = f"the last was sent {latest:.2f} s after the acknowledgement"
        if late:
            names = sorted({self._name(number) for number in late})
            return BROKEN, f"broken: CONFIG by {len(late)} requests at {names}; {facts}"
        return HELD, f"CONFIG held at the nodes in touch: of the old service's requests {facts}"


if __name__ == "__main__":
    sys.exit(run_case(LateAnswer))
