"""Faults that strike a simulation of forwarding nodes, each a named function."""

import random

from .settings import SimulationSettings
from .simulation import (
    ForwardingSimulation,
    SimulatedFault,
    SimulationResult,
)

OUTAGE_SECONDS = (0.3, 7.0)
"""An outage of the store, or of a node's way to it, takes a time between these."""
AWAY_SECONDS = (0.0, 3.0)
"""The store is away for a time between these before it comes back from an older copy."""
COPY_AGE_SECONDS = (0.5, 10.0)
CUT_SECONDS = (2.0, 7.0)
"""A zone is cut off for a time between these."""
SUSPENDED_SECONDS = (1.0, 3.0, 8.0, 30.0)
CRASHING_ROUTES = ("sweep", "check", "fetch", "edit")
"""First words of the paths of requests that may end replicas."""
BORN_AGAIN_SECONDS = (0.3, 4.0)
CLOCK_STEPS_MS = (0, 0, 2_000, -3_600_000)
"""How far the clock of a replica's machine is stepped while it is down."""
RECORDS_BACK_SECONDS = 1.0
"""Time after the store's return in which records that lapsed meanwhile are written again."""


def replica_slow(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Make some replicas take eight times as long."""
    for replica in simulation.some_replicas(chance, 0.2):
        replica.pace = 8.0
        simulation.clock.after(4.0, setattr, replica, "pace", 1.0)


def replica_dark(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let some replicas say nothing for a while."""
    for replica in simulation.some_replicas(chance, 0.15):
        replica.is_dark = True
        simulation.clock.after(3.0, setattr, replica, "is_dark", False)


def shard_dark(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """All replicas of one shard say nothing for a while."""
    service = chance.choice(simulation.shard_names)
    for replica in simulation.replicas_of(service):
        replica.is_dark = True
        simulation.clock.after(3.0, setattr, replica, "is_dark", False)


def replica_crash(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Crash a replica; its record lapses and a new start of it comes up at its address."""
    simulation.crash_and_restart(chance.choice(simulation.live_replicas()))


def address_reused(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Crash a replica and give its address to a replica of another service at once."""
    replica = chance.choice(simulation.live_replicas())
    service = chance.choice(simulation.all_services())
    replica.crash()
    simulation.start_replica(service, replica.record.host)
    simulation.clock.after(2.5, simulation.remove_record, replica)
    simulation.clock.after(3.0, simulation.add_replica, replica.record.service)


def replica_drains(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let a replica announce that it leaves, or just take its record away, and end later."""
    replica = chance.choice(simulation.live_replicas())
    simulation.start_replica(replica.record.service)
    if chance.random() < 0.5:
        simulation.announce_drain(replica)
    else:
        simulation.remove_record(replica)
    simulation.clock.after(4.5, simulation.end_replica, replica)


def replica_refuses(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let some replicas refuse, fail, or lose the answers of many requests."""
    name = chance.choice(["refuse_share", "fail_share", "lose_share"])
    for replica in simulation.some_replicas(chance, 0.2):
        setattr(replica, name, 0.5)
        simulation.clock.after(4.0, setattr, replica, name, 0.0)


def node_killed(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Kill a node and start it again."""
    simulation.kill_node(chance.randrange(simulation.settings.nodes), 0.8)


def all_nodes_killed(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Kill all nodes at once."""
    for node in range(simulation.settings.nodes):
        simulation.kill_node(node, 1.0)


def node_stopped(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Stop a node as planned and start it again."""
    simulation.stop_node(chance.randrange(simulation.settings.nodes))


def node_frozen(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let a node stand still for a moment."""
    simulation.freeze_node(chance.randrange(simulation.settings.nodes), chance.uniform(0.05, 0.4))


def node_separated(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Hold up what a node and the other nodes say to each other, until it all comes at once."""
    number = chance.randrange(simulation.settings.nodes)
    simulation.separate_node(number, chance.uniform(0.03, 3.0))


def store_down(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let the store answer nothing for a while: shorter or longer than a look at it may take."""
    store = simulation.store
    store.take_down(chance.uniform(*OUTAGE_SECONDS))
    simulation.oracle.unstable.append((simulation.clock.now, store.down_until))


def store_down_lapse(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Take the store down and let records of live replicas lapse meanwhile."""
    store_down(simulation, chance)
    store = simulation.store
    for replica in simulation.some_replicas(chance, 0.5):
        store.delete(simulation.record_key(replica))
        simulation.clock.at(store.down_until + RECORDS_BACK_SECONDS, simulation.put_record, replica)


def store_restored(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let the store be away for a moment and come back from an older copy."""
    simulation.restore_store(
        chance.uniform(*AWAY_SECONDS), chance.uniform(*COPY_AGE_SECONDS), chance
    )


def store_restored_after_a_change(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let the store lose what has just been written: a configuration, a drain, or a node's key."""
    change = chance.choice([configuration_storm, replica_drains, node_killed, store_restored])
    change(simulation, chance)
    after = chance.uniform(0.0, 3.0)
    simulation.clock.after(after, store_restored, simulation, chance)


def store_slow(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Make the store take fifty times as long."""
    store = simulation.store
    store.slow_until = simulation.clock.now + 3.0
    simulation.oracle.unstable.append((simulation.clock.now, store.slow_until))


def store_forgets(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Deafen watches for a second while a replica drains, then drop the history."""
    store = simulation.store
    store.deaf_until = simulation.clock.now + 1.0
    replica_drains(simulation, chance)
    simulation.clock.after(1.0, store.forget_history)


def node_cut_off(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Cut a node off from the store for a while."""
    node = chance.randrange(simulation.settings.nodes)
    seconds = chance.uniform(*OUTAGE_SECONDS)
    simulation.store.cut_off_node(node, seconds)
    simulation.oracle.unstable.append((simulation.clock.now, simulation.clock.now + seconds))


def configuration_storm(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Change the configuration in quick succession."""
    for number in range(6):
        simulation.clock.after(0.2 * number, simulation.change_configuration)


def reshard(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Start another set of shards, name it and drain the old one."""
    simulation.reshard()


def callers_leave(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Let many callers leave before their answer."""
    callers = simulation.callers
    callers.leave_share = 0.4
    simulation.clock.after(3.0, setattr, callers, "leave_share", 0.0)


def zone_evacuated(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Ask that nothing is sent to the replicas of a zone for a while."""
    simulation.evacuate(f"zone-{chance.randrange(2)}", 6.0)


def crashing_request(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let a request that ends every replica that runs it come again and again, at any node."""
    path = f"/{chance.choice(CRASHING_ROUTES)}/crash-{chance.randrange(1_000_000)}"
    simulation.crashing_targets.add(path.encode())
    simulation.callers.repeat(path, chance.randint(4, 9), chance.uniform(0.5, 4.5), chance)


def zone_cut_off(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Cut a zone off from the others and from the store for some seconds."""
    zone = f"zone-{chance.randrange(simulation.settings.zones)}"
    simulation.cut_zone(zone, chance.uniform(*CUT_SECONDS))


def node_suspended(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Suspend a node for seconds."""
    number = chance.randrange(simulation.settings.nodes)
    simulation.suspend_node(number, chance.choice(SUSPENDED_SECONDS))


def replicas_born_again(simulation: ForwardingSimulation, chance: random.Random) -> None:
    """Let some replicas end without a word and start again under their ids."""
    is_silent = chance.random() < 0.5
    for replica in simulation.some_replicas(chance, 0.2):
        down_seconds = chance.uniform(*BORN_AGAIN_SECONDS)
        step_ms = chance.choice(CLOCK_STEPS_MS)
        simulation.crash_and_bear_again(replica, down_seconds, step_ms, is_silent)


def crashed_keep_ids(simulation: ForwardingSimulation, _chance: random.Random) -> None:
    """Let replicas that end from now on start again under their ids."""
    simulation.keeps_ids = True


FAULTS: tuple[SimulatedFault, ...] = (
    replica_slow,
    replica_dark,
    shard_dark,
    replica_crash,
    address_reused,
    replica_drains,
    replica_refuses,
    node_killed,
    all_nodes_killed,
    node_stopped,
    node_frozen,
    node_separated,
    store_down,
    store_down_lapse,
    store_slow,
    store_forgets,
    node_cut_off,
    configuration_storm,
    reshard,
    callers_leave,
    zone_evacuated,
)
"""The faults that seeds draw by themselves, in the order in which they draw them.

It stays as it is, so that a seed that has shown something shows it again."""
LATER_FAULTS: tuple[SimulatedFault, ...] = (crashing_request, node_suspended)
"""Faults that are drawn besides by runs that say so."""
LIFE_FAULTS: tuple[SimulatedFault, ...] = (replicas_born_again, crashed_keep_ids)
"""The same for the lives of replicas."""
RESTORE_FAULTS: tuple[SimulatedFault, ...] = (store_restored, store_restored_after_a_change)
"""The same for a store that comes back from an older copy."""
ZONE_FAULTS: tuple[SimulatedFault, ...] = (zone_cut_off,)
"""Faults of runs in which more than two zones hold replicas."""


def play(
    seed: int,
    settings: SimulationSettings | None = None,
    faults: tuple[SimulatedFault, ...] | None = None,
) -> SimulationResult:
    """Play one run; without ``faults`` the seed draws as many as the settings say."""
    settings = settings or SimulationSettings()
    if faults is None:
        chance = random.Random(f"faults/{seed}")
        faults = tuple(chance.choice(FAULTS) for _ in range(settings.faults))
    return ForwardingSimulation(seed, settings, faults).run()
