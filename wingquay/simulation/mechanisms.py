"""Every protective mechanism, what it protects, and so which check must notice its absence."""

from ..model.mechanisms import Mechanism
from .invariants import Invariant

TAIL_LATENCY = "tail_latency"
EXTRA_LOAD = "extra_load"
COVERAGE = "coverage"
PROMISE_KEPT = "promise_kept"

PROTECTS: dict[Mechanism, str] = {
    Mechanism.SNAPSHOT_PINNING: Invariant.SINGLE_SNAPSHOT.value,
    Mechanism.COVERAGE_ACCOUNTING: Invariant.TRUE_COVERAGE.value,
    Mechanism.DUPLICATE_RESULT_FILTER: Invariant.TRUE_COVERAGE.value,
    Mechanism.RUN_TRACKING: Invariant.NOT_RUN_MEANS_NOT_RUN.value,
    Mechanism.UNREPEATABLE_GUARD: Invariant.AT_MOST_ONCE.value,
    Mechanism.CLAIM_QUORUM: Invariant.AT_MOST_ONCE.value,
    Mechanism.CLAIM_ASSIGNMENT_EPOCHS: Invariant.AT_MOST_ONCE.value,
    Mechanism.CLAIM_REBUILD: Invariant.AT_MOST_ONCE.value,
    Mechanism.CLAIM_PAUSE_DETECTION: Invariant.AT_MOST_ONCE.value,
    Mechanism.REPLICA_LEAVING: Invariant.DRAINING_GETS_NO_NEW_WORK.value,
    Mechanism.PLANNED_STOP_DRAIN: Invariant.PLANNED_STOP_CUTS_NOTHING.value,
    Mechanism.REVISION_MONOTONIC: Invariant.CONFIGURATION_IN_FORCE_AND_MONOTONIC.value,
    Mechanism.CONFIRM_READ_BACK: Invariant.CONFIGURATION_IN_FORCE_AND_MONOTONIC.value,
    Mechanism.PEER_DISSEMINATION: Invariant.CONFIGURATION_IN_FORCE_AND_MONOTONIC.value,
    Mechanism.OWNER_FAILOVER: COVERAGE,
    Mechanism.HEDGING: TAIL_LATENCY,
    Mechanism.HEDGE_BUDGET: EXTRA_LOAD,
    Mechanism.RETRY_BUDGET: EXTRA_LOAD,
    Mechanism.CANCEL_LOSERS: TAIL_LATENCY,
    Mechanism.CLASS_ORDER: PROMISE_KEPT,
    Mechanism.EARLY_REFUSAL: PROMISE_KEPT,
    Mechanism.OUTLIER_EJECTION: TAIL_LATENCY,
    Mechanism.SLOW_START: TAIL_LATENCY,
    Mechanism.LOAD_AWARE_CHOICE: TAIL_LATENCY,
    Mechanism.DEADLINE_CHECK: EXTRA_LOAD,
}
"""An invariant's name, or one of the measures above."""
