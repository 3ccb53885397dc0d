"""One hollow node of a configuration cluster, and its store traffic under the cluster's names."""

from collections import Counter, deque
from dataclasses import dataclass, field, replace

from ..configuration.configuration_machine import ConfigurationMachine
from ..model.failure import Failure
from ..model.identifiers import Revision
from ..ports.machine import Event
from ..ports.peer import NodeIdentity
from ..ports.store import StoreFailureKind, StoreResponse, WatchBroken, WatchChanged
from .models.store_operations import StoreOutput


@dataclass(slots=True)
class HollowNode:
    """One start of a node."""

    identity: NodeIdentity
    machine: ConfigurationMachine
    alive: bool = True
    paused_until: float = 0.0
    pauses: list[tuple[float, float]] = field(default_factory=list)
    """When it stood still: from, until."""
    waiting: deque[Event] = field(default_factory=deque)
    """Events that came while it was paused."""
    revisions: list[tuple[float, Revision, str]] = field(default_factory=list)
    """When which revision, by which confirm, came into force."""
    ready: bool = False
    store_cut: bool = False
    logs: Counter[str] = field(default_factory=Counter)


def is_rate_limited(output: StoreOutput) -> bool:
    """Whether the store refused an operation for its rate limit."""
    if not isinstance(output, StoreResponse) or not isinstance(output.result, Failure):
        return False
    return output.result.kind is StoreFailureKind.RATE_LIMITED


def addressed(output: StoreOutput) -> tuple[str, Event]:
    """Return which node an output is for, and the event as that node knows it."""
    if isinstance(output, StoreResponse):
        owner, _, operation_id = output.operation_id.partition("/")
        return owner, replace(output, operation_id=operation_id)
    assert isinstance(output, WatchChanged | WatchBroken)
    owner, _, watch_id = output.watch_id.partition("/")
    return owner, replace(output, watch_id=watch_id)
