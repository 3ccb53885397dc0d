"""Token budget that limits extra work to a ratio of the regular work."""

from dataclasses import dataclass


@dataclass(slots=True)
class RatioBudget:
    """Budget in which each unit of regular work earns ``ratio`` units of extra work.

    Follows the retry budgets of Finagle and of the SRE book, chapter 21 ("Handling Overload").

    Parameters
    ----------
    ratio
        Units of extra work earned by one unit of regular work.
    burst
        Maximum number of units the budget holds.
    available
        Units that can be spent now; a negative initial value starts with a full budget.
    """

    ratio: float
    burst: float
    available: float = -1.0

    def __post_init__(self) -> None:
        """Fill the budget unless an initial value was given."""
        if self.available < 0.0:
            self.available = self.burst

    def earn(self, units: float = 1.0) -> None:
        """Add the extra work earned by ``units`` of regular work."""
        self.available = min(self.burst, self.available + units * self.ratio)

    def spend(self, units: float = 1.0) -> bool:
        """Spend ``units`` of extra work; return ``False`` if too few are available."""
        if self.available < units:
            return False
        self.available -= units
        return True
