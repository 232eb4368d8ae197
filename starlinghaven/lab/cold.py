"""The sum of what many Routers send to a cold store, by simulation: uneven traffic, restarts amid the ramp.

The rule counts calls over all processes in any window; each process knows only its own. Here each of them is
a Router of its own, fed with its own part of the traffic, and the calls that name the cold store, as the
place asked or as the source of a fill, are counted together, each when it is written. Answers come at once,
so that nothing but the budget holds the calls back; but a process's first connection to the store comes up
late, and what is decided meanwhile is written together when it is up.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from dataclasses import dataclass, replace

from starlinghaven import interface as i
from starlinghaven.router import Router

HUB, OFFICE = 0, 1
CACHE, PARENT, ORIGIN = 0, 1, 2
MEANS_MS = (400.0, 60.0)  # sending times of the two classes
SIZE_SIGMA = 0.9  # of the logarithm of sizes: the largest are tens of times the middle
TRAFFIC_SIGMA = 0.8  # ... of the processes' parts of the traffic: some get several times the mean
PACE_KB_PER_S = 5000.0
START_MS = 100_000.0
BEFORE_MS = 5_000.0  # ms of usual work before the store starts: what Routers know by then of sizes


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. `again` is the share of processes that start anew, all within a second."""

    proxies: int
    seed: int
    cold: str = "cache"  # or "parent"
    weight: float = 6.0
    again: float = 0.7
    span_ms: float = 8_000.0
    calls_per_s: float = 250.0  # over all processes
    cold_from: float = 0.25
    cold_ms: float = 16_000.0
    multiple: float = 2.0
    fall_ms: float = 1_500.0
    dial_ms: float = 400.0  # that the first connection of a process to the store takes at most


@dataclass(frozen=True, slots=True)
class Counted:
    """The window that came closest to the bound, and how much of the budget was used in all."""

    calls: float  # of mean work, in that window
    budget: float  # N of that window
    windows_over: int  # windows with more than N + 2 x root of N + 2
    windows: int
    used: float  # calls over the whole ramp, over the budget of all of it
    largest: float  # the share of those that were the largest tenth, which by chance is a tenth


def settings(plan: Plan) -> i.Settings:
    classes = (
        i.RequestClass(target_ms=400, give_up_ms=60_000, stretch=2, parts=True),
        i.RequestClass(target_ms=300, give_up_ms=60_000, stretch=2),
    )
    return i.Settings(
        zone=OFFICE, zone_proxies=(0, plan.proxies), proxies=plan.proxies, classes=classes,
        origin_kind=ORIGIN, parent_kind=PARENT, weights=i.Weights.NOMINAL, pace_kb_per_s=PACE_KB_PER_S,
        joins=True, direct=True, cancels=True, most_attempts=6, cold_from=plan.cold_from,
        cold_ms=plan.cold_ms, fall_multiple=plan.multiple, fall_ms=plan.fall_ms, dial_ms=plan.dial_ms,
        parent_cold_from=plan.cold_from, parent_cold_ms=plan.cold_ms,
        parent_fall_multiple=plan.multiple, purge_done_ms=6_000,
    )  # fmt: skip


def members(plan: Plan, started_ms: float) -> i.Members:
    caches = [i.Member(f"cache-{n}", OFFICE, CACHE, weight=plan.weight) for n in range(4)]
    parents = [i.Member(f"parent-{n}", HUB, PARENT, weight=plan.weight) for n in range(2)]
    stores = [*caches, *parents, i.Member("origin", HUB, ORIGIN, weight=20.0)]
    name = f"{plan.cold}-0"
    entries = (replace(s, started_ms=started_ms) if s.store == name else s for s in stores)
    return i.Members(i.ListKind.COMPLETE, tuple(entries))


