"""Checks which other zones are reachable, only after signs of failure.

A check starts after failures of regular traffic or on the report of another node of the zone (a
zone peer). The node first probes replicas with its own connections and queries other nodes only if
all probes fail, so a failure of a single node causes few messages.
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
from .decision import OwnZoneStatus
from .peer_selector import PeerSelector
from .reachability_check import ReachabilityCheck, ZoneState

ROUND_SECONDS = 0.25
"""Time between two probe rounds, within which queried nodes must answer. A probe takes up to 0.04
s, and a zone should be left, and taken back, within a second."""
SLOW_ROUND_SECONDS = 1.0
"""The same for a node that stays in service although no other zone is reachable."""
PROBES_PER_ZONE = 2
"""Connections opened per zone in a round, so that a single crashed replica does not decide."""
FRESH_ANSWER_SECONDS = 0.5
"""Time for which an answer of a zone makes a new check unnecessary."""
PROBE_PAUSE_SECONDS = 0.9
"""Time after an answer for which a zone is not probed again, which saves connections at
replicas."""
ZONE_PEER_REPORT_SECONDS = 1.5
"""Time for which a zone peer's report that it reaches other zones is valid."""
ZONE_PEER_EVIDENCE_SECONDS = 8.0
"""Time for which a zone peer's report that it reached a zone before is valid; longer than the
partitions that must be handled."""
MAX_PENDING_QUERIES = 16
"""Maximum number of querying nodes that are notified when a zone answers."""


@value
class ProbeRoundDue(Event):
    """A probe round is over."""

    round_number: int
    due_at: float


