"""Checks of what clients, replicas and the operator saw, each for one rule."""

from collections.abc import Callable

from ..ledger import Ledger
from ..settings import SoakSettings
from .answers import check_answers
from .budget import check_budget, check_deadlines
from .configuration import check_configuration, check_denied, check_held, check_regress
from .gone import check_gone
from .lost import check_lost
from .quota import check_quota, check_revoked
from .runs import check_refused, check_twice, check_unasked
from .violation import Violation

Check = Callable[[Ledger, SoakSettings], list[Violation]]

CHECKS: tuple[Check, ...] = (
    check_lost,
    check_twice,
    check_refused,
    check_answers,
    check_unasked,
    check_denied,
    check_budget,
    check_deadlines,
    check_gone,
    check_configuration,
    check_regress,
    check_held,
    check_quota,
    check_revoked,
)


def check_all(ledger: Ledger, settings: SoakSettings) -> list[Violation]:
    """Return everything that broke a rule."""
    return [violation for check in CHECKS for violation in check(ledger, settings)]
