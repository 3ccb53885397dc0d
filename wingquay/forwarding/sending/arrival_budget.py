"""The budget of extra arrivals at a service, so that the sum over all nodes stays within bounds.

Every node may cause extra arrivals in a fixed ratio to its own requests, which needs no message
between nodes, and its part of a slack that all nodes share, for which it needs to know how many
they are. Source: retry budgets as in Finagle and the SRE book, chapter 21 ("Handling Overload").
"""

from dataclasses import dataclass

MOST_SAVED = 1.0
"""Extra arrivals earned by requests that can be saved up."""
SLACK_SHARE = 0.4
"""Part of the slack that is divided among the nodes: a window may hold a node's whole share twice,
saved up and granted anew, and nodes that start again begin with one."""

SAVING_NODES_SHARE = 0.5
"""Nodes, as a part of the slack, up to which each may save up one whole extra arrival."""


@dataclass(slots=True)
class ArrivalBudget:
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
    _granted: float | None = None
    _granted_at: float = 0.0

    def earn(self) -> None:
        """Take in a request for the service."""
        self._earned = min(MOST_SAVED, self._earned + self.ratio)

    def spend(self, nodes: int, now: float) -> bool:
        """Take one extra arrival; ``False`` if the budget does not allow it.

        Parameters
        ----------
        nodes
            How many nodes share the slack.
        """
        self._grant(self._share(nodes), self._most(nodes), now)
        granted = self._granted or 0.0
        if self._earned + granted < 1.0:
            return False
        from_earned = min(self._earned, 1.0)
        self._earned -= from_earned
        self._granted = granted - (1.0 - from_earned)
        return True

    def next_at(self, nodes: int, now: float) -> float:
        """Return when one extra arrival may be taken; infinity: not before a request earns it."""
        share = self._share(nodes)
        self._grant(share, self._most(nodes), now)
        missing = 1.0 - self._earned - (self._granted or 0.0)
        if missing <= 0.0:
            return now
        if self._earned + self._most(nodes) < 1.0 or not share:
            return float("inf")
        return now + missing * self.window_seconds / share

    def give_back(self) -> None:
        """Return an extra arrival that did not arrive."""
        self._earned = min(MOST_SAVED, self._earned + 1.0)

    def _share(self, nodes: int) -> float:
        return self.slack * SLACK_SHARE / max(1, nodes)

    def _most(self, nodes: int) -> float:
        # One whole arrival may be saved up, unless so many nodes could spend one each at once.
        is_few = nodes <= self.slack * SAVING_NODES_SHARE
        return max(self._share(nodes), 1.0) if is_few else self._share(nodes)

    def _grant(self, share: float, most: float, now: float) -> None:
        if self._granted is None:
            self._granted = share
        else:
            fresh = share * (now - self._granted_at) / self.window_seconds
            self._granted = min(most, self._granted + fresh)
        self._granted_at = now
