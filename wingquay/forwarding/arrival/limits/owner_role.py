"""What a node does for the tenants that it owns: counts, permits, and says who asks first."""

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
from .budget import Budget, budget_of
from .limit_settings import HOT_FROM, LimitSettings
from .owner_exchange import OwnerExchange
from .owners import Owners
from .tenant_count import Permit, Standing, TenantCount

HOT_WINDOWS = 2.0
"""Windows for which a tenant stays hot after it was last near its limit: one for the requests that
still count, and one so that a tenant around the threshold is not told about again and again."""
MOST_KEPT = 1_000
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
        owners: Owners,
        reachable: Callable[[float], list[NodeIdentity]],
    ) -> None:
        self._settings = settings
        self._own = own
        self._owners = owners
        self._reachable = reachable
        self._tenants: Mapping[str, Tenant] = {}
        self._counts: dict[str, TenantCount] = {}
        self.exchange = OwnerExchange(settings, own, owners, self._count_of, self._budget_of)
        """Borrows and learns from the other owners."""
        self._hot: set[str] = set()
        self._kept: list[tuple[NodeIdentity, LimitRequest]] = []
        self._is_asked_first = False
        """Whether nodes were told to ask before every request."""

    @property
    def tenants(self) -> int:
        """The number of tenants of which something is known."""
        return len(self._counts)

    @property
    def is_owner(self) -> bool:
        """Whether this node owns tenants by its own view."""
        return self._own in self._owners.identities

    def set_tenants(self, tenants: Mapping[str, Tenant], now: float) -> list[Action]:
        """Take in the limits in force; what ran so far goes on counting."""
        self._tenants = {
            name: tenant for name, tenant in tenants.items() if tenant.requests_per_second > 0
        }
        for name in [name for name in self._counts if name not in self._tenants]:
            del self._counts[name]
            self._hot.discard(name)
        actions: list[Action] = []
        for name, count in self._counts.items():
            actions += self._heat(name, count, now)
        return actions

    def count(self, name: str, requests: int, charged: int, now: float) -> list[Action]:
        """Take in requests that a node has begun, or takes back."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return []
        count = self._count_of(name)
        count.add(requests, now)
        if charged > 0:
            count.own_right.add(charged, now)
        return self._heat(name, count, now)

    def told(self, sender: NodeIdentity, message: LimitReport, now: float) -> list[Action]:
        """Take in what a node has begun, and acknowledge it."""
        self.exchange.look(now)
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

    def asked(self, sender: NodeIdentity, message: LimitRequest, now: float) -> list[Action]:
        """Answer whether a request may begin; a question waits for a loan that is on its way."""
        permit, actions = self.permit(message.tenant, now)
        count = self._counts.get(message.tenant)
        is_short = permit.verdict is LimitVerdict.OTHER_OWNER and len(self._kept) < MOST_KEPT
        if is_short and count is not None and count.awaits_loan(now):
            self._kept.append((sender, message))
            return actions
        answer = LimitReply(
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
        standing = self._standing(name, now)
        if tenant is None or standing is None:
            return Permit(LimitVerdict.NOT_OWNER), []
        count = self._count_of(name)
        permit = count.permit(self._budget(tenant), standing, now)
        if permit.verdict is LimitVerdict.GRANTED:
            return permit, self._heat(name, count, now)
        labels = (("verdict", permit.verdict.name.lower()),)
        refused = Count("limit_not_permitted_total", labels=labels)
        return permit, [refused, *self._borrow(name, count, now)]

    def asks_first(self, now: float) -> bool:
        """Whether nodes ask before every request.

        Always where they are set to; else as long as this owner may have to permit less than what
        lets a tenant count as calm.
        """
        if self._settings.ask_first_from <= 0:
            return True
        return not self.exchange.is_settled(now) or not self.exchange.is_listed(now)

    def owners_changed(self, now: float) -> list[Action]:
        """Ask the other owners what they know: this node may own other tenants from now on.

        Until a window is over, nodes ask first: those that have not seen the change go on telling
        the former owners what they begin.
        """
        if not self.is_owner:
            return []
        return [*self.exchange.owners_changed(now), *self._tell_all(now)]

    def _tell_all(self, now: float) -> list[Action]:
        """Tell all nodes whether they ask first."""
        self._is_asked_first = self.asks_first(now)
        told = LimitAcknowledgement(0, self._is_asked_first)
        return [SendToPeer(node, told) for node in self._reachable(now)]

    def owners_message(
        self, sender: NodeIdentity, message: LimitOwnersRequest | LimitOwnersReply, now: float
    ) -> list[Action]:
        """Take in what another owner wants or tells."""
        self.exchange.look(now)
        if isinstance(message, LimitOwnersRequest):
            return self.exchange.requested(sender, message, self._tenants, now)
        self.exchange.replied(sender, message, now)
        return self._ask_kept(now)

    def _ask_kept(self, now: float) -> list[Action]:
        """Answer the questions that waited for a loan."""
        kept, self._kept = self._kept, []
        actions: list[Action] = []
        for sender, message in kept:
            actions += self.asked(sender, message, now)
        return actions

    def due(self, now: float) -> list[Action]:
        """Borrow again what is needed, and see which tenants are calm again."""
        self.exchange.look(now)
        actions = self._ask_kept(now)
        if self._is_asked_first != self.asks_first(now):
            actions += self._tell_all(now)
        actions += self._cool(now)
        for name in [name for name, count in self._counts.items() if not count.counted.total(now)]:
            if name not in self._hot and now >= self._counts[name].idle_from:
                del self._counts[name]
        return actions + self.exchange.due(self._borrowing(now), now)

    # Hot tenants

    def _heat(self, name: str, count: TenantCount, now: float) -> list[Action]:
        """Tell all nodes to ask first, and borrow, once a tenant is near its limit."""
        if not self._is_near(name, now):
            return []
        count.hot_until = now + HOT_WINDOWS * self._settings.window_seconds
        actions = self._borrow(name, count, now)
        if name in self._hot:
            return actions
        self._hot.add(name)
        if not self._is_primary(name):
            return actions
        actions.append(Count("limit_hot_total"))
        if self._settings.ask_first_from > 0:
            seconds = HOT_WINDOWS * self._settings.window_seconds
            told = LimitAcknowledgement(0, self.asks_first(now), (name,), (seconds,))
            actions += [SendToPeer(node, told) for node in self._reachable(now)]
        allowed = round(self._budget(self._tenants[name]).allowance, 1)
        fields = (("tenant", name), ("counted", count.counted.total(now)), ("allowed", allowed))
        return [*actions, Log("limit_hot", LogLevel.INFO, fields)]

    def _borrow(self, name: str, count: TenantCount, now: float) -> list[Action]:
        """Borrow the second owner's part just before it is needed."""
        loan = self._loan_for(name, now)
        if not count.may_borrow(loan, now):
            return []
        count.loan_asked_at = now
        count.loan_wanted = loan
        return self.exchange.borrow({name: loan}, now)

    def _loan_for(self, name: str, now: float) -> int:
        """Return how much more than its own part this owner, if the primary, needs."""
        if not self._is_primary(name):
            return 0
        counted = self._counts[name].counted.total(now)
        return self._budget(self._tenants[name]).loan_for(counted)

    def _cool(self, now: float) -> list[Action]:
        """See which tenants are calm again."""
        actions: list[Action] = []
        for name in sorted(self._hot):
            count = self._counts[name]
            if now < count.hot_until or self._is_near(name, now):
                continue
            self._hot.discard(name)
            if self._is_primary(name):
                fields = (("tenant", name), ("counted", count.counted.total(now)))
                actions.append(Log("limit_calm", LogLevel.INFO, fields))
        return actions

    def _is_near(self, name: str, now: float) -> bool:
        """Whether a tenant has had the part of its allowance from which on more is needed."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return False
        from_part = self._settings.ask_first_from or HOT_FROM
        least = self._budget(tenant).allowance * min(from_part, HOT_FROM)
        return self._counts[name].counted.total(now) >= least

    def _is_primary(self, name: str) -> bool:
        return self._owners.place(name, self._own.node_id) == 0

    def _hot_seconds(self, name: str, now: float) -> float:
        count = self._counts.get(name)
        return 0.0 if count is None else max(count.hot_until - now, 0.0)

    def _borrowing(self, now: float) -> dict[str, int]:
        """Return the tenants whose loans are needed further, and how much of each."""
        loans = {name: self._loan_for(name, now) for name in sorted(self._hot)}
        return {name: loan for name, loan in loans.items() if loan}

    # Roles

    def _standing(self, name: str, now: float) -> Standing | None:
        self.exchange.look(now)
        own = self._own.node_id
        place = self._owners.place(name, own)
        if place is None:
            return None
        is_alone = len(self._owners.of(name)) == 1
        return self.exchange.standing(name, place, is_alone, now)

    def _count_of(self, name: str) -> TenantCount:
        count = self._counts.get(name)
        if count is None:
            count = TenantCount(self._settings.window_seconds)
            self._counts[name] = count
        return count

    def _budget_of(self, name: str) -> Budget | None:
        tenant = self._tenants.get(name)
        return None if tenant is None else self._budget(tenant)

    def _budget(self, tenant: Tenant) -> Budget:
        return budget_of(tenant, self._settings)
