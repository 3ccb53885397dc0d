"""All faults by name."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from wingquay.simulation.faults.backend_faults import BACKEND_FAULTS
from wingquay.simulation.faults.fault import Fault, FaultContext
from wingquay.simulation.faults.index_faults import INDEX_FAULTS
from wingquay.simulation.faults.network_faults import NETWORK_FAULTS
from wingquay.simulation.faults.node_faults import NODE_FAULTS
from wingquay.simulation.faults.store_faults import STORE_FAULTS
from wingquay.simulation.simulation_settings import FaultChoice

if TYPE_CHECKING:
    from wingquay.simulation.simulation import Simulation

FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (*BACKEND_FAULTS, *INDEX_FAULTS, *STORE_FAULTS, *NETWORK_FAULTS, *NODE_FAULTS)
}


def install_faults(simulation: "Simulation", choices: Sequence[FaultChoice]) -> None:
    """Plan the happenings of every chosen fault."""
    for choice in choices:
        random_source = simulation.streams.stream(f"fault/{choice.name}")
        FAULTS[choice.name].install(FaultContext(simulation, random_source, choice.argument))
