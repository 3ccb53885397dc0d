"""What membership costs and how fast it is: hollow nodes on a virtual clock, the real codec.

Every node runs the real membership machine; messages are encoded, authenticated, checked and
decoded by the real codec, and their bytes counted with 28 bytes of IP and UDP headers (52 of IP
and TCP for node lists). Bytes and messages are those that a node sends plus those that it
receives. Times until something is known are of the virtual clock. Processor time is that of the
machine and the codec; the last line adds what a datagram costs on real sockets.
"""

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import fire

from tests.membership.hollow_cluster import HollowCluster, HollowNode
from wingquay.adapters import peer_codec
from wingquay.adapters.peer_frames import FRAME_OVERHEAD_BYTES, ClusterKey, DatagramSealer
from wingquay.adapters.peer_link import PeerLink
from wingquay.model.answer import HeldVersions
from wingquay.model.configuration import Configuration
from wingquay.model.identifiers import (
    DeploymentName,
    NodeId,
    ReplicaId,
    Revision,
    SnapshotVersion,
    ZoneName,
)
from wingquay.ports.internal import (
    ConfigurationInForce,
    LeavingStarted,
    NewerRevisionHeard,
    ReplicaBelief,
    ReplicaObserved,
)
from wingquay.ports.machine import Action, Event, Log
from wingquay.ports.peer import (
    Gossip,
    MembershipMessage,
    NodeIdentity,
    NodeState,
    NodeUpdate,
    PeerMessage,
    Ping,
    ReplicaState,
    SendToPeer,
)

UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 52
REPLICAS = 2_800
CLUSTER_KEY = b"the key of the benchmark's cluster"
FETCH_SECONDS = 0.004
"""Time to fetch a configuration from a peer, once it is known to be newer."""

QUIET_SECONDS = 120.0
KILLS = 12
KILL_INTERVAL_SECONDS = 20.0
RESTART_AFTER_SECONDS = 12.0
VERSION_CHANGES_PER_SECOND = 5
BUSY_LOSS = 0.005
LOSSY_SECONDS = 300.0
LOSSY_LOSS = 0.02
PAUSE_SECONDS = 1.0
PAUSE_INTERVAL_SECONDS = 600.0
CUT_SECONDS = 60.0
LIMIT_SECONDS = 300.0
SECONDS_PER_HOUR = 3600.0


@dataclass(slots=True)
class Cost:
    """What was sent and computed since some moment, by all nodes."""

    messages: int = 0
    bytes: int = 0
    largest_datagram: int = 0
    codec_seconds: float = 0.0
    decision_seconds: float = 0.0


@dataclass(slots=True)
class Mistakes:
    """Suspicions and deaths of nodes that were running all the time."""

    suspicions: int = 0
    deaths: int = 0


@dataclass(slots=True)
class Times:
    """Seconds until the first other node and all other nodes knew."""

    first: list[float] = field(default_factory=list)
    everywhere: list[float] = field(default_factory=list)


