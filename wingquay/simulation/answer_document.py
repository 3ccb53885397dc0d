"""Reads what a caller got from a node, without trusting it to be well formed."""

from collections.abc import Mapping
from typing import Any

import orjson

from ..model.answer import Outcome


def answer_document(body: bytes) -> Mapping[str, Any]:
    """Return the JSON object in ``body``; an empty one if there is none."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}


def outcome_of(document: Mapping[str, Any]) -> Outcome | None:
    """Return the outcome that an answer states, or ``None`` if it states none of ours."""
    try:
        return Outcome(document.get("outcome"))
    except ValueError:
        return None
