"""Keys of the configuration in the platform's key-value store."""

from ..model.identifiers import Revision, ZoneName

CURRENT_KEY = "wingquay/configuration/current"
"""The confirmed document; changed only by compare-and-swap."""

_HISTORY_PREFIX = "wingquay/configuration/history/"
PLANS_PREFIX = "wingquay/plans/"
_WATCHERS_PREFIX = "wingquay/watchers/"


def history_key(revision: Revision) -> str:
    """Return the key of a revision that a later one has replaced."""
    return f"{_HISTORY_PREFIX}{revision:012d}"


def plan_key(plan_id: str) -> str:
    """Return the key of an unconfirmed plan."""
    return f"{PLANS_PREFIX}{plan_id}"


def assignments_prefix(zone: ZoneName) -> str:
    """Return the common prefix of the keys of a zone's watcher assignments."""
    return f"{_WATCHERS_PREFIX}{zone}/"


def assignment_key(zone: ZoneName, assignment_index: int) -> str:
    """Return the key of a watcher assignment, whose holder watches the store for its zone."""
    return f"{assignments_prefix(zone)}{assignment_index}"
