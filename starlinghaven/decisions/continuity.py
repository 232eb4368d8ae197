"""What connections prove of a store's process: that it is still the one that was known before."""

from __future__ import annotations

import math


class ProcessContinuity:
    """The span in which one and the same process of a store surely ran. Times are ms on the caller's clock.

    A connection ends with the process that accepted it. An answer on it proves therefore that this process
    ran from when the connection came up until the request was written, at the least. An answer by way of
    another store proves nothing: that one may have connected anew.
    """

    __slots__ = ("since_ms", "until_ms")

    def __init__(self) -> None:
        self.since_ms = math.inf
        self.until_ms = -math.inf

    def answered(self, connected_ms: float, written_ms: float) -> None:
        """Takes an answer to a request of `written_ms` on a connection that was up at `connected_ms`."""
        until_ms = max(connected_ms, written_ms)
        if until_ms < self.since_ms < math.inf:
            return  # of a connection that ended before this span: what ran then may be gone
        if connected_ms > self.until_ms:
            self.since_ms = connected_ms
        else:
            self.since_ms = min(self.since_ms, connected_ms)
        self.until_ms = max(self.until_ms, until_ms)

    def latest_start(self, after_ms: float, until_ms: float) -> float:
        """The latest moment in (`after_ms`, `until_ms`] at which another process may have started.

        -inf where none can have: the same process ran all the time.
        """
        if self.until_ms < until_ms:
            return until_ms
        if self.since_ms <= after_ms:
            return -math.inf
        return min(self.since_ms, until_ms)
