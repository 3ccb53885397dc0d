"""What happens beside ordinary running: crashes, a zone cut off, all nodes back at once."""

from dataclasses import dataclass, field
from typing import Any

from wingquay.model.identifiers import NodeId
from wingquay.simulation.capacity.cluster import CapacityCluster
from wingquay.simulation.capacity.layout import all_zones

CRASH_INTERVAL_SECONDS = 20.0
REPLACED_AFTER_SECONDS = 12.0
LIMIT_SECONDS = 300.0
BACK_WITHIN_SECONDS = 5.0
"""All nodes come back within this time."""
NEARLY_ALL = 0.999
CALM_SECONDS = 60.0
"""How long the store is watched after everything is back."""


@dataclass(slots=True)
class ChurnTimes:
    """Seconds from a crash until the first other node, and all of them, knew."""

    first: list[float] = field(default_factory=list)
    everywhere: list[float] = field(default_factory=list)
    replaced_known: list[float] = field(default_factory=list)
    """From the start of a replacement until every node knew it."""


def crash_and_replace(cluster: CapacityCluster, crashes: int) -> ChurnTimes:
    """Crash one node after another and start a new process in its place."""
    times = ChurnTimes()
    for _ in range(crashes):
        began = cluster.clock.now
        node = cluster.random.choice(list(cluster.fleet.running.values()))
        place, node_id = cluster.fleet.place_of(node), node.identity.node_id
        cluster.crash(node)
        others = len(cluster.fleet.running)
        first = cluster.run_until(lambda: knowing(cluster, node_id) < others, LIMIT_SECONDS)  # noqa: B023
        rest = cluster.run_until(lambda: knowing(cluster, node_id) == 0, LIMIT_SECONDS)  # noqa: B023
        times.first.append(LIMIT_SECONDS if first is None else first)
        times.everywhere.append(LIMIT_SECONDS if first is None or rest is None else first + rest)
        cluster.run(max(0.0, began + REPLACED_AFTER_SECONDS - cluster.clock.now))
        fresh = cluster.fleet.start(place).identity.node_id
        known = cluster.run_until(
            lambda: knowing(cluster, fresh) == others + 1,  # noqa: B023
            LIMIT_SECONDS,
        )
        times.replaced_known.append(LIMIT_SECONDS if known is None else known)
        cluster.run(max(0.0, began + CRASH_INTERVAL_SECONDS - cluster.clock.now))
    return times


def knowing(cluster: CapacityCluster, node_id: NodeId) -> int:
    """Return how many running nodes take ``node_id`` for available."""
    return sum(machine.listener.knows(node_id) for machine in cluster.fleet.machines())


def cut_and_heal(cluster: CapacityCluster, seconds: float) -> dict[str, Any]:
    """Cut one zone off and heal the cut; return how long it took to be whole again."""
    zone = all_zones()[0]
    cluster.alarms.reset()
    cluster.cut_off(zone)
    cluster.run(seconds)
    cluster.rejoin(zone)
    nearly = cluster.run_until(lambda: share_known(cluster) >= NEARLY_ALL, LIMIT_SECONDS)
    rest = cluster.run_until(cluster.is_settled, LIMIT_SECONDS)
    whole = None if nearly is None or rest is None else nearly + rest
    return {
        "cut_seconds": seconds,
        "nearly_all_known_again_seconds": _rounded(nearly),
        "all_known_again_seconds": _rounded(whole),
        "false_deaths": cluster.alarms.deaths,
    }


def share_known(cluster: CapacityCluster) -> float:
    """Return the share of pairs of running nodes that know each other."""
    count = len(cluster.fleet.running)
    return sum(len(machine.listener.available) for machine in cluster.fleet.machines()) / count**2


def restart_all(cluster: CapacityCluster) -> dict[str, Any]:
    """Lose every node at once; start all again without memory, in a random order."""
    for node in list(cluster.fleet.running.values()):
        cluster.crash(node)
    places = list(range(cluster.settings.nodes))
    cluster.random.shuffle(places)
    requests = _RequestsEachSecond(cluster)
    began = cluster.clock.now
    for place in places:
        at_seconds = began + BACK_WITHIN_SECONDS * cluster.random.random()
        cluster.clock.at(at_seconds, cluster.start, place)
    cluster.run(BACK_WITHIN_SECONDS)
    is_configured = cluster.run_until(lambda: cluster.lowest_revision() > 0, LIMIT_SECONDS)
    configured_at = cluster.clock.now
    is_known = cluster.run_until(lambda: share_known(cluster) >= NEARLY_ALL, LIMIT_SECONDS)
    known_at = cluster.clock.now
    cluster.run(CALM_SECONDS)
    return {
        "back_within_seconds": BACK_WITHIN_SECONDS,
        "all_configured_seconds": None
        if is_configured is None
        else _rounded(configured_at - began),
        "nearly_all_known_seconds": None if is_known is None else _rounded(known_at - began),
        "store_requests_peak_per_second": requests.peak,
        "store_requests": cluster.store.requests - requests.before,
        "store_refusals": sum(machine.store_refusals for machine in cluster.fleet.machines()),
        "observed_seconds": _rounded(cluster.clock.now - began),
    }


class _RequestsEachSecond:
    """Counts the store's requests second by second."""

    def __init__(self, cluster: CapacityCluster) -> None:
        self.peak = 0
        self.before = cluster.store.requests
        self._cluster = cluster
        self._last = self.before
        self._look()

    def _look(self) -> None:
        requests = self._cluster.store.requests
        self.peak = max(self.peak, requests - self._last)
        self._last = requests
        self._cluster.clock.after(1.0, self._look)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 1)
