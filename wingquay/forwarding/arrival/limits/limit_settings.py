"""Settings of the tenant limits."""

from ....model.value import value

HOT_RATIO = 0.5
"""Share of the allowance at which a tenant becomes hot. It leaves capacity for the requests that
arrive before all nodes are notified."""

ASK_FIRST_RATIO = HOT_RATIO
"""Share of the allowance at which nodes need a permit before they start a request; 0 means always.
A caller of a tenant below it waits for no owner, and busy nodes send less than half of the
messages."""


@value
class LimitSettings:
    """The bound on a tenant's requests and when nodes need a permit first.

    Parameters
    ----------
    window_seconds, overage, slack
        At most ``allowance * (1 + overage) + slack`` requests of a tenant run in each window of
        this length, where the allowance follows from the tenant's limit.
    ask_first_ratio
        Share of the allowance at which nodes need a permit before they start a request, at most
        ``HOT_RATIO``; 0 means always.
    """

    window_seconds: float = 5.0
    overage: float = 0.0
    slack: float = 0.0
    ask_first_ratio: float = ASK_FIRST_RATIO
