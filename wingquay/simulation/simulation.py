"""A whole deployment on a virtual clock: one seed gives one run.

Nodes run the production decision code. Back ends, the store, the machine list, callers and
operators are models; the network and the faults are simulated.
"""

from collections.abc import Callable
from typing import Any

from ..model.identifiers import NodeId
from ..ports.backend import CancelAttempt, ProbeReplica, StartAttempt
from ..ports.caller import AnswerCaller, SetReady
from ..ports.machine import Action, Exit
from ..ports.machine_directory import MachineEntry, MachineState, ReadMachineList
from ..ports.operator import OperatorReply
from ..ports.peer import SendToPeer
from ..ports.store import StartWatch, StopWatch, StoreRequest
from .backend_exchanges import BackendExchanges
from .baselines.floor import without_trouble
from .digest import EventDigest
from .faults.backend_faults import straggler_share
from .faults.catalogue import install_faults
from .faults.node_faults import machine_list_lag
from .measurements import Measurements
from .models.machine_list_model import MachineListModel
from .models.store_model import StoreModel, StoreSettings
from .network import Network
from .node_policies import machine_factory
from .oracle import Oracle
from .oracle_truth import Truth
from .peer_links import PeerLinks
from .random_streams import RandomStreams
from .simulated_backends import SimulatedBackends
from .simulated_callers import SimulatedCallers
from .simulated_machine_list import SimulatedMachineList
from .simulated_node import SimulatedNode
from .simulated_nodes import SimulatedNodes
from .simulated_operators import SimulatedOperators
from .simulated_replica import SimulatedReplica
from .simulated_store import SimulatedStore
from .simulation_settings import (
    WARM_UP_SECONDS,
    WIND_DOWN_SECONDS,
    Policy,
    SimulationSettings,
)
from .virtual_clock import VirtualClock
from .workload import Workload

CONFIGURATION_CHECK_SECONDS = 0.5
SUCCESSOR_SECONDS = 1.0
"""So long after a planned stop, another process starts at the address."""
STORE_HEAD_START_SECONDS = 0.1
"""The store holds the first configuration before the first node starts."""


