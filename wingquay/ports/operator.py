"""The port towards operators: commands in, typed replies out.

Commands are checked strictly: a misspelt field is refused. Results may gain fields, which an
older client ignores.
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
"""Intents that one plan may hold."""


class OperatorFailureKind(Enum):
    """Why a command had no result."""

    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The configuration moved on; the reason says what changed."""
    EXPIRED = "expired"
    STORE_UNAVAILABLE = "store_unavailable"
    """Nothing was changed."""
    NOT_KNOWN_YET = "not_known_yet"
    """It may have taken effect; asking again later tells."""


class OperatorMessage(BaseModel):
    """Base of commands and results; checked strictly, immutable."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class OperatorResult(OperatorMessage):
    """Base of results."""

    model_config = ConfigDict(frozen=True, extra="ignore")


class ProposePlan(OperatorMessage):
    """Make a plan of these intents; nothing is changed."""

    intents: Annotated[tuple[Intent, ...], Field(min_length=1, max_length=MAX_INTENTS)]


class ShowPlan(OperatorMessage):
    """Show a plan."""

    plan_id: str


class ListPlans(OperatorMessage):
    """List the plans that can be confirmed."""


class ConfirmPlan(OperatorMessage):
    """Let a plan take effect; doing so again changes nothing more."""

    plan_id: str


class DiscardPlan(OperatorMessage):
    """Forget a plan."""

    plan_id: str


class ShowConfiguration(OperatorMessage):
    """Show the configuration in force, or an earlier revision."""

    revision: Revision | None = None


class ShowHistory(OperatorMessage):
    """List who confirmed what and when."""


class DiffConfigurations(OperatorMessage):
    """Compare two revisions (``to_revision`` of ``None``: the one in force)."""

    from_revision: Revision
    to_revision: Revision | None = None


class ShowStatus(OperatorMessage):
    """Show what this node knows of revisions, zones, nodes and the store."""


class PlanResult(OperatorResult):
    """A plan, and how long it can still be confirmed."""

    plan: Plan
    remaining_seconds: float


class PlanSummary(OperatorResult):
    """A plan in a list."""

    plan_id: str
    base_revision: Revision
    operator: OperatorName
    first_change: str
    remaining_seconds: float


class PlanListResult(OperatorResult):
    """The plans that can be confirmed, and what may be missing from the list."""

    plans: tuple[PlanSummary, ...]
    warnings: tuple[str, ...] = ()


class ConfirmOutcome(Enum):
    """How a confirm came out."""

    LANDED = "landed"
    LANDED_BEFORE = "landed_before"
    """An earlier confirm of the same plan had already taken effect."""


class ConfirmResult(OperatorResult):
    """A plan has taken effect as ``revision``; ``rebased``: on a later base than it was made on."""

    plan_id: str
    revision: Revision
    outcome: ConfirmOutcome
    rebased: bool
    record: AuditRecord


class DiscardResult(OperatorResult):
    """A plan is forgotten."""

    plan_id: str


class ConfigurationResult(OperatorResult):
    """A configuration; ``document`` is the stored JSON text with its audit records."""

    configuration: Configuration
    document: str
    warnings: tuple[str, ...] = ()


class HistoryResult(OperatorResult):
    """The latest confirms, oldest first."""

    records: tuple[AuditRecord, ...]
    warnings: tuple[str, ...] = ()


class DiffResult(OperatorResult):
    """What differs between two revisions, a line each."""

    from_revision: Revision
    to_revision: Revision
    lines: tuple[str, ...]


class NodeStatus(OperatorResult):
    """A node as the answering node knows it; ``revision``: the last heard of."""

    node_id: NodeId
    zone: ZoneName
    address: str
    state: str
    revision: Revision | None


class ZoneStatus(OperatorResult):
    """A zone's revisions as far as heard.

    Parameters
    ----------
    nodes_heard
        Nodes of the zone whose revision is known; a sample, not all.
    in_force_seconds
        Time from the confirm until the first two nodes of the zone said that they have the
        revision; known only on the node that took the confirm.
    """

    zone: ZoneName
    nodes: int
    nodes_heard: int
    lowest_revision: Revision | None
    highest_revision: Revision | None
    in_force_seconds: float | None


class StatusResult(OperatorResult):
    """What one node knows; ``in_force_since_seconds`` is the age of the revision on it."""

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
    """An authenticated operator's command.

    Parameters
    ----------
    exchange_id
        Names the exchange until it is replied to.
    unix_seconds
        Wall-clock time, for records that people read; never for decisions.
    """

    exchange_id: str
    operator: OperatorName
    command: OperatorMessage
    unix_seconds: float


@dataclass(frozen=True, slots=True)
class OperatorReply(Action):
    """The reply to a command; exactly one each."""

    exchange_id: str
    result: OperatorMessage | Failure[OperatorFailureKind]
