# ruff: noqa: E501
"""Upgrades under load: the answers to some requests that the old process had taken reach nobody."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import bench

CONNECTIONS, ASKERS = 60, 4  # askers on each connection; up to 32 requests may be open on one
REST_S = 0.4  # at most, between an answer and the next request of an asker
TTL_MS, LATE_S = 2500, 0.55  # an answer up to half a second after its time is late, not lost
UPGRADES, BETWEEN_S = 20, 2.0
MOST_S = 85.0  # in which upgrades begin, on a slow machine
KILL_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s


class Cache(bench.Store):
    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return random.uniform(0.01, 0.09), "served", b"x" * 500


class Load:
    def __init__(self, record: bench.Record, port: int) -> None:
        self.record, self.port = record, port
        self.ends = False
        self.counts: dict[str, int] = {}
        self.lost: list[str] = []

    def _count(self, word: str) -> None:
        self.counts[word] = self.counts.get(word, 0) + 1

    async def asker(self, client: bench.Client) -> None:
        while not self.ends and not client.closed_by_peer:
            fields = {
                "ttl": TTL_MS, "row": f"{random.randrange(5000):016x}", "block": 0,
                "family": random.randrange(256), "heap": 50,
            }  # fmt: skip
            sent_at, future = time.time(), client.ask("fiches", fields)
            call = next(reversed(client.open.values()))[0]
            try:
                got = await asyncio.wait_for(future, TTL_MS / 1000 + LATE_S)
            except TimeoutError:
                if client.closed_by_peer:
                    continue
                self._count("never answered")
                self.lost.append(call)
                self.record.say(
                    f"LOST: call {call} on {client.name}, sent at Unix time {sent_at:.3f}, "
                    f"has no answer {TTL_MS + 1000 * LATE_S:.0f} ms later; its connection is open"
                )
                continue
            self._count(got[1].decode() if got else "connection ended")
            await asyncio.sleep(random.uniform(0.0, REST_S))

    async def connection(self, number: int) -> None:
        while not self.ends:
            client = bench.Client(self.record, f"connection {number}")
            try:
                await client.connect(self.port)
                await asyncio.gather(*(self.asker(client) for _ in range(ASKERS)))
            except OSError:
                await asyncio.sleep(0.05)
            client.close()


async def says_yes(port: int) -> bool:
    """The operators' door: one line, one answer."""
    try:
        reader, writer = await asyncio.open_connection(bench.HOST, port)
        writer.write(b"readyz\n")
        said = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return said.startswith(b"SUCCESS")
    except (TimeoutError, OSError):
        return False


async def case(record: bench.Record, folder: Path) -> int:
    caches = [Cache(record, f"s-{n:08x}", "edge-1", "petit", weight=400.0) for n in (1, 2, 3)]
    origin = bench.Store(record, "s-00000009", "nord", "origin", weight=400.0)
    log = bench.ChangeLog(record)
    for part in (*caches, origin):
        part.quiet = True
        await part.start()
    await log.start()
    listening = socket.create_server((bench.HOST, 0), backlog=512)
    port = listening.getsockname()[1]
    config = bench.configuration("n0", port, log.address, [*caches, origin], bench.settings())
    (folder / "tmp").mkdir()

    async def started(n: int) -> bench.Edge:
        """A process of the edge proxy that has said yes in the 6 s that it has."""
        edge, console = bench.Edge(record, f"edge-{n}", folder, config), bench.free_port()
        edge.start(folder / "tmp", {"LB_CONSOLE": f"{bench.HOST}:{console}"}, listening)
        until = time.monotonic() + 6.0
        while not await says_yes(console):
            if edge.exit_code is not None or time.monotonic() > until:
                raise bench.CouldNotRun(f"edge-{n} does not say yes")
            await asyncio.sleep(0.05)
        record.say(f"edge-{n}: says yes")
        return edge

    serving = await started(0)
    load = Load(record, port)
    connections = [asyncio.create_task(load.connection(n)) for n in range(CONNECTIONS)]
    await asyncio.sleep(2.0)
    began = time.monotonic()
    for n in range(1, UPGRADES + 1):
        if time.monotonic() > began + MOST_S:
            break
        if not bench.TROUBLE:
            await asyncio.sleep(BETWEEN_S)
            continue
        old, serving = serving, await started(n)
        old.signal(signal.SIGTERM)
        if await old.ended(KILL_S) is None:
            old.signal(signal.SIGKILL)
        record.say(f"{old.name}: ended with {await old.ended(2.0)}")
        await asyncio.sleep(1.0)
    load.ends = True
    await asyncio.wait(connections, timeout=TTL_MS / 1000 + 2.0)
    record.say(f"answers: {load.counts}")
    record.say(f"{len(load.lost)} requests were never answered")
    serving.signal(signal.SIGUSR1)
    await asyncio.sleep(0.3)
    if load.counts.get("RESULT", 0) < 2000:
        raise bench.CouldNotRun("too little was served")
    return bench.BROKEN if load.lost else bench.HELD


if __name__ == "__main__":
    bench.play(case, str(Path(__file__).parent))
