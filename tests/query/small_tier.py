"""Test tier of two nodes and one sharded service on a virtual clock."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wingquay.model.answer import Answer
from wingquay.model.configuration import (
    Caller,
    Configuration,
    Deployment,
    PriorityClass,
    Replica,
    RequestKind,
    Service,
    Shard,
)
from wingquay.model.failure import Failure
from wingquay.model.identifiers import (
    CallerName,
    ClassName,
    DeploymentName,
    NodeId,
    ReplicaId,
    RequestId,
    RequestKindName,
    Revision,
    ServiceName,
    ShardId,
    SnapshotVersion,
    ZoneName,
)
from wingquay.model.key_range import FULL_KEY_RANGE, KeyRange
from wingquay.model.request import QueryRequest
from wingquay.orchestration.node_machine import NodeMachine
from wingquay.orchestration.settings import NodeMachineSettings
from wingquay.ports.backend import (
    AttemptFinished,
    BackendFailureKind,
    CancelAttempt,
    ProbeReplica,
    ReplicaProbed,
    StartAttempt,
)
from wingquay.ports.caller import AnswerCaller, CallerRequest
from wingquay.ports.internal import ConfigurationInForce, MembershipChanged
from wingquay.ports.machine import Action, Event, Schedule, Start
from wingquay.ports.peer import NodeIdentity, PeerReceived, SendToPeer
from wingquay.simulation.models.backend_messages import BackendExchange
from wingquay.simulation.models.backend_model import BackendModel
from wingquay.simulation.models.backend_settings import BackendSettings
from wingquay.simulation.models.dataset import Dataset

LATENCY_SECONDS = 0.001
DEPLOYMENT = DeploymentName("ro-nord")
SERVICE = ServiceName("coverage-lookup")
CALLER = CallerName("portal")
ZONES = (ZoneName("cluj-a"), ZoneName("dej"))


def configuration(shard_ranges: tuple[KeyRange, ...], replicas_per_shard: int) -> Configuration:
    """Return a service with two request kinds; the replicas of a shard alternate between zones."""
    shards = tuple(
        Shard(
            shard_id=ShardId(f"s{index}"),
            start=key_range.start,
            end=key_range.end,
            replicas=tuple(
                Replica(
                    replica_id=ReplicaId(f"s{index}r{copy}"),
                    zone=ZONES[copy % len(ZONES)],
                    host="127.0.0.1",
                    port=1000 + index * 10 + copy,
                )
                for copy in range(replicas_per_shard)
            ),
        )
        for index, key_range in enumerate(shard_ranges)
    )
    kinds = (
        RequestKind(name=RequestKindName("tower-sweep"), class_name=ClassName("bulk")),
        RequestKind(name=RequestKindName("outage-ping"), class_name=ClassName("gold")),
    )
    return Configuration(
        revision=Revision(1),
        deployments=(Deployment(name=DEPLOYMENT, zones=ZONES),),
        classes=(
            PriorityClass(name=ClassName("gold"), price=100, promise_seconds=0.1),
            PriorityClass(name=ClassName("bulk"), price=1, promise_seconds=1.0),
        ),
        services=(Service(name=SERVICE, deployment=DEPLOYMENT, kinds=kinds, shards=shards),),
        callers=(Caller(name=CALLER, token_sha256="0" * 64, services=(SERVICE,)),),
    )


@dataclass(order=True)
class _Due:
    at: float
    sequence: int
    run: Callable[[], None] = field(compare=False)


class SmallTier:
    """Nodes and model back ends with a constant network latency between them."""

    def __init__(
        self, settings: NodeMachineSettings, shard_count: int = 4, replicas_per_shard: int = 2
    ) -> None:
        self.now = 0.0
        self.answers: dict[str, Answer] = {}
        self.answered_at: dict[str, float] = {}
        self.answer_counts: dict[str, int] = {}
        self.dataset = Dataset()
        self.unreachable: set[str] = set()
        self.crashed_nodes: set[str] = set()
        self._due: list[_Due] = []
        self._sequence = 0
        ranges = self.dataset.shard_ranges(shard_count)
        self.configuration = configuration(ranges, replicas_per_shard)
        self.backends = self._backends()
        self.nodes = self._nodes(settings)

    def _backends(self) -> dict[str, BackendModel]:
        source = random.Random(7)
        models: dict[str, BackendModel] = {}
        for shard in self.configuration.services[0].shards:
            for replica in shard.replicas:
                settings = BackendSettings(
                    replica.replica_id, SERVICE, shard.shard_id, shard.key_range
                )
                models[replica.replica_id] = BackendModel(settings, source, self.dataset)
        return models

    def _nodes(self, settings: NodeMachineSettings) -> dict[str, NodeMachine]:
        identities = tuple(
            NodeIdentity(NodeId(f"n{index}"), DEPLOYMENT, zone, "127.0.0.1", 7000 + index)
            for index, zone in enumerate(ZONES)
        )
        nodes = {
            identity.node_id: NodeMachine(identity, settings, random.Random(index))
            for index, identity in enumerate(identities)
        }
        for node_id in nodes:
            self._start_node(node_id, nodes[node_id], identities)
        return dict(nodes)

    def _start_node(
        self, node_id: str, node: NodeMachine, identities: tuple[NodeIdentity, ...]
    ) -> None:
        events = (
            Start(),
            MembershipChanged(identities, ()),
            ConfigurationInForce(self.configuration),
        )
        for event in events:
            for action in node.handle(event, 0.0):
                self._perform(node_id, action)

    def send_request(
        self,
        node_id: str,
        request_id: str,
        kind: str = "tower-sweep",
        key_ranges: tuple[KeyRange, ...] = (FULL_KEY_RANGE,),
        deadline_seconds: float = 1.0,
    ) -> None:
        """Send a request to a node now."""
        request = QueryRequest(
            RequestId(request_id), CALLER, SERVICE, RequestKindName(kind), key_ranges,
            deadline_seconds=deadline_seconds,
        )  # fmt: skip
        self.deliver(node_id, CallerRequest(request))

    def deliver(self, node_id: str, event: Event) -> None:
        """Deliver an event to a node now, unless the node has crashed."""
        if node_id in self.crashed_nodes:
            return
        for action in self.nodes[node_id].handle(event, self.now):
            self._perform(node_id, action)

    def run_after(self, delay_seconds: float, run: Callable[[], None]) -> None:
        """Run a function after ``delay_seconds``."""
        self._sequence += 1
        heapq.heappush(self._due, _Due(self.now + delay_seconds, self._sequence, run))

    def run_until(self, until: float) -> None:
        """Advance the clock to ``until`` and run everything due."""
        while self._due and self._due[0].at <= until:
            due = heapq.heappop(self._due)
            self.now = max(self.now, due.at)
            due.run()
        self.now = until

    def _perform(self, node_id: str, action: Action) -> None:
        match action:
            case Schedule():
                delay = action.at_seconds - self.now
                self.run_after(delay, lambda: self.deliver(node_id, action.event))
            case SendToPeer():
                sender = self.nodes[node_id].identity
                received = PeerReceived(sender, action.message)
                self.run_after(LATENCY_SECONDS, lambda: self.deliver(action.to.node_id, received))
            case StartAttempt():
                self.run_after(LATENCY_SECONDS, lambda: self._arrive(node_id, action))
            case CancelAttempt():
                self.run_after(LATENCY_SECONDS, lambda: self._cancel(action))
            case ProbeReplica():
                self._probe(node_id, action)
            case AnswerCaller():
                self._on_answer(action.answer)

    def _on_answer(self, answer: Answer) -> None:
        self.answers[answer.request_id] = answer
        self.answered_at[answer.request_id] = self.now
        self.answer_counts[answer.request_id] = self.answer_counts.get(answer.request_id, 0) + 1

    def _probe(self, node_id: str, action: ProbeReplica) -> None:
        report = self.backends[action.replica_id].report(self.now)
        probed = ReplicaProbed(action.replica_id, report)
        self.run_after(2 * LATENCY_SECONDS, lambda: self.deliver(node_id, probed))

    def _arrive(self, node_id: str, action: StartAttempt) -> None:
        if action.replica_id in self.unreachable:
            failure = Failure(BackendFailureKind.CONNECT_FAILED, "refused")
            finished = AttemptFinished(action.attempt_id, action.replica_id, failure)
            self.run_after(LATENCY_SECONDS, lambda: self.deliver(node_id, finished))
            return
        backend = self.backends[action.replica_id]
        self._node_of_attempt[action.attempt_id] = node_id
        backend.arrive(BackendExchange.of_attempt(action, LATENCY_SECONDS), self.now)
        self._advance_backend(action.replica_id)

    def _cancel(self, action: CancelAttempt) -> None:
        for replica_id, backend in self.backends.items():
            backend.cancel(action.attempt_id, self.now)
            self._advance_backend(replica_id)

    def _advance_backend(self, replica_id: str) -> None:
        backend = self.backends[replica_id]
        for reply in backend.advance(self.now):
            finished = reply.to_attempt_finished(ReplicaId(replica_id))
            node_id = self._node_of_attempt[reply.attempt_id]
            self.run_after(
                LATENCY_SECONDS,
                lambda node_id=node_id, finished=finished: self.deliver(node_id, finished),  # type: ignore[misc]
            )
        next_at = backend.next_event_at()
        if next_at is not None:
            self.run_after(max(0.0, next_at - self.now), lambda: self._advance_backend(replica_id))

    _node_of_attempt: dict[str, str] = {}

    def true_rows(self, version: int) -> list[tuple[str, str]]:
        """Return all rows of the service at ``version`` as pairs of key and value."""
        rows = self.dataset.rows_for(SERVICE, FULL_KEY_RANGE, SnapshotVersion(version))
        return [(row.key, row.value) for row in rows]
