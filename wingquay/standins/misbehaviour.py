"""Wrong answers, made from right ones."""

from collections.abc import AsyncIterator
from dataclasses import replace

from ..adapters.http_messages import ConnectionCutError, HttpResponse
from ..model.answer import Row
from ..model.identifiers import AttemptId, SnapshotVersion
from ..simulation.models.backend_messages import BackendReply
from .backend_admin import Misbehaviour
from .backend_wire import reply_to_http

CROSSED_SUFFIX = "-crossed"
OUTSIDE_ROW = Row("~outside", "a row that nobody asked for")


def wrong_response(reply: BackendReply, mode: Misbehaviour) -> HttpResponse:
    """Return the response that ``mode`` makes of ``reply``.

    Raises
    ------
    ConnectionCutError
        The connection is to be closed without a response.
    """
    if mode is Misbehaviour.CLOSED:
        raise ConnectionCutError
    response = reply_to_http(_wrong_reply(reply, mode))
    if mode is Misbehaviour.TRUNCATED:
        return replace(response, body=_first_half(response))
    if mode is Misbehaviour.CUT:
        return replace(response, body=_cut_stream(_first_half(response)))
    return response


def _wrong_reply(reply: BackendReply, mode: Misbehaviour) -> BackendReply:
    if mode is Misbehaviour.CROSSED:
        return replace(reply, attempt_id=AttemptId(reply.attempt_id + CROSSED_SUFFIX))
    if mode is Misbehaviour.OTHER_SNAPSHOT:
        return replace(reply, snapshot=SnapshotVersion((reply.snapshot or 0) + 1))
    if mode is Misbehaviour.OUTSIDE_ROWS:
        return replace(reply, rows=(*reply.rows, OUTSIDE_ROW))
    return reply


def _first_half(response: HttpResponse) -> bytes:
    body = response.whole_body
    return body[: len(body) // 2]


async def _cut_stream(piece: bytes) -> AsyncIterator[bytes]:
    yield piece
    raise ConnectionCutError
