"""A simulated cluster with a confirmed configuration, and a check of its revisions."""

from pydantic import TypeAdapter

from tests.configuration.examples import CONFIGURATION
from wingquay.model.failure import Failure
from wingquay.model.intent import Intent
from wingquay.ports.operator import (
    ConfirmPlan,
    ConfirmResult,
    OperatorFailureKind,
    OperatorMessage,
    PlanResult,
    ProposePlan,
)
from wingquay.simulation.configuration_cluster import ConfigurationCluster
from wingquay.simulation.hollow_node import HollowNode
from wingquay.simulation.models.store_model import StoreSettings

SIZES = {"cluj-a": 3, "cluj-b": 3}


def initial_intents() -> tuple[Intent, ...]:
    """Return the intents that create ``CONFIGURATION`` from the empty configuration."""
    raw = CONFIGURATION.model_dump(mode="json")
    intents = [
        *({"intent": "set_deployment", "deployment": entry} for entry in raw["deployments"]),
        *({"intent": "set_class", **entry} for entry in raw["classes"]),
        *({"intent": "set_service", "service": entry} for entry in raw["services"]),
        *({"intent": "set_caller", "caller": entry} for entry in raw["callers"]),
    ]
    return TypeAdapter(tuple[Intent, ...]).validate_python(intents)


def propose_plan(
    cluster: ConfigurationCluster, node: HollowNode, *intents: Intent, operator: str = "ana"
) -> str:
    """Propose intents, assert that they make a plan, and return its id."""
    result = cluster.ask(node, ProposePlan(intents=intents), operator)
    assert isinstance(result, PlanResult), result
    return result.plan.plan_id


def confirm(cluster: ConfigurationCluster, node: HollowNode, plan: str) -> ConfirmResult:
    """Confirm a plan, assert that it lands, and return the result."""
    result = cluster.ask(node, ConfirmPlan(plan_id=plan))
    assert isinstance(result, ConfirmResult), result
    return result


def refused(
    cluster: ConfigurationCluster, node: HollowNode, command: OperatorMessage
) -> Failure[OperatorFailureKind]:
    """Send a command, assert that it is refused, and return the failure."""
    result = cluster.ask(node, command)
    assert isinstance(result, Failure), result
    return result


def configured_cluster(
    seed: int = 1,
    sizes: dict[str, int] | None = None,
    settings: StoreSettings | None = None,
) -> ConfigurationCluster:
    """Return a cluster with revision 1 in force on all nodes and all watcher assignments held."""
    cluster = ConfigurationCluster(seed, sizes or SIZES, settings)
    cluster.run(5.0)
    first = cluster.nodes[0]
    confirm(cluster, first, propose_plan(cluster, first, *initial_intents()))
    assert cluster.run_until(lambda: cluster.lowest_revision() == 1, 10.0)
    cluster.run(20.0)
    return cluster


def check_history(cluster: ConfigurationCluster) -> None:
    """Check that no revision decreased or has two documents, and that no plan landed twice."""
    confirms: dict[int, str] = {}
    for node in cluster.all_starts:
        revisions = [revision for _, revision, _ in node.revisions]
        assert revisions == sorted(set(revisions)), f"revision decreased: {revisions}"
        for _, revision, confirm_id in node.revisions:
            assert confirms.setdefault(revision, confirm_id) == confirm_id, (
                "two documents of the same revision"
            )
    landed = list(confirms.values())
    assert len(landed) == len(set(landed)), "a plan took effect twice"