class ZoneProber:
    """Probes the other zones while a reachability check is in progress.

    Parameters
    ----------
    zone, name
        The zone and the name of this node.
    directory
        The replicas to probe.
    evidence
        Failures of regular traffic.
    peers
        Selects the nodes to query.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        directory: ReplicaDirectory,
        evidence: ReachabilityEvidence,
        peers: PeerSelector,
    ) -> None:
        self._zone = zone
        self._name = name
        self._directory = directory
        self._evidence = evidence
        self._peers = peers
        self._zones: dict[str, ZoneState] = {}
        self._zones_seen: set[str] = set()
        """Zones from which a node has ever sent a message to this one."""
        self._replicas: dict[str, list[ReplicaState]] = {}
        """The replicas that may receive requests, by zone, as of the current round."""
        self._probed: dict[str, str] = {}
        """Zones of the replicas with a probe connection under way, by incarnation id."""
        self._check: ReachabilityCheck | None = None
        self._round = 0
        self._round_ends_at = float("-inf")

    @property
    def is_checking(self) -> bool:
        """Whether a reachability check is in progress."""
        return self._check is not None

    @property
    def checking_since(self) -> float:
        """When the current check began; infinite without one."""
        return float("inf") if self._check is None else self._check.begun_at

    def other_zones(self) -> tuple[str, ...]:
        """Return the other zones that have replicas which may receive requests."""
        return tuple(sorted(self._replicas.keys() - {self._zone}))

    def unreachable_zones(self, now: float) -> tuple[str, ...]:
        """Return the other zones that are unreachable; none if none of them was ever reachable.

        Right after a start, silent zones may not have started yet. So at least one of them must
        have been reached before. One suffices, because a node may have contacted only a few zones.
        """
        silent = tuple(zone for zone in self.other_zones() if self._is_silent(zone))
        return silent if any(self._was_reached(zone, now) for zone in silent) else ()

    def answering_zones(self) -> tuple[str, ...]:
        """Return the other zones that have answered during the current check."""
        if self._check is None:
            return ()
        return tuple(
            zone
            for zone in self.other_zones()
            if self._zone_state(zone).answered_at >= self._check.begun_at
            and not self._zone_state(zone).failures
        )

    def own_zone_status(self) -> OwnZoneStatus:
        """Return whether this node reaches its own zone."""
        if self._zone_state(self._zone).answered_at >= self.checking_since:
            return OwnZoneStatus.REACHABLE
        has_others = self._zone in self._replicas or bool(self._peers.zone_peers())
        return OwnZoneStatus.SILENT if has_others else OwnZoneStatus.UNKNOWN

    def connected_zone_peer(self, now: float) -> str:
        """Return a node of the same zone that reaches other zones; empty: none reported so."""
        check = self._check
        if check is None or now - check.connected_reported_at >= ZONE_PEER_REPORT_SECONDS:
            return ""
        return check.connected_zone_peer

    def begin_check(self, now: float) -> list[Action]:
        """Start a check, unless one is in progress or a zone has answered recently."""
        if self._check is not None or self._fresh_zones(now):
            return []
        self._replicas = self._directory.by_zone(now)
        if not self.other_zones():
            return []
        self._check = ReachabilityCheck(now)
        self._evidence.begin_check()
        for zone in self._zones.values():
            zone.failures = 0
        return self.next_round(now)

    def end_check(self) -> None:
        """End the check: other zones are reachable and the node is in service."""
        self._check = None
        self._evidence.end_check()

    def next_round(
        self, now: float, seconds: float = ROUND_SECONDS, queries_nodes: bool = True
    ) -> list[Action]:
        """Start a probe round over all zones.

        Parameters
        ----------
        queries_nodes
            Whether other nodes may be queried if all probes fail.
        """
        if self._check is not None:
            self._check.may_query_nodes = queries_nodes
        self._replicas = self._directory.by_zone(now)
        actions: list[Action] = []
        for zone in sorted(self._replicas):
            if not self._is_known_reachable(zone, now):
                actions += self._probe(zone)
        return [*actions, self._round_until(now + seconds)]

    def is_current_round(self, event: ProbeRoundDue) -> bool:
        """Whether an event belongs to the current round."""
        return self._check is not None and event.round_number == self._round

    def record_zone_seen(self, zone: str) -> None:
        """Record a message from a node of a zone: the zone was reachable."""
        self._zones_seen.add(zone)

    def handle_connection_tried(self, event: ConnectionTried, now: float) -> list[Action]:
        """Handle the result of a connection attempt."""
        zone = self._probed.pop(event.incarnation, None)
        if zone is None:
            return []
        if event.is_open:
            return self.record_zone_answer(zone, now)
        self._zone_state(zone).failures += 1
        return self._query_nodes(now)

    def record_zone_answer(self, zone: str, now: float) -> list[Action]:
        """Record an answer from a zone and notify the nodes that queried this one."""
        state = self._zone_state(zone)
        state.failures = 0
        state.answered_at = now
        check = self._check
        if check is None or zone == self._zone:
            return []
        querying_nodes, check.querying_nodes = check.querying_nodes, {}
        return [
            SendToPeer(node, ReachabilityReport((), (zone,))) for node in querying_nodes.values()
        ]

    def handle_report(
        self, sender: NodeIdentity, report: ReachabilityReport, now: float
    ) -> list[Action]:
        """Handle another node's reachability report, and answer if it is a query."""
        actions = self.record_zone_answer(sender.zone, now)
        is_zone_peer = sender.zone == self._zone
        if is_zone_peer:
            actions += self._handle_zone_peer_report(sender, report, now)
        if report.wants_reply:
            recent = self._fresh_zones(now) if is_zone_peer else ()
            actions.append(SendToPeer(sender, ReachabilityReport((), recent)))
        return actions

    def _handle_zone_peer_report(
        self, sender: NodeIdentity, report: ReachabilityReport, now: float
    ) -> list[Action]:
        """Handle the report of a node of the same zone."""
        for zone in report.unreachable_zones:
            self._zone_state(zone).zone_peer_evidence_at = now
        actions = self.begin_check(now) if report.unreachable_zones else []
        check = self._check
        if check is None:
            return actions
        if report.reachable_zones:
            check.connected_zone_peer = sender.node_id
            check.connected_reported_at = now
        if report.wants_reply and len(check.querying_nodes) < MAX_PENDING_QUERIES:
            check.querying_nodes[sender.node_id] = sender
        # The report may supply the only missing evidence that a zone was reachable before.
        return [*actions, *self._query_nodes(now)]

    def _query_nodes(self, now: float) -> list[Action]:
        """Query other nodes if no other zone is reachable by this node's own probes."""
        check = self._check
        unreachable = self.unreachable_zones(now)
        if check is None or not check.may_query_nodes or unreachable != self.other_zones():
            return []
        check.may_query_nodes = False
        question = ReachabilityReport(unreachable, (), wants_reply=True)
        nodes = [*self._peers.gossip_targets(), *self._peers.one_of_each_zone()]
        actions: list[Action] = [SendToPeer(node, question) for node in nodes]
        if self._round_ends_at < now + ROUND_SECONDS:
            # Extend the round so that the queried nodes have time to answer.
            actions.append(self._round_until(now + ROUND_SECONDS))
        return actions

    def _round_until(self, due_at: float) -> Schedule:
        self._round += 1
        self._round_ends_at = due_at
        return Schedule(due_at, ProbeRoundDue(self._round, due_at))

    def _is_known_reachable(self, zone: str, now: float) -> bool:
        """Whether a zone has answered recently enough that it need not be probed.

        The own zone is probed until its first answer in a check; other zones are probed again.
        """
        answered_at = self._zone_state(zone).answered_at
        if zone == self._zone:
            return answered_at >= self.checking_since
        return now - answered_at < PROBE_PAUSE_SECONDS

    def _is_silent(self, zone: str) -> bool:
        """Whether the latest probes of a zone all failed."""
        probes = min(PROBES_PER_ZONE, len(self._replicas.get(zone, [])))
        return self._zone_state(zone).failures >= probes

    def _was_reached(self, zone: str, now: float) -> bool:
        """Whether this node, or recently a zone peer, has ever reached a zone."""
        state = self._zone_state(zone)
        if zone in self._zones_seen or state.answered_at > float("-inf"):
            return True
        if now - state.zone_peer_evidence_at < ZONE_PEER_EVIDENCE_SECONDS:
            return True
        return any(item.answered_at > float("-inf") for item in self._replicas.get(zone, []))

    def _fresh_zones(self, now: float) -> tuple[str, ...]:
        """Return the other zones that have answered within ``FRESH_ANSWER_SECONDS``."""
        return tuple(
            name
            for name, zone in sorted(self._zones.items())
            if name != self._zone and now - zone.answered_at < FRESH_ANSWER_SECONDS
        )

    def _probe(self, zone: str) -> list[Action]:
        """Open connections to the next replicas of a zone, different ones each round."""
        replicas = self._replicas[zone]
        state = self._zone_state(zone)
        if state.next_replica is None:
            state.next_replica = zlib.crc32(self._name.encode()) % len(replicas)
        actions: list[Action] = []
        for offset in range(min(PROBES_PER_ZONE, len(replicas))):
            record = replicas[(state.next_replica + offset) % len(replicas)].record
            self._probed[record.incarnation] = zone
            actions.append(OpenConnection(record))
        state.next_replica += PROBES_PER_ZONE
        return actions

    def _zone_state(self, zone: str) -> ZoneState:
        return self._zones.setdefault(zone, ZoneState())
