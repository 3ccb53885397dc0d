"""One caller's request while it is open: its calls to services and their attempts."""

from dataclasses import dataclass, field
from typing import Protocol

from ..model.routing_table import Route, RoutingTable
from ..model.tenants import Tenant
from ..ports.forwarding import ForwardRequested, ReplicaAnswer
from ..ports.machine import Action
from .arrival.request_identity import compute_identity
from .choice.replica_state import ReplicaState

SEQUENTIAL_AFTER_DISCONNECTS = 2
"""Connections that end under a request that nobody has answered, from which on one replica is asked
at a time. So one that ends replicas leaves the second replica of most of its shards."""


class Origin(Protocol):
    """Another node that waits for an exchange in place of a caller."""

    @property
    def name(self) -> str:
        """The id of the node, for the log."""
        ...

    @property
    def may_retry(self) -> bool:
        """Whether further attempts are left to this node."""
        ...

    def report(self, exchange: "Exchange") -> list[Action]:
        """Return the message that tells what is in and has not been told, if there is anything."""
        ...

    def give_back(self, exchange: "Exchange") -> list[Action]:
        """Leave the calls that are not under way to that node; return the message that says so."""
        ...

    def report_exhausted(self, calls: "list[ServiceCall]") -> list[Action]:
        """Return the message that nothing comes of calls any more, if that has not been told."""
        ...

    def report_held(self, held_seconds: float) -> list[Action]:
        """Return the message that the request is held back."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one replica."""

    attempt_id: int
    call: "ServiceCall"
    replica: ReplicaState
    sent_at: float
    is_hedge: bool
    outstanding_before: int = 0
    """Attempts of this node that were under way there before it."""
    was_suspended: bool = False
    """This node's machine was suspended meanwhile: that no answer came says nothing."""
    is_abandoned: bool = False
    """Nobody waits for it any more; it may end by itself for a short time."""


@dataclass(slots=True, eq=False)
class ServiceCall:
    """The part of a request that one service answers."""

    exchange: "Exchange"
    service: str
    attempts: dict[int, Attempt] = field(default_factory=dict)
    """Attempts under way, by id."""
    tried_incarnations: set[str] = field(default_factory=set)
    """Lives of replicas that the request was sent to and that may have run it."""
    refused_incarnations: set[str] = field(default_factory=set)
    """Lives that could not be reached or did not run it, since the last pause."""
    arrivals: int = 0
    """Sendings that may have arrived."""
    answer: ReplicaAnswer | None = None
    answered_at: float = 0.0
    failure: ReplicaAnswer | None = None
    """A failure that a replica answered, in case nothing better comes."""
    is_begun: bool = False
    """Whether this node or another one has begun to ask for it."""
    is_waiting: bool = False
    """Whether it waits for a replica that can take it."""
    is_queued: bool = False
    """Whether it stands in line, or did when it stopped waiting."""
    delegated_attempts: int = 0
    """How many replicas another node may send the request to."""
    is_delegate_lost: bool = False
    """Whether nothing more is expected of that node."""
    is_owned: bool = False
    """Whether the nodes of a group leave its service to this node."""
    history: list[str] = field(default_factory=list)
    """What became of its attempts, for the log."""

    @property
    def is_finished(self) -> bool:
        """Whether it does not wait in line any more."""
        return not self.is_waiting or self.answer is not None or bool(self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, or may yet for a node that was lost."""
        return bool(self.tried_incarnations) or self.delegated_attempts > 0 or self.is_delegate_lost

    def record_answer(self, answer: ReplicaAnswer, now: float) -> None:
        """Take in the shard's answer, or a better one than before."""
        if self.answer is None:
            self.exchange.answered_shards += 1
        self.answer = answer
        self.answered_at = now

    @property
    def attempts_left(self) -> int:
        """How many more replicas this node may send the request to."""
        return (
            self.exchange.route.max_attempts
            - len(self.tried_incarnations)
            - self.delegated_attempts
        )

    @property
    def is_exhausted(self) -> bool:
        """Whether it certainly brings no answer any more."""
        is_open = bool(self.attempts) or self.is_delegated
        return self.answer is None and self.attempts_left <= 0 and not is_open

    @property
    def is_delegated(self) -> bool:
        """Whether another node asks a replica and may still bring its answer."""
        return self.delegated_attempts > 0 and not self.is_delegate_lost


@dataclass(slots=True, eq=False)
class Exchange:
    """One caller's request and everything that is done for it."""

    event: ForwardRequested
    """Its arrival; without its caller's secret where the configuration has tenants."""
    table: RoutingTable
    route: Route
    """Its priority is the tenant's, where the tenant has one."""
    arrived_at: float
    cutoff_at: float
    """Last moment at which an answer still reaches the caller within the objective."""
    ends_at: float
    """When it is given up on."""
    calls: list[ServiceCall] = field(default_factory=list)
    signatures: set[str] = field(default_factory=set)
    answered_shards: int = 0
    """Calls whose answer is in."""
    failures: int = 0
    """Attempts and nodes that brought nothing: no more calls than that can be exhausted."""
    is_retry_scheduled: bool = False
    origin: Origin | None = None
    """The node that waits for it; ``None``: a caller does."""
    tenant: Tenant | None = None
    """Who calls; ``None``: replicas are told nobody."""
    unexplained_disconnects: int = 0
    """Connections that ended without an answer, as far as their replicas may have ended."""
    is_suspect: bool = False
    """Whether replicas ended under an earlier attempt of its caller."""
    is_cleared: bool = False
    """Whether a replica has run it to an end: it does not end replicas."""
    open_probes: int = 0
    """Replicas whose end under it is being looked into."""
    _identity: bytes = b""

    @property
    def exchange_id(self) -> int:
        """The node's own number for it."""
        return self.event.exchange_id

    @property
    def tenant_name(self) -> str:
        """The name of the tenant that calls; empty: replicas are told nobody."""
        return "" if self.tenant is None else self.tenant.name

    @property
    def tenant_fields(self) -> tuple[tuple[str, str], ...]:
        """What log lines tell of who calls."""
        return () if self.tenant is None else (("tenant", self.tenant.name),)

    @property
    def identity(self) -> bytes:
        """What its repeats have in common; worked out when it is first asked for."""
        if not self._identity:
            self._identity = compute_identity(self.event.request, self.tenant_name)
        return self._identity

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_repeatable

    @property
    def is_sequential(self) -> bool:
        """Whether one replica is asked at a time: it may end those that run it."""
        may_crash_replicas = (
            self.is_suspect or self.unexplained_disconnects >= SEQUENTIAL_AFTER_DISCONNECTS
        )
        return may_crash_replicas and not self.is_cleared

    def has_recent_attempt(self, now: float) -> bool:
        """Whether an attempt is open that was sent within the time that an answer should take.

        So is one whose replica may have ended, until that is known.
        """
        if self.open_probes:
            return True
        latest = now - self.route.objective_seconds
        attempts = (attempt for call in self.calls for attempt in call.attempts.values())
        return any(attempt.sent_at > latest for attempt in attempts)

    @property
    def answered_calls(self) -> list[ServiceCall]:
        """The calls whose answer is in."""
        return [call for call in self.calls if call.answer is not None]

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have run the request."""
        return any(call.may_have_run for call in self.calls)
