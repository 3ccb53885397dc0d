"""Makes plans from intents, and applies a plan to the current revision when it is confirmed."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from ..model.audit import AuditRecord
from ..model.failure import Failure
from ..model.identifiers import OperatorName, Revision
from ..model.intent import Intent, RestoreRevision
from ..model.plan import ClassEffect, ForecastVerdict, Plan, PromiseForecast
from ..ports.internal import LoadObserved
from .diff import change_digest, document_diff
from .document import (
    ConfigurationDocument,
    next_document,
)
from .effects import class_effects
from .intents import apply_intents
from .promise_forecast import forecast_promises

PLAN_LIFETIME_SECONDS = 900
"""Time for which a plan can be confirmed."""

MAX_DIFF_LINES = 200
"""Lines of the diff that a plan includes; its digest covers all lines."""

AUDIT_SUMMARY_LINES = 5
"""Lines of the diff that an audit record includes."""

EarlierDocuments = Mapping[Revision, ConfigurationDocument]
"""Documents by revision, including those that ``RestoreRevision`` intents refer to."""


class PlanFailureKind(Enum):
    """Why a plan cannot be made or confirmed."""

    INVALID = "invalid"
    CONFLICT = "conflict"


PlanFailure = Failure[PlanFailureKind]


@dataclass(frozen=True, slots=True)
class Proposal:
    """The input of a plan besides the base document.

    Parameters
    ----------
    earlier
        The documents that ``RestoreRevision`` intents refer to.
    load
        The load that this node observes.
    unix_seconds
        Wall-clock time, shown to operators as the plan's creation time.
    """

    plan_id: str
    operator: OperatorName
    intents: tuple[Intent, ...]
    earlier: EarlierDocuments
    load: LoadObserved
    unix_seconds: float
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Change:
    """The result of applying intents to a base document."""

    document: ConfigurationDocument
    resolved: tuple[Intent, ...]
    diff: list[str]
    effects: tuple[ClassEffect, ...]

    @property
    def digest(self) -> str:
        return change_digest(self.diff, self.effects)


def restored_revisions(intents: Sequence[Intent]) -> tuple[Revision, ...]:
    """Return the revisions that ``RestoreRevision`` intents refer to, without duplicates."""
    named = [intent.revision for intent in intents if isinstance(intent, RestoreRevision)]
    return tuple(dict.fromkeys(named))


def make_plan(base: ConfigurationDocument, proposal: Proposal) -> Plan | PlanFailure:
    """Return the plan that applies the proposal's intents to ``base``."""
    record = AuditRecord(
        revision=Revision(base.revision + 1),
        confirm_id=proposal.plan_id,
        base_revision=base.revision,
        proposed_by=proposal.operator,
        confirmed_by=proposal.operator,
        confirmed_unix_seconds=proposal.unix_seconds,
    )
    change = _compute_change(base, proposal.intents, proposal.earlier, record)
    if isinstance(change, Failure):
        return change
    if not change.diff:
        return Failure(PlanFailureKind.INVALID, "the intents change nothing")
    forecasts = forecast_promises(
        base.configuration, change.document.configuration, change.effects, proposal.load
    )
    return Plan(
        plan_id=proposal.plan_id,
        base_revision=base.revision,
        operator=proposal.operator,
        intents=proposal.intents,
        resolved_intents=change.resolved,
        diff=tuple(change.diff[:MAX_DIFF_LINES]),
        diff_omitted=max(0, len(change.diff) - MAX_DIFF_LINES),
        change_digest=change.digest,
        effects=change.effects,
        outlook=forecasts,
        warnings=(*proposal.warnings, *_warnings(change, forecasts)),
        created_unix_seconds=proposal.unix_seconds,
        expires_unix_seconds=proposal.unix_seconds + PLAN_LIFETIME_SECONDS,
    )


def make_confirmed_document(
    plan: Plan,
    current: ConfigurationDocument,
    earlier: EarlierDocuments,
    confirmed_by: OperatorName,
    unix_seconds: float,
    replaced_kept_at: int = 0,
) -> ConfigurationDocument | PlanFailure:
    """Return the document that confirming ``plan`` writes as the successor of ``current``.

    If ``current`` is not the plan's base, the plan is rebased. This is allowed only if the intents
    resolve to the same values, and the diff and effects are exactly those that the plan showed.
    """
    record = AuditRecord(
        revision=Revision(current.revision + 1),
        confirm_id=plan.plan_id,
        base_revision=plan.base_revision,
        proposed_by=plan.operator,
        confirmed_by=confirmed_by,
        confirmed_unix_seconds=unix_seconds,
        summary=plan.diff[:AUDIT_SUMMARY_LINES],
        replaced_kept_at=replaced_kept_at,
    )
    change = _compute_change(current, plan.intents, earlier, record)
    if isinstance(change, Failure):
        return Failure(PlanFailureKind.CONFLICT, _conflict_reason(plan, current, change.reason))
    if change.resolved != plan.resolved_intents or change.digest != plan.change_digest:
        shown = "; ".join(change.diff[:AUDIT_SUMMARY_LINES]) or "nothing"
        reason = _conflict_reason(plan, current, f"the same intents would now change: {shown}")
        return Failure(PlanFailureKind.CONFLICT, reason)
    return change.document


def _compute_change(
    base: ConfigurationDocument,
    intents: tuple[Intent, ...],
    earlier: EarlierDocuments,
    record: AuditRecord,
) -> _Change | PlanFailure:
    history = {revision: document.configuration for revision, document in earlier.items()}
    applied = apply_intents(base.configuration, intents, history)
    if isinstance(applied, Failure):
        return Failure(PlanFailureKind.INVALID, applied.reason)
    # Unknown keys of the revision restored last take precedence.
    restored = [earlier[revision] for revision in reversed(restored_revisions(intents))]
    document = next_document(base, applied.configuration, record, restored)
    if isinstance(document, Failure):
        return Failure(PlanFailureKind.INVALID, document.reason)
    return _Change(
        document=document,
        resolved=applied.resolved,
        diff=document_diff(base, document),
        effects=class_effects(base.configuration, document.configuration),
    )


def _conflict_reason(plan: Plan, current: ConfigurationDocument, detail: str) -> str:
    since = [entry for entry in current.audit if entry.revision > plan.base_revision]
    changes = [
        f"revision {entry.revision} by {entry.confirmed_by}: {'; '.join(entry.summary)}"
        for entry in since
    ]
    summary = " | ".join(changes) or "nothing"
    return (
        f"the plan was made at revision {plan.base_revision}, the current revision is "
        f"{current.revision}; changed since: {summary}; {detail}; make a new plan"
    )


def _warnings(change: _Change, forecasts: Sequence[PromiseForecast]) -> list[str]:
    warnings: list[str] = []
    bad = (ForecastVerdict.NOT_KEEPABLE, ForecastVerdict.AT_RISK)
    for entry in forecasts:
        if entry.verdict in bad:
            verdict = entry.verdict.value.replace("_", " ")
            warnings.append(
                f"{entry.service}/{entry.kind}: promise of {entry.promise_seconds:g} s is probably "
                f"{verdict}: {entry.reason}"
            )
    for service in change.document.configuration.services:
        if any(not shard.replicas for shard in service.shards):
            warnings.append(
                f"{service.name}: a shard has no replicas, so its requests cannot be answered"
            )
        if not service.shards:
            warnings.append(
                f"{service.name}: the service has no shards, so no request can be answered"
            )
    return warnings
