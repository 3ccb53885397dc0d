"""The platform's list of machines on the virtual clock, reached over the simulated network."""

from ..model.failure import Failure
from ..ports.machine_directory import (
    DirectoryFailureKind,
    MachineListRead,
    ReadMachineList,
)
from .models.machine_list_model import MachineListModel
from .network import PLATFORM, Network
from .simulated_node import SimulatedNode
from .virtual_clock import VirtualClock

READ_TIMEOUT_SECONDS = 1.0


class SimulatedMachineList:
    """Performs ``ReadMachineList`` for all nodes."""

    def __init__(self, model: MachineListModel, network: Network, clock: VirtualClock) -> None:
        self.model = model
        self._network = network
        self._clock = clock

    def read(self, node: SimulatedNode, action: ReadMachineList) -> None:
        """Read the list for a node."""
        del action
        zone = node.identity.zone
        if not self._network.send(zone, PLATFORM, self._answer, node):
            self._fail(node)

    def _answer(self, node: SimulatedNode) -> None:
        event = MachineListRead(self.model.read(self._clock.now))
        if not self._network.send(PLATFORM, node.identity.zone, node.deliver, event):
            self._fail(node)

    def _fail(self, node: SimulatedNode) -> None:
        failure = Failure(DirectoryFailureKind.UNREACHABLE, "no answer")
        self._clock.after(READ_TIMEOUT_SECONDS, node.deliver, MachineListRead(failure))
