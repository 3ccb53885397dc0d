"""All faults by name."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from wingquay.rehearsal.faults.backend_faults import BACKEND_FAULTS
from wingquay.rehearsal.faults.fault import Fault, FaultContext
from wingquay.rehearsal.faults.index_faults import INDEX_FAULTS
from wingquay.rehearsal.faults.network_faults import NETWORK_FAULTS
from wingquay.rehearsal.faults.node_faults import NODE_FAULTS
from wingquay.rehearsal.faults.store_faults import STORE_FAULTS
from wingquay.rehearsal.simulation_settings import FaultChoice

if TYPE_CHECKING:
    from wingquay.rehearsal.simulation import Simulation

FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (*BACKEND_FAULTS, *INDEX_FAULTS, *STORE_FAULTS, *NETWORK_FAULTS, *NODE_FAULTS)
}


def install_faults(simulation: "Simulation", choices: Sequence[FaultChoice]) -> None:
    """Plan the happenings of every chosen fault."""
    for choice in choices:
        random_source = simulation.streams.stream(f"fault/{choice.name}")
        FAULTS[choice.name].install(FaultContext(simulation, random_source, choice.argument))
