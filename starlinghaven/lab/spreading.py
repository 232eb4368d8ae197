"""Many Routers before modelled caches in one process, from a seed: how evenly load falls, at any size.

The Routers and the exchange between them are the product's own; caches, parents and clients are models.
A cache sends up to `TRANSFERS` answers at full pace and shares its link among more (processor sharing); a
miss waits for a fill first. Virtual time in ms. Baselines choose by a plain rule, for the same clients.
"""

from __future__ import annotations

import heapq
import itertools
import math
from bisect import bisect
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from statistics import median

from starlinghaven import interface as i
from starlinghaven.lab.timeline import Timeline
from starlinghaven.router import Router
from starlinghaven.spread.exchange import Exchange
from starlinghaven.spread.settings import Limits

TRANSFERS, PACE, SIZE_KB = 6.0, 7_100.0, 614.0  # answers at full pace; KB/s of each; mean size
WORK_MS = 1000 * SIZE_KB / PACE
MOST_OPEN = 64  # requests that a cache holds; beyond it answers "full" at once
FILL_MS = (20.0, 60.0)  # a parent's answer
WAY_MS = 0.4  # one way between proxy and cache
REPORT_MS = 400.0  # between two load reports of a cache
CLASS = i.RequestClass(target_ms=400.0, give_up_ms=1_200.0, stretch=1.6)
PATIENCE_MS = 1_200.0
LOOK_MS = 250.0  # between two looks of a proxy at its view
LIFE = 1
COPIES = 1_500  # objects that a cache keeps
POLICIES = ("spread", "module", "random", "two", "knowing")


@dataclass(slots=True)
class _Run:
    """One transfer, or one request that waits for its fill."""

    proxy: int
    request: int
    attempt: int
    key: int
    keep: int
    work: float
    held_only: bool
    note: i.Note = i.Note.HIT
    ends: float = 0.0  # on the cache's own clock of work
    gone: bool = False


class Cache:
    """A modelled cache."""

    def __init__(self, name: str) -> None:
        self.name, self.speed = name, 1.0
        self.up = True
        self.errs = False  # answers errors at once
        self.lies: Callable[[], dict[str, float]] | None = None  # its load reports are nonsense
        self.open = 0
        self.copies: tuple[OrderedDict[int, None], OrderedDict[int, None]] = (OrderedDict(), OrderedDict())
        self.running: list[tuple[float, int, _Run]] = []
        self.n = 0  # transfers that go on
        self.work_at, self.clock = 0.0, 0.0
        self.fills: dict[int, list[_Run]] = {}
        self.wake = math.inf
        self.util = self.hits = 0.5
        self.report: dict[str, float] = {"util": 0.3, "hits": 0.5, "link": 0.3}
        self.told_at = 0.0
        self.started_ms = 0.0

    def pace(self) -> float:
        return self.speed * min(1.0, TRANSFERS / self.n) if self.n else 0.0

    def move(self, now: float) -> None:
        """Work done since the last event."""
        since = now - self.work_at
        if since > 0:
            step = 1 - math.exp(-since / 500)
            self.util += step * (min(self.n / TRANSFERS, 1.0) - self.util)
            self.clock += since * self.pace()
            self.work_at = now
        if now - self.told_at >= REPORT_MS:
            self.told_at = now
            self.report = {"util": self.util, "hits": self.hits, "link": 0.3}

    def has(self, key: int) -> bool:
        for kept in self.copies:
            if key in kept:
                kept.move_to_end(key)
                return True
        return False

    def keep(self, key: int, rank: int) -> None:
        if not rank:
            return
        for kept in self.copies:
            kept.pop(key, None)
        self.copies[rank > 1][key] = None
        if sum(map(len, self.copies)) > COPIES:
            (self.copies[0] or self.copies[1]).popitem(last=False)


