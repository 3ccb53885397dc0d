"""Holds one of the zone's watcher assignments, and while holding it watches the store.

An assignment is a key written with a lease. A holder may have been paused past its lease and not
know: so it counts the lease from the moment it *asked* for it, by its own clock, and looks at that
before every step. What it passes on carries the revision, which is the fencing token: nobody
goes back to a smaller one, whoever sends it.
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
from .current_key import CurrentKey, StoredDocument
from .dissemination import Dissemination
from .in_force import InForceConfiguration
from .keys import CURRENT_KEY, assignment_key, assignments_prefix
from .node_view import NodeView
from .script import Script, ScriptRunner, call_store, pause, perform
from .store_schedule import FullJitterBackoff, takes_turn

ASSIGNMENTS_IN_EACH_ZONE = 2

LEASE_SECONDS = 10
"""Time to live of an assignment's lease."""

LEASE_MARGIN_SECONDS = 1.0
"""A holder stops acting this long before its lease may lapse: clocks do not run alike."""

RENEWAL_SECONDS = 3.0
"""Pause between renewals of the lease."""

ASSIGNMENT_CHECK_SECONDS = 2.5
"""Mean pause between looks at a zone's assignments, by all nodes of the zone together."""

LASTING_WATCH_SECONDS = 10.0
"""A watch that lasted so long shows that the store is well again."""

POLL_SECONDS = 10.0
"""Mean pause between reads that notice what the watch skipped."""


@dataclass(slots=True)
class _Tenure:
    """One time of holding an assignment."""

    assignment: int
    lease_id: int
    fence: int
    """The store's revision of the write that took the assignment."""
    valid_until: float
    watch_id: str
    backoff: FullJitterBackoff
    """Between the watches of the tenure, so that one that breaks at once is not hurried."""
    watching: bool = False
    watching_since: float = 0.0


