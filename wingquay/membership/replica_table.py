"""Beliefs about replicas: collects the evidence, decides, and says what to spread."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..model.answer import HeldVersions
from ..model.configuration import Configuration
from ..model.identifiers import ReplicaId
from ..ports.internal import ReplicaObserved, ReplicaStateChanged
from ..ports.machine_directory import MachineEntry, MachineState
from ..ports.peer import ReplicaState, ReplicaUpdate
from .replica_evidence import (
    Evidence,
    ReplicaEvidence,
    ReplicaEvidenceSettings,
    believed_state,
    state_to_spread,
)

_SEVERITIES = {ReplicaState.SERVING: 0, ReplicaState.LEAVING: 1, ReplicaState.GONE: 2}


_UNTOLD: tuple[ReplicaState, HeldVersions | None] = (ReplicaState.SERVING, None)
"""What the other machines take for granted of a replica that they were told nothing of."""


@dataclass(slots=True)
class _Record:
    """One replica.

    Parameters
    ----------
    version
        Of the newest update that is spread; 0 if there has been none.
    held
        The versions that the replica holds, as we last saw, or heard if we saw nothing lately.
    held_seen_at
        When we last saw them ourselves (seconds).
    told
        What the node's other machines were last told.
    """

    evidence: ReplicaEvidence = field(default_factory=ReplicaEvidence)
    version: int = 0
    held: HeldVersions | None = None
    held_seen_at: float = float("-inf")
    told: tuple[ReplicaState, HeldVersions | None] = _UNTOLD


@dataclass(frozen=True, slots=True)
class ReplicaNews:
    """What follows from new evidence.

    Parameters
    ----------
    beliefs
        For the other machines of this node.
    urgent_updates
        To be spread at once: a state has changed.
    other_updates
        To be spread where there is room: held versions have changed.
    """

    beliefs: list[ReplicaStateChanged] = field(default_factory=list)
    urgent_updates: list[ReplicaUpdate] = field(default_factory=list)
    other_updates: list[ReplicaUpdate] = field(default_factory=list)


class ReplicaTable:
    """Every replica that anything was heard of."""

    def __init__(self, settings: ReplicaEvidenceSettings) -> None:
        self._settings = settings
        self._records: dict[ReplicaId, _Record] = {}
        self._by_address: dict[tuple[str, int], ReplicaId] = {}
        self._disputed: dict[ReplicaId, None] = {}

    def is_replica_address(self, host: str, port: int) -> bool:
        """Whether the configuration has a replica there."""
        return (host, port) in self._by_address

    def configure(self, configuration: Configuration) -> ReplicaNews:
        """Learn the replicas' addresses; forget replicas that are not configured any more.

        What was heard of a replica before it was configured here meant nothing to the other
        machines of this node, so they are told again whatever they would not take for granted.
        """
        replicas = [
            replica
            for service in configuration.services
            for shard in service.shards
            for replica in shard.replicas
        ]
        self._by_address = {
            (replica.host, replica.port): replica.replica_id for replica in replicas
        }
        configured = {replica.replica_id for replica in replicas}
        for replica_id in [key for key in self._records if key not in configured]:
            del self._records[replica_id]
            self._disputed.pop(replica_id, None)
        return ReplicaNews(
            beliefs=[
                ReplicaStateChanged(replica_id, *record.told)
                for replica_id, record in self._records.items()
                if record.told != _UNTOLD
            ]
        )

    def observe(self, event: ReplicaObserved, now: float) -> ReplicaNews:
        """Take in our own evidence."""
        record = self._record(event.replica_id)
        if event.state is not None:
            record.evidence = record.evidence.with_own(event.state, now)
        news = self._conclude(event.replica_id, record, now)
        if event.held is None:
            return news
        record.held_seen_at = now
        if event.held != record.held:
            record.held = event.held
            self._tell(event.replica_id, record, now, news)
            if not news.urgent_updates:
                news.other_updates.append(self._next_update(event.replica_id, record))
        return news

    def hear(self, update: ReplicaUpdate, now: float) -> ReplicaNews | None:
        """Take in gossip; ``None`` if it is not new."""
        record = self._record(update.replica_id)
        if not self._overrides(update, record):
            return None
        state_changed = update.state is not self._spread_state(record)
        record.version = update.version
        if state_changed or record.evidence.gossip is None:
            record.evidence = replace(record.evidence, gossip=Evidence(update.state, now))
        if update.held is not None and not self._saw_held_lately(record, now):
            record.held = update.held
        news = self._conclude(update.replica_id, record, now)
        relayed = news.urgent_updates if state_changed else news.other_updates
        relayed.insert(0, update)
        return news

    def read_list(self, entries: Iterable[MachineEntry], now: float) -> ReplicaNews:
        """Take in the machine list; a replica that it does not name is not spoken of."""
        news = ReplicaNews()
        for entry in entries:
            replica_id = self._by_address.get((entry.host, entry.port))
            if replica_id is None:
                continue
            is_leaving = entry.state is MachineState.LEAVING
            record = self._records.get(replica_id)
            if record is None and not is_leaving:
                continue
            record = self._record(replica_id)
            listed = Evidence(ReplicaState.LEAVING, now) if is_leaving else None
            record.evidence = replace(record.evidence, listed=listed)
            self._conclude(replica_id, record, now, news)
        return news

    def tick(self, now: float) -> ReplicaNews:
        """Decide anew where sources disagree, since evidence ages."""
        news = ReplicaNews()
        for replica_id in list(self._disputed):
            self._conclude(replica_id, self._records[replica_id], now, news)
        return news

    def warnings(self) -> list[ReplicaUpdate]:
        """Return what is spread of replicas that do not serve, for a whole node list."""
        return [
            ReplicaUpdate(replica_id, self._spread_state(record), record.version, record.held)
            for replica_id, record in self._records.items()
            if self._spread_state(record) is not ReplicaState.SERVING
        ]

    def _record(self, replica_id: ReplicaId) -> _Record:
        return self._records.setdefault(replica_id, _Record())

    def _overrides(self, update: ReplicaUpdate, record: _Record) -> bool:
        if update.version != record.version:
            return update.version > record.version
        return _SEVERITIES[update.state] > _SEVERITIES[self._spread_state(record)]

    def _saw_held_lately(self, record: _Record, now: float) -> bool:
        return now - record.held_seen_at <= self._settings.own_fresh_seconds

    def _spread_state(self, record: _Record) -> ReplicaState:
        gossip = record.evidence.gossip
        return ReplicaState.SERVING if gossip is None else gossip.state

    def _conclude(
        self,
        replica_id: ReplicaId,
        record: _Record,
        now: float,
        news: ReplicaNews | None = None,
    ) -> ReplicaNews:
        news = ReplicaNews() if news is None else news
        spread = state_to_spread(record.evidence, self._settings, now)
        if spread is not None:
            record.evidence = replace(record.evidence, gossip=Evidence(spread, now))
            news.urgent_updates.append(self._next_update(replica_id, record))
        self._tell(replica_id, record, now, news)
        if record.evidence.is_undisputed and record.told[0] is ReplicaState.SERVING:
            self._disputed.pop(replica_id, None)
        else:
            self._disputed[replica_id] = None
        return news

    def _next_update(self, replica_id: ReplicaId, record: _Record) -> ReplicaUpdate:
        record.version += 1
        state = self._spread_state(record)
        return ReplicaUpdate(replica_id, state, record.version, record.held)

    def _tell(self, replica_id: ReplicaId, record: _Record, now: float, news: ReplicaNews) -> None:
        belief = (believed_state(record.evidence, self._settings, now), record.held)
        if belief != record.told:
            record.told = belief
            news.beliefs.append(ReplicaStateChanged(replica_id, *belief))
