"""Finds out which other zones are out of reach, only while there is doubt.

A doubt begins with failures that requests have met, or with the word of a node of the own zone.
First this node tries its own connections; only if none comes up it asks others, so that the trouble
of one node costs its zone a few messages.
"""

import zlib

from ...model.value import value
from ...ports.forwarding import ConnectionTried, OpenConnection
from ...ports.machine import Action, Event, Schedule
from ...ports.peer_link import NodeIdentity, SendToPeer
from ...ports.reach_news import ReachabilityReport
from ..choice.replica_directory import ReplicaDirectory
from ..choice.replica_state import ReplicaState
from ..knowledge.reachability_evidence import ReachabilityEvidence
from .decision import OwnSide
from .peer_selector import Contacts
from .suspicion import Doubt, KnownZone

ROUND_SECONDS = 0.25
"""Time between two rounds of tries, and time for nodes to say that they are there: a try takes up
to 0.04 s, and a zone should be left, and taken back, within a second."""
SLOW_ROUND_SECONDS = 1.0
"""The same for a node that stays although no other zone is in reach."""
TRIES = 2
"""Connections tried in each zone in a round; one alone may meet a replica that has just ended."""
FRESH_SECONDS = 0.5
"""Time for which it is not looked into again that a zone has answered."""
ANSWERED_SECONDS = 0.9
"""Time for which a zone that has answered is not tried again while this node waits for its least
time away: each try that succeeds is a connection at a replica."""
CONTRADICTION_SECONDS = 1.5
"""Time for which the word of a node that reaches other zones counts: some rounds of its own."""
VOUCHED_SECONDS = 8.0
"""Time for which the word of a node counts that it has reached a zone before: longer than cuts that
are to be bridged last."""
MOST_ASKERS = 16
"""Nodes that are told what was found out; others hear it from these."""


@value
class ReachCheckDue(Event):
    """A round of tries is over."""

    round_number: int
    due_at: float


