"""The platform's key-value service on the virtual clock, reached over the simulated network."""

from collections.abc import Callable
from dataclasses import replace

from ..configuration.keys import CURRENT_KEY
from ..model.configuration import Configuration
from ..model.failure import Failure
from ..model.identifiers import NodeId, Revision
from ..ports.machine import Event
from ..ports.store import (
    CompareAndSwap,
    Read,
    StartWatch,
    StopWatch,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from .models.store_model import StoreModel
from .models.store_operations import StoreOutput, prefix_span, span_of_read
from .network import PLATFORM, Network
from .simulated_node import SimulatedNode
from .virtual_clock import VirtualClock

WATCH_SILENCE_SECONDS = 2.0
"""After so long without a sign of the store, a watch's connection is given up."""

Confirmed = Callable[[Revision, str, float], None]


class SimulatedStore:
    """Performs the store actions of all nodes.

    Parameters
    ----------
    confirmed
        Told of every revision that the store holds as the current one, once it does.
    """

    def __init__(
        self,
        model: StoreModel,
        network: Network,
        clock: VirtualClock,
        find_node: Callable[[NodeId], SimulatedNode | None],
        confirmed: Confirmed,
    ) -> None:
        self.model = model
        self.requests = 0
        self._network = network
        self._clock = clock
        self._find_node = find_node
        self._confirmed = confirmed
        self._pending: dict[str, float] = {}
        self._watches: dict[str, NodeId] = {}
        self._wake_at: float | None = None
        self._seen_store_revision = 0
        self._current_modified_at = 0

    def write_initial(self, configuration: Configuration) -> None:
        """Let the store hold ``configuration`` from the start."""
        body = configuration.model_dump_json().encode()
        self.model.submit("initial", CompareAndSwap(CURRENT_KEY, 0, body), self._clock.now)
        self._advance()

    def request(self, node: SimulatedNode, action: StoreRequest) -> None:
        """Perform an operation; the node gets exactly one response."""
        self.requests += 1
        now = self._clock.now
        zone = node.identity.zone
        operation_id = f"{node.identity.node_id}/{action.operation_id}"
        if not self._network.reaches(zone, PLATFORM):
            failure = Failure(StoreFailureKind.UNREACHABLE, "cut off")
            response = StoreResponse(action.operation_id, failure)
            self._clock.after(action.timeout_seconds, node.deliver, response)
            return
        self._pending[operation_id] = now + action.timeout_seconds
        seconds = self._network.one_way_seconds(zone, PLATFORM)
        self._clock.after(seconds, self._submit, operation_id, action)

    def start_watch(self, node: SimulatedNode, action: StartWatch) -> None:
        """Begin a watch."""
        self.requests += 1
        zone = node.identity.zone
        if not self._network.reaches(zone, PLATFORM):
            broken = WatchBroken(action.watch_id, "cut off")
            self._clock.after(WATCH_SILENCE_SECONDS, node.deliver, broken)
            return
        watch_id = f"{node.identity.node_id}/{action.watch_id}"
        self._watches[watch_id] = node.identity.node_id
        seconds = self._network.one_way_seconds(zone, PLATFORM)
        self._clock.after(seconds, self._open_watch, watch_id, action)

    def stop_watch(self, node: SimulatedNode, action: StopWatch) -> None:
        """End a watch."""
        watch_id = f"{node.identity.node_id}/{action.watch_id}"
        self._watches.pop(watch_id, None)
        self.model.stop_watch(watch_id, self._clock.now)
        self._advance()

    def node_lost(self, node_id: NodeId) -> None:
        """End the watches of a process that ended."""
        for watch_id in [entry for entry, owner in self._watches.items() if owner == node_id]:
            del self._watches[watch_id]
            self.model.stop_watch(watch_id, self._clock.now)
        self._advance()

    def wake(self) -> None:
        """Look again at what the model has to do; used after its state was changed."""
        self._advance()

    def _submit(self, operation_id: str, action: StoreRequest) -> None:
        self.model.submit(operation_id, action.operation, self._clock.now, action.timeout_seconds)
        self._advance()

    def _open_watch(self, watch_id: str, action: StartWatch) -> None:
        if watch_id not in self._watches:
            return
        span = prefix_span(action.key)
        self.model.start_watch(watch_id, span, action.from_store_revision, self._clock.now)
        self._advance()

    def _advance(self) -> None:
        outputs = self.model.advance(self._clock.now)
        self._look_at_current()
        for output in outputs:
            self._hand_out(output)
        next_at = self.model.next_event_at()
        if next_at is not None and (self._wake_at is None or next_at < self._wake_at):
            self._wake_at = next_at
            self._clock.at(next_at, self._on_wake, next_at)

    def _on_wake(self, planned_at: float) -> None:
        if self._wake_at == planned_at:
            self._wake_at = None
            self._advance()

    def _look_at_current(self) -> None:
        """Notice a confirmed revision at the moment in which the store holds it."""
        if self.model.state.revision == self._seen_store_revision:
            return
        self._seen_store_revision = self.model.state.revision
        for entry in self.model.state.read(span_of_read(Read(CURRENT_KEY))):
            if entry.modified_at != self._current_modified_at:
                self._current_modified_at = entry.modified_at
                configuration = Configuration.model_validate_json(entry.value)
                self._confirmed(configuration.revision, configuration.confirm_id, self._clock.now)

    def _hand_out(self, output: StoreOutput) -> None:
        if isinstance(output, StoreResponse):
            self._respond(output)
        elif isinstance(output, WatchChanged | WatchBroken):
            self._notify(output)

    def _respond(self, response: StoreResponse) -> None:
        owner, _, operation_id = response.operation_id.partition("/")
        times_out_at = self._pending.pop(response.operation_id, None)
        node = self._find_node(NodeId(owner))
        if node is None or times_out_at is None:
            return
        zone = node.identity.zone
        told = replace(response, operation_id=operation_id)
        if not self._network.send(PLATFORM, zone, node.deliver, told):
            failure = Failure(StoreFailureKind.LOST_REPLY, "no reply in time")
            lost = StoreResponse(operation_id, failure)
            self._clock.at(times_out_at, node.deliver, lost)

    def _notify(self, notice: WatchChanged | WatchBroken) -> None:
        owner, _, watch_id = notice.watch_id.partition("/")
        node = self._find_node(NodeId(owner))
        if node is None or notice.watch_id not in self._watches:
            return
        told: Event = replace(notice, watch_id=watch_id)
        if isinstance(notice, WatchBroken):
            self._watches.pop(notice.watch_id, None)
        if not self._network.send(PLATFORM, node.identity.zone, node.deliver, told):
            self._break_watch(node, notice.watch_id)

    def _break_watch(self, node: SimulatedNode, full_watch_id: str) -> None:
        self._watches.pop(full_watch_id, None)
        self.model.stop_watch(full_watch_id, self._clock.now)
        _, _, watch_id = full_watch_id.partition("/")
        broken = WatchBroken(watch_id, "no sign of the store")
        self._clock.after(WATCH_SILENCE_SECONDS, node.deliver, broken)
