"""Faults that strike a run from outside: each is a coroutine that begins trouble and ends it."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import attrs

from wingquay.platform.standins.replica_behaviour import Fate

from .deployment import Deployment, NotReadyError, end_node
from .ledger import Span, SpanKind
from .node_process import Node, NodeProcess
from .requests import SERVICES, Kind
from .settings import loopback_host

FREEZE_SECONDS = (0.05, 3.0)
TROUBLE_SECONDS = (0.3, 4.0)
DOWN_SECONDS = (0.05, 1.0)
"""Time between the end of a node and its next start."""
AWAY_SECONDS = (0.0, 3.0)
COPY_AGE_SECONDS = (0.5, 8.0)
WRITTEN_AGAIN_SECONDS = 2.0
ROLL_GAP_SECONDS = 1.0
ROLL_SHARE = 0.5
FIRST_OTHER_HOST = 400
BURST_PAUSE_SECONDS = 0.1
STORM = 5
"""Configurations in quick succession."""

Fault = Callable[["FaultContext"], Awaitable[None]]


@attrs.define(slots=True)
class FaultContext:
    """What faults act on.

    Parameters
    ----------
    chance
        Draws what is struck and for how long; each fault has its own.
    busy
        Nodes that are being stopped, killed or started by a fault; others leave them alone.
    """

    deployment: Deployment
    chance: random.Random
    busy: set[str]

    @contextmanager
    def span(self, kind: SpanKind, subject: str, detail: str = "") -> Iterator[Span]:
        """Note a span of trouble."""
        loop = asyncio.get_running_loop()
        span = self.deployment.ledger.begin_span(kind, subject, loop.time(), detail)
        try:
            yield span
        finally:
            span.ended_at = loop.time()

    async def wait(self, seconds: tuple[float, float]) -> None:
        """Wait for a time between two."""
        await asyncio.sleep(self.chance.uniform(*seconds))

    @contextmanager
    def free_node(self) -> Iterator[Node | None]:
        """Choose a node that no other fault stops or starts; ``None``: there is none."""
        free = [node for node in self.deployment.nodes if node.name not in self.busy]
        if not free:
            yield None
            return
        node = self.chance.choice(free)
        self.busy.add(node.name)
        try:
            yield node
        finally:
            self.busy.discard(node.name)


async def node_stopped(context: FaultContext) -> None:
    """Stop a node as planned and start it again."""
    with context.free_node() as node:
        if node is not None:
            await _stop(context, node)
            await _start_again(context, node)


async def nodes_rolled(context: FaultContext) -> None:
    """Stop half of the nodes in turn, so that their stops overlap, and start them again."""
    count = round(len(context.deployment.nodes) * ROLL_SHARE)
    stops: list[asyncio.Task[None]] = []
    for _ in range(count):
        stops.append(asyncio.create_task(node_stopped(context)))
        await asyncio.sleep(ROLL_GAP_SECONDS)
    await asyncio.gather(*stops)


async def node_stopped_twice(context: FaultContext) -> None:
    """Send a node SIGTERM again and again while it stops."""
    with context.free_node() as node:
        if node is None:
            return
        signals = asyncio.create_task(_repeat_signal(node, signal.SIGTERM))
        await _stop(context, node)
        signals.cancel()
        await _start_again(context, node)


async def node_killed(context: FaultContext) -> None:
    """Kill a node and start it again, at its address or at another one."""
    with context.free_node() as node:
        if node is None:
            return
        with context.span(SpanKind.KILL, node.name):
            await end_node(node)
            if isinstance(node, NodeProcess) and context.chance.random() < 0.3:
                node.move(loopback_host(FIRST_OTHER_HOST + context.chance.randrange(200)))
            await _start_again(context, node)


async def nodes_killed_together(context: FaultContext) -> None:
    """Kill some nodes at one moment and start them again."""
    count = context.chance.randint(2, max(2, len(context.deployment.nodes) // 2))
    await asyncio.gather(*(node_killed(context) for _ in range(count)))


async def node_frozen(context: FaultContext) -> None:
    """Let a node stand still for a moment."""
    with context.free_node() as node:
        if node is not None:
            await _freeze(context, node)


async def node_frozen_in_a_stop(context: FaultContext) -> None:
    """Stop a node and let it stand still for a part of that time."""
    with context.free_node() as node:
        if node is None:
            return
        freezing = asyncio.create_task(_freeze(context, node))
        await _stop(context, node)
        await freezing
        await _start_again(context, node)


async def node_hung_up(context: FaultContext) -> None:
    """Tell a node that its settings file has changed, some times in a row."""
    with context.free_node() as node:
        if node is None:
            return
        with context.span(SpanKind.HANGUP, node.name):
            for _ in range(context.chance.randint(1, 4)):
                node.signal(signal.SIGHUP)
                await context.wait((0.0, 0.3))


async def store_link_troubled(context: FaultContext) -> None:
    """Delay, hold, cut one way, silence, refuse or reset a node's way to the store."""
    name = context.chance.choice(list(context.deployment.proxies))
    await _trouble_link(context, name)


