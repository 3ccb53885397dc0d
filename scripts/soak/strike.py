"""Draws faults and lets them strike a run, so that they follow each other and overlap."""

import asyncio
import random

from .combined_faults import (
    configuration_near_a_kill,
    configurations_during_a_cut,
    key_taken_away_at_a_restore,
    roll_with_late_repeats,
)
from .deployment import Deployment
from .faults import (
    Fault,
    FaultContext,
    answers_repeated_late,
    burst_of_edits,
    burst_with_late_repeats,
    configuration_changed,
    configurations_in_quick_succession,
    keys_changed,
    many_store_links_troubled,
    node_frozen,
    node_frozen_in_a_stop,
    node_hung_up,
    node_killed,
    node_stopped,
    node_stopped_twice,
    nodes_killed_together,
    nodes_rolled,
    replica_connections_reset,
    replica_crashed,
    replicas_faulty,
    replicas_reject,
    replicas_slow,
    route_moved,
    store_link_troubled,
    store_restored,
    store_troubled,
)

FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        node_stopped,
        nodes_rolled,
        node_stopped_twice,
        node_killed,
        nodes_killed_together,
        node_frozen,
        node_frozen_in_a_stop,
        node_hung_up,
        store_link_troubled,
        many_store_links_troubled,
        store_troubled,
        store_restored,
        replicas_slow,
        replicas_faulty,
        answers_repeated_late,
        replicas_reject,
        burst_of_edits,
        burst_with_late_repeats,
        replica_crashed,
        replica_connections_reset,
        configuration_changed,
        route_moved,
        configurations_in_quick_succession,
        keys_changed,
        configurations_during_a_cut,
        key_taken_away_at_a_restore,
        roll_with_late_repeats,
        configuration_near_a_kill,
    )
}


async def strike(deployment: Deployment) -> list[str]:
    """Begin faults for as long as the settings say, and wait until all have ended.

    Returns
    -------
    list
        The names of the faults in the order of their begins.
    """
    settings = deployment.settings
    chance = random.Random(f"faults/{settings.seed}")
    names = settings.faults or tuple(FAULTS)
    busy: set[str] = set()
    begun: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    loop = asyncio.get_running_loop()
    until = loop.time() + settings.seconds
    while loop.time() < until:
        await asyncio.sleep(chance.expovariate(1.0 / settings.fault_gap_seconds))
        name = chance.choice(names)
        context = FaultContext(deployment, random.Random(chance.getrandbits(64)), busy)
        begun.append(name)
        tasks.append(loop.create_task(_run(FAULTS[name], context)))
    await asyncio.gather(*tasks)
    return begun


async def _run(fault: Fault, context: FaultContext) -> None:
    await fault(context)
