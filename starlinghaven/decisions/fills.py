"""How fills fare: those asked for and those in time, and the load of the location's one link for them."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_MS = 6_000.0  # that a load report is believed
REPORT_STEP = 0.2  # weight of one report at most: each is a noisy moment, and all proxies act on it
REPORT_TAU_MS = 2_000.0  # over which reports are averaged: they lag, and all proxies act on them
FILLS_PER_TIMELY = 2.0  # fills asked for, at most, for each that comes in time
FILLS_MS = 5_000.0  # over which both are counted


def report_weight(since_ms: float) -> float:
    """Weight of a load report, by the time since the last one."""
    if since_ms >= REPORT_MS:
        return 1.0
    return min(1.0 - math.exp(-since_ms / REPORT_TAU_MS), REPORT_STEP)


class FillCounts:
    """Fills asked for and fills in time, both fading. Times are milliseconds."""

    def __init__(self, now: float) -> None:
        self.asked = self.timely = 0.0
        self._counted_at = now

    def count(self, timely: float, hits: float, now: float) -> None:
        """Takes one answer: 1 if in time, and the share of such answers that need no fill."""
        fade = math.exp((self._counted_at - now) / FILLS_MS)
        self.asked = self.asked * fade + 1 - hits
        self.timely = self.timely * fade + timely - hits
        self._counted_at = now

    @property
    def surplus(self) -> float:
        """The share of further fills to leave out, so that they stay in proportion to those in time."""
        return (self.asked - FILLS_PER_TIMELY * max(self.timely, 0.5)) / (self.asked + 1)


@dataclass(slots=True)
class FillLink:
    """Reported load of the location's link in: transfers over those that fit at full pace."""

    load: float = 0.0
    reported_at: float = -math.inf

    def report(self, load: float, now: float) -> None:
        """Takes a report into the average."""
        self.load += report_weight(now - self.reported_at) * (load - self.load)
        self.reported_at = now

    def over(self, bound: float, now: float) -> bool:
        """Whether the link is known to be loaded beyond a bound."""
        return now - self.reported_at < REPORT_MS and self.load > bound
