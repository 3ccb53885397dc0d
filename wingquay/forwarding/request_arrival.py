"""Decides in several steps whether an arriving request is opened or rejected."""

from ..model.routing_table import Route, RoutingTable
from ..ports.forwarding import CallerDisconnected, ForwardFailureKind, ForwardRequested
from ..ports.machine import Action, Event, Schedule
from .arrival.admission import Admitted, AwaitsLimit, Rejected
from .arrival.arrival_admission import ArrivalAdmission
from .arrival.authentication import strip_credentials
from .arrival.pending_arrivals import Arrival, PendingArrivals
from .arrival.request_identity import compute_identity
from .arrival.tenant_metrics import TenantMetrics
from .arrival.tenant_priorities import TenantPriorities
from .crashing.guard import CrashGuard
from .crashing.suspects import SuspicionLevel
from .exchange import Exchange
from .exchange_opening import ExchangeOpening
from .knowledge.loop_lag import LoopLag
from .sending.retry_after import MIN_RETRY_AFTER_SECONDS
from .settling.reply_builder import HELD_REASON, ReplyBuilder
from .settling.settlement import Settlement
from .timers import LimitAnswerDue

UNCONFIGURED_RETRY_SECONDS = 0.3
LIMIT_WAIT_RATIO = 0.2
"""Share of the objective for which a request waits for the answer on its tenant's limit; a caller
that is rejected then can still be served in time by another node."""
LATE_REASON = "the request's deadline passed before it was read"
STOPPING_REASON = "this node is stopping; another one can take the request"
UNREPEATABLE_STOP_FACTOR = 2.0
"""Time that a stopping node must have left for a request that may run only once, as a multiple of
the objective. If the stop ends it, its caller does not know whether it has run and cannot retry."""
NO_LIMIT_ANSWER_REASON = "no answer on the tenant's limit arrived in time"


