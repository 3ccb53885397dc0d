"""What the two owners of a tenant lend and tell each other.

The primary borrows the second owner's part while a tenant is hot, so that a cut between them can
let neither go on with more than its own part: the loan ends by the lender's clock after it has
ended by the borrower's. An owner that has just become it learns the last window from the other one.
"""

from collections.abc import Callable, Iterable, Mapping

from ....ports.limit_messages import LimitOwnersReply, LimitOwnersRequest, LimitRecord
from ....ports.machine import Action
from ....ports.peer_link import NodeIdentity, SendToPeer
from .budget import Budget
from .limit_settings import LimitSettings
from .tenant_owners import TenantOwners
from .tenant_usage import OwnerStatus, TenantUsage

LOAN_SECONDS = 1.0
"""How long a loan lasts. A cut ends it so soon; a hot tenant costs two messages in half of it."""
LOAN_MARGIN_SECONDS = 0.1
"""How much longer the lender keeps to it: clocks of machines run apart by far less in a second."""
SYNC_INTERVAL_SECONDS = 0.5
"""Time between two requests to other owners: a lost one leaves time for another within a loan."""


class OwnerSync:
    """Borrows, lends, learns and tells.

    Parameters
    ----------
    get_usage
        Returns what is known of a tenant.
    compute_budget
        Returns the parts of its bound; ``None``: it has none.
    """

    def __init__(
        self,
        settings: LimitSettings,
        own: NodeIdentity,
        owners: TenantOwners,
        get_usage: Callable[[str], TenantUsage],
        get_budget: Callable[[str], Budget | None],
    ) -> None:
        self._settings = settings
        self._own = own
        self._owners = owners
        self._get_usage = get_usage
        self._get_budget = get_budget
        self._request_id = 0
        self._sent_at: dict[int, float] = {}
        self._unknown_tenants: dict[str, frozenset[str]] = {}
        """Owners, by id, that have told all they know since the owners last changed, and the
        tenants of which they knew nothing."""
        self._changed_at = float("inf")
        self._listed_since = float("-inf")
        self._was_listed = True
        self._has_been_listed = False
        self.was_listed_before_start: Callable[[], bool] = lambda: True
        """Whether the key stood in the store before this life; replaced by whoever knows."""
        self._confirmed_at: dict[str, float] = {}
        """When owners, by id, were last asked that have the same view of who the owners are."""
        self.is_listed: Callable[[float], bool] = lambda _: True
        """Whether this node's key is sure to stand in the store; replaced by whoever knows."""

    def refresh_listing(self, now: float) -> None:
        """See whether this node's key stands again: others may have been owners meanwhile."""
        is_listed = self.is_listed(now)
        if is_listed and not self._was_listed and not self._is_first_listing():
            self._listed_since = now
            self._changed_at = now
            self._unknown_tenants.clear()
        self._has_been_listed = self._has_been_listed or is_listed
        self._was_listed = is_listed

    def _is_first_listing(self) -> bool:
        """Whether this life renews the key of the last one, so that no other took its place."""
        return not self._has_been_listed and self.was_listed_before_start()

    def is_settled(self, now: float) -> bool:
        """Whether the owners have been the same for a window."""
        return now >= self._changed_at + self._settings.window_seconds

    def status(self, name: str, position: int, is_alone: bool, now: float) -> OwnerStatus:
        """Return what this node may go by for a tenant.

        Whoever was the second owner until now goes on as that for a window: the first one may not
        know yet that it is no longer the first.
        """
        window_seconds = self._settings.window_seconds
        own = self._own.node_id
        position_since = max(self._owners.position_since(name, own), self._listed_since)
        known_at = position_since + window_seconds
        if position == 1:
            return self._second_status(known_at, is_alone, now)
        if not self._is_still_primary(name, now):
            return OwnerStatus(True, False, is_alone, SYNC_INTERVAL_SECONDS)
        if now >= known_at or self._has_record(name):
            return OwnerStatus(True, True, is_alone)
        former, former_since = self._owners.former_position(name, own)
        if former == 1:
            return self._second_status(former_since + window_seconds, is_alone, now)
        return OwnerStatus(True, False, is_alone, known_at - now)

    def _second_status(self, known_at: float, is_alone: bool, now: float) -> OwnerStatus:
        """Return the standing of a second owner, whose earlier life may have lent its part."""
        known_at += LOAN_SECONDS + LOAN_MARGIN_SECONDS
        # While its key may have lapsed, two others may divide all between them.
        is_known = now >= known_at and self.is_listed(now)
        return OwnerStatus(False, is_known, is_alone, max(known_at - now, SYNC_INTERVAL_SECONDS))

    def _has_record(self, name: str) -> bool:
        own = self._own.node_id
        others = [item.node_id for item in self._owners.get(name) if item.node_id != own]
        return any(
            other in self._unknown_tenants and name not in self._unknown_tenants[other]
            for other in others
        )

    def _has_all_records_of(self, other: NodeIdentity) -> bool:
        """Whether another owner has told all that it could tell."""
        return self._unknown_tenants.get(other.node_id) == frozenset()

    def _is_still_primary(self, name: str, now: float) -> bool:
        """Whether no other node can have become the primary owner without this one's knowledge.

        A node's key may lapse while it cannot reach the store. Then it goes on only as long as the
        second owner, who would take its place, reaches the store and sees it in the first one.
        """
        if self.is_listed(now):
            return True
        seconds = LOAN_SECONDS
        return any(
            now < self._confirmed_at.get(item.node_id, float("-inf")) + seconds
            for item in self._owners.get(name)[1:]
        )

    # Asking

    def owners_changed(self, now: float) -> list[Action]:
        """Ask the other owners for what they know."""
        self._changed_at = self._owners.since
        self._unknown_tenants.clear()
        return self._query_others(True, {}, now)

    def borrow(self, loans: Mapping[str, int], now: float) -> list[Action]:
        """Ask the second owners of tenants to lend so much."""
        wanted: dict[str, dict[str, int]] = {}
        for name, loan in loans.items():
            for other in self._owners.get(name)[1:]:
                wanted.setdefault(other.node_id, {})[name] = loan
        return self._query_others(False, wanted, now)

    def due(self, borrowing: Mapping[str, int], now: float) -> list[Action]:
        """Renew loans, and ask again for what is not known."""
        self._sent_at = {key: at for key, at in self._sent_at.items() if at > now - LOAN_SECONDS}
        return [
            *self._query_others(not self.is_settled(now), {}, now),
            *self.borrow(borrowing, now),
        ]

    def _query_others(
        self, wants_records: bool, wanted: dict[str, dict[str, int]], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for other in self._owners.identities:
            loans = wanted.get(other.node_id, {})
            is_unknown = wants_records and not self._has_all_records_of(other)
            is_wanted = loans or is_unknown or not self.is_listed(now)
            if other.node_id == self._own.node_id or not is_wanted:
                continue
            self._request_id += 1
            self._sent_at[self._request_id] = now
            request = LimitOwnersRequest(
                self._request_id,
                self._owners.digest,
                is_unknown,
                tuple(loans),
                tuple(loans.values()),
            )
            actions.append(SendToPeer(other, request))
        return actions

    def replied(self, sender: NodeIdentity, reply: LimitOwnersReply, now: float) -> None:
        """Take in what another owner lends and knows; a reply that is too late lends nothing."""
        sent_at = self._sent_at.pop(reply.request_id, None)
        if sent_at is None:
            return
        for name, loan in zip(reply.lent, reply.loans, strict=True):
            usage = self._get_usage(name)
            usage.loan_until = sent_at + LOAN_SECONDS
            usage.loan = loan
            usage.loan_request_sent_at = sent_at
        if sent_at < self._changed_at or not reply.is_same_view:
            return
        self._confirmed_at[sender.node_id] = sent_at
        if reply.knows_window and not self._has_all_records_of(sender):
            self._unknown_tenants[sender.node_id] = frozenset(reply.unknown)
            for record in reply.records:
                entries = list(zip(record.ages_seconds, record.counts, strict=True))
                self._get_usage(record.tenant).counted.merge(entries, now)

    # Being asked

    def requested(
        self,
        sender: NodeIdentity,
        request: LimitOwnersRequest,
        names: Iterable[str],
        now: float,
    ) -> list[Action]:
        """Lend and tell.

        Parameters
        ----------
        names
            All tenants that have a limit.
        """
        lent, loans = self._lend(sender, request, now)
        # Who is cut off from the store as well cannot tell whether others became owners.
        is_same_view = request.owners == self._owners.digest and self.is_listed(now)
        sends_records = is_same_view and request.wants_records
        shared = (
            [name for name in names if self._shares_tenant(name, sender)] if sends_records else []
        )
        unknown = [name for name in shared if not self._has_full_window(name, now)]
        reply = LimitOwnersReply(
            request.request_id,
            lent,
            loans,
            is_same_view,
            sends_records,
            tuple(unknown),
            tuple(item for item in (self._record(name, now) for name in shared) if item.counts),
        )
        return [SendToPeer(sender, reply)]

    def _lend(
        self, sender: NodeIdentity, request: LimitOwnersRequest, now: float
    ) -> tuple[tuple[str, ...], tuple[int, ...]]:
        """Lend what is wanted, as far as it may be."""
        until = now + LOAN_SECONDS + LOAN_MARGIN_SECONDS
        loans: dict[str, int] = {}
        for name, wanted in zip(request.wants_loans, request.wanted, strict=True):
            budget = self._get_budget(name)
            if budget is not None and self._may_lend(name, sender, now):
                loans[name] = self._get_usage(name).lend(wanted, budget, until, now)
        return tuple(loans), tuple(loans.values())

    def _may_lend(self, name: str, sender: NodeIdentity, now: float) -> bool:
        """Whether the sender is the primary, and this node knows what it permitted itself."""
        own = self._own.node_id
        if (
            self._owners.position(name, sender.node_id) != 0
            or self._owners.position(name, own) != 1
        ):
            return False
        return self.status(name, 1, False, now).knows_window

    def _has_full_window(self, name: str, now: float) -> bool:
        since = max(self._owners.owned_since(name, self._own.node_id), self._listed_since)
        return now >= since + self._settings.window_seconds

    def _shares_tenant(self, name: str, sender: NodeIdentity) -> bool:
        ids = [item.node_id for item in self._owners.get(name)]
        return self._own.node_id in ids and sender.node_id in ids

    def _record(self, name: str, now: float) -> LimitRecord:
        entries = self._get_usage(name).counted.entries(now)
        ages = tuple(age for age, _ in entries)
        return LimitRecord(name, ages, tuple(requests for _, requests in entries))
