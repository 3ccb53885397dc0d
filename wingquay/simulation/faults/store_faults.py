"""Faults of the key-value service and of operators."""

from collections.abc import Callable
from functools import partial

from ...model.intent import SetClass
from .fault import Fault, FaultContext

SLOW_EXTRA_SECONDS = 3.0
LIMITED_RATE_PER_SECOND = 1.0
LIMITED_BURST = 1.0
LONGEST_CONFIRM_SECONDS = 0.03
"""A confirm that meets no trouble has taken effect by then."""
LONGEST_LEASE_PAUSE_SECONDS = 14.0
LEAST_PRICE_SHARE = 0.1


def _store_down(context: FaultContext) -> None:
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=12.0):
        seconds = context.random_source.uniform(1.0, 10.0)
        silent = context.random_source.random() < 0.5

        def go_down(seconds: float = seconds, silent: bool = silent) -> None:
            now = simulation.clock.now
            until = now + seconds
            if silent:
                simulation.store.model.silence_until(until, now)
            else:
                simulation.store.model.refuse_until(until, now)
            simulation.oracle.configuration.store_unavailable(until)
            simulation.store.wake()

        context.at(at_seconds, go_down)


def _store_slow(context: FaultContext) -> None:
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=12.0):
        seconds = context.random_source.uniform(1.0, 8.0)
        extra = context.random_source.uniform(0.1, SLOW_EXTRA_SECONDS)

        def slow(seconds: float = seconds, extra: float = extra) -> None:
            now = simulation.clock.now
            simulation.store.model.slow_down(extra, now + seconds, now)
            simulation.store.wake()

        context.at(at_seconds, slow)


def _store_rate_limited(context: FaultContext) -> None:
    simulation = context.simulation
    normal = simulation.store.model.settings
    for at_seconds in context.moments(interval_seconds=12.0):
        seconds = context.random_source.uniform(1.0, 8.0)

        def limit() -> None:
            simulation.store.model.limit_rate(LIMITED_RATE_PER_SECOND, LIMITED_BURST)

        def lift() -> None:
            simulation.store.model.limit_rate(normal.rate_per_second, normal.burst)

        context.at(at_seconds, limit)
        simulation.clock.at(at_seconds + seconds, lift)


def _store_lost_reply(context: FaultContext) -> None:
    """Lose replies, mostly those of a confirm that is under way."""
    for at_seconds in context.moments(interval_seconds=5.0):
        count = context.random_source.randint(1, 3)
        operator = f"unlucky-{context.random_source.randrange(100)}"
        price = context.random_source.random()
        confirm_seconds = context.random_source.uniform(0.0, LONGEST_CONFIRM_SECONDS)
        lose = partial(_lose_replies, context, count)
        lose_later = partial(context.later, confirm_seconds, lose)
        context.at(at_seconds, partial(change_price, context, operator, price, lose_later))


def _lose_replies(context: FaultContext, count: int) -> None:
    context.simulation.store.model.faults.replies_to_lose += count


def _lease_lapse_pause(context: FaultContext) -> None:
    """Pause a node that may hold leases while all leases lapse."""
    simulation = context.simulation
    for at_seconds in context.moments(interval_seconds=12.0):
        seconds = context.random_source.uniform(0.5, LONGEST_LEASE_PAUSE_SECONDS)
        choice = context.random_source.random()

        def pause(seconds: float = seconds, choice: float = choice) -> None:
            model = simulation.store.model
            for lease_id in model.lease_ids:
                model.lapse_lease(lease_id, simulation.clock.now)
            simulation.store.wake()
            simulation.pause_node(choice, seconds)

        context.at(at_seconds, pause)


def _racing_operators(context: FaultContext) -> None:
    for at_seconds in context.moments(interval_seconds=5.0):
        first = context.random_source.random()
        second = context.random_source.random()
        gap = context.random_source.uniform(0.0, 0.02)

        def race(first: float = first, second: float = second, gap: float = gap) -> None:
            change_price(context, "ana", first)
            context.later(gap, lambda: change_price(context, "bela", second))

        context.at(at_seconds, race)


def change_price(
    context: FaultContext,
    operator: str,
    factor: float,
    confirming: Callable[[], None] | None = None,
) -> None:
    """Let an operator set the cheapest class's price; ``factor`` from 0 to 1 chooses it."""
    simulation = context.simulation
    cheapest = min(simulation.settings.profile.classes, key=lambda entry: entry.price)
    intent = SetClass(
        name=cheapest.name,
        price=cheapest.price * (LEAST_PRICE_SHARE + factor) / (1.0 + LEAST_PRICE_SHARE),
        promise_seconds=cheapest.promise_seconds,
    )
    simulation.operators.change(operator, (intent,), confirming=confirming)


STORE_FAULTS = (
    Fault("store_down", "the store refuses or is silent for seconds", _store_down),
    Fault("store_slow", "the store takes up to 3 s longer", _store_slow),
    Fault(
        "store_rate_limited", "the store lets one operation a second through", _store_rate_limited
    ),
    Fault("store_lost_reply", "replies are lost after the change took effect", _store_lost_reply),
    Fault(
        "lease_lapse_pause",
        "leases lapse while a node is paused, then it wakes",
        _lease_lapse_pause,
    ),
    Fault("racing_operators", "two operators change the same thing at once", _racing_operators),
)
