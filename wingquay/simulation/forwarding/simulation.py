"""Plays forwarding nodes, replicas, a store and callers with faults; one seed, one history."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import count

from ...model.replica_record import ReplicaRecord
from ...model.routing_table import RoutingTable
from ...ports.forwarding import (
    ConnectionTried,
    ReplicaAnswered,
    ReplyFailure,
    SendFailed,
    SendFailureKind,
    SendToReplica,
)
from ...ports.machine import Event, Exit, ProcessResumed, StopRequested
from ..virtual_clock import VirtualClock
from .callers import LEAD_SECONDS, Callers
from .node_links import NodeLinks
from .oracle import ForwardingOracle
from .replica import CONNECT_SECONDS, ReplicaModel
from .routes import (
    EDIT_SERVICE,
    SINGLE_SERVICE,
    routing_table,
)
from .settings import SimulationSettings
from .simulated_node import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    REPLICA_PREFIX,
    SimulatedForwardingNode,
)
from .store import StoreModel
from .tenant_keys import TenantKeys
from .zone_cuts import ZoneCuts

SETTLE_SECONDS = 8.0
"""Time after the last request in which everything open must end."""
CHECK_SECONDS = 0.25
SHARD_MEAN_SECONDS = 0.012
SINGLE_MEAN_SECONDS = 0.06
LIMITS_SECONDS = (0.9, 1.2, 1.5)
"""Time limits of the routes over shards; each configuration has one of them."""
RECORD_LAPSES_SECONDS = 2.5
"""Time after a replica's end at which its record lapses."""
FIRST_BORN = 1_700_000_000_000
"""Unix milliseconds at the begin of a run."""
REPLICA_BACK_SECONDS = 3.0
"""Time after a replica's end at which a new start of it comes up at its address."""


WRITTEN_AGAIN_SECONDS = 2.0
"""Time after the store's return from an older copy in which its writers write again."""


SimulatedFault = Callable[["ForwardingSimulation", random.Random], None]
"""Strikes a run, at the moment at which it is called."""


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """What a run showed."""

    seed: int
    faults: tuple[str, ...]
    requests: int
    served: int
    refused: int
    violations: tuple[str, ...]


