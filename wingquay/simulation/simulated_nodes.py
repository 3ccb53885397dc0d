"""All node processes of a simulated deployment: their starts, ends, pauses and actions."""

from collections.abc import Callable

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.machine import Exit
from ..ports.peer import NodeIdentity
from .deployment_profile import NODE_PORT, DeploymentProfile
from .digest import EventDigest
from .node_policies import MachineFactory
from .random_streams import RandomStreams
from .simulated_node import Performers, ProcessState, SimulatedNode
from .virtual_clock import VirtualClock

CLOCK_OFFSET_SECONDS = 1000.0
"""The clocks of two processes differ by a multiple of this."""

Ended = Callable[[SimulatedNode, Exit | None], None]


class SimulatedNodes:
    """Starts processes at the deployment's node addresses and keeps those that run.

    Parameters
    ----------
    performers
        Perform the actions of nodes by their type.
    ended
        Called when a process ended, with its ``Exit`` or, after a crash, ``None``.
    revised
        Called when a node goes by another revision of the configuration than before.
    began
        Called when a process starts.
    """

    def __init__(  # noqa: PLR0913 - where a process meets its surroundings
        self,
        profile: DeploymentProfile,
        clock: VirtualClock,
        digest: EventDigest,
        streams: RandomStreams,
        make_machine: MachineFactory,
        performers: Performers,
        ended: Ended,
        revised: Callable[[SimulatedNode], None],
        began: Callable[[SimulatedNode], None],
    ) -> None:
        self.running: dict[NodeId, SimulatedNode] = {}
        self.started = 0
        self._profile = profile
        self._clock = clock
        self._digest = digest
        self._streams = streams
        self._make_machine = make_machine
        self._performers = performers
        self._ended = ended
        self._revised = revised
        self._began = began
        self._places = [
            (zone, f"10.200.{zone_index}.{index + 1}")
            for zone_index, zone in enumerate(profile.zones)
            for index in range(profile.nodes_per_zone)
        ]

    def start_all(self) -> None:
        """Start one process at every place."""
        for zone, host in self._places:
            self.start(zone, host)

    def start(self, zone: str, host: str) -> SimulatedNode:
        """Start a process; it gets a node id of its own."""
        self.started += 1
        node_id = NodeId(f"node-{self.started:03d}")
        identity = NodeIdentity(
            node_id=node_id,
            deployment=DeploymentName(self._profile.name),
            zone=ZoneName(zone),
            host=host,
            port=NODE_PORT,
        )
        machine = self._make_machine(
            identity, self._peers(host), self._streams.stream(f"node/{node_id}")
        )
        node = SimulatedNode(
            identity,
            machine,
            self._clock,
            self._digest,
            self.started * CLOCK_OFFSET_SECONDS,
            self._performers,
            self._revised,
        )
        self.running[node_id] = node
        self._began(node)
        node.start()
        return node

    def find(self, node_id: NodeId) -> SimulatedNode | None:
        """Return the process with that id if it still exists."""
        return self.running.get(node_id)

    def at_address(self, identity: NodeIdentity) -> SimulatedNode | None:
        """Return the process that listens at an address, whatever its id."""
        for node in self.running.values():
            if node.identity.host == identity.host and node.identity.port == identity.port:
                return node
        return None

    def ready(self) -> list[SimulatedNode]:
        """Return the processes whose readiness page says that they take requests."""
        return [node for node in self.running.values() if node.ready]

    def in_zone(self, zone: str) -> list[SimulatedNode]:
        """Return the processes of a zone."""
        return [node for node in self.running.values() if node.identity.zone == zone]

    def crash(self, node: SimulatedNode) -> None:
        """End a process without a warning."""
        if node.is_listening:
            node.crash()
            self._remove(node, None)

    def start_again(self, ended: SimulatedNode) -> None:
        """Start a new process where ``ended`` was, unless there is one already."""
        if self.at_address(ended.identity) is None:
            self.start(ended.identity.zone, ended.identity.host)

    def start_missing(self) -> None:
        """Start a process wherever none runs."""
        hosts = {node.identity.host for node in self.running.values()}
        for zone, host in self._places:
            if host not in hosts:
                self.start(zone, host)

    def pick(self, choice: float) -> SimulatedNode | None:
        """Return the running process that ``choice`` (0 to 1) falls on."""
        nodes = [node for node in self.running.values() if node.state is ProcessState.RUNNING]
        return nodes[int(choice * len(nodes))] if nodes else None

    def _peers(self, host: str) -> tuple[NodeIdentity, ...]:
        """Return the identities that the settings of the process at ``host`` name as peers."""
        return tuple(
            NodeIdentity(
                node_id=NodeId(""),
                deployment=DeploymentName(self._profile.name),
                zone=ZoneName(zone),
                host=other,
                port=NODE_PORT,
            )
            for zone, other in self._places
            if other != host
        )

    def exit(self, node: SimulatedNode, action: Exit) -> None:
        """End a process after its planned stop."""
        node.exit()
        self._remove(node, action)

    def _remove(self, node: SimulatedNode, exit_action: Exit | None) -> None:
        assert node.state in (ProcessState.CRASHED, ProcessState.EXITED)
        self.running.pop(node.identity.node_id, None)
        self._ended(node, exit_action)
