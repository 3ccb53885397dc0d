"""The demonstration's caller: asks nodes over HTTP and compares answers with the truth."""

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ..adapters.http_client import HttpClient
from ..adapters.http_messages import HttpFailureKind
from ..adapters.settings import Endpoint
from ..model.answer import Outcome
from ..model.failure import Failure
from ..model.identifiers import ServiceName, SnapshotVersion
from ..model.key_range import KeyRange, normalize
from ..simulation.answer_document import answer_document, outcome_of
from ..simulation.models.dataset import Dataset

QUERY_PATH = "/v1/query"
TIMEOUT_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Question:
    """One request.

    Parameters
    ----------
    keys
        Keys asked for; empty: all keys.
    idempotency_key
        Given for requests that must not run twice.
    """

    service: str
    kind: str
    keys: tuple[str, ...] = ()
    deadline_seconds: float | None = None
    idempotency_key: str | None = None
    body: str = ""

    @property
    def key_ranges(self) -> tuple[KeyRange, ...]:
        """The keys asked for, as ranges."""
        if not self.keys:
            return (KeyRange("", None),)
        return normalize(KeyRange.from_key(key) for key in self.keys)

    def document(self) -> dict[str, object]:
        """Return the request body."""
        document: dict[str, object] = {"service": self.service, "kind": self.kind}
        if self.keys:
            document["keys"] = list(self.keys)
        else:
            document["key_ranges"] = [{}]
        if self.deadline_seconds is not None:
            document["deadline_ms"] = round(self.deadline_seconds * MILLISECONDS_PER_SECOND)
        if self.body:
            document["body"] = self.body
        return document


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back.

    Parameters
    ----------
    outcome
        ``None`` if the response is none that the interface describes.
    difference
        How the answer differs from what the back ends hold; empty: it does not.
    failure
        Why there is no response at all.
    """

    question: Question
    node_index: int
    status: int
    outcome: Outcome | None
    document: Mapping[str, Any]
    seconds: float
    difference: str
    failure: HttpFailureKind | None = None

    @property
    def snapshot(self) -> int | None:
        """The index version that the answer comes from."""
        return self.document.get("snapshot")


class DemoCaller:
    """Asks nodes and checks what they answer.

    Parameters
    ----------
    addresses
        Caller interfaces of the nodes.
    """

    def __init__(self, addresses: list[Endpoint], token: str, dataset: Dataset) -> None:
        self._addresses = addresses
        self._token = token
        self._dataset = dataset
        self._client = HttpClient()

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def ask(self, node_index: int, question: Question) -> Reply:
        """Send one request to a node and check the answer."""
        address = self._addresses[node_index]
        headers = {
            "authorization": f"Bearer {self._token}",
            "content-type": "application/json",
        }
        if question.idempotency_key is not None:
            headers["idempotency-key"] = question.idempotency_key
        body = orjson.dumps(question.document())
        began = time.perf_counter()
        response = await self._client.request(
            address.host, address.port, "POST", QUERY_PATH, headers, body, TIMEOUT_SECONDS
        )
        seconds = time.perf_counter() - began
        if isinstance(response, Failure):
            text = f"{response.kind.value}: {response.reason}"
            return Reply(question, node_index, 0, None, {}, seconds, text, response.kind)
        document = answer_document(response.whole_body)
        outcome = outcome_of(document)
        difference = self._difference(question, outcome, document)
        return Reply(question, node_index, response.status, outcome, document, seconds, difference)

    def _difference(
        self, question: Question, outcome: Outcome | None, document: Mapping[str, Any]
    ) -> str:
        if outcome is None:
            return f"not an answer: {document}"
        if outcome not in (Outcome.COMPLETE, Outcome.PARTIAL):
            return ""
        covered = _ranges(document["covered"])
        missing = _ranges(document["missing"])
        if normalize((*covered, *missing)) != question.key_ranges:
            return "covered and missing keys are not those that were asked for"
        if outcome is Outcome.COMPLETE and missing:
            return "called complete, yet keys are missing"
        if document["snapshot"] is None:
            return ""
        expected = self._dataset.rows_of_ranges(
            ServiceName(question.service), covered, SnapshotVersion(document["snapshot"])
        )
        rows = sorted((row["key"], row["value"]) for row in document["rows"])
        if rows != [(row.key, row.value) for row in expected]:
            return f"{len(rows)} rows differ from the {len(expected)} rows of the snapshot"
        return ""


def _ranges(entries: list[Mapping[str, Any]]) -> tuple[KeyRange, ...]:
    return tuple(KeyRange(entry["start"], entry["end"]) for entry in entries)
