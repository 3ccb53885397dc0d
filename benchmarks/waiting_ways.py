"""Compares waiting rules and queue locations for a small service under a burst.

Many nodes send to a few replicas that process a few requests concurrently, queue a few more and
shed the rest. Rejected callers retry once, after the time that they were given. The benchmark runs
on a virtual clock, so that its results are reproducible.
"""

import argparse
import heapq
import random
from dataclasses import dataclass, field

from tests.forwarding.one_node import OneNode, replica, single_route, table
from wingquay.forwarding.sending.waiting_settings import QueueLocation, WaitingRule, WaitingSettings
from wingquay.ports.forwarding import (
    ForwardFailureKind,
    ReplyFailure,
    ReplyUnchanged,
    ReportedLoad,
    SendToReplica,
)

STEP_SECONDS = 0.002
REPLICA_QUEUE_LIMIT = 4
"""Number of requests that a replica queues before it sheds."""
CONNECTIONS = 200


@dataclass(frozen=True)
class Load:
    """A service, its request rate and the number of nodes."""

    name: str
    nodes: int
    per_second: float
    replicas: int = 5
    slots: int = 2
    work_seconds: float = 0.133
    objective_seconds: float = 1.045
    deadline_seconds: float = 8.0
    late_worth: float = 0.73
    seconds: float = 4.0


LOADS = (
    Load("2 nodes, 130/s on 5 x 2 slots of 133 ms", 2, 130.0),
    Load("25 nodes, 100/s on 5 x 2 slots of 133 ms", 25, 100.0),
    Load("70 nodes, 100/s on 5 x 2 slots of 133 ms", 70, 100.0),
    Load("25 nodes, 100/s on 4 x 2 slots of 90 ms", 25, 100.0, 4, 2, 0.09, 0.347, 1.504, 0.5),
)


@dataclass
class _Replica:
    work_seconds: float
    running: list[tuple[float, OneNode, SendToReplica]] = field(default_factory=list)
    queue: list[tuple[OneNode, SendToReplica]] = field(default_factory=list)


class Simulation:
    """Simulation of one load."""

    def __init__(self, load: Load, waiting: WaitingSettings, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._replicas = {
            f"r{number}": _Replica(load.work_seconds * self._random.choice([0.8, 1.0, 1.3]))
            for number in range(load.replicas)
        }
        count = load.nodes
        self._nodes = [
            OneNode(number, waiting, min_nodes=count, max_nodes=count) for number in range(count)
        ]
        route = single_route(
            objective_seconds=load.objective_seconds, timeout_seconds=load.deadline_seconds
        )
        for node in self._nodes:
            records = [replica(name, "s") for name in self._replicas]
            node.start(table(1, route, connections=CONNECTIONS), *records)
            node.advance(10.0)
        self._now = 0.0
        self._seen: set[tuple[int, int]] = set()
        self._due: list[tuple[float, int, int, float]] = []
        self._open: dict[tuple[int, int], tuple[int, int, float]] = {}
        self.worth: list[float] = []
        self.shed = 0
        self.rejected = 0

    def run(self) -> None:
        """Run until every request has ended."""
        load = self._load
        at = self._random.expovariate(load.per_second)
        while at < load.seconds:
            heapq.heappush(self._due, (at, len(self.worth), 0, at))
            self.worth.append(0.0)
            at += self._random.expovariate(load.per_second)
        while self._now < load.seconds + load.deadline_seconds + 1.0:
            self._now += STEP_SECONDS
            for node in self._nodes:
                node.advance(STEP_SECONDS)
            self._work()
            self._deliver_sends()
            self._send_requests()
            self._collect_replies()

    def _work(self) -> None:
        for backend in self._replicas.values():
            ended = [item for item in backend.running if item[0] <= self._now]
            backend.running = [item for item in backend.running if item[0] > self._now]
            for _, node, send in ended:
                if send in node.sends:
                    report = ReportedLoad(
                        len(backend.running), len(backend.queue), self._load.slots
                    )
                    node.answer(send, load=report)
            backend.queue = [(node, send) for node, send in backend.queue if send in node.sends]
            while backend.queue and len(backend.running) < self._load.slots:
                self._begin(backend, *backend.queue.pop(0))

    def _begin(self, backend: _Replica, node: OneNode, send: SendToReplica) -> None:
        seconds = backend.work_seconds * self._random.uniform(0.7, 1.3)
        backend.running.append((self._now + seconds, node, send))

    def _deliver_sends(self) -> None:
        for number, node in enumerate(self._nodes):
            for send in list(node.sends):
                if (number, send.attempt_id) in self._seen:
                    continue
                self._seen.add((number, send.attempt_id))
                backend = self._replicas[send.replica.replica_id]
                if len(backend.running) < self._load.slots:
                    self._begin(backend, node, send)
                elif len(backend.queue) < REPLICA_QUEUE_LIMIT:
                    backend.queue.append((node, send))
                else:
                    self.shed += 1
                    node.answer(send, 503, b"", None, not_run=True)

    def _send_requests(self) -> None:
        while self._due and self._due[0][0] <= self._now:
            _, caller, tries, started_at = heapq.heappop(self._due)
            number = self._random.randrange(len(self._nodes))
            left = self._load.deadline_seconds - (self._now - started_at)
            exchange_id = self._nodes[number].request("/one/x", left)
            self._open[number, exchange_id] = (caller, tries, started_at)

    def _collect_replies(self) -> None:
        load = self._load
        for number, exchange_id in list(self._open):
            reply = self._nodes[number].replies.get(exchange_id)
            if reply is None:
                continue
            caller, tries, started_at = self._open.pop((number, exchange_id))
            waited = self._now - started_at
            match reply:
                case ReplyUnchanged():
                    is_late = waited > load.objective_seconds
                    self.worth[caller] = load.late_worth if is_late else 1.0
                case ReplyFailure(kind=ForwardFailureKind.NOT_RUN, retry_after_seconds=after):
                    self.rejected += 1
                    if not tries and after is not None:
                        back_at = self._now + min(after, (load.deadline_seconds - waited) / 3)
                        heapq.heappush(self._due, (back_at, caller, 1, started_at))


def main() -> None:
    """Print the results as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args().seeds
    print("| load | rule | queue at | worth of 1, by seed | lost | shed | rejected |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        for rule in WaitingRule:
            for location in QueueLocation:
                simulations = [
                    Simulation(load, WaitingSettings(rule, location), seed) for seed in range(seeds)
                ]
                for simulation in simulations:
                    simulation.run()
                worth = ", ".join(
                    f"{sum(simulation.worth) / len(simulation.worth):.3f}"
                    for simulation in simulations
                )
                lost = sum(simulation.worth.count(0.0) for simulation in simulations)
                shed = sum(simulation.shed for simulation in simulations)
                rejected = sum(simulation.rejected for simulation in simulations)
                row = (load.name, rule.value, location.value, worth, lost, shed, rejected)
                print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)


if __name__ == "__main__":
    main()
