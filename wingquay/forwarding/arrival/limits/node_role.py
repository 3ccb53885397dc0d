"""What a node does with a tenant's request: begins it at once, asks an owner first, or refuses."""

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
from .contacts import Contacts
from .limit_settings import LimitSettings
from .owner_contact import SILENCE_SECONDS
from .owners import Owners
from .reserve import Reserve
from .tenant_count import LEAST_RETRY_SECONDS

SECOND_ASK_SECONDS = 0.05
"""Time after which the second owner is asked as well, when the primary is out of reach and this
node has not noticed yet: a request waits for an answer for a fifth of its objective only, which is
0.08 s for the most urgent ones. Nodes answer within a few milliseconds."""
MOST_UNREACHED_RETRY_SECONDS = 1.0
"""Longest time that a caller is told when no owner could permit its request: a cut may end, and a
restarted owner may learn the last window, at any time."""
RETRY_SPREAD = 0.1
"""Part of the time told to callers that is drawn on top, so that those who were refused together do
not return together."""

MOST_LATE = 1_000
"""Questions whose late answers are still told apart: as many as requests that may wait."""

OVER_REASON = "the tenant has had the requests that its limit allows"
UNREACHED_REASON = "no owner of the tenant's limit can permit the request now"
_COUNTED = Admitted(OpaqueRequest(b"", b"", ()))


@dataclass(slots=True, eq=False)
class _Ask:
    """A request that waits for an owner's word."""

    tenant: Tenant
    exchange_id: int
    asked_at: float
    waiting_for: set[str] = field(default_factory=set)
    done_with: set[str] = field(default_factory=set)
    overdue: set[str] = field(default_factory=set)
    """Owners whose answer is no longer waited for."""
    retry_after_seconds: float = 0.0