class ZoneWatch:
    """The zones in reach, as far as there is doubt.

    Parameters
    ----------
    zone, name
        The zone and the name of this node.
    directory
        The replicas to try.
    evidence
        What requests have shown.
    contacts
        The nodes to ask.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        directory: ReplicaDirectory,
        evidence: ReachabilityEvidence,
        contacts: Contacts,
    ) -> None:
        self._zone = zone
        self._name = name
        self._directory = directory
        self._evidence = evidence
        self._contacts = contacts
        self._zones: dict[str, KnownZone] = {}
        self._met: set[str] = set()
        """Zones of which a node has ever spoken to this one."""
        self._replicas: dict[str, list[ReplicaState]] = {}
        """The replicas that may get work by zone, as of the present round."""
        self._tried: dict[str, str] = {}
        """Zones of the replicas to which a connection is being tried, by id."""
        self._doubt: Doubt | None = None
        self._round = 0
        self._round_ends_at = float("-inf")

    @property
    def is_in_doubt(self) -> bool:
        """Whether it is being looked into what is in reach."""
        return self._doubt is not None

    @property
    def began_at(self) -> float:
        """When the present doubt began."""
        return float("inf") if self._doubt is None else self._doubt.begun_at

    def other_zones(self) -> tuple[str, ...]:
        """Return the other zones that have replicas which may get work."""
        return tuple(sorted(self._replicas.keys() - {self._zone}))

    def zones_out(self, now: float) -> tuple[str, ...]:
        """Return the other zones that are out of reach; none if no one of them ever was in reach.

        A node may have spoken to few zones before the cut: shards that its own zone lacks are asked
        in as few others as hold them. One that has just started must not take replicas that start
        with it for lost.
        """
        silent = tuple(zone for zone in self.other_zones() if self._is_silent(zone))
        return silent if any(self._was_reached(zone, now) for zone in silent) else ()

    def answering_zones(self) -> tuple[str, ...]:
        """Return the other zones that have answered in this doubt, up to now."""
        if self._doubt is None:
            return ()
        return tuple(
            zone
            for zone in self.other_zones()
            if self._of(zone).heard_at >= self._doubt.begun_at and not self._of(zone).failures
        )

    def own_side(self) -> OwnSide:
        """Return what answers of the own zone."""
        if self._of(self._zone).heard_at >= self.began_at:
            return OwnSide.IN_REACH
        has_others = self._zone in self._replicas or bool(self._contacts.neighbours())
        return OwnSide.SILENT if has_others else OwnSide.UNKNOWN

    def contradicted_by(self, now: float) -> str:
        """Return a node of the own zone that reaches others; empty: none says so."""
        doubt = self._doubt
        if doubt is None or now - doubt.contradicted_at >= CONTRADICTION_SECONDS:
            return ""
        return doubt.contradicted_by

    def begin(self, now: float) -> list[Action]:
        """Look into what is in reach, unless that is under way or was found out just now."""
        if self._doubt is not None or self._fresh_zones(now):
            return []
        self._replicas = self._directory.by_zone(now)
        if not self.other_zones():
            return []
        self._doubt = Doubt(now)
        self._evidence.begin()
        for zone in self._zones.values():
            zone.failures = 0
        return self.next_round(now)

    def end(self) -> None:
        """Take in that other zones are in reach, and that this node takes callers."""
        self._doubt = None
        self._evidence.end()

    def next_round(
        self, now: float, seconds: float = ROUND_SECONDS, asks: bool = True
    ) -> list[Action]:
        """Try connections to every zone.

        Parameters
        ----------
        asks
            Whether other nodes are asked if none comes up.
        """
        if self._doubt is not None:
            self._doubt.may_ask = asks
        self._replicas = self._directory.by_zone(now)
        actions: list[Action] = []
        for zone in sorted(self._replicas):
            if not self._is_settled(zone, now):
                actions += self._tries(zone)
        return [*actions, self._round_until(now + seconds)]

    def is_present(self, event: ReachCheckDue) -> bool:
        """Whether a round is the present one."""
        return self._doubt is not None and event.round_number == self._round

    def met(self, zone: str) -> None:
        """Take in that a node of a zone has spoken to this one: the zone was in reach."""
        self._met.add(zone)

    def tried(self, event: ConnectionTried, now: float) -> list[Action]:
        """Take in whether a connection came up."""
        zone = self._tried.pop(event.incarnation, None)
        if zone is None:
            return []
        if event.is_open:
            return self.heard(zone, now)
        self._of(zone).failures += 1
        return self._ask(now)

    def heard(self, zone: str, now: float) -> list[Action]:
        """Take in that something of a zone answers."""
        known = self._of(zone)
        known.failures = 0
        known.heard_at = now
        doubt = self._doubt
        if doubt is None or zone == self._zone:
            return []
        askers, doubt.askers = doubt.askers, {}
        return [SendToPeer(asker, ReachabilityReport((), (zone,))) for asker in askers.values()]

    def news(self, sender: NodeIdentity, news: ReachabilityReport, now: float) -> list[Action]:
        """Take in what another node has found out, and answer it."""
        actions = self.heard(sender.zone, now)
        is_near = sender.zone == self._zone
        if is_near:
            actions += self._near_news(sender, news, now)
        if news.wants_reply:
            found = self._fresh_zones(now) if is_near else ()
            actions.append(SendToPeer(sender, ReachabilityReport((), found)))
        return actions

    def _near_news(
        self, sender: NodeIdentity, news: ReachabilityReport, now: float
    ) -> list[Action]:
        """Take in the word of a node of the own zone."""
        for zone in news.unreachable_zones:
            self._of(zone).vouched_at = now
        actions = self.begin(now) if news.unreachable_zones else []
        doubt = self._doubt
        if doubt is None:
            return actions
        if news.reachable_zones:
            doubt.contradicted_by = sender.node_id
            doubt.contradicted_at = now
        if news.wants_reply and len(doubt.askers) < MOST_ASKERS:
            doubt.askers[sender.node_id] = sender
        # What the other node has reached before may be all that was missing.
        return [*actions, *self._ask(now)]

    def _ask(self, now: float) -> list[Action]:
        """Ask other nodes once no zone is in reach by this node's own tries."""
        doubt = self._doubt
        out = self.zones_out(now)
        if doubt is None or not doubt.may_ask or out != self.other_zones():
            return []
        doubt.may_ask = False
        question = ReachabilityReport(out, (), wants_reply=True)
        asked = [*self._contacts.fingers(), *self._contacts.one_of_each_zone()]
        actions: list[Action] = [SendToPeer(node, question) for node in asked]
        if self._round_ends_at < now + ROUND_SECONDS:
            # Others must have had time to answer before this round ends.
            actions.append(self._round_until(now + ROUND_SECONDS))
        return actions

    def _round_until(self, due_at: float) -> Schedule:
        self._round += 1
        self._round_ends_at = due_at
        return Schedule(due_at, ReachCheckDue(self._round, due_at))

    def _is_settled(self, zone: str, now: float) -> bool:
        """Whether no connection need be spent on a zone, as far as it has answered.

        That the own side is in reach is asked once; the others may be lost again.
        """
        heard_at = self._of(zone).heard_at
        if zone == self._zone:
            return heard_at >= self.began_at
        return now - heard_at < ANSWERED_SECONDS

    def _is_silent(self, zone: str) -> bool:
        """Whether the latest tries in a zone all failed."""
        tries = min(TRIES, len(self._replicas.get(zone, [])))
        return self._of(zone).failures >= tries

    def _was_reached(self, zone: str, now: float) -> bool:
        """Whether a zone has ever been in reach of this node, or of one nearby until now."""
        known = self._of(zone)
        if zone in self._met or known.heard_at > float("-inf"):
            return True
        if now - known.vouched_at < VOUCHED_SECONDS:
            return True
        return any(state.answered_at > float("-inf") for state in self._replicas.get(zone, []))

    def _fresh_zones(self, now: float) -> tuple[str, ...]:
        """Return the other zones that have answered just now."""
        return tuple(
            name
            for name, zone in sorted(self._zones.items())
            if name != self._zone and now - zone.heard_at < FRESH_SECONDS
        )

    def _tries(self, zone: str) -> list[Action]:
        """Try the next few replicas of a zone, so that every round asks others."""
        replicas = self._replicas[zone]
        known = self._of(zone)
        if known.next_replica is None:
            known.next_replica = zlib.crc32(self._name.encode()) % len(replicas)
        actions: list[Action] = []
        for offset in range(min(TRIES, len(replicas))):
            record = replicas[(known.next_replica + offset) % len(replicas)].record
            self._tried[record.incarnation] = zone
            actions.append(OpenConnection(record))
        known.next_replica += TRIES
        return actions

    def _of(self, zone: str) -> KnownZone:
        return self._zones.setdefault(zone, KnownZone())
