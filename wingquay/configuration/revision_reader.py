"""Answers operators' questions about revisions: what stands, what stood, what differs."""

from ..model.failure import Failure
from ..model.identifiers import Revision
from ..ports.operator import (
    ConfigurationResult,
    DiffConfigurations,
    DiffResult,
    HistoryResult,
    OperatorMessage,
    ShowConfiguration,
    ShowHistory,
)
from .confirmation import OperatorFailure, operator_failure
from .current_key import CurrentKey, StoredDocument, read_revision
from .diff import document_diff
from .dissemination import Dissemination
from .document import EMPTY_DOCUMENT, ConfigurationDocument
from .in_force import InForceConfiguration
from .script import Script, StoreHealth, perform

NOT_FRESH_WARNING = "the store does not answer: this is the last revision known to this node"

CommandResult = OperatorMessage | OperatorFailure


class RevisionReader:
    """Finds revisions in the store, or in force when the store does not answer."""

    def __init__(
        self,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        current_key: CurrentKey,
        store_health: StoreHealth,
    ) -> None:
        self._in_force = in_force
        self._dissemination = dissemination
        self._current_key = current_key
        self._store_health = store_health

    def run(
        self, command: ShowConfiguration | ShowHistory | DiffConfigurations
    ) -> Script[CommandResult]:
        """Carry out a command that only reads."""
        match command:
            case ShowConfiguration():
                return (yield from self._show(command))
            case ShowHistory():
                document = yield from self.newest()
                if isinstance(document, Failure):
                    return document
                return HistoryResult(records=document.audit, warnings=self.freshness())
            case DiffConfigurations():
                return (yield from self._diff(command))

    def newest(self) -> Script[ConfigurationDocument | OperatorFailure]:
        """Return what the store holds, or what is in force when that is newer or all there is."""
        stored = yield from self._current_key.read()
        if isinstance(stored, StoredDocument):
            now = yield from perform()
            document = stored.document
            taken = self._dissemination.take(document, now, "store", from_store=True)
            yield from perform(*taken)
            if document.revision >= self._in_force.revision:
                return document
        if self._in_force.document is not None:
            return self._in_force.document
        return operator_failure(stored) if isinstance(stored, Failure) else EMPTY_DOCUMENT

    def freshness(self) -> tuple[str, ...]:
        """Return the warning that goes with ``newest`` while the store does not answer."""
        return (NOT_FRESH_WARNING,) if self._store_health.reachable is False else ()

    def _show(self, command: ShowConfiguration) -> Script[CommandResult]:
        warnings: tuple[str, ...] = ()
        if command.revision is None:
            found = yield from self.newest()
            warnings = self.freshness()
        else:
            found = yield from self._revision(command.revision)
        if isinstance(found, Failure):
            return found
        text = found.body.decode()
        return ConfigurationResult(
            configuration=found.configuration, document=text, warnings=warnings
        )

    def _revision(self, revision: Revision) -> Script[ConfigurationDocument | OperatorFailure]:
        """Return one revision: the newest, or an earlier one from the store's history."""
        newest = yield from self.newest()
        if not isinstance(newest, Failure) and newest.revision == revision:
            return newest
        if revision == EMPTY_DOCUMENT.revision:
            return EMPTY_DOCUMENT
        found = yield from read_revision(revision)
        return operator_failure(found) if isinstance(found, Failure) else found

    def _diff(self, command: DiffConfigurations) -> Script[CommandResult]:
        before = yield from self._revision(command.from_revision)
        if isinstance(before, Failure):
            return before
        if command.to_revision is None:
            after = yield from self.newest()
        else:
            after = yield from self._revision(command.to_revision)
        if isinstance(after, Failure):
            return after
        return DiffResult(
            from_revision=before.revision,
            to_revision=after.revision,
            lines=tuple(document_diff(before, after)),
        )
