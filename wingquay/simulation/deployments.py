"""The two deployments of today, at their sizes, and reading others from files.

Sizes, zones and latencies are the users'; service times, promises and shares of the load are
chosen here, since they were not told (a sub-request of a sharded lookup takes about 5 ms).
"""

import tomllib
from pathlib import Path

from pydantic import ValidationError

from ..model.configuration import CoveragePreference
from ..model.failure import Failure
from .deployment_profile import (
    ClassProfile,
    DeploymentProfile,
    KindProfile,
    ServiceProfile,
)
from .simulation_failure import SimulationFailureKind

RO_NORD = DeploymentProfile(
    name="ro-nord",
    zones=("cluj-a", "cluj-b", "bistrita", "dej"),
    client_seconds=0.001,
    classes=(
        ClassProfile(name="urgent", price=100, promise_seconds=0.05),
        ClassProfile(name="on-call", price=30, promise_seconds=0.15),
        ClassProfile(name="standard", price=10, promise_seconds=0.4),
        ClassProfile(name="planning", price=1, promise_seconds=1.0),
    ),
    services=(
        ServiceProfile(
            name="coverage-lookup",
            shards=8,
            replicas_per_shard=2,
            slots=5,
            connection_limit=70,
            service_seconds=0.005,
            kinds=(
                KindProfile(name="tower-sweep", class_name="planning", load_share=0.5),
                KindProfile(
                    name="outage-ping",
                    class_name="urgent",
                    load_share=0.5,
                    whole_range=False,
                    coverage_preference=CoveragePreference.LATENCY_FIRST,
                    deadline_seconds=1.0,
                ),
            ),
        ),
        ServiceProfile(
            name="billing-view",
            shards=12,
            replicas_per_shard=2,
            slots=5,
            connection_limit=70,
            service_seconds=0.02,
            kinds=(KindProfile(name="billing", class_name="standard"),),
        ),
        ServiceProfile(
            name="support-desk",
            shards=1,
            replicas_per_shard=10,
            slots=2,
            connection_limit=110,
            service_seconds=0.02,
            kinds=(KindProfile(name="ticket-fetch", class_name="on-call", whole_range=False),),
        ),
        ServiceProfile(
            name="install-planner",
            shards=1,
            replicas_per_shard=5,
            slots=2,
            connection_limit=110,
            service_seconds=0.05,
            kinds=(KindProfile(name="install-plan", class_name="planning"),),
        ),
    ),
)

ISAN_NORTH = DeploymentProfile(
    name="isan-north",
    zones=("udon-hall", "khonkaen-hall", "sakon-hall"),
    client_seconds=0.003,
    classes=(
        ClassProfile(name="field", price=100, promise_seconds=0.06),
        ClassProfile(name="hearing", price=50, promise_seconds=1.0),
        ClassProfile(name="intake", price=30, promise_seconds=0.3),
        ClassProfile(name="office", price=10, promise_seconds=0.4),
        ClassProfile(name="notice", price=1, promise_seconds=1.0),
    ),
    services=(
        ServiceProfile(
            name="title-desk",
            shards=8,
            replicas_per_shard=2,
            slots=2,
            connection_limit=70,
            service_seconds=0.005,
            kinds=(
                KindProfile(name="district-sweep", class_name="hearing", load_share=0.5),
                KindProfile(
                    name="neighbour-check",
                    class_name="field",
                    load_share=0.5,
                    whole_range=False,
                    deadline_seconds=1.0,
                ),
            ),
        ),
        ServiceProfile(
            name="member-ledger",
            shards=12,
            replicas_per_shard=2,
            slots=2,
            connection_limit=70,
            service_seconds=0.02,
            kinds=(KindProfile(name="member-statement", class_name="office"),),
        ),
        ServiceProfile(
            name="survey-intake",
            shards=1,
            replicas_per_shard=3,
            slots=3,
            connection_limit=110,
            service_seconds=0.02,
            kinds=(
                KindProfile(
                    name="survey-edit",
                    class_name="intake",
                    whole_range=False,
                    repeatable=False,
                ),
            ),
        ),
        ServiceProfile(
            name="harvest-notice",
            shards=1,
            replicas_per_shard=3,
            slots=3,
            connection_limit=110,
            service_seconds=0.02,
            kinds=(KindProfile(name="harvest-notice", class_name="notice"),),
        ),
    ),
)

DEPLOYMENTS = {profile.name: profile for profile in (RO_NORD, ISAN_NORTH)}


def find_deployment(name: str) -> DeploymentProfile | Failure[SimulationFailureKind]:
    """Return the deployment called ``name``, or read it from the TOML file of that name."""
    if name in DEPLOYMENTS:
        return DEPLOYMENTS[name]
    return read_deployment(Path(name))


def read_deployment(path: Path) -> DeploymentProfile | Failure[SimulationFailureKind]:
    """Read a deployment from a TOML file whose keys are the fields of ``DeploymentProfile``."""
    try:
        entries = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        names = ", ".join(DEPLOYMENTS)
        reason = f"deployment {str(path)!r} is neither one of {names} nor a readable file: {error}"
        return Failure(SimulationFailureKind.UNKNOWN_NAME, reason)
    except tomllib.TOMLDecodeError as error:
        return Failure(SimulationFailureKind.MALFORMED, f"{path}: not TOML: {error}")
    try:
        profile = DeploymentProfile.model_validate(entries)
        profile.configuration  # noqa: B018  (checks the references between the parts)
    except ValidationError as error:
        return Failure(SimulationFailureKind.MALFORMED, f"{path}: {error}")
    return profile
