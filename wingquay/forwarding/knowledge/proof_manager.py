"""Keeps the proof of the configuration: what renews it, how soon it must be, what is told of it."""

from collections.abc import Callable, Collection

from ...model.routing_table import RoutingTable
from ...ports.machine import Action, Count, Log, LogLevel, Observe
from ...ports.peer_link import NodeIdentity, PeerLinkBroken, SendToPeer
from ...ports.proof_messages import ProofReply, ProofRequest
from .configuration_proof import AlwaysProven, TimedProof
from .proof_poll_times import MOST_RANK_SECONDS, ProofPollTimes
from .proof_requests import HeardAsks, ProofAsks

LATE_REASON = "no look was answered and nobody told of one"


class ProofManager:
    """Takes in what proves the configuration, for deployments that state the strict bound.

    Nothing is paid for it, neither calls nor messages, by other deployments and as long as the
    configuration has no tenants.

    Parameters
    ----------
    looks
        The bound and the looks that keep it; ``None``: no bound is stated.
    rank_seconds
        How much later than the first of its group this node looks by itself.
    next_answer_at
        Tells, for a moment, when the store may answer.
    first_number
        Number of the first ask to another node; random, so that no two lives of a node share one.
    """

    def __init__(
        self,
        looks: ProofPollTimes | None,
        rank_seconds: Callable[[], float],
        next_answer_at: Callable[[float], float],
        first_number: int = 0,
    ) -> None:
        self._looks = looks
        self._rank_seconds = rank_seconds
        self._timed = None if looks is None else TimedProof(looks.bound_seconds, next_answer_at)
        self._asks = ProofAsks(first_number)
        self._heard = HeardAsks()
        self._has_tenants = False
        self._lost_at: float | None = None
        """When it was noticed that the configuration is not proven; ``None``: it is."""
        self._reason = "nothing was read yet"

    @property
    def proof(self) -> AlwaysProven | TimedProof:
        """What arriving requests are judged by."""
        return self._timed or AlwaysProven()

    @property
    def looks(self) -> ProofPollTimes | None:
        """The looks that keep the bound; ``None``: there is nothing to prove."""
        return self._looks if self._has_tenants else None

    def configure(self, table: RoutingTable) -> None:
        """Take in a configuration."""
        self._has_tenants = table.tenants is not None

    def look_by(self) -> float:
        """Return when this node's own look must have begun, so that it may fail once."""
        if self._timed is None or self.looks is None:
            return float("inf")
        rank_seconds = min(self._rank_seconds(), MOST_RANK_SECONDS)
        return self._timed.proven_as_of + self.looks.own_seconds + rank_seconds

    def looked(self, begun_at: float | None, store_revision: int, now: float) -> list[Action]:
        """Take in that a look of this node was answered.

        Parameters
        ----------
        begun_at
            When it was begun; ``None``: it proves nothing.
        store_revision
            Up to which revision it told everything.
        """
        if self._timed is None or begun_at is None:
            return []
        told = self._heard.answers(begun_at, store_revision, now)
        return [*self._prove(self._timed, begun_at, now), *told]

    def poll_failed(self, reason: str) -> None:
        """Take in why nothing may be proven for a while."""
        self._reason = reason

    def sweep(self, listeners: Callable[[], Collection[NodeIdentity]], now: float) -> list[Action]:
        """Ask other nodes to prove what they read, and tell if the proof was lost.

        Parameters
        ----------
        listeners
            Returns the nodes that tell each other what they read.
        """
        if self.looks is None:
            return []
        return [*self.check(now), *self._asks.ask(listeners(), now)]

    def handle_update_from(self, sender: NodeIdentity, now: float) -> list[Action]:
        """Take in that another node has told what it has read."""
        return [] if self.looks is None else self._asks.news_from(sender, now)

    def asked(
        self, sender: NodeIdentity, ask: ProofRequest, known_revision: int | None, now: float
    ) -> list[Action]:
        """Take in that another node asks, and tell it at once what is proven here."""
        if self._timed is None:
            return []
        self._heard.heard(sender, ask, now)
        if known_revision is None or not self._timed.is_proven(now):
            return []
        held_seconds = self._timed.proven_as_of - now
        return [SendToPeer(sender, ProofReply(ask.number, held_seconds, known_revision))]

    def given(
        self, sender: NodeIdentity, given: ProofReply, known_revision: int | None, now: float
    ) -> list[Action]:
        """Take in what another node's look proves, if all that it has told is known."""
        as_of = self._asks.proven_as_of(sender, given, now)
        is_known = known_revision is not None and known_revision >= given.store_revision
        if self._timed is None or as_of is None or not is_known:
            return []
        return self._prove(self._timed, as_of, now)

    def link_broken(self, event: PeerLinkBroken) -> None:
        """Take in that a link broke: what was asked over it may be lost."""
        if event.was_open:
            self._asks.link_broken(event.node_id)
            self._heard.link_broken(event.node_id)

    def age_seconds(self, now: float) -> float:
        """Return how long ago the configuration was the one in force at least."""
        return float("inf") if self._timed is None else now - self._timed.proven_as_of

    def _prove(self, timed: TimedProof, as_of: float, now: float) -> list[Action]:
        age_seconds = now - timed.proven_as_of
        if not timed.prove(as_of, now):
            return []
        lines = self.check(now)
        self._reason = LATE_REASON
        if self.looks is None or age_seconds == float("inf"):
            return lines
        return [*lines, Observe("configuration_proof_age_seconds", age_seconds)]

    def check(self, now: float) -> list[Action]:
        """Tell if the configuration has ceased to be proven, or is so again."""
        if self._timed is None or self.looks is None:
            return []
        if self._timed.is_proven(now):
            return self._back(now)
        return self._lost(self._timed, now) if self._lost_at is None else []

    def _back(self, now: float) -> list[Action]:
        lost_at, self._lost_at = self._lost_at, None
        if lost_at is None:
            return []
        fields = (("unproven_ms", _milliseconds(now - lost_at)),)
        return [Log("configuration_proven", LogLevel.INFO, fields)]

    def _lost(self, timed: TimedProof, now: float) -> list[Action]:
        self._lost_at = now
        age_seconds = now - timed.proven_as_of
        age_ms = -1 if age_seconds == float("inf") else _milliseconds(age_seconds)
        fields = (("age_ms", age_ms), ("reason", self._reason))
        return [
            Log("configuration_unproven", LogLevel.WARNING, fields),
            Count("configuration_unproven_total"),
        ]


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000.0)
