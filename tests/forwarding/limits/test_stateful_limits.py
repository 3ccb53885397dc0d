"""Random histories of nodes with tenant limits; no window may exceed the limit."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.forwarding.limits.fleet import SETTINGS, WINDOW_SECONDS, LimitFleet, tenant
from wingquay.forwarding.arrival.limits.budget import compute_budget
from wingquay.forwarding.arrival.limits.limit_settings import LimitSettings
from wingquay.model.tenants import Tenant

NODES = 12
LIMITS = (tenant(), tenant(rate=2.0, burst=5.0), tenant(rate=10.0, burst=0.0))
NAMES = st.sampled_from([f"n{number:02}" for number in range(NODES)])
ALWAYS_ASK = LimitSettings(SETTINGS.window_seconds, SETTINGS.overage, SETTINGS.slack, 0.0)
RATES = {ALWAYS_ASK: (5.0, 30.0, 100.0), SETTINGS: (2.0, 5.0, 15.0)}
"""Requests per second. Requests that arrive before a partition is detected must fit the share of
the budget for unreported requests where they may start without a permit."""


class LimitHistory(RuleBasedStateMachine):
    """Callers, the network, failures and operators act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.limits: list[tuple[float, Tenant]] = []
        self.inside: set[str] = set()
        self.has_expired = False

    @initialize(settings_in_use=st.sampled_from([SETTINGS, ALWAYS_ASK]), seed=st.integers(0, 2**16))
    def start(self, settings_in_use: LimitSettings, seed: int) -> None:
        self.fleet = LimitFleet(NODES, LIMITS[0], seed=seed, settings=settings_in_use)
        self.fleet.advance(2.0 * WINDOW_SECONDS)
        self.limits.append((0.0, LIMITS[0]))
        self.rates = RATES[settings_in_use]

    @rule(rate=st.integers(0, 2), seconds=st.floats(0.2, 3.0))
    def load(self, rate: int, seconds: float) -> None:
        self.fleet.load(self.rates[rate], seconds)

    @precondition(lambda self: bool(self.fleet.partition))
    @rule(rate=st.integers(1, 2))
    def load_for_long(self, rate: int) -> None:
        self.fleet.load(self.rates[rate], 2.0 * WINDOW_SECONDS)

    @rule(seconds=st.floats(0.01, 8.0))
    def wait(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @rule(node=NAMES, count=st.integers(1, 30))
    def run_on_no_replica(self, node: str, count: int) -> None:
        for _ in range(count):
            self.fleet.request(node, runs=False)
            self.fleet.advance(0.01)

    @precondition(lambda self: not self.fleet.partition)
    @rule(inside=st.sets(NAMES, min_size=1, max_size=NODES - 1), one_way=st.booleans())
    def partition(self, inside: set[str], one_way: bool) -> None:
        self.inside = inside
        self.fleet.separate(*inside, one_way=one_way)

    @precondition(lambda self: not self.fleet.partition)
    @rule(position=st.integers(0, 1), others=st.sets(NAMES, max_size=4), one_way=st.booleans())
    def partition_owner(self, position: int, others: set[str], one_way: bool) -> None:
        if self.fleet.limits:
            self.partition({self.fleet.owners()[position], *others}, one_way)

    @precondition(lambda self: bool(self.fleet.partition))
    @rule()
    def break_links(self) -> None:
        self.fleet.break_partitioned_links()

    @precondition(lambda self: bool(self.fleet.partition) and not self.has_expired)
    @rule()
    def remove_keys(self) -> None:
        """Let the keys of the nodes inside the partition expire; those nodes detect it first."""
        self.has_expired = True
        self.fleet.unlisted.update(self.inside)
        self.fleet.load(self.rates[2], 2.0)
        awake = set(self.fleet.limits) - set(self.fleet.suspended)
        self.fleet.remove_keys(*sorted(self.inside), seen_by=sorted(awake - self.inside))
        self.fleet.load(self.rates[2], 2.0 * WINDOW_SECONDS)

    @precondition(lambda self: bool(self.fleet.partition))
    @rule()
    def heal(self) -> None:
        self.fleet.join()
        if self.has_expired:
            self.has_expired = False
            self.fleet.load(self.rates[2], 1.0)
            self.fleet.unlisted.clear()
            self.fleet.add_keys(*sorted(self.inside), seen_by=sorted(self.fleet.limits))
            self.fleet.load(self.rates[2], WINDOW_SECONDS)

    @precondition(lambda self: len(self.fleet.limits) > 1)
    @rule(position=st.integers(0, 1))
    def kill_owner(self, position: int) -> None:
        self.fleet.kill(self.fleet.owners()[position])

    @precondition(lambda self: not self.has_expired)
    @rule()
    def restart(self) -> None:
        for name in sorted(set(self.fleet.identities) - set(self.fleet.limits)):
            self.fleet.start(name)

    @precondition(lambda self: not self.has_expired)
    @rule(outage_seconds=st.floats(0.5, 3.0))
    def power_failure(self, outage_seconds: float) -> None:
        self.fleet.load(self.rates[2], WINDOW_SECONDS)
        for name in sorted(self.fleet.limits):
            self.fleet.kill(name)
        self.fleet.advance(outage_seconds)
        self.restart()
        self.fleet.load(self.rates[2], WINDOW_SECONDS)

    @rule(node=NAMES)
    def suspend(self, node: str) -> None:
        self.fleet.suspend(node)

    @precondition(lambda self: bool(self.fleet.suspended))
    @rule()
    def resume(self) -> None:
        for node in sorted(self.fleet.suspended):
            self.fleet.resume(node)

    @rule(number=st.integers(0, len(LIMITS) - 1))
    def configure(self, number: int) -> None:
        self.limits.append((self.fleet.now, LIMITS[number]))
        self.fleet.configure(LIMITS[number])

    def teardown(self) -> None:
        if not self.limits:
            return
        times = sorted(self.fleet.ran["t"])
        for end in times:
            within = [at for at in times if end - WINDOW_SECONDS < at <= end]
            assert len(within) <= self.allowed(end), (len(within), self.allowed(end), end)

    def allowed(self, end: float) -> float:
        """Return the highest bound in force during the last two windows."""
        until = [*(at for at, _ in self.limits[1:]), float("inf")]
        bounds = [
            compute_budget(limit, self.fleet.settings).max_requests
            for (_, limit), ended in zip(self.limits, until, strict=True)
            if ended > end - 2.0 * WINDOW_SECONDS
        ]
        return max(bounds)


LimitHistoryTest = LimitHistory.TestCase
LimitHistoryTest.settings = settings(stateful_step_count=30, max_examples=60)
