"""Runs a script's steps on a small simulated deployment."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from ..model.configuration import CoveragePreference
from ..model.identifiers import SnapshotVersion
from ..model.intent import SetClass
from ..model.mechanisms import Mechanism
from .deployment_profile import (
    ClassProfile,
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)
from .faults.bound_move import BoundMove
from .network import PLATFORM
from .script import Step, StepName
from .simulated_node import SimulatedNode
from .simulated_replica import SimulatedReplica
from .simulation import Simulation
from .simulation_settings import WARM_UP_SECONDS, SimulationSettings
from .workload import Arrival, Workload

MILLISECOND = 0.001
LATE_SHARE = 0.3
LATE_SECONDS = 1.0
DISTURBED_SHARE = 0.3
PRICES = 10
SLOW_PATH_SECONDS = 1.0

SMALL = DeploymentProfile(
    name="small",
    zones=("east", "west", "south"),
    nodes_per_zone=1,
    keys=12,
    classes=(
        ClassProfile(name="quick", price=10, promise_seconds=0.1),
        ClassProfile(name="slow", price=1, promise_seconds=1.0),
    ),
    services=(
        ServiceProfile(
            name="lookup",
            shards=3,
            replicas_per_shard=2,
            slots=1,
            connection_limit=10,
            service_seconds=0.01,
            kinds=(
                KindProfile(name="sweep", class_name="slow", load_share=0.5),
                KindProfile(
                    name="check",
                    class_name="quick",
                    load_share=0.5,
                    whole_range=False,
                    coverage_preference=CoveragePreference.LATENCY_FIRST,
                ),
            ),
        ),
        ServiceProfile(
            name="intake",
            shards=1,
            replicas_per_shard=2,
            slots=1,
            connection_limit=10,
            service_seconds=0.02,
            kinds=(
                KindProfile(name="edit", class_name="quick", whole_range=False, repeatable=False),
            ),
        ),
    ),
)
"""Three zones with a node each: small, so that histories can be searched and understood."""

Entry = TypeVar("Entry")


class ScriptedSimulation:
    """A running deployment to which steps happen.

    Parameters
    ----------
    seed
        Of everything that the steps leave open.
    """

    def __init__(self, seed: int, without: frozenset[Mechanism] = frozenset()) -> None:
        settings = SimulationSettings(profile=SMALL, seed=seed, seconds=1.0, without=without)
        self.simulation = Simulation(settings)
        self._workloads = [
            Workload(SMALL, service, kind, 1.0, self.simulation.streams)
            for service in SMALL.services
            for kind in service.kinds
        ]
        self._last: Arrival | None = None
        self._cuts: list[tuple[str, str]] = []
        self._slow: list[tuple[str, str]] = []
        self._performers: dict[StepName, Callable[[int, int], None]] = {
            name: getattr(self, f"_{name.value}") for name in StepName
        }
        self.simulation.begin()
        self._wait(int(WARM_UP_SECONDS / MILLISECOND), 0)

    def perform(self, step: Step) -> None:
        """Let one step happen."""
        self._performers[step.name](step.first, step.second)

    def finish(self) -> None:
        """Heal what is cut, let everything end, and check what only shows at the end."""
        self._heal(0, 0)
        self.simulation.finish()

    @property
    def examples(self) -> list[str]:
        """The violations found so far, in words."""
        return self.simulation.oracle.violations.examples

    # -- callers -------------------------------------------------------------------------------

    def _wait(self, milliseconds: int, _: int) -> None:
        clock = self.simulation.clock
        clock.run_until(clock.now + milliseconds * MILLISECOND)

    def _ask(self, kind: int, node: int) -> None:
        workload = self._workloads[kind % len(self._workloads)]
        choice = self._share(node, len(self.simulation.nodes.running))
        self._last = workload.next_arrival(self.simulation.clock.now, choice)
        self.simulation.callers.send(self._last)

    def _ask_again(self, node: int, milliseconds: int) -> None:
        if self._last is not None:
            choice = self._share(node, len(self.simulation.nodes.running))
            self.simulation.callers.repeat(self._last, choice, milliseconds * MILLISECOND)

    def _leave(self, _first: int, _second: int) -> None:
        if self._last is not None:
            self.simulation.callers.leave(self._last.request.request_id)

    # -- nodes ---------------------------------------------------------------------------------

    def _crash_node(self, node: int, _: int) -> None:
        chosen = self._node(node)
        if chosen is not None:
            self.simulation.nodes.crash(chosen)

    def _start_nodes(self, _first: int, _second: int) -> None:
        self.simulation.nodes.start_missing()

    def _pause_node(self, node: int, milliseconds: int) -> None:
        count = len(self.simulation.nodes.running)
        self.simulation.pause_node(self._share(node, count), milliseconds * MILLISECOND)

    def _stop_node(self, node: int, _: int) -> None:
        chosen = self._node(node)
        if chosen is not None:
            self.simulation.stop_node(chosen)

    # -- back ends -----------------------------------------------------------------------------

    def _lose_replica(self, replica: int, silent: int) -> None:
        self.simulation.backends.lose(self._replica(replica), silent=silent % 2 == 1)

    def _restart_replica(self, replica: int, older: int) -> None:
        chosen = self._replica(replica)
        self.simulation.backends.lose(chosen, silent=False)
        self.simulation.backends.restart(chosen, on_older_index=older % 2 == 1)

    def _drain_replica(self, replica: int, _: int) -> None:
        chosen = self._replica(replica)
        if chosen.answers and not chosen.model.is_draining:
            self.simulation.backends.drain(chosen)

    def _slow_replica(self, replica: int, factor: int) -> None:
        now = self.simulation.clock.now
        self._replica(replica).model.slow_down(1.0 + factor, now + 1.0, now)

    def _new_version(self, service: int, _: int) -> None:
        backends = self.simulation.backends
        name = self._pick(list(backends.newest), service)
        backends.newest[name] = SnapshotVersion(backends.newest[name] + 1)

    def _install_version(self, replica: int, _: int) -> None:
        chosen = self._replica(replica)
        newest = self.simulation.backends.newest[chosen.model.settings.service]
        chosen.model.install_version(newest, self.simulation.clock.now)

    def _drop_old_versions(self, replica: int, _: int) -> None:
        model = self._replica(replica).model
        _, newest = model.held_versions
        model.drop_version(SnapshotVersion(newest - 1), self.simulation.clock.now)

    def _answer_newest(self, replica: int, flag: int) -> None:
        self._replica(replica).condition.answers_newest = flag % 2 == 1

    def _move_bound(self, left: int, part: int) -> None:
        service = SMALL.configuration.services[0]
        left %= len(service.shards) - 1
        move = BoundMove(self.simulation, service, left, self._share(part, SMALL.keys))
        move.apply_to_left()
        move.tell_operators()
        self.simulation.clock.after(1.0, move.apply_to_right)

    # -- network, store, operators -------------------------------------------------------------

    def _cut(self, source: int, destination: int) -> None:
        zones = SMALL.zones
        pair = self._pick(zones, source), self._pick(zones, destination)
        if pair[0] != pair[1]:
            self.simulation.network.cut(*pair)
            self._cuts.append(pair)
            self._tell_cut(pair[1])

    def _cut_off(self, zone: int, _: int) -> None:
        chosen = self._pick(SMALL.zones, zone)
        for other in (*SMALL.zones, PLATFORM):
            if other != chosen:
                self.simulation.network.cut(chosen, other)
                self.simulation.network.cut(other, chosen)
                self._cuts += [(chosen, other), (other, chosen)]
        self._tell_cut(chosen)

    def _tell_cut(self, zone: str) -> None:
        """With a node a zone, a cut may leave no path to its node until it is healed."""
        for node in self.simulation.nodes.in_zone(zone):
            self.simulation.oracle.cut_off(node.identity.node_id, float("inf"))

    def _heal(self, _first: int, _second: int) -> None:
        for source, destination in self._cuts:
            self.simulation.network.heal(source, destination)
        self._cuts.clear()
        for source, destination in self._slow:
            self.simulation.network.speed_up(source, destination)
        self._slow.clear()
        self.simulation.oracle.healed(self.simulation.clock.now)

    def _slow_path(self, source: int, destination: int) -> None:
        pair = self._pick(SMALL.zones, source), self._pick(SMALL.zones, destination)
        self.simulation.network.slow_down(*pair, SLOW_PATH_SECONDS)
        self._slow.append(pair)
        self._tell_cut(pair[1])

    def _repeat_results(self, flag: int, _: int) -> None:
        self.simulation.links.repeated_share = float(flag % 2)

    def _break_link(self, one: int, other: int) -> None:
        first, second = self._node(one), self._node(other)
        if first is not None and second is not None and first is not second:
            self.simulation.links.break_link(first.identity.node_id, second.identity.node_id)

    def _store_down(self, milliseconds: int, silent: int) -> None:
        store = self.simulation.store
        now = self.simulation.clock.now
        until = now + milliseconds * MILLISECOND
        if silent % 2 == 1:
            store.model.silence_until(until, now)
        else:
            store.model.refuse_until(until, now)
        self.simulation.oracle.configuration.store_unavailable(until)
        store.wake()

    def _lose_store_replies(self, count: int, _: int) -> None:
        self.simulation.store.model.faults.replies_to_lose += count % 5

    def _lapse_leases(self, _first: int, _second: int) -> None:
        store = self.simulation.store
        for lease_id in store.model.lease_ids:
            store.model.lapse_lease(lease_id, self.simulation.clock.now)
        store.wake()

    def _change_price(self, operator: int, price: int) -> None:
        cheapest = SMALL.classes[-1]
        intent = SetClass(
            name=cheapest.name,
            price=1.0 + price % PRICES,
            promise_seconds=cheapest.promise_seconds,
        )
        self.simulation.operators.change(f"operator-{operator % 2}", (intent,))

    def _disturb_replies(self, how: int, _: int) -> None:
        how %= 5
        disturbance = self.simulation.exchanges.disturbance
        disturbance.late_seconds = LATE_SECONDS
        disturbance.late_share = LATE_SHARE if how in (1, 4) else 0.0
        disturbance.duplicated_share = DISTURBED_SHARE if how in (2, 4) else 0.0
        disturbance.crossed_share = DISTURBED_SHARE if how in (3, 4) else 0.0

    # -- choosing ------------------------------------------------------------------------------

    def _node(self, number: int) -> SimulatedNode | None:
        count = len(self.simulation.nodes.running)
        return self.simulation.nodes.pick(self._share(number, count))

    def _replica(self, number: int) -> SimulatedReplica:
        return self._pick(self.simulation.backends.first_replicas, number)

    def _share(self, number: int, count: int) -> float:
        """Return the share, from 0 to 1, that chooses entry ``number`` of ``count``."""
        return (number % count + 0.5) / count if count else 0.0

    def _pick(self, entries: Sequence[Entry], number: int) -> Entry:
        return entries[number % len(entries)]
