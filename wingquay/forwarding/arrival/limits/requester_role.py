"""Decides whether a node starts a request, queries an owner for a permit first, or refuses it."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ....model.tenants import Tenant
from ....ports.forwarding import ForwardFailureKind, OpaqueRequest
from ....ports.limit_messages import (
    LimitReply,
    LimitRequest,
    LimitVerdict,
)
from ....ports.machine import Action, Count, Schedule
from ....ports.peer_link import NodeIdentity, SendToPeer
from ...timers import LimitRequestDue
from ..admission import Admitted, AwaitsLimit, Rejected
from .limit_settings import LimitSettings
from .owner_channel import REPLY_TIMEOUT_SECONDS
from .owner_channels import OwnerChannels
from .reserve import Reserve
from .tenant_owners import TenantOwners
from .tenant_usage import MIN_RETRY_SECONDS

SECOND_OWNER_DELAY_SECONDS = 0.05
"""Time after which the second owner is queried as well. A request waits for a reply for a fifth of
its objective only, which is 0.08 s for the most urgent ones."""
MAX_UNREACHABLE_RETRY_SECONDS = 1.0
"""Maximum retry time sent to a caller when no owner could decide: a network partition or the
restart of an owner may end soon."""
RETRY_JITTER = 0.1
"""Maximum random addition to retry times, as a share of them; prevents simultaneous retries."""

MAX_LATE_QUERIES = 1_000
"""Maximum number of decided queries for which late replies are still matched."""

OVER_REASON = "the tenant has reached its request limit"
UNREACHABLE_REASON = "no owner of the tenant's limit can currently permit the request"
_ADMITTED = Admitted(OpaqueRequest(b"", b"", ()))


@dataclass(slots=True, eq=False)
class _PermitQuery:
    """A request that waits for a permit from an owner."""

    tenant: Tenant
    exchange_id: int
    created_at: float
    waiting_for: set[str] = field(default_factory=set)
    decided_or_lost: set[str] = field(default_factory=set)
    overdue: set[str] = field(default_factory=set)
    """Owners that have not replied in time."""
    retry_after_seconds: float = 0.0


class RequesterRole:
    """Counts the requests that start at this node, through the owners of their tenants.

    Parameters
    ----------
    settings
        The bound on requests, and the usage at which nodes need a permit first.
    owners
        The owners of each tenant.
    channels
        The reports to the owners, and which owners are reachable.
    reserve
        Requests that may start while no owner is reachable.
    random_source
        Adds jitter to the retry times sent to callers.
    """

    def __init__(
        self,
        settings: LimitSettings,
        owners: TenantOwners,
        channels: OwnerChannels,
        reserve: Reserve,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._channels = channels
        self._reserve = reserve
        self._random = random_source
        self._queries: dict[int, _PermitQuery] = {}
        self._query_id_by_exchange: dict[int, int] = {}
        """Ids of pending queries by exchange id."""
        self._late: dict[int, _PermitQuery] = {}
        """Decided queries for which some owners have not replied yet."""
        self._last_query_id = 0
        self._outbox: list[Action] = []
        self.on_decision: Callable[[int, Admitted | Rejected, float], list[Action]] = (
            lambda _exchange_id, _answer, _now: []
        )
        """Continues a request once its limit was decided; replaced once a configuration contains
        limits."""

    def take_actions(self) -> list[Action]:
        """Return and clear the queued actions."""
        taken, self._outbox = self._outbox, []
        return taken

    # Arrivals

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request, or return why it may not start now."""
        if tenant.requests_per_second <= 0:
            return _ADMITTED
        pair = self._owners.get(tenant.name)
        if pair and self._may_start_before_permit(pair[0], tenant.name, now):
            self._outbox += self._channels.report_requests(pair, tenant.name, 1, now, True)
            return self._admitted("at_once")
        self._last_query_id += 1
        query_id = self._last_query_id
        query = _PermitQuery(tenant, exchange_id, now)
        decision = self._query_next(query_id, query, now)
        if decision is not None:
            return decision
        self._queries[query_id] = query
        self._query_id_by_exchange[exchange_id] = query_id
        for seconds in (SECOND_OWNER_DELAY_SECONDS, REPLY_TIMEOUT_SECONDS):
            self._outbox.append(Schedule(now + seconds, LimitRequestDue(query_id)))
        return AwaitsLimit()

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Undo the count of a request that has run on no replica and will not.

        A request that still waits is not counted yet; a permit that arrives for it later is given
        back then.
        """
        query_id = self._query_id_by_exchange.get(exchange_id)
        if query_id is not None:
            self._finish(query_id)
        elif tenant.requests_per_second > 0:
            self._report_requests(self._owners.get(tenant.name), tenant.name, -1, now)
            self._count("given_back")

    def _may_start_before_permit(self, primary: NodeIdentity, name: str, now: float) -> bool:
        if self._settings.ask_first_ratio <= 0 or self._channels.is_own(primary):
            return False
        return self._channels.get(primary).may_start_before_permit(name, now)

    # Permit queries

    def _query_next(
        self, query_id: int, query: _PermitQuery, now: float
    ) -> Admitted | Rejected | None:
        """Query the next owner; return the decision, or ``None`` while a reply is pending."""
        for owner in self._owners.get(query.tenant.name):
            node_id = owner.node_id
            if node_id in query.decided_or_lost or node_id in query.waiting_for:
                continue
            if self._channels.is_own(owner):
                decision = self._query_own(query, now)
                if decision is not None:
                    return decision
                continue
            if self._channels.get(owner).is_unreachable:
                continue
            query.waiting_for.add(node_id)
            self._outbox.append(SendToPeer(owner, LimitRequest(query_id, query.tenant.name)))
            self._count("asked")
            return None
        is_opening = self._channels.own is None and now < query.created_at + REPLY_TIMEOUT_SECONDS
        return None if query.waiting_for or is_opening else self._decide_by_reserve(query, now)

    def _query_own(self, query: _PermitQuery, now: float) -> Admitted | Rejected | None:
        """Decide at this node, which is an owner."""
        own, role = self._channels.own, self._channels.role
        if own is None or role is None:
            return None
        permit, actions = role.permit(query.tenant.name, now)
        self._outbox += actions
        query.decided_or_lost.add(own.node_id)
        return self._evaluate(query, own.node_id, permit.verdict, permit.retry_after_seconds, now)

    def _evaluate(
        self,
        query: _PermitQuery,
        node_id: str,
        verdict: LimitVerdict,
        retry_seconds: float,
        now: float,
    ) -> Admitted | Rejected | None:
        """Return the decision for an owner's verdict; ``None`` if another owner may decide."""
        if verdict is LimitVerdict.GRANTED:
            others = [
                item for item in self._owners.get(query.tenant.name) if item.node_id != node_id
            ]
            self._report_requests(others, query.tenant.name, 1, now)
            return self._admitted("permitted")
        if verdict is LimitVerdict.EXCEEDED:
            self._count("over")
            seconds = self._spread(max(retry_seconds, 0.0))
            return Rejected(ForwardFailureKind.OVER_LIMIT, OVER_REASON, seconds)
        query.retry_after_seconds = max(query.retry_after_seconds, retry_seconds)
        return None

    def on_reply(self, sender: NodeIdentity, message: LimitReply, now: float) -> list[Action]:
        """Handle an owner's reply; a permit that comes too late is given back."""
        channel = self._channels.get(sender)
        channel.requires_permit = message.requires_permit
        query = self._queries.get(message.ask_id)
        asked = query or self._late.get(message.ask_id)
        actions = channel.on_reply(float("-inf") if asked is None else asked.created_at, now)
        if query is None:
            return actions + self._handle_late_reply(sender, message, now)
        channel.set_hot(query.tenant.name, message.hot_seconds, now)
        query.waiting_for.discard(sender.node_id)
        query.overdue.discard(sender.node_id)
        query.decided_or_lost.add(sender.node_id)
        decision = self._evaluate(
            query, sender.node_id, message.verdict, message.retry_after_seconds, now
        )
        return actions + self._advance(message.ask_id, query, decision, now)

    def on_query_due(self, event: LimitRequestDue, now: float) -> list[Action]:
        """Query the next owner if one has not replied; after the timeout stop waiting for it."""
        query = self._queries.get(event.ask_id) or self._late.get(event.ask_id)
        if query is None:
            return []
        actions: list[Action] = []
        has_timed_out = now >= query.created_at + REPLY_TIMEOUT_SECONDS
        for node_id in sorted(query.waiting_for) if has_timed_out else ():
            actions += self._channels.mark_unreachable(node_id, now)
        if event.ask_id not in self._queries:
            return actions
        if has_timed_out:
            query.overdue |= query.waiting_for
            query.decided_or_lost |= query.waiting_for
            query.waiting_for.clear()
        return actions + self._advance(event.ask_id, query, None, now)

    def _advance(
        self, query_id: int, query: _PermitQuery, decision: Admitted | Rejected | None, now: float
    ) -> list[Action]:
        if query_id not in self._queries:
            return []
        if decision is None:
            decision = self._query_next(query_id, query, now)
        if decision is None:
            return []
        self._finish(query_id)
        return [*self.on_decision(query.exchange_id, decision, now), *self.take_actions()]

    def on_link_opened(self, now: float) -> list[Action]:
        """Query owners for the requests that waited for the link to other nodes."""
        actions: list[Action] = []
        for query_id, query in list(self._queries.items()):
            actions += self._advance(query_id, query, None, now)
        return [*actions, *self.take_actions()]

    def _finish(self, query_id: int) -> None:
        """Remove a query; keep it for late replies if some are still expected."""
        query = self._queries.pop(query_id)
        del self._query_id_by_exchange[query.exchange_id]
        query.waiting_for |= query.overdue
        if query.waiting_for:
            self._late[query_id] = query
            if len(self._late) > MAX_LATE_QUERIES:
                del self._late[next(iter(self._late))]

    def _handle_late_reply(
        self, sender: NodeIdentity, message: LimitReply, now: float
    ) -> list[Action]:
        """Give back a permit for a request that no longer waits for it."""
        query = self._late.get(message.ask_id)
        if query is None or sender.node_id not in query.waiting_for:
            return []
        query.waiting_for.discard(sender.node_id)
        if not query.waiting_for:
            del self._late[message.ask_id]
        if message.verdict is not LimitVerdict.GRANTED:
            return []
        return self._channels.get(sender).report_requests(query.tenant.name, -1, now)

    def on_owner_unreachable(self, node_id: str, now: float) -> list[Action]:
        """Query other owners where a reply of an unreachable owner was pending."""
        waiting = [
            (key, query) for key, query in self._queries.items() if node_id in query.waiting_for
        ]
        actions: list[Action] = []
        for query_id, query in waiting:
            query.waiting_for.discard(node_id)
            query.decided_or_lost.add(node_id)
            actions += self._advance(query_id, query, None, now)
        return actions

    def _decide_by_reserve(self, query: _PermitQuery, now: float) -> Admitted | Rejected:
        own = self._channels.own
        if own is not None and self._reserve.take(query.tenant, own.node_id, now):
            self._report_requests(self._owners.get(query.tenant.name), query.tenant.name, 1, now)
            return self._admitted("reserve")
        seconds = max(query.retry_after_seconds, MIN_RETRY_SECONDS)
        seconds = min(seconds, MAX_UNREACHABLE_RETRY_SECONDS)
        self._count("unreached")
        return Rejected(ForwardFailureKind.NOT_RUN, UNREACHABLE_REASON, self._spread(seconds))

    def _report_requests(
        self, owners: Iterable[NodeIdentity], name: str, requests: int, now: float
    ) -> None:
        self._outbox += self._channels.report_requests(owners, name, requests, now)

    def _spread(self, seconds: float) -> float:
        return seconds * (1.0 + RETRY_JITTER * self._random.random())

    def _admitted(self, decision: str) -> Admitted:
        self._count(decision)
        return _ADMITTED

    def _count(self, decision: str) -> None:
        self._outbox.append(Count("limit_requests_total", labels=(("way", decision),)))
