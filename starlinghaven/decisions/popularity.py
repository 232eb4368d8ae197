"""Popularity tiers (Adapt-L): which objects are gold, silver or bronze, by counted requests."""

from __future__ import annotations

from heapq import nlargest, nsmallest
from random import Random

HALVE_MS = 30_000.0  # between halvings of the counts: a proxy counts few first parts a second
GOLD = 8  # objects in gold (T1 of the source); cooled gold keeps its rank, so few
GOLD_EVERY_MS = 500.0  # between two rankings of the counts; ranks move slower than this
GOLD_FROM = 5.0  # counted requests of a gold object, so that proxies agree and chance makes none
KEPT_FROM = 2.0  # counted requests from which an object is silver, not bronze
KNOWN_STEP = 0.02  # weight of one request in the share of requests whose object was counted before
GOLD_RANK, SILVER_RANK, UNKEPT = 3, 1, 0


class Popularity:
    """Counts requests per object in a bounded table that is halved now and then. Times are milliseconds."""

    def __init__(self, random: Random, now: float, most: int) -> None:
        """Counts `most` objects at most."""
        self._random, self._most = random, most
        self.counts: dict[str, float] = {}
        self.gold: dict[str, int] = {}  # object -> turn among its homes
        self._known = 0.0  # share of requests whose object was counted before, lately
        self._halved_at = self._ranked_at = now

    def age(self, now: float) -> None:
        """Halves the counts when their time has come."""
        if now - self._halved_at >= HALVE_MS:
            self._halved_at = now
            self.counts = {key: n / 2 for key, n in self.counts.items() if n > 0.5}

    def count(self, key: str, first_part: bool, now: float) -> None:
        """Takes a request. Only first parts count, so an object weighs the same however many parts it has."""
        self._known += KNOWN_STEP * ((key in self.counts) - self._known)
        if first_part:
            self._make_room(key)
            self.counts[key] = self.counts.get(key, 0.0) + 1
        if now - self._ranked_at >= GOLD_EVERY_MS:
            self._ranked_at = now
            best = nlargest(GOLD, self.counts, key=self.counts.__getitem__)
            self.gold = {k: self.gold.get(k, 0) for k in best if self.counts[k] >= GOLD_FROM}

    def _make_room(self, key: str) -> None:
        """Drops the lowest counts where the table is full; many at a time, so that the search is rare."""
        if key not in self.counts and len(self.counts) >= self._most:
            for low in nsmallest(self._most // 16 + 1, self.counts, key=self.counts.__getitem__):
                del self.counts[low]

    def rank(self, key: str, hot: bool) -> int:
        """The rank at which copies of an object are kept; `hot` if the whole fleet found it so.

        An unseen object is bronze as surely as counts know what is asked for: one of many proxies, or one
        just started, has seen little, and what is new to it is mostly not rare.
        """
        if key in self.gold or hot:
            return GOLD_RANK
        if self.counts.get(key, 0.0) >= KEPT_FROM or self._random.random() >= self._known:
            return SILVER_RANK
        return UNKEPT

    def next_turn(self, key: str) -> int:
        """Whose turn it is among the homes of a gold object."""
        self.gold[key] += 1
        return self.gold[key]
