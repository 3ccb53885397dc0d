"""What a hollow node's actions lead to: bytes on the network, pages of replicas, the platform."""

from collections.abc import Callable
from time import process_time
from typing import Any, cast

from wingquay.model.identifiers import NodeId, SnapshotVersion
from wingquay.ports.backend import LoadReport, ProbeReplica
from wingquay.ports.machine import Action
from wingquay.ports.machine_directory import MachineEntry, ReadMachineList
from wingquay.ports.peer import MembershipMessage, NodeIdentity, SendToPeer
from wingquay.ports.store import StartWatch, StopWatch, StoreRequest
from wingquay.simulation.capacity.layout import region_of
from wingquay.simulation.capacity.metered_machine import (
    MACHINE_LIST,
    STORE,
    MeteredMachine,
)
from wingquay.simulation.capacity.meters import CODING, NodeMeter
from wingquay.simulation.capacity.platform_wire import (
    HTTP_REQUEST_HEADER_BYTES,
    HealthPageArrived,
    MachineListArrived,
    health_response,
    machine_list_body,
    store_request_bytes,
)
from wingquay.simulation.capacity.regional_network import RegionalNetwork
from wingquay.simulation.capacity.wire import (
    DatagramOnWire,
    Wire,
    acknowledgement_bytes,
    datagram_bytes,
    stream_bytes,
)
from wingquay.simulation.network import PLATFORM
from wingquay.simulation.peer_links import PeerLinks
from wingquay.simulation.simulated_node import SimulatedNode
from wingquay.simulation.simulated_store import SimulatedStore

FIRST_SNAPSHOT = SnapshotVersion(1000)
SNAPSHOTS_HELD = 2
UTILIZATION = 0.5
HANDSHAKE = "Handshake"


def meter_of(node: SimulatedNode) -> NodeMeter:
    """Return what the node is charged on."""
    return cast(MeteredMachine, node.machine).meter


class Surroundings:
    """Performs the actions of hollow nodes.

    Parameters
    ----------
    find
        Returns the running process with an id.

    Attributes
    ----------
    links
        Carries messages between nodes; set before the first node starts.
    machine_entries
        What the platform's machine list says.
    """

    def __init__(
        self,
        wire: Wire,
        network: RegionalNetwork,
        store: SimulatedStore,
        find: Callable[[NodeId], SimulatedNode | None],
    ) -> None:
        self.links: PeerLinks | None = None
        self.machine_entries: tuple[MachineEntry, ...] = ()
        self.performers: dict[type[Action], Callable[[SimulatedNode, Any], None]] = {
            SendToPeer: self._send_to_peer,
            ProbeReplica: self._probe,
            ReadMachineList: self._read_machine_list,
            StoreRequest: self._request_store,
            StartWatch: store.start_watch,
            StopWatch: store.stop_watch,
        }
        self._wire = wire
        self._network = network
        self._store = store
        self._find = find
        self._connected: set[tuple[NodeId, NodeId]] = set()
        load = LoadReport(
            utilization=UTILIZATION,
            oldest_version=SnapshotVersion(FIRST_SNAPSHOT - SNAPSHOTS_HELD + 1),
            newest_version=FIRST_SNAPSHOT,
        )
        self._health_response = health_response(load)
        self._machine_list_body: tuple[tuple[MachineEntry, ...], bytes] = ((), b"[]")

    def _send_to_peer(self, node: SimulatedNode, action: SendToPeer) -> None:
        meter = meter_of(node)
        if not isinstance(action.message, MembershipMessage):
            self._connect(node, action.to)
        assert self.links is not None
        kind = type(action.message).__name__
        began = process_time()
        on_wire = self._wire.seal(node.identity, action.message)
        meter.seconds[CODING, kind] += process_time() - began
        if isinstance(on_wire, DatagramOnWire):
            meter.send(kind, datagram_bytes(len(on_wire.datagram)))
            self.links.send_datagram(node.identity, action.to, on_wire)
        else:
            meter.send(kind, stream_bytes(len(on_wire.frame)))
            meter.received_bytes[kind] += acknowledgement_bytes(len(on_wire.frame))
            self.links.send_in_order(node.identity, action.to, on_wire)

    def _connect(self, node: SimulatedNode, to: NodeIdentity) -> None:
        """Charge both ends for the connection that the first message needs."""
        own_id, other = node.identity.node_id, self._find(to.node_id)
        pair = (min(own_id, to.node_id), max(own_id, to.node_id))
        if other is None or pair in self._connected:
            return
        self._connected.add(pair)
        began = process_time()
        size_bytes = self._wire.shake_hands(node.identity, to)
        seconds_of_each = (process_time() - began) / 2
        for end in (node, other):
            meter = meter_of(end)
            meter.seconds[CODING, HANDSHAKE] += seconds_of_each
            meter.sent_bytes[HANDSHAKE] += size_bytes // 2
            meter.received_bytes[HANDSHAKE] += size_bytes // 2

    def forget(self, node_id: NodeId) -> None:
        """Forget the connections of a process that ended."""
        self._connected = {pair for pair in self._connected if node_id not in pair}

    def _probe(self, node: SimulatedNode, action: ProbeReplica) -> None:
        region = region_of(node.identity.zone)
        seconds = 2 * self._network.one_way_seconds(node.identity.zone, f"{region}-replicas")
        host = f"{action.host}:{action.port}"
        arrived = HealthPageArrived(action.replica_id, host, self._health_response)
        self._network.later(seconds, node.deliver, arrived)

    def _read_machine_list(self, node: SimulatedNode, action: ReadMachineList) -> None:
        del action
        zone = node.identity.zone
        meter_of(node).send(MACHINE_LIST, stream_bytes(HTTP_REQUEST_HEADER_BYTES))
        if self._machine_list_body[0] is not self.machine_entries:
            body = machine_list_body(self.machine_entries)
            self._machine_list_body = (self.machine_entries, body)
        arrived = MachineListArrived(self._machine_list_body[1])
        seconds = 2 * self._network.one_way_seconds(zone, PLATFORM)
        self._network.later(seconds, node.deliver, arrived)

    def _request_store(self, node: SimulatedNode, action: StoreRequest) -> None:
        meter = meter_of(node)
        began = process_time()
        size_bytes = store_request_bytes(action.operation)
        meter.seconds[CODING, STORE] += process_time() - began
        meter.send(STORE, stream_bytes(size_bytes))
        self._store.request(node, action)
