"""Confirms a plan with a compare-and-swap, and reads the result back after a lost reply.

The swap succeeds only if the key still has the store revision that was read. At most one swap
per base therefore takes effect, and it is safe to repeat a swap whose reply was lost. The
document records the plan's id, so that any node can find out later that the plan has landed.
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
from .current_document import (
    CurrentDocumentReader,
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
    make_confirmed_document,
    restored_revisions,
)
from .plan_store import PlanStore
from .script import (
    Resumption,
    Script,
    Step,
    StoreOutcome,
    call_store,
    pause,
    perform,
)
from .store_schedule import FullJitterBackoff

CONFIRM_TIMEOUT_SECONDS = 5.0
"""Time after which no attempt starts; one in progress may still finish."""

RETRY_MAX_CEILING_SECONDS = 1.0
"""Longest delay between two attempts."""

OperatorFailure = Failure[OperatorFailureKind]
"""Why an operator's command failed."""

_UNCERTAIN_KINDS = frozenset({StoreFailureKind.LOST_REPLY, StoreFailureKind.MALFORMED})
"""Failures after which a swap may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class ConfirmCommand:
    """Which plan to confirm, for whom, and the wall-clock time for the audit record."""

    plan_id: str
    operator: OperatorName
    unix_seconds: float


@dataclass(frozen=True, slots=True)
class Landed:
    """The plan has taken effect; ``document`` is the document that was written or read back."""

    document: ConfigurationDocument
    result: ConfirmResult


class Confirmation:
    """Carries out one confirm, from the first read of the store to the outcome.

    Parameters
    ----------
    checks_landed_first
        Whether to check first if the plan has already landed; false in tests only.
    """

    def __init__(
        self,
        command: ConfirmCommand,
        document_reader: CurrentDocumentReader,
        plan_store: PlanStore,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        backoff: FullJitterBackoff,
        checks_landed_first: bool = True,
    ) -> None:
        self._command = command
        self._document_reader = document_reader
        self._plan_store = plan_store
        self._in_force = in_force
        self._dissemination = dissemination
        self._backoff = backoff
        self._checks_landed_first = checks_landed_first
        self._plan: Plan | None = None
        self._uncertain_swap_revision: int | None = None
        """Store revision expected by a swap of unknown outcome; ``None`` if there is none."""
        self._had_uncertain_swap = False
        self._last_reason = "no attempt was made"

    def run(self, now: float) -> Script[Landed | OperatorFailure]:
        """Confirm the plan, retrying for at most ``CONFIRM_TIMEOUT_SECONDS``."""
        give_up_at = now + CONFIRM_TIMEOUT_SECONDS
        while now < give_up_at:
            outcome = yield from self._attempt()
            if outcome is not None:
                return outcome
            now = yield from pause(self._backoff.next_delay_seconds())
        return self._timeout_failure()

    def _timeout_failure(self) -> OperatorFailure:
        if self._uncertain_swap_revision is not None:
            return Failure(
                OperatorFailureKind.NOT_KNOWN_YET,
                "the change was sent to the store, the reply was lost and reading it back failed: "
                f"confirm plan {self._command.plan_id!r} again to find out whether it took "
                "effect; it cannot take effect twice",
            )
        reason = f"the confirm did not succeed in time, nothing was changed: {self._last_reason}"
        return Failure(OperatorFailureKind.STORE_UNAVAILABLE, reason)

    def _attempt(self) -> Script[Landed | OperatorFailure | None]:
        """Run one attempt from the start; return ``None`` if it has to be repeated."""
        current = yield from self._document_reader.read()
        if not isinstance(current, StoredDocument):
            self._last_reason = current.reason
            return None
        if self._checks_landed_first:
            landed = self._find_landed(current.document, ConfirmOutcome.LANDED_BEFORE)
            if landed is not None:
                return landed
        if current.document.revision < self._in_force.revision:
            return self._handle_stale_store(current.document)
        yield from self._apply_stored(current.document)
        if self._uncertain_swap_revision != current.modified_at:
            # Another change has replaced that base, so the earlier swap can no longer succeed.
            self._uncertain_swap_revision = None
        plan = yield from self._find_plan(current.document)
        if not isinstance(plan, Plan):
            return plan
        return (yield from self._write(plan, current))

    def _apply_stored(self, document: ConfigurationDocument) -> Script[None]:
        now = yield from perform()
        yield from perform(
            *self._dissemination.apply_and_announce(document, now, "store", from_store=True)
        )

    def _find_plan(self, current: ConfigurationDocument) -> Script[Plan | OperatorFailure | None]:
        if self._plan is None:
            found = yield from self._plan_store.find(self._command.plan_id)
            if isinstance(found, Failure):
                self._last_reason = found.reason
                unavailable = found.kind is OperatorFailureKind.STORE_UNAVAILABLE
                return None if unavailable else found
            self._plan = found
        if not _audit_reaches_base(current, self._plan):
            return _base_too_old(self._plan, current)
        return self._plan

    def _write(
        self, plan: Plan, current: StoredDocument
    ) -> Script[Landed | OperatorFailure | None]:
        earlier = yield from read_earlier_documents(plan.intents, current.document)
        if isinstance(earlier, Failure):
            self._last_reason = earlier.reason
            unavailable = earlier.kind is OperatorFailureKind.STORE_UNAVAILABLE
            return None if unavailable else earlier
        copy_store_revision = yield from self._save_history(current)
        if copy_store_revision is None:
            return None
        document = make_confirmed_document(
            plan,
            current.document,
            earlier,
            self._command.operator,
            self._command.unix_seconds,
            copy_store_revision,
        )
        if isinstance(document, Failure):
            return Failure(OperatorFailureKind.CONFLICT, document.reason)
        return (yield from self._swap(document, current))

    def _save_history(self, current: StoredDocument) -> Script[int | None]:
        """Copy the document that is about to be replaced to the history.

        Returns the store's revision of the copy, 0 if there is nothing to copy, or ``None`` if
        the store did not answer.
        """
        if current.modified_at == 0:
            return 0
        key = history_key(current.document.revision)
        reply = yield from call_store(CompareAndSwap(key, 0, current.document.body))
        swap = reply.outcome
        if isinstance(swap, SwapResult):
            existing_store_revision = swap.current.modified_at if swap.current is not None else 0
            return swap.store_revision if swap.succeeded else existing_store_revision
        self._last_reason = _reason(swap)
        return None

    def _swap(
        self, document: ConfigurationDocument, current: StoredDocument
    ) -> Script[Landed | OperatorFailure | None]:
        operation = CompareAndSwap(CURRENT_KEY, current.modified_at, document.body)
        outcome = (yield from call_store(operation)).outcome
        if isinstance(outcome, SwapResult):
            if outcome.succeeded:
                return self._find_landed(document, ConfirmOutcome.LANDED)
            self._last_reason = "other changes were confirmed at the same time"
            return None
        if isinstance(outcome, Failure) and outcome.kind in _UNCERTAIN_KINDS:
            self._uncertain_swap_revision = current.modified_at
            self._had_uncertain_swap = True
        self._last_reason = _reason(outcome)
        return None

    def _find_landed(
        self, document: ConfigurationDocument, outcome: ConfirmOutcome
    ) -> Landed | None:
        """Return the result if the document's audit records contain the plan, else ``None``."""
        record = document.find_record(self._command.plan_id)
        if record is None:
            return None
        if self._had_uncertain_swap:
            outcome = ConfirmOutcome.LANDED
        result = ConfirmResult(
            plan_id=self._command.plan_id,
            revision=record.revision,
            outcome=outcome,
            rebased=record.revision != record.base_revision + 1,
            record=record,
        )
        return Landed(document, result)

    def _handle_stale_store(self, stored: ConfigurationDocument) -> OperatorFailure | None:
        self._last_reason = (
            f"the store holds revision {stored.revision}, older than revision "
            f"{self._in_force.revision} in force on this node: it was set back, or an outdated "
            "member answered. Nothing was changed; see docs/OPERATIONS.md, 'The store was set back'"
        )
        if self._uncertain_swap_revision is not None:
            return None
        return Failure(OperatorFailureKind.CONFLICT, self._last_reason)


