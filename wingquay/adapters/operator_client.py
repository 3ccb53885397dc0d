"""The operators' side of the operator interface, for the command line."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from ..model.failure import Failure
from ..ports.operator import OperatorMessage
from .http_client import HttpClient
from .http_messages import NOT_SENT_KINDS, HttpResponse
from .operator_json import call_of
from .problem_details import JSON_TYPE

TIMEOUT_SECONDS = 40.0
"""Longer than a node takes to reply."""

FIRST_ERROR_STATUS = 400


class OperatorClientFailureKind(Enum):
    """Why a command brought no result."""

    REFUSED = "refused"
    """The node answered with a problem; ``reason`` is its text."""
    UNREACHABLE = "unreachable"
    """Nothing was sent."""
    NO_REPLY = "no_reply"
    """It was sent and no reply came: it may have been carried out."""


@dataclass(frozen=True, slots=True)
class OperatorReplyDocument:
    """A reply as JSON; ``status`` is the HTTP status."""

    status: int
    document: dict[str, Any]

    @property
    def is_problem(self) -> bool:
        """Whether the node refused."""
        return self.status >= FIRST_ERROR_STATUS


class OperatorClient:
    """Sends commands to one node.

    Parameters
    ----------
    host, port
        Where the node serves operators (an IP number).
    token
        The operator's bearer token.
    """

    def __init__(self, host: str, port: int, token: str) -> None:
        self._host = host
        self._port = port
        self._token = token
        self._http = HttpClient()

    async def send(
        self, command: OperatorMessage
    ) -> OperatorReplyDocument | Failure[OperatorClientFailureKind]:
        """Send a command and return the node's reply, be it a result or a problem."""
        call = call_of(command)
        headers = {
            "authorization": f"Bearer {self._token}",
            "content-type": JSON_TYPE,
        }
        response = await self._http.request(
            self._host,
            self._port,
            call.method,
            call.target,
            headers,
            call.body,
            TIMEOUT_SECONDS,
        )
        if isinstance(response, Failure):
            return self._failure(response.kind in NOT_SENT_KINDS, response.reason)
        return self._document(response)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    def _document(
        self, response: HttpResponse
    ) -> OperatorReplyDocument | Failure[OperatorClientFailureKind]:
        try:
            document = orjson.loads(response.whole_body)
        except orjson.JSONDecodeError as error:
            return self._failure(False, f"the reply is not JSON: {error}")
        if not isinstance(document, dict):
            return self._failure(False, "the reply is not a JSON object")
        return OperatorReplyDocument(response.status, document)

    def _failure(self, not_sent: bool, reason: str) -> Failure[OperatorClientFailureKind]:
        where = f"node {self._host}:{self._port}"
        if not_sent:
            return Failure(OperatorClientFailureKind.UNREACHABLE, f"{where}: {reason}")
        return Failure(
            OperatorClientFailureKind.NO_REPLY,
            f"{where}: {reason}; the command may have been carried out: ask again",
        )