class Watcher:
    """Takes a vacant assignment of the zone, watches while holding it, and gives it up cleanly."""

    def __init__(
        self,
        view: NodeView,
        runner: ScriptRunner,
        in_force: InForceConfiguration,
        dissemination: Dissemination,
        current_key: CurrentKey,
    ) -> None:
        self._view = view
        self._runner = runner
        self._in_force = in_force
        self._dissemination = dissemination
        self._current_key = current_key
        self._tenure: _Tenure | None = None

    @property
    def holds_assignment(self) -> bool:
        """Whether the node believes to hold an assignment; acting on it checks the lease first."""
        return self._tenure is not None

    def start(self, now: float) -> list[Action]:
        """Begin to look for a vacant assignment now and then."""
        return self._runner.start(self._look_for_assignments(), now)

    def give_up(self, now: float) -> list[Action]:
        """Give the assignment back at once (a planned stop), so that another node takes it."""
        tenure = self._tenure
        if tenure is None:
            return []
        return self._end(tenure, "given up") + self._runner.start(_revoke(tenure.lease_id), now)

    def watch_changed(self, event: WatchChanged, now: float) -> list[Action]:
        """Take in what the watch saw, if the assignment is still held."""
        tenure = self._tenure
        if tenure is None or event.watch_id != tenure.watch_id:
            return []
        if not self._holds(tenure, now):
            return self._end(tenure, "lease lapsed")
        actions: list[Action] = []
        for value in event.changed:
            if value.key == CURRENT_KEY:
                actions += self._take(self._current_key.take(value, event.store_revision), now)
        return actions

    def watch_broken(self, event: WatchBroken, now: float) -> list[Action]:
        """Read and watch anew after a pause: what happened meanwhile may have been missed."""
        tenure = self._tenure
        if tenure is None or event.watch_id != tenure.watch_id:
            return []
        tenure.watching = False
        if now - tenure.watching_since > LASTING_WATCH_SECONDS:
            tenure.backoff.succeeded()
        return self._runner.start(self._watch(tenure, restarted=True), now)

    def _holds(self, tenure: _Tenure, now: float) -> bool:
        """Whether the tenure has not ended and its lease cannot have lapsed yet."""
        return self._tenure is tenure and now < tenure.valid_until - LEASE_MARGIN_SECONDS

    def _end(self, tenure: _Tenure, reason: str) -> list[Action]:
        if self._tenure is not tenure:
            return []
        self._tenure = None
        fields = (("assignment", tenure.assignment), ("fence", tenure.fence), ("reason", reason))
        actions: list[Action] = [Log("watcher_assignment_ended", fields=fields)]
        if tenure.watching:
            actions.append(StopWatch(tenure.watch_id))
        return actions

    def _look_for_assignments(self) -> Script[list[Action]]:
        random = self._view.random
        backoff = FullJitterBackoff(random)
        not_before = 0.0
        while not self._view.leaving:
            now = yield from pause(ASSIGNMENT_CHECK_SECONDS * random.uniform(0.5, 1.5))
            crowd = self._view.zone_node_count
            if self.holds_assignment or now < not_before or self._view.leaving:
                continue
            if not takes_turn(random, crowd, expected_turns=1.0):
                continue
            answered = yield from self._try_assignment()
            now = yield from perform()
            if answered:
                backoff.succeeded()
            else:
                not_before = now + backoff.delay_seconds(crowd)
        return []

    def _try_assignment(self) -> Script[bool]:
        """Take a vacant assignment if there is one; return whether the store answered."""
        zone = self._view.identity.zone
        seen = (yield from call_store(Read(assignments_prefix(zone), prefix=True))).outcome
        if not isinstance(seen, ReadResult):
            return False
        taken = {value.key for value in seen.values}
        vacant = [
            s for s in range(ASSIGNMENTS_IN_EACH_ZONE) if assignment_key(zone, s) not in taken
        ]
        if not vacant:
            return True
        assignment = self._view.random.choice(vacant)
        asked_at = yield from perform()
        lease = (yield from call_store(GrantLease(LEASE_SECONDS))).outcome
        if not isinstance(lease, LeaseState):
            return False
        return (yield from self._claim(assignment, lease, asked_at))

    def _claim(self, assignment: int, lease: LeaseState, asked_at: float) -> Script[bool]:
        identity = self._view.identity
        value = json.dumps({"node_id": identity.node_id, "address": identity.host}).encode()
        operation = CompareAndSwap(
            assignment_key(identity.zone, assignment), 0, value, lease.lease_id
        )
        reply = yield from call_store(operation)
        swap = reply.outcome
        if not isinstance(swap, SwapResult) or not swap.succeeded or self._view.leaving:
            # After a lost reply the assignment may be ours: ending the lease vacates it for
            # certain.
            yield from call_store(RevokeLease(lease.lease_id))
            return isinstance(swap, SwapResult)
        tenure = _Tenure(
            assignment=assignment,
            lease_id=lease.lease_id,
            fence=swap.store_revision,
            valid_until=asked_at + LEASE_SECONDS,
            watch_id=f"configuration-watch-{lease.lease_id}-0",
            backoff=FullJitterBackoff(self._view.random),
        )
        self._tenure = tenure
        fields = (("assignment", assignment), ("fence", tenure.fence))
        begin: list[Action] = [Log("watcher_assignment_taken", fields=fields)]
        for script in (self._keep(tenure), self._watch(tenure), self._poll(tenure)):
            begin += self._runner.start(script, reply.now)
        yield from perform(*begin)
        return True

    def _keep(self, tenure: _Tenure) -> Script[list[Action]]:
        """Renew the lease until the tenure ends."""
        while True:
            now = yield from pause(RENEWAL_SECONDS * self._view.random.uniform(0.8, 1.0))
            if not self._holds(tenure, now):
                return self._end(tenure, "lease lapsed")
            reply = yield from call_store(KeepLeaseAlive(tenure.lease_id))
            state = reply.outcome
            if not isinstance(state, LeaseState):
                continue
            if state.time_to_live_seconds <= 0:
                return self._end(tenure, "lease lapsed in the store")
            tenure.valid_until = now + min(LEASE_SECONDS, state.time_to_live_seconds)

    def _watch(self, tenure: _Tenure, restarted: bool = False) -> Script[list[Action]]:
        """Read, then watch from just after what was read."""
        if restarted:
            yield from pause(tenure.backoff.delay_seconds())
        while True:
            now = yield from perform()
            if not self._holds(tenure, now):
                return self._end(tenure, "lease lapsed")
            found = yield from self._current_key.read()
            now = yield from perform()
            if not self._holds(tenure, now):
                return self._end(tenure, "lease lapsed")
            if isinstance(found, StoredDocument):
                break
            yield from pause(tenure.backoff.delay_seconds())
        if tenure.watching:
            return []
        stem, _, count = tenure.watch_id.rpartition("-")
        tenure.watch_id = f"{stem}-{int(count) + 1}"
        tenure.watching = True
        tenure.watching_since = now
        watch = StartWatch(tenure.watch_id, CURRENT_KEY, found.store_revision + 1)
        return [*self._take(found, now), watch]

    def _poll(self, tenure: _Tenure) -> Script[list[Action]]:
        """Look again now and then: a watch may skip revisions without breaking."""
        while True:
            now = yield from pause(POLL_SECONDS * self._view.random.uniform(0.5, 1.5))
            if not self._holds(tenure, now):
                return self._end(tenure, "lease lapsed")
            before = self._in_force.revision
            found = yield from self._current_key.read()
            now = yield from perform()
            if not self._holds(tenure, now):
                return self._end(tenure, "lease lapsed")
            if not isinstance(found, StoredDocument):
                continue
            if found.document.revision > max(before, self._in_force.revision):
                yield from perform(Count("configuration_watch_skips_total"))
            yield from perform(*self._take(found, now))

    def _take(self, found: object, now: float) -> list[Action]:
        if not isinstance(found, StoredDocument):
            reason = getattr(found, "reason", "")
            return [Log("configuration_unreadable", LogLevel.ERROR, (("reason", reason),))]
        own = self._in_force.revision
        if found.document.revision < own:
            fields = (("stored", int(found.document.revision)), ("in_force", int(own)))
            return [Log("store_behind", LogLevel.WARNING, fields)]
        return self._dissemination.take(found.document, now, "store", from_store=True)


def _revoke(lease_id: int) -> Script[list[Action]]:
    yield from call_store(RevokeLease(lease_id))
    return []
