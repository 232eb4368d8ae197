"""Which purges are known: the latest of each object and group, in bounded memory."""

from __future__ import annotations

import math
from collections import OrderedDict

COUNTS_AS_KNOWN_MS = 7_000.0  # after a purge, whether it was heard or not (the platform's protocol page)

Name = str | int
"""An object's key, or a group's number."""


class PurgeTable:
    """The latest purge of each name. A purge that is forgotten raises `floor_ms`: it then stands for all.

    All times are milliseconds on the caller's monotonic clock.
    """

    def __init__(self, capacity: int, keep_ms: float) -> None:
        """Holds `capacity` names, each for `keep_ms` after its purge."""
        self._capacity, self._keep_ms = capacity, keep_ms
        self._purged_ms: OrderedDict[Name, float] = OrderedDict()
        self.floor_ms = -math.inf  # any object may have been purged up to this moment

    def record(self, name: Name, made_ms: float, now_ms: float) -> None:
        """Takes a purge; a name's earlier purge never replaces its later one."""
        earlier_ms = self._purged_ms.pop(name, -math.inf)
        self._purged_ms[name] = max(made_ms, earlier_ms)
        self._forget(now_ms)

    def _forget(self, now_ms: float) -> None:
        while self._purged_ms:
            oldest = next(iter(self._purged_ms))
            expired = self._purged_ms[oldest] < now_ms - self._keep_ms
            if len(self._purged_ms) <= self._capacity and not expired:
                return
            self.raise_floor(self._purged_ms.pop(oldest))

    def raise_floor(self, moment_ms: float) -> None:
        """From now on every object counts as purged at this moment."""
        self.floor_ms = max(self.floor_ms, moment_ms)

    def latest(self, key: str, group: int) -> float:
        """When the object or its group was purged last, as far as it is remembered; -inf for never."""
        return max(self._purged_ms.get(key, -math.inf), self._purged_ms.get(group, -math.inf))

    def latest_or_floor(self, key: str, group: int) -> float:
        """The latest moment up to which copies of the object may be void."""
        return max(self.latest(key, group), self.floor_ms)
