"""How late this node takes in what has arrived.

A weak machine that is at work for another request reads the next one when it is done. By then a
part of its caller's time is over, which the request itself does not tell.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class LoopLag:
    """The lateness that was measured last.

    Parameters
    ----------
    seconds
        How late a timer fired, a fraction of a second ago.
    """

    seconds: float = 0.0
