"""Lag of the event loop.

A busy machine reads a request some time after it arrived. That delay uses up part of the request's
deadline but is not visible in the request itself.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class LoopLag:
    """The latest event loop lag, measured by the lag timer.

    Parameters
    ----------
    seconds
        How late the latest lag timer fired.
    """

    seconds: float = 0.0
