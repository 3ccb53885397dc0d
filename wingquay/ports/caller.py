"""Events and actions for callers of the query interface.

Requests that are forwarded unchanged have their own events and actions, see ``forwarding.py``.
"""

from dataclasses import dataclass

from ..model.answer import Answer
from ..model.configuration import Caller
from ..model.identifiers import RequestId
from ..model.request import QueryRequest
from .machine import Action, Event


@dataclass(frozen=True, slots=True)
class CallerRequest(Event):
    """A caller sent a request; ``request.request_id`` identifies it until it is answered."""

    request: QueryRequest


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the answer was sent."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerCaller(Action):
    """Send the answer to the request ``answer.request_id``; exactly one per request."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class SetReady(Action):
    """Set the state of the readiness page; ``reason`` is shown to people."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class SetCallers(Action):
    """Replace the set of callers that may send requests (from the configuration in force)."""

    callers: tuple[Caller, ...]
