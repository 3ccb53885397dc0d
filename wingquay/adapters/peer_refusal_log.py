"""Log lines about peers that were refused, bounded in number."""

from collections.abc import Callable

from ..ports.machine import Log, LogLevel

QUIET_SECONDS = 1.0
"""At most one line in this time; the next line tells how many were left out."""


class PeerRefusalLog:
    """Logs refusals; whoever can reach the port must not be able to flood the log."""

    def __init__(self, log: Callable[[Log], None]) -> None:
        self._log = log
        self._quiet_until = float("-inf")
        self._left_out = 0

    def refused(self, address: str, reason: str, now: float) -> None:
        """Log that the peer at ``address`` was refused at ``now`` (seconds)."""
        if now < self._quiet_until:
            self._left_out += 1
            return
        fields = (("address", address), ("reason", reason), ("left_out", self._left_out))
        self._log(Log("peer_refused", LogLevel.WARNING, fields))
        self._left_out = 0
        self._quiet_until = now + QUIET_SECONDS
