"""Whether a node is held to rules that carry a bound on time."""

from ..ledger import Ledger, SpanKind
from ..settings import Bounds

NODE_TROUBLE = frozenset({SpanKind.KILL, SpanKind.FREEZE, SpanKind.START, SpanKind.STOP})
UNPLANNED = frozenset({SpanKind.KILL, SpanKind.FREEZE})
STORE_TROUBLE = frozenset({SpanKind.STORE, SpanKind.RESTORED, SpanKind.LINK})
INEXACT = frozenset({SpanKind.LAG})


def is_in_touch(ledger: Ledger, bounds: Bounds, node: str, begun: float, ended: float) -> bool:
    """Return whether a node was undisturbed from a while before a span until its end.

    The way to the store and the store itself count as well, and so does the lateness of the soak.
    """
    since = begun - bounds.contact_seconds
    kinds = NODE_TROUBLE | STORE_TROUBLE | INEXACT
    return since >= ledger.began_at and not ledger.spans_of(kinds, node, since, ended)
