"""An upgrade while clients on slow links read: does every request taken get its whole answer?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import ChangeLog, Client, Proxy, Record, Request, Stores, run  # noqa: E402

MEMORY_MB = 192  # the pages: at most 192 MB on scored days
SIZE = 240_000  # bytes of an object: the most that the pages allow
RATE = 200_000.0  # bytes a second that a client reads; the pages: some read at most 1 MB a second
SLOW, EACH = 24, 30  # slow clients, and requests of each; the pages: up to 32 open on a connection
PER_S = 160.0  # requests a second; the pages: up to 170 for each edge proxy
USUAL = 4  # usual clients, each with a small request now and then
TTL_MS = 5000
READ_S = 70.0  # that all reading may take: 30 x 240 KB at that rate take 36 s


async def case(record: Record, trouble: bool) -> bool:
    """Whether a request was lost or the newer process ended."""
    stores, log = Stores(record), ChangeLog(record)
    stores.size = SIZE
    await stores.start()
    await log.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    older = Proxy(record, stores, log, limits=limits)
    older.listen()
    newer = older.successor()
    requests: list[Request] = []
    clients: list[Client] = []

    async def join(count: int, rate: float) -> list[Client]:
        some = [
            Client(record, f"{'slow' if rate else 'usual'}{len(clients) + n}", rate) for n in range(count)
        ]
        for client in some:
            await client.open(older.port)
        clients.extend(some)
        await asyncio.sleep(0.1)
        return some

    try:
        await older.start()
        slow = await join(SLOW // 2, RATE)
        usual = await join(USUAL, 0.0)
        if trouble:
            await newer.start()
        slow += await join(SLOW - SLOW // 2, RATE)
        for k in range(EACH):
            for n, client in enumerate(slow):
                requests.append(await client.send("pieces", f"{n:02x}{k:014x}", TTL_MS, size=SIZE))
                await asyncio.sleep(1 / PER_S)
        await asyncio.sleep(0.3)
        if trouble:
            older.signal(signal.SIGTERM)
            await asyncio.sleep(1.0)
        for k in range(3):
            for n, client in enumerate(usual):
                if client.eof:  # its connection has ended: a new one
                    client = usual[n] = (await join(1, 0.0))[0]
                requests.append(await client.send("pieces", f"{n + 64:02x}{k:014x}", TTL_MS, size=SIZE))
            await asyncio.sleep(0.5)
        until = time.monotonic() + READ_S
        while time.monotonic() < until and not all(r.done.is_set() for r in requests):
            await asyncio.sleep(0.1)
        lost = [r for r in requests if not r.word or r.answers > 1 or not r.whole]
        on_ended = sum(r.ended_at is not None for r in lost)
        words = {word: sum(r.word == word for r in requests) for word in ("RESULT", "REJECT", "ABORTED", "")}
        ended = trouble and not newer.running
        record.show(f"requests={len(requests)} by word {words}")
        record.show(
            f"lost={len(lost)}, {on_ended} of them as the connection ended; newer process ended={ended}"
        )
        return bool(lost) or ended
    finally:
        await newer.stop()
        await older.end()


run(HERE, case)
