"""The states of replicas: collects the evidence, evaluates it, and returns what to spread."""

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
    effective_state,
    state_to_spread,
)

_PRECEDENCES = {ReplicaState.SERVING: 0, ReplicaState.LEAVING: 1, ReplicaState.GONE: 2}


_DEFAULT_STATE: tuple[ReplicaState, HeldVersions | None] = (ReplicaState.SERVING, None)
"""The state and held versions that other machines assume for a replica without a notification."""


@dataclass(slots=True)
class _Record:
    """The stored state of one replica.

    Parameters
    ----------
    version
        Version of the newest update that is spread; 0 if there is none.
    held
        The versions that the replica holds, as last observed by this node or, if it has not
        observed any lately, as received by gossip.
    held_observed_at
        When this node last observed them itself (seconds).
    last_notified
        The state and held versions last sent to the other machines of this node.
    """

    evidence: ReplicaEvidence = field(default_factory=ReplicaEvidence)
    version: int = 0
    held: HeldVersions | None = None
    held_observed_at: float = float("-inf")
    last_notified: tuple[ReplicaState, HeldVersions | None] = _DEFAULT_STATE


@dataclass(frozen=True, slots=True)
class ReplicaChanges:
    """The consequences of new evidence.

    Parameters
    ----------
    state_changes
        For the other machines of this node.
    urgent_updates
        To be spread at once, since a state has changed.
    other_updates
        To be spread with messages that have space left, since only held versions have changed.
    """

    state_changes: list[ReplicaStateChanged] = field(default_factory=list)
    urgent_updates: list[ReplicaUpdate] = field(default_factory=list)
    other_updates: list[ReplicaUpdate] = field(default_factory=list)


class ReplicaTable:
    """Every replica about which there is evidence."""

    def __init__(self, settings: ReplicaEvidenceSettings) -> None:
        self._settings = settings
        self._records: dict[ReplicaId, _Record] = {}
        self._by_address: dict[tuple[str, int], ReplicaId] = {}
        self._to_reevaluate: dict[ReplicaId, None] = {}

    def is_replica_address(self, host: str, port: int) -> bool:
        """Whether the configuration has a replica at that address."""
        return (host, port) in self._by_address

    def configure(self, configuration: Configuration) -> ReplicaChanges:
        """Use the replicas and addresses of ``configuration``; drop replicas that are not in it.

        The other machines of this node ignore notifications about unconfigured replicas. So they
        are notified again of every replica whose state is not the default.
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
            self._to_reevaluate.pop(replica_id, None)
        return ReplicaChanges(
            state_changes=[
                ReplicaStateChanged(replica_id, *record.last_notified)
                for replica_id, record in self._records.items()
                if record.last_notified != _DEFAULT_STATE
            ]
        )

    def observe(self, event: ReplicaObserved, now: float) -> ReplicaChanges:
        """Record own evidence."""
        record = self._record(event.replica_id)
        if event.state is not None:
            record.evidence = record.evidence.with_own(event.state, now)
        changes = self._evaluate(event.replica_id, record, now)
        if event.held is None:
            return changes
        record.held_observed_at = now
        if event.held != record.held:
            record.held = event.held
            self._add_state_change(event.replica_id, record, now, changes)
            if not changes.urgent_updates:
                changes.other_updates.append(self._next_update(event.replica_id, record))
        return changes

    def apply_gossip(self, update: ReplicaUpdate, now: float) -> ReplicaChanges | None:
        """Record a gossip update; return ``None`` if it is not new."""
        record = self._record(update.replica_id)
        if not self._overrides(update, record):
            return None
        state_changed = update.state is not self._spread_state(record)
        record.version = update.version
        if state_changed or record.evidence.gossip is None:
            record.evidence = replace(record.evidence, gossip=Evidence(update.state, now))
        if update.held is not None and not self._observed_held_recently(record, now):
            record.held = update.held
        changes = self._evaluate(update.replica_id, record, now)
        updates = changes.urgent_updates if state_changed else changes.other_updates
        updates.insert(0, update)
        return changes

    def apply_machine_list(self, entries: Iterable[MachineEntry], now: float) -> ReplicaChanges:
        """Record the machine list; a replica that is not in it keeps its evidence."""
        changes = ReplicaChanges()
        for entry in entries:
            replica_id = self._by_address.get((entry.host, entry.port))
            if replica_id is None:
                continue
            is_leaving = entry.state is MachineState.LEAVING
            record = self._records.get(replica_id)
            if record is None and not is_leaving:
                continue
            record = self._record(replica_id)
            machine_list = Evidence(ReplicaState.LEAVING, now) if is_leaving else None
            record.evidence = replace(record.evidence, machine_list=machine_list)
            self._evaluate(replica_id, record, now, changes)
        return changes

    def tick(self, now: float) -> ReplicaChanges:
        """Evaluate again the replicas that any source denies to serve, since evidence ages."""
        changes = ReplicaChanges()
        for replica_id in list(self._to_reevaluate):
            self._evaluate(replica_id, self._records[replica_id], now, changes)
        return changes

    def not_serving_updates(self) -> list[ReplicaUpdate]:
        """Return the updates about replicas that do not serve, for a whole node list."""
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
        return _PRECEDENCES[update.state] > _PRECEDENCES[self._spread_state(record)]

    def _observed_held_recently(self, record: _Record, now: float) -> bool:
        return now - record.held_observed_at <= self._settings.own_fresh_seconds

    def _spread_state(self, record: _Record) -> ReplicaState:
        gossip = record.evidence.gossip
        return ReplicaState.SERVING if gossip is None else gossip.state

    def _evaluate(
        self,
        replica_id: ReplicaId,
        record: _Record,
        now: float,
        changes: ReplicaChanges | None = None,
    ) -> ReplicaChanges:
        changes = ReplicaChanges() if changes is None else changes
        spread = state_to_spread(record.evidence, self._settings, now)
        if spread is not None:
            record.evidence = replace(record.evidence, gossip=Evidence(spread, now))
            changes.urgent_updates.append(self._next_update(replica_id, record))
        self._add_state_change(replica_id, record, now, changes)
        if (
            record.evidence.no_source_denies_serving
            and record.last_notified[0] is ReplicaState.SERVING
        ):
            self._to_reevaluate.pop(replica_id, None)
        else:
            self._to_reevaluate[replica_id] = None
        return changes

    def _next_update(self, replica_id: ReplicaId, record: _Record) -> ReplicaUpdate:
        record.version += 1
        state = self._spread_state(record)
        return ReplicaUpdate(replica_id, state, record.version, record.held)

    def _add_state_change(
        self, replica_id: ReplicaId, record: _Record, now: float, changes: ReplicaChanges
    ) -> None:
        current = (effective_state(record.evidence, self._settings, now), record.held)
        if current != record.last_notified:
            record.last_notified = current
            changes.state_changes.append(ReplicaStateChanged(replica_id, *current))
