"""All faults by name."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..simulation_settings import FaultChoice
from .backend_faults import BACKEND_FAULTS
from .fault import Fault, FaultContext
from .index_faults import INDEX_FAULTS
from .network_faults import NETWORK_FAULTS
from .node_faults import NODE_FAULTS
from .store_faults import STORE_FAULTS

if TYPE_CHECKING:
    from ..simulation import Simulation

FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (*BACKEND_FAULTS, *INDEX_FAULTS, *STORE_FAULTS, *NETWORK_FAULTS, *NODE_FAULTS)
}


def install_faults(simulation: "Simulation", choices: Sequence[FaultChoice]) -> None:
    """Plan the happenings of every chosen fault."""
    for choice in choices:
        random_source = simulation.streams.stream(f"fault/{choice.name}")
        FAULTS[choice.name].install(FaultContext(simulation, random_source, choice.argument))
