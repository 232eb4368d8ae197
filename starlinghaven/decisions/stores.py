"""What one proxy knows of one store: its line in the list, its load, its health and its cold budget."""

from __future__ import annotations

import math
from collections import deque

from starlinghaven import interface as i
from starlinghaven.decisions.continuity import ProcessContinuity

GRAVE = 0.35  # weight of an outcome that only a sick store gives
SICK = 0.5  # share of bad outcomes from which a store is stepped over
REST_MS = 500.0  # that a store rests at first
FILL_SHARE = 0.3  # part of the good answers that came by way of the source, where no note tells


class StoreState:
    """State of a listed store since its last start. Times are milliseconds."""

    __slots__ = (
        *("m", "out", "lent", "others", "busy", "hits", "reported_at", "bad", "failed_at", "until", "rest"),
        *("spent", "total", "free_at", "heard", "named", "share", "up", "lost", "unreached_at"),
        *("continuity", "proved_at"),
    )

    def __init__(self, member: i.Member) -> None:
        self.m = member
        self.out = 0  # own attempts out
        self.lent = 0  # own attempts out elsewhere that name it as source
        self.others, self.reported_at = 0.0, -math.inf  # requests held for other proxies, and when reported
        self.hits, self.heard = 1 - FILL_SHARE, -math.inf  # share of hits, lately, and when reported
        self.busy = 1.0  # share of the requests held that keep it busy, the rest waits for fills
        self.bad, self.failed_at, self.until, self.rest = 0.0, -math.inf, -math.inf, REST_MS
        self.named = 0  # other proxies that call it silent, less those that say it serves
        self.up = False  # its last attempt was answered, so a connection to it is up
        self.lost = False  # it could not be reached since it last worked
        self.unreached_at = -math.inf  # when no connection to it came up last
        self.continuity = ProcessContinuity()
        self.proved_at = -math.inf  # end of the last gap in the news over which it was the same process
        self.share = 1.0  # weight in the hash that all proxies together found
        self.spent: deque[tuple[float, float]] = deque()  # cold budget: when and how much
        self.total = 0.0
        self.free_at = -math.inf  # where a share is less than a request: when the next may be sent

    def failed(self, weight: float, now: float) -> None:
        """A bad outcome of this weight, 0 to 1."""
        self.bad, self.failed_at = self.bad + weight * (1.0 - self.bad), now
        self.lost = self.lost or weight >= GRAVE

    def worked(self, weight: float) -> None:
        """A good outcome of this weight; it ends a rest once little blame is left."""
        self.bad, self.lost = self.bad - weight * self.bad, False
        if self.bad < SICK / 2:
            self.rest, self.until = REST_MS, -math.inf