class NodeRole:
    """Counts the requests that this node begins, over all nodes.

    Parameters
    ----------
    settings
        The bound, and from when on owners are asked first.
    owners
        Who owns which tenant.
    contacts
        What the owners were told, and which can be reached.
    reserve
        What may run when none can.
    random_source
        Spreads the times that callers are told.
    """

    def __init__(
        self,
        settings: LimitSettings,
        owners: Owners,
        contacts: Contacts,
        reserve: Reserve,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._contacts = contacts
        self._reserve = reserve
        self._random = random_source
        self._asks: dict[int, _Ask] = {}
        self._waiting: dict[int, int] = {}
        """The questions of requests, by the node's number of the request."""
        self._late: dict[int, _Ask] = {}
        """Questions that were settled before all who were asked had answered."""
        self._last_ask_id = 0
        self._outbox: list[Action] = []
        self.on_answer: Callable[[int, Admitted | Rejected, float], list[Action]] = (
            lambda _exchange_id, _answer, _now: []
        )
        """Goes on with a request whose answer has come; replaced by whoever composes the node."""

    def take_actions(self) -> list[Action]:
        """Return what is to be done besides the answers that were given."""
        taken, self._outbox = self._outbox, []
        return taken

    # Arrivals

    def admit(
        self, tenant: Tenant, exchange_id: int, now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Count a request, or say why it may not run now."""
        if tenant.requests_per_second <= 0:
            return _COUNTED
        pair = self._owners.of(tenant.name)
        if pair and self._lets_begin(pair[0], tenant.name, now):
            self._outbox += self._contacts.note(pair, tenant.name, 1, now, True)
            return self._counted("at_once")
        self._last_ask_id += 1
        ask_id = self._last_ask_id
        ask = _Ask(tenant, exchange_id, now)
        answer = self._ask_next(ask_id, ask, now)
        if answer is not None:
            return answer
        self._asks[ask_id] = ask
        self._waiting[exchange_id] = ask_id
        for seconds in (SECOND_ASK_SECONDS, SILENCE_SECONDS):
            self._outbox.append(Schedule(now + seconds, LimitRequestDue(ask_id)))
        return AwaitsLimit()

    def give_back(self, tenant: Tenant, exchange_id: int, now: float) -> None:
        """Take back a request that has run on no replica and never will.

        One that still waits was not counted; what an owner permits for it later is given back then.
        """
        ask_id = self._waiting.get(exchange_id)
        if ask_id is not None:
            self._settle(ask_id)
        elif tenant.requests_per_second > 0:
            self._note(self._owners.of(tenant.name), tenant.name, -1, now)
            self._count("given_back")

    def _lets_begin(self, primary: NodeIdentity, name: str, now: float) -> bool:
        if self._settings.ask_first_from <= 0 or self._contacts.is_own(primary):
            return False
        return self._contacts.get(primary).lets_begin(name, now)

    # Asking

    def _ask_next(self, ask_id: int, ask: _Ask, now: float) -> Admitted | Rejected | None:
        """Ask the next owner that may answer; ``None``: an answer is awaited."""
        for owner in self._owners.of(ask.tenant.name):
            node_id = owner.node_id
            if node_id in ask.done_with or node_id in ask.waiting_for:
                continue
            if self._contacts.is_own(owner):
                answer = self._ask_own(ask, now)
                if answer is not None:
                    return answer
                continue
            if self._contacts.get(owner).is_lost:
                continue
            ask.waiting_for.add(node_id)
            self._outbox.append(SendToPeer(owner, LimitRequest(ask_id, ask.tenant.name)))
            self._count("asked")
            return None
        is_opening = self._contacts.own is None and now < ask.asked_at + SILENCE_SECONDS
        return None if ask.waiting_for or is_opening else self._by_reserve(ask, now)

    def _ask_own(self, ask: _Ask, now: float) -> Admitted | Rejected | None:
        """Ask this node itself, which is an owner."""
        own, role = self._contacts.own, self._contacts.role
        if own is None or role is None:
            return None
        permit, actions = role.permit(ask.tenant.name, now)
        self._outbox += actions
        ask.done_with.add(own.node_id)
        return self._judged(ask, own.node_id, permit.verdict, permit.retry_after_seconds, now)

    def _judged(
        self, ask: _Ask, node_id: str, verdict: LimitVerdict, retry_seconds: float, now: float
    ) -> Admitted | Rejected | None:
        """Return what an owner's word means; ``None``: another one may say more."""
        if verdict is LimitVerdict.GRANTED:
            others = [item for item in self._owners.of(ask.tenant.name) if item.node_id != node_id]
            self._note(others, ask.tenant.name, 1, now)
            return self._counted("permitted")
        if verdict is LimitVerdict.EXCEEDED:
            self._count("over")
            seconds = self._spread(max(retry_seconds, 0.0))
            return Rejected(ForwardFailureKind.OVER_LIMIT, OVER_REASON, seconds)
        ask.retry_after_seconds = max(ask.retry_after_seconds, retry_seconds)
        return None

    def answered(self, sender: NodeIdentity, message: LimitReply, now: float) -> list[Action]:
        """Take in an owner's word; what it permits too late is given back."""
        contact = self._contacts.get(sender)
        contact.asks_first = message.requires_permit
        actions = contact.heard(now)
        ask = self._asks.get(message.ask_id)
        if ask is None:
            return actions + self._late_answer(sender, message, now)
        contact.hear_hot(ask.tenant.name, message.hot_seconds, now)
        ask.waiting_for.discard(sender.node_id)
        ask.overdue.discard(sender.node_id)
        ask.done_with.add(sender.node_id)
        answer = self._judged(
            ask, sender.node_id, message.verdict, message.retry_after_seconds, now
        )
        return actions + self._go_on(message.ask_id, ask, answer, now)

    def ask_due(self, event: LimitRequestDue, now: float) -> list[Action]:
        """Ask another owner besides one that says nothing, and give up in the end."""
        ask = self._asks.get(event.ask_id) or self._late.get(event.ask_id)
        if ask is None:
            return []
        actions: list[Action] = []
        is_silent = now >= ask.asked_at + SILENCE_SECONDS
        for node_id in sorted(ask.waiting_for) if is_silent else ():
            actions += self._contacts.lose(node_id, now)
        if event.ask_id not in self._asks:
            return actions
        if is_silent:
            ask.overdue |= ask.waiting_for
            ask.done_with |= ask.waiting_for
            ask.waiting_for.clear()
        return actions + self._go_on(event.ask_id, ask, None, now)

    def _go_on(
        self, ask_id: int, ask: _Ask, answer: Admitted | Rejected | None, now: float
    ) -> list[Action]:
        if ask_id not in self._asks:
            return []
        if answer is None:
            answer = self._ask_next(ask_id, ask, now)
        if answer is None:
            return []
        self._settle(ask_id)
        return [*self.on_answer(ask.exchange_id, answer, now), *self.take_actions()]

    def opened(self, now: float) -> list[Action]:
        """Ask owners for the requests that waited for the link to other nodes."""
        actions: list[Action] = []
        for ask_id, ask in list(self._asks.items()):
            actions += self._go_on(ask_id, ask, None, now)
        return [*actions, *self.take_actions()]

    def _settle(self, ask_id: int) -> None:
        """Forget a question, but for those who may still answer it."""
        ask = self._asks.pop(ask_id)
        del self._waiting[ask.exchange_id]
        ask.waiting_for |= ask.overdue
        if ask.waiting_for:
            self._late[ask_id] = ask
            if len(self._late) > MOST_LATE:
                del self._late[next(iter(self._late))]

    def _late_answer(self, sender: NodeIdentity, message: LimitReply, now: float) -> list[Action]:
        """Give back what an owner has permitted for a request that did not wait for it."""
        ask = self._late.get(message.ask_id)
        if ask is None or sender.node_id not in ask.waiting_for:
            return []
        ask.waiting_for.discard(sender.node_id)
        if not ask.waiting_for:
            del self._late[message.ask_id]
        if message.verdict is not LimitVerdict.GRANTED:
            return []
        return self._contacts.get(sender).note(ask.tenant.name, -1, now)

    def lost(self, node_id: str, now: float) -> list[Action]:
        """Ask others where an owner that is out of reach was asked."""
        waiting = [(key, ask) for key, ask in self._asks.items() if node_id in ask.waiting_for]
        actions: list[Action] = []
        for ask_id, ask in waiting:
            ask.waiting_for.discard(node_id)
            ask.done_with.add(node_id)
            actions += self._go_on(ask_id, ask, None, now)
        return actions

    def _by_reserve(self, ask: _Ask, now: float) -> Admitted | Rejected:
        own = self._contacts.own
        if own is not None and self._reserve.take(ask.tenant, own.node_id, now):
            self._note(self._owners.of(ask.tenant.name), ask.tenant.name, 1, now)
            return self._counted("reserve")
        seconds = max(ask.retry_after_seconds, LEAST_RETRY_SECONDS)
        seconds = min(seconds, MOST_UNREACHED_RETRY_SECONDS)
        self._count("unreached")
        return Rejected(ForwardFailureKind.NOT_RUN, UNREACHED_REASON, self._spread(seconds))

    def _note(self, owners: Iterable[NodeIdentity], name: str, requests: int, now: float) -> None:
        self._outbox += self._contacts.note(owners, name, requests, now)

    def _spread(self, seconds: float) -> float:
        return seconds * (1.0 + RETRY_SPREAD * self._random.random())

    def _counted(self, way: str) -> Admitted:
        self._count(way)
        return _COUNTED

    def _count(self, way: str) -> None:
        self._outbox.append(Count("limit_requests_total", labels=(("way", way),)))
