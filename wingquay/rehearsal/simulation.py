"""A whole deployment on a virtual clock: one seed gives one run.

Nodes run the production decision code. Back ends, the store, the machine list, callers and
operators are models; the network and the faults are simulated.
"""

from collections.abc import Callable
from typing import Any

from wingquay.model.identifiers import NodeId
from wingquay.ports.backend import CancelAttempt, ProbeReplica, StartAttempt
from wingquay.ports.caller import AnswerCaller, SetReady
from wingquay.ports.machine import Action, Exit
from wingquay.ports.machine_directory import ReadMachineList
from wingquay.ports.peer import SendToPeer
from wingquay.ports.store import StartWatch, StopWatch, StoreRequest
from wingquay.rehearsal.backend_exchanges import BackendExchanges
from wingquay.rehearsal.baselines.floor import without_trouble
from wingquay.rehearsal.digest import EventDigest
from wingquay.rehearsal.faults.backend_faults import straggler_share
from wingquay.rehearsal.faults.catalogue import install_faults
from wingquay.rehearsal.measurements import Measurements
from wingquay.rehearsal.models.machine_list_model import MachineListModel
from wingquay.rehearsal.models.store_model import StoreModel, StoreSettings
from wingquay.rehearsal.network import Network
from wingquay.rehearsal.node_policies import machine_factory
from wingquay.rehearsal.oracle import Oracle
from wingquay.rehearsal.oracle_truth import Truth
from wingquay.rehearsal.peer_links import PeerLinks
from wingquay.rehearsal.random_streams import RandomStreams
from wingquay.rehearsal.simulated_backends import SimulatedBackends
from wingquay.rehearsal.simulated_callers import SimulatedCallers
from wingquay.rehearsal.simulated_machine_list import SimulatedMachineList
from wingquay.rehearsal.simulated_node import SimulatedNode
from wingquay.rehearsal.simulated_nodes import SimulatedNodes
from wingquay.rehearsal.simulated_store import SimulatedStore
from wingquay.rehearsal.simulation_settings import (
    WARM_UP_SECONDS,
    WIND_DOWN_SECONDS,
    Policy,
    SimulationSettings,
)
from wingquay.rehearsal.virtual_clock import VirtualClock
from wingquay.rehearsal.workload import Workload

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
        self.streams = RandomStreams(settings.seed)
        self.clock = VirtualClock()
        self.digest = EventDigest()
        self.faults_injected = 0
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
            self._perform,
            self._node_ended,
            self._node_revised,
        )
        self.store = SimulatedStore(
            StoreModel(StoreSettings(), self.streams.stream("store")),
            self.network,
            self.clock,
            self.nodes.find,
            self.oracle.configuration_confirmed,
        )
        self.machine_list = SimulatedMachineList(MachineListModel(), self.network, self.clock)
        self.links = PeerLinks(self.network, self.clock, self.nodes)
        self.callers = SimulatedCallers(
            self.network,
            self.clock,
            self.digest,
            self.oracle,
            self.measurements,
            self.streams.stream("callers"),
        )
        self._performers: dict[type[Action], Callable[[SimulatedNode, Any], None]] = {
            StartAttempt: self.exchanges.start,
            SendToPeer: self._send_to_peer,
            AnswerCaller: self.callers.answer,
            CancelAttempt: self._cancel_attempt,
            ProbeReplica: self.exchanges.probe,
            SetReady: self._set_ready,
            StoreRequest: self.store.request,
            StartWatch: self.store.start_watch,
            StopWatch: self.store.stop_watch,
            ReadMachineList: self.machine_list.read,
        }

    @property
    def traffic_end(self) -> float:
        """When callers stop sending."""
        return WARM_UP_SECONDS + self.settings.seconds

    def run(self) -> None:
        """Run from the start of the first node to the end of everything in flight."""
        self.store.write_initial(self.settings.profile.configuration)
        self.clock.run_until(STORE_HEAD_START_SECONDS)
        self.nodes.start_all()
        install_faults(self, self.settings.faults)
        for service in self.settings.profile.services:
            for kind in service.kinds:
                workload = Workload(
                    self.settings.profile, service, kind, self.settings.load, self.streams
                )
                self.callers.run(workload, WARM_UP_SECONDS, self.traffic_end)
        self.clock.run_until(self.traffic_end + WIND_DOWN_SECONDS)
        self.oracle.finish(self.clock.now)

    def disturb(self, node_id: NodeId, seconds: float) -> None:
        """Tell the oracle that a node can neither learn nor answer for a while."""
        self.oracle.disturbed(node_id, self.clock.now + seconds)

    def _attempt_arrived(self, attempt: StartAttempt, node_id: NodeId, now: float) -> None:
        self.oracle.attempt_arrived(attempt, node_id, now)
        self.measurements.attempt_arrived(attempt)

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        performer = self._performers.get(type(action))
        if performer is not None:
            performer(node, action)

    def _node_revised(self, node: SimulatedNode) -> None:
        self.oracle.configuration_in_force(
            node.identity.node_id, node.machine.revision, self.clock.now
        )

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