async def many_store_links_troubled(context: FaultContext) -> None:
    """Disturb the ways of a third of the nodes to the store at once."""
    names = list(context.deployment.proxies)
    chosen = context.chance.sample(names, max(1, len(names) // 3))
    await asyncio.gather(*(_trouble_link(context, name) for name in chosen))


async def store_troubled(context: FaultContext) -> None:
    """Let the store be slow, silent, refuse its calls, lose its answers or forget its history."""
    store = context.deployment.store
    kind = context.chance.choice(("slow", "silent", "refuses", "loses", "forgets"))
    with context.span(SpanKind.STORE, "", kind):
        if kind == "slow":
            store.delay_seconds = context.chance.uniform(0.05, 0.5)
        store.is_silent = kind == "silent"
        store.loses_answers = kind == "loses"
        if kind == "refuses":
            store.refused_paths.update(store.calls)
        if kind == "forgets":
            store.forget_history()
        await context.wait(TROUBLE_SECONDS)
        store.delay_seconds = 0.0
        store.is_silent = False
        store.loses_answers = False
        store.refused_paths.clear()


async def store_restored(context: FaultContext) -> None:
    """Let the store be away for a moment and come back from an older copy."""
    deployment = context.deployment
    store = deployment.store
    with context.span(SpanKind.RESTORED, ""):
        copy = store.contents.copy()
        await context.wait(COPY_AGE_SECONDS)
        store.is_silent = True
        await context.wait(AWAY_SECONDS)
        store.is_silent = False
        store.restore(copy)
        await context.wait((0.0, WRITTEN_AGAIN_SECONDS))
        deployment.operator.write_again()
        deployment.replicas.write_all()


async def replicas_slow(context: FaultContext) -> None:
    """Make some replicas take longer."""
    for replica in context.deployment.replicas.some(0.2):
        replica.behaviour.slowdown = context.chance.uniform(3.0, 12.0)
    await context.wait(TROUBLE_SECONDS)
    for replica in context.deployment.replicas.live.values():
        replica.behaviour.slowdown = 1.0


async def replicas_faulty(context: FaultContext) -> None:
    """Let some replicas fail, lose, cut, garble, double or withhold answers."""
    fates = [fate for fate in Fate if fate is not Fate.ANSWERED]
    chosen = context.deployment.replicas.some(0.3)
    fate = context.chance.choice(fates)
    for replica in chosen:
        replica.behaviour.shares[fate] = context.chance.uniform(0.02, 0.3)
    await context.wait(TROUBLE_SECONDS)
    for replica in chosen:
        replica.behaviour.shares.pop(fate, None)


async def answers_repeated_late(context: FaultContext) -> None:
    """Let some replicas repeat some of their answers, late."""
    chosen = context.deployment.replicas.some(0.6)
    for replica in chosen:
        replica.behaviour.late_repeat_share = context.chance.uniform(0.03, 0.3)
    await context.wait(TROUBLE_SECONDS)
    for replica in chosen:
        replica.behaviour.late_repeat_share = 0.0


async def replicas_reject(context: FaultContext) -> None:
    """Let some replicas reject everything, again and again for moments."""
    for _ in range(context.chance.randint(1, 4)):
        chosen = context.deployment.replicas.some(context.chance.uniform(0.3, 1.0))
        for replica in chosen:
            replica.behaviour.rejects_all = True
        await context.wait((0.05, 0.4))
        for replica in chosen:
            replica.behaviour.rejects_all = False
        await context.wait((0.0, 0.2))


async def burst_of_edits(context: FaultContext) -> None:
    """Let many clients send requests that may run only once, so that their replicas are full."""
    clients = context.chance.randint(8, 40)
    seconds = context.chance.uniform(1.0, 5.0)
    await context.deployment.burst(Kind.EDIT, clients, BURST_PAUSE_SECONDS, seconds)


async def burst_with_late_repeats(context: FaultContext) -> None:
    """Let replicas that are full repeat some of their answers late."""
    replicas = context.deployment.replicas
    chosen = [item for service in SERVICES[Kind.EDIT] for item in replicas.of_service(service)]
    for replica in chosen:
        replica.behaviour.late_repeat_share = context.chance.uniform(0.2, 0.6)
    await burst_of_edits(context)
    for replica in chosen:
        replica.behaviour.late_repeat_share = 0.0


async def replica_crashed(context: FaultContext) -> None:
    """End a replica; a new one starts at its address or at another one."""
    replicas = context.deployment.replicas
    replica = context.chance.choice(list(replicas.live.values()))
    with context.span(SpanKind.REPLICA, replica.record.replica_id):
        replicas.end(replica)
        await context.wait(DOWN_SECONDS)
        port = replica.record.port if context.chance.random() < 0.5 else 0
        await replicas.start(replica.record.service, port)


async def replica_connections_reset(context: FaultContext) -> None:
    """Reset all connections of some replicas."""
    for replica in context.deployment.replicas.some(0.3):
        with context.span(SpanKind.REPLICA, replica.record.replica_id):
            replica.reset_connections()
    await asyncio.sleep(0)


async def configuration_changed(context: FaultContext) -> None:
    """Publish one change."""
    operator = context.deployment.operator
    maker = operator.maker
    changes = (maker.move_route, maker.change_timeouts, maker.change_route, maker.change_body_limit)
    operator.publish(context.chance.choice(changes))
    await asyncio.sleep(0)


async def route_moved(context: FaultContext) -> None:
    """Move the route of a kind of request to another service."""
    operator = context.deployment.operator
    operator.publish(operator.maker.move_route)
    await asyncio.sleep(0)


async def configurations_in_quick_succession(context: FaultContext) -> None:
    """Publish some changes one after the other."""
    for _ in range(STORM):
        await configuration_changed(context)
        await context.wait((0.02, 0.4))


async def keys_changed(context: FaultContext) -> None:
    """Take keys away and give others out."""
    operator = context.deployment.operator
    operator.publish(operator.maker.change_keys)
    await asyncio.sleep(0)


async def _stop(context: FaultContext, node: Node) -> None:
    """Send SIGTERM, and SIGKILL once the time of grace is over."""
    grace_seconds = context.deployment.settings.bounds.grace_seconds
    with context.span(SpanKind.STOP, node.name) as span:
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.wait_ended(), grace_seconds)
            span.detail = "ended by itself"
        except TimeoutError:
            span.detail = "killed after the time of grace"
            await end_node(node)


async def _start_again(context: FaultContext, node: Node) -> None:
    await context.wait(DOWN_SECONDS)
    with context.span(SpanKind.START, node.name):
        await node.start()
        try:
            await context.deployment.wait_ready(node)
        except NotReadyError:
            context.deployment.not_ready.append(node.name)


async def _repeat_signal(node: Node, number: signal.Signals) -> None:
    while True:
        await asyncio.sleep(0.7)
        node.signal(number)


async def _freeze(context: FaultContext, node: Node) -> None:
    with context.span(SpanKind.FREEZE, node.name):
        node.signal(signal.SIGSTOP)
        await context.wait(FREEZE_SECONDS)
        node.signal(signal.SIGCONT)


async def _trouble_link(context: FaultContext, name: str) -> None:
    proxy = context.deployment.proxies[name]
    kind = context.chance.choice(("delay", "to_server", "to_client", "drop", "refuse", "reset"))
    with context.span(SpanKind.LINK, name, kind):
        trouble = proxy.trouble
        if kind == "delay":
            trouble.delay_seconds = context.chance.uniform(0.05, 1.0)
        trouble.holds_to_server |= kind == "to_server"
        trouble.holds_to_client |= kind == "to_client"
        trouble.drops |= kind == "drop"
        trouble.refuses |= kind == "refuse"
        if kind in ("reset", "refuse"):
            proxy.reset()
        await context.wait(TROUBLE_SECONDS)
        proxy.trouble = type(trouble)()
