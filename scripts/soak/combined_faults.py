"""Faults that are drawn together, because chance alone seldom lets them meet."""

import asyncio

from .faults import (
    AWAY_SECONDS,
    COPY_AGE_SECONDS,
    TROUBLE_SECONDS,
    FaultContext,
    burst_with_late_repeats,
    configuration_changed,
    keys_changed,
    node_killed,
    nodes_rolled,
    route_moved,
    store_restored,
)
from .ledger import SpanKind

NEAR_SECONDS = 0.5
"""Time between two faults that are drawn together."""
BOTH_WAYS_SHARE = 0.3
"""Share of the cuts that begin in both directions."""


async def configurations_during_a_cut(context: FaultContext) -> None:
    """Publish two changes as a node loses the store; first answers are late, then calls."""
    deployment = context.deployment
    name = context.chance.choice(list(deployment.proxies))
    trouble = deployment.proxies[name].trouble
    with context.span(SpanKind.LINK, name, "to_client, then to_server"):
        trouble.holds_to_client = True
        trouble.holds_to_server = context.chance.random() < BOTH_WAYS_SHARE
        await context.wait((0.0, NEAR_SECONDS))
        await configuration_changed(context)
        await context.wait((0.02, 0.4))
        await route_moved(context)
        await context.wait(TROUBLE_SECONDS)
        trouble.holds_to_server = True
        trouble.holds_to_client = False
        await context.wait(TROUBLE_SECONDS)
        deployment.proxies[name].trouble = type(trouble)()


async def key_taken_away_at_a_restore(context: FaultContext) -> None:
    """Take keys away while the store goes away and comes back from an older copy."""
    restoring = asyncio.create_task(store_restored(context))
    await context.wait((0.0, COPY_AGE_SECONDS[1] + AWAY_SECONDS[1]))
    await keys_changed(context)
    await restoring


async def roll_with_late_repeats(context: FaultContext) -> None:
    """Stop half of the nodes in turn while replicas repeat answers late."""
    repeating = asyncio.create_task(burst_with_late_repeats(context))
    await nodes_rolled(context)
    await repeating


async def configuration_near_a_kill(context: FaultContext) -> None:
    """Publish a change within a moment of the end of a node."""
    killing = asyncio.create_task(node_killed(context))
    await context.wait((0.0, NEAR_SECONDS))
    await route_moved(context)
    await killing
