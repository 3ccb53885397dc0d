"""Combines the reachability of zones with the decision whether this node is in service."""

from typing import TYPE_CHECKING

from ...model.failure import Failure
from ...model.routing_table import RoutingTable
from ...ports.forwarding import ConnectionTried, ForwardRequested
from ...ports.machine import Action, Count, Event, Log, LogLevel
from ...ports.peer_link import PeerReceived
from ...ports.reach_news import ReachabilityReport
from ...ports.store import StoreFailureKind, StoreResponse, WatchBroken, WatchChanged
from ..choice.replica_directory import ReplicaDirectory
from ..knowledge.reachability_evidence import ReachabilityEvidence
from ..settings import ForwardingSettings
from .decision import DecisionInputs, DecisionReason, OwnZoneStatus, decide
from .departure import Departure
from .peer_selector import PeerSelector
from .route_demand import RouteDemand
from .zone_prober import ROUND_SECONDS, SLOW_ROUND_SECONDS, ProbeRoundDue, ZoneProber

if TYPE_CHECKING:
    from ..knowledge.node_groups import NodeGroups

STORE_UNREACHABLE_KINDS = (StoreFailureKind.UNREACHABLE, StoreFailureKind.LOST_REPLY)
"""Failures that mean the store is unreachable; a store that rejects a call is not."""
MAX_ROUND_LAG_SECONDS = 0.15
"""Lag of this node from which on the results of a probe round are not used."""


