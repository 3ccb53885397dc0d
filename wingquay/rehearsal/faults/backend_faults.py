"""Faults of back ends."""

from collections.abc import Sequence

from wingquay.rehearsal.faults.fault import Fault, FaultContext
from wingquay.rehearsal.simulation_settings import FaultChoice

STRAGGLERS = "stragglers"
DEFAULT_STRAGGLER_SHARE = 0.01


def straggler_share(faults: Sequence[FaultChoice]) -> float:
    """Return the share of executions that straggle under ``faults``."""
    for fault in faults:
        if fault.name == STRAGGLERS:
            return DEFAULT_STRAGGLER_SHARE if fault.argument is None else fault.argument
    return 0.0


def _stragglers(context: FaultContext) -> None:
    """Stragglers are part of every execution's fate (``straggler_share``)."""
    del context


BACKEND_FAULTS = (
    Fault(
        STRAGGLERS,
        "a share of sub-requests (0.01 if not given) is 10 to 50 times slower",
        _stragglers,
        takes_share=True,
    ),
)
