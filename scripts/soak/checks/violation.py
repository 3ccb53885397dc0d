"""A broken rule."""

from enum import Enum

import attrs


class Rule(Enum):
    """The rules, named as on the platform's pages."""

    LOST = "LOST"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    MIXED = "MIXED"
    UNASKED = "UNASKED"
    DENIED = "DENIED"
    BUDGET = "BUDGET"
    GONE = "GONE"
    CONFIG = "CONFIG"
    QUOTA = "QUOTA"


@attrs.frozen
class Violation:
    """What broke a rule.

    Parameters
    ----------
    request_ids
        The requests that show it, for the trace.
    """

    rule: Rule
    text: str
    request_ids: tuple[str, ...] = ()
