"""Joins what a node finds out about other zones with the decision whether it takes callers."""

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
from .decision import OwnSide, Situation, Why, judge
from .departure import Departure
from .peer_selector import Contacts
from .route_demand import RouteDemand
from .zone_prober import ROUND_SECONDS, SLOW_ROUND_SECONDS, ReachCheckDue, ZoneWatch

if TYPE_CHECKING:
    from ..knowledge.node_groups import NodeGroups

SILENT_STORE = (StoreFailureKind.UNREACHABLE, StoreFailureKind.LOST_REPLY)
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
        asked: RouteDemand,
        departure: Departure,
    ) -> None:
        self._zone = settings.zone
        self._is_on = settings.leaves_when_cut_off
        self._evidence = evidence
        self._asked = asked
        self._departure = departure
        self._contacts = Contacts(settings.zone, name)
        self._watch = ZoneWatch(settings.zone, name, directory, evidence, self._contacts)
        self._table: RoutingTable | None = None
        self._is_store_away = False
        self._last_why: Why | None = None

    def set_table(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        self._table = table

    def enable_peers(self, groups: "NodeGroups") -> None:
        """Ask other nodes from now on."""
        self._contacts.groups = groups

    def observe(self, event: Event, now: float) -> bool:
        """Whether something is to be done after an event."""
        if not self._is_on:
            return False
        match event:
            case (
                ConnectionTried()
                | ForwardRequested()
                | PeerReceived(message=ReachabilityReport())
                | ReachCheckDue()
                | StoreResponse()
                | WatchBroken()
                | WatchChanged()
            ):
                return True
            case PeerReceived(sender=sender):
                self._watch.met(sender.zone)
        return self._watch.is_in_doubt or self._evidence.suggests_outage(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event after everything else has."""
        actions = self._take_in(event, now)
        for zone in self._evidence.take_answered():
            actions += self._watch.heard(zone, now)
        if not self._watch.is_in_doubt and self._evidence.suggests_outage(now):
            actions += self._watch.begin(now)
        is_news = not self._departure.is_away or isinstance(event, ConnectionTried)
        if is_news and self._watch.answering_zones():
            actions += self._settle(now)
        return actions

    def _take_in(self, event: Event, now: float) -> list[Action]:
        match event:
            case ConnectionTried():
                return self._watch.tried(event, now)
            case ForwardRequested():
                self._count(event, now)
            case PeerReceived(sender=sender, message=ReachabilityReport() as news):
                return self._watch.news(sender, news, now)
            case ReachCheckDue():
                return self._round_over(event, now)
            case StoreResponse() | WatchBroken() | WatchChanged():
                self._note_store(event)
        return []

    def _count(self, event: ForwardRequested, now: float) -> None:
        route = None if self._table is None else self._table.find(event.host, event.path)
        if route is not None:
            self._asked.count(route, now)

    def _note_store(self, event: StoreResponse | WatchBroken | WatchChanged) -> None:
        match event:
            case WatchChanged():
                self._is_store_away = False
            case WatchBroken(history_lost=history_lost):
                self._is_store_away = not history_lost
            case StoreResponse(result=result):
                kind = result.kind if isinstance(result, Failure) else None
                self._is_store_away = kind in SILENT_STORE

    def _round_over(self, event: ReachCheckDue, now: float) -> list[Action]:
        if not self._watch.is_present(event):
            return []
        if now - event.due_at >= LATE_SECONDS:
            return self._watch.next_round(now, asks=not self._departure.is_away)
        why, actions = self._settled(now)
        if not self._watch.is_in_doubt:
            return actions
        is_away = self._departure.is_away
        seconds = ROUND_SECONDS if is_away or why.is_to_leave else SLOW_ROUND_SECONDS
        return [*actions, *self._watch.next_round(now, seconds, asks=not is_away)]

    def _settle(self, now: float) -> list[Action]:
        return self._settled(now)[1]

    def _settled(self, now: float) -> tuple[Why, list[Action]]:
        """Decide, and leave or return if that is what follows."""
        situation = self._situation(now)
        why = judge(situation)
        actions: list[Action] = []
        away_seconds = self._departure.away_seconds(now)
        if self._departure.move(why.is_to_leave, now, self._is_first_zone):
            actions = self._moved(why, situation, away_seconds, now)
        elif why is not self._last_why and not why.is_to_leave and situation.zones_out:
            actions = [_line("callers_kept", LogLevel.INFO, why, situation)]
        self._last_why = why
        if not self._departure.is_away and why in (Why.IN_REACH, Why.ONE_ZONE):
            self._watch.end()
            self._last_why = None
        return why, actions

    def _situation(self, now: float) -> Situation:
        watch = self._watch
        zones_out = watch.zones_out(now)
        own_side = watch.own_side()
        lost = {*zones_out, self._zone} if own_side is OwnSide.SILENT else set(zones_out)
        return Situation(
            watch.other_zones(),
            zones_out,
            own_side,
            watch.contradicted_by(now),
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
        return 1.0 if self._table is None else self._asked.share(self._table, zones_out, now)

    def _moved(
        self, why: Why, situation: Situation, away_seconds: float, now: float
    ) -> list[Action]:
        """Say that this node has left, or has come back."""
        if self._departure.is_away:
            doubt = ("doubt_seconds", round(now - self._watch.began_at, 3))
            line = _line("callers_left_to_others", LogLevel.WARNING, why, situation, doubt)
            change = "left"
        else:
            away = ("away_seconds", round(away_seconds, 3))
            line = _line("callers_taken_back", LogLevel.WARNING, why, situation, away)
            change = "returned"
        return [line, Count("callers_moves_total", labels=(("change", change), ("why", why.value)))]


def _line(
    message: str, level: str, why: Why, situation: Situation, *fields: tuple[str, float]
) -> Log:
    """Return a log line with what was decided on."""
    known = (
        ("why", why.value),
        ("zones_out", ",".join(situation.zones_out) or "none"),
        ("other_zones", len(situation.other_zones)),
        ("own_side", situation.own_side.value),
        ("contradicted_by", situation.contradicted_by or "none"),
        ("share_here", round(situation.share_here, 3)),
        ("share_elsewhere", round(situation.share_elsewhere, 3)),
    )
    return Log(message, level, (*known, *fields))
