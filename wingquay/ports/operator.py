"""The port towards operators: commands in, typed replies out.

The commands and results are defined by the configuration package's needs; adapters only carry
them.
"""

from dataclasses import dataclass
from enum import Enum

from pydantic import BaseModel, ConfigDict

from wingquay.model.failure import Failure
from wingquay.model.identifiers import OperatorName
from wingquay.ports.machine import Action, Event


class OperatorFailureKind(Enum):
    """Why a command had no result."""

    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The configuration moved on; the reason says what changed."""
    EXPIRED = "expired"
    STORE_UNAVAILABLE = "store_unavailable"
    """Nothing was changed."""
    NOT_KNOWN_YET = "not_known_yet"
    """It may have taken effect; asking again later tells."""


class OperatorMessage(BaseModel):
    """Base of commands and results; checked strictly, immutable."""

    model_config = ConfigDict(frozen=True, extra="forbid")


@dataclass(frozen=True, slots=True)
class OperatorRequest(Event):
    """An authenticated operator's command.

    Parameters
    ----------
    exchange_id
        Names the exchange until it is replied to.
    unix_seconds
        Wall-clock time, for records that people read; never for decisions.
    """

    exchange_id: str
    operator: OperatorName
    command: OperatorMessage
    unix_seconds: float


@dataclass(frozen=True, slots=True)
class OperatorReply(Action):
    """The reply to a command; exactly one each."""

    exchange_id: str
    result: OperatorMessage | Failure[OperatorFailureKind]
