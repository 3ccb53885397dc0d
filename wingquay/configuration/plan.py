"""Makes plans from intents, and applies a plan to the revision it meets at its confirm."""

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
from .outlook import promise_outlook

PLAN_LIFETIME_SECONDS = 900
"""How long a plan can be confirmed."""

MAXIMUM_DIFF_LINES = 200
"""Lines of a diff that a plan carries; the digest covers them all."""

AUDIT_SUMMARY_LINES = 5

EarlierDocuments = Mapping[Revision, ConfigurationDocument]


class PlanFailureKind(Enum):
    """Why there is no plan, or why a plan cannot be confirmed."""

    INVALID = "invalid"
    CONFLICT = "conflict"


PlanFailure = Failure[PlanFailureKind]


@dataclass(frozen=True, slots=True)
class Proposal:
    """Everything a plan is made from, besides the base document.

    Parameters
    ----------
    earlier
        The documents that ``RestoreRevision`` intents name.
    load
        The load now seen by this node.
    unix_seconds
        Wall-clock time, written into the plan for people.
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
    document: ConfigurationDocument
    resolved: tuple[Intent, ...]
    diff: list[str]
    effects: tuple[ClassEffect, ...]

    @property
    def digest(self) -> str:
        return change_digest(self.diff, self.effects)


def revisions_named(intents: Sequence[Intent]) -> tuple[Revision, ...]:
    """Return the earlier revisions that the intents need, in order, each once."""
    named = [intent.revision for intent in intents if isinstance(intent, RestoreRevision)]
    return tuple(dict.fromkeys(named))


def make_plan(base: ConfigurationDocument, proposal: Proposal) -> Plan | PlanFailure:
    """Return what the proposal's intents would change at ``base``."""
    record = AuditRecord(
        revision=Revision(base.revision + 1),
        confirm_id=proposal.plan_id,
        base_revision=base.revision,
        proposed_by=proposal.operator,
        confirmed_by=proposal.operator,
        confirmed_unix_seconds=proposal.unix_seconds,
    )
    change = _change(base, proposal.intents, proposal.earlier, record)
    if isinstance(change, Failure):
        return change
    if not change.diff:
        return Failure(PlanFailureKind.INVALID, "the intents change nothing")
    outlook = promise_outlook(
        base.configuration, change.document.configuration, change.effects, proposal.load
    )
    return Plan(
        plan_id=proposal.plan_id,
        base_revision=base.revision,
        operator=proposal.operator,
        intents=proposal.intents,
        resolved_intents=change.resolved,
        diff=tuple(change.diff[:MAXIMUM_DIFF_LINES]),
        diff_omitted=max(0, len(change.diff) - MAXIMUM_DIFF_LINES),
        change_digest=change.digest,
        effects=change.effects,
        outlook=outlook,
        warnings=(*proposal.warnings, *_warnings(change, outlook)),
        created_unix_seconds=proposal.unix_seconds,
        expires_unix_seconds=proposal.unix_seconds + PLAN_LIFETIME_SECONDS,
    )


def document_for_confirm(
    plan: Plan,
    current: ConfigurationDocument,
    earlier: EarlierDocuments,
    confirmed_by: OperatorName,
    unix_seconds: float,
    replaced_kept_at: int = 0,
) -> ConfigurationDocument | PlanFailure:
    """Return the document to write when ``plan`` is confirmed while ``current`` stands.

    On another revision than the plan's base this is a rebase, allowed only if the intents
    resolve to the same and the change with its effects is exactly what the plan showed.
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
    change = _change(current, plan.intents, earlier, record)
    if isinstance(change, Failure):
        return Failure(PlanFailureKind.CONFLICT, _moved_on(plan, current, change.reason))
    if change.resolved != plan.resolved_intents or change.digest != plan.change_digest:
        shown = "; ".join(change.diff[:AUDIT_SUMMARY_LINES]) or "nothing"
        reason = _moved_on(plan, current, f"the same intents would now change: {shown}")
        return Failure(PlanFailureKind.CONFLICT, reason)
    return change.document


def _change(
    base: ConfigurationDocument,
    intents: tuple[Intent, ...],
    earlier: EarlierDocuments,
    record: AuditRecord,
) -> _Change | PlanFailure:
    history = {revision: document.configuration for revision, document in earlier.items()}
    applied = apply_intents(base.configuration, intents, history)
    if isinstance(applied, Failure):
        return Failure(PlanFailureKind.INVALID, applied.reason)
    restored = [earlier[revision] for revision in reversed(revisions_named(intents))]
    document = next_document(base, applied.configuration, record, restored)
    if isinstance(document, Failure):
        return Failure(PlanFailureKind.INVALID, document.reason)
    return _Change(
        document=document,
        resolved=applied.resolved,
        diff=document_diff(base, document),
        effects=class_effects(base.configuration, document.configuration),
    )


def _moved_on(plan: Plan, current: ConfigurationDocument, detail: str) -> str:
    since = [entry for entry in current.audit if entry.revision > plan.base_revision]
    changes = [
        f"revision {entry.revision} by {entry.confirmed_by}: {'; '.join(entry.summary)}"
        for entry in since
    ]
    moved = " | ".join(changes) or "nothing"
    return (
        f"the plan was made at revision {plan.base_revision}, now is {current.revision}; "
        f"changed since: {moved}; {detail}; make a new plan"
    )


def _warnings(change: _Change, outlook: Sequence[PromiseForecast]) -> list[str]:
    warnings: list[str] = []
    bad = (ForecastVerdict.NOT_KEEPABLE, ForecastVerdict.AT_RISK)
    for entry in outlook:
        if entry.verdict in bad:
            verdict = entry.verdict.value.replace("_", " ")
            warnings.append(
                f"{entry.service}/{entry.kind}: promise of {entry.promise_seconds:g} s looks "
                f"{verdict}: {entry.reason}"
            )
    for service in change.document.configuration.services:
        if any(not shard.replicas for shard in service.shards):
            warnings.append(f"{service.name}: a shard without replicas cannot be answered")
        if not service.shards:
            warnings.append(f"{service.name}: without shards no request can be answered")
    return warnings
