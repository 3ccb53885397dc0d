"""Decides the state of a replica from the evidence about it; pure functions without stored state.

There are three sources of evidence. Own evidence comes from this node's requests to the replica:
answers, drain flags, refused connections. Gossip is the state that was last spread, by another node
or by this one. The platform's machine list may lag without bound. Fresh own evidence overrides one
other source, but not both if neither says that the replica serves. Without fresh own evidence the
newest source decides. See docs/design/membership.md.
"""

from dataclasses import dataclass

from ..ports.peer import ReplicaState

MAX_LEAVING_DETECTION_SECONDS = 3.0
"""Maximum time from the first evidence that a replica is leaving until it gets no new requests.

It does not apply if the evidence came from one lagging source and own evidence contradicts it. It
is not a setting; the settings below must be chosen to keep it.
"""


@dataclass(frozen=True, slots=True)
class ReplicaEvidenceSettings:
    """Bounds on how long hints take to be believed.

    Parameters
    ----------
    own_fresh_seconds
        How long our own evidence wins over one other source. Gossip takes the rest of the bound.
    return_seconds
        How long a replica that said that it was leaving must say that it serves, without a break,
        before it gets new work again.
    """

    own_fresh_seconds: float = 2.0
    return_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """The last state from one source, and when this node received it (seconds)."""

    state: ReplicaState
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaEvidence:
    """All evidence about one replica; ``None`` for sources without any.

    Parameters
    ----------
    own
        The newest own evidence.
    own_leaving_at
        When own evidence last showed that the replica is leaving (seconds).
    own_serving_since
        Since when own evidence has continuously shown that the replica serves (seconds).
    gossip
        The state that was last spread, by other nodes or this one.
    machine_list
        The state in the platform's machine list.
    """

    own: Evidence | None = None
    own_leaving_at: float = float("-inf")
    own_serving_since: float = float("inf")
    gossip: Evidence | None = None
    machine_list: Evidence | None = None

    def with_own(self, state: ReplicaState, now: float) -> "ReplicaEvidence":
        """Return the evidence with ``state`` as observed by this node ``now``."""
        is_serving = state is ReplicaState.SERVING
        was_serving = self.own is not None and self.own.state is ReplicaState.SERVING
        since = self.own_serving_since if was_serving else now
        return ReplicaEvidence(
            own=Evidence(state, now),
            own_leaving_at=now if state is ReplicaState.LEAVING else self.own_leaving_at,
            own_serving_since=since if is_serving else float("inf"),
            gossip=self.gossip,
            machine_list=self.machine_list,
        )

    @property
    def no_source_denies_serving(self) -> bool:
        """Whether no source says that the replica is leaving or gone."""
        sources = (self.own, self.gossip, self.machine_list)
        return not any(_is_not_serving(source) for source in sources)


def effective_state(
    evidence: ReplicaEvidence, settings: ReplicaEvidenceSettings, now: float
) -> ReplicaState:
    """Return the state of the replica ``now``, according to all evidence."""
    own = evidence.own
    if own is None or now - own.at > settings.own_fresh_seconds:
        return _state_without_fresh_own_evidence(evidence)
    if own.state is not ReplicaState.SERVING:
        return own.state
    if now - evidence.own_leaving_at < settings.return_seconds:
        return ReplicaState.LEAVING
    gossip, machine_list = evidence.gossip, evidence.machine_list
    if gossip is not None and _is_not_serving(gossip) and _is_not_serving(machine_list):
        return gossip.state
    return ReplicaState.SERVING


def _state_without_fresh_own_evidence(evidence: ReplicaEvidence) -> ReplicaState:
    sources = [source for source in (evidence.own, evidence.gossip) if source is not None]
    newest = max(sources, key=lambda source: source.at, default=None)
    if newest is not None and _is_not_serving(newest):
        return newest.state
    machine_list = evidence.machine_list
    if machine_list is not None and (newest is None or machine_list.at > newest.at):
        return machine_list.state
    return ReplicaState.SERVING


def state_to_spread(
    evidence: ReplicaEvidence, settings: ReplicaEvidenceSettings, now: float
) -> ReplicaState | None:
    """Return the state to spread to other nodes, or ``None`` if nothing needs to be corrected.

    Own evidence that the replica does not serve is spread at once. A correction to serving is
    spread only after this node has observed serving for ``return_seconds`` without a break, so that
    two nodes with different evidence do not override each other endlessly. A leaving state from the
    machine list is spread only if no node has spread any state yet.
    """
    own, spread = evidence.own, evidence.gossip
    spread_state = ReplicaState.SERVING if spread is None else spread.state
    if own is None or now - own.at > settings.own_fresh_seconds:
        machine_list = evidence.machine_list
        if machine_list is not None and _is_not_serving(machine_list) and spread is None:
            return machine_list.state
        return None
    effective = effective_state(evidence, settings, now)
    if _is_not_serving(own):
        return None if effective is spread_state else effective
    if spread is None or not _is_not_serving(spread):
        return None
    disputed_since = max(spread.at, evidence.own_serving_since)
    return ReplicaState.SERVING if now - disputed_since >= settings.return_seconds else None


def _is_not_serving(source: Evidence | None) -> bool:
    return source is not None and source.state is not ReplicaState.SERVING
