"""Two nodes act as the first owner of a tenant's limit: an old one and a machine that was added."""

import asyncio
import itertools
import json
import random
import shutil
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_3"))
from lab import CannotRunError, Lab, Node, has_trouble, run_case

HERE = Path(__file__).resolve().parent
ZONES = ("thrissur-east", "thrissur-west", "irinjalakuda")
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
RATE_PER_S = 60.0
BURST = 0.0
BOUNDS = {
    "contactMs": 5000,
    "drainMs": 5000,
    "graceS": 6,
    "configApplyMs": 5000,
    "strictRevocation": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 180,
    "quotaWindowS": WINDOW_S,
    "quotaOverage": OVERAGE,
    "quotaSlack": SLACK,
}
HOST = "pupu76.example"
TENANTS = tuple(f"tenant-{number:02d}" for number in range(77))
TURNED_ZONE = "irinjalakuda"
NODES_PER_ZONE = 5
OTHER_NODES_PER_ZONE = 6
ADDED_NODE = "front-irinjalakuda-6"
HOT = "tenant-54"
SHARDS = 20
CLIENTS_PER_NODE = 6
PAUSE_S = 0.4
"""Pause of a client of the tenant between two requests."""
BEGIN_AFTER_S = 2.0
"""Time from the change of the machines until the tenant's callers begin."""
SENDING_S = 6.5
CALM_S = 8.0


