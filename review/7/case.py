# ruff: noqa: E501
"""A zone of a large fleet is lost in one event of the change log; after it the proxy hears nothing any more."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import bench

MEMORY_MB = 64  # 32 to 192 by the pages
STORES = 3_200  # pop caches at most
LOST = 960  # three in ten of them
KEY, GROUP = "7f3a9c21e0b4d655", 17
GRACE_S = 0.55  # 500 ms by the settings, and 50 ms longer on sockets
DRAIN_S = 2.05  # 2 s by the settings, and 50 ms longer
CLEARED_S = 6.0  # within which all older copies are dropped


class Purged:
    """When the object was purged at the origin, Unix time; 0 for never."""

    at = 0.0


class Cache(bench.Store):
    """Holds a copy of the object. A purged one is dropped after some seconds, or where `cap` asks for it."""

    since = 0.0

    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        now = time.time()
        cap = float(order.get("cap", "0")) / 1000
        old = self.since < Purged.at and now > Purged.at + CLEARED_S - 1.0
        if not self.since or old or cap and now - self.since > cap:
            self.since = now  # filled from the source
        return 0.01, "served", f"{self.since:.3f}".encode()

    async def _reply(self, writer, call, order) -> None:  # noqa: ANN001
        delay, word, body = self.answer(call, order)
        await asyncio.sleep(delay)
        since = int(1000 * float(body))
        writer.write(bench.words(call, word, f"rev={since},since={since},load=util:0.2;x1:0.1;x0:0.5", body))


class Origin(Cache):
    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return 0.04, "served", f"{time.time():.3f}".encode()


async def case(record: bench.Record, folder: Path) -> int:
    own = [Cache(record, f"s-{n:08x}", "edge-1", "petit", weight=400.0) for n in (1, 2)]
    origin = Origin(record, "s-00000003", "nord", "origin", weight=400.0)
    log = bench.ChangeLog(record)
    for part in (*own, origin, log):
        await part.start()
        if part is not log:
            part.quiet = True
    # Caches of the other zone: this proxy has nothing to do with them.
    others = [bench.Store(record, f"s-{0x1000 + n:08x}", "nord", "petit", weight=6.0) for n in range(STORES)]
    for n, store in enumerate(others):
        store.port = 1 + n
    listed = bench.known([*own, origin, *others])
    for entry in listed["results"][0]["fleet"]["instances"][3:]:  # type: ignore[index]
        entry["hostPort"] = entry["hostPort"].replace(bench.HOST, "127.77.0.1")
    port = bench.free_port()
    config = bench.configuration(
        "n0", port, log.address, [], bench.settings(), memory_mb=MEMORY_MB,
        flow_bytes_per_s=310_000, link_bytes_per_s=1_240_000,
    ) | {"known": listed}  # fmt: skip
    edge = bench.Edge(record, "edge", folder, config)
    (folder / "tmp").mkdir()
    edge.start(folder / "tmp")
    if not await edge.ready():
        raise bench.CouldNotRun("the proxy is not ready")
    client = bench.Client(record, "client")
    await client.connect(port)
    stale: list[str] = []
    answers = 0

    async def ask() -> None:
        nonlocal answers
        sent_at = time.time()
        fields = {"ttl": 3000, "row": KEY, "block": 0, "family": GROUP, "heap": 20}
        got = await client.ask("pieces", fields)
        if not got or got[1] != b"RESULT":
            return
        answers += 1
        since = float(got[3])
        if Purged.at and sent_at > Purged.at + GRACE_S and since < Purged.at:
            stale.append(
                f"asked {sent_at - Purged.at:.2f} s after the purge was told, "
                f"answered from a copy made {Purged.at - since:.2f} s before it"
            )
            record.say(f"client: STALE: {stale[-1]}")

    async def asks(seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await ask()
            await asyncio.sleep(0.1)

    await asks(2.0)
    if bench.TROUBLE:
        record.say(f"change log: one event, {LOST} pop caches of another zone are gone")
        raw = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                int(s.name[2:], 16),
                socket.inet_aton("127.77.0.1"),
                s.port,
                bench.GONE,
                0,
                0,
                0,
                6000,
                0,
            )
            for s in others[:LOST]
        )
        log.tell(2, raw)
    await asks(1.0)
    now_ms = int(1000 * time.time())
    record.say(f"change log: the object {KEY} is purged; {own[0].name} drains")
    Purged.at = now_ms / 1000
    log.tell(3, bytes.fromhex(KEY) + struct.pack(">Q", now_ms))
    log.line(own[0], bench.DRAINING, bench.ZONES, bench.KINDS)
    log.line(own[1], bench.READY, bench.ZONES, bench.KINDS)
    told_at = time.time()
    await asks(9.0)
    for n in range(40):
        # Other objects too, so that both caches would be homes.
        await client.ask("pieces", {"ttl": 3000, "row": f"{n:016x}", "block": 0, "family": 9, "heap": 20})
    late = [at - told_at for at, _, _ in own[0].orders if at > told_at + DRAIN_S]
    record.say(f"{own[0].name}: {len(late)} requests later than {DRAIN_S} s after its drain was told")
    record.say(f"client: {answers} answers, {len(stale)} from a copy older than the purge")
    edge.signal(bench.signal.SIGUSR1)
    await asyncio.sleep(0.3)
    client.close()
    if answers < 50:
        raise bench.CouldNotRun("too little was answered")
    return bench.BROKEN if stale else bench.HELD


if __name__ == "__main__":
    bench.play(case, str(Path(__file__).parent))
