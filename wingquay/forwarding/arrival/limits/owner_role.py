"""What a node does for the tenants that it owns: counts, permits, and says who asks first."""

from collections.abc import Callable, Mapping

from ....model.tenants import Tenant
from ....ports.limit_messages import (
    LimitAcknowledgement,
    LimitAnswer,
    LimitAsk,
    LimitOwnersReply,
    LimitOwnersRequest,
    LimitTell,
    LimitVerdict,
)
from ....ports.machine import Action, Count, Log, LogLevel
from ....ports.peer_link import NodeIdentity, SendToPeer
from .budget import Budget, compute_budget
from .limit_settings import HOT_RATIO, LimitSettings
from .owner_sync import OwnerSync
from .tenant_owners import TenantOwners
from .tenant_usage import OwnerStatus, Permit, TenantUsage

HOT_WINDOWS = 2.0
"""Windows for which a tenant stays hot after it was last near its limit: one for the requests that
still count, and one so that a tenant around the threshold is not told about again and again."""
MAX_WAITING = 1_000
"""Questions that wait for a loan; with a few milliseconds for one, far more than arrive."""


class OwnerRole:
    """Counts and permits the requests of tenants that this node owns by its own view.

    Parameters
    ----------
    settings
        The window, and from which part of the allowance on nodes ask first.
    own
        This node.
    owners
        Who owns which tenant.
    reachable
        Returns the other nodes that can be told.
    """

    def __init__(
        self,
        settings: LimitSettings,
        own: NodeIdentity,
        owners: TenantOwners,
        reachable: Callable[[float], list[NodeIdentity]],
    ) -> None:
        self._settings = settings
        self._own = own
        self._owners = owners
        self._reachable = reachable
        self._tenants: Mapping[str, Tenant] = {}
        self._usages: dict[str, TenantUsage] = {}
        self.sync = OwnerSync(settings, own, owners, self._get_usage, self._get_budget)
        """Borrows and learns from the other owners."""
        self._hot: set[str] = set()
        self._waiting: list[tuple[NodeIdentity, LimitAsk]] = []
        self._notified_asks_first = False
        """Whether nodes were told to ask before every request."""

    @property
    def tenants(self) -> int:
        """The number of tenants of which something is known."""
        return len(self._usages)

    @property
    def is_owner(self) -> bool:
        """Whether this node owns tenants by its own view."""
        return self._own in self._owners.identities

    def set_tenants(self, tenants: Mapping[str, Tenant], now: float) -> list[Action]:
        """Take in the limits in force; what ran so far goes on counting."""
        self._tenants = {
            name: tenant for name, tenant in tenants.items() if tenant.requests_per_second > 0
        }
        for name in [name for name in self._usages if name not in self._tenants]:
            del self._usages[name]
            self._hot.discard(name)
        actions: list[Action] = []
        for name, usage in self._usages.items():
            actions += self._mark_hot(name, usage, now)
        return actions

    def count(self, name: str, requests: int, charged: int, now: float) -> list[Action]:
        """Take in requests that a node has begun, or takes back."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return []
        usage = self._get_usage(name)
        usage.add(requests, now)
        if charged > 0:
            usage.permitted_as_second.add(charged, now)
        return self._mark_hot(name, usage, now)

    def reported(self, sender: NodeIdentity, message: LimitTell, now: float) -> list[Action]:
        """Take in what a node has begun, and acknowledge it."""
        self.sync.refresh_listing(now)
        actions: list[Action] = []
        for name, requests, charged in zip(
            message.tenants, message.counts, message.charged, strict=True
        ):
            actions += self.count(name, requests, charged, now)
        hot = tuple(name for name in message.tenants if self._hot_seconds(name, now) > 0)
        seconds = tuple(self._hot_seconds(name, now) for name in hot)
        asks_first = self.asks_first(now)
        answer = LimitAcknowledgement(message.sequence, asks_first, hot, seconds)
        return [*actions, SendToPeer(sender, answer)]

    def permit_requested(self, sender: NodeIdentity, message: LimitAsk, now: float) -> list[Action]:
        """Answer whether a request may begin; a question waits for a loan that is on its way."""
        permit, actions = self.permit(message.tenant, now)
        usage = self._usages.get(message.tenant)
        is_short = permit.verdict is LimitVerdict.ELSEWHERE and len(self._waiting) < MAX_WAITING
        if is_short and usage is not None and usage.awaits_loan(now):
            self._waiting.append((sender, message))
            return actions
        answer = LimitAnswer(
            message.ask_id,
            permit.verdict,
            permit.retry_after_seconds,
            self.asks_first(now),
            self._hot_seconds(message.tenant, now),
        )
        return [SendToPeer(sender, answer), *actions]

    def permit(self, name: str, now: float) -> tuple[Permit, list[Action]]:
        """Count one more request of a tenant if it may run."""
        tenant = self._tenants.get(name)
        status = self._status(name, now)
        if tenant is None or status is None:
            return Permit(LimitVerdict.NOT_MINE), []
        usage = self._get_usage(name)
        permit = usage.permit(self._budget(tenant), status, now)
        if permit.verdict is LimitVerdict.GRANTED:
            return permit, self._mark_hot(name, usage, now)
        labels = (("verdict", permit.verdict.name.lower()),)
        refused = Count("limit_not_permitted_total", labels=labels)
        return permit, [refused, *self._borrow(name, usage, now)]

    def asks_first(self, now: float) -> bool:
        """Whether nodes ask before every request.

        Always where they are set to; else as long as this owner may have to permit less than what
        lets a tenant count as calm.
        """
        if self._settings.ask_first_ratio <= 0:
            return True
        return not self.sync.is_settled(now) or not self.sync.is_listed(now)

    def owners_changed(self, now: float) -> list[Action]:
        """Ask the other owners what they know: this node may own other tenants from now on.

        Until a window is over, nodes ask first: those that have not seen the change go on telling
        the former owners what they begin.
        """
        if not self.is_owner:
            return []
        return [*self.sync.owners_changed(now), *self._notify_all(now)]

    def _notify_all(self, now: float) -> list[Action]:
        """Tell all nodes whether they ask first."""
        self._notified_asks_first = self.asks_first(now)
        notification = LimitAcknowledgement(0, self._notified_asks_first)
        return [SendToPeer(node, notification) for node in self._reachable(now)]

    def owners_message(
        self, sender: NodeIdentity, message: LimitOwnersRequest | LimitOwnersReply, now: float
    ) -> list[Action]:
        """Take in what another owner wants or tells."""
        self.sync.refresh_listing(now)
        if isinstance(message, LimitOwnersRequest):
            return self.sync.requested(sender, message, self._tenants, now)
        self.sync.replied(sender, message, now)
        return self._retry_waiting(now)

    def _retry_waiting(self, now: float) -> list[Action]:
        """Answer the questions that waited for a loan."""
        waiting, self._waiting = self._waiting, []
        actions: list[Action] = []
        for sender, message in waiting:
            actions += self.permit_requested(sender, message, now)
        return actions

    def due(self, now: float) -> list[Action]:
        """Borrow again what is needed, and see which tenants are calm again."""
        self.sync.refresh_listing(now)
        actions = self._retry_waiting(now)
        if self._notified_asks_first != self.asks_first(now):
            actions += self._notify_all(now)
        actions += self._mark_calm(now)
        for name in [name for name, usage in self._usages.items() if not usage.counted.total(now)]:
            if name not in self._hot and now >= self._usages[name].idle_from:
                del self._usages[name]
        return actions + self.sync.due(self._borrowing(now), now)

    # Hot tenants

    def _mark_hot(self, name: str, usage: TenantUsage, now: float) -> list[Action]:
        """Tell all nodes to ask first, and borrow, once a tenant is near its limit."""
        if not self._is_near_limit(name, now):
            return []
        usage.hot_until = now + HOT_WINDOWS * self._settings.window_seconds
        actions = self._borrow(name, usage, now)
        if name in self._hot:
            return actions
        self._hot.add(name)
        if not self._is_primary(name):
            return actions
        actions.append(Count("limit_hot_total"))
        if self._settings.ask_first_ratio > 0:
            seconds = HOT_WINDOWS * self._settings.window_seconds
            notification = LimitAcknowledgement(0, self.asks_first(now), (name,), (seconds,))
            actions += [SendToPeer(node, notification) for node in self._reachable(now)]
        allowed = round(self._budget(self._tenants[name]).allowance, 1)
        fields = (("tenant", name), ("counted", usage.counted.total(now)), ("allowed", allowed))
        return [*actions, Log("limit_hot", LogLevel.INFO, fields)]

    def _borrow(self, name: str, usage: TenantUsage, now: float) -> list[Action]:
        """Borrow the second owner's part just before it is needed."""
        loan = self._required_loan(name, now)
        if not usage.should_borrow(loan, now):
            return []
        usage.loan_requested_at = now
        usage.loan_requested = loan
        return self.sync.borrow({name: loan}, now)

    def _required_loan(self, name: str, now: float) -> int:
        """Return how much more than its own part this owner, if the primary, needs."""
        if not self._is_primary(name):
            return 0
        counted = self._usages[name].counted.total(now)
        return self._budget(self._tenants[name]).required_loan(counted)

    def _mark_calm(self, now: float) -> list[Action]:
        """See which tenants are calm again."""
        actions: list[Action] = []
        for name in sorted(self._hot):
            usage = self._usages[name]
            if now < usage.hot_until or self._is_near_limit(name, now):
                continue
            self._hot.discard(name)
            if self._is_primary(name):
                fields = (("tenant", name), ("counted", usage.counted.total(now)))
                actions.append(Log("limit_calm", LogLevel.INFO, fields))
        return actions

    def _is_near_limit(self, name: str, now: float) -> bool:
        """Whether a tenant has had the part of its allowance from which on more is needed."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return False
        ratio = self._settings.ask_first_ratio or HOT_RATIO
        threshold = self._budget(tenant).allowance * min(ratio, HOT_RATIO)
        return self._usages[name].counted.total(now) >= threshold

    def _is_primary(self, name: str) -> bool:
        return self._owners.position(name, self._own.node_id) == 0

    def _hot_seconds(self, name: str, now: float) -> float:
        usage = self._usages.get(name)
        return 0.0 if usage is None else max(usage.hot_until - now, 0.0)

    def _borrowing(self, now: float) -> dict[str, int]:
        """Return the tenants whose loans are needed further, and how much of each."""
        loans = {name: self._required_loan(name, now) for name in sorted(self._hot)}
        return {name: loan for name, loan in loans.items() if loan}

    # Roles

    def _status(self, name: str, now: float) -> OwnerStatus | None:
        self.sync.refresh_listing(now)
        own = self._own.node_id
        position = self._owners.position(name, own)
        if position is None:
            return None
        is_alone = len(self._owners.get(name)) == 1
        return self.sync.status(name, position, is_alone, now)

    def _get_usage(self, name: str) -> TenantUsage:
        usage = self._usages.get(name)
        if usage is None:
            usage = TenantUsage(self._settings.window_seconds)
            self._usages[name] = usage
        return usage

    def _get_budget(self, name: str) -> Budget | None:
        tenant = self._tenants.get(name)
        return None if tenant is None else self._budget(tenant)

    def _budget(self, tenant: Tenant) -> Budget:
        return compute_budget(tenant, self._settings)