class RequestArrival:
    """Admits arriving requests and opens an exchange for each admitted one.

    Parameters
    ----------
    lag
        Lag of this node's event loop; subtracted from the current time to estimate when a request
        was sent.
    """

    def __init__(
        self,
        settlement: Settlement,
        opening: ExchangeOpening,
        guard: CrashGuard,
        lag: LoopLag,
        replies: ReplyBuilder,
    ) -> None:
        self._opening = opening
        self._guard = guard
        self._lag = lag
        self._replies = replies
        self._priorities = TenantPriorities()
        self._metrics = TenantMetrics()
        self._pending = PendingArrivals()
        self._table: RoutingTable | None = None
        self.admission = ArrivalAdmission()
        """Checks callers and tenant limits."""
        self.has_received_request = False
        """Whether a request has arrived since the start."""
        self.stop_ends_at = float("inf")
        """When this node ends all open requests because it stops."""
        settlement.on_not_run = self._refund

    @property
    def pending_count(self) -> int:
        """Number of requests that wait for the answer on their tenant's limit."""
        return len(self._pending)

    def set_table(self, table: RoutingTable) -> None:
        """Apply a configuration to requests that arrive from now on."""
        self._table = table
        self._metrics.keep_only(set() if table.tenants is None else set(table.tenants.by_name))

    # Arrival

    def on_requested(self, event: ForwardRequested, now: float) -> list[Action]:
        """Handle a request that has arrived."""
        self.has_received_request = True
        table = self._table
        if table is None:
            reason = "no configuration yet"
            stripped_event = strip_credentials(event)
            return self._replies.reject_arrival_not_run(
                stripped_event, reason, UNCONFIGURED_RETRY_SECONDS
            )
        stripped_event = event if table.tenants is None else strip_credentials(event)
        route = table.find(event.host, event.path)
        if route is None:
            return self._replies.reject_no_route(stripped_event, table.version)
        if self._is_too_late(event, now):
            return self._replies.reject_arrival_not_run(
                stripped_event, LATE_REASON, MIN_RETRY_AFTER_SECONDS
            )
        if self._may_outlast_stop(event, route, now):
            return self._replies.reject_arrival_not_run(
                stripped_event, STOPPING_REASON, MIN_RETRY_AFTER_SECONDS
            )
        tenant = self.admission.identify_caller(event.key, table, route, now)
        if isinstance(tenant, Rejected):
            return self._reject(stripped_event, tenant, "")
        if tenant is not None:
            route = self._priorities.apply(route, tenant, table)
        return self._admit(
            Arrival(stripped_event, table, route, tenant, now, now - self._lag.seconds(now)), now
        )

    def _is_too_late(self, event: ForwardRequested, now: float) -> bool:
        """Return whether the request was read only after its deadline."""
        if event.deadline_seconds is None:
            return False
        return self._lag.seconds(now) >= event.deadline_seconds

    def _may_outlast_stop(self, event: ForwardRequested, route: Route, now: float) -> bool:
        """Return whether the request may still be open when this node stops."""
        seconds = route.objective_seconds
        if not route.is_repeatable:
            seconds *= UNREPEATABLE_STOP_FACTOR
        seconds = min(seconds, route.timeout_seconds)
        if event.deadline_seconds is not None:
            seconds = min(seconds, event.deadline_seconds)
        return now + seconds > self.stop_ends_at

    def _reject(self, event: ForwardRequested, rejected: Rejected, tenant: str) -> list[Action]:
        outcome = rejected.kind.value
        if rejected.kind is ForwardFailureKind.NOT_RUN:
            outcome = "refused" if tenant else "unproven"
        return [
            *self._replies.reject_arrival(event, rejected, tenant),
            self._metrics.count(tenant, outcome),
        ]

    def _admit(self, arrival: Arrival, now: float) -> list[Action]:
        """Count a request against its tenant's limit, as the last check, and open it."""
        suspicion_level = self._suspicion_level(arrival, now)
        if suspicion_level is SuspicionLevel.HELD:
            return self._reject_held(arrival, now)
        tenant = arrival.tenant
        if tenant is None:
            return self._open(arrival, suspicion_level, now)
        match self.admission.admit(tenant, arrival.event.exchange_id, now):
            case AwaitsLimit():
                return self._await_limit(arrival, now)
            case Rejected() as rejected:
                return self._reject(arrival.event, rejected, tenant.name)
            case Admitted():
                allowed = self._metrics.count(tenant.name, "allowed")
                return [allowed, *self._open(arrival, suspicion_level, now)]

    def _open(self, arrival: Arrival, suspicion_level: SuspicionLevel, now: float) -> list[Action]:
        return self._opening.open(arrival, suspicion_level is SuspicionLevel.SUSPECT, now)

    def _suspicion_level(self, arrival: Arrival, now: float) -> SuspicionLevel:
        return self._guard.suspicion_level(arrival.event.request, now, _tenant_name(arrival))

    def _reject_held(self, arrival: Arrival, now: float) -> list[Action]:
        """Reject a held request; the reply states the remaining hold period."""
        event = arrival.event
        name = _tenant_name(arrival)
        identity = compute_identity(event.request, name)
        held_seconds = self._guard.held_seconds(identity, now)
        actions = self._replies.reject_arrival_not_run(event, HELD_REASON, held_seconds, name)
        if arrival.tenant is not None:
            actions.append(self._metrics.count(name, "held"))
        return [*actions, *self._guard.on_held_request_repeated(identity, event, now)]

    # Waiting for the answer on a tenant's limit

    def _await_limit(self, arrival: Arrival, now: float) -> list[Action]:
        """Let a request wait for the answer on its tenant's limit.

        The wait is short, so that a caller that is rejected can still retry in time.
        """
        if not self._pending.add(arrival):
            return self._reject_unanswered(arrival, "too many requests wait for limits", now)
        wait_seconds = arrival.route.objective_seconds * LIMIT_WAIT_RATIO
        due_at = min(now + wait_seconds, self._opening.compute_ends_at(arrival))
        return [Schedule(due_at, LimitAnswerDue(arrival.event.exchange_id))]

    def on_limit_answered(
        self, exchange_id: int, answer: Admitted | Rejected, now: float
    ) -> list[Action]:
        """Continue a request that was waiting for the answer on its tenant's limit."""
        arrival = self._pending.remove(exchange_id)
        if arrival is None or arrival.tenant is None:
            return []
        if isinstance(answer, Rejected):
            return self._reject(arrival.event, answer, arrival.tenant.name)
        suspicion_level = self._suspicion_level(arrival, now)
        if suspicion_level is SuspicionLevel.HELD:
            self.admission.give_back(arrival.tenant, exchange_id, now)
            return self._reject_held(arrival, now)
        opened = self._open(arrival, suspicion_level, now)
        return [self._metrics.count(arrival.tenant.name, "allowed"), *opened]

    def end_pending(self, reason: str, now: float) -> list[Action]:
        """Reject all requests that wait for the answer on their tenant's limit."""
        actions: list[Action] = []
        for arrival in self._pending.remove_all():
            actions += self._reject_unanswered(arrival, reason, now)
        return actions

    def on_pending_event(self, event: Event, now: float) -> list[Action]:
        """Handle an event of a request that has no open exchange but may wait for a limit."""
        match event:
            case LimitAnswerDue(exchange_id):
                arrival = self._pending.remove(exchange_id)
                if arrival is not None:
                    return self._reject_unanswered(arrival, NO_LIMIT_ANSWER_REASON, now)
            case CallerDisconnected(exchange_id):
                arrival = self._pending.remove(exchange_id)
                if arrival is not None:
                    return self._abandon(arrival, now)
        return []

    def _reject_unanswered(self, arrival: Arrival, reason: str, now: float) -> list[Action]:
        self._refund_arrival(arrival, now)
        rejected = Rejected(ForwardFailureKind.NOT_RUN, reason, MIN_RETRY_AFTER_SECONDS)
        return self._reject(arrival.event, rejected, _tenant_name(arrival))

    def _abandon(self, arrival: Arrival, now: float) -> list[Action]:
        self._refund_arrival(arrival, now)
        name = _tenant_name(arrival)
        actions = self._replies.record_caller_left_arrival(arrival.event, name)
        return [*actions, self._metrics.count(name, "caller_left")]

    def _refund_arrival(self, arrival: Arrival, now: float) -> None:
        if arrival.tenant is not None:
            self.admission.give_back(arrival.tenant, arrival.event.exchange_id, now)

    def _refund(self, exchange: Exchange, now: float) -> list[Action]:
        """Refund a request that ended without having run to its tenant's limit."""
        if exchange.tenant is None:
            return []
        self.admission.give_back(exchange.tenant, exchange.exchange_id, now)
        return [self._metrics.count(exchange.tenant.name, "given_back")]


def _tenant_name(arrival: Arrival) -> str:
    return "" if arrival.tenant is None else arrival.tenant.name
