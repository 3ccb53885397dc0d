"""Confirms a plan: one compare-and-swap that carries the plan's id, and its read-back.

The swap demands the store's revision that was read, so that of all swaps on one base at most one
takes effect; trying the same swap again after a lost reply is therefore safe. The id inside the
document tells a later reader, here or on another node, that the plan has landed.
"""

from collections.abc import Generator
from dataclasses import dataclass

from ..model.failure import Failure
from ..model.identifiers import OperatorName, Revision
from ..model.intent import Intent
from ..model.plan import Plan
from ..ports.machine import Action
from ..ports.operator import ConfirmOutcome, ConfirmResult, OperatorFailureKind
from ..ports.store import CompareAndSwap, StoreFailureKind, SwapResult
from .current_key import (
    CurrentKey,
    ReadFailureKind,
    StoredDocument,
    read_revision,
)
from .dissemination import Dissemination
from .document import ConfigurationDocument
from .in_force import InForceConfiguration
from .keys import CURRENT_KEY, history_key
from .plan import (
    EarlierDocuments,
    document_for_confirm,
    revisions_named,
)
from .plan_store import PlanStore
from .script import (
    Resumed,
    Script,
    Step,
    StoreOutcome,
    call_store,
    pause,
    perform,
)
from .store_schedule import FullJitterBackoff

CONFIRM_BOUND_SECONDS = 5.0
"""No new attempt begins after this time; one under way still ends by its own timeout."""

RETRY_LAST_CEILING_SECONDS = 1.0

OperatorFailure = Failure[OperatorFailureKind]
"""Why a confirm, a plan or a question had no result."""

_UNCERTAIN_KINDS = frozenset({StoreFailureKind.LOST_REPLY, StoreFailureKind.MALFORMED})
"""Failures of a swap after which it may have taken effect."""


@dataclass(frozen=True, slots=True)
class ConfirmCommand:
    """Who confirms which plan; ``unix_seconds`` is written into the audit record."""

    plan_id: str
    operator: OperatorName
    unix_seconds: float


@dataclass(frozen=True, slots=True)
class Landed:
    """The plan has taken effect; ``document`` is what stands now."""

    document: ConfigurationDocument
    result: ConfirmResult


class Confirmation:
    """One operator's confirm, from the first read to its outcome.

    Parameters
    ----------
    reads_back
        Whether to look first if the plan has already landed; left out in tests only.
    """

    def __init__(
        self,
        command: ConfirmCommand,
        current_key: CurrentKey,
        plan_store: PlanStore,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        backoff: FullJitterBackoff,
        reads_back: bool = True,
    ) -> None:
        self._command = command
        self._current_key = current_key
        self._plan_store = plan_store
        self._in_force = in_force
        self._dissemination = dissemination
        self._backoff = backoff
        self._reads_back = reads_back
        self._plan: Plan | None = None
        self._uncertain_base: int | None = None
        """Where the swap whose reply was lost started from, while it may still take effect."""
        self._was_uncertain = False
        self._last_reason = "no attempt was made"

    def run(self, now: float) -> Script[Landed | OperatorFailure]:
        """Confirm the plan once, or say why not, within a bounded time."""
        give_up_at = now + CONFIRM_BOUND_SECONDS
        while now < give_up_at:
            outcome = yield from self._attempt()
            if outcome is not None:
                return outcome
            now = yield from pause(self._backoff.delay_seconds())
        return self._not_settled()

    def _not_settled(self) -> OperatorFailure:
        if self._uncertain_base is not None:
            return Failure(
                OperatorFailureKind.NOT_KNOWN_YET,
                "the change was sent to the store, the reply was lost and the store has not told "
                f"since: confirm plan {self._command.plan_id!r} again to learn whether it took "
                "effect; it cannot take effect twice",
            )
        reason = f"the store does not answer, nothing was changed: {self._last_reason}"
        return Failure(OperatorFailureKind.STORE_UNAVAILABLE, reason)

    def _attempt(self) -> Script[Landed | OperatorFailure | None]:
        """Try once from the beginning; ``None``: the store did not settle it, try again."""
        current = yield from self._current_key.read()
        if not isinstance(current, StoredDocument):
            self._last_reason = current.reason
            return None
        if self._reads_back:
            landed = self._landed(current.document, ConfirmOutcome.LANDED_BEFORE)
            if landed is not None:
                return landed
        if current.document.revision < self._in_force.revision:
            return self._store_behind(current.document)
        yield from self._put_in_force(current.document)
        if self._uncertain_base != current.modified_at:
            # Another change stands on that base, without ours: ours can no longer take effect.
            self._uncertain_base = None
        plan = yield from self._find_plan(current.document)
        if not isinstance(plan, Plan):
            return plan
        return (yield from self._write(plan, current))

    def _put_in_force(self, document: ConfigurationDocument) -> Script[None]:
        now = yield from perform()
        yield from perform(*self._dissemination.take(document, now, "store", from_store=True))

    def _find_plan(self, current: ConfigurationDocument) -> Script[Plan | OperatorFailure | None]:
        if self._plan is None:
            found = yield from self._plan_store.find(self._command.plan_id)
            if isinstance(found, Failure):
                self._last_reason = found.reason
                unavailable = found.kind is OperatorFailureKind.STORE_UNAVAILABLE
                return None if unavailable else found
            self._plan = found
        if not _remembers_since(current, self._plan):
            return _too_far_behind(self._plan, current)
        return self._plan

    def _write(
        self, plan: Plan, current: StoredDocument
    ) -> Script[Landed | OperatorFailure | None]:
        earlier = yield from read_earlier(plan.intents, current.document)
        if isinstance(earlier, Failure):
            self._last_reason = earlier.reason
            unavailable = earlier.kind is OperatorFailureKind.STORE_UNAVAILABLE
            return None if unavailable else earlier
        kept_at = yield from self._keep_history(current)
        if kept_at is None:
            return None
        document = document_for_confirm(
            plan,
            current.document,
            earlier,
            self._command.operator,
            self._command.unix_seconds,
            kept_at,
        )
        if isinstance(document, Failure):
            return Failure(OperatorFailureKind.CONFLICT, document.reason)
        return (yield from self._swap(document, current))

    def _keep_history(self, current: StoredDocument) -> Script[int | None]:
        """Copy the document that is about to be replaced, so that every revision is kept.

        Returns the store's revision of the copy (0: there is nothing to copy), or ``None`` if
        the store did not answer.
        """
        if current.modified_at == 0:
            return 0
        key = history_key(current.document.revision)
        reply = yield from call_store(CompareAndSwap(key, 0, current.document.body))
        swap = reply.outcome
        if isinstance(swap, SwapResult):
            there = swap.current.modified_at if swap.current is not None else 0
            return swap.store_revision if swap.succeeded else there
        self._last_reason = _reason(swap)
        return None

    def _swap(
        self, document: ConfigurationDocument, current: StoredDocument
    ) -> Script[Landed | OperatorFailure | None]:
        operation = CompareAndSwap(CURRENT_KEY, current.modified_at, document.body)
        outcome = (yield from call_store(operation)).outcome
        if isinstance(outcome, SwapResult):
            if outcome.succeeded:
                return self._landed(document, ConfirmOutcome.LANDED)
            self._last_reason = "other changes kept coming in between"
            return None
        if isinstance(outcome, Failure) and outcome.kind in _UNCERTAIN_KINDS:
            self._uncertain_base = current.modified_at
            self._was_uncertain = True
        self._last_reason = _reason(outcome)
        return None

    def _landed(self, document: ConfigurationDocument, outcome: ConfirmOutcome) -> Landed | None:
        """Return the good news if the document's records name the plan."""
        record = document.record_of(self._command.plan_id)
        if record is None:
            return None
        if self._was_uncertain:
            outcome = ConfirmOutcome.LANDED
        result = ConfirmResult(
            plan_id=self._command.plan_id,
            revision=record.revision,
            outcome=outcome,
            rebased=record.revision != record.base_revision + 1,
            record=record,
        )
        return Landed(document, result)

    def _store_behind(self, stored: ConfigurationDocument) -> OperatorFailure | None:
        self._last_reason = (
            f"the store holds revision {stored.revision}, older than revision "
            f"{self._in_force.revision} in force here: it was set back, or an out-of-date member "
            "answered. Nothing was changed; see docs/OPERATIONS.md, 'The store was set back'"
        )
        if self._uncertain_base is not None:
            return None
        return Failure(OperatorFailureKind.CONFLICT, self._last_reason)


