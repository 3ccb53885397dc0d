"""Budget of extra requests to a service, which bounds their sum over all nodes.

An extra request is a retry or hedge, which may reach a service in addition to a request's first
attempt. Every node may send extra requests in a fixed ratio to its own requests, and its share of a
slack that all nodes divide. Source: retry budgets as in Finagle and the SRE book, chapter 21
("Handling Overload").
"""

from dataclasses import dataclass, field

from ...routing.decaying_rate import DecayingRate

MAX_SAVED = 1.0
"""Maximum number of extra requests, earned by requests, that can be saved up."""
SLACK_SHARE = 0.4
"""Fraction of the slack that is divided among the nodes. A node may use its share twice in one
window, once saved up and once refilled, and restarted nodes start with a full share."""

MAX_SAVING_NODES_RATIO = 0.5
"""Each node may save up one extra request if there are at most this fraction of ``slack`` nodes."""

OWNERS_SLACK_DIVISOR = 1.4
"""Owners of a shard divide the slack by their number times this factor. They send most of the extra
requests, so they need more than an equal share."""
TAKEOVER_REFILL_SHARE = 0.25
"""Fraction of its share that a node regains per window where other nodes own the shard. It sends
extra requests only when it takes over from a lost owner, so it may save up but needs few."""
EARNING_SECONDS = 2.0
"""Time constant of the rate at which requests earn extra requests. A caller that waits for the
budget waits for less, and a burst that is over earns nothing more."""


@dataclass(slots=True)
class ExtraRequestBudget:
    """Extra requests to one service that this node may send.

    Parameters
    ----------
    ratio
        Extra requests for each request.
    slack
        Further extra requests that all nodes together may send in a window.
    window_seconds
        Length of the window.
    """

    ratio: float
    slack: float
    window_seconds: float
    _earned: float = 0.0
    _earning: DecayingRate = field(default_factory=lambda: DecayingRate(EARNING_SECONDS))
    _granted: float | None = None
    _granted_at: float = 0.0

    def earn(self, now: float) -> None:
        """Add the extra requests that a request for the service earns."""
        self._earning.add(self.ratio, now)
        self._earned = min(MAX_SAVED, self._earned + self.ratio)

    def spend(self, nodes: float, now: float, refill_share: float = 1.0) -> bool:
        """Take one extra request; return ``False`` if the budget is exhausted.

        Parameters
        ----------
        nodes
            Number of nodes that divide the slack.
        refill_share
            Fraction of its share that this node regains per window, 0 to 1.
        """
        self._refill(self._quota(nodes), self._max_granted(nodes), refill_share, now)
        granted = self._granted or 0.0
        if self._earned + granted < 1.0:
            return False
        from_earned = min(self._earned, 1.0)
        self._earned -= from_earned
        self._granted = granted - (1.0 - from_earned)
        return True

    def extra_request_at(self, nodes: float, now: float, refill_share: float = 1.0) -> float:
        """Refill the budget and return when an extra request is available.

        Assumes that requests arrive at the current rate.

        Infinity if no requests arrive and the budget can't recover without them.
        """
        quota = self._quota(nodes)
        self._refill(quota, self._max_granted(nodes), refill_share, now)
        missing = 1.0 - self._earned - (self._granted or 0.0)
        if missing <= 0.0:
            return now
        earning = self._earning.per_second(now)
        if not earning and (self._earned + self._max_granted(nodes) < 1.0 or not quota):
            return float("inf")
        return now + missing / (earning + quota * refill_share / self.window_seconds)

    def refund(self) -> None:
        """Return an extra request that was not delivered to a replica."""
        self._earned = min(MAX_SAVED, self._earned + 1.0)

    def _quota(self, nodes: float) -> float:
        return self.slack * SLACK_SHARE / max(1, nodes)

    def _max_granted(self, nodes: float) -> float:
        # A node may save up one extra request unless there are so many nodes that all of them
        # spending one at the same time would exceed the slack.
        is_few = nodes <= self.slack * MAX_SAVING_NODES_RATIO
        return max(self._quota(nodes), 1.0) if is_few else self._quota(nodes)

    def _refill(self, quota: float, max_granted: float, refill_share: float, now: float) -> None:
        if self._granted is None:
            self._granted = quota
        else:
            refilled = quota * refill_share * (now - self._granted_at) / self.window_seconds
            self._granted = min(max_granted, self._granted + refilled)
        self._granted_at = now
