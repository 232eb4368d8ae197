# ruff: noqa: E501
"""A client numbers its requests over all of its connections: each connection's tags are new, with gaps."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import bench

CONNECTIONS, OPEN = 4, 16  # of up to 32 requests open on one connection
SENDING_S = 0.1  # that the cache takes for an answer
PLAY_S = 75.0
CROSSING_S = 0.05  # a request that crosses a close within this is sent again, and isn't lost
MEMORY_MB = 36  # 32 to 192 by the pages


class Cache(bench.Store):
    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return SENDING_S, "served", b"x" * 200


async def asks(client: bench.Client, until: float, counts: dict[str, int]) -> None:
    """One request after the other, until the connection ends."""
    n = 0
    while time.monotonic() < until and not client.closed_by_peer:
        n += 1
        fields = {"ttl": 3000, "row": f"{n % 50 + 1:016x}", "block": 0, "family": 17, "heap": 20}
        got = await client.ask("fiches", fields)
        word = got[1].decode() if got else "no answer"
        counts[word] = counts.get(word, 0) + 1
        if word == "REJECT":
            await asyncio.sleep(0.5)


async def case(record: bench.Record, folder: Path) -> int:
    cache = Cache(record, "s-00000001", "edge-1", "petit", weight=400.0)
    origin = bench.Store(record, "s-00000002", "nord", "origin", weight=400.0)
    cache.quiet = True
    log = bench.ChangeLog(record)
    for part in (cache, origin, log):
        await part.start()
    port = bench.free_port()
    config = bench.configuration(
        "n0", port, log.address, [cache, origin], bench.settings(), memory_mb=MEMORY_MB
    )
    edge = bench.Edge(record, "edge", folder, config)
    (folder / "tmp").mkdir()
    edge.start(folder / "tmp")
    if not await edge.ready():
        raise bench.CouldNotRun("the proxy is not ready")

    shared = itertools.count(1)  # one counter for all connections; without trouble one for each
    clients = [
        bench.Client(record, f"connection {n}", shared if bench.TROUBLE else itertools.count(1))
        for n in range(CONNECTIONS)
    ]
    counts: dict[str, int] = {}
    until = time.monotonic() + PLAY_S
    for client in clients:
        await client.connect(port)
    record.say(f"{CONNECTIONS} connections with {OPEN} requests open on each")
    await asyncio.gather(*(asks(client, until, counts) for client in clients for _ in range(OPEN)))
    record.say(f"answers: {counts}")
    reached = {call: at for at, call, _ in cache.orders}
    lost = 0
    for client in clients:
        for call, sent_at, ended_at in client.lost:
            if call in reached and ended_at - sent_at > CROSSING_S:
                lost += 1
                record.say(
                    f"LOST: call {call} on {client.name}, sent {1000 * (ended_at - sent_at):.0f} ms before "
                    f"the end, sent on to {cache.name} {1000 * (ended_at - reached[call]):.0f} ms before it"
                )
        client.close()
    edge.signal(bench.signal.SIGUSR1)
    await asyncio.sleep(0.3)
    record.say(f"{lost} requests were read, sent on and never answered")
    if counts.get("RESULT", 0) < 1000:
        raise bench.CouldNotRun("too little was served")
    return bench.BROKEN if lost else bench.HELD


if __name__ == "__main__":
    bench.play(case, str(Path(__file__).parent))
