"""What one proxy sees of its own requests, between two reports. No I/O, no clock of its own."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from starlinghaven.spread.codec import Report, Seen, cache_id, key_id

MOST_CACHES = 512  # caches held at once


class _Cache:
    __slots__ = ("sent", "out", "since", "area", "served", "failed")

    def __init__(self, now: float) -> None:
        self.sent, self.out, self.since = 0, 0, now
        self.area = 0.0  # requests out x ms
        self.served = self.failed = 0

    def tick(self, now: float) -> None:
        self.area += self.out * max(now - self.since, 0.0)
        self.since = max(now, self.since)


class Evidence:
    """What was sent, is out, was served and failed, by cache; and a sample of the objects asked for."""

    def __init__(self, random: Random, now: float, keys: int) -> None:
        """`keys` objects are drawn evenly from all that were asked for (reservoir sampling, Vitter 1985)."""
        self._random, self._most = random, keys
        self._caches: OrderedDict[str, _Cache] = OrderedDict()
        self._keys: list[int] = []
        self._asked = self._total = 0
        self._began = now

    def asked(self, key: str) -> None:
        """A client asked for an object that caches may hold."""
        self._asked += 1
        if len(self._keys) < self._most:
            self._keys.append(key_id(key))
        elif (place := self._random.randrange(self._asked)) < self._most:
            self._keys[place] = key_id(key)

    def sent(self, store: str, now: float) -> None:
        """An attempt went to a cache."""
        cache = self._caches.get(store)
        if cache is None:
            cache = self._caches[store] = _Cache(now)
            if len(self._caches) > MOST_CACHES:
                self._caches.popitem(last=False)
        cache.tick(now)
        cache.sent += 1
        cache.out += 1
        self._total += 1

    def ended(self, store: str, served: bool | None, now: float) -> None:
        """An attempt ended: it was served or it failed, or (None) its end tells nothing of the cache."""
        cache = self._caches.get(store)
        if cache is not None:
            cache.tick(now)
            cache.out = max(cache.out - 1, 0)
            cache.served += served is True
            cache.failed += served is False

    def take(self, now: float, most: int, split: int) -> Report:
        """A report on all since the last one; beyond `most` caches those whose hash with `split` is least."""
        window = max(now - self._began, 1.0)
        rows = []
        for store, cache in list(self._caches.items()):
            cache.tick(now)
            if cache.sent or cache.area:
                held = cache.area / window
                rows.append(Seen(cache_id(store), cache.sent, held, cache.served, cache.failed))
            if cache.out:
                cache.sent, cache.area, cache.served, cache.failed = 0, 0.0, 0, 0
            else:
                del self._caches[store]
        covered = min(1.0, most / len(rows)) if rows else 1.0
        if covered < 1.0:
            rows = sorted(rows, key=lambda r: (r.cache * 40_503 ^ split * 60_493) % 65_521)[:most]
        report = Report(round(window), self._total, covered, tuple(rows), tuple(self._keys))
        self._keys, self._asked, self._total, self._began = [], 0, 0, now
        return report
