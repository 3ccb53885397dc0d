"""The budget of extra arrivals at a service, so that the sum over all nodes stays within bounds.

Every node may cause extra arrivals in a fixed ratio to its own requests, which needs no message
between nodes, and its part of a slack that all nodes share, for which it needs to know how many
they are. Source: retry budgets as in Finagle and the SRE book, chapter 21 ("Handling Overload").
"""

from dataclasses import dataclass, field

from ...routing.decaying_rate import DecayingRate

MOST_SAVED = 1.0
"""Extra arrivals earned by requests that can be saved up."""
SLACK_SHARE = 0.4
"""Part of the slack that is divided among the nodes: a window may hold a node's whole share twice,
saved up and granted anew, and nodes that start again begin with one."""

SAVING_NODES_SHARE = 0.5
"""Nodes, as a part of the slack, up to which each may save up one whole extra arrival."""

OWNERS_RESERVE = 1.4
"""Owners of a shard divide the slack by this many times their number. They make nearly all second
attempts, and with half of all answers lost they need more than an even part brings."""
STEP_IN_PACE = 0.25
"""Part of its share that a node gets anew where others own the shard: it steps in for one that is
lost, which happens now and then, so it may save up but needs no lasting part."""
EARNING_SECONDS = 2.0
"""Time constant of the rate at which requests earn: a caller that waits for the budget waits for
less, and a burst that is over earns nothing more."""


@dataclass(slots=True)
class ExtraRequestBudget:
    """Extra arrivals at one service that one node may cause.

    Parameters
    ----------
    ratio
        Extra arrivals for each request.
    slack
        Extra arrivals in a window that all nodes together may cause besides.
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
        """Take in a request for the service."""
        self._earning.add(self.ratio, now)
        self._earned = min(MOST_SAVED, self._earned + self.ratio)

    def spend(self, nodes: float, now: float, pace: float = 1.0) -> bool:
        """Take one extra arrival; ``False`` if the budget does not allow it.

        Parameters
        ----------
        nodes
            How many nodes share the slack.
        pace
            Part of its share that this node gets in a window, besides what it has saved up.
        """
        self._grant(self._share(nodes), self._most(nodes), pace, now)
        granted = self._granted or 0.0
        if self._earned + granted < 1.0:
            return False
        from_earned = min(self._earned, 1.0)
        self._earned -= from_earned
        self._granted = granted - (1.0 - from_earned)
        return True

    def next_at(self, nodes: float, now: float, pace: float = 1.0) -> float:
        """Return when one extra arrival may be taken, if as many requests come as lately.

        Infinity: none came, and without them it may never.
        """
        share = self._share(nodes)
        self._grant(share, self._most(nodes), pace, now)
        missing = 1.0 - self._earned - (self._granted or 0.0)
        if missing <= 0.0:
            return now
        earning = self._earning.per_second(now)
        if not earning and (self._earned + self._most(nodes) < 1.0 or not share):
            return float("inf")
        return now + missing / (earning + share * pace / self.window_seconds)

    def give_back(self) -> None:
        """Return an extra arrival that did not arrive."""
        self._earned = min(MOST_SAVED, self._earned + 1.0)

    def _share(self, nodes: float) -> float:
        return self.slack * SLACK_SHARE / max(1, nodes)

    def _most(self, nodes: float) -> float:
        # One whole arrival may be saved up, unless so many nodes could spend one each at once.
        is_few = nodes <= self.slack * SAVING_NODES_SHARE
        return max(self._share(nodes), 1.0) if is_few else self._share(nodes)

    def _grant(self, share: float, most: float, pace: float, now: float) -> None:
        if self._granted is None:
            self._granted = share
        else:
            fresh = share * pace * (now - self._granted_at) / self.window_seconds
            self._granted = min(most, self._granted + fresh)
        self._granted_at = now