def read_earlier_documents(
    intents: tuple[Intent, ...], current: ConfigurationDocument
) -> Generator[Step, Resumption, EarlierDocuments | OperatorFailure]:
    """Return the current document and those that ``RestoreRevision`` intents refer to."""
    earlier = {current.revision: current}
    for revision in restored_revisions(intents):
        if revision in earlier:
            continue
        document = yield from read_revision(revision)
        if isinstance(document, Failure):
            return operator_failure(document)
        earlier[revision] = document
    return earlier


def delete_unlisted_history(document: ConfigurationDocument) -> Script[list[Action]]:
    """Delete the history copy of the newest revision that no audit record lists any more.

    Called once after each confirm and not retried: a lost request leaves one unused copy in the
    store.
    """
    oldest = document.audit[0]
    if oldest.replaced_kept_at:
        key = history_key(Revision(oldest.revision - 1))
        yield from call_store(CompareAndSwap(key, oldest.replaced_kept_at, None))
    return []


def operator_failure(failure: Failure[ReadFailureKind]) -> OperatorFailure:
    """Convert a failed read into the failure that operators receive."""
    kinds = {
        ReadFailureKind.STORE_UNAVAILABLE: OperatorFailureKind.STORE_UNAVAILABLE,
        ReadFailureKind.NOT_FOUND: OperatorFailureKind.NOT_FOUND,
        ReadFailureKind.MALFORMED: OperatorFailureKind.INVALID,
    }
    return Failure(kinds[failure.kind], failure.reason)


def _audit_reaches_base(current: ConfigurationDocument, plan: Plan) -> bool:
    """Whether the audit records go back to the plan's base, so that they show if it has landed."""
    if current.revision <= plan.base_revision:
        return True
    return bool(current.audit) and current.audit[0].revision <= plan.base_revision + 1


def _base_too_old(plan: Plan, current: ConfigurationDocument) -> OperatorFailure:
    return Failure(
        OperatorFailureKind.CONFLICT,
        f"the plan was made at revision {plan.base_revision}, the current revision is "
        f"{current.revision}: too many changes since to determine whether the plan already "
        "took effect; make a new plan",
    )


def _reason(outcome: StoreOutcome) -> str:
    return outcome.reason if isinstance(outcome, Failure) else "unexpected reply"
