"""BUDGET: a shard's request runs on more replicas than ``maxAttempts`` after a node is killed."""

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "review")]

from lab_2.client import Client  # noqa: E402
from lab_2.node import Node  # noqa: E402
from lab_2.platform import Platform  # noqa: E402
from lab_2.replica import Replica, Run  # noqa: E402

HOST = "boundary.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
SHARDS_PER_ZONE = 6
REPLICAS_PER_SHARD = 3
MAX_ATTEMPTS = 1
TOLERATED_REQUESTS = 3
"""The rule lets as many requests of a service pass."""
REQUESTS_PER_SECOND = 60.0
LOAD_SECONDS = 24.0
FIRST_KILL_SECONDS = 8.0
KILL_INTERVAL_SECONDS = 6.0
KILLS = 2
DOWN_SECONDS = 2.0
MOST_SECONDS = 90.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_random = random.Random(60)


def work(_run: Run) -> float:
    """Return how long the work on one part takes, in seconds."""
    return 0.2 * _random.uniform(0.5, 2.0)


def route(shards: list[str]) -> dict[str, object]:
    """Return the route over all shards, of which a part is enough."""
    return {
        "name": "r-sweep",
        "host": HOST,
        "pathPrefix": "/sweep/",
        "routeType": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "fanoutServices": shards,
        "maxAttempts": MAX_ATTEMPTS,
        "topK": 10,
        "minShardRatio": 0.4,
    }


async def load(client: Client) -> None:
    """Send requests at a steady rate."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + LOAD_SECONDS
    tasks = []
    while loop.time() < ends_at:
        target = f"/sweep/{len(client.requests)}"
        tasks.append(asyncio.create_task(client.send(target, 4000)))
        await asyncio.sleep(_random.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*tasks)


async def kill_in_turn(nodes: list[Node], events: list[str]) -> None:
    """Kill a node of zone b, start it again, and go on with the next one."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for number in range(KILLS):
        due_at = began_at + FIRST_KILL_SECONDS + number * KILL_INTERVAL_SECONDS
        await asyncio.sleep(due_at - loop.time())
        node = nodes[number % len(nodes)]
        node.kill()
        events.append(f"{loop.time() - began_at:.3f} s SIGKILL {node.name}")
        await asyncio.sleep(DOWN_SECONDS)
        await node.start()
        events.append(f"{loop.time() - began_at:.3f} s {node.name} is ready again")


def judge(replicas: list[Replica], client: Client) -> dict[str, dict[str, list[str]]]:
    """Return, by service, the requests that ran on too many replicas, and on which."""
    sent = {request.request_id for request in client.requests}
    ran: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for replica in replicas:
        for run in replica.runs:
            if run.has_run and run.request_id in sent:
                names = ran[replica.service][run.request_id]
                if replica.replica_id not in names:
                    names.append(replica.replica_id)
    found = {
        service: {key: names for key, names in by_id.items() if len(names) > MAX_ATTEMPTS}
        for service, by_id in ran.items()
    }
    return {service: by_id for service, by_id in sorted(found.items()) if by_id}


def spread(replicas: list[Replica]) -> dict[int, int]:
    """Return how many parts ran on one replica, on two, and so on."""
    ran: dict[tuple[str, str], set[str]] = defaultdict(set)
    for replica in replicas:
        for run in replica.runs:
            if run.has_run:
                ran[(replica.service, run.request_id)].add(replica.replica_id)
    counts: dict[int, int] = defaultdict(int)
    for names in ran.values():
        counts[len(names)] += 1
    return dict(sorted(counts.items()))


def write_record(
    found: dict[str, dict[str, list[str]]],
    replicas: list[Replica],
    client: Client,
    events: list[str],
) -> None:
    """Write what was sent, answered and run."""
    statuses: dict[int, int] = defaultdict(int)
    for request in client.requests:
        statuses[request.status] += 1
    lines = [
        f"trouble: {TROUBLE}",
        f"sent: {len(client.requests)} requests",
        f"answered, by status: {dict(sorted(statuses.items()))}",
        f"run: {sum(run.has_run for item in replicas for run in item.runs)} parts",
        *events,
        f"parts by number of replicas that ran them: {spread(replicas)}",
        f"services with requests on over {MAX_ATTEMPTS} replicas: {len(found)}",
    ]
    for service, by_id in found.items():
        lines.append(f"{service}: {len(by_id)} requests on over {MAX_ATTEMPTS} replicas")
        lines += [
            f"  {request_id} ran on {', '.join(names)}" for request_id, names in by_id.items()
        ]
    (Path(__file__).parent / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")


async def run(directory: Path) -> int:
    """Play the case; return the exit status."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    platform = Platform()
    await platform.start()
    shards: list[str] = []
    for zone in ZONES[1:]:
        for number in range(SHARDS_PER_ZONE):
            service = f"title-{zone[-1]}{number}"
            shards.append(service)
            for copy in range(REPLICAS_PER_SHARD):
                replica = Replica(f"i-{zone[-1]}{number}-{copy}", service, zone, work)
                await platform.add_replica(replica)
    replicas = list(platform.replicas)
    platform.configure([route(shards)], connections=110)
    places = {"node-a": "zone-a", "node-b1": "zone-b", "node-b2": "zone-b", "node-c": "zone-c"}
    nodes = [Node(name, zone, ZONES, platform.port, directory) for name, zone in places.items()]
    client = Client(nodes[0].port, HOST)
    events: list[str] = []
    try:
        async with asyncio.timeout(MOST_SECONDS):
            async with asyncio.TaskGroup() as starting:
                for node in nodes:
                    starting.create_task(node.start())
            await asyncio.sleep(6.0)
            async with asyncio.TaskGroup() as working:
                working.create_task(load(client))
                if TROUBLE:
                    working.create_task(kill_in_turn(nodes[1:3], events))
    finally:
        # First of all, and without a wait: nothing may keep a node from being ended.
        for node in nodes:
            node.kill()
        client.close()
        await platform.close()
    found = judge(replicas, client)
    write_record(found, replicas, client, events)
    served = sum(request.status == 200 for request in client.requests)
    if served < len(client.requests) / 2:
        print("less than half of the requests were served: the case could not run")
        return 2
    is_broken = any(len(by_id) > TOLERATED_REQUESTS for by_id in found.values())
    print("broken" if is_broken else "held", {name: len(by_id) for name, by_id in found.items()})
    return 1 if is_broken else 0


def main() -> int:
    """Run the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            return asyncio.run(run(Path(directory)))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
            print(f"could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
