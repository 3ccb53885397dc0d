"""Maps failures of attempts to failures of sub-requests."""

from ..model.answer import SubFailureKind
from ..model.failure import Failure
from ..ports.backend import NOT_RUN_KINDS, BackendFailureKind

_SUB_FAILURE_KINDS = {
    BackendFailureKind.CONNECT_FAILED: SubFailureKind.NO_REPLICA,
    BackendFailureKind.NO_CONNECTION_FREE: SubFailureKind.REFUSED,
    BackendFailureKind.SHED: SubFailureKind.REFUSED,
    BackendFailureKind.DRAINING: SubFailureKind.NO_REPLICA,
    BackendFailureKind.NOT_HELD: SubFailureKind.NOT_HELD,
    BackendFailureKind.WRONG_SHARD: SubFailureKind.NOT_OWNED,
    BackendFailureKind.BROKEN: SubFailureKind.BACKEND_ERROR,
    BackendFailureKind.TIMED_OUT: SubFailureKind.DEADLINE,
    BackendFailureKind.ERROR: SubFailureKind.BACKEND_ERROR,
}

EJECTION_FAILURE_KINDS = frozenset(
    {
        BackendFailureKind.CONNECT_FAILED,
        BackendFailureKind.BROKEN,
        BackendFailureKind.TIMED_OUT,
        BackendFailureKind.ERROR,
    }
)
"""Failures that count towards the ejection of a replica."""


def to_sub_failure(failure: Failure[BackendFailureKind]) -> Failure[SubFailureKind]:
    """Return the sub-request failure that corresponds to an attempt failure."""
    return Failure(_SUB_FAILURE_KINDS[failure.kind], failure.reason)


def may_have_run(failure: Failure[BackendFailureKind]) -> bool:
    """Return whether the replica may have run the attempt."""
    return failure.kind not in NOT_RUN_KINDS
