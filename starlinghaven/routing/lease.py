"""The lease on which copies in the process's own memory are served: news of purges, and how current it is.

Nothing but this process drops what is in its memory, so the absence of news says nothing. The change log
renews the lease by proving that it has nothing more to tell; a copy may be served until the first purge that
could have been missed counts as known.
"""

from __future__ import annotations

import math

from starlinghaven.decisions.purges import COUNTS_AS_KNOWN_MS

PAUSE_MS = 400.0  # between two turns of the engine; below the grace of a purge that lies unread meanwhile


class NewsLease:
    """What is known of purges, as of when. All times are milliseconds on the engine's clock."""

    def __init__(self) -> None:
        self.required = False  # there is, or was, a change log to follow
        self.current_to_ms = -math.inf  # everything that the log held by then has been applied
        self._complete_since_ms = -math.inf  # end of the last gap in the events
        self._paused_at_ms = -math.inf  # end of the last pause of the process
        self._turned_at_ms = -math.inf

    def require(self) -> None:
        """From now on copies are served only while the change log is heard."""
        self.required = True

    def renew(self, as_of_ms: float) -> None:
        """The log proved that all it held at this moment has been received."""
        self.current_to_ms = max(self.current_to_ms, as_of_ms)

    def miss(self, now_ms: float) -> None:
        """Events up to now are lost for good: only what is newer than now is known to be complete."""
        self._complete_since_ms = now_ms

    def turn(self, now_ms: float) -> bool:
        """Notes a turn of the engine; whether the process stood still before it."""
        paused = now_ms - self._turned_at_ms > PAUSE_MS and self._turned_at_ms > -math.inf
        if paused:
            self._paused_at_ms = now_ms
        self._turned_at_ms = now_ms
        return paused

    def lapsed(self, now_ms: float) -> bool:
        """Whether the log supports no copy: it has been silent, or is still being caught up with."""
        return self.required and (
            now_ms >= self.current_to_ms + COUNTS_AS_KNOWN_MS or self._catching_up(now_ms)
        )

    def _catching_up(self, now_ms: float) -> bool:
        """Whether purges may lie unread since the process stood still."""
        standing = now_ms - self._turned_at_ms > PAUSE_MS
        return standing or self.current_to_ms < self._paused_at_ms - PAUSE_MS

    def covers(self, valid_as_of_ms: float, now_ms: float) -> bool:
        """Whether a copy that no purge up to `valid_as_of_ms` concerns may be served now."""
        if not self.required:
            return True
        if self._catching_up(now_ms):
            return False
        complete = valid_as_of_ms >= self._complete_since_ms
        known_to_ms = max(valid_as_of_ms, self.current_to_ms if complete else -math.inf)
        return now_ms < known_to_ms + COUNTS_AS_KNOWN_MS
