"""Commands of operators and their typed results.

Commands are validated strictly: unknown fields are rejected. Results may gain fields, which older
clients ignore.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from ..model.audit import AuditRecord
from ..model.configuration import Configuration
from ..model.failure import Failure
from ..model.identifiers import NodeId, OperatorName, Revision, ZoneName
from ..model.intent import Intent
from ..model.plan import Plan
from .machine import Action, Event

MAX_INTENTS = 1000
"""Maximum number of intents in one plan."""


class OperatorFailureKind(Enum):
    """Reason why a command returned no result."""

    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The configuration has changed meanwhile; the reason states how."""
    EXPIRED = "expired"
    STORE_UNAVAILABLE = "store_unavailable"
    """Nothing was changed."""
    NOT_KNOWN_YET = "not_known_yet"
    """The command may have taken effect; repeat it to find out."""


class OperatorMessage(BaseModel):
    """Base of commands, which reject unknown fields, and of ``OperatorResult``."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class OperatorResult(OperatorMessage):
    """Base of results, which ignore unknown fields."""

    model_config = ConfigDict(frozen=True, extra="ignore")


class ProposePlan(OperatorMessage):
    """Make a plan from intents; the configuration is not changed."""

    intents: Annotated[tuple[Intent, ...], Field(min_length=1, max_length=MAX_INTENTS)]


class ShowPlan(OperatorMessage):
    """Show a plan."""

    plan_id: str


class ListPlans(OperatorMessage):
    """List the plans that can be confirmed."""


class ConfirmPlan(OperatorMessage):
    """Put a plan into effect; confirming it again has no further effect."""

    plan_id: str


class DiscardPlan(OperatorMessage):
    """Delete a plan."""

    plan_id: str


class ShowConfiguration(OperatorMessage):
    """Show the configuration in force, or an earlier revision."""

    revision: Revision | None = None


class ShowHistory(OperatorMessage):
    """List past confirms, with operators and times."""


class DiffConfigurations(OperatorMessage):
    """Compare two revisions (``to_revision`` of ``None``: the one in force)."""

    from_revision: Revision
    to_revision: Revision | None = None


class ShowStatus(OperatorMessage):
    """Show this node's view of revisions, zones, nodes and the store."""


class PlanResult(OperatorResult):
    """A plan and the time left to confirm it."""

    plan: Plan
    remaining_seconds: float


class PlanSummary(OperatorResult):
    """An entry in a list of plans."""

    plan_id: str
    base_revision: Revision
    operator: OperatorName
    first_change: str
    remaining_seconds: float


class PlanListResult(OperatorResult):
    """The plans that can be confirmed; ``warnings`` say what may be missing."""

    plans: tuple[PlanSummary, ...]
    warnings: tuple[str, ...] = ()


class ConfirmOutcome(Enum):
    """Result of a confirm."""

    LANDED = "landed"
    LANDED_BEFORE = "landed_before"
    """An earlier confirm of the same plan had already taken effect."""


class ConfirmResult(OperatorResult):
    """A plan is in effect as ``revision``.

    Parameters
    ----------
    rebased
        Whether the plan was applied to a later revision than the one it was made from.
    """

    plan_id: str
    revision: Revision
    outcome: ConfirmOutcome
    rebased: bool
    record: AuditRecord


class DiscardResult(OperatorResult):
    """A plan has been deleted."""

    plan_id: str


class ConfigurationResult(OperatorResult):
    """A configuration; ``document`` is its stored JSON text, including audit records."""

    configuration: Configuration
    document: str
    warnings: tuple[str, ...] = ()


class HistoryResult(OperatorResult):
    """The most recent confirms, oldest first."""

    records: tuple[AuditRecord, ...]
    warnings: tuple[str, ...] = ()


class DiffResult(OperatorResult):
    """The differences between two revisions, one per line."""

    from_revision: Revision
    to_revision: Revision
    lines: tuple[str, ...]


class NodeStatus(OperatorResult):
    """State of a node in the replying node's view.

    Parameters
    ----------
    revision
        Last configuration revision received from the node; ``None``: none yet.
    """

    node_id: NodeId
    zone: ZoneName
    address: str
    state: str
    revision: Revision | None


class ZoneStatus(OperatorResult):
    """Configuration revisions of a zone's nodes in the replying node's view.

    Parameters
    ----------
    nodes_heard
        Number of nodes whose revision was received; a sample of the zone.
    in_force_seconds
        Time from the confirm until the first two nodes of the zone reported the revision. Available
        only on the node that handled the confirm.
    """

    zone: ZoneName
    nodes: int
    nodes_heard: int
    lowest_revision: Revision | None
    highest_revision: Revision | None
    in_force_seconds: float | None


class StatusResult(OperatorResult):
    """Status of one node.

    Parameters
    ----------
    in_force_since_seconds
        Time since the revision came into force on the node; ``None``: none is in force.
    store_reachable
        Whether the last call to the store succeeded; ``None``: there was no call yet.
    store_last_reply_seconds
        Time since the last reply of the store; ``None``: no reply yet.
    watcher
        Whether the node holds one of its zone's watcher assignments.
    """

    node_id: NodeId
    zone: ZoneName
    revision: Revision | None
    confirm_id: str
    in_force_since_seconds: float | None
    store_reachable: bool | None
    store_last_reply_seconds: float | None
    watcher: bool
    zones: tuple[ZoneStatus, ...]
    nodes: tuple[NodeStatus, ...]
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OperatorRequest(Event):
    """A command of an authenticated operator.

    Parameters
    ----------
    exchange_id
        Identifies the exchange until it is replied to.
    unix_seconds
        Wall-clock time, used only in records for people.
    """

    exchange_id: str
    operator: OperatorName
    command: OperatorMessage
    unix_seconds: float


@dataclass(frozen=True, slots=True)
class OperatorReply(Action):
    """Reply to a command; exactly one per command."""

    exchange_id: str
    result: OperatorMessage | Failure[OperatorFailureKind]
