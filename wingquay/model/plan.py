"""A plan: what an operator's intents would change, shown before anything is changed."""

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


class _Shown(BaseModel):
    # Plans wait in the store, where a node of a newer version may have put them.
    model_config = ConfigDict(frozen=True, extra="ignore")


class EffectDirection(Enum):
    """Whether requests will be served sooner or later than before."""

    GAINS = "gains"
    LOSES = "loses"
    MIXED = "mixed"
    """A greater price with a longer promise, or the reverse."""


class ClassTerms(_Shown):
    """A class with its terms at one revision."""

    class_name: ClassName
    price: float
    promise_seconds: float


class ClassEffect(_Shown):
    """What a plan changes for one request kind, for one caller or (``None``) for all others.

    ``before`` and ``after`` are ``None`` where the kind does not exist at that side.
    """

    service: ServiceName
    kind: RequestKindName
    caller: CallerName | None
    before: ClassTerms | None
    after: ClassTerms | None
    direction: EffectDirection
    because: str


class ForecastVerdict(Enum):
    """Whether a promise looks keepable at the load now seen."""

    KEEPABLE = "keepable"
    AT_RISK = "at_risk"
    NOT_KEEPABLE = "not_keepable"
    NOT_KNOWN = "not_known"
    """No load of that kind has been seen by the node that made the plan."""


class PromiseForecast(_Shown):
    """The outlook for one kind's promise, with the figures it rests on (seconds, 0 to 1)."""

    service: ServiceName
    kind: RequestKindName
    promise_seconds: float
    observed_p99_seconds: float | None
    expected_utilization: float | None
    verdict: ForecastVerdict
    reason: str


class Plan(_Shown):
    """What the intents would change; nothing takes effect until it is confirmed.

    Parameters
    ----------
    plan_id
        Also the confirm id: written inside the configuration when the plan lands, so that it
        lands at most once.
    resolved_intents
        The intents with ``top`` and ``lowest`` replaced by the classes they stand for.
    diff
        Readable lines, at most ``plan.MAXIMUM_DIFF_LINES``; ``diff_omitted`` counts the rest.
    change_digest
        SHA-256 over the whole diff and all effects: a plan is rebased only onto a revision
        where both stay what was shown.
    created_unix_seconds, expires_unix_seconds
        Wall-clock time, for people; the expiry itself is kept by a lease.
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
