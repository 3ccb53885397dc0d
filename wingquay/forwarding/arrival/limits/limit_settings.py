"""What the platform allows of a tenant's requests, and which way nodes go."""

from ....model.value import value

HOT_RATIO = 0.5
"""Part of the allowance from which on a tenant is hot. Below it, what arrives until all nodes know
(some 30 ms) would have to be another half to exceed the limit: 800 requests a second of a tenant of
50 in 5 s."""

ASK_FIRST_RATIO = HOT_RATIO
"""Part of the allowance from which on nodes ask before they begin a request; 0: always. Busy nodes
send less than half of the messages for it, and a caller of a calm tenant waits for nobody there."""


@value
class LimitSettings:
    """What the platform allows, and which way nodes go.

    Parameters
    ----------
    window_seconds, overage, slack
        Requests of a tenant that run in each window of that length: what its limit allows times one
        more than the second figure, plus the third, at most.
    ask_first_ratio
        Part of the allowance from which on nodes ask before they begin a request; 0: always.
    """

    window_seconds: float = 5.0
    overage: float = 0.0
    slack: float = 0.0
    ask_first_ratio: float = ASK_FIRST_RATIO
