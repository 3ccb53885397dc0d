"""Encodes the stored answers of unrepeatable requests as JSON."""

from dataclasses import replace

from pydantic import TypeAdapter, ValidationError

from ..model.answer import Answer
from ..model.identifiers import RequestId

_ADAPTER = TypeAdapter(Answer)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as JSON."""
    return _ADAPTER.dump_json(answer)


def decode_answer(stored: bytes, request_id: RequestId) -> Answer | None:
    """Return a stored answer with ``request_id`` set; ``None`` if it is malformed."""
    try:
        answer = _ADAPTER.validate_json(stored)
    except ValidationError:
        return None
    return replace(answer, request_id=request_id)
