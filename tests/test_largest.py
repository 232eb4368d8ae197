"""The largest requests get their part: answered shares by size on a quiet and on a crowded day."""

from __future__ import annotations

import heapq
import random

import pytest

from starlinghaven import interface as i
from starlinghaven.lab.cold import MEANS_MS, PACE_KB_PER_S, SIZE_SIGMA, START_MS, Plan, members, settings
from starlinghaven.router import Router

TRANSFERS = 4 * 6.0  # of all caches together at full pace
GIVE_UP_MS = (5_000.0, 3_000.0)


Served = tuple[float, bool]


def answered(load: float, seed: int, proxies: int = 3, seconds: float = 40.0) -> list[list[Served]]:
    """By class: the work of each request, and whether it was sent on and served. An attempt takes its own
    work, longer in proportion while more are out than the caches send at full pace."""
    dice, now, number = random.Random(seed), START_MS, 0
    plan = Plan(proxies, seed)
    routers = [Router(settings(plan), seed * 100 + n, now) for n in range(proxies)]
    for router in routers:
        router.handle(members(plan, 0.0), now)
    ends: list[tuple[float, int, i.Outcome, int]] = []
    got: list[list[Served]] = [[], []]
    mean = sum(MEANS_MS) / 2
    while (now := now + mean * dice.expovariate(load * TRANSFERS)) < START_MS + 1_000.0 * seconds:
        while ends and ends[0][0] <= now:
            at, _, outcome, to = heapq.heappop(ends)
            routers[to].handle(outcome, at)
        number, to, cls = number + 1, dice.randrange(proxies), int(dice.random() < 0.5)
        work = MEANS_MS[cls] * dice.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
        patience = GIVE_UP_MS[cls] * (0.5 + 0.5 * dice.random())
        size = work * PACE_KB_PER_S / 1_000.0
        request = i.Request(number, cls, patience, f"{dice.randrange(2_000):x}", size_kb=size)
        sent = [a for a in routers[to].handle(request, now) if isinstance(a, i.Get | i.Send)]
        takes = work * max(len(ends) / TRANSFERS, 1.0)
        served = bool(sent) and takes < patience
        if sent:
            code = i.Code.OK if served else i.Code.TIMEOUT
            ended = i.Outcome(number, 0, sent[0].store, code, min(takes, patience), True, i.Note.HIT)
            heapq.heappush(ends, (now + min(takes, patience), number, ended, to))
        got[cls].append((work, served))
    return got


@pytest.mark.parametrize("load, part", [(0.45, 2 / 3), (0.9, 1 / 2)])
def test_the_largest_tenth_gets_its_part_of_what_its_class_is_answered(load: float, part: float) -> None:
    for seed in range(3):
        for cls, asked in enumerate(answered(load, seed)):
            largest = sorted(asked)[-len(asked) // 10 :]
            share = sum(served for _, served in asked) / len(asked)
            of_largest = sum(served for _, served in largest) / len(largest)
            assert share > 0.5, (seed, cls, share)
            assert of_largest >= part * share, (seed, cls, of_largest, share)


def test_the_count_tells_a_router_that_refuses_by_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Router, "_least", lambda self, job: 4.0 * self.load.work(job.r))
    got = answered(0.45, 0)[0]
    largest = sorted(got)[-len(got) // 10 :]
    assert sum(served for _, served in largest) / len(largest) < 2 / 3 * sum(s for _, s in got) / len(got)