class _Process:
    """One Router, and its part of the traffic."""

    def __init__(self, plan: Plan, seed: int, now: float, started_ms: float) -> None:
        self.router = Router(settings(plan), seed, now)
        self.router.handle(members(plan, started_ms), now)
        self._next = 0
        self.up_at = math.inf  # when its connection to the cold store is up; infinite while none was wanted
        self._answers: list[i.Outcome] = []  # that wait for it

    def ask(
        self, now: float, cls: int, size_kb: float, key: str, cold: str, dial_ms: float
    ) -> list[i.Get | i.Send]:
        """One request, answered at once, or as soon as there is a connection to the cold store."""
        if now >= self.up_at:
            for said in self._answers:
                self.router.handle(said, now)
            self._answers.clear()
        self._next += 1
        request = i.Request(self._next, cls, 50_000.0, key, size_kb=size_kb)
        sent = list[i.Get | i.Send]()
        for action in self.router.handle(request, now):
            if isinstance(action, i.Get | i.Send):
                sent.append(action)
                said = i.Outcome(self._next, 0, action.store, i.Code.OK, 20.0, final=True, note=i.Note.HIT)
                if action.store == cold and self.up_at == math.inf:
                    self.up_at = now + dial_ms
                if action.store == cold and now < self.up_at:
                    self._answers.append(said)
                else:
                    self.router.handle(said, now)
        return sent


def run(plan: Plan) -> Counted:
    """Plays a ramp. The same plan gives the same figures."""
    dice = random.Random(plan.seed)
    begin, end = START_MS - BEFORE_MS, START_MS + plan.span_ms
    processes = [_Process(plan, plan.seed * 1_000 + n, begin, 0.0) for n in range(plan.proxies)]
    parts = [dice.lognormvariate(0.0, TRAFFIC_SIGMA) for _ in processes]
    restarts = {
        n: START_MS + plan.span_ms * 0.3 + dice.random() * 1_000.0
        for n in range(plan.proxies) if dice.random() < plan.again
    }  # fmt: skip
    calls, sizes, told, now = list[tuple[float, int, float]](), ([0.0], [0.0]), False, begin
    while (now := now + 1_000.0 * dice.expovariate(plan.calls_per_s)) < end:
        if now >= START_MS and not told:
            told = True
            for process in processes:
                process.router.handle(members(plan, START_MS), START_MS)
        n = dice.choices(range(plan.proxies), parts)[0]
        if now >= restarts.get(n, math.inf):
            processes[n] = _Process(plan, dice.randrange(1 << 30), restarts.pop(n), START_MS)
        cls = int(dice.random() < 0.45)
        work = MEANS_MS[cls] * dice.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
        sizes[cls].append(work)
        process, cold = processes[n], f"{plan.cold}-0" if told else ""
        size_kb, key = work * PACE_KB_PER_S / 1_000.0, f"{dice.randrange(3_000):x}"
        for sent in process.ask(now, cls, size_kb, key, cold, plan.dial_ms * dice.random()):
            if told and sent.store == cold:
                calls.append((max(now, process.up_at), cls, work))
            elif told and isinstance(sent, i.Get) and sent.source == cold:
                calls.append((now, cls, work))  # a cache asks for it, which is connected
    return _count(plan, sorted(calls), sizes)


def _count(plan: Plan, calls: list[tuple[float, int, float]], sizes: tuple[list[float], ...]) -> Counted:
    means = [sum(s) / len(s) for s in sizes]
    mean = sum(map(sum, sizes)) / sum(map(len, sizes))
    times = [at for at, _, _ in calls]
    weights = [0.0]
    for _, cls, _ in calls:
        weights.append(weights[-1] + means[cls] / mean)  # by the rule each counts with its class's mean

    def budget(at: float) -> float:
        warmth = plan.cold_from + (1.0 - plan.cold_from) * (at - START_MS) / plan.cold_ms
        return plan.multiple * plan.weight * warmth * plan.fall_ms / mean

    worst, over = (-math.inf, 0.0, 0.0), 0
    for first, at in enumerate(times):
        got = weights[bisect_left(times, at + plan.fall_ms)] - weights[first]
        allowed = budget(at)  # of the window's start: the least in it
        bound = allowed + 2.0 * math.sqrt(allowed) + 2.0
        over += got > bound
        worst = max(worst, (got - bound, got, allowed))
    whole = sum(budget(START_MS + t) for t in range(0, int(plan.span_ms), int(plan.fall_ms)))
    bounds = [sorted(s)[int(len(s) * 0.9)] for s in sizes]
    large = sum(work >= bounds[cls] for _, cls, work in calls) / max(len(calls), 1)
    return Counted(worst[1], worst[2], over, len(times), weights[-1] / whole, large)
