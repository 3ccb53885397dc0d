"""Stores plans until they are confirmed, discarded or expire.

A plan is written to the store with a lease, so that any node can confirm it and it expires
automatically. While the store does not answer, a plan is kept only on the node that made it.
"""

from dataclasses import dataclass

from pydantic import ValidationError

from ..model.failure import Failure
from ..model.plan import Plan
from ..ports.operator import OperatorFailureKind
from ..ports.store import (
    CompareAndSwap,
    GrantLease,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StoredValue,
    SwapResult,
)
from .keys import PLANS_PREFIX, plan_key
from .plan import PLAN_LIFETIME_SECONDS
from .script import Script, call_store, perform

MAX_LOCAL_PLANS = 200
"""Limit of plans that a node keeps locally; the oldest are dropped first."""

LOCAL_ONLY_WARNING = (
    "the store does not answer: this plan is kept on this node only, "
    "and cannot be confirmed until the store answers"
)

PlanStoreFailure = Failure[OperatorFailureKind]


@dataclass(frozen=True, slots=True)
class LocalPlan:
    """A plan that only this node has, and the time at which it expires (``None``: never)."""

    plan: Plan
    expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class PlanList:
    """The plans that were found; ``complete`` is false if the store did not answer."""

    plans: tuple[Plan, ...]
    complete: bool


class PlanStore:
    """Saves, finds and discards plans, in the store or else locally on this node."""

    def __init__(self) -> None:
        self._local_plans: dict[str, LocalPlan] = {}

    def save(self, plan: Plan) -> Script[Plan]:
        """Save ``plan`` and return it, with an added warning if it is saved only on this node."""
        lease = (yield from call_store(GrantLease(PLAN_LIFETIME_SECONDS))).outcome
        if isinstance(lease, LeaseState):
            value = plan.model_dump_json().encode()
            operation = CompareAndSwap(plan_key(plan.plan_id), 0, value, lease.lease_id)
            swap = (yield from call_store(operation)).outcome
            if isinstance(swap, SwapResult):
                return plan
            yield from call_store(RevokeLease(lease.lease_id))
        now = yield from perform()
        local_plan = plan.model_copy(update={"warnings": (*plan.warnings, LOCAL_ONLY_WARNING)})
        self._save_locally(LocalPlan(local_plan, now + PLAN_LIFETIME_SECONDS), now)
        return local_plan

    def find(self, plan_id: str) -> Script[Plan | PlanStoreFailure]:
        """Return the plan with this id if it can still be confirmed."""
        reply = yield from call_store(Read(plan_key(plan_id)))
        result = reply.outcome
        local = self._find_local(plan_id, reply.now)
        if isinstance(result, ReadResult) and result.values:
            return _parse_plan(result.values[0])
        if local is not None:
            return local
        if not isinstance(result, ReadResult):
            reason = result.reason if isinstance(result, Failure) else "unexpected reply"
            return Failure(
                OperatorFailureKind.STORE_UNAVAILABLE,
                f"plan {plan_id!r} is not on this node and the store does not answer: {reason}",
            )
        if plan_id in self._local_plans:
            return Failure(OperatorFailureKind.EXPIRED, f"plan {plan_id!r} has expired")
        return Failure(
            OperatorFailureKind.NOT_FOUND,
            f"plan {plan_id!r} has expired, was discarded or never existed; make a new plan",
        )

    def list(self) -> Script[PlanList]:
        """Return the plans that can still be confirmed, oldest first; omits malformed ones."""
        reply = yield from call_store(Read(PLANS_PREFIX, prefix=True))
        result = reply.outcome
        stored = result.values if isinstance(result, ReadResult) else ()
        parsed = (_parse_plan(value) for value in stored)
        plans = {plan.plan_id: plan for plan in parsed if isinstance(plan, Plan)}
        for plan_id in tuple(self._local_plans):
            local = self._find_local(plan_id, reply.now)
            if local is not None:
                plans.setdefault(plan_id, local)
        ordered = sorted(plans.values(), key=lambda plan: (plan.created_unix_seconds, plan.plan_id))
        return PlanList(tuple(ordered), isinstance(result, ReadResult))

    def discard(self, plan_id: str) -> Script[PlanStoreFailure | None]:
        """Delete a plan; return ``None`` on success."""
        local = self._local_plans.pop(plan_id, None)
        key = plan_key(plan_id)
        found = (yield from call_store(Read(key))).outcome
        if isinstance(found, ReadResult) and not found.values:
            if local is not None:
                return None
            reason = f"plan {plan_id!r} has expired, was discarded or never existed"
            return Failure(OperatorFailureKind.NOT_FOUND, reason)
        if isinstance(found, ReadResult):
            operation = CompareAndSwap(key, found.values[0].modified_at, None)
            swap = (yield from call_store(operation)).outcome
            if isinstance(swap, SwapResult):
                return None
        if local is not None:
            return None
        return Failure(
            OperatorFailureKind.STORE_UNAVAILABLE,
            f"the store does not answer: plan {plan_id!r} may still be confirmed; discard it again",
        )

    def _find_local(self, plan_id: str, now: float) -> Plan | None:
        local = self._local_plans.get(plan_id)
        if local is None or (local.expires_at is not None and local.expires_at <= now):
            return None
        return local.plan

    def _save_locally(self, local: LocalPlan, now: float) -> None:
        self._local_plans[local.plan.plan_id] = local
        while len(self._local_plans) > MAX_LOCAL_PLANS:
            self._local_plans.pop(next(iter(self._local_plans)))


def _parse_plan(value: StoredValue) -> Plan | PlanStoreFailure:
    try:
        return Plan.model_validate_json(value.value)
    except ValidationError as error:
        reason = f"this node's version cannot parse the plan: {str(error)[:200]}"
        return Failure(OperatorFailureKind.INVALID, reason)
