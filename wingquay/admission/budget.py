"""A budget of extra work as a fixed ratio of the work that was asked for."""

from dataclasses import dataclass


@dataclass(slots=True)
class RatioBudget:
    """Each unit of asked work earns ``ratio`` units of extra work, kept up to ``burst``.

    Source: retry budgets as in Finagle and the SRE book, chapter 21 ("Handling Overload").
    """

    ratio: float
    burst: float
    available: float = -1.0

    def __post_init__(self) -> None:
        """Start full."""
        if self.available < 0.0:
            self.available = self.burst

    def earn(self, units: float = 1.0) -> None:
        """Take in ``units`` of asked work."""
        self.available = min(self.burst, self.available + units * self.ratio)

    def spend(self, units: float = 1.0) -> bool:
        """Take ``units`` of extra work; ``False`` if the budget does not allow it."""
        if self.available < units:
            return False
        self.available -= units
        return True
