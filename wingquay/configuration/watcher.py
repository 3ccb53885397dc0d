"""Acquires one of the zone's watcher assignments and watches the store while holding it.

An assignment is a key written with a lease. A holder may be suspended until its lease has
expired, so it measures the lease on its own clock from the time of the request and checks it
before each step. A message that it sends too late is harmless, because nodes ignore revisions
lower than the one in force.
"""

import json
from dataclasses import dataclass

from ..ports.machine import Action, Count, Log, LogLevel
from ..ports.store import (
    CompareAndSwap,
    GrantLease,
    KeepLeaseAlive,
    LeaseState,
    Read,
    ReadResult,
    RevokeLease,
    StartWatch,
    StopWatch,
    SwapResult,
    WatchBroken,
    WatchChanged,
)
from .current_document import CurrentDocumentReader, StoredDocument
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .keys import CURRENT_KEY, assignment_key, assignments_prefix
from .node_view import NodeView
from .script import Script, ScriptRunner, call_store, pause, perform
from .store_schedule import FullJitterBackoff, is_selected

ASSIGNMENTS_PER_ZONE = 2
"""Nodes of each zone that watch the store."""

LEASE_SECONDS = 10
"""Time to live of an assignment's lease."""

LEASE_SAFETY_MARGIN_SECONDS = 1.0
"""A holder stops acting this long before its lease expires, to allow for clock drift."""

RENEWAL_INTERVAL_SECONDS = 3.0
"""Time between renewals of the lease."""

ASSIGNMENT_CHECK_INTERVAL_SECONDS = 2.5
"""Mean time between checks; on average one node of the zone reads the assignments each time."""

STABLE_WATCH_SECONDS = 10.0
"""Duration of a watch after which the backoff between watches is reset."""

POLL_INTERVAL_SECONDS = 10.0
"""Mean time between reads that detect revisions skipped by the watch."""


@dataclass(slots=True)
class _WatcherAssignment:
    """An assignment that this node holds, with its lease and its watch."""

    assignment_index: int
    lease_id: int
    fencing_token: int
    """Store revision of the write that acquired the assignment."""
    lease_valid_until: float
    watch_id: str
    backoff: FullJitterBackoff
    """Delays between watches, so that watches that break at once are not restarted too fast."""
    watching: bool = False
    watching_since: float = 0.0


