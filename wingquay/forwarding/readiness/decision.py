"""Decision whether a node should leave service because its zone or itself is cut off."""

from enum import Enum

from ...model.value import value

MIN_ANSWERABLE_SHARE = 0.9
"""Share of recent demand that a node must be able to answer to stay in service. The nodes of a zone
see different samples of the demand, and must still reach the same decision. Callers of another zone
pay a few milliseconds; one rejected request in ten costs them more."""
MIN_OTHER_ZONES = 2
"""Minimum number of other zones, all unreachable, for a zone to leave. A single other zone may be
down itself, or both zones may leave at once."""
MIN_SHARE_GAIN = 0.1
"""Minimum share of demand by which other zones must be able to answer more than this node."""


class DecisionReason(Enum):
    """Why a node stays in service or leaves it."""

    OTHERS_REACHABLE = "other_zones_in_reach"
    SINGLE_ZONE = "no_other_zone"
    ZONE_PEER_CONNECTED = "nodes_of_the_zone_reach_others"
    ENOUGH_ANSWERABLE = "holds_what_callers_ask"
    NO_GAIN = "others_could_not_answer_more"
    FEW_ZONES = "one_other_zone_may_be_down"
    FALLBACK_ZONE = "zone_that_stays"
    UNKNOWN = "nobody_else_is_known"
    ZONE_CUT_OFF = "zone_cut_off"
    NODE_CUT_OFF = "node_cut_off"

    @property
    def should_leave(self) -> bool:
        """Whether the reason requires the node to leave service (not a planned stop)."""
        return self in (DecisionReason.ZONE_CUT_OFF, DecisionReason.NODE_CUT_OFF)


class OwnZoneStatus(Enum):
    """Whether a node reaches its own zone."""

    REACHABLE = "reachable"
    """A replica or another node of the zone answers."""
    SILENT = "silent"
    """The zone has replicas or other nodes, but none answers."""
    UNKNOWN = "unknown"
    """No replica or other node of the zone is known."""


@value
class DecisionInputs:
    """Inputs of the decision.

    Parameters
    ----------
    other_zones
        Other zones that have replicas.
    unreachable_zones
        The other zones whose latest probes all failed; empty if none of these was ever reached.
    own_zone_status
        Whether the node reaches its own zone.
    connected_zone_peer
        A node of the same zone that reaches another zone; empty: none.
    answerable_share
        Share of recent demand (0 to 1) that the node can answer with the replicas in reach.
    answerable_share_elsewhere
        The same for a node in the other zones, provided that these reach each other.
    stays_as_fallback
        Whether the zone is the fallback zone, which stays in service if all zones lose contact, and
        reaches the store.
    """

    other_zones: tuple[str, ...]
    unreachable_zones: tuple[str, ...]
    own_zone_status: OwnZoneStatus
    connected_zone_peer: str
    answerable_share: float
    answerable_share_elsewhere: float
    stays_as_fallback: bool


def decide(inputs: DecisionInputs) -> DecisionReason:
    """Return whether the node should leave service, with the reason.

    It leaves only if the failure is on its own side: all other zones are unreachable from it and
    from the other nodes of its zone, and those zones can answer more of the demand.
    """
    if not inputs.other_zones:
        return DecisionReason.SINGLE_ZONE
    if len(inputs.unreachable_zones) < len(inputs.other_zones):
        return DecisionReason.OTHERS_REACHABLE
    if inputs.connected_zone_peer:
        return DecisionReason.ZONE_PEER_CONNECTED
    if inputs.answerable_share >= MIN_ANSWERABLE_SHARE:
        return DecisionReason.ENOUGH_ANSWERABLE
    if inputs.answerable_share_elsewhere < inputs.answerable_share + MIN_SHARE_GAIN:
        return DecisionReason.NO_GAIN
    return _locate_partition(inputs)


def _locate_partition(inputs: DecisionInputs) -> DecisionReason:
    """Decide whether this node, its zone or the other zones are cut off."""
    match inputs.own_zone_status:
        case OwnZoneStatus.SILENT:
            return DecisionReason.NODE_CUT_OFF
        case OwnZoneStatus.UNKNOWN:
            return DecisionReason.UNKNOWN
    if len(inputs.other_zones) < MIN_OTHER_ZONES:
        return DecisionReason.FEW_ZONES
    return DecisionReason.FALLBACK_ZONE if inputs.stays_as_fallback else DecisionReason.ZONE_CUT_OFF
