"""Which evidence about a replica is believed; pure policy, no state.

Three sources speak of a replica. Our own exchanges are first-hand: answers, drain flags, refused
connections. Gossip is what another node saw first-hand, seconds ago. The platform's machine list
lags without a bound. The rule: what we saw ourselves within the last moments wins over one other
source; two others together win over it; without fresh evidence of our own the newest word wins.
See docs/design/membership.md.
"""

from dataclasses import dataclass

from ..ports.peer import ReplicaState

MAX_REPLICA_LEAVING_SECONDS = 3.0
"""What the settings below must add up to.

After this time from the first hint that a replica is leaving, no node sends it new work, unless
the hint came from one lagging source and our own exchanges speak against it. It is no setting
itself: nothing waits for it.
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
    """What one source last said, and when we heard it (seconds)."""

    state: ReplicaState
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaEvidence:
    """Everything that speaks of one replica.

    Parameters
    ----------
    own
        Our newest own evidence.
    own_leaving_at
        When our own exchanges last showed that it is leaving.
    own_serving_since
        Since when our own evidence has said, without a break, that it serves.
    gossip
        What another node spread.
    listed
        What the machine list says.
    """

    own: Evidence | None = None
    own_leaving_at: float = float("-inf")
    own_serving_since: float = float("inf")
    gossip: Evidence | None = None
    listed: Evidence | None = None

    def with_own(self, state: ReplicaState, now: float) -> "ReplicaEvidence":
        """Return the evidence with what we saw ourselves ``now``."""
        is_serving = state is ReplicaState.SERVING
        was_serving = self.own is not None and self.own.state is ReplicaState.SERVING
        since = self.own_serving_since if was_serving else now
        return ReplicaEvidence(
            own=Evidence(state, now),
            own_leaving_at=now if state is ReplicaState.LEAVING else self.own_leaving_at,
            own_serving_since=since if is_serving else float("inf"),
            gossip=self.gossip,
            listed=self.listed,
        )

    @property
    def is_undisputed(self) -> bool:
        """Whether every source that speaks says that it serves."""
        sources = (self.own, self.gossip, self.listed)
        return not any(_is_not_serving(source) for source in sources)


def effective_state(
    evidence: ReplicaEvidence, settings: ReplicaEvidenceSettings, now: float
) -> ReplicaState:
    """Return what to believe of a replica ``now``."""
    own = evidence.own
    if own is None or now - own.at > settings.own_fresh_seconds:
        return _state_without_own_evidence(evidence)
    if own.state is not ReplicaState.SERVING:
        return own.state
    if now - evidence.own_leaving_at < settings.return_seconds:
        return ReplicaState.LEAVING
    gossip, listed = evidence.gossip, evidence.listed
    if gossip is not None and _is_not_serving(gossip) and _is_not_serving(listed):
        return gossip.state
    return ReplicaState.SERVING


def _state_without_own_evidence(evidence: ReplicaEvidence) -> ReplicaState:
    sources = [source for source in (evidence.own, evidence.gossip) if source is not None]
    newest = max(sources, key=lambda source: source.at, default=None)
    if newest is not None and _is_not_serving(newest):
        return newest.state
    listed = evidence.listed
    if listed is not None and (newest is None or listed.at > newest.at):
        return listed.state
    return ReplicaState.SERVING


def state_to_spread(
    evidence: ReplicaEvidence, settings: ReplicaEvidenceSettings, now: float
) -> ReplicaState | None:
    """Return what other nodes should be told because what is spread is wrong, or ``None``.

    A warning of our own is spread at once. That a replica serves after all is spread only after
    our own evidence has said so for a while since the warning, so that two nodes that see
    different things do not contradict each other without end. The machine list is passed on only
    where no node has spoken yet.
    """
    own, spread = evidence.own, evidence.gossip
    spread_state = ReplicaState.SERVING if spread is None else spread.state
    if own is None or now - own.at > settings.own_fresh_seconds:
        listed = evidence.listed
        if listed is not None and _is_not_serving(listed) and spread is None:
            return listed.state
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
