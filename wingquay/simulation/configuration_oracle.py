"""The part of the oracle that knows which configuration is confirmed and in force where."""

from collections import defaultdict

from ..model.identifiers import NodeId, Revision
from .invariants import Invariant, Violations

IN_FORCE_BOUND_SECONDS = 5.0
"""A confirmed configuration is in force everywhere by then ("within seconds")."""
FIRST_IN_FORCE_BOUND_SECONDS = 15.0
"""A process that starts has its first configuration by then; until it has, it serves nobody."""

_INVARIANT = Invariant.CONFIGURATION_IN_FORCE_AND_MONOTONIC


class ConfigurationOracle:
    """Keeps what the store holds, what each node goes by, and what operators were told.

    Parameters
    ----------
    violations
        Where violations are counted.
    """

    def __init__(self, violations: Violations) -> None:
        self.in_force_seconds: list[float] = []
        """For each confirmed revision and node, how long after the confirm it was in force."""
        self._violations = violations
        self._due_from: dict[Revision, float] = {}
        self._confirmed_at: dict[Revision, float] = {}
        self._revision_of_plan: dict[str, Revision] = {}
        self._in_force: dict[NodeId, Revision] = {}
        self._uninformed_until: dict[NodeId, float] = defaultdict(float)
        self._frozen_until: dict[NodeId, float] = defaultdict(float)
        self._told_not_landed: set[str] = set()
        self._store_away_until = 0.0

    # -- the store -----------------------------------------------------------------------------

    def confirmed(self, revision: Revision, confirm_id: str, now: float) -> None:
        """Take in that the store holds a new current configuration."""
        newest = max(self._confirmed_at, default=Revision(0))
        if revision <= newest:
            self._add(now, f"revision {revision} confirmed after {newest}")
        if confirm_id in self._revision_of_plan:
            earlier = self._revision_of_plan[confirm_id]
            self._add(now, f"plan {confirm_id} took effect twice: {earlier} and {revision}")
        if confirm_id in self._told_not_landed:
            self._add(now, f"plan {confirm_id} took effect after its operator was told it did not")
        self._confirmed_at[revision] = now
        self._due_from[revision] = now
        self._revision_of_plan[confirm_id] = revision

    def store_unavailable(self, until: float) -> None:
        """Take in that the store cannot be used until then."""
        self._store_away_until = max(self._store_away_until, until)

    def look_for_paths(self, now: float) -> None:
        """Let revisions be due later that can be learnt neither from the store nor from a node."""
        if now >= self._store_away_until:
            return
        speaking = [
            revision for node_id, revision in self._in_force.items() if self._speaks(node_id, now)
        ]
        known = max(speaking, default=Revision(0))
        for revision in self._due_from:
            if revision > known:
                self._due_from[revision] = max(self._due_from[revision], now)

    def _speaks(self, node_id: NodeId, now: float) -> bool:
        return now >= self._frozen_until[node_id] and now >= self._uninformed_until[node_id]

    # -- nodes ---------------------------------------------------------------------------------

    def node_frozen(self, node_id: NodeId, until: float) -> None:
        """Take in that a node is paused until then."""
        self._frozen_until[node_id] = max(self._frozen_until[node_id], until)

    def node_uninformed(self, node_id: NodeId, until: float) -> None:
        """Take in that a node can learn nothing until then."""
        self._uninformed_until[node_id] = max(self._uninformed_until[node_id], until)

    def healed(self, now: float) -> None:
        """Take in that no node is cut off any more."""
        for node_id, until in self._uninformed_until.items():
            self._uninformed_until[node_id] = min(until, now)

    def node_gone(self, node_id: NodeId) -> None:
        """Forget a process that ended."""
        self._in_force.pop(node_id, None)

    def in_force(self, node_id: NodeId, revision: Revision, now: float) -> None:
        """Check a revision that a node goes by from now on."""
        before = self._in_force.get(node_id, Revision(0))
        if revision < before:
            self._add(now, f"{node_id} went back from revision {before} to {revision}")
        confirmed_at = self._confirmed_at.get(revision)
        if confirmed_at is None:
            self._add(now, f"{node_id} goes by revision {revision}, which nobody confirmed")
        elif before:
            self.in_force_seconds.append(now - confirmed_at)
        self._in_force[node_id] = revision

    def check_node(self, node_id: NodeId, running_since: float, now: float) -> None:
        """Check that a running node goes by what was confirmed long enough ago."""
        able_since = max(
            running_since, self._uninformed_until[node_id], self._frozen_until[node_id]
        )
        in_force = self._in_force.get(node_id, Revision(0))
        bound = IN_FORCE_BOUND_SECONDS if in_force else FIRST_IN_FORCE_BOUND_SECONDS
        for revision, due_from in self._due_from.items():
            due_at = max(due_from, able_since) + bound
            if revision > in_force and now > due_at:
                late = now - due_at
                self._add(now, f"{node_id} goes by {in_force}: {revision} is {late:.3f} s late")
                return

    # -- operators -----------------------------------------------------------------------------

    def told_landed(self, plan_id: str, revision: Revision, now: float) -> None:
        """Check that a plan took effect as the revision that its operator was told."""
        if self._revision_of_plan.get(plan_id) != revision:
            self._add(now, f"an operator was told that plan {plan_id} is revision {revision}")

    def told_not_landed(self, plan_id: str, now: float) -> None:
        """Check that a plan has not taken effect, and from now on that it never does."""
        if plan_id in self._revision_of_plan:
            self._add(now, f"an operator was told that plan {plan_id} did not take effect")
        self._told_not_landed.add(plan_id)

    def _add(self, now: float, what: str) -> None:
        self._violations.add(_INVARIANT, now, what)
