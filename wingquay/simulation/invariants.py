"""What must always hold, by name, and how violations are counted."""

from collections import Counter
from enum import Enum

EXAMPLES_KEPT = 20


class Invariant(Enum):
    """An invariant of the users' brief; the value is its name in reports."""

    SINGLE_SNAPSHOT = "single_snapshot"
    TRUE_COVERAGE = "true_coverage"
    OWN_ANSWER = "own_answer"
    NOT_RUN_MEANS_NOT_RUN = "not_run_means_not_run"
    AT_MOST_ONCE = "at_most_once"
    DRAINING_GETS_NO_NEW_WORK = "draining_gets_no_new_work"
    PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"
    CONFIGURATION_IN_FORCE_AND_MONOTONIC = "configuration_in_force_and_monotonic"
    ANSWERED_BY_DEADLINE = "answered_by_deadline"


class Violations:
    """Counts of violations, with the first few in words."""

    def __init__(self) -> None:
        self.counts: Counter[Invariant] = Counter()
        self.examples: list[str] = []

    def add(self, invariant: Invariant, at_seconds: float, what: str) -> None:
        """Count a violation that showed at ``at_seconds``."""
        self.counts[invariant] += 1
        if len(self.examples) < EXAMPLES_KEPT:
            self.examples.append(f"{at_seconds:.6f} {invariant.value}: {what}")

    @property
    def total(self) -> int:
        """How many there are."""
        return self.counts.total()

    def by_name(self) -> dict[str, int]:
        """Return every invariant's count, also those that are zero."""
        return {invariant.value: self.counts[invariant] for invariant in Invariant}
