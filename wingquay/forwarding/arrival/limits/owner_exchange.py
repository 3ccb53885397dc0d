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
from .owners import Owners
from .tenant_count import Standing, TenantCount

LOAN_SECONDS = 1.0
"""How long a loan lasts. A cut ends it so soon; a hot tenant costs two messages in half of it."""
LOAN_MARGIN_SECONDS = 0.1
"""How much longer the lender keeps to it: clocks of machines run apart by far less in a second."""
EXCHANGE_SECONDS = 0.5
"""Time between two requests to other owners: a lost one leaves time for another within a loan."""


class OwnerExchange:
    """Borrows, lends, learns and tells.

    Parameters
    ----------
    count_of
        Returns what is known of a tenant.
    budget_of
        Returns the parts of its bound; ``None``: it has none.
    """

    def __init__(
        self,
        settings: LimitSettings,
        own: NodeIdentity,
        owners: Owners,
        count_of: Callable[[str], TenantCount],
        budget_of: Callable[[str], Budget | None],
    ) -> None:
        self._settings = settings
        self._own = own
        self._owners = owners
        self._count_of = count_of
        self._budget_of = budget_of
        self._request_id = 0
        self._sent_at: dict[int, float] = {}
        self._known_from: dict[str, frozenset[str]] = {}
        """Owners, by id, that have told all they know since the owners last changed, and the
        tenants of which they knew nothing."""
        self._changed_at = float("inf")
        self._listed_since = float("-inf")
        self._was_listed = True
        self._has_been_listed = False
        self.has_stood: Callable[[], bool] = lambda: True
        """Whether the key stood in the store before this life; replaced by whoever knows."""
        self._confirmed_at: dict[str, float] = {}
        """When owners, by id, were last asked that have the same view of who the owners are."""
        self.is_listed: Callable[[float], bool] = lambda _: True
        """Whether this node's key is sure to stand in the store; replaced by whoever knows."""

    def look(self, now: float) -> None:
        """See whether this node's key stands again: others may have been owners meanwhile."""
        is_listed = self.is_listed(now)
        if is_listed and not self._was_listed and not self._is_first_listing():
            self._listed_since = now
            self._changed_at = now
            self._known_from.clear()
        self._has_been_listed = self._has_been_listed or is_listed
        self._was_listed = is_listed

    def _is_first_listing(self) -> bool:
        """Whether this life renews the key of the last one, so that no other took its place."""
        return not self._has_been_listed and self.has_stood()

    def is_settled(self, now: float) -> bool:
        """Whether the owners have been the same for a window."""
        return now >= self._changed_at + self._settings.window_seconds

    def standing(self, name: str, place: int, is_alone: bool, now: float) -> Standing:
        """Return what this node may go by for a tenant.

        Whoever was the second owner until now goes on as that for a window: the first one may not
        know yet that it is no longer the first.
        """
        window_seconds = self._settings.window_seconds
        own = self._own.node_id
        held_since = max(self._owners.held_since(name, own), self._listed_since)
        known_at = held_since + window_seconds
        if place == 1:
            return self._as_second(known_at, is_alone, now)
        if not self._is_in_office(name, now):
            return Standing(True, False, is_alone, EXCHANGE_SECONDS)
        if now >= known_at or self._has_learnt(name):
            return Standing(True, True, is_alone)
        former, former_since = self._owners.former_place(name, own)
        if former == 1:
            return self._as_second(former_since + window_seconds, is_alone, now)
        return Standing(True, False, is_alone, known_at - now)

    def _as_second(self, known_at: float, is_alone: bool, now: float) -> Standing:
        """Return the standing of a second owner, whose earlier life may have lent its part."""
        known_at += LOAN_SECONDS + LOAN_MARGIN_SECONDS
        return Standing(False, now >= known_at, is_alone, max(known_at - now, 0.0))

    def _has_learnt(self, name: str) -> bool:
        own = self._own.node_id
        others = [item.node_id for item in self._owners.of(name) if item.node_id != own]
        return any(
            other in self._known_from and name not in self._known_from[other] for other in others
        )

    def _knows_from(self, other: NodeIdentity) -> bool:
        """Whether another owner has told all that it could tell."""
        return self._known_from.get(other.node_id) == frozenset()

    def _is_in_office(self, name: str, now: float) -> bool:
        """Whether no other node can have become the primary owner without this one's knowledge.

        A node's key may lapse while it cannot reach the store. Then it goes on only as long as the
        second owner, who would take its place, still sees it in the first one.
        """
        if self.is_listed(now):
            return True
        seconds = LOAN_SECONDS
        return any(
            now < self._confirmed_at.get(item.node_id, float("-inf")) + seconds
            for item in self._owners.of(name)[1:]
        )

    # Asking

    def owners_changed(self, now: float) -> list[Action]:
        """Ask the other owners for what they know."""
        self._changed_at = self._owners.since
        self._known_from.clear()
        return self._ask_others(True, {}, now)

    def borrow(self, loans: Mapping[str, int], now: float) -> list[Action]:
        """Ask the second owners of tenants to lend so much."""
        wanted: dict[str, dict[str, int]] = {}
        for name, loan in loans.items():
            for other in self._owners.of(name)[1:]:
                wanted.setdefault(other.node_id, {})[name] = loan
        return self._ask_others(False, wanted, now)

    def due(self, borrowing: Mapping[str, int], now: float) -> list[Action]:
        """Renew loans, and ask again for what is not known."""
        self._sent_at = {key: at for key, at in self._sent_at.items() if at > now - LOAN_SECONDS}
        return [
            *self._ask_others(not self.is_settled(now), {}, now),
            *self.borrow(borrowing, now),
        ]

    def _ask_others(
        self, wants_records: bool, wanted: dict[str, dict[str, int]], now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for other in self._owners.identities:
            loans = wanted.get(other.node_id, {})
            is_unknown = wants_records and not self._knows_from(other)
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
            count = self._count_of(name)
            count.loan_until = sent_at + LOAN_SECONDS
            count.loan = loan
            count.loan_sent_at = sent_at
        if sent_at < self._changed_at or not reply.is_same_view:
            return
        self._confirmed_at[sender.node_id] = sent_at
        if reply.knows_window and not self._knows_from(sender):
            self._known_from[sender.node_id] = frozenset(reply.unknown)
            for record in reply.records:
                entries = list(zip(record.ages_seconds, record.counts, strict=True))
                self._count_of(record.tenant).counted.put_before(entries, now)

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
        is_same_view = request.owners == self._owners.digest
        is_told = is_same_view and request.wants_records
        shared = [name for name in names if self._owned_with(name, sender)] if is_told else []
        unknown = [name for name in shared if not self._knows(name, now)]
        reply = LimitOwnersReply(
            request.request_id,
            lent,
            loans,
            is_same_view,
            is_told,
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
            budget = self._budget_of(name)
            if budget is not None and self._may_lend(name, sender, now):
                loans[name] = self._count_of(name).lend(wanted, budget, until, now)
        return tuple(loans), tuple(loans.values())

    def _may_lend(self, name: str, sender: NodeIdentity, now: float) -> bool:
        """Whether the sender is the primary, and this node knows what it permitted itself."""
        own = self._own.node_id
        if self._owners.place(name, sender.node_id) != 0 or self._owners.place(name, own) != 1:
            return False
        return self.standing(name, 1, False, now).knows_window

    def _knows(self, name: str, now: float) -> bool:
        since = self._owners.owned_since(name, self._own.node_id)
        return now >= since + self._settings.window_seconds

    def _owned_with(self, name: str, sender: NodeIdentity) -> bool:
        ids = [item.node_id for item in self._owners.of(name)]
        return self._own.node_id in ids and sender.node_id in ids

    def _record(self, name: str, now: float) -> LimitRecord:
        entries = self._count_of(name).counted.entries(now)
        ages = tuple(age for age, _ in entries)
        return LimitRecord(name, ages, tuple(requests for _, requests in entries))
