"""How many zones must agree.

``majority + tables_needed == zones + 1``. So the zones whose tables a new assignment holder has
read include at least one zone of every majority that granted a claim.
"""


def majority(zone_count: int) -> int:
    """Return the number of zones that must grant a claim."""
    return zone_count // 2 + 1


def tables_needed(zone_count: int) -> int:
    """Return the number of other zones from which a new assignment holder needs complete tables."""
    return zone_count - majority(zone_count) + 1
