"""Joins what a node finds out about other zones with the decision whether it takes callers."""

from typing import TYPE_CHECKING

from ...model.failure import Failure
from ...model.routing_table import RoutingTable
from ...ports.forwarding import ConnectionTried, ForwardRequested
from ...ports.machine import Action, Count, Event, Log, LogLevel
from ...ports.peer_link import PeerReceived
from ...ports.reach_news import ReachNews
from ...ports.store import StoreFailureKind, StoreResponse, WatchBroken, WatchChanged
from ..choice.replica_directory import ReplicaDirectory
from ..knowledge.reachability_evidence import ReachabilityEvidence
from ..settings import ForwardingSettings
from .decision import DecisionInputs, DecisionReason, OwnZoneStatus, decide
from .departure import Departure
from .peer_selector import PeerSelector
from .route_demand import RouteDemand
from .zone_prober import ROUND_SECONDS, SLOW_ROUND_SECONDS, ReachCheckDue, ZoneProber

if TYPE_CHECKING:
    from ..knowledge.node_groups import NodeGroups

STORE_UNREACHABLE_KINDS = (StoreFailureKind.UNREACHABLE, StoreFailureKind.LOST_REPLY)
"""How calls to a store that is out of reach end; one that refuses a call has answered."""
LATE_SECONDS = 0.15
"""Lateness of this node from which on the tries of a round tell more of itself than of zones."""


class ReachabilityMonitor:
    """Decides whether this node leaves its callers to other zones.

    Parameters
    ----------
    settings
        The zone of this node, and whether it leaves at all.
    name
        This node's name.
    directory
        The replicas.
    evidence
        What requests have shown.
    asked
        What callers ask.
    departure
        Is moved by what is decided here.
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
        self._contacts = PeerSelector(settings.zone, name)
        self._prober = ZoneProber(settings.zone, name, directory, evidence, self._contacts)
        self._table: RoutingTable | None = None
        self._is_store_away = False
        self._last_reason: DecisionReason | None = None

    def set_table(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        self._table = table

    def enable_peers(self, groups: "NodeGroups") -> None:
        """Ask other nodes from now on."""
        self._contacts.groups = groups

    def is_relevant(self, event: Event, now: float) -> bool:
        """Whether something is to be done after an event."""
        if not self._is_enabled:
            return False
        match event:
            case (
                ConnectionTried()
                | ForwardRequested()
                | PeerReceived(message=ReachNews())
                | ReachCheckDue()
                | StoreResponse()
                | WatchBroken()
                | WatchChanged()
            ):
                return True
            case PeerReceived(sender=sender):
                self._prober.zone_seen(sender.zone)
        return self._prober.is_checking or self._evidence.suggests_outage(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event after everything else has."""
        actions = self._dispatch(event, now)
        for zone in self._evidence.take_answered_zones():
            actions += self._prober.zone_answered(zone, now)
        if not self._prober.is_checking and self._evidence.suggests_outage(now):
            actions += self._prober.begin(now)
        is_news = not self._departure.is_away or isinstance(event, ConnectionTried)
        if is_news and self._prober.answering_zones():
            actions += self._update(now)
        return actions

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        match event:
            case ConnectionTried():
                return self._prober.connection_tried(event, now)
            case ForwardRequested():
                self._record_demand(event, now)
            case PeerReceived(sender=sender, message=ReachNews() as news):
                return self._prober.handle_report(sender, news, now)
            case ReachCheckDue():
                return self._round_over(event, now)
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
                self._is_store_away = False
            case WatchBroken(history_lost=history_lost):
                self._is_store_away = not history_lost
            case StoreResponse(result=result):
                kind = result.kind if isinstance(result, Failure) else None
                self._is_store_away = kind in STORE_UNREACHABLE_KINDS

    def _round_over(self, event: ReachCheckDue, now: float) -> list[Action]:
        if not self._prober.is_present(event):
            return []
        if now - event.due_at >= LATE_SECONDS:
            return self._prober.next_round(now, queries_nodes=not self._departure.is_away)
        why, actions = self._decide(now)
        if not self._prober.is_checking:
            return actions
        is_away = self._departure.is_away
        seconds = ROUND_SECONDS if is_away or why.should_leave else SLOW_ROUND_SECONDS
        return [*actions, *self._prober.next_round(now, seconds, queries_nodes=not is_away)]

    def _update(self, now: float) -> list[Action]:
        return self._decide(now)[1]

    def _decide(self, now: float) -> tuple[DecisionReason, list[Action]]:
        """Decide, and leave or return if that is what follows."""
        situation = self._situation(now)
        reason = decide(situation)
        actions: list[Action] = []
        away_seconds = self._departure.away_seconds(now)
        if self._departure.update(reason.should_leave, now, self._is_first_zone):
            actions = self._log_move(reason, situation, away_seconds, now)
        elif reason is not self._last_reason and not reason.should_leave and situation.zones_out:
            actions = [_decision_log("callers_kept", LogLevel.INFO, reason, situation)]
        self._last_reason = reason
        if not self._departure.is_away and reason in (
            DecisionReason.IN_REACH,
            DecisionReason.ONE_ZONE,
        ):
            self._prober.end()
            self._last_reason = None
        return reason, actions

    def _situation(self, now: float) -> DecisionInputs:
        watch = self._prober
        zones_out = watch.zones_out(now)
        own_side = watch.own_side()
        lost = {*zones_out, self._zone} if own_side is OwnZoneStatus.SILENT else set(zones_out)
        return DecisionInputs(
            watch.other_zones(),
            zones_out,
            own_side,
            watch.connected_neighbour(now),
            self._share(lost, now),
            self._share({self._zone}, now),
            # Without the store it has certainly lost something that is there for others.
            self._is_first_zone and not self._is_store_away,
        )

    @property
    def _is_first_zone(self) -> bool:
        """Whether this zone is the one that stays if all zones lose each other."""
        return self._zone == self._contacts.zones()[0]

    def _share(self, zones_out: set[str], now: float) -> float:
        return 1.0 if self._table is None else self._demand.share(self._table, zones_out, now)

    def _log_move(
        self, why: DecisionReason, situation: DecisionInputs, away_seconds: float, now: float
    ) -> list[Action]:
        """Say that this node has left, or has come back."""
        if self._departure.is_away:
            doubt = ("doubt_seconds", round(now - self._prober.began_at, 3))
            line = _decision_log("callers_left_to_others", LogLevel.WARNING, why, situation, doubt)
            change = "left"
        else:
            away = ("away_seconds", round(away_seconds, 3))
            line = _decision_log("callers_taken_back", LogLevel.WARNING, why, situation, away)
            change = "returned"
        return [line, Count("callers_moves_total", labels=(("change", change), ("why", why.value)))]


def _decision_log(
    message: str,
    level: str,
    why: DecisionReason,
    situation: DecisionInputs,
    *fields: tuple[str, float],
) -> Log:
    """Return a log line with what was decided on."""
    known = (
        ("why", why.value),
        ("zones_out", ",".join(situation.zones_out) or "none"),
        ("other_zones", len(situation.other_zones)),
        ("own_side", situation.own_side.value),
        ("contradicted_by", situation.connected_neighbour or "none"),
        ("share_here", round(situation.share_here, 3)),
        ("share_elsewhere", round(situation.share_elsewhere, 3)),
    )
    return Log(message, level, (*known, *fields))