class ForwardingSimulation:
    """One run.

    Parameters
    ----------
    seed
        Draws everything that chance decides.
    settings
        Sizes and bounds.
    faults
        The faults that strike, each at a moment that the seed draws.
    """

    def __init__(
        self,
        seed: int,
        settings: SimulationSettings,
        faults: Sequence[SimulatedFault],
    ) -> None:
        self.settings = settings
        self.clock = VirtualClock()
        self.oracle = ForwardingOracle(self.settings)
        self.store = StoreModel(self.clock)
        self.cuts = ZoneCuts(self.clock)
        self.links = NodeLinks(self.clock, settings.network_seconds, self.cuts)
        self.tables: dict[bytes, RoutingTable] = {}
        self.records: dict[bytes, ReplicaRecord] = {}
        self.crashing_targets: set[bytes] = set()
        self.keeps_ids = False
        """Whether replicas that end without a word start again under their ids."""
        """Targets of requests that end each replica that runs them."""
        self.shard_names: list[str] = []
        self.nodes: list[SimulatedForwardingNode] = []
        self._seed = seed
        self._random = random.Random(seed)
        self._numbers = count(1)
        self._replicas: dict[str, ReplicaModel] = {}
        self._faults = tuple(faults)
        self._version = 0
        self.tenants = TenantKeys(settings.tenants, random.Random(f"tenants/{seed}"))
        self.callers = Callers(self, self._random, self._numbers)

    def run(self) -> SimulationResult:
        """Play the run."""
        settings = self.settings
        self._start_replicas()
        self.change_configuration()
        for number in range(settings.nodes):
            node = SimulatedForwardingNode(self, number, self._next_seed())
            self.nodes.append(node)
            node.start()
        self.clock.after(LEAD_SECONDS, self.callers.send_usual)
        for fault in self._faults:
            at = LEAD_SECONDS + self._random.uniform(0.0, settings.seconds * 0.8)
            self.clock.at(at, fault, self, random.Random(self._next_seed()))
        self.clock.after(LEAD_SECONDS, self._check)
        self.store.keep_copies()
        self.clock.run_until(LEAD_SECONDS + settings.seconds + SETTLE_SECONDS)
        self.oracle.check_end(self.clock.now)
        return self._result()

    # Replicas, for faults

    def live_replicas(self) -> list[ReplicaModel]:
        """Return the replicas that neither ended nor drain."""
        return [
            replica
            for replica in self._replicas.values()
            if not replica.is_dead and replica.record.replica_id not in self.oracle.draining_at
        ]

    def some_replicas(self, chance: random.Random, share: float) -> list[ReplicaModel]:
        """Return a share of the live replicas."""
        live = self.live_replicas()
        return chance.sample(live, max(1, int(len(live) * share)))

    def replicas_of(self, service: str) -> list[ReplicaModel]:
        """Return the live replicas of a service."""
        return [replica for replica in self.live_replicas() if replica.record.service == service]

    def all_services(self) -> list[str]:
        """Return the services in use."""
        return [*self.shard_names, SINGLE_SERVICE, EDIT_SERVICE]

    def start_replica(self, service: str, host: str | None = None) -> ReplicaModel:
        """Start a replica and let it announce itself."""
        number = next(self._numbers)
        address = host or f"host-{number}"
        zone = f"zone-{number % self.settings.replica_zones}"
        record = ReplicaRecord(
            f"{service}-{number}", service, address, 80, zone, self.settings.slots
        )
        is_shard = service not in (SINGLE_SERVICE, EDIT_SERVICE)
        replica = ReplicaModel(
            record,
            self.clock,
            self.settings,
            self.oracle,
            random.Random(self._next_seed()),
            SHARD_MEAN_SECONDS if is_shard else SINGLE_MEAN_SECONDS,
            self.crashing_targets,
            self.crash_and_restart,
        )
        self._replicas[address] = replica
        replica.start_pausing()
        self.put_record(replica)
        return replica

    def add_replica(self, service: str) -> None:
        """Start a replica at an address of its own."""
        self.start_replica(service)

    def start_replica_like(self, replica: ReplicaModel) -> None:
        """Start a new replica at the address of one that ended."""
        self.start_replica(replica.record.service, replica.record.host)

    def put_record(self, replica: ReplicaModel) -> None:
        """Let a replica write its record, unless it ended."""
        if replica.is_dead:
            return
        value = repr(replica.record).encode()
        self.records[value] = replica.record
        self.store.put(self.record_key(replica), value)

    def record_key(self, replica: ReplicaModel) -> str:
        """Return the store's key for a replica."""
        return REPLICA_PREFIX + replica.record.replica_id

    def announce_drain(self, replica: ReplicaModel) -> None:
        """Let a replica say that it leaves."""
        replica.record = replace(replica.record, is_draining=True)
        self.put_record(replica)
        self.oracle.draining_at.setdefault(replica.record.replica_id, self.clock.now)

    def remove_record(self, replica: ReplicaModel) -> None:
        """Take a replica's record away."""
        self.store.delete(self.record_key(replica))
        self.oracle.draining_at.setdefault(replica.record.replica_id, self.clock.now)

    def crash_and_restart(self, replica: ReplicaModel) -> None:
        """End a replica without a word; its record lapses and a new start of it comes up."""
        if self.keeps_ids:
            self.crash_and_bear_again(replica, REPLICA_BACK_SECONDS)
            return
        replica.crash()
        self.clock.after(RECORD_LAPSES_SECONDS, self.remove_record, replica)
        self.clock.after(REPLICA_BACK_SECONDS, self.start_replica_like, replica)

    def crash_and_bear_again(
        self,
        replica: ReplicaModel,
        down_seconds: float,
        clock_step_ms: int = 0,
        is_silent: bool = False,
    ) -> None:
        """End a replica without a word and let it start again under its id.

        Parameters
        ----------
        clock_step_ms
            How far its machine's clock is stepped meanwhile.
        is_silent
            Whether no end of its connections is seen, as behind a cut.
        """
        replica.crash(is_silent)
        self.clock.after(down_seconds, self._bear_again, replica, clock_step_ms)

    def _bear_again(self, replica: ReplicaModel, clock_step_ms: int) -> None:
        if replica.record.replica_id not in self.oracle.draining_at:
            replica.start_again(max(FIRST_BORN + int(self.clock.now * 1000.0) + clock_step_ms, 0))
            self.put_record(replica)

    def end_replica(self, replica: ReplicaModel) -> None:
        """End a replica that drained."""
        self.remove_record(replica)
        replica.crash()

    def evacuate(self, zone: str, seconds: float) -> None:
        """Let the operator ask that nothing is sent to a zone's replicas for a while."""
        key = EVACUATION_PREFIX + zone
        self.store.put(key, b"{}")
        self.oracle.evacuated.append((zone, self.clock.now, self.clock.now + seconds))
        self.clock.after(seconds, self._take_back, zone)

    def _take_back(self, zone: str) -> None:
        """End an evacuation, unless a later one of the zone goes on."""
        now = self.clock.now
        if all(name != zone or ended <= now for name, _, ended in self.oracle.evacuated):
            self.store.delete(EVACUATION_PREFIX + zone)

    # Configuration, for faults

    def change_configuration(self) -> None:
        """Write the next version; time limits change a little from one to the next."""
        self._version += self._random.randint(1, 3)
        limit_seconds = self._random.choice(LIMITS_SECONDS)
        if self.oracle.tables:
            self.tenants.change()
        table = routing_table(
            self._version,
            self.shard_names,
            limit_seconds,
            self.settings.sweep_least_share,
            self.tenants.directory(),
        )
        value = f"version {table.version}".encode()
        self.tables[value] = table
        self.store.put(CONFIGURATION_KEY, value)
        self.oracle.tables.append((self.clock.now, table))

    def reshard(self) -> None:
        """Start another set of shards, name it two seconds later, then drain the old one."""
        old = [replica for name in self.shard_names for replica in self.replicas_of(name)]
        generation = next(self._numbers)
        names = [f"shard-{generation}-{index}" for index in range(self.settings.shards + 2)]
        for name in names:
            for _ in range(self.settings.copies):
                self.start_replica(name)

        def switch() -> None:
            self.shard_names = names
            self.change_configuration()
            delay = self.settings.configuration_bound_seconds
            for replica in old:
                self.clock.after(delay, self.announce_drain, replica)
                self.clock.after(delay + 4.5, self.end_replica, replica)

        self.clock.after(2.0, switch)

    # The store, for faults

    def restore_store(self, away_seconds: float, age_seconds: float, chance: random.Random) -> None:
        """Let the store be away and come back from an older copy.

        What the operator and replicas wrote since is written again within a bounded time.
        """
        self.store.take_down(away_seconds)
        back_at = self.store.down_until
        self.oracle.restored.append((self.clock.now, back_at + WRITTEN_AGAIN_SECONDS))
        self.clock.at(back_at, self._store_is_back, age_seconds, chance)

    def _store_is_back(self, age_seconds: float, chance: random.Random) -> None:
        lost = self.store.restore(age_seconds)
        for key in (*(item.key for item in lost.changed), *lost.deleted):
            if key.startswith((CONFIGURATION_KEY, EVACUATION_PREFIX, REPLICA_PREFIX)):
                delay = chance.uniform(0.0, WRITTEN_AGAIN_SECONDS)
                self.clock.after(delay, self.store.write_again, key)

    # Nodes, for faults

    def kill_node(self, number: int, down_seconds: float) -> None:
        """Kill a node and start it again."""
        node = self.nodes[number]
        if not node.is_alive:
            return
        node.kill()
        self.callers.cut_off(node)
        self.clock.after(down_seconds, self._restart, number)

    def freeze_node(self, number: int, seconds: float) -> None:
        """Let a node stand still; what reaches it meanwhile waits."""
        self.nodes[number].frozen_until = self.clock.now + seconds
        self.oracle.disturbed.append((self.clock.now, self.clock.now + seconds))

    def suspend_node(self, number: int, seconds: float) -> None:
        """Let a node be suspended; what reaches it waits until it wakes."""
        node = self.nodes[number]
        if node.is_alive:
            self.clock.after(seconds, node.emit, ProcessResumed(seconds))
            self.freeze_node(number, seconds)
            span = (self.clock.now, self.clock.now + seconds)
            self.oracle.suspended.setdefault(number, []).append(span)

    def separate_node(self, number: int, seconds: float) -> None:
        """Hold up what a node and the others say to each other."""
        self.links.cut.add(number)
        self.clock.after(seconds, self.links.heal, number)
        self.oracle.disturbed.append((self.clock.now, self.clock.now + seconds))

    def cut_zone(self, zone: str, seconds: float) -> None:
        """Cut a zone off from the others and from the store."""
        self.cuts.cut(zone, seconds)
        for node in self.nodes:
            if node.zone == zone:
                self.store.cut_off_node(node.number, seconds)
        span = (self.clock.now, self.clock.now + seconds)
        self.oracle.unstable.append(span)
        self.oracle.disturbed.append(span)
        self.clock.after(seconds, self.links.release)

    def stop_node(self, number: int) -> None:
        """Stop a node as planned."""
        self.nodes[number].emit(StopRequested())

    def node_exited(self, node: SimulatedForwardingNode, action: Exit) -> None:
        """Start a node again that ended as planned."""
        if action.cut_requests or node.open_requests:
            self.oracle.violations.append(f"node {node.number}: a planned stop cut requests off")
        node.kill()
        self.clock.after(0.3, self._restart, node.number)

    # Surroundings of nodes

    def deliver(self, node: SimulatedForwardingNode, send: SendToReplica) -> None:
        """Carry a request to the replica at its address, and the outcome back."""
        delay = self.settings.network_seconds

        def tell(outcome: ReplicaAnswered | SendFailed) -> None:
            if not self.cuts.separates(node.zone, send.replica.zone):
                self.clock.after(delay, node.outcome, outcome, send.attempt_id)

        def arrive() -> None:
            if self.cuts.separates(node.zone, send.replica.zone):
                kind = SendFailureKind.NOT_SENT
                failure = SendFailed(send.attempt_id, kind, "no connection")
                self.clock.after(CONNECT_SECONDS, node.outcome, failure, send.attempt_id)
                return
            replica = self._replicas.get(send.replica.host)
            if replica is not None and node.is_alive:
                replica.receive(node.number, send, tell)

        self.clock.after(delay, arrive)

    def connect(
        self, record: ReplicaRecord, emit: Callable[[Event], None], zone: str | None = None
    ) -> None:
        """Try a connection to a replica and tell whether it came up.

        Parameters
        ----------
        zone
            Where the connection comes from.
        """
        if self.cuts.separates(zone or record.zone, record.zone):
            lost = ConnectionTried(record.replica_id, "no answer")
            self.clock.after(CONNECT_SECONDS, emit, lost)
            return
        replica = self._replicas.get(record.host)
        if replica is None or replica.record.replica_id != record.replica_id:
            emit_later = ConnectionTried(record.incarnation, "refused", True)
            self.clock.after(self.settings.network_seconds, emit, emit_later)
            return
        self.clock.after(self.settings.network_seconds, replica.connect, record.incarnation, emit)

    def cancel_at(self, host: str, node: int, attempt_id: int) -> None:
        """Carry the end of a connection to a replica."""
        replica = self._replicas.get(host)
        if replica is not None:
            delay = self.settings.network_seconds
            self.clock.after(delay, replica.cancel, node, attempt_id)

    # Checks

    def _check(self) -> None:
        now = self.clock.now
        self.oracle.check_open_work(now)
        for node in self.nodes:
            undisturbed_since = max(node.frozen_until, self.store.reached_since(node.number))
            if node.is_alive:
                self.oracle.check_never_falls(node, node.number, node.configuration_version)
            if node.is_alive and undisturbed_since + self.settings.contact_seconds < now:
                self.oracle.check_configuration(node.number, node.configuration_version, now)
        self.clock.after(CHECK_SECONDS, self._check)

    def _restart(self, number: int) -> None:
        node = SimulatedForwardingNode(self, number, self._next_seed())
        self.nodes[number] = node
        node.start()

    # Building

    def _start_replicas(self) -> None:
        settings = self.settings
        self.shard_names = [f"shard-0-{index}" for index in range(settings.shards)]
        for name in self.shard_names:
            for _ in range(settings.copies):
                self.start_replica(name)
        for name in (SINGLE_SERVICE, EDIT_SERVICE):
            for _ in range(settings.single_replicas):
                self.start_replica(name)

    def _next_seed(self) -> int:
        return self._random.getrandbits(32)

    def _result(self) -> SimulationResult:
        replies = [request.reply for request in self.oracle.requests.values()]
        failures = [reply for reply in replies if isinstance(reply, ReplyFailure)]
        refused = [reply for reply in failures if reply.retry_after_seconds is not None]
        served = sum(reply is not None for reply in replies) - len(failures)
        return SimulationResult(
            self._seed,
            tuple(fault.__name__ for fault in self._faults),
            len(replies),
            served,
            len(refused),
            tuple(self.oracle.violations),
        )
