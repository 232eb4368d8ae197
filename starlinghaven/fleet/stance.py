"""How a proxy stands to its fleet, and what follows from it. No I/O, no clock of its own.

    STARTED   just started: little was heard yet
    WHOLE     every member is there, or has left
    PARTIAL   a majority is there, some are not
    CUT_OFF   no majority is heard, or nobody at all

What follows is told by `Permits`. The rule behind all of it: doubt never gives a proxy more to do. A
failed member can't be told from one that is cut off and goes on serving, so it keeps its share of every
budget; only one that has left, and long enough ago, gives its share to the others (docs/fleet.md).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from starlinghaven.fleet.codec import Status
from starlinghaven.fleet.members import Member
from starlinghaven.fleet.settings import Limits


class Stance(Enum):
    STARTED = "started"
    WHOLE = "whole"
    PARTIAL = "partial"
    CUT_OFF = "cut off"


@dataclass(frozen=True, slots=True)
class Permits:
    """What a proxy may do as it stands."""

    fleet_tasks: bool  # work that is done once for the whole fleet
    news: bool  # whether others' word is weighed at all; else only the own evidence counts
    sharers: int  # by how many a budget of the whole fleet is divided


class Standing:
    """Follows one proxy's stance. Feed `look` the member table now and then."""

    def __init__(self, limits: Limits, now: float) -> None:
        self._limits, self._started_at = limits, now
        self.stance, self.since = Stance.STARTED, now
        self._back_since = math.inf  # when a majority was there again, after being cut off

    def look(self, members: Sequence[Member], heard_at: float, now: float) -> Stance:
        """The stance now. `heard_at` is when any datagram came last; times in ms."""
        seen = self._seen(members, heard_at, now)
        if self.stance is Stance.CUT_OFF and seen is not Stance.CUT_OFF:
            # A majority that comes and goes is none: only one that holds is believed.
            self._back_since = min(self._back_since, now)
            if now - self._back_since < self._limits.hold_ms:
                seen = Stance.CUT_OFF
        if seen is Stance.CUT_OFF and not self._majority(members):
            self._back_since = math.inf
        if seen is not self.stance:
            self.stance, self.since = seen, now
        return seen

    def _seen(self, members: Sequence[Member], heard_at: float, now: float) -> Stance:
        if len(members) < 2:
            return Stance.WHOLE
        young = now - self._started_at < self._limits.settle_ms
        if not self._majority(members) or now - heard_at > self._limits.silence_ms:
            return Stance.STARTED if young and self.stance is Stance.STARTED else Stance.CUT_OFF
        fine = all(m.status in (Status.ALIVE, Status.LEFT) for m in members)
        return Stance.WHOLE if fine else Stance.PARTIAL

    @staticmethod
    def _majority(members: Sequence[Member]) -> bool:
        """Whether more than half of all that are configured, itself included, are there for sure.

        Counted over the whole list, not over those that are left: two parts can't both have it.
        """
        return 2 * sum(m.status is Status.ALIVE for m in members) > len(members)

    def permits(self, members: Sequence[Member], now: float) -> Permits:
        """What follows from the stance that `look` gave last."""
        sure = self.stance in (Stance.WHOLE, Stance.PARTIAL)
        given = sum(m.status is Status.LEFT and now - m.since >= self._limits.leave_slack_ms for m in members)
        return Permits(fleet_tasks=sure, news=sure, sharers=len(members) - (given if sure else 0))