class Watcher:
    """Acquires a vacant assignment of the zone, watches the store and releases the assignment."""

    def __init__(
        self,
        view: NodeView,
        runner: ScriptRunner,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        document_reader: CurrentDocumentReader,
    ) -> None:
        self._view = view
        self._runner = runner
        self._in_force = in_force
        self._dissemination = dissemination
        self._document_reader = document_reader
        self._assignment: _WatcherAssignment | None = None

    @property
    def holds_assignment(self) -> bool:
        """Whether this node holds an assignment; its lease may have expired unnoticed."""
        return self._assignment is not None

    def start(self, now: float) -> list[Action]:
        """Start the periodic search for a vacant assignment."""
        return self._runner.start(self._acquire_assignments(), now)

    def release_assignment(self, now: float) -> list[Action]:
        """Release the assignment on a planned stop, so that another node can acquire it at once."""
        assignment = self._assignment
        if assignment is None:
            return []
        return self._end_assignment(assignment, "released") + self._runner.start(
            _revoke(assignment.lease_id), now
        )

    def handle_watch_changed(self, event: WatchChanged, now: float) -> list[Action]:
        """Apply the documents that the watch reported, if the lease is still valid."""
        assignment = self._assignment
        if assignment is None or event.watch_id != assignment.watch_id:
            return []
        if not self._lease_is_valid(assignment, now):
            return self._end_assignment(assignment, "lease expired")
        actions: list[Action] = []
        for value in event.changed:
            if value.key == CURRENT_KEY:
                actions += self._apply(
                    self._document_reader.parse(value, event.store_revision), now
                )
        return actions

    def handle_watch_broken(self, event: WatchBroken, now: float) -> list[Action]:
        """After a delay, read the document, in case changes were missed, and restart the watch."""
        assignment = self._assignment
        if assignment is None or event.watch_id != assignment.watch_id:
            return []
        assignment.watching = False
        if now - assignment.watching_since > STABLE_WATCH_SECONDS:
            assignment.backoff.reset()
        return self._runner.start(self._watch(assignment, restarted=True), now)

    def _lease_is_valid(self, assignment: _WatcherAssignment, now: float) -> bool:
        """Whether the assignment is still held and its lease cannot have expired yet."""
        return (
            self._assignment is assignment
            and now < assignment.lease_valid_until - LEASE_SAFETY_MARGIN_SECONDS
        )

    def _end_assignment(self, assignment: _WatcherAssignment, reason: str) -> list[Action]:
        if self._assignment is not assignment:
            return []
        self._assignment = None
        fields = (
            ("assignment", assignment.assignment_index),
            ("fencing_token", assignment.fencing_token),
            ("reason", reason),
        )
        actions: list[Action] = [Log("watcher_assignment_ended", fields=fields)]
        if assignment.watching:
            actions.append(StopWatch(assignment.watch_id))
        return actions

    def _acquire_assignments(self) -> Script[list[Action]]:
        random = self._view.random
        backoff = FullJitterBackoff(random)
        next_check_at = 0.0
        while not self._view.is_stopping:
            now = yield from pause(ASSIGNMENT_CHECK_INTERVAL_SECONDS * random.uniform(0.5, 1.5))
            node_count = self._view.zone_node_count
            if self.holds_assignment or now < next_check_at or self._view.is_stopping:
                continue
            if not is_selected(random, node_count, expected_nodes=1.0):
                continue
            store_answered = yield from self._try_acquire()
            now = yield from perform()
            if store_answered:
                backoff.reset()
            else:
                next_check_at = now + backoff.next_delay_seconds(node_count)
        return []

    def _try_acquire(self) -> Script[bool]:
        """Acquire a vacant assignment if there is one; return whether the store answered."""
        zone = self._view.identity.zone
        seen = (yield from call_store(Read(assignments_prefix(zone), prefix=True))).outcome
        if not isinstance(seen, ReadResult):
            return False
        held_keys = {value.key for value in seen.values}
        vacant = [
            index
            for index in range(ASSIGNMENTS_PER_ZONE)
            if assignment_key(zone, index) not in held_keys
        ]
        if not vacant:
            return True
        assignment_index = self._view.random.choice(vacant)
        requested_at = yield from perform()
        lease = (yield from call_store(GrantLease(LEASE_SECONDS))).outcome
        if not isinstance(lease, LeaseState):
            return False
        return (yield from self._write_assignment(assignment_index, lease, requested_at))

    def _write_assignment(
        self, assignment_index: int, lease: LeaseState, requested_at: float
    ) -> Script[bool]:
        identity = self._view.identity
        value = json.dumps({"node_id": identity.node_id, "address": identity.host}).encode()
        operation = CompareAndSwap(
            assignment_key(identity.zone, assignment_index), 0, value, lease.lease_id
        )
        reply = yield from call_store(operation)
        swap = reply.outcome
        if not isinstance(swap, SwapResult) or not swap.succeeded or self._view.is_stopping:
            # The write may have succeeded although its reply was lost. Revoking the lease
            # releases the assignment in any case.
            yield from call_store(RevokeLease(lease.lease_id))
            return isinstance(swap, SwapResult)
        assignment = _WatcherAssignment(
            assignment_index=assignment_index,
            lease_id=lease.lease_id,
            fencing_token=swap.store_revision,
            lease_valid_until=requested_at + LEASE_SECONDS,
            watch_id=f"configuration-watch-{lease.lease_id}-0",
            backoff=FullJitterBackoff(self._view.random),
        )
        self._assignment = assignment
        fields = (("assignment", assignment_index), ("fencing_token", assignment.fencing_token))
        actions: list[Action] = [Log("watcher_assignment_taken", fields=fields)]
        for script in (
            self._renew_lease(assignment),
            self._watch(assignment),
            self._poll(assignment),
        ):
            actions += self._runner.start(script, reply.now)
        yield from perform(*actions)
        return True

    def _renew_lease(self, assignment: _WatcherAssignment) -> Script[list[Action]]:
        """Renew the lease until the assignment ends."""
        while True:
            now = yield from pause(RENEWAL_INTERVAL_SECONDS * self._view.random.uniform(0.8, 1.0))
            if not self._lease_is_valid(assignment, now):
                return self._end_assignment(assignment, "lease expired")
            reply = yield from call_store(KeepLeaseAlive(assignment.lease_id))
            state = reply.outcome
            if not isinstance(state, LeaseState):
                continue
            if state.time_to_live_seconds <= 0:
                return self._end_assignment(assignment, "lease expired in the store")
            assignment.lease_valid_until = now + min(LEASE_SECONDS, state.time_to_live_seconds)

    def _watch(
        self, assignment: _WatcherAssignment, restarted: bool = False
    ) -> Script[list[Action]]:
        """Read the document, then watch from the store revision that follows the read."""
        if restarted:
            yield from pause(assignment.backoff.next_delay_seconds())
        while True:
            now = yield from perform()
            if not self._lease_is_valid(assignment, now):
                return self._end_assignment(assignment, "lease expired")
            found = yield from self._document_reader.read()
            now = yield from perform()
            if not self._lease_is_valid(assignment, now):
                return self._end_assignment(assignment, "lease expired")
            if isinstance(found, StoredDocument):
                break
            yield from pause(assignment.backoff.next_delay_seconds())
        if assignment.watching:
            # Another script has restarted the watch in the meantime.
            return []
        stem, _, count = assignment.watch_id.rpartition("-")
        assignment.watch_id = f"{stem}-{int(count) + 1}"
        assignment.watching = True
        assignment.watching_since = now
        watch = StartWatch(assignment.watch_id, CURRENT_KEY, found.store_revision + 1)
        return [*self._apply(found, now), watch]

    def _poll(self, assignment: _WatcherAssignment) -> Script[list[Action]]:
        """Read the document periodically, since a watch may skip revisions without breaking."""
        while True:
            now = yield from pause(POLL_INTERVAL_SECONDS * self._view.random.uniform(0.5, 1.5))
            if not self._lease_is_valid(assignment, now):
                return self._end_assignment(assignment, "lease expired")
            before = self._in_force.revision
            found = yield from self._document_reader.read()
            now = yield from perform()
            if not self._lease_is_valid(assignment, now):
                return self._end_assignment(assignment, "lease expired")
            if not isinstance(found, StoredDocument):
                continue
            if found.document.revision > max(before, self._in_force.revision):
                yield from perform(Count("configuration_watch_skips_total"))
            yield from perform(*self._apply(found, now))

    def _apply(self, found: object, now: float) -> list[Action]:
        if not isinstance(found, StoredDocument):
            reason = getattr(found, "reason", "")
            return [Log("configuration_unreadable", LogLevel.ERROR, (("reason", reason),))]
        own = self._in_force.revision
        if found.document.revision < own:
            fields = (("stored", int(found.document.revision)), ("in_force", int(own)))
            return [Log("store_behind", LogLevel.WARNING, fields)]
        return self._dissemination.apply_and_announce(found.document, now, "store", from_store=True)


def _revoke(lease_id: int) -> Script[list[Action]]:
    yield from call_store(RevokeLease(lease_id))
    return []
