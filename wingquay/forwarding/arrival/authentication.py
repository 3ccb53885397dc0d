"""Finds the tenant of a request by its key.

A request with an unknown or revoked key is rejected before anything is sent for it.
"""

from dataclasses import replace

from ...model.tenants import Tenant, TenantDirectory
from ...ports.forwarding import ForwardFailureKind, ForwardRequested
from .admission import Rejected

NO_KEY = Rejected(ForwardFailureKind.UNKNOWN_CALLER, "the request contains no key, or several")
UNKNOWN_KEY = Rejected(
    ForwardFailureKind.UNKNOWN_CALLER, "the key in the request belongs to no tenant"
)


def authenticate(key: str, tenants: TenantDirectory) -> Tenant | Rejected:
    """Return the tenant that holds a key, or the reason why there is none."""
    if not key:
        return NO_KEY
    return tenants.find_by_key(key) or UNKNOWN_KEY


def strip_credentials(event: ForwardRequested) -> ForwardRequested:
    """Return the event without its key and without the caller's own statement of its tenant.

    Only this form is passed on, so replicas, other nodes and log lines never contain the key.
    """
    if not event.key and event.stripped_request is None:
        return event
    request = event.request if event.stripped_request is None else event.stripped_request
    return replace(event, request=request, key="", stripped_request=None)
