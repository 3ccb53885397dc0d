"""Whether a node should take callers: one decision on what it knows."""

from enum import Enum

from ...model.value import value

MIN_ANSWERABLE_SHARE = 0.9
"""Share of what callers ask that a node must be able to answer. Elsewhere callers are answered in
full, at the price of the way there and of a new connection, a few milliseconds: one request in ten
that is refused costs callers more. All nodes of a cut zone must come to the same, and each has seen
some twenty requests only, so the threshold is far from usual mixes of what is asked."""
MIN_OTHER_ZONES = 2
"""Other zones that must be out of reach for a zone to leave. A single one may itself be down, or
the two may have lost each other: callers of both would then find nobody."""
MIN_SHARE_GAIN = 0.1
"""Share by which others must be able to answer more: otherwise moving gains callers nothing."""


class DecisionReason(Enum):
    """Why a node takes callers, or does not."""

    IN_REACH = "other_zones_in_reach"
    ONE_ZONE = "no_other_zone"
    NEIGHBOURS_REACH = "nodes_of_the_zone_reach_others"
    ENOUGH_ANSWERABLE = "holds_what_callers_ask"
    NO_GAIN = "others_could_not_answer_more"
    FEW_ZONES = "one_other_zone_may_be_down"
    LAST_ZONE = "zone_that_stays"
    UNKNOWN = "nobody_else_is_known"
    ZONE_CUT_OFF = "zone_cut_off"
    NODE_CUT_OFF = "node_cut_off"

    @property
    def should_leave(self) -> bool:
        """Whether the node should take no callers."""
        return self in (DecisionReason.ZONE_CUT_OFF, DecisionReason.NODE_CUT_OFF)


class OwnZoneStatus(Enum):
    """What a node finds of its own zone."""

    IN_REACH = "in_reach"
    """A replica or a node of it answers."""
    SILENT = "silent"
    """There are replicas or nodes of it, and none answers."""
    UNKNOWN = "unknown"
    """Nothing is known of it but this node."""


@value
class DecisionInputs:
    """What a node knows when it decides.

    Parameters
    ----------
    other_zones
        Other zones that have replicas.
    zones_out
        Those of them that were in reach and are not any more.
    own_side
        What it finds of its own zone.
    connected_neighbour
        A node of its zone that reaches another zone; empty: none says so.
    share_here
        Share of what callers lately asked that it can answer by what is in reach.
    share_elsewhere
        The same for a node in the other zones, if these reach each other.
    is_last_zone
        Whether its zone must stay: if all zones lose each other, one has to take callers.
    """

    other_zones: tuple[str, ...]
    zones_out: tuple[str, ...]
    own_side: OwnZoneStatus
    connected_neighbour: str
    share_here: float
    share_elsewhere: float
    is_last_zone: bool


def decide(situation: DecisionInputs) -> DecisionReason:
    """Return whether the node should take callers, by its reason.

    It leaves only for a trouble of its own side: every other zone is out of reach, nobody near it
    reaches one, and those zones hold more of what callers ask than it does.
    """
    if not situation.other_zones:
        return DecisionReason.ONE_ZONE
    if len(situation.zones_out) < len(situation.other_zones):
        return DecisionReason.IN_REACH
    if situation.connected_neighbour:
        return DecisionReason.NEIGHBOURS_REACH
    if situation.share_here >= MIN_ANSWERABLE_SHARE:
        return DecisionReason.ENOUGH_ANSWERABLE
    if situation.share_elsewhere < situation.share_here + MIN_SHARE_GAIN:
        return DecisionReason.NO_GAIN
    return _locate_partition(situation)


def _locate_partition(situation: DecisionInputs) -> DecisionReason:
    """Return whether this node or its zone has lost the others, or others may have been lost."""
    match situation.own_side:
        case OwnZoneStatus.SILENT:
            return DecisionReason.NODE_CUT_OFF
        case OwnZoneStatus.UNKNOWN:
            return DecisionReason.UNKNOWN
    if len(situation.other_zones) < MIN_OTHER_ZONES:
        return DecisionReason.FEW_ZONES
    return DecisionReason.LAST_ZONE if situation.is_last_zone else DecisionReason.ZONE_CUT_OFF