class ReachabilityMonitor:
    """Takes this node out of service while its zone or the node is cut off.

    Parameters
    ----------
    settings
        The zone of this node, and whether leaving service is enabled.
    name
        This node's name.
    directory
        The replicas.
    evidence
        Failures of regular traffic.
    demand
        The recent demand by route.
    departure
        Tracks whether the node is out of service.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        name: str,
        directory: ReplicaDirectory,
        evidence: ReachabilityEvidence,
        demand: RouteDemand,
        departure: Departure,
    ) -> None:
        self._zone = settings.zone
        self._is_enabled = settings.leaves_when_cut_off
        self._evidence = evidence
        self._demand = demand
        self._departure = departure
        self._peers = PeerSelector(settings.zone, name)
        self._prober = ZoneProber(settings.zone, name, directory, evidence, self._peers)
        self._table: RoutingTable | None = None
        self._is_store_unreachable = False
        self._last_reason: DecisionReason | None = None

    def set_table(self, table: RoutingTable) -> None:
        """Apply a configuration."""
        self._table = table

    def enable_peers(self, groups: "NodeGroups") -> None:
        """Start to query other nodes in reachability checks."""
        self._peers.groups = groups

    def observe(self, event: Event, now: float) -> bool:
        """Record the sender's zone, and return whether ``handle`` must be called for the event."""
        if not self._is_enabled:
            return False
        match event:
            case (
                ConnectionTried()
                | ForwardRequested()
                | PeerReceived(message=ReachabilityReport())
                | ProbeRoundDue()
                | StoreResponse()
                | WatchBroken()
                | WatchChanged()
            ):
                return True
            case PeerReceived(sender=sender):
                self._prober.record_zone_seen(sender.zone)
        return self._prober.is_checking or self._evidence.suggests_outage(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event, after all other handlers."""
        actions = self._dispatch(event, now)
        for zone in self._evidence.take_answered_zones():
            actions += self._prober.record_zone_answer(zone, now)
        if not self._prober.is_checking and self._evidence.suggests_outage(now):
            actions += self._prober.begin_check(now)
        decides_now = not self._departure.is_away or isinstance(event, ConnectionTried)
        if decides_now and self._prober.answering_zones():
            actions += self._decide_actions(now)
        return actions

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        match event:
            case ConnectionTried():
                return self._prober.handle_connection_tried(event, now)
            case ForwardRequested():
                self._record_demand(event, now)
            case PeerReceived(sender=sender, message=ReachabilityReport() as report):
                return self._prober.handle_report(sender, report, now)
            case ProbeRoundDue():
                return self._end_round(event, now)
            case StoreResponse() | WatchBroken() | WatchChanged():
                self._record_store_state(event)
        return []

    def _record_demand(self, event: ForwardRequested, now: float) -> None:
        route = None if self._table is None else self._table.find(event.host, event.path)
        if route is not None:
            self._demand.record(route, now)

    def _record_store_state(self, event: StoreResponse | WatchBroken | WatchChanged) -> None:
        match event:
            case WatchChanged():
                self._is_store_unreachable = False
            case WatchBroken(history_lost=history_lost):
                self._is_store_unreachable = not history_lost
            case StoreResponse(result=result):
                kind = result.kind if isinstance(result, Failure) else None
                self._is_store_unreachable = kind in STORE_UNREACHABLE_KINDS

    def _end_round(self, event: ProbeRoundDue, now: float) -> list[Action]:
        if not self._prober.is_current_round(event):
            return []
        if now - event.due_at >= MAX_ROUND_LAG_SECONDS:
            return self._prober.next_round(now, queries_nodes=not self._departure.is_away)
        reason, actions = self._decide(now)
        if not self._prober.is_checking:
            return actions
        is_away = self._departure.is_away
        seconds = ROUND_SECONDS if is_away or reason.should_leave else SLOW_ROUND_SECONDS
        return [*actions, *self._prober.next_round(now, seconds, queries_nodes=not is_away)]

    def _decide_actions(self, now: float) -> list[Action]:
        return self._decide(now)[1]

    def _decide(self, now: float) -> tuple[DecisionReason, list[Action]]:
        """Decide, and leave service or return accordingly."""
        inputs = self._decision_inputs(now)
        reason = decide(inputs)
        actions: list[Action] = []
        away_seconds = self._departure.away_seconds(now)
        if self._departure.update(reason.should_leave, now, self._is_fallback_zone):
            actions = self._log_service_change(reason, inputs, away_seconds, now)
        elif (
            reason is not self._last_reason and not reason.should_leave and inputs.unreachable_zones
        ):
            actions = [_decision_log("node_stays_in_service", LogLevel.INFO, reason, inputs)]
        self._last_reason = reason
        if not self._departure.is_away and reason in (
            DecisionReason.OTHERS_REACHABLE,
            DecisionReason.SINGLE_ZONE,
        ):
            self._prober.end_check()
            self._last_reason = None
        return reason, actions

    def _decision_inputs(self, now: float) -> DecisionInputs:
        prober = self._prober
        unreachable_zones = prober.unreachable_zones(now)
        own_zone_status = prober.own_zone_status()
        excluded_zones = (
            {*unreachable_zones, self._zone}
            if own_zone_status is OwnZoneStatus.SILENT
            else set(unreachable_zones)
        )
        return DecisionInputs(
            prober.other_zones(),
            unreachable_zones,
            own_zone_status,
            prober.connected_zone_peer(now),
            self._share(excluded_zones, now),
            self._share({self._zone}, now),
            # A zone that cannot reach the store does not stay, because another zone may still reach
            # it.
            self._is_fallback_zone and not self._is_store_unreachable,
        )

    @property
    def _is_fallback_zone(self) -> bool:
        """Whether this is the fallback zone: the first by name, which stays in any partition."""
        return self._zone == self._peers.zones()[0]

    def _share(self, excluded_zones: set[str], now: float) -> float:
        return 1.0 if self._table is None else self._demand.share(self._table, excluded_zones, now)

    def _log_service_change(
        self, reason: DecisionReason, inputs: DecisionInputs, away_seconds: float, now: float
    ) -> list[Action]:
        """Log and count that this node left service or returned."""
        if self._departure.is_away:
            check_time = ("check_seconds", round(now - self._prober.checking_since, 3))
            line = _decision_log("node_left_service", LogLevel.WARNING, reason, inputs, check_time)
            direction = "left"
        else:
            away_time = ("away_seconds", round(away_seconds, 3))
            line = _decision_log(
                "node_returned_to_service", LogLevel.WARNING, reason, inputs, away_time
            )
            direction = "returned"
        return [
            line,
            Count("callers_moves_total", labels=(("change", direction), ("why", reason.value))),
        ]


def _decision_log(
    message: str,
    level: str,
    reason: DecisionReason,
    inputs: DecisionInputs,
    *fields: tuple[str, float],
) -> Log:
    """Return a log line with the inputs of a decision."""
    input_fields = (
        ("reason", reason.value),
        ("unreachable_zones", ",".join(inputs.unreachable_zones) or "none"),
        ("other_zones", len(inputs.other_zones)),
        ("own_zone", inputs.own_zone_status.value),
        ("connected_zone_peer", inputs.connected_zone_peer or "none"),
        ("answerable_share", round(inputs.answerable_share, 3)),
        ("answerable_share_elsewhere", round(inputs.answerable_share_elsewhere, 3)),
    )
    return Log(message, level, (*input_fields, *fields))
