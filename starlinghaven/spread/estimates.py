"""From many proxies' reports to estimates for each cache, and from these to shares. No I/O, no clock.

Estimates are robust to a few lying or stuck reporters: what one says of a cache counts with at most CAP times
what the busy tenth says of it.

The speed of a cache is what it serves over what it works on: `served / min(held, capacity)`. By Little's law
(1961) that is one over its sending time while it has places free, and what it can send at most while it has
not; so a cache that gets too much does not look slow, as it would by the time of its answers, and one that
errs at once does not look fast.

Shares are weights of rendezvous hashing: lowering one by a tenth passes a tenth of that cache's objects on,
each to the next in its own order, the same at every proxy. What moves is the excess over the bound, as in
Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads" (SODA 2018), but by objects and not
by requests: copies stay few.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from starlinghaven.spread.codec import Report
from starlinghaven.spread.settings import Limits

CAP = 2.0  # times what the busy tenth says that one reporter counts with at most
MOST_KEYS = 2_048  # objects counted at once
LEAST_ENDED = 1.0  # ended requests a second from which a cache's speed can be told
BACK = 2.0  # times that the speed of a cache with less than that rises from one table to the next
HOT_BAND = 0.25  # change of an object's homes, as a part of them, up to which it keeps those it has
MOST_OFF = 8.0  # times that a cache may draw less than the mean, for all that its demand says
LEAST_KEYS = 8.0  # samples of an object from which it can be hot: chance makes none


@dataclass(frozen=True, slots=True)
class Load:
    """What is estimated of one cache, over all proxies together."""

    rate: float  # requests a second
    held: float  # requests out there
    served: float  # requests a second that it answered with what was asked for
    failed: float  # and that it did not


def clipped_sum(values: Sequence[float]) -> float:
    """The sum, in which no value counts for more than CAP times the one at nine tenths."""
    if not values:
        return 0.0
    most = CAP * sorted(values)[min(int(0.9 * len(values)), len(values) - 1)]
    return sum(min(v, most) for v in values)


class Estimates:
    """The reports of one zone, added up at one publisher."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._reports: dict[int, tuple[float, Report]] = {}  # the latest of each reporter, and when it came
        self._loads: dict[int, Load] = {}  # averaged, by cache
        self._averaged_at = -math.inf
        self._keys: dict[int, float] = {}
        self._asked, self._faded_at = 0.0, -math.inf
        self._wide: dict[int, int] = {}  # homes of hot objects, as found last
        self._most = math.inf  # requests a ms that one reporter counts with

    def take(self, reporter: int, report: Report, now: float) -> None:
        """A report has come. A reporter's later one replaces its earlier one."""
        self._reports[reporter] = (now, report)
        if report.keys:
            self._fade(now)
            each = report.total / len(report.keys) * self._credit(report)
            self._asked += each * len(report.keys)
            for key in report.keys:
                self._keys[key] = self._keys.get(key, 0.0) + each
            if len(self._keys) > MOST_KEYS:
                for low in sorted(self._keys, key=self._keys.__getitem__)[: MOST_KEYS // 4]:
                    del self._keys[low]

    def reporters(self, now: float) -> int:
        """How many proxies told something lately."""
        for reporter in [r for r, (at, _) in self._reports.items() if now - at > self._limits.believed_ms]:
            del self._reports[reporter]
        return len(self._reports)

    def seen(self) -> frozenset[int]:
        """All caches that anybody told of lately."""
        return frozenset(s.cache for _, report in self._reports.values() for s in report.caches)

    def loads(self, caches: Collection[int], now: float) -> dict[int, Load]:
        """Estimates for these caches; a cache of which nobody tells carries nothing."""
        self.reporters(now)
        totals = sorted(r.total / r.window_ms for _, r in self._reports.values())
        self._most = CAP * totals[min(int(0.9 * len(totals)), len(totals) - 1)] if totals else math.inf
        said: dict[int, list[tuple[float, ...]]] = {c: [] for c in caches}
        for _, report in self._reports.values():
            a_second = 1000 / report.window_ms / report.covered
            for s in report.caches:
                if s.cache in said:
                    ends = s.served * a_second, s.failed * a_second
                    said[s.cache].append((s.sent * a_second, s.held / report.covered, *ends))
        since, self._averaged_at = now - self._averaged_at, now
        step = 1 - math.exp(-since / self._limits.load_tau_ms)
        before, self._loads = self._loads, {}
        for cache, told in said.items():
            new = [clipped_sum(v) for v in zip(*told, strict=True)] if told else [0.0] * 4
            old = before.get(cache)
            was = (old.rate, old.held, old.served, old.failed) if old else new
            self._loads[cache] = Load(*(w + step * (n - w) for w, n in zip(was, new, strict=True)))
        return self._loads

    def hot(self, caches: int, now: float) -> list[tuple[int, int]]:
        """Objects that would bring too much to one home, and over how many homes each is to be spread."""
        self._fade(now)
        if not self._asked:
            return []
        found = []
        # What one sample stands for: an object needs LEAST_KEYS of them.
        least = LEAST_KEYS * max(self._asked / max(self._samples(), 1.0), 1.0)
        for key, n in self._keys.items():
            wide = math.ceil(n / self._asked * caches / self._limits.hot_share)
            if abs(wide - (old := self._wide.get(key, 0))) <= HOT_BAND * old:
                wide = old  # counts are noisy, and each home that comes or goes costs a fill
            if wide >= 2 and n >= least:
                found.append((n, key, min(wide, caches, 255)))
        found.sort(reverse=True)
        self._wide = {key: wide for _, key, wide in found}
        return [(key, wide) for _, key, wide in found[: self._limits.hot_most]]

    def _samples(self) -> float:
        """How many samples the counts rest on, about."""
        each = [len(r.keys) for _, r in self._reports.values()]
        window = max((r.window_ms for _, r in self._reports.values()), default=1)
        return sum(each) * self._limits.hot_tau_ms / window if each else 0.0

    def _credit(self, report: Report) -> float:
        """Less than 1 for a reporter that claims far more traffic than the busy tenth of all."""
        own = report.total / report.window_ms
        return self._most / own if own > self._most > 0 else 1.0

    def _fade(self, now: float) -> None:
        if self._faded_at > -math.inf and now > self._faded_at:
            by = math.exp((self._faded_at - now) / self._limits.hot_tau_ms)
            self._keys = {k: n * by for k, n in self._keys.items() if n * by > 0.05}
            self._asked *= by
        self._faded_at = max(now, self._faded_at)


def speeds(
    loads: Mapping[int, Load], capacity: Mapping[int, float], before: Mapping[int, float], slow: float,
    least: float,
) -> dict[int, float]:  # fmt: skip
    """The speed of each cache against its peers, 1 for all that are not clearly slower than the usual.

    Against the median: where all are slow alike, nobody is. Nothing raises a speed above 1, so a cache that
    seems quick draws nobody. One that serves a smaller part of what it gets than the usual is slower by as
    much: what errs at once holds nothing, and would pass for quick. One that gets too little to be told
    comes back from what it was `before` step by step, until there is something to tell. `capacity` is in
    transfers at full pace.
    """
    told = {c: load for c, load in loads.items() if load.served + load.failed >= LEAST_ENDED}
    found = {c: min(before.get(c, 1.0) * BACK, 1.0) for c in loads}
    if not told:
        return found
    paces = {c: load.served / max(min(load.held, capacity[c]), 0.01) for c, load in told.items()}
    parts = {c: load.served / (load.served + load.failed) for c, load in told.items()}
    pace, part = median(paces.values()), median(parts.values())
    for c in told:
        seen = min(paces[c] / pace if pace else 1.0, parts[c] / part if part else 1.0)
        found[c] = max(seen, least) if seen * slow < 1.0 else 1.0
    return found


class Balance:
    """Finds the shares of one zone's caches.

    A share acts only seconds after the rates were counted that it rests on: followed directly, the two chase
    each other (measured). So what is averaged is the demand, the rate that a cache draws for each unit of the
    share that was in effect then: it stays the same whatever the shares do, and can be averaged for long.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._demand: dict[int, float] = {}  # logarithms, their mean over all caches left out
        self._times: dict[int, int] = {}
        self._told: deque[tuple[float, Mapping[int, float]]] = deque()  # from when, shares of those not slow
        self._speed: dict[int, float] = {}
        self._at = -math.inf

    def next(
        self, loads: Mapping[int, Load], agreed: Mapping[int, float], capacity: Mapping[int, float],
        speed: Mapping[int, float], now: float,
    ) -> dict[int, float]:  # fmt: skip
        """The next shares. `agreed` are those that all act on now."""
        limits = self._limits
        self._told.append((now, {c: agreed.get(c, 1.0) for c in loads if self._speed.get(c, 1.0) >= 1.0}))
        self._speed = dict(speed)
        while len(self._told) > 1 and self._told[1][0] <= now - limits.lag_ms:
            self._told.popleft()
        effect = self._told[0][1]
        total = sum(load.rate for load in loads.values())
        if total > 0:
            self._learn(loads, effect, speed, total / len(loads) / MOST_OFF, now)
        wanted = {c: capacity[c] * math.exp(-self._demand.get(c, 0.0)) for c in loads}
        most = max(wanted.values(), default=1.0)
        result = {}
        for c, want in wanted.items():
            share, old = max(want / most, limits.least), agreed.get(c, 1.0)
            share = min(max(share, old / limits.step), old * limits.step)
            result[c] = old if abs(share / old - 1) <= limits.band else share
        return result

    def _learn(
        self, loads: Mapping[int, Load], effect: Mapping[int, float], speed: Mapping[int, float],
        least: float, now: float,
    ) -> None:  # fmt: skip
        """Averages demands. Proxies step over a slow cache each by itself: its demand can't be told.

        `least` is the rate that a cache counts with at the least, so that one that nobody asks comes back.
        """
        limits, since = self._limits, min(now - self._at, self._limits.tau_ms)
        self._at = now
        known = [c for c in loads if speed[c] >= 1.0 and (c in effect or not self._times.get(c))]
        seen = {
            c: math.log(max(loads[c].rate, least) / max(effect.get(c, 1.0), limits.least)) for c in known
        }  # fmt: skip
        # Only how they stand to each other can be told: their mean stays what it was.
        off = sum(seen[c] - self._demand.get(c, 0.0) for c in known) / max(len(known), 1)
        demand = {c: self._demand.get(c, 0.0) for c in loads}
        for c in known:
            self._times[c] = n = self._times.get(c, 0) + 1
            # The first tables rest on what came before hot objects were spread: later ones weigh more.
            step = max(1 - math.exp(-since / limits.tau_ms), 2 / (n + 1))
            demand[c] += step * (seen[c] - off - demand[c])
        for c in loads:
            # Stepping over hides demand and never adds any: what a slow cache draws all the same counts.
            if speed[c] < 1.0 and c in effect:
                drawn = math.log(max(loads[c].rate, least) / max(effect[c], limits.least)) - off
                demand[c] = max(demand[c], drawn)
        self._demand, self._times = demand, {c: self._times.get(c, 0) for c in loads}
