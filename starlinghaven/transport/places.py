"""How many connections a listener holds at once: fewer while descriptors are short, and all again later."""

from __future__ import annotations

import math

SPARED = 16  # descriptors left to others once they ran out before the places did
LEAST = 8  # places that a shortage leaves
EPISODE_S = 0.2  # between two failures of one shortage, at most
RETURN_S, MOST_RETURN_S = 1.0, 8.0  # after a shortage, until all places are back; doubled while they recur


class Places:
    """A limit that falls in a shortage and returns with time. Times are seconds on any steady clock."""

    def __init__(self, configured: int) -> None:
        self._configured = configured
        self._reduced = configured
        self._short_at = -math.inf
        self._return_s = RETURN_S

    @property
    def whole(self) -> bool:
        """Whether all places are there."""
        return self._reduced == self._configured

    def limit(self, now: float) -> int:
        """The places there are at this moment."""
        if now - self._short_at >= self._return_s:
            self._reduced = self._configured
        return self._reduced

    def shortage(self, held: int, now: float) -> None:
        """Descriptors ran out while so many connections were held."""
        before = self.limit(now)
        since = now - self._short_at
        if since >= 2 * self._return_s:
            self._return_s = RETURN_S
        elif since >= EPISODE_S:
            self._return_s = min(2 * self._return_s, MOST_RETURN_S)
        if held <= before:  # else what an earlier shortage took away is not given back yet
            spared = max((held - SPARED) * 4 // 5, held // 2)
            before = min(before, spared)
        self._reduced = min(max(before, LEAST), self._configured)
        self._short_at = now