class MeteredCluster(HollowCluster):
    """Hollow nodes whose messages go through the codec and are counted."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, watcher=self._watch)
        self.cost = Cost()
        self.mistakes = Mistakes()
        self.on_log = self._read_log
        self._sealer = DatagramSealer(ClusterKey(CLUSTER_KEY))

    def decide(self, node: HollowNode, event: Event) -> list[Action]:
        """Let the machine take in an event, and take the time."""
        began = time.perf_counter()
        actions = super().decide(node, event)
        self.cost.decision_seconds += time.perf_counter() - began
        return actions

    def _watch(self, sender: NodeIdentity, to: NodeIdentity, message: PeerMessage) -> None:
        began = time.perf_counter()
        data = peer_codec.encode(message, sender)
        datagram = self._sealer.seal(data)
        opened = self._sealer.open(datagram)
        peer_codec.decode(opened if isinstance(opened, bytes) else b"")
        self.cost.codec_seconds += time.perf_counter() - began
        self.cost.messages += 1
        if isinstance(message, MembershipMessage):
            self.cost.bytes += len(datagram) + UDP_HEADER_BYTES
            self.cost.largest_datagram = max(self.cost.largest_datagram, len(datagram))
        else:
            self.cost.bytes += len(data) + FRAME_OVERHEAD_BYTES + TCP_HEADER_BYTES

    def _read_log(self, node: HollowNode, line: Log) -> None:
        subject = str(dict(line.fields).get("node"))
        if subject not in self.nodes:
            return
        self.mistakes.suspicions += line.message == "node_suspected"
        self.mistakes.deaths += line.message == "node_dead"


@dataclass(frozen=True, slots=True)
class Rate:
    """Cost for each node and second."""

    messages: float
    bytes: float
    core_share: float
    largest_datagram: int


def measure(cluster: MeteredCluster, scenario: Callable[[], None]) -> Rate:
    """Run ``scenario`` and return what it cost a node."""
    cluster.cost = Cost()
    cluster.mistakes = Mistakes()
    began, nodes = cluster.now, len(cluster.nodes)
    scenario()
    cost, node_seconds = cluster.cost, nodes * (cluster.now - began)
    return Rate(
        messages=2 * cost.messages / node_seconds,
        bytes=2 * cost.bytes / node_seconds,
        core_share=(cost.decision_seconds + cost.codec_seconds) / node_seconds,
        largest_datagram=cost.largest_datagram,
    )


def churn(cluster: MeteredCluster, times: Times) -> None:
    """Kill nodes one by one and restart them, while replicas change versions."""
    for _ in range(KILLS):
        victim = cluster.random.choice(list(cluster.nodes.values()))
        node_id, index = victim.identity.node_id, _index_of(victim)
        begun = cluster.now
        cluster.kill(victim)
        others = len(cluster.nodes)
        _change_versions(cluster)
        first = cluster.run_until(lambda: cluster.knows(node_id) < others, LIMIT_SECONDS)  # noqa: B023
        rest = cluster.run_until(lambda: cluster.knows(node_id) == 0, LIMIT_SECONDS)  # noqa: B023
        times.first.append(first)
        times.everywhere.append(first + rest)
        while cluster.now - begun < RESTART_AFTER_SECONDS:
            _change_versions(cluster)
            cluster.run(1.0)
        cluster.start_node(index)
        while cluster.now - begun < KILL_INTERVAL_SECONDS:
            _change_versions(cluster)
            cluster.run(1.0)


def _index_of(node: HollowNode) -> int:
    return int(node.identity.node_id.split("-")[-2])


def _change_versions(cluster: MeteredCluster) -> None:
    for _ in range(VERSION_CHANGES_PER_SECOND):
        replica_id = ReplicaId(f"replica-{cluster.random.randrange(REPLICAS):04d}")
        newest = SnapshotVersion(int(cluster.now))
        held = HeldVersions(replica_id, newest, newest)
        node = cluster.random.choice(list(cluster.nodes.values()))
        cluster.give(node, ReplicaObserved(replica_id, ReplicaState.SERVING, held))


def lossy(cluster: MeteredCluster) -> None:
    """Lose datagrams and pause nodes now and then."""
    end = cluster.now + LOSSY_SECONDS
    pause_probability = len(cluster.nodes) / PAUSE_INTERVAL_SECONDS
    while cluster.now < end:
        if cluster.random.random() < pause_probability:
            cluster.pause(cluster.random.choice(list(cluster.nodes.values())), PAUSE_SECONDS)
        cluster.run(1.0)


def leaving_replica(cluster: MeteredCluster) -> float:
    """Return how long it takes until all nodes know that a replica is leaving."""
    belief = ReplicaBelief(ReplicaId("leaving-replica"), ReplicaState.LEAVING)
    node = cluster.random.choice(list(cluster.nodes.values()))
    cluster.give(node, ReplicaObserved(belief.replica_id, belief.state))
    return cluster.run_until(
        lambda: all(belief in other.notified for other in cluster.nodes.values()), LIMIT_SECONDS
    )


def leaving_node(cluster: MeteredCluster) -> float:
    """Return how long it takes until all nodes know that a node is leaving."""
    node = cluster.random.choice(list(cluster.nodes.values()))
    cluster.give(node, LeavingStarted())
    return cluster.run_until(lambda: cluster.knows(node.identity.node_id) == 0, LIMIT_SECONDS)


def new_revision(cluster: MeteredCluster) -> float:
    """Return how long it takes until a revision is in force everywhere."""
    in_force: set[str] = set()
    due: list[tuple[float, HollowNode, NewerRevisionHeard]] = []

    def fetch(node: HollowNode, event: Event) -> None:
        if isinstance(event, NewerRevisionHeard):
            due.append((cluster.now + FETCH_SECONDS, node, event))

    cluster.on_notify = fetch
    first = next(iter(cluster.nodes.values()))
    configuration = Configuration(revision=Revision(1))
    in_force.add(first.identity.node_id)
    begun = cluster.now
    cluster.give(first, ConfigurationInForce(configuration))
    while len(in_force) < len(cluster.nodes):
        cluster.run(FETCH_SECONDS / 2)
        ready = [entry for entry in due if entry[0] <= cluster.now]
        due[:] = [entry for entry in due if entry[0] > cluster.now]
        for _, node, _ in ready:
            if node.identity.node_id not in in_force:
                in_force.add(node.identity.node_id)
                cluster.give(node, ConfigurationInForce(configuration))
    cluster.on_notify = None
    return cluster.now - begun


def report_size(nodes: int, seed: int) -> None:
    """Measure one number of nodes."""
    cluster = MeteredCluster(seed)
    cluster.start_nodes(nodes)
    start_seconds = cluster.run_until(lambda: _share_known(cluster) >= 0.999, LIMIT_SECONDS)
    cluster.run_until(cluster.is_settled, LIMIT_SECONDS)
    cluster.run(60.0)
    print(f"{nodes} nodes: started at once, 99.9% of pairs known after {start_seconds:.1f} s")
    quiet = measure(cluster, lambda: cluster.run(QUIET_SECONDS))
    _print_rate("quiet", quiet, cluster, QUIET_SECONDS)
    times = Times()
    cluster.loss = BUSY_LOSS
    busy = measure(cluster, lambda: churn(cluster, times))
    _print_rate("churn", busy, cluster, KILLS * KILL_INTERVAL_SECONDS)
    _print_times("  dead node known first", times.first)
    _print_times("  dead node known everywhere", times.everywhere)
    cluster.loss = LOSSY_LOSS
    _print_rate("lossy", measure(cluster, lambda: lossy(cluster)), cluster, LOSSY_SECONDS)
    cluster.loss = BUSY_LOSS
    cluster.run_until(cluster.is_settled, LIMIT_SECONDS)
    print(f"  leaving replica known everywhere after {leaving_replica(cluster):.2f} s")
    print(f"  leaving node known everywhere after {leaving_node(cluster):.2f} s")
    print(f"  new revision in force everywhere after {new_revision(cluster):.2f} s")
    cluster.cut_off("dej")
    cluster.run(CUT_SECONDS)
    cluster.heal()
    healed = cluster.run_until(lambda: _share_known(cluster) >= 0.999, LIMIT_SECONDS)
    settled = cluster.run_until(cluster.is_settled, LIMIT_SECONDS)
    print(f"  zone cut for {CUT_SECONDS:.0f} s: 99.9% of pairs known again {healed:.1f} s after")
    print(f"  it healed, all {healed + settled:.1f} s", flush=True)


def _share_known(cluster: MeteredCluster) -> float:
    running = len(cluster.nodes)
    known = sum(len(node.available | node.leaving) for node in cluster.nodes.values())
    return min(1.0, known / running**2)


def _print_rate(name: str, rate: Rate, cluster: MeteredCluster, seconds: float) -> None:
    hours = seconds / SECONDS_PER_HOUR
    mistakes = cluster.mistakes
    print(
        f"  {name}: {rate.messages:.2f} messages/s, {rate.bytes:.0f} bytes/s,"
        f" {rate.core_share:.3%} of a core; largest datagram {rate.largest_datagram} bytes;"
        f" in the whole cluster {mistakes.suspicions / hours:.1f} false suspicions/h,"
        f" {mistakes.deaths / hours:.1f} false deaths/h"
    )


def _print_times(name: str, seconds: Sequence[float]) -> None:
    print(f"{name}: median {statistics.median(seconds):.2f} s, worst {max(seconds):.2f} s")


async def datagram_microseconds(count: int = 10_000) -> float:
    """Return the processor time of one ping over loopback, both ends, sockets included."""
    received = 0

    def take(event: Event) -> None:
        nonlocal received
        received += 1

    links = []
    for node_id in ("first", "second"):
        identity = NodeIdentity(
            NodeId(node_id), DeploymentName("ro-nord"), ZoneName("dej"), "127.0.0.1", 0
        )
        links.append(PeerLink(identity, CLUSTER_KEY, peer_codec, take, log=lambda line: None))
    first, second = [await link.start() for link in links]
    update = NodeUpdate(second, NodeState.ALIVE, 1)
    ping = Ping(1, Gossip(Revision(1), (update,)))
    began = time.process_time()
    for sent in range(count):
        links[0].perform(SendToPeer(second, ping))
        while received <= sent:
            await asyncio.sleep(0)
    spent = time.process_time() - began
    for link in links:
        await link.close()
    return spent / count * 1e6


def main(nodes: int | Sequence[int] = (8, 32, 128), seed: int = 1) -> None:
    """Measure the given numbers of nodes; 470 takes some minutes."""
    for count in (nodes,) if isinstance(nodes, int) else nodes:
        report_size(count, seed)
    cost = asyncio.run(datagram_microseconds())
    print(f"one datagram over loopback, both ends, sockets included: {cost:.0f} us")


if __name__ == "__main__":
    fire.Fire(main)
