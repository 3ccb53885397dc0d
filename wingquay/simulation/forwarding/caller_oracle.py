"""Knows which tenant a key may stand for, and checks what replicas and callers are told."""

from collections.abc import Sequence

from ...model.routing_table import RoutingTable
from ...ports.forwarding import ForwardRequested, SendToReplica

SECRET_HEADERS = frozenset({b"authorization", b"tenant"})


def wrong_sending(
    event: ForwardRequested, send: SendToReplica, tables: Sequence[RoutingTable]
) -> str:
    """Return what is wrong with what a replica got; empty: nothing.

    Parameters
    ----------
    tables
        The configurations by one of which the request may have been decided.
    """
    allowed = {name for table in tables for name in _names(event, table)}
    if send.tenant not in allowed:
        return f"told {send.tenant!r}, which the key did not stand for"
    if not send.tenant and any(table.tenants is None for table in tables):
        return ""
    names = {name.lower() for name, _ in send.request.headers}
    return "" if names.isdisjoint(SECRET_HEADERS) else "passed on what says who calls"


def is_known_to_all(event: ForwardRequested, tables: Sequence[RoutingTable]) -> bool:
    """Whether every configuration lets a request run."""
    return bool(tables) and all(_names(event, table) for table in tables)


def _names(event: ForwardRequested, table: RoutingTable) -> tuple[str, ...]:
    """Return what replicas are told of who calls, if a configuration lets the request run."""
    route = table.find(event.host, event.path)
    if route is None:
        return ()
    if table.tenants is None or route.is_public:
        return ("",)
    holder = table.tenants.find_by_key(event.key)
    return () if holder is None else (holder.name,)
