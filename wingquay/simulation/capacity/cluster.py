"""A whole hollow control plane: nodes, network, store and machine list on a virtual clock."""

from collections.abc import Callable

from wingquay.model.identifiers import NodeId, Revision
from wingquay.ports.machine import Log
from wingquay.ports.machine_directory import MachineEntry, MachineState
from wingquay.ports.operator import OperatorReply
from wingquay.simulation.capacity.fleet import Fleet
from wingquay.simulation.capacity.layout import all_zones, initial_configuration
from wingquay.simulation.capacity.regional_network import RegionalNetwork
from wingquay.simulation.capacity.settings import CapacitySettings
from wingquay.simulation.capacity.surroundings import Surroundings
from wingquay.simulation.capacity.wire import Wire
from wingquay.simulation.models.store_model import StoreModel, StoreSettings
from wingquay.simulation.network import PLATFORM
from wingquay.simulation.peer_links import PeerLinks
from wingquay.simulation.random_streams import RandomStreams
from wingquay.simulation.simulated_node import SimulatedNode
from wingquay.simulation.simulated_store import SimulatedStore
from wingquay.simulation.virtual_clock import VirtualClock

CLUSTER_KEY = b"the key of the rehearsed cluster"
STORE_HEAD_START_SECONDS = 0.1
STEP_SECONDS = 0.1
"""How often a condition is looked at."""


class FalseAlarms:
    """Suspicions and deaths of nodes that were running."""

    def __init__(self) -> None:
        self.suspicions = 0
        self.deaths = 0

    def reset(self) -> None:
        """Count from zero."""
        self.suspicions = self.deaths = 0


class CapacityCluster:
    """Builds everything of one run and holds it together."""

    def __init__(self, settings: CapacitySettings) -> None:
        self.settings = settings
        self.clock = VirtualClock()
        self.streams = RandomStreams(settings.seed)
        self.random = self.streams.stream("scenarios")
        self.network = RegionalNetwork(self.clock, self.streams.stream("network"))
        self.alarms = FalseAlarms()
        self.on_revised: Callable[[SimulatedNode], None] = _ignore_node
        self.on_reply: Callable[[SimulatedNode, OperatorReply], None] = _ignore_reply
        self.cut_zone: str | None = None
        wire = Wire(CLUSTER_KEY)
        self.store = SimulatedStore(
            StoreModel(StoreSettings(), self.streams.stream("store")),
            self.network,
            self.clock,
            self._find,
            _ignore_confirmed,
        )
        self.surroundings = Surroundings(wire, self.network, self.store, self._find)
        performers = self.surroundings.performers
        performers[Log] = self._read_log
        performers[OperatorReply] = lambda node, reply: self.on_reply(node, reply)
        self.fleet = Fleet(
            settings.nodes,
            self.clock,
            self.streams,
            wire,
            performers,
            lambda node: self.on_revised(node),
        )
        self.surroundings.links = PeerLinks(
            self.network, self.clock, self.fleet, self.streams.stream("links")
        )
        self.configuration = initial_configuration(settings.replicas)

    def begin(self, spread_seconds: float) -> None:
        """Write the first configuration and start every node."""
        self.store.write_initial(self.configuration)
        self.clock.run_until(STORE_HEAD_START_SECONDS)
        self.fleet.start_all_warm(spread_seconds)

    def list_machines(self) -> None:
        """Let the platform's list name every node and replica."""
        nodes = [
            MachineEntry(
                node.identity.host, node.identity.port, node.identity.zone, MachineState.LIVE
            )
            for node in self.fleet.running.values()
        ]
        replicas = [
            MachineEntry(replica.host, replica.port, replica.zone, MachineState.LIVE)
            for service in self.configuration.services
            for shard in service.shards
            for replica in shard.replicas
        ]
        self.surroundings.machine_entries = (*nodes, *replicas)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def run_until(self, condition: Callable[[], bool], limit_seconds: float) -> float | None:
        """Run until ``condition`` holds; return how long that took, ``None`` if it never did."""
        began = self.clock.now
        while not condition():
            if self.clock.now - began >= limit_seconds:
                return None
            self.run(STEP_SECONDS)
        return self.clock.now - began

    def is_settled(self) -> bool:
        """Whether every node knows exactly the running ones and has a configuration."""
        count = len(self.fleet.running)
        return all(
            machine.revision > 0 and len(machine.listener.available) == count
            for machine in self.fleet.machines()
        )

    def lowest_revision(self) -> Revision:
        """Return the lowest revision in force on any node."""
        return min(machine.revision for machine in self.fleet.machines())

    def start(self, place: int) -> None:
        """Start a process that knows only the addresses of its seeds."""
        self.fleet.start(place)

    def crash(self, node: SimulatedNode) -> None:
        """End a process without a warning."""
        self.fleet.crash(node)
        self.store.node_lost(node.identity.node_id)
        self.surroundings.forget(node.identity.node_id)

    def cut_off(self, zone: str) -> None:
        """Cut a zone off from all others and from the platform."""
        self.cut_zone = zone
        self.network.cut_off(zone, self._others(zone))

    def rejoin(self, zone: str) -> None:
        """Take a cut back."""
        self.cut_zone = None
        self.network.rejoin(zone, self._others(zone))

    def _others(self, zone: str) -> list[str]:
        return [*(other for other in all_zones() if other != zone), PLATFORM]

    def _find(self, node_id: NodeId) -> SimulatedNode | None:
        return self.fleet.find(node_id)

    def _read_log(self, node: SimulatedNode, line: Log) -> None:
        if line.message not in ("node_suspected", "node_dead"):
            return
        subject = self.fleet.find(NodeId(str(dict(line.fields).get("node"))))
        if subject is None or self._is_apart(node, subject):
            return
        self.alarms.suspicions += line.message == "node_suspected"
        self.alarms.deaths += line.message == "node_dead"

    def _is_apart(self, one: SimulatedNode, other: SimulatedNode) -> bool:
        zones = (one.identity.zone, other.identity.zone)
        return zones[0] != zones[1] and self.cut_zone in zones


def _ignore_node(node: SimulatedNode) -> None:
    del node


def _ignore_reply(node: SimulatedNode, reply: OperatorReply) -> None:
    del node, reply


def _ignore_confirmed(revision: Revision, confirm_id: str, now: float) -> None:
    del revision, confirm_id, now
