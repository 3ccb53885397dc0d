"""A plan: the changes that an operator's intents would cause, shown before they are made."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from .identifiers import (
    CallerName,
    ClassName,
    OperatorName,
    RequestKindName,
    Revision,
    ServiceName,
)
from .intent import Intent


class _PlanModel(BaseModel):
    # Unknown fields are ignored because a node of a newer version may have stored the plan.
    model_config = ConfigDict(frozen=True, extra="ignore")


class EffectDirection(Enum):
    """Whether requests will be served sooner or later than before."""

    GAINS = "gains"
    LOSES = "loses"
    MIXED = "mixed"
    """A higher price with a longer promise, or the reverse."""


class ClassTerms(_PlanModel):
    """A class with its price and promise at one revision."""

    class_name: ClassName
    price: float
    promise_seconds: float


class ClassEffect(_PlanModel):
    """The change of class for one request kind, for one caller or all others (``None``).

    ``before`` and ``after`` are ``None`` if the request kind does not exist before or after the
    change.
    """

    service: ServiceName
    kind: RequestKindName
    caller: CallerName | None
    before: ClassTerms | None
    after: ClassTerms | None
    direction: EffectDirection
    because: str


class ForecastVerdict(Enum):
    """Whether a promise is expected to hold at the current load."""

    KEEPABLE = "keepable"
    AT_RISK = "at_risk"
    NOT_KEEPABLE = "not_keepable"
    NOT_KNOWN = "not_known"
    """The node that made the plan has seen no requests of that kind."""


class PromiseForecast(_PlanModel):
    """Forecast for the promise of one request kind, with the figures it is based on.

    Parameters
    ----------
    observed_p99_seconds
        Current 99th percentile of the latency; ``None``: no requests seen.
    expected_utilization
        Fraction of the service's slots in use after the change; ``None``: unknown.
    """

    service: ServiceName
    kind: RequestKindName
    promise_seconds: float
    observed_p99_seconds: float | None
    expected_utilization: float | None
    verdict: ForecastVerdict
    reason: str


class Plan(_PlanModel):
    """The changes that a list of intents would cause; they take effect when the plan is confirmed.

    Parameters
    ----------
    plan_id
        Also the confirm id. It is stored in the configuration when the plan takes effect, so that
        the plan is applied at most once.
    resolved_intents
        The intents with ``top`` and ``lowest`` replaced by actual classes.
    diff
        Changed lines, at most ``configuration.plan.MAX_DIFF_LINES``; ``diff_omitted`` counts
        the rest.
    change_digest
        SHA-256 of the complete diff and all effects. A plan is rebased only onto revisions where
        both are unchanged.
    created_unix_seconds, expires_unix_seconds
        Wall-clock times, for people; a lease enforces the expiry.
    """

    plan_id: str
    base_revision: Revision
    operator: OperatorName
    intents: tuple[Intent, ...]
    resolved_intents: tuple[Intent, ...]
    diff: tuple[str, ...]
    diff_omitted: int = 0
    change_digest: str
    effects: tuple[ClassEffect, ...] = ()
    outlook: tuple[PromiseForecast, ...] = ()
    warnings: tuple[str, ...] = ()
    created_unix_seconds: float
    expires_unix_seconds: float
