"""Callers with keys, and fakes for the proof of the configuration and the tenant limits."""

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
    """Return a configuration with tenants."""
    return replace(configuration, tenants=TenantDirectory(tenants))


class FakeProof:
    """A proof whose results are set by the test."""

    def __init__(self) -> None:
        self.proven = True
        self.seconds = 0.7

    def is_proven(self, _now: float) -> bool:
        """Return the result set by the test."""
        return self.proven

    def retry_after_seconds(self, _now: float) -> float:
        """Return the time set by the test."""
        return self.seconds


class FakeLimits:
    """Limits whose decision is set by the test; records all calls."""

    def __init__(self, answer: Admitted | Rejected | AwaitsLimit = ADMITTED) -> None:
        self.answer = answer
        self.admit_calls: list[tuple[str, int]] = []
        self.given_back: list[tuple[str, int]] = []

    def admit(
        self, tenant: Tenant, exchange_id: int, _now: float
    ) -> Admitted | Rejected | AwaitsLimit:
        """Record the call; return the decision set by the test."""
        self.admit_calls.append((tenant.name, exchange_id))
        return self.answer

    def give_back(self, tenant: Tenant, exchange_id: int, _now: float) -> None:
        """Record the call."""
        self.given_back.append((tenant.name, exchange_id))


def send_request(
    node: OneNode,
    number: int,
    key: str = "",
    path: str = "/one/x",
    forged_tenant: str = "",
    deadline_seconds: float | None = 2.0,
) -> int:
    """Send a request as the platform adapter passes it on; return its number."""
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


def output_without_replies(node: OneNode) -> str:
    """Return all actions of a node except replies as text, including headers and bodies."""
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


def request_ended_lines(node: OneNode) -> list[Log]:
    """Return the log lines of requests that ended without a normal reply."""
    return [
        action
        for action in node.actions
        if isinstance(action, Log) and action.message == "request_ended"
    ]


def _request_in(action: Action) -> OpaqueRequest | None:
    message = action.message if isinstance(action, SendToPeer) else action
    return getattr(message, "request", None)
