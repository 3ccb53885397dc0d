"""An exchange: one open request with its calls to services and their attempts at replicas."""

from dataclasses import dataclass, field
from typing import Protocol

from ..model.routing_table import Route, RoutingTable
from ..model.tenants import Tenant
from ..ports.forwarding import ForwardRequested, ReplicaAnswer
from ..ports.machine import Action
from .arrival.request_identity import compute_identity
from .choice.replica_state import ReplicaState

SEQUENTIAL_AFTER_DISCONNECTS = 2
"""Number of unexplained disconnects after which a request is sent to one replica at a time. A
request that crashes replicas then leaves the second replica of most of its shards."""


class Origin(Protocol):
    """The node that has delegated an exchange and receives its answers in place of a caller."""

    @property
    def name(self) -> str:
        """Id of the delegating node, for the log."""
        ...

    @property
    def may_retry(self) -> bool:
        """Whether this node may make further attempts after failures."""
        ...

    def report(self, exchange: "Exchange") -> list[Action]:
        """Return the message with the answers that were not reported yet, if there are any."""
        ...

    def return_calls(self, exchange: "Exchange") -> list[Action]:
        """Hand the calls that are not in flight back to the delegating node; return the message."""
        ...

    def report_exhausted(self, calls: "list[ServiceCall]") -> list[Action]:
        """Return the message that calls are exhausted, unless it was sent already."""
        ...

    def report_held(self, held_seconds: float) -> list[Action]:
        """Return the message that the request is held."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one replica."""

    attempt_id: int
    call: "ServiceCall"
    replica: ReplicaState
    sent_at: float
    is_hedge: bool
    outstanding_before: int = 0
    """Attempts of this node that were in flight at the replica when this one was sent."""
    was_suspended: bool = False
    """Whether this node's machine was suspended while the attempt was in flight; a missing answer
    is then no evidence of a fault."""
    is_abandoned: bool = False
    """Whether its answer is no longer needed; it may still run for a short time."""


@dataclass(slots=True, eq=False)
class ServiceCall:
    """The part of a request that one service answers, with its attempts."""

    exchange: "Exchange"
    service: str
    attempts: dict[int, Attempt] = field(default_factory=dict)
    """Attempts in flight, by id."""
    tried_incarnations: set[str] = field(default_factory=set)
    """Incarnations of replicas that received the request and may have run it."""
    refused_incarnations: set[str] = field(default_factory=set)
    """Incarnations that were unreachable or did not run the request; cleared at ``RetryDue``."""
    send_count: int = 0
    """Number of sends that may have arrived at a replica."""
    answer: ReplicaAnswer | None = None
    answered_at: float = 0.0
    failure: ReplicaAnswer | None = None
    """A failure that a replica answered, returned if no attempt succeeds."""
    is_begun: bool = False
    """Whether this node or a delegate has begun the call."""
    is_waiting: bool = False
    """Whether the call waits for a replica with capacity."""
    is_queued: bool = False
    """Whether the queue has an entry for the call; entries of calls that no longer wait are removed
    later."""
    delegated_attempts: int = 0
    """Number of replicas to which a delegate may send the request."""
    is_delegate_lost: bool = False
    """Whether no answer of the delegate is expected any more."""
    is_owned_by_this_node: bool = False
    """Whether this node owns the service in its node group."""
    history: list[str] = field(default_factory=list)
    """Outcomes of the attempts, for the log."""

    @property
    def is_finished(self) -> bool:
        """Whether the call no longer needs its position in the queue."""
        return not self.is_waiting or self.answer is not None or bool(self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, also for a delegate that was lost."""
        return bool(self.tried_incarnations) or self.delegated_attempts > 0 or self.is_delegate_lost

    def record_answer(self, answer: ReplicaAnswer, now: float) -> None:
        """Store the answer of the service; a later answer replaces an earlier one."""
        if self.answer is None:
            self.exchange.answered_shards += 1
        self.answer = answer
        self.answered_at = now

    @property
    def attempts_left(self) -> int:
        """Number of further replicas to which this node may send the request."""
        return (
            self.exchange.route.max_attempts
            - len(self.tried_incarnations)
            - self.delegated_attempts
        )

    @property
    def is_exhausted(self) -> bool:
        """Whether the call can no longer be answered."""
        is_open = bool(self.attempts) or self.is_delegated
        return self.answer is None and self.attempts_left <= 0 and not is_open

    @property
    def is_delegated(self) -> bool:
        """Whether a delegate handles the call and may still report an answer."""
        return self.delegated_attempts > 0 and not self.is_delegate_lost


@dataclass(slots=True, eq=False)
class Exchange:
    """One open request and its state."""

    event: ForwardRequested
    """The arrival of the request, without the caller's key if the configuration has tenants."""
    table: RoutingTable
    route: Route
    """The matched route, with the priority of the tenant if that is set."""
    arrived_at: float
    cutoff_at: float
    """Latest time for sending an answer that meets the objective."""
    ends_at: float
    """Time at which the exchange times out."""
    calls: list[ServiceCall] = field(default_factory=list)
    signatures: set[str] = field(default_factory=set)
    answered_shards: int = 0
    """Number of calls with an answer."""
    failures: int = 0
    """Number of failed attempts and delegates; never lower than the number of exhausted calls."""
    is_retry_scheduled: bool = False
    """Whether a ``RetryDue`` timer is pending."""
    origin: Origin | None = None
    """The delegating node; ``None`` if a caller waits for the answer."""
    tenant: Tenant | None = None
    """The tenant of the caller; ``None`` if there is none."""
    unexplained_disconnects: int = 0
    """Connections that closed without an answer and whose replicas may have crashed."""
    is_suspect: bool = False
    """Whether replicas crashed during an earlier request with the same identity."""
    is_cleared: bool = False
    """Whether a replica has answered the request, so that it is no longer suspect."""
    open_probes: int = 0
    """Replicas that are being probed for a crash during this exchange."""
    _identity: bytes = b""

    @property
    def exchange_id(self) -> int:
        """Id of the exchange, unique within this node."""
        return self.event.exchange_id

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty if there is none."""
        return "" if self.tenant is None else self.tenant.name

    @property
    def tenant_fields(self) -> tuple[tuple[str, str], ...]:
        """Log fields that identify the tenant."""
        return () if self.tenant is None else (("tenant", self.tenant.name),)

    @property
    def identity(self) -> bytes:
        """Digest that repeats of the same request share; computed on first access."""
        if not self._identity:
            self._identity = compute_identity(self.event.request, self.tenant_name)
        return self._identity

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_repeatable

    @property
    def is_sequential(self) -> bool:
        """Whether the request is sent to one replica at a time because it may crash replicas."""
        may_crash_replicas = (
            self.is_suspect or self.unexplained_disconnects >= SEQUENTIAL_AFTER_DISCONNECTS
        )
        return may_crash_replicas and not self.is_cleared

    def has_recent_attempt(self, now: float) -> bool:
        """Return whether an attempt is in flight that was sent within the route's objective.

        An attempt also counts while its replica is being probed for a crash.
        """
        if self.open_probes:
            return True
        latest = now - self.route.objective_seconds
        attempts = (attempt for call in self.calls for attempt in call.attempts.values())
        return any(attempt.sent_at > latest for attempt in attempts)

    @property
    def answered_calls(self) -> list[ServiceCall]:
        """The calls that have an answer."""
        return [call for call in self.calls if call.answer is not None]

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have run the request."""
        return any(call.may_have_run for call in self.calls)