class Client:
    """Sends one request after another on a connection to one node, as long as that stays open."""

    def __init__(self, lab: Lab, node: Node, name: str, tenant: str, record: list[dict]) -> None:
        self._lab = lab
        self._node = node
        self._name = name
        self._tenant = tenant
        self._record = record

    async def run(self) -> None:
        """Send until cancelled."""
        numbers = itertools.count()
        await asyncio.sleep(PAUSE_S * random.random())
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                reader, writer = await asyncio.open_connection(self._node.host, self._node.port)
                while await self._exchange(reader, writer, next(numbers)):
                    pass
            except (OSError, asyncio.IncompleteReadError, ValueError):
                await asyncio.sleep(0.3)
            finally:
                if writer is not None:
                    writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        request_id = f"{self._name}-{number}"
        entry = {
            "id": request_id,
            "node": self._node.name,
            "tenant": self._tenant,
            "sent": round(time.monotonic() - self._lab.began_at, 4),
        }
        self._record.append(entry)
        writer.write(
            f"GET /timi402/2f?work=4 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 2000\r\nAuthorization: Bearer key-{self._tenant}\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(headers.get("content-length", "0")))
        entry["status"] = int(lines[0].split()[1])
        entry["answered"] = round(time.monotonic() - self._lab.began_at, 4)
        # A client obeys Retry-After, for at most a third of the time that it has left.
        wait = min(float(headers.get("retry-after", "0")), 0.6)
        await asyncio.sleep(max(PAUSE_S, wait) * random.uniform(0.7, 1.3))
        return headers.get("connection") != "close"


def configuration() -> dict:
    """Return the operator's configuration."""
    tenants = [
        {"name": name, "apiKeys": [f"key-{name}"], "ratePerS": RATE_PER_S, "burst": BURST}
        for name in TENANTS
    ]
    route = {
        "name": "r-s4qmv29",
        "host": HOST,
        "pathPrefix": "/timi402/",
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "kafi81c",
        "maxAttempts": 2,
    }
    shards = [f"shard-{number:02d}" for number in range(SHARDS)]
    wide = {
        "name": "r-zqghvik",
        "host": HOST,
        "pathPrefix": "/ziti980/",
        "routeType": "idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 118,
        "priority": 1,
        "fanoutServices": shards,
        "maxAttempts": 2,
        "topK": 50,
        "minShardRatio": 0.89,
    }
    names = ["kafi81c", *shards]
    services = [{"name": name, "healthPath": "/health", "maxConnections": 400} for name in names]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": 7,
        "routes": [route, wide],
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def worst_window(runs: list[tuple[float, float]]) -> tuple[int, float]:
    """Return the most requests that were sent and arrived within a window, and its beginning."""
    runs = sorted(runs)
    worst, at = 0, 0.0
    for begin, _ in runs:
        inside = sum(1 for sent, ran in runs if sent >= begin and ran <= begin + WINDOW_S)
        if inside > worst:
            worst, at = inside, begin
    return worst, at


async def set_up(lab: Lab) -> None:
    """Start the store, the replicas and the nodes, and wait until all keys are in the store."""
    await lab.start()
    lab.store.put("op/config", configuration())
    for number in range(6):
        await lab.add_replica("kafi81c", ZONES[number % 3], 16)
    for number in range(SHARDS):
        await lab.add_replica(f"shard-{number:02d}", ZONES[number % 2], 2)
    for zone in ZONES:
        count = NODES_PER_ZONE if zone == TURNED_ZONE else OTHER_NODES_PER_ZONE
        for number in range(1, count + 1):
            await lab.add_node(f"front-{zone}-{number}", zone)
    for node in lab.nodes.values():
        await node.wait_ready()
    await lab.wait_listed(set(lab.nodes))


async def play(lab: Lab, hot: str, record: list[dict], marks: list[dict]) -> None:
    """Play the day."""

    def mark(text: str) -> None:
        marks.append({"at": round(time.monotonic() - lab.began_at, 3), "event": text})

    await set_up(lab)
    mark("all nodes ready")
    clients = [
        Client(lab, node, f"{node.name}-c{number}", hot, record)
        for node in list(lab.nodes.values())
        for number in range(CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(CALM_S)
    mark(f"machine {ADDED_NODE} is added")
    await lab.add_node(ADDED_NODE, TURNED_ZONE)
    await lab.wait_listed({ADDED_NODE})
    mark(f"the key of {ADDED_NODE} is in the store")
    turned = [lab.ways_to_store[name] for name in lab.nodes if TURNED_ZONE in name]
    turned_at = time.monotonic()
    if has_trouble():
        for way in turned:
            way.cut()
        mark(f"the store turns the {len(turned)} machines of {TURNED_ZONE} away")
    await asyncio.sleep(BEGIN_AFTER_S)
    mark("the tenant's callers begin")
    running = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(SENDING_S)
    for way in turned:
        way.heal()
    mark(f"the store serves all machines, {time.monotonic() - turned_at:.1f} s later")
    await asyncio.sleep(1.0)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def judge(lab: Lab, record: list[dict], lines: list[dict]) -> bool:
    """Return whether the rule held for all tenants."""
    loop_offset = asyncio.get_running_loop().time() - time.monotonic()
    sent = {entry["id"]: entry for entry in record}
    runs: dict[str, dict[str, tuple[float, float]]] = {}
    for arrival in lab.arrivals:
        entry = sent.get(arrival.request_id)
        if entry is None or not arrival.has_run:
            continue
        ran = arrival.arrived_at - loop_offset - lab.began_at
        runs.setdefault(arrival.tenant, {}).setdefault(arrival.request_id, (entry["sent"], ran))
        entry["ran"] = round(ran, 4)
    bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK
    holds = True
    for tenant, found in runs.items():
        worst, at = worst_window(list(found.values()))
        by_node = Counter(
            sent[key]["node"] for key, (s, r) in found.items() if s >= at and r <= at + WINDOW_S
        )
        broken = worst > bound
        holds = holds and not broken
        lines.append(
            {
                "tenant": tenant,
                "worst_window": worst,
                "begins": at,
                "bound": bound,
                "broken": broken,
                "by_node": dict(by_node),
            }
        )
    return holds


async def main() -> int:
    """Play and judge; return the exit code."""
    lab = Lab(ZONES, BOUNDS)
    record: list[dict] = []
    lines: list[dict] = []
    try:
        await play(lab, sys.argv[1] if len(sys.argv) > 1 else HOT, record, lines)
        holds = judge(lab, record, lines)
    except (CannotRunError, OSError) as error:
        lines.append({"cannot run": str(error)})
        return 2
    finally:
        await lab.close()
        shutil.rmtree(lab.directory, ignore_errors=True)
        text = "".join(json.dumps(line) + "\n" for line in [*lines, *record])
        (HERE / "record.txt").write_text(text, encoding="utf-8")
    for line in lines:
        print(json.dumps(line))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(run_case(main()))
