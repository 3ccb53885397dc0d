"""Reads confirmed configuration documents from the store."""

from dataclasses import dataclass
from enum import Enum

from ..model.failure import Failure
from ..model.identifiers import Revision
from ..ports.store import Read, ReadResult, StoredValue
from .document import (
    EMPTY_DOCUMENT,
    ConfigurationDocument,
    parse_document,
)
from .keys import CURRENT_KEY, history_key
from .script import Script, call_store


class ReadFailureKind(Enum):
    """Why a document could not be read."""

    STORE_UNAVAILABLE = "store_unavailable"
    NOT_FOUND = "not_found"
    MALFORMED = "malformed"


ReadFailure = Failure[ReadFailureKind]


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """The document that the store holds under ``CURRENT_KEY``.

    Parameters
    ----------
    document
        ``EMPTY_DOCUMENT`` if nothing has been confirmed yet.
    modified_at
        Store revision at which the document was written; 0 if nothing was written yet.
    store_revision
        Store revision at the time of the read.
    """

    document: ConfigurationDocument
    modified_at: int
    store_revision: int


class CurrentDocumentReader:
    """Reads the current document from the store.

    It caches the last document, so that the store sends the document only if it has changed.
    """

    def __init__(self) -> None:
        self._last: StoredDocument | None = None

    def read(self) -> Script[StoredDocument | ReadFailure]:
        """Return the document that the store holds now."""
        last = self._last
        known_modified_at = last.modified_at if last is not None else 0
        reply = yield from call_store(Read(CURRENT_KEY, modified_after=known_modified_at))
        result = reply.outcome
        if not isinstance(result, ReadResult):
            return store_unavailable(result)
        if result.values:
            return self.parse(result.values[0], result.store_revision)
        if last is None:
            return StoredDocument(EMPTY_DOCUMENT, 0, result.store_revision)
        if result.store_revision < last.modified_at:
            # The store's revision went back: it lost its data, or an outdated member answered.
            # Read again without the cache.
            self._last = None
            return (yield from self.read())
        return StoredDocument(last.document, last.modified_at, result.store_revision)

    def parse(self, value: StoredValue, store_revision: int) -> StoredDocument | ReadFailure:
        """Parse a value of ``CURRENT_KEY`` that came from a read, a watch or a swap."""
        if self._last is not None and value.modified_at == self._last.modified_at:
            return StoredDocument(self._last.document, value.modified_at, store_revision)
        previous = self._last.document if self._last is not None else None
        document = parse_document(value.value, previous)
        if isinstance(document, Failure):
            return Failure(ReadFailureKind.MALFORMED, document.reason)
        stored = StoredDocument(document, value.modified_at, store_revision)
        if self._last is None or stored.modified_at > self._last.modified_at:
            self._last = stored
        return stored


def read_revision(revision: Revision) -> Script[ConfigurationDocument | ReadFailure]:
    """Read an earlier revision from the store's history."""
    reply = yield from call_store(Read(history_key(revision)))
    result = reply.outcome
    if not isinstance(result, ReadResult):
        return store_unavailable(result)
    if not result.values:
        return Failure(ReadFailureKind.NOT_FOUND, f"revision {revision} is not in the history")
    document = parse_document(result.values[0].value)
    if isinstance(document, Failure):
        return Failure(ReadFailureKind.MALFORMED, document.reason)
    return document


def store_unavailable(outcome: object) -> ReadFailure:
    """Return the failure for a store operation that had no result."""
    reason = outcome.reason if isinstance(outcome, Failure) else "unexpected reply"
    return Failure(ReadFailureKind.STORE_UNAVAILABLE, f"the store did not answer: {reason}")
