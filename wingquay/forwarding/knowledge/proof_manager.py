"""Maintains the time as of which the copy of the store is complete, by polls and other nodes."""

from collections.abc import Callable, Collection

from ...model.routing_table import RoutingTable
from ...model.store_version import is_same_era
from ...ports.machine import Action, Count, Log, LogLevel, Observe
from ...ports.peer_link import NodeIdentity, PeerLinkBroken, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest
from .configuration_proof import AlwaysProven, TimedProof
from .proof_poll_times import MAX_POLL_SPREAD_SECONDS, ProofPollTimes
from .proof_requests import ReceivedProofRequests, SentProofRequests

WRITTEN_AGAIN_SECONDS = 2.0
"""Time after the store came back from an older copy in which its writers write again what it lost.
Until then its contents prove nothing."""
NO_POLL_REASON = "no poll was answered and no proof received"


class ProofManager:
    """Extends the proof by this node's polls and by proofs of other nodes.

    The proof decides how far the next poll may be postponed. If a revocation bound is stated and
    the configuration has tenants, it also decides whether requests with keys are served, and
    additional polls keep it within the bound.

    Parameters
    ----------
    proof_poll_times
        The bound and the polls that keep it; ``None``: no bound is stated.
    poll_delay_seconds
        Returns the delay of this node's own polls, which grows with its position in the group.
    next_answer_at
        Returns, for a time, when the store may answer the next poll.
    first_number
        Number of the first proof request; random, so that no two incarnations of a node share one.
    """

    def __init__(
        self,
        proof_poll_times: ProofPollTimes | None,
        poll_delay_seconds: Callable[[], float],
        next_answer_at: Callable[[float], float],
        first_number: int = 0,
    ) -> None:
        self._proof_poll_times = proof_poll_times
        self._poll_delay_seconds = poll_delay_seconds
        bound_seconds = float("inf") if proof_poll_times is None else proof_poll_times.bound_seconds
        self._timed = TimedProof(bound_seconds, next_answer_at)
        self._sent = SentProofRequests(first_number)
        self._received = ReceivedProofRequests()
        self._has_tenants = False
        self._lost_at: float | None = None
        """When the proof was found to be too old; ``None``: the configuration is proven."""
        self._reason = "no poll answered yet"
        self._proves_from = float("-inf")
        """Polls that began before have proven nothing since the store was restored."""

    @property
    def proof(self) -> AlwaysProven | TimedProof:
        """The proof by which arriving requests are admitted."""
        return AlwaysProven() if self._proof_poll_times is None else self._timed

    @property
    def proven_as_of(self) -> float:
        """The time up to which everything that the store acknowledged is known to this node."""
        return self._timed.proven_as_of

    @property
    def proof_poll_times(self) -> ProofPollTimes | None:
        """The polls that keep the bound; ``None``: requests are served without a proof."""
        return self._proof_poll_times if self._has_tenants else None

    def configure(self, table: RoutingTable) -> None:
        """Apply a configuration."""
        self._has_tenants = table.tenants is not None

    def poll_deadline(self) -> float:
        """Return by when the next poll must start, or end its hold time, to allow a retry."""
        if self.proof_poll_times is None:
            return float("inf")
        poll_delay_seconds = min(self._poll_delay_seconds(), MAX_POLL_SPREAD_SECONDS)
        return (
            self._timed.proven_as_of
            + self.proof_poll_times.poll_at_age_seconds
            + poll_delay_seconds
        )

    def handle_poll_answer(
        self, begun_at: float | None, store_revision: int, now: float
    ) -> list[Action]:
        """Handle an answered poll of this node.

        Parameters
        ----------
        begun_at
            When the poll started; ``None``: it proves nothing.
        store_revision
            The revision up to which the answer is complete.
        """
        if begun_at is None or begun_at < self._proves_from:
            return []
        answers = self._received.answers(begun_at, store_revision, now)
        return [*self._extend_proof(begun_at, now), *answers]

    def on_restored(self, now: float) -> None:
        """Accept no proof from the store until its writers have written again what it lost."""
        self._proves_from = now + WRITTEN_AGAIN_SECONDS
        self._reason = "the store came back from an older copy"

    def poll_failed(self, reason: str) -> None:
        """Record why the proof may not be extended for a while."""
        self._reason = reason

    def sweep(self, recipients: Callable[[], Collection[NodeIdentity]], now: float) -> list[Action]:
        """Request proofs from other nodes and log whether the proof was lost.

        Parameters
        ----------
        recipients
            Returns the nodes that share store updates.
        """
        return [*self.check(now), *self._sent.send_requests(recipients(), now)]

    def handle_update_from(self, sender: NodeIdentity, now: float) -> list[Action]:
        """Handle the arrival of another node's store update."""
        return self._sent.handle_update_from(sender, now)

    def handle_request(
        self, sender: NodeIdentity, request: ProofRequest, known_revision: int | None, now: float
    ) -> list[Action]:
        """Handle a proof request: record it, and answer at once if the configuration is proven."""
        self._received.record(sender, request, now)
        if known_revision is None or not self._timed.is_proven(now):
            return []
        if self.proven_as_of < self._proves_from or self.proven_as_of == float("-inf"):
            # Another node may not have all changes of the earlier era.
            return []
        held_seconds = self.proven_as_of - now
        return [SendToPeer(sender, ProofReply(request.number, held_seconds, known_revision))]

    def handle_proof(
        self, sender: NodeIdentity, proof: ProofReply, known_revision: int | None, now: float
    ) -> list[Action]:
        """Extend the proof by another node's poll, if this node has all its changes."""
        as_of = self._sent.proven_as_of(sender, proof, now)
        if as_of is None or known_revision is None:
            return []
        is_known = known_revision >= proof.store_revision
        if not is_known or not is_same_era(known_revision, proof.store_revision):
            return []
        if as_of < self._proves_from:
            return []
        return self._extend_proof(as_of, now)

    def link_broken(self, event: PeerLinkBroken) -> None:
        """Discard the requests that may be lost because a link broke."""
        if event.was_open:
            self._sent.link_broken(event.node_id)
            self._received.link_broken(event.node_id)

    def age_seconds(self, now: float) -> float:
        """Return the age of the proof."""
        return now - self.proven_as_of

    def _extend_proof(self, as_of: float, now: float) -> list[Action]:
        age_seconds = self.age_seconds(now)
        if not self._timed.extend(as_of, now):
            return []
        logs = self.check(now)
        self._reason = NO_POLL_REASON
        if self.proof_poll_times is None or age_seconds == float("inf"):
            return logs
        return [*logs, Observe("configuration_proof_age_seconds", age_seconds)]

    def check(self, now: float) -> list[Action]:
        """Log and count when the configuration becomes unproven or proven again."""
        if self.proof_poll_times is None:
            return []
        if self._timed.is_proven(now):
            return self._proof_regained(now)
        return self._proof_lost(now) if self._lost_at is None else []

    def _proof_regained(self, now: float) -> list[Action]:
        lost_at, self._lost_at = self._lost_at, None
        if lost_at is None:
            return []
        fields = (("unproven_ms", _milliseconds(now - lost_at)),)
        return [Log("configuration_proven", LogLevel.INFO, fields)]

    def _proof_lost(self, now: float) -> list[Action]:
        self._lost_at = now
        age_seconds = self.age_seconds(now)
        age_ms = -1 if age_seconds == float("inf") else _milliseconds(age_seconds)
        fields = (("age_ms", age_ms), ("reason", self._reason))
        return [
            Log("configuration_unproven", LogLevel.WARNING, fields),
            Count("configuration_unproven_total"),
        ]


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000.0)
