"""Callers with keys, and stand-ins for the parts that prove the configuration and count limits."""

from dataclasses import replace

from tests.forwarding.one_node import HOST, OneNode
from wingquay.forwarding.arrival.admission import Admitted, AwaitsLimit, Rejected
from wingquay.model.routing_table import RoutingTable
from wingquay.model.tenants import Tenant, TenantDirectory
from wingquay.ports.forwarding import ForwardRequested, Headers, OpaqueRequest
from wingquay.ports.machine import Action, Count, Log
from wingquay.ports.peer_link import SendToPeer

SECRET = "k-3fd0"
OTHER_SECRET = "k-77aa"
KIOSK = Tenant("kiosk", (SECRET,), priority=3)
ARCHIVE = Tenant("archive", (OTHER_SECRET,))
BARE_HEADERS: Headers = ((b"Host", HOST.encode()), (b"X-Other", b"1"))
ADMITTED = Admitted(OpaqueRequest(b"", b"", ()))


def with_tenants(configuration: RoutingTable, *tenants: Tenant) -> RoutingTable:
    """Return a configuration that tells callers apart."""
    return replace(configuration, tenants=TenantDirectory(tenants))


class Proof:
    """Says what a test lets it say."""

    def __init__(self) -> None:
        self.proven = True
        self.seconds = 0.7

    def is_proven(self, _now: float) -> bool:
        """Return what the test has set."""
        return self.proven

    def retry_after_seconds(self, _now: float) -> float:
        """Return what the test has set."""
        return self.seconds


class Limits:
    """Answers what a test lets it answer, and keeps account of what is counted."""

    def __init__(self, answer: Admitted | Rejected | AwaitsLimit = ADMITTED) -> None:
        self.answer = answer
        self.asked: list[tuple[str, int]] = []
        self.given_back: list[tuple[str, int]] = []

    def admit(
        self, tenant: Tenant, exchange_id: int, _now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Take note of the question; return what the test has set."""
        self.asked.append((tenant.name, exchange_id))
        return self.answer

    def give_back(self, tenant: Tenant, exchange_id: int, _now: float) -> None:
        """Take note."""
        self.given_back.append((tenant.name, exchange_id))


def ask(
    node: OneNode,
    number: int,
    key: str = "",
    path: str = "/one/x",
    forged_tenant: str = "",
    deadline_seconds: float | None = 2.0,
) -> int:
    """Let a caller send a request as the platform's adapter understands it; return its number."""
    own: list[tuple[bytes, bytes]] = []
    if key:
        own.append((b"Authorization", b"Bearer " + key.encode()))
    if forged_tenant:
        own.append((b"Tenant", forged_tenant.encode()))
    target = path.encode()
    bare = OpaqueRequest(b"GET", target, BARE_HEADERS) if own else None
    request = OpaqueRequest(b"GET", target, (*BARE_HEADERS, *own))
    node.emit(
        ForwardRequested(
            number,
            f"id-{number}",
            HOST,
            path,
            request,
            deadline_seconds,
            key=key,
            stripped_request=bare,
        )
    )
    return number


def everything_but_replies(node: OneNode) -> str:
    """Return all that leaves the decisions of a node, with headers and bodies written out."""
    parts: list[str] = []
    for action in node.actions:
        parts.append(repr(action))
        request = _request_in(action)
        if request is not None:
            parts.append(repr(request.headers))
    return "\n".join(parts)


def tenant_counts(node: OneNode) -> list[tuple[str, str]]:
    """Return tenant and outcome of each count by tenant."""
    return [
        (dict(action.labels)["tenant"], dict(action.labels)["outcome"])
        for action in node.actions
        if isinstance(action, Count) and action.name == "tenant_requests_total"
    ]


def ended(node: OneNode) -> list[Log]:
    """Return the lines of requests that ended without being simply served."""
    return [
        action
        for action in node.actions
        if isinstance(action, Log) and action.message == "request_ended"
    ]


def _request_in(action: Action) -> OpaqueRequest | None:
    message = action.message if isinstance(action, SendToPeer) else action
    return getattr(message, "request", None)
