"""Loans and records that the two limit owners of a tenant exchange.

The primary borrows from the second owner while a tenant is hot. A loan expires at the borrower
before it expires at the lender, so a network partition lets neither exceed its part. A new owner
requests the records of the last window from the other owner.
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
"""Duration of a loan at the borrower. A partition ends a loan after this time; a hot tenant costs
two messages in half of it."""
LOAN_MARGIN_SECONDS = 0.1
"""Additional duration of a loan at the lender; covers the difference between their clocks."""
SYNC_INTERVAL_SECONDS = 0.5
"""Time between two requests to other owners; allows for one lost request per loan."""


class OwnerSync:
    """Exchanges loans and records with the other owners.

    Parameters
    ----------
    get_usage
        Returns the usage of a tenant.
    get_budget
        Returns the budget of a tenant; ``None`` if it has no limit.
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
        """Tenants whose window is incomplete at another owner, by owner id. An owner without an
        entry has not sent its records since the owners last changed."""
        self._changed_at = float("inf")
        self._listed_since = float("-inf")
        self._was_listed_last_check = True
        self._has_been_listed_since_start = False
        self.reused_key: Callable[[], bool] = lambda: True
        """Returns whether this node's key was in the store before this incarnation; set by the
        caller."""
        self._confirmed_at: dict[str, float] = {}
        """Send time of the last request with which an owner confirmed the list of owners, by id."""
        self.is_listed: Callable[[float], bool] = lambda _: True
        """Returns whether this node's key is certainly in the store; set by the caller."""

    def refresh_listing(self, now: float) -> None:
        """Restart the window once a missing key is back: other nodes may have been owners."""
        is_listed = self.is_listed(now)
        if is_listed and not self._was_listed_last_check and not self._is_key_renewal():
            self._listed_since = now
            self._changed_at = now
            self._unknown_tenants.clear()
        self._has_been_listed_since_start = self._has_been_listed_since_start or is_listed
        self._was_listed_last_check = is_listed

    def _is_key_renewal(self) -> bool:
        """Return whether the key of the previous incarnation was renewed without a gap."""
        return not self._has_been_listed_since_start and self.reused_key()

    def is_unchanged_for_window(self, now: float) -> bool:
        """Return whether the owners have been the same for a window."""
        return now >= self._changed_at + self._settings.window_seconds

    def status(self, name: str, position: int, is_alone: bool, now: float) -> OwnerStatus:
        """Return the role of this node for a tenant, and whether its records are complete.

        A former second owner keeps that role for a window, since the former primary may not have
        received the change yet.
        """
        window_seconds = self._settings.window_seconds
        own = self._own.node_id
        position_since = max(self._owners.position_since(name, own), self._listed_since)
        known_at = position_since + window_seconds
        if position == 1:
            return self._second_status(known_at, is_alone, now)
        if not self._is_still_primary(name, now):
            return OwnerStatus(True, False, is_alone, SYNC_INTERVAL_SECONDS)
        if now >= known_at or self._other_owner_sent_record(name):
            return OwnerStatus(True, True, is_alone)
        former, former_since = self._owners.former_position(name, own)
        if former == 1:
            return self._second_status(former_since + window_seconds, is_alone, now)
        return OwnerStatus(True, False, is_alone, known_at - now)

    def _second_status(self, known_at: float, is_alone: bool, now: float) -> OwnerStatus:
        """Return the status of a second owner; its previous incarnation may have lent requests."""
        known_at += LOAN_SECONDS + LOAN_MARGIN_SECONDS
        # While this node's key may have expired, other nodes may already be the owners and permit
        # the whole budget.
        is_known = now >= known_at and self.is_listed(now)
        return OwnerStatus(False, is_known, is_alone, max(known_at - now, SYNC_INTERVAL_SECONDS))

    def _other_owner_sent_record(self, name: str) -> bool:
        own = self._own.node_id
        others = [item.node_id for item in self._owners.get(name) if item.node_id != own]
        return any(
            other in self._unknown_tenants and name not in self._unknown_tenants[other]
            for other in others
        )

    def _has_all_records_of(self, other: NodeIdentity) -> bool:
        """Return whether another owner has sent the records of all tenants."""
        return self._unknown_tenants.get(other.node_id) == frozenset()

    def _is_still_primary(self, name: str, now: float) -> bool:
        """Return whether no other node can have become the primary owner unnoticed.

        A key may expire while its node cannot reach the store. The node then remains primary only
        as long as the second owner, its successor, confirms the same list of owners from the store.
        """
        if self.is_listed(now):
            return True
        validity_seconds = LOAN_SECONDS
        return any(
            now < self._confirmed_at.get(item.node_id, float("-inf")) + validity_seconds
            for item in self._owners.get(name)[1:]
        )

    # Requests to other owners

    def on_owners_changed(self, now: float) -> list[Action]:
        """Request the records of the other owners."""
        self._changed_at = self._owners.since
        self._unknown_tenants.clear()
        return self._query_others(True, {}, now)

    def borrow(self, loans: Mapping[str, int], now: float) -> list[Action]:
        """Request loans from the second owners of tenants."""
        wanted: dict[str, dict[str, int]] = {}
        for name, loan in loans.items():
            for other in self._owners.get(name)[1:]:
                wanted.setdefault(other.node_id, {})[name] = loan
        return self._query_others(False, wanted, now)

    def on_due(self, borrowing: Mapping[str, int], now: float) -> list[Action]:
        """Renew loans, and repeat requests for missing records."""
        self._sent_at = {key: at for key, at in self._sent_at.items() if at > now - LOAN_SECONDS}
        return [
            *self._query_others(not self.is_unchanged_for_window(now), {}, now),
            *self.borrow(borrowing, now),
        ]

    def _query_others(
        self, wants_records: bool, wanted: dict[str, dict[str, int]], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for other in self._owners.all_owners:
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

    def on_reply(self, sender: NodeIdentity, reply: LimitOwnersReply, now: float) -> None:
        """Apply the loans and records of a reply; a reply that comes too late is ignored."""
        sent_at = self._sent_at.pop(reply.request_id, None)
        if sent_at is None:
            return
        for name, loan in zip(reply.lent, reply.loans, strict=True):
            usage = self._get_usage(name)
            usage.loan_until = sent_at + LOAN_SECONDS
            usage.loan = loan
            usage.current_loan_requested_at = sent_at
        if sent_at < self._changed_at or not reply.is_same_view:
            return
        self._confirmed_at[sender.node_id] = sent_at
        if reply.knows_window and not self._has_all_records_of(sender):
            self._unknown_tenants[sender.node_id] = frozenset(reply.unknown)
            for record in reply.records:
                entries = list(zip(record.ages_seconds, record.counts, strict=True))
                self._get_usage(record.tenant).counted.merge(entries, now)

    # Requests from other owners

    def on_request(
        self,
        sender: NodeIdentity,
        request: LimitOwnersRequest,
        names: Iterable[str],
        now: float,
    ) -> list[Action]:
        """Reply to another owner with loans and records.

        Parameters
        ----------
        names
            All tenants with a limit.
        """
        lent, loans = self._lend(sender, request, now)
        # A node that may be cut off from the store cannot confirm the list of owners.
        is_same_view = request.owners == self._owners.digest and self.is_listed(now)
        sends_records = is_same_view and request.wants_records
        shared = (
            [name for name in names if self._shares_tenant(name, sender)] if sends_records else []
        )
        unknown = [name for name in shared if not self._has_owned_for_window(name, now)]
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
        """Lend the requested numbers, as far as allowed."""
        until = now + LOAN_SECONDS + LOAN_MARGIN_SECONDS
        loans: dict[str, int] = {}
        for name, wanted in zip(request.wants_loans, request.wanted, strict=True):
            budget = self._get_budget(name)
            if budget is not None and self._may_lend(name, sender, now):
                loans[name] = self._get_usage(name).lend(wanted, budget, until, now)
        return tuple(loans), tuple(loans.values())

    def _may_lend(self, name: str, sender: NodeIdentity, now: float) -> bool:
        """Return whether the sender is the primary and all permits of this node are recorded."""
        own = self._own.node_id
        if (
            self._owners.position(name, sender.node_id) != 0
            or self._owners.position(name, own) != 1
        ):
            return False
        return self.status(name, 1, False, now).has_complete_records

    def _has_owned_for_window(self, name: str, now: float) -> bool:
        since = max(self._owners.owned_since(name, self._own.node_id), self._listed_since)
        return now >= since + self._settings.window_seconds

    def _shares_tenant(self, name: str, sender: NodeIdentity) -> bool:
        ids = [item.node_id for item in self._owners.get(name)]
        return self._own.node_id in ids and sender.node_id in ids

    def _record(self, name: str, now: float) -> LimitRecord:
        entries = self._get_usage(name).counted.entries(now)
        ages = tuple(age for age, _ in entries)
        return LimitRecord(name, ages, tuple(requests for _, requests in entries))