def read_earlier(
    intents: tuple[Intent, ...], current: ConfigurationDocument
) -> Generator[Step, Resumed, EarlierDocuments | OperatorFailure]:
    """Read the revisions that ``RestoreRevision`` intents name."""
    earlier = {current.revision: current}
    for revision in revisions_named(intents):
        if revision in earlier:
            continue
        document = yield from read_revision(revision)
        if isinstance(document, Failure):
            return operator_failure(document)
        earlier[revision] = document
    return earlier


def delete_unlisted_history(document: ConfigurationDocument) -> Script[list[Action]]:
    """Delete the copy of the revision that has just dropped out of the document's records.

    Done once after each confirm and not tried again: what a lost request leaves behind is one
    copy that nobody reads.
    """
    oldest = document.audit[0]
    if oldest.replaced_kept_at:
        key = history_key(Revision(oldest.revision - 1))
        yield from call_store(CompareAndSwap(key, oldest.replaced_kept_at, None))
    return []


def operator_failure(failure: Failure[ReadFailureKind]) -> OperatorFailure:
    """Turn a failed read into what operators are told."""
    kinds = {
        ReadFailureKind.STORE_UNAVAILABLE: OperatorFailureKind.STORE_UNAVAILABLE,
        ReadFailureKind.NOT_FOUND: OperatorFailureKind.NOT_FOUND,
        ReadFailureKind.MALFORMED: OperatorFailureKind.INVALID,
    }
    return Failure(kinds[failure.kind], failure.reason)


def _remembers_since(current: ConfigurationDocument, plan: Plan) -> bool:
    """Whether the records reach back to the plan's base, so that they would name its landing."""
    if current.revision <= plan.base_revision:
        return True
    return bool(current.audit) and current.audit[0].revision <= plan.base_revision + 1


def _too_far_behind(plan: Plan, current: ConfigurationDocument) -> OperatorFailure:
    return Failure(
        OperatorFailureKind.CONFLICT,
        f"the plan was made at revision {plan.base_revision}, now is {current.revision}: "
        "too many changes since to tell what it would do; make a new plan",
    )


def _reason(outcome: StoreOutcome) -> str:
    return outcome.reason if isinstance(outcome, Failure) else "unexpected reply"
