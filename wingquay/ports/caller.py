"""The port towards callers."""

from dataclasses import dataclass

from ..model.answer import Answer
from ..model.configuration import Caller
from ..model.identifiers import RequestId
from ..model.request import QueryRequest
from .machine import Action, Event


@dataclass(frozen=True, slots=True)
class CallerRequest(Event):
    """A caller asked something; ``request.request_id`` names the exchange until it is answered."""

    request: QueryRequest


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before it was answered."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerCaller(Action):
    """Send the answer on the exchange named by ``answer.request_id``; exactly one each."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class SetReady(Action):
    """Change what the readiness page says; ``reason`` is for people."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class SetCallers(Action):
    """Let exactly these callers in from now on (those of the configuration in force)."""

    callers: tuple[Caller, ...]
