"""Changes of the configuration: an operator proposes and confirms, all nodes put it in force."""

from dataclasses import dataclass, field

from wingquay.model.failure import Failure
from wingquay.model.identifiers import ClassName, NodeId, OperatorName, RequestKindName
from wingquay.model.intent import AssignClass
from wingquay.ports.operator import (
    ConfirmPlan,
    ConfirmResult,
    OperatorMessage,
    OperatorReply,
    OperatorRequest,
    PlanResult,
    ProposePlan,
)
from wingquay.simulation.capacity.cluster import CapacityCluster
from wingquay.simulation.capacity.layout import CLASSES, KIND_CLASSES
from wingquay.simulation.network import CLIENTS
from wingquay.simulation.simulated_node import SimulatedNode

UNIX_SECONDS_AT_START = 1.75e9
CHANGE_LIMIT_SECONDS = 60.0
OPERATOR = OperatorName("operator")


@dataclass(slots=True)
class ChangeTimes:
    """What changes brought.

    Attributes
    ----------
    in_force_seconds
        From an operator's confirm to each node's putting it in force: a value for each node and
        change.
    everywhere_seconds
        The last of these, for each change.
    not_landed
        Changes that were not confirmed, or not in force everywhere in time.
    """

    in_force_seconds: list[float] = field(default_factory=list)
    everywhere_seconds: list[float] = field(default_factory=list)
    not_landed: int = 0


class Operator:
    """Makes one change after another, each at a random node."""

    def __init__(self, cluster: CapacityCluster) -> None:
        self.times = ChangeTimes()
        self._cluster = cluster
        self._number = 0
        self._confirm_sent_at = 0.0
        self._landed_as: int | None = None
        self._node: SimulatedNode | None = None
        self._arrivals: dict[NodeId, tuple[int, float]] = {}
        cluster.on_reply = self._receive
        cluster.on_revised = self._note_revision

    def change(self) -> None:
        """Make a change, and wait until it is in force everywhere."""
        cluster = self._cluster
        self._number += 1
        self._landed_as = None
        self._arrivals.clear()
        self._node = cluster.random.choice(list(cluster.fleet.running.values()))
        self._send(ProposePlan(intents=(self._intent(),)))
        waited = cluster.run_until(self._is_everywhere, CHANGE_LIMIT_SECONDS)
        if waited is None:
            self.times.not_landed += 1
            return
        seconds = [at - self._confirm_sent_at for _, at in self._arrivals.values()]
        self.times.in_force_seconds += seconds
        self.times.everywhere_seconds.append(max(seconds))

    def _intent(self) -> AssignClass:
        service = self._cluster.configuration.services[0]
        kind = KIND_CLASSES[0][0]
        class_name = CLASSES[self._number % len(CLASSES)][0]
        return AssignClass(
            deployment=service.deployment,
            service=service.name,
            kind=RequestKindName(kind),
            class_name=ClassName(class_name),
        )

    def _send(self, command: OperatorMessage) -> None:
        assert self._node is not None
        clock = self._cluster.clock
        exchange_id = f"exchange-{self._number}-{type(command).__name__}"
        unix_seconds = UNIX_SECONDS_AT_START + clock.now
        request = OperatorRequest(exchange_id, OPERATOR, command, unix_seconds)
        self._cluster.network.send(CLIENTS, self._node.identity.zone, self._node.deliver, request)

    def _receive(self, node: SimulatedNode, reply: OperatorReply) -> None:
        zone = node.identity.zone
        self._cluster.network.send(zone, CLIENTS, self._take, reply)

    def _take(self, reply: OperatorReply) -> None:
        result = reply.result
        if isinstance(result, PlanResult):
            self._confirm_sent_at = self._cluster.clock.now
            self._send(ConfirmPlan(plan_id=result.plan.plan_id))
        elif isinstance(result, ConfirmResult):
            self._landed_as = result.revision
        elif isinstance(result, Failure):
            self._landed_as = None

    def _note_revision(self, node: SimulatedNode) -> None:
        arrival = (node.machine.revision, self._cluster.clock.now)
        self._arrivals.setdefault(node.identity.node_id, arrival)

    def _is_everywhere(self) -> bool:
        landed_as = self._landed_as
        return landed_as is not None and self._cluster.lowest_revision() >= landed_as
