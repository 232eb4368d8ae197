# ruff: noqa: E501
"""A parent starts cold while discovery is down. Deemed told after 7 s, the proxy still fills from it at full rate."""

from __future__ import annotations

import asyncio
import itertools
import math
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import bench

WEIGHT = 6.0  # transfers that the parent sends at full pace (WeightKind nominal)
SENDING_S, SIZE_KB = 0.1, 710  # of every request, at 7,100 KB a second
COLD_FROM, COLD_S, FACTOR, FALL_S = 0.079, 22.0, 2.0, 1.0  # as in the settings
OUTAGE_S = 8.0  # of discovery
BEFORE_S = 0.2  # of it, ahead of the parent's start
TOLD_S = 7.0  # after which what the change log has to tell counts as told
QUIET_S = 7.35  # after the parent's start until clients ask again: told, with some 50 ms to spare
RATE = 200.0  # requests a second
CLIENTS = 10


class Parent(bench.Store):
    """Asked only by caches that fill from it. It falls over when it gets too much for its warmth."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.began, self.told_at, self.fell = 0.0, math.inf, ""
        self.fills: list[float] = []
        self.most = (0.0, "")

    def fill(self) -> None:
        now = time.time()
        self.fills.append(now)
        if not self.began or now > self.began + COLD_S or self.fell:
            return
        n = FACTOR * (COLD_FROM + (1 - COLD_FROM) * (now - self.began) / COLD_S) * WEIGHT * FALL_S / SENDING_S
        bound = n + (2 * math.sqrt(n) + 2 if n >= 30 else 3 * math.sqrt(n) + 3)
        recent = [at for at in self.fills[-1000:] if at > now - FALL_S and at >= self.began]
        told = sum(at >= self.told_at for at in recent)
        self.most = max(self.most, (len(recent) / bound, f"{len(recent)} of {bound:.0f}"))
        if len(recent) > bound:
            self.fell = (
                f"{len(recent)} fills in {FALL_S:.0f} s, {now - self.began:.2f} s after its start; N={n:.0f}, it "
                f"falls above {bound:.0f}; {told} of them from a proxy that counted as told"
            )
            self.broken = told > 2 / 3 * len(recent)
            self.record.say(f"{self.name}: FALLS OVER: {self.fell}")


class Cache(bench.Store):
    """Lacks every object that is asked for, and fills it from the source that the order names."""

    parent: Parent

    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        if order.get("up") == self.parent.name:
            self.parent.fill()
        return SENDING_S, "served", b"x" * 500


async def case(record: bench.Record, folder: Path) -> int:
    cache = Cache(record, "s-00000001", "edge-1", "petit", 400.0)
    parent = Parent(record, "s-00000004", "nord", "parent", WEIGHT)
    origin = bench.Store(record, "s-00000002", "nord", "origin", 400.0)
    cache.parent = parent
    log = bench.ChangeLog(record)
    for part in (cache, parent, origin):
        part.quiet = True
        await part.start()
    await log.start()
    port = bench.free_port()
    config = bench.configuration("n0", port, log.address, [cache, parent, origin], bench.settings())
    edge = bench.Edge(record, "edge", folder, config)
    (folder / "tmp").mkdir()
    edge.start(folder / "tmp")
    if not await edge.ready():
        raise bench.CouldNotRun("the proxy is not ready")
    clients = [bench.Client(record, f"client {n}") for n in range(CLIENTS)]
    counts: dict[str, int] = {}
    numbers = itertools.count(1)

    async def one(client: bench.Client) -> None:
        n = next(numbers)
        fields = {"ttl": 3000, "row": f"{n:016x}", "block": 0, "family": n % 256, "heap": SIZE_KB}
        got = await client.ask("fiches", fields)
        word = got[1].decode() if got else "no answer"
        counts[word] = counts.get(word, 0) + 1

    async def traffic(seconds: float) -> None:
        for client in clients:
            client.close()
            await client.connect(port)  # clients close idle connections after 4 s
        began, sent = time.monotonic(), 0
        tasks = set()
        while time.monotonic() < began + seconds:
            while sent < RATE * (time.monotonic() - began):
                tasks.add(asyncio.create_task(one(clients[sent % CLIENTS])))
                sent += 1
            await asyncio.sleep(0.002)
        await asyncio.wait(tasks, timeout=4.0)

    await traffic(3.0)
    record.say(f"before the outage: {counts}, {len(parent.fills)} fills from {parent.name}")
    if bench.TROUBLE:
        record.say("discovery is down")
        log.stop()
    down_at = time.time()
    await asyncio.sleep(BEFORE_S)
    # A release: the parent is started anew, cold and empty. The change log holds it from now on.
    parent.began, parent.told_at = time.time(), time.time() + TOLD_S
    log.line(parent, bench.READY, bench.ZONES, bench.KINDS, started_ms=int(1000 * parent.began))

    async def returns() -> None:
        await asyncio.sleep(down_at + OUTAGE_S - time.time())
        record.say("discovery is back")
        await log.start()

    back = asyncio.create_task(returns()) if bench.TROUBLE else None
    await asyncio.sleep(parent.began + QUIET_S - time.time())
    counts.clear()
    before = len(parent.fills)
    record.say(f"clients ask again, {time.time() - parent.began:.2f} s after the parent's start")
    await traffic(3.0)
    if back:
        await back
    record.say(
        f"then: {counts}, {len(parent.fills) - before} fills from {parent.name}, the most: {parent.most[1]}"
    )
    edge.signal(bench.signal.SIGUSR1)
    await asyncio.sleep(0.3)
    if not before or counts.get("RESULT", 0) < 100:
        raise bench.CouldNotRun("too little was asked")
    return bench.BROKEN if parent.fell and parent.broken else bench.HELD


if __name__ == "__main__":
    bench.play(case, str(Path(__file__).parent))