class Simulation:
    """Builds everything of one run and holds it together.

    Parameters
    ----------
    settings
        What to simulate.
    """

    def __init__(self, settings: SimulationSettings) -> None:
        self.policy = settings.policy
        if settings.policy is Policy.FLOOR:
            settings = without_trouble(settings)
        self.settings = settings
        self._performers: dict[type[Action], Callable[[SimulatedNode, Any], None]] = {}
        self.streams = RandomStreams(settings.seed)
        self.clock = VirtualClock()
        self.digest = EventDigest()
        self.faults_injected = 0
        self._stopping: set[NodeId] = set()
        profile = settings.profile
        self.truth = Truth(profile.dataset)
        self.oracle = Oracle(self.truth)
        self.measurements = Measurements(profile, self.truth)
        self.network = Network(profile, self.clock, self.streams.stream("network"))
        self.backends = SimulatedBackends(
            profile,
            self.clock,
            self.oracle,
            self.streams,
            straggler_share(settings.faults),
            self._attempt_arrived,
            self._replica_lost,
            self._replica_listed,
        )
        self.exchanges = BackendExchanges(
            self.network,
            self.clock,
            profile.connection_seconds,
            self.backends.find,
            self.streams.stream("exchanges"),
        )
        self.nodes = SimulatedNodes(
            profile,
            self.clock,
            self.digest,
            self.streams,
            machine_factory(settings),
            self._performers,
            self._node_ended,
            self._node_revised,
            self._node_began,
        )
        self.store = SimulatedStore(
            StoreModel(StoreSettings(), self.streams.stream("store")),
            self.network,
            self.clock,
            self.nodes.find,
            self.oracle.configuration.confirmed,
        )
        self.machine_list = SimulatedMachineList(
            MachineListModel(machine_list_lag(settings.faults)), self.network, self.clock
        )
        self.links = PeerLinks(self.network, self.clock, self.nodes, self.streams.stream("links"))
        self.callers = SimulatedCallers(
            self.network,
            self.clock,
            self.digest,
            self.oracle,
            self.measurements,
            self.streams.stream("callers"),
        )
        self.operators = SimulatedOperators(
            self.network,
            self.clock,
            self.oracle.configuration,
            self.nodes.ready,
            self.streams.stream("operators"),
        )
        self._performers |= {
            StartAttempt: self.exchanges.start,
            SendToPeer: self._send_to_peer,
            AnswerCaller: self.callers.answer,
            CancelAttempt: self._cancel_attempt,
            ProbeReplica: self.exchanges.probe,
            SetReady: self._set_ready,
            StoreRequest: self.store.request,
            StartWatch: self.store.start_watch,
            StopWatch: self.store.stop_watch,
            OperatorReply: self.operators.reply,
            ReadMachineList: self.machine_list.read,
            Exit: self.nodes.exit,
        }

    @property
    def traffic_end(self) -> float:
        """When callers stop sending."""
        return WARM_UP_SECONDS + self.settings.seconds

    def run(self) -> None:
        """Run from the start of the first node to the end of everything in flight."""
        self.begin()
        install_faults(self, self.settings.faults)
        for service in self.settings.profile.services:
            for kind in service.kinds:
                workload = Workload(
                    self.settings.profile, service, kind, self.settings.load, self.streams
                )
                self.callers.run(workload, WARM_UP_SECONDS, self.traffic_end)
        self.clock.run_until(self.traffic_end)
        self.finish()

    def begin(self) -> None:
        """Start the store, the back ends and the nodes; only the clock must run after this."""
        self.store.write_initial(self.settings.profile.configuration)
        self.clock.run_until(STORE_HEAD_START_SECONDS)
        self.backends.list_all()
        self.nodes.start_all()
        self._check_configurations()

    def finish(self) -> None:
        """Let everything in flight end, and check what only shows at the end."""
        self.clock.run_until(self.clock.now + WIND_DOWN_SECONDS)
        self.oracle.finish(self.clock.now)

    def pause_node(self, choice: float, seconds: float) -> None:
        """Pause the node that ``choice`` (0 to 1) falls on."""
        node = self.nodes.pick(choice)
        if node is not None:
            self.oracle.frozen(node.identity.node_id, self.clock.now + seconds)
            node.pause()
            self.clock.after(seconds, node.resume)

    def stop_node(self, node: SimulatedNode) -> None:
        """Ask a node for a planned stop; another process takes its place afterwards."""
        self._list_node(node, MachineState.LEAVING)
        self._stopping.add(node.identity.node_id)
        node.request_stop()

    def _check_configurations(self) -> None:
        now = self.clock.now
        self.oracle.configuration.look_for_paths(now)
        for node in list(self.nodes.running.values()):
            if node.identity.node_id not in self._stopping:
                self.oracle.configuration.check_node(node.identity.node_id, node.started_at, now)
        self.clock.after(CONFIGURATION_CHECK_SECONDS, self._check_configurations)

    def _attempt_arrived(self, attempt: StartAttempt, node_id: NodeId, now: float) -> None:
        self.oracle.attempt_arrived(attempt, node_id, now)
        self.measurements.attempt_arrived(attempt)

    def _node_revised(self, node: SimulatedNode) -> None:
        self.oracle.configuration.in_force(
            node.identity.node_id, node.machine.revision, self.clock.now
        )

    def _node_began(self, node: SimulatedNode) -> None:
        self.oracle.node_started(node.identity.node_id, self.clock.now)
        self._list_node(node, MachineState.LIVE)

    def _list_node(self, node: SimulatedNode, state: MachineState) -> None:
        identity = node.identity
        entry = MachineEntry(identity.host, identity.port, identity.zone, state)
        self.machine_list.model.put(entry, self.clock.now)

    def _replica_lost(self, replica: SimulatedReplica) -> None:
        self.exchanges.lose_replica(replica)

    def _replica_listed(self, replica: SimulatedReplica, state: MachineState) -> None:
        entry = replica.entry
        listed = MachineEntry(entry.host, entry.port, entry.zone, state)
        self.machine_list.model.put(listed, self.clock.now)

    def _send_to_peer(self, node: SimulatedNode, action: SendToPeer) -> None:
        self.links.send(node.identity, action.to, action.message)

    def _cancel_attempt(self, node: SimulatedNode, action: CancelAttempt) -> None:
        del node
        self.exchanges.cancel(action.attempt_id)

    def _set_ready(self, node: SimulatedNode, action: SetReady) -> None:
        node.ready = action.ready
        self.callers.notice(node, action.ready)

    def _node_ended(self, node: SimulatedNode, exit_action: Exit | None) -> None:
        lost_callers = self.callers.node_lost(node)
        if exit_action is not None:
            cut = exit_action.cut_requests + lost_callers + self.exchanges.open_attempts(node)
            self.oracle.node_exited(node.identity.node_id, cut, self.clock.now)
        self.exchanges.lose_node(node)
        self.store.node_lost(node.identity.node_id)
        self.callers.notice(node, False)
        self.oracle.configuration.node_gone(node.identity.node_id)
        self.machine_list.model.remove(node.identity.host, node.identity.port, self.clock.now)
        if node.identity.node_id in self._stopping:
            self.clock.after(SUCCESSOR_SECONDS, self.nodes.start_again, node)
