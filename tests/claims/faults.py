"""Random steps of a fuzzer on a ``World``: submissions, faults of every kind, repairs, waiting."""

import random
from collections.abc import Callable

from tests.claims.world import SimulatedNode, World
from wingquay.model.identifiers import ZoneName

KEYS = ("k0", "k1", "k2", "k3")
MAX_NODES = 24
SHORT_SECONDS = (0.001, 0.004, 0.02, 0.3, 1.0)
LONG_SECONDS = (3.0, 7.0, 20.0, 62.0, 106.0, 170.0)
PROBABILITIES = (0.0, 0.05, 0.3)


def _node(world: World, source: random.Random) -> SimulatedNode | None:
    running = world.running()
    return source.choice(running) if running else None


def submit(world: World, source: random.Random) -> None:
    """Submit a key, possibly through several nodes at once."""
    key = source.choice(KEYS)
    for _ in range(source.choice((1, 1, 2, 3))):
        node = _node(world, source)
        if node is not None:
            world.submit(node, key)
        if source.random() < 0.5:
            world.advance(source.choice(SHORT_SECONDS))


def wait_shortly(world: World, source: random.Random) -> None:
    world.advance(source.choice(SHORT_SECONDS))


def wait_long(world: World, source: random.Random) -> None:
    world.advance(source.choice(LONG_SECONDS))


def crash(world: World, source: random.Random) -> None:
    node = _node(world, source)
    if node is not None:
        world.crash(node)


def start(world: World, source: random.Random) -> None:
    if len(world.nodes) < MAX_NODES:
        world.start_node(source.choice(world.zones))


def leave(world: World, source: random.Random) -> None:
    node = _node(world, source)
    if node is not None:
        world.leave(node)


def pause(world: World, source: random.Random) -> None:
    node = _node(world, source)
    if node is not None:
        node.paused = True


def resume(world: World, source: random.Random) -> None:
    paused = [node for node in world.running() if node.paused]
    if paused:
        world.resume(source.choice(paused))


def send_partial_view(world: World, source: random.Random) -> None:
    """Send a node a membership view that misses some nodes, or none."""
    node = _node(world, source)
    if node is None:
        return
    others = [other.identity.node_id for other in world.running() if other is not node]
    count = source.randint(0, len(others))
    world.send_view(node, set(source.sample(others, count)))


def send_full_views(world: World, source: random.Random) -> None:
    world.send_membership()


def cut_zones(world: World, source: random.Random) -> None:
    """Cut some zones off from the others; most nodes then see the other side as gone."""
    zones = source.sample(world.zones, source.randint(1, len(world.zones)))
    group = {node.identity.node_id for node in world.running() if node.identity.zone in zones}
    _cut(world, source, group)


def cut_nodes(world: World, source: random.Random) -> None:
    """Cut random nodes off from the others, across zones."""
    running = [node.identity.node_id for node in world.running()]
    _cut(world, source, set(source.sample(running, source.randint(0, len(running)))))


def _cut(world: World, source: random.Random, group: set[str]) -> None:
    world.cut_off({node_id for node_id in world.nodes if node_id in group})
    store_is_cut_off = source.random() < 0.7
    for node in world.running():
        inside = node.identity.node_id in group
        if inside and store_is_cut_off:
            world.store.cut_off.add(node.identity.node_id)
        others = {
            other.identity.node_id
            for other in world.running()
            if (other.identity.node_id in group) != inside
        }
        if source.random() < 0.8:
            world.send_view(node, others)


def heal(world: World, source: random.Random) -> None:
    world.heal()


def disturb_network(world: World, source: random.Random) -> None:
    world.network.loss = source.choice(PROBABILITIES)
    world.network.duplicates = source.choice(PROBABILITIES)
    world.network.long_delay = source.choice(PROBABILITIES)


def disturb_store(world: World, source: random.Random) -> None:
    world.store.is_down = source.random() < 0.3
    world.store.lost_replies = source.choice(PROBABILITIES)


def change_zones(world: World, source: random.Random) -> None:
    """Change the deployment's zones; some nodes do not receive the new configuration."""
    names = [ZoneName(f"z{index}") for index in range(5)]
    zones = tuple(sorted(source.sample(names, source.randint(1, 4))))
    for zone in zones:
        if not world.running(zone):
            world.start_node(zone)
    world.change_zones(zones, {node for node in world.nodes if source.random() < 0.2})


def refuse_to_run(world: World, source: random.Random) -> None:
    world.refuse_to_run = not world.refuse_to_run


Step = Callable[[World, random.Random], None]

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


def take_random_steps(world: World, source: random.Random, count: int) -> list[str]:
    """Take up to ``count`` steps, stop at the first violation, and return the steps' names."""
    names = list(STEPS)
    weights = [WEIGHTS.get(name, 1) for name in names]
    taken: list[str] = []
    for name in source.choices(names, weights, k=count):
        taken.append(name)
        STEPS[name](world, source)
        if world.violations:
            break
    return taken
