"""Carries out operators' read commands: show a revision, the history or a diff."""

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
from .current_document import CurrentDocumentReader, StoredDocument, read_revision
from .diff import document_diff
from .dissemination import Dissemination
from .document import EMPTY_DOCUMENT, ConfigurationDocument
from .in_force import InForceConfiguration
from .script import Script, StoreHealth, perform

STALE_REVISION_WARNING = "the store does not answer: the result shows only what this node holds"

CommandResult = OperatorMessage | OperatorFailure


class RevisionReader:
    """Reads revisions from the store, or uses the one in force if that fails."""

    def __init__(
        self,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        document_reader: CurrentDocumentReader,
        store_health: StoreHealth,
    ) -> None:
        self._in_force = in_force
        self._dissemination = dissemination
        self._document_reader = document_reader
        self._store_health = store_health

    def run(
        self, command: ShowConfiguration | ShowHistory | DiffConfigurations
    ) -> Script[CommandResult]:
        """Carry out a read command."""
        match command:
            case ShowConfiguration():
                return (yield from self._show(command))
            case ShowHistory():
                document = yield from self.newest()
                if isinstance(document, Failure):
                    return document
                return HistoryResult(records=document.audit, warnings=self.staleness_warnings())
            case DiffConfigurations():
                return (yield from self._diff(command))

    def newest(self) -> Script[ConfigurationDocument | OperatorFailure]:
        """Return the document in the store, or the one in force if newer or if the read fails."""
        stored = yield from self._document_reader.read()
        if isinstance(stored, StoredDocument):
            now = yield from perform()
            document = stored.document
            actions = self._dissemination.apply_and_announce(
                document, now, "store", from_store=True
            )
            yield from perform(*actions)
            if document.revision >= self._in_force.revision:
                return document
        if self._in_force.document is not None:
            return self._in_force.document
        return operator_failure(stored) if isinstance(stored, Failure) else EMPTY_DOCUMENT

    def staleness_warnings(self) -> tuple[str, ...]:
        """Return the warning to add to results of ``newest`` while the store does not answer."""
        return (STALE_REVISION_WARNING,) if self._store_health.reachable is False else ()

    def _show(self, command: ShowConfiguration) -> Script[CommandResult]:
        warnings: tuple[str, ...] = ()
        if command.revision is None:
            found = yield from self.newest()
            warnings = self.staleness_warnings()
        else:
            found = yield from self._revision(command.revision)
        if isinstance(found, Failure):
            return found
        text = found.body.decode()
        return ConfigurationResult(
            configuration=found.configuration, document=text, warnings=warnings
        )

    def _revision(self, revision: Revision) -> Script[ConfigurationDocument | OperatorFailure]:
        """Return one revision, which may be the newest or one in the store's history."""
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
