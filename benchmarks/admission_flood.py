"""Known clients' admitted share against the rate of a flood, on the admission controller alone.

    python -m benchmarks.admission_flood

A model, not sockets: 10 s of simulated time in 1 ms steps. 50 known clients (an allow-listed
/16) each reconnect once a second and hold their connection 0.2 s; a flood opens connections at
the given rate and holds each for 5 s (a silent client, until the idle limit closes it), either
from one address or spread over a /16 of 65,536 addresses. Places: 512. Each rate is played with
the controller as configured by default and with a plain global cap (what the listener did
before), and the share of known clients' connections admitted is printed. Also: the cost of one
admit and release, and bytes per address in the tables. Deterministic; not part of CI.
"""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from dataclasses import replace

from starlinghaven.admission.policy import Admission, Admit, Limits

PLACES = 512
SECONDS = 10.0
KNOWN_NET = "10.20.0.0/16"
PLAIN = Limits(places=PLACES, reserve=0.0, per_address=PLACES, per_prefix=PLACES, rate_per_s=1e9, burst=1e9)
GUARDED = Limits(places=PLACES, known=(KNOWN_NET,))


def play(limits: Limits, rate: float, spread: bool, seed: int = 7) -> float:
    """Share of known clients' connections admitted."""
    rng = random.Random(seed)
    a = Admission(limits)
    ends: list[tuple[float, str]] = []
    asked = admitted = 0
    flood_at, gap = 0.0, 1.0 / rate
    known_at = [rng.random() for _ in range(50)]
    now = 0.0
    while now < SECONDS:
        while ends and ends[0][0] <= now:
            a.released(heapq.heappop(ends)[1])
        while flood_at <= now:
            address = f"203.0.{rng.randrange(256)}.{rng.randrange(256)}" if spread else "203.0.113.9"
            got = a.admit(address, flood_at)
            if isinstance(got, Admit):
                heapq.heappush(ends, (flood_at + 5.0, got.source))
            flood_at += gap
        for n, at in enumerate(known_at):
            if at <= now:
                asked += 1
                got = a.admit(f"10.20.{n}.1", now)
                if isinstance(got, Admit):
                    admitted += 1
                    heapq.heappush(ends, (now + 0.2, got.source))
                known_at[n] = at + 1.0
        now += 0.001
    return admitted / asked


def cost_us() -> float:
    a = Admission(replace(GUARDED, places=1_000_000, per_address=1_000_000, per_prefix=1_000_000))
    n = 100_000
    began = time.perf_counter()
    for k in range(n):
        got = a.admit(f"198.51.{(k >> 8) & 255}.{k & 255}", k * 1e-5)
        assert isinstance(got, Admit)
        a.released(got.source)
    return (time.perf_counter() - began) / n * 1e6


def bytes_per_address() -> float:
    a = Admission(GUARDED)
    n = 50_000
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for k in range(n):
        address = f"10.{(k >> 16) & 255}.{(k >> 8) & 255}.{k & 255}"
        a.served(address, 0.0)
        a.admit(f"198.{(k >> 16) & 255}.{(k >> 8) & 255}.{k & 255}", 0.0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / n


def main() -> None:
    print("| flood (conn/s) | from | known admitted, plain cap | known admitted, admission |")
    print("| --- | --- | --- | --- |")
    for spread in (False, True):
        for rate in (50, 200, 1000, 5000):
            plain, guarded = play(PLAIN, rate, spread), play(GUARDED, rate, spread)
            source = "a /16" if spread else "one address"
            print(f"| {rate} | {source} | {plain:.3f} | {guarded:.3f} |")
    print(f"admit and release: {cost_us():.1f} us; per address in the tables: {bytes_per_address():.0f} B")


if __name__ == "__main__":
    main()
