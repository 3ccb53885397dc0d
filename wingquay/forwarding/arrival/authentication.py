"""Tells who calls by the key that is shown.

Answers the failure that a key which nobody holds, or no longer holds, has a request run. A caller
whose key is unknown hears so at once, with nothing run for it: it would be turned away again.
"""

from dataclasses import replace

from ...model.tenants import Tenant, TenantDirectory
from ...ports.forwarding import ForwardFailureKind, ForwardRequested
from .admission import Rejected

NO_KEY = Rejected(ForwardFailureKind.UNKNOWN_CALLER, "the request shows no key, or several")
UNKNOWN_KEY = Rejected(ForwardFailureKind.UNKNOWN_CALLER, "no tenant holds the key that is shown")


def authenticate(key: str, tenants: TenantDirectory) -> Tenant | Rejected:
    """Return the tenant that holds a key, or why there is none."""
    if not key:
        return NO_KEY
    return tenants.find_by_key(key) or UNKNOWN_KEY


def strip_credentials(event: ForwardRequested) -> ForwardRequested:
    """Return an arrival without its secret and without what its caller says of its tenant.

    Everything behind authentication gets this one: replicas, other nodes and log lines have nothing
    from which they could tell the key.
    """
    if not event.key and event.stripped_request is None:
        return event
    request = event.request if event.stripped_request is None else event.stripped_request
    return replace(event, request=request, key="", stripped_request=None)
