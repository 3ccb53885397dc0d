"""Many configuration machines on a virtual clock, with a store, a network and their faults.

The nodes are hollow: they run the configuration machine alone. Membership is given, and its
gossip is played as a random probe a second between nodes that can reach each other, which is
what tells nodes of newer revisions when announcements were lost.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable

from ..adapters.peer_codec import encode
from ..configuration.configuration_machine import ConfigurationMachine
from ..configuration.keys import CURRENT_KEY
from ..model.failure import Failure
from ..model.identifiers import (
    DeploymentName,
    NodeId,
    OperatorName,
    Revision,
    ZoneName,
)
from ..ports.caller import SetReady
from ..ports.internal import (
    ConfigurationInForce,
    LeavingStarted,
    MembershipChanged,
    NewerRevisionReported,
    Notify,
)
from ..ports.machine import Action, Event, Log, Schedule, Start
from ..ports.operator import (
    OperatorFailureKind,
    OperatorMessage,
    OperatorReply,
    OperatorRequest,
)
from ..ports.peer import (
    ConfigurationBody,
    NodeIdentity,
    PeerLinkBroken,
    PeerReceived,
    SendToPeer,
)
from ..ports.store import (
    StartWatch,
    StopWatch,
    StoreFailureKind,
    StoreRequest,
    StoreResponse,
    WatchBroken,
    WatchChanged,
)
from .hollow_node import HollowNode, addressed, is_rate_limited
from .models.store_model import StoreModel, StoreSettings
from .models.store_operations import prefix_span
from .models.store_state import KeySpan

PEER_DELAY_SECONDS = 0.001
"""One way between zones and inside them (brief, "Sizes of today")."""

PROBE_SECONDS = 1.0
"""Mean pause between the probes that a node sends."""

LINK_FAILURE_SECONDS = 0.2
"""How long a node takes to notice that a peer cannot be reached."""

_CURRENT_SPAN = KeySpan(CURRENT_KEY.encode())

OperatorOutcome = OperatorMessage | Failure[OperatorFailureKind]


class ConfigurationCluster:
    """A fleet of hollow nodes and one store, deterministic for a seed.

    Parameters
    ----------
    zone_sizes
        Nodes in each zone.
    """

    def __init__(
        self,
        seed: int,
        zone_sizes: dict[str, int],
        store_settings: StoreSettings | None = None,
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.store = StoreModel(store_settings or StoreSettings(), random.Random(seed + 1))
        self.nodes: list[HollowNode] = []
        self.all_starts: list[HollowNode] = []
        """Every start of every node, ended ones included."""
        self.replies: dict[str, OperatorOutcome] = {}
        self.reply_times: dict[str, float] = {}
        self.cut_zones: set[frozenset[ZoneName]] = set()
        self.message_loss = 0.0
        self.probes_on = True
        """Whether membership's probes tell nodes of newer revisions."""
        self.counts: Counter[str] = Counter()
        self.landings: list[float] = []
        """When each revision landed in the store, the first at index 0."""
        self._landed_modified_at = 0
        self._store_requests_by_second: Counter[int] = Counter()
        self._by_id: dict[NodeId, HollowNode] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._exchanges = 0
        for zone, size in zone_sizes.items():
            for _ in range(size):
                self._add_node(ZoneName(zone))
        self._tell_membership()

    # -- what tests and benchmarks do ----------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let ``seconds`` of virtual time pass."""
        until = self.now + seconds
        while True:
            queued_at = self._queue[0][0] if self._queue else until
            store_at = self.store.next_event_at()
            next_at = max(self.now, min(queued_at, until if store_at is None else store_at))
            if next_at >= until:
                break
            self.now = next_at
            self._deliver_store_outputs()
            if self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
        self.now = until

    def run_until(
        self,
        condition: Callable[[], bool],
        limit_seconds: float,
        step_seconds: float = 0.01,
    ) -> bool:
        """Let time pass until ``condition`` holds, at most ``limit_seconds``; return whether.

        ``condition`` is looked at every ``step_seconds``.
        """
        until = self.now + limit_seconds
        while not condition() and self.now < until:
            self.run(min(step_seconds, until - self.now))
        return condition()

    def command(self, node: HollowNode, command: OperatorMessage, operator: str = "ana") -> str:
        """Send an operator's command to a node; the reply comes into ``replies``."""
        self._exchanges += 1
        exchange_id = f"exchange-{self._exchanges}"
        event = OperatorRequest(exchange_id, OperatorName(operator), command, 1e9 + self.now)
        self._give(node, event)
        return exchange_id

    def ask(
        self,
        node: HollowNode,
        command: OperatorMessage,
        operator: str = "ana",
        limit_seconds: float = 30.0,
    ) -> OperatorOutcome:
        """Send a command and let time pass until its reply is there."""
        exchange_id = self.command(node, command, operator)
        answered = self.run_until(lambda: exchange_id in self.replies, limit_seconds)
        assert answered, f"no reply to {command!r}"
        return self.replies[exchange_id]

    def restart(self, node: HollowNode) -> HollowNode:
        """End a node at once and start another in its place, with a new id and no memory."""
        node.alive = False
        self.nodes.remove(node)
        fresh = self._add_node(node.identity.zone)
        self._tell_membership()
        return fresh

    def stop(self, node: HollowNode) -> None:
        """Begin the planned stop of a node."""
        self._give(node, LeavingStarted())

    def pause(self, node: HollowNode, seconds: float) -> None:
        """Let a node stand still; what reaches it meanwhile waits."""
        node.paused_until = max(node.paused_until, self.now + seconds)
        node.pauses.append((self.now, node.paused_until))
        self._at(node.paused_until, lambda: self._wake(node))

    def peer_bytes(self) -> int:
        """Return the bytes that nodes sent to or received from each other, both ends counted."""
        return self.counts["sent_bytes"] + self.counts["received_bytes"]

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call ``call`` once ``seconds`` of virtual time have passed."""
        self._at(self.now + seconds, call)

    def store_request_count(self) -> int:
        """Return how many requests reached the store, or tried to."""
        return sum(self._store_requests_by_second.values())

    def peak_store_requests(self) -> int:
        """Return the requests to the store in the second that had the most."""
        return max(self._store_requests_by_second.values(), default=0)

    def forget_store_requests(self) -> None:
        """Count the requests to the store anew."""
        self._store_requests_by_second.clear()

    def cut(self, left: str, right: str) -> None:
        """Let no message pass between two zones."""
        self.cut_zones.add(frozenset((ZoneName(left), ZoneName(right))))

    def heal(self) -> None:
        """Let messages pass between all zones again."""
        self.cut_zones.clear()

    def lowest_revision(self) -> Revision:
        """Return the smallest revision in force on any node."""
        return min(node.machine.revision for node in self.nodes)

    # -- nodes ---------------------------------------------------------------------------------

    def _add_node(self, zone: ZoneName) -> HollowNode:
        number = len(self.all_starts)
        identity = NodeIdentity(
            NodeId(f"node-{number:04d}"), DeploymentName("ro-nord"), zone, "127.0.0.1", 1 + number
        )
        machine = ConfigurationMachine(identity, random.Random(self.random.getrandbits(64)))
        node = HollowNode(identity, machine)
        self.nodes.append(node)
        self._by_id[identity.node_id] = node
        self.all_starts.append(node)
        self._give(node, Start())
        self._at(self.now + PROBE_SECONDS * self.random.random(), lambda: self._probe(node))
        return node

    def _tell_membership(self) -> None:
        available = tuple(node.identity for node in self.nodes)
        for node in self.nodes:
            self._give(node, MembershipChanged(available, ()))

    def _give(self, node: HollowNode, event: Event) -> None:
        if not node.alive:
            return
        if self.now < node.paused_until:
            node.waiting.append(event)
            return
        for action in node.machine.handle(event, self.now):
            self._perform(node, action)

    def _wake(self, node: HollowNode) -> None:
        while node.waiting and self.now >= node.paused_until:
            self._give(node, node.waiting.popleft())

    def _probe(self, node: HollowNode) -> None:
        """Exchange revisions with a random node, as a membership probe does."""
        if not node.alive:
            return
        pause = PROBE_SECONDS * self.random.uniform(0.9, 1.1)
        self._at(self.now + pause, lambda: self._probe(node))
        other = self.random.choice(self.nodes)
        standing_still = not self.probes_on or self.now < node.paused_until
        if other is node or standing_still or not self._passes(node, other):
            return
        for hearer, speaker in ((node, other), (other, node)):
            if speaker.machine.revision > hearer.machine.revision:
                heard = NewerRevisionReported(speaker.identity, speaker.machine.revision)
                self._give(hearer, heard)

    # -- actions -------------------------------------------------------------------------------

    def _perform(self, node: HollowNode, action: Action) -> None:
        match action:
            case Schedule():
                self._at(max(self.now, action.at_seconds), lambda: self._give(node, action.event))
            case SendToPeer():
                self._send(node, action)
            case StoreRequest() | StartWatch() | StopWatch():
                self._ask_store(node, action)
            case Notify(event=ConfigurationInForce(configuration=configuration)):
                entry = (self.now, configuration.revision, configuration.confirm_id)
                node.revisions.append(entry)
            case OperatorReply():
                assert action.exchange_id not in self.replies, "a second reply"
                self.replies[action.exchange_id] = action.result
                self.reply_times[action.exchange_id] = self.now
            case SetReady():
                node.ready = action.ready
            case Log():
                node.logs[action.message] += 1

    def _send(self, node: HollowNode, action: SendToPeer) -> None:
        target = self._by_id.get(action.to.node_id)
        size = len(encode(action.message, node.identity))
        self.counts["sent_bytes"] += size
        kind = type(action.message).__name__
        body = isinstance(action.message, ConfigurationBody) and bool(action.message.body)
        self.counts["bodies" if body else kind] += 1
        if target is None or not self._passes(node, target):
            broken = PeerLinkBroken(action.to.node_id, "unreachable")
            self._at(self.now + LINK_FAILURE_SECONDS, lambda: self._give(node, broken))
            return
        self.counts["received_bytes"] += size
        delay = PEER_DELAY_SECONDS * self.random.uniform(1.0, 1.5)
        event = PeerReceived(node.identity, action.message)
        self._at(self.now + delay, lambda: self._give(target, event))

    def _passes(self, sender: HollowNode, receiver: HollowNode) -> bool:
        zones = frozenset((sender.identity.zone, receiver.identity.zone))
        if zones in self.cut_zones or not receiver.alive:
            return False
        return self.random.random() >= self.message_loss

    def _ask_store(self, node: HollowNode, action: StoreRequest | StartWatch | StopWatch) -> None:
        owner = f"{node.identity.node_id}/"
        if isinstance(action, StopWatch):
            self.store.stop_watch(owner + action.watch_id, self.now)
            return
        self._store_requests_by_second[int(self.now)] += 1
        if isinstance(action, StartWatch):
            if node.store_cut:
                broken = WatchBroken(action.watch_id, "cut")
                self._at(self.now, lambda: self._give(node, broken))
                return
            span = prefix_span(action.key)
            watch_id = owner + action.watch_id
            self.store.start_watch(watch_id, span, action.from_store_revision, self.now)
            return
        self.counts[f"store_{type(action.operation).__name__}"] += 1
        if node.store_cut:
            failure = Failure(StoreFailureKind.UNREACHABLE, "cut")
            response = StoreResponse(action.operation_id, failure)
            self._at(self.now, lambda: self._give(node, response))
            return
        operation_id = owner + action.operation_id
        self.store.submit(operation_id, action.operation, self.now, action.timeout_seconds)

    def _deliver_store_outputs(self) -> None:
        outputs = self.store.advance(self.now)
        self._note_landing()
        for output in outputs:
            owner, event = addressed(output)
            if is_rate_limited(output):
                self.counts["store_rate_limited"] += 1
            node = self._by_id.get(NodeId(owner))
            if node is not None and not (node.store_cut and isinstance(event, WatchChanged)):
                self._give(node, event)

    def _note_landing(self) -> None:
        for entry in self.store.state.read(_CURRENT_SPAN):
            if entry.modified_at != self._landed_modified_at:
                self._landed_modified_at = entry.modified_at
                self.landings.append(self.now)

    def _at(self, at_seconds: float, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at_seconds, self._sequence, call))
