"""What is decided about a request that arrives, in order, until it is opened or rejected."""

from ..model.routing_table import RoutingTable
from ..ports.forwarding import CallerLeft, ForwardFailureKind, ForwardRequested
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
from .settling.ending import HELD_REASON, ExchangeEnding
from .settling.settlement import Settlement
from .timers import LimitAnswerDue

UNCONFIGURED_RETRY_SECONDS = 0.3
LIMIT_WORD_RATIO = 0.2
"""Share of the objective for which a request waits for word on its tenant's limit: a caller that is
refused by then can still be served in time by another node."""
LATE_REASON = "its time was over before it could be read"
NO_WORD_REASON = "no word on the limit of its tenant came in time"


class RequestArrival:
    """Takes in requests and opens those that may run.

    Parameters
    ----------
    lag
        How late this node is: so much longer its callers have waited already.
    """

    def __init__(
        self,
        settlement: Settlement,
        opening: ExchangeOpening,
        guard: CrashGuard,
        lag: LoopLag,
        ending: ExchangeEnding,
    ) -> None:
        self._opening = opening
        self._guard = guard
        self._lag = lag
        self._ending = ending
        self._ranks = TenantPriorities()
        self._counts = TenantMetrics()
        self._kept = PendingArrivals()
        self._table: RoutingTable | None = None
        self.admission = ArrivalAdmission()
        """Asks whether requests may be begun."""
        self.is_asked = False
        """Whether a request has arrived."""
        settlement.on_not_run = self._give_back

    @property
    def kept(self) -> int:
        """The number of requests that wait for word on their tenant's limit."""
        return len(self._kept)

    def set_table(self, table: RoutingTable) -> None:
        """Use a configuration for requests that arrive from now on."""
        self._table = table
        self._counts.keep_only(set() if table.tenants is None else set(table.tenants.by_name))

    # Arrival

    def requested(self, event: ForwardRequested, now: float) -> list[Action]:
        """Decide about a request that has arrived."""
        self.is_asked = True
        table = self._table
        if table is None:
            reason = "no configuration yet"
            bare = strip_credentials(event)
            return self._ending.reject_arrival_not_run(bare, reason, UNCONFIGURED_RETRY_SECONDS)
        bare = event if table.tenants is None else strip_credentials(event)
        route = table.find(event.host, event.path)
        if route is None:
            return self._ending.no_route(bare, table.version)
        if self._is_too_late(event):
            return self._ending.reject_arrival_not_run(bare, LATE_REASON, MIN_RETRY_AFTER_SECONDS)
        tenant = self.admission.identify_caller(event.key, table, route, now)
        if isinstance(tenant, Rejected):
            return self._reject(bare, tenant, "")
        if tenant is not None:
            route = self._ranks.apply(route, tenant, table)
        return self._count(Arrival(bare, table, route, tenant, now, now - self._lag.seconds), now)

    def _is_too_late(self, event: ForwardRequested) -> bool:
        """Whether nobody waits any more for a request that was read late."""
        return event.deadline_seconds is not None and self._lag.seconds >= event.deadline_seconds

    def _reject(self, event: ForwardRequested, rejected: Rejected, tenant: str) -> list[Action]:
        outcome = rejected.kind.value
        if rejected.kind is ForwardFailureKind.NOT_RUN:
            outcome = "refused" if tenant else "unproven"
        return [
            *self._ending.reject_arrival(event, rejected, tenant),
            self._counts.count(tenant, outcome),
        ]

    def _count(self, arrival: Arrival, now: float) -> list[Action]:
        """Count a request that nothing else keeps from running, and open it."""
        verdict = self._verdict(arrival, now)
        if verdict is SuspicionLevel.HELD:
            return self._refuse_held(arrival, now)
        tenant = arrival.tenant
        if tenant is None:
            return self._open(arrival, verdict, now)
        match self.admission.admit(tenant, arrival.event.exchange_id, now):
            case AwaitsLimit():
                return self._keep(arrival, now)
            case Rejected() as rejected:
                return self._reject(arrival.event, rejected, tenant.name)
            case Admitted():
                allowed = self._counts.count(tenant.name, "allowed")
                return [allowed, *self._open(arrival, verdict, now)]

    def _open(self, arrival: Arrival, verdict: SuspicionLevel, now: float) -> list[Action]:
        return self._opening.open(arrival, verdict is SuspicionLevel.SUSPECT, now)

    def _verdict(self, arrival: Arrival, now: float) -> SuspicionLevel:
        return self._guard.suspicion_level(arrival.event.request, now, _name(arrival))

    def _refuse_held(self, arrival: Arrival, now: float) -> list[Action]:
        """Refuse a request under which replicas have ended, and say when it may come back."""
        event = arrival.event
        name = _name(arrival)
        identity = compute_identity(event.request, name)
        held_seconds = self._guard.held_seconds(identity, now)
        refused = self._ending.reject_arrival_not_run(event, HELD_REASON, held_seconds, name)
        if arrival.tenant is not None:
            refused.append(self._counts.count(name, "held"))
        return [*refused, *self._guard.refused(identity, event, now)]

    # Waiting for word on a tenant's limit

    def _keep(self, arrival: Arrival, now: float) -> list[Action]:
        """Keep a request until word on its tenant's limit comes; not for long.

        Its caller is told that it has not run while another try is still worth it.
        """
        if not self._kept.add(arrival):
            return self._refuse_unanswered(arrival, "too many requests wait for limits", now)
        offer_seconds = arrival.route.objective_seconds * LIMIT_WORD_RATIO
        due_at = min(now + offer_seconds, self._opening.ends_at(arrival))
        return [Schedule(due_at, LimitAnswerDue(arrival.event.exchange_id))]

    def limit_answered(
        self, exchange_id: int, answer: Admitted | Rejected, now: float
    ) -> list[Action]:
        """Go on with a request that waited for word on its tenant's limit."""
        arrival = self._kept.remove(exchange_id)
        if arrival is None or arrival.tenant is None:
            return []
        if isinstance(answer, Rejected):
            return self._reject(arrival.event, answer, arrival.tenant.name)
        verdict = self._verdict(arrival, now)
        if verdict is SuspicionLevel.HELD:
            self.admission.give_back(arrival.tenant, exchange_id, now)
            return self._refuse_held(arrival, now)
        opened = self._open(arrival, verdict, now)
        return [self._counts.count(arrival.tenant.name, "allowed"), *opened]

    def kept_event(self, event: Event, now: float) -> list[Action]:
        """Take in an event of a request that is not open: it may wait for a limit."""
        match event:
            case LimitAnswerDue(exchange_id):
                arrival = self._kept.remove(exchange_id)
                if arrival is not None:
                    return self._refuse_unanswered(arrival, NO_WORD_REASON, now)
            case CallerLeft(exchange_id):
                arrival = self._kept.remove(exchange_id)
                if arrival is not None:
                    return self._left(arrival, now)
        return []

    def _refuse_unanswered(self, arrival: Arrival, reason: str, now: float) -> list[Action]:
        self._give_back_arrival(arrival, now)
        rejected = Rejected(ForwardFailureKind.NOT_RUN, reason, MIN_RETRY_AFTER_SECONDS)
        return self._reject(arrival.event, rejected, _name(arrival))

    def _left(self, arrival: Arrival, now: float) -> list[Action]:
        self._give_back_arrival(arrival, now)
        name = _name(arrival)
        left = self._ending.left_arrival(arrival.event, name)
        return [*left, self._counts.count(name, "caller_left")]

    def _give_back_arrival(self, arrival: Arrival, now: float) -> None:
        if arrival.tenant is not None:
            self.admission.give_back(arrival.tenant, arrival.event.exchange_id, now)

    def _give_back(self, exchange: Exchange, now: float) -> list[Action]:
        """Take in that a counted request has ended without having run."""
        if exchange.tenant is None:
            return []
        self.admission.give_back(exchange.tenant, exchange.exchange_id, now)
        return [self._counts.count(exchange.tenant.name, "given_back")]


def _name(arrival: Arrival) -> str:
    return "" if arrival.tenant is None else arrival.tenant.name
