"""How many zones must agree.

``majority + tables_needed == zones + 1``, so any zones whose tables a new assignment holder has
read share one with any majority that granted a claim.
"""


def majority(zone_count: int) -> int:
    """Return how many zones must grant a claim."""
    return zone_count // 2 + 1


def tables_needed(zone_count: int) -> int:
    """Return from how many other zones a new assignment holder needs complete tables."""
    return zone_count - majority(zone_count) + 1
