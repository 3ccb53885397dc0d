"""A founded fleet of hollow nodes, and what every test of it must hold."""

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


def founding_intents() -> tuple[Intent, ...]:
    """Return the intents that lead from nothing to ``CONFIGURATION``."""
    raw = CONFIGURATION.model_dump(mode="json")
    intents = [
        *({"intent": "set_deployment", "deployment": entry} for entry in raw["deployments"]),
        *({"intent": "set_class", **entry} for entry in raw["classes"]),
        *({"intent": "set_service", "service": entry} for entry in raw["services"]),
        *({"intent": "set_caller", "caller": entry} for entry in raw["callers"]),
    ]
    return TypeAdapter(tuple[Intent, ...]).validate_python(intents)


def plan_id(
    cluster: ConfigurationCluster, node: HollowNode, *intents: Intent, operator: str = "ana"
) -> str:
    """Propose intents that must make a plan."""
    result = cluster.ask(node, ProposePlan(intents=intents), operator)
    assert isinstance(result, PlanResult), result
    return result.plan.plan_id


def confirm(cluster: ConfigurationCluster, node: HollowNode, plan: str) -> ConfirmResult:
    """Confirm a plan that must land."""
    result = cluster.ask(node, ConfirmPlan(plan_id=plan))
    assert isinstance(result, ConfirmResult), result
    return result


def refused(
    cluster: ConfigurationCluster, node: HollowNode, command: OperatorMessage
) -> Failure[OperatorFailureKind]:
    """Send a command that must be refused."""
    result = cluster.ask(node, command)
    assert isinstance(result, Failure), result
    return result


def configured_cluster(
    seed: int = 1,
    sizes: dict[str, int] | None = None,
    settings: StoreSettings | None = None,
) -> ConfigurationCluster:
    """Return a fleet in which revision 1 is in force everywhere and the assignments are taken."""
    cluster = ConfigurationCluster(seed, sizes or SIZES, settings)
    cluster.run(5.0)
    first = cluster.nodes[0]
    confirm(cluster, first, plan_id(cluster, first, *founding_intents()))
    assert cluster.run_until(lambda: cluster.lowest_revision() == 1, 10.0)
    cluster.run(20.0)
    return cluster


def check_history(cluster: ConfigurationCluster) -> None:
    """Check what must hold whatever happened: no node went back, no revision is ambiguous."""
    confirms: dict[int, str] = {}
    for node in cluster.all_starts:
        revisions = [revision for _, revision, _ in node.revisions]
        assert revisions == sorted(set(revisions)), f"went back: {revisions}"
        for _, revision, confirm_id in node.revisions:
            assert confirms.setdefault(revision, confirm_id) == confirm_id, "two of one revision"
    landed = list(confirms.values())
    assert len(landed) == len(set(landed)), "a plan took effect twice"