@dataclass
class Seen:
    """What a run measured, by whole seconds."""

    sent: dict[int, Counter[int]] = field(default_factory=dict)  # second -> cache -> requests that came
    ended: dict[int, Counter[str]] = field(default_factory=dict)  # second of asking -> how it ended
    hits: Counter[int] = field(default_factory=Counter)
    fills: Counter[int] = field(default_factory=Counter)
    cold: list[tuple[float, int, float]] = field(default_factory=list)  # when, cache, work: while it is cold

    def count(self, second: int, what: str) -> None:
        self.ended.setdefault(second, Counter())[what] += 1


class Spreading(Timeline):
    """One run."""

    def __init__(
        self, proxies: int, caches: int, rate: float, policy: str, seed: int, *, zipf: float = 1.0,
        objects: int = 20_000, limits: Limits | None = None, busy: Mapping[int, float] | None = None,
        loss: float = 0.0, double: float = 0.0, delay_ms: tuple[float, float] = (1.2, 38.0),
        exchange: Callable[..., Exchange] = Exchange, alive: Callable[[int], set[int]] | None = None,
        cold: tuple[float, float, float] = (1.0, 0.0, 1.0),
    ) -> None:  # fmt: skip
        """`rate` is requests a second of each proxy, times its `busy`; `alive` whom it holds for there.

        `cold` is the part of its capacity that a cache has at its start, ms until it has all, and the
        multiple of it that it bears.
        """
        super().__init__()
        self.random, self.policy = Random(seed), policy
        self.caches = [Cache(f"c-{k:04x}") for k in range(caches)]
        self._by_name = {c.name: k for k, c in enumerate(self.caches)}
        self.rate, self.busy = rate, busy or {}
        self.loss, self.double, self.delay = loss, double, delay_ms
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.spoil: Callable[[int, int, bytes], bytes | None] = lambda a, b, data: data
        self._alive = alive or (lambda k: set(range(proxies)))
        self.seen = Seen()
        self.delivered = self.delivered_bytes = 0
        total = list(accumulate(1 / (k + 1) ** zipf for k in range(objects)))
        self._total = [x / total[-1] for x in total]
        names = Random(7)
        self._keys = [f"{names.getrandbits(64):016x}" for _ in range(objects)]
        self._number = {key: k for k, key in enumerate(self._keys)}
        self._asks: dict[tuple[int, int], tuple[float, int, float]] = {}  # asked at, object, work
        self._out: dict[tuple[int, int, int], tuple[str, _Run | None, float]] = {}
        self._ids = itertools.count(1)
        self._sends: dict[tuple[int, int], int] = {}
        settings = i.Settings(
            zone=0, zone_proxies=(proxies,), proxies=proxies, classes=(CLASS,), origin_kind=2, parent_kind=1,
            weights=i.Weights.NOMINAL, notes=i.Notes.HIT, pace_kb_per_s=PACE, joins=True, direct=True,
            cancels=True, most_attempts=4, most_wait_ms=500.0, advises_wait=True,
            cold_from=cold[0], cold_ms=cold[1], fall_multiple=cold[2], fall_ms=1_000.0,
        )  # fmt: skip
        self.settings = settings
        self.routers: list[Router] = []
        self.exchanges: list[Exchange] = []
        self._own: list[Counter[int]] = [Counter() for _ in range(proxies)]  # of "two": what each has out
        if policy in ("spread", "module"):
            for k in range(proxies):
                self.routers.append(Router(settings, self.random.getrandbits(60), 0.0))
                self.list(k)
        if policy == "spread":
            for k in range(proxies):
                each = exchange(k, 99, LIFE, 0, limits or Limits(), Random(self.random.getrandbits(60)), 0.0)
                each.members(self._alive(k), True)
                each.listed({c.name: TRANSFERS for c in self.caches})
                self.exchanges.append(each)
                self.at(self.random.random() * LOOK_MS, lambda k=k: self._look(k))  # type: ignore[misc]
                self._wake_exchange(k)
        for k in range(proxies):
            self._next_ask(k)

    # -- running ----------------------------------------------------------------------------------

    def list(self, k: int) -> None:
        """Gives a proxy the whole list as it stands."""
        entries = [
            i.Member(c.name, 0, 0, weight=TRANSFERS, started_ms=c.started_ms) for c in self.caches if c.up
        ]
        entries += [i.Member(f"p-{n}", 1, 1, weight=40) for n in range(2)]
        self._do(k, i.Members(i.ListKind.COMPLETE, (*entries, i.Member("o", 1, 2, weight=400))))
        if self.exchanges:
            self.exchanges[k].listed({c.name: TRANSFERS for c in self.caches if c.up})

    # -- clients ----------------------------------------------------------------------------------

    def _next_ask(self, k: int) -> None:
        rate = self.rate * self.busy.get(k, 1.0)
        self.at(self.now + self.random.expovariate(rate) * 1000, lambda: self._ask(k))

    def _ask(self, k: int) -> None:
        self._next_ask(k)
        key, request = bisect(self._total, self.random.random()), next(self._ids)
        size = SIZE_KB * self.random.uniform(0.5, 1.5)
        self._asks[k, request] = (self.now, key, 1000 * size / PACE)
        if self.exchanges:
            self.exchanges[k].evidence.asked(self._keys[key])
        if self.routers:
            self._do(k, i.Request(request, 0, PATIENCE_MS, self._keys[key], size_kb=size))
        else:
            cache = self._choose(k)
            self._own[k][cache] += 1
            self._send(k, request, self.caches[cache].name, 1, False, PATIENCE_MS)

    def _choose(self, k: int) -> int:
        """A baseline's cache."""
        n = len(self.caches)
        if self.policy == "random":
            return self.random.randrange(n)
        if self.policy == "two":
            return min(self.random.sample(range(n), 2), key=lambda c: self._own[k][c])
        load = [c.open / c.speed if c.up and not c.errs else math.inf for c in self.caches]
        least = min(load)
        return self.random.choice([c for c in range(n) if load[c] <= least])

    def _finish(self, k: int, request: int, how: str) -> None:
        if (ask := self._asks.pop((k, request), None)) is None:
            return
        at, _, work = ask
        aim = CLASS.target_ms + CLASS.stretch * work
        if how == "served":
            how = "in time" if self.now - at <= aim else "late"
        self.seen.count(int(at / 1000), how)
        self._sends.pop((k, request), None)

    # -- the Router -------------------------------------------------------------------------------

    def _do(self, k: int, event: i.Event) -> None:
        for action in self.routers[k].handle(event, self.now):
            match action:
                case i.Get():
                    held = action.source == action.store
                    self._send(k, action.request, action.store, action.keep, held, action.timeout_ms)
                case i.Send():
                    self._send(k, action.request, action.store, 0, False, action.timeout_ms)
                case i.Refuse():
                    self._finish(k, action.request, "refused")
                case i.Fail():
                    self._finish(k, action.request, "failed")
                case i.Cancel():
                    self._end(k, action.request, action.attempt, i.Code.CANCELLED, i.Note.NONE, {})
                case i.SetTimer():
                    token = action.token
                    self.at(self.now + action.delay_ms, lambda k=k, t=token: self._do(k, i.Timer(t)))  # type: ignore[misc]

    def _send(self, k: int, request: int, store: str, keep: int, held_only: bool, timeout: float) -> None:
        if (k, request) not in self._asks:
            return
        at, key, work = self._asks[k, request]
        attempt = self._sends.get((k, request), 0)
        self._sends[k, request] = attempt + 1
        run = None
        if (number := self._by_name.get(store)) is not None:
            run = _Run(k, request, attempt, key, keep, work, held_only)
            self.at(self.now + WAY_MS, lambda: self._came(number, run))
            if self.exchanges:
                self.exchanges[k].evidence.sent(store, self.now)
        else:
            took = self.random.uniform(60, 120) + work
            self.at(self.now + took, lambda: self._end(k, request, attempt, i.Code.OK, i.Note.FILLED, {}))
        self._out[k, request, attempt] = (store, run, self.now)
        self.at(
            self.now + timeout,
            lambda: self._end(k, request, attempt, i.Code.TIMEOUT, i.Note.NONE, {}),
        )

    def _end(
        self, k: int, request: int, attempt: int, code: i.Code, note: i.Note, report: dict[str, float]
    ) -> None:
        """The end of one attempt, whoever ends it first."""
        if (out := self._out.pop((k, request, attempt), None)) is None:
            return
        store, run, sent = out
        took, number = self.now - sent, self._by_name.get(store)
        if run is not None and code in (i.Code.TIMEOUT, i.Code.CANCELLED):
            run.gone = True  # its transfer stops, its place is free
            if number is not None:
                self.at(self.now + WAY_MS, lambda: self._dropped(number, run))
        if self.exchanges and number is not None:
            told = code not in (i.Code.MISS, i.Code.CANCELLED)
            self.exchanges[k].evidence.ended(store, code is i.Code.OK if told else None, self.now)
        if not self.routers:
            if number is not None:
                self._own[k][number] -= 1
            self._finish(k, request, "served" if code is i.Code.OK else "failed")
            return
        if final := code is i.Code.OK:
            self._finish(k, request, "served")
        self._do(k, i.Outcome(request, attempt, store, code, took, final, note, report=report))

    # -- caches -----------------------------------------------------------------------------------

    def _came(self, number: int, run: _Run) -> None:
        cache = self.caches[number]
        cache.move(self.now)
        if run.gone:
            return
        self.seen.sent.setdefault(int(self.now / 1000), Counter())[number] += 1
        if cache.started_ms and self.now - cache.started_ms < self.settings.cold_ms:
            self.seen.cold.append((self.now, number, run.work))
        if not cache.up:
            return self._answer(number, run, i.Code.NO_CONNECTION)
        if cache.errs:
            return self._answer(number, run, i.Code.ERROR)
        if cache.open >= MOST_OPEN:
            return self._answer(number, run, i.Code.FULL)
        hit = cache.has(run.key)
        cache.hits += 0.02 * (hit - cache.hits)
        if not hit and run.held_only:
            return self._answer(number, run, i.Code.MISS)
        (self.seen.hits if hit else self.seen.fills)[int(self.now / 1000)] += 1
        cache.open += 1
        if hit:
            self._transfer(number, run)
            return
        run.note = i.Note.FILLED
        if run.key in cache.fills:
            run.note = i.Note.JOINED
            cache.fills[run.key].append(run)
            return
        cache.fills[run.key] = [run]
        self.at(self.now + self.random.uniform(*FILL_MS), lambda: self._filled(number, run))

    def _filled(self, number: int, run: _Run) -> None:
        cache = self.caches[number]
        cache.move(self.now)
        cache.keep(run.key, run.keep)
        for waiting in cache.fills.pop(run.key, []):
            if not waiting.gone:
                self._transfer(number, waiting)

    def _transfer(self, number: int, run: _Run) -> None:
        cache = self.caches[number]
        run.ends = cache.clock + run.work
        heapq.heappush(cache.running, (run.ends, next(self._order), run))
        cache.n += 1
        self._plan(number)

    def _dropped(self, number: int, run: _Run) -> None:
        cache = self.caches[number]
        cache.move(self.now)
        if run.note is not i.Note.NONE and (run.ends or run in cache.fills.get(run.key, ())):
            cache.open -= 1
            cache.n -= bool(run.ends)
        run.note = i.Note.NONE
        self._plan(number)

    def _plan(self, number: int) -> None:
        """Wakes a cache when its next transfer is through."""
        cache = self.caches[number]
        while cache.running and cache.running[0][2].note is i.Note.NONE:
            heapq.heappop(cache.running)
        if not cache.running or cache.n <= 0:
            cache.wake = math.inf
            return
        when = self.now + max(cache.running[0][0] - cache.clock, 0.0) / cache.pace()
        cache.wake = when
        self.at(when, lambda: self._through(number, when))

    def _through(self, number: int, when: float) -> None:
        cache = self.caches[number]
        if cache.wake != when:
            return
        cache.move(self.now)
        while cache.running and cache.running[0][0] <= cache.clock + 1e-6:
            run = heapq.heappop(cache.running)[2]
            if run.note is i.Note.NONE:
                continue
            cache.n -= 1
            cache.open -= 1
            note, run.note = run.note, i.Note.NONE
            self._answer(number, run, i.Code.OK, note)
        self._plan(number)

    def _answer(self, number: int, run: _Run, code: i.Code, note: i.Note = i.Note.NONE) -> None:
        cache = self.caches[number]
        report = cache.lies() if cache.lies else dict(cache.report)
        self.at(self.now + WAY_MS, lambda: self._end(run.proxy, run.request, run.attempt, code, note, report))

    # -- news between proxies ---------------------------------------------------------------------

    def _look(self, k: int) -> None:
        self.at(self.now + LOOK_MS, lambda: self._look(k))
        each, now = self.exchanges[k], self.now
        each.members(self._alive(k), True)
        view = each.view(now)
        self._do(k, i.Spread(view.of(self._by_name), view.hot))

    def _wake_exchange(self, k: int) -> None:
        each = self.exchanges[k]
        each.advance(self.now)
        for to, data in each.take_out():
            for _ in range(1 + (self.random.random() < self.double)):
                if self.random.random() >= self.loss and not self.cut(k, to):
                    self.at(
                        self.now + self.random.uniform(*self.delay),
                        lambda to=to, data=data: self._arrive(k, to, data),  # type: ignore[misc]
                    )
        due = each.next_due()
        if due < math.inf:
            self.at(max(due, self.now + 0.01), lambda: self._wake_exchange(k))

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        spoilt = self.spoil(source, to, data)
        if spoilt is not None:
            self.delivered += 1
            self.delivered_bytes += len(spoilt)
            self.exchanges[to].receive(spoilt, source, self.now)

    # -- looking ----------------------------------------------------------------------------------

    def uneven(self, start: int, end: int) -> tuple[float, float, float, float]:
        """Over these seconds: most/mean and least/mean of the sums, and their median second."""
        n = range(len(self.caches))
        each = [[self.seen.sent.get(s, Counter())[c] for c in n] for s in range(start, end)]
        sums = [sum(column) for column in zip(*each, strict=True)]
        most = median(max(row) * len(row) / max(sum(row), 1) for row in each)
        least = median(min(row) * len(row) / max(sum(row), 1) for row in each)
        mean = sum(sums) / len(sums) or 1.0
        return max(sums) / mean, min(sums) / mean, most, least

    def part(self, cache: int, start: float, end: float) -> float:
        """What a cache got over the mean of all, over these whole seconds."""
        got = [self.seen.sent.get(s, Counter()) for s in range(int(start), int(end))]
        total = sum(sum(c.values()) for c in got)
        return sum(c[cache] for c in got) * len(self.caches) / total if total else 0.0

    def ended(self, start: int, end: int) -> Counter[str]:
        """Shares of how requests that were asked in these seconds ended; `asked` is their number."""
        found: Counter[str] = Counter()
        for second in range(start, end):
            found.update(self.seen.ended.get(second, Counter()))
        total = sum(found.values()) or 1
        shares: Counter[str] = Counter()
        for name, n in found.items():
            shares[name] = n / total  # type: ignore[assignment]
        shares["asked"] = total
        return shares

    def hit_share(self, start: int, end: int) -> float:
        hits = sum(self.seen.hits[s] for s in range(start, end))
        fills = sum(self.seen.fills[s] for s in range(start, end))
        return hits / max(hits + fills, 1)

    def copies(self, most: int = 200) -> float:
        """Mean copies of each of the most asked objects."""
        return sum(key in kept for key in range(most) for c in self.caches for kept in c.copies) / most
