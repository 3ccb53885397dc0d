"""Random steps of a fuzzer on a ``ClaimsCluster``: submissions, all kinds of faults, repairs."""

import random
from collections.abc import Callable

from tests.claims.claims_cluster import ClaimsCluster, SimulatedNode
from wingquay.model.identifiers import ZoneName

KEYS = ("k0", "k1", "k2", "k3")
MAX_NODES = 24
SHORT_SECONDS = (0.001, 0.004, 0.02, 0.3, 1.0)
LONG_SECONDS = (3.0, 7.0, 20.0, 62.0, 106.0, 170.0)
PROBABILITIES = (0.0, 0.05, 0.3)


def _node(cluster: ClaimsCluster, source: random.Random) -> SimulatedNode | None:
    running = cluster.running()
    return source.choice(running) if running else None


def submit(cluster: ClaimsCluster, source: random.Random) -> None:
    """Submit a key, possibly through several nodes at once."""
    key = source.choice(KEYS)
    for _ in range(source.choice((1, 1, 2, 3))):
        node = _node(cluster, source)
        if node is not None:
            cluster.submit(node, key)
        if source.random() < 0.5:
            cluster.advance(source.choice(SHORT_SECONDS))


def wait_shortly(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.advance(source.choice(SHORT_SECONDS))


def wait_long(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.advance(source.choice(LONG_SECONDS))


def crash(cluster: ClaimsCluster, source: random.Random) -> None:
    node = _node(cluster, source)
    if node is not None:
        cluster.crash(node)


def start(cluster: ClaimsCluster, source: random.Random) -> None:
    if len(cluster.nodes) < MAX_NODES:
        cluster.start_node(source.choice(cluster.zones))


def leave(cluster: ClaimsCluster, source: random.Random) -> None:
    node = _node(cluster, source)
    if node is not None:
        cluster.leave(node)


def pause(cluster: ClaimsCluster, source: random.Random) -> None:
    node = _node(cluster, source)
    if node is not None:
        node.paused = True


def resume(cluster: ClaimsCluster, source: random.Random) -> None:
    paused = [node for node in cluster.running() if node.paused]
    if paused:
        cluster.resume(source.choice(paused))


def send_partial_view(cluster: ClaimsCluster, source: random.Random) -> None:
    """Send a node a membership view that misses some nodes, or none."""
    node = _node(cluster, source)
    if node is None:
        return
    others = [other.identity.node_id for other in cluster.running() if other is not node]
    count = source.randint(0, len(others))
    cluster.send_view(node, set(source.sample(others, count)))


def send_full_views(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.send_membership()


def cut_zones(cluster: ClaimsCluster, source: random.Random) -> None:
    """Cut some zones off from the others; most nodes then see the other side as gone."""
    zones = source.sample(cluster.zones, source.randint(1, len(cluster.zones)))
    group = {node.identity.node_id for node in cluster.running() if node.identity.zone in zones}
    _cut(cluster, source, group)


def cut_nodes(cluster: ClaimsCluster, source: random.Random) -> None:
    """Cut random nodes off from the others, across zones."""
    running = [node.identity.node_id for node in cluster.running()]
    _cut(cluster, source, set(source.sample(running, source.randint(0, len(running)))))


def _cut(cluster: ClaimsCluster, source: random.Random, group: set[str]) -> None:
    cluster.cut_off({node_id for node_id in cluster.nodes if node_id in group})
    store_is_cut_off = source.random() < 0.7
    for node in cluster.running():
        inside = node.identity.node_id in group
        if inside and store_is_cut_off:
            cluster.store.cut_off.add(node.identity.node_id)
        others = {
            other.identity.node_id
            for other in cluster.running()
            if (other.identity.node_id in group) != inside
        }
        if source.random() < 0.8:
            cluster.send_view(node, others)


def heal(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.heal()


def disturb_network(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.network.loss = source.choice(PROBABILITIES)
    cluster.network.duplicates = source.choice(PROBABILITIES)
    cluster.network.long_delay = source.choice(PROBABILITIES)


def disturb_store(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.store.is_down = source.random() < 0.3
    cluster.store.lost_replies = source.choice(PROBABILITIES)


def change_zones(cluster: ClaimsCluster, source: random.Random) -> None:
    """Change the deployment's zones; some nodes do not receive the new configuration."""
    names = [ZoneName(f"z{index}") for index in range(5)]
    zones = tuple(sorted(source.sample(names, source.randint(1, 4))))
    for zone in zones:
        if not cluster.running(zone):
            cluster.start_node(zone)
    cluster.change_zones(zones, {node for node in cluster.nodes if source.random() < 0.2})


def refuse_to_run(cluster: ClaimsCluster, source: random.Random) -> None:
    cluster.refuse_to_run = not cluster.refuse_to_run


Step = Callable[[ClaimsCluster, random.Random], None]

STEPS: dict[str, Step] = {
    step.__name__: step
    for step in (
        submit,
        wait_shortly,
        wait_long,
        crash,
        start,
        leave,
        pause,
        resume,
        send_partial_view,
        send_full_views,
        cut_zones,
        cut_nodes,
        heal,
        disturb_network,
        disturb_store,
        refuse_to_run,
        change_zones,
    )
}
WEIGHTS = {"submit": 8, "wait_shortly": 4, "wait_long": 4, "send_full_views": 2, "start": 2}


def take_random_steps(cluster: ClaimsCluster, source: random.Random, count: int) -> list[str]:
    """Take up to ``count`` steps, stop at the first violation, and return the steps' names."""
    names = list(STEPS)
    weights = [WEIGHTS.get(name, 1) for name in names]
    taken: list[str] = []
    for name in source.choices(names, weights, k=count):
        taken.append(name)
        STEPS[name](cluster, source)
        if cluster.violations:
            break
    return taken
