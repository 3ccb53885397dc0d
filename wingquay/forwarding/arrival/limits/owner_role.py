"""What a node does as the limit owner of tenants: count, permit, and mark tenants as hot."""

from collections.abc import Callable, Mapping

from ....model.tenants import Tenant
from ....ports.limit_messages import (
    LimitAcknowledgement,
    LimitOwnersReply,
    LimitOwnersRequest,
    LimitReply,
    LimitReport,
    LimitRequest,
    LimitVerdict,
)
from ....ports.machine import Action, Count, Log, LogLevel
from ....ports.peer_link import NodeIdentity, SendToPeer
from .budget import Budget, compute_budget
from .limit_settings import HOT_RATIO, LimitSettings
from .owner_sync import OwnerSync
from .tenant_owners import TenantOwners
from .tenant_usage import OwnerStatus, PermitDecision, TenantUsage

HOT_WINDOWS = 2.0
"""Windows for which a tenant stays hot after its usage was last above the hot threshold. One is for
the requests that still count, one keeps a tenant around the threshold from being announced again
and again."""
MAX_WAITING = 1_000
"""Maximum number of permit queries that wait for a loan."""


class OwnerRole:
    """Counts and permits the requests of tenants that this node owns.

    Parameters
    ----------
    settings
        The window, and the usage at which nodes need a permit first.
    own
        This node.
    owners
        The owners of each tenant.
    reachable
        Returns the other nodes that can be notified.
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
        """Exchange of loans and records with the other owners."""
        self._hot: set[str] = set()
        self._awaiting_loan: list[tuple[NodeIdentity, LimitRequest]] = []
        self._notified_requires_permit = False
        """Whether nodes were last notified that every request needs a permit first."""

    @property
    def tenants(self) -> int:
        """Number of tenants with stored usage."""
        return len(self._usages)

    @property
    def is_owner(self) -> bool:
        """Return whether this node is one of the owners."""
        return self._own in self._owners.all_owners

    def set_tenants(self, tenants: Mapping[str, Tenant], now: float) -> list[Action]:
        """Apply the limits in force; requests counted so far still count."""
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
        """Count requests that a node has started or gives back."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return []
        usage = self._get_usage(name)
        usage.add(requests, now)
        if charged > 0:
            usage.permitted_as_second.add(charged, now)
        return self._mark_hot(name, usage, now)

    def on_report(self, sender: NodeIdentity, message: LimitReport, now: float) -> list[Action]:
        """Count the requests in a node's report and acknowledge it."""
        self.sync.refresh_listing(now)
        actions: list[Action] = []
        for name, requests, charged in zip(
            message.tenants, message.counts, message.charged, strict=True
        ):
            actions += self.count(name, requests, charged, now)
        hot = tuple(name for name in message.tenants if self._hot_seconds(name, now) > 0)
        seconds = tuple(self._hot_seconds(name, now) for name in hot)
        requires_permit = self.requires_permit(now)
        answer = LimitAcknowledgement(message.sequence, requires_permit, hot, seconds)
        return [*actions, SendToPeer(sender, answer)]

    def on_permit_request(
        self, sender: NodeIdentity, message: LimitRequest, now: float
    ) -> list[Action]:
        """Reply whether a request may start; wait with the reply if a loan is pending."""
        permit, actions = self.permit(message.tenant, now)
        usage = self._usages.get(message.tenant)
        can_wait = (
            permit.verdict is LimitVerdict.OTHER_OWNER and len(self._awaiting_loan) < MAX_WAITING
        )
        if can_wait and usage is not None and usage.awaits_loan(now):
            self._awaiting_loan.append((sender, message))
            return actions
        answer = LimitReply(
            message.ask_id,
            permit.verdict,
            permit.retry_after_seconds,
            self.requires_permit(now),
            self._hot_seconds(message.tenant, now),
        )
        return [SendToPeer(sender, answer), *actions]

    def permit(self, name: str, now: float) -> tuple[PermitDecision, list[Action]]:
        """Count one more request of a tenant if it may run."""
        tenant = self._tenants.get(name)
        status = self._status(name, now)
        if tenant is None or status is None:
            return PermitDecision(LimitVerdict.NOT_OWNER), []
        usage = self._get_usage(name)
        permit = usage.permit(self._budget(tenant), status, now)
        if permit.verdict is LimitVerdict.GRANTED:
            return permit, self._mark_hot(name, usage, now)
        labels = (("verdict", permit.verdict.name.lower()),)
        refused = Count("limit_not_permitted_total", labels=labels)
        return permit, [refused, *self._borrow(name, usage, now)]

    def requires_permit(self, now: float) -> bool:
        """Return whether every request needs a permit first.

        This is the case if the settings say so, or while this owner may have to permit less than
        the threshold at which a tenant becomes hot.
        """
        if self._settings.ask_first_ratio <= 0:
            return True
        return not self.sync.is_unchanged_for_window(now) or not self.sync.is_listed(now)

    def on_owners_changed(self, now: float) -> list[Action]:
        """Request the records of the other owners, since this node may now own other tenants.

        For one window, nodes need a permit first: those with an older list of owners still report
        to the former owners.
        """
        if not self.is_owner:
            return []
        return [*self.sync.on_owners_changed(now), *self._notify_all(now)]

    def _notify_all(self, now: float) -> list[Action]:
        """Notify all nodes whether they need a permit first; sequence 0 acknowledges no report."""
        self._notified_requires_permit = self.requires_permit(now)
        notification = LimitAcknowledgement(0, self._notified_requires_permit)
        return [SendToPeer(node, notification) for node in self._reachable(now)]

    def on_owners_message(
        self, sender: NodeIdentity, message: LimitOwnersRequest | LimitOwnersReply, now: float
    ) -> list[Action]:
        """Handle a request or reply of another owner."""
        self.sync.refresh_listing(now)
        if isinstance(message, LimitOwnersRequest):
            return self.sync.on_request(sender, message, self._tenants, now)
        self.sync.on_reply(sender, message, now)
        return self._retry_waiting(now)

    def _retry_waiting(self, now: float) -> list[Action]:
        """Handle the permit queries that waited for a loan once more."""
        waiting, self._awaiting_loan = self._awaiting_loan, []
        actions: list[Action] = []
        for sender, message in waiting:
            actions += self.on_permit_request(sender, message, now)
        return actions

    def on_due(self, now: float) -> list[Action]:
        """Renew loans, mark tenants as calm and drop unused records."""
        self.sync.refresh_listing(now)
        actions = self._retry_waiting(now)
        if self._notified_requires_permit != self.requires_permit(now):
            actions += self._notify_all(now)
        actions += self._mark_calm(now)
        for name in [name for name, usage in self._usages.items() if not usage.counted.total(now)]:
            if name not in self._hot and now >= self._usages[name].idle_from:
                del self._usages[name]
        return actions + self.sync.on_due(self._borrowing(now), now)

    # Hot tenants

    def _mark_hot(self, name: str, usage: TenantUsage, now: float) -> list[Action]:
        """Once a tenant is hot, notify all nodes that they need a permit first, and borrow."""
        if not self._has_hot_usage(name, now):
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
            notification = LimitAcknowledgement(0, self.requires_permit(now), (name,), (seconds,))
            actions += [SendToPeer(node, notification) for node in self._reachable(now)]
        allowed = round(self._budget(self._tenants[name]).allowance, 1)
        fields = (("tenant", name), ("counted", usage.counted.total(now)), ("allowed", allowed))
        return [*actions, Log("limit_hot", LogLevel.INFO, fields)]

    def _borrow(self, name: str, usage: TenantUsage, now: float) -> list[Action]:
        """Borrow from the second owner shortly before the requests are needed."""
        loan = self._required_loan(name, now)
        if not usage.should_borrow(loan, now):
            return []
        usage.last_loan_request_at = now
        usage.loan_requested = loan
        return self.sync.borrow({name: loan}, now)

    def _required_loan(self, name: str, now: float) -> int:
        """Return the loan that this owner needs; 0 if it is not the primary."""
        if not self._is_primary(name):
            return 0
        counted = self._usages[name].counted.total(now)
        return self._budget(self._tenants[name]).required_loan(counted)

    def _mark_calm(self, now: float) -> list[Action]:
        """End the hot state of tenants whose usage has dropped."""
        actions: list[Action] = []
        for name in sorted(self._hot):
            usage = self._usages[name]
            if now < usage.hot_until or self._has_hot_usage(name, now):
                continue
            self._hot.discard(name)
            if self._is_primary(name):
                fields = (("tenant", name), ("counted", usage.counted.total(now)))
                actions.append(Log("limit_calm", LogLevel.INFO, fields))
        return actions

    def _has_hot_usage(self, name: str, now: float) -> bool:
        """Return whether the usage of a tenant has reached the hot threshold."""
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
        """Return the size of each loan that is still needed, by tenant."""
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
