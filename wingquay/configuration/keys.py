"""Where things lie in the platform's key-value store."""

from ..model.identifiers import Revision, ZoneName

CURRENT_KEY = "wingquay/configuration/current"
"""The confirmed document; changed only by compare-and-swap."""

_HISTORY_PREFIX = "wingquay/configuration/history/"
PLANS_PREFIX = "wingquay/plans/"
_WATCHERS_PREFIX = "wingquay/watchers/"


def history_key(revision: Revision) -> str:
    """Return where a revision is kept once a later one stands."""
    return f"{_HISTORY_PREFIX}{revision:012d}"


def plan_key(plan_id: str) -> str:
    """Return where a plan waits for its confirm."""
    return f"{PLANS_PREFIX}{plan_id}"


def assignments_prefix(zone: ZoneName) -> str:
    """Return what the keys of a zone's watcher assignments begin with."""
    return f"{_WATCHERS_PREFIX}{zone}/"


def assignment_key(zone: ZoneName, assignment: int) -> str:
    """Return the key whose holder watches the store for its zone."""
    return f"{assignments_prefix(zone)}{assignment}"
