# ruff: noqa: E501
"""Clients that read slowly hold the signed front's memory, and others' requests end with no answer."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import bench

BASE = "https://documents.example"
OBJECT_BYTES = 240_000  # the largest object (PROTOCOL)
READERS = 2  # of 128 places for connections
AHEAD = 30  # receipts that each of them asks for at once, one behind the other
PACE = 400_000  # bytes a second that each of them reads: at most 1 MB a second by the page
PLAY_S = 14.0
CLAIM = b"claim " * 1_000  # a body of 6 KB; a write brings up to 48,000 bytes


class Cache(bench.Store):
    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return 0.005, "served", b"r" * OBJECT_BYTES


class Origin(bench.Store):
    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return 0.04, "served", b"taken" if order["c"] == "depot" else b"r" * OBJECT_BYTES


class HttpClient:
    """HTTP/1.1, one request at a time."""

    def __init__(self, pace: float = 0.0) -> None:
        self._pace, self._data = pace, b""
        self.read = 0
        self._began = time.monotonic()

    async def connect(self, port: int) -> None:
        self._sock = socket.socket()
        if self._pace:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        self._sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._sock, (bench.HOST, port))

    async def _more(self) -> None:
        if self._pace:
            ahead = self.read / self._pace - (time.monotonic() - self._began)
            if ahead > 0:
                await asyncio.sleep(ahead)
        got = await asyncio.get_running_loop().sock_recv(self._sock, 16 * 1024)
        if not got:
            raise ConnectionResetError("the connection was closed")
        self.read += len(got)
        self._data += got

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def answer(self) -> tuple[int, bytes]:
        """The next answer. Errors: ConnectionError, if the connection ends without."""
        while b"\r\n\r\n" not in self._data:
            await self._more()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        size = next((int(x[15:]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:")), 0)
        while len(self._data) < size:
            await self._more()
        body, self._data = self._data[:size], self._data[size:]
        return int(head.split()[1]), body

    def close(self) -> None:
        self._sock.close()


def get(n: int) -> bytes:
    target = bench.signed(BASE, f"/pages/17/{n:016x}")
    return f"GET {target} HTTP/1.1\r\nHost: documents.example\r\n\r\n".encode()


def post(key: str) -> bytes:
    head = f"POST {bench.signed(BASE, '/claims')} HTTP/1.1\r\nHost: documents.example\r\n"
    return f'{head}Idempotency-Key: "{key}"\r\nContent-Length: {len(CLAIM)}\r\n\r\n'.encode() + CLAIM


async def reader(port: int, number: int, until: float, seen: dict[str, int]) -> None:
    """Asks for some receipts at once and reads them, again and again."""
    client = HttpClient(PACE if bench.TROUBLE else 0.0)
    try:
        await client.connect(port)
        while time.monotonic() < until:
            await client.send(b"".join(get(AHEAD * number + n) for n in range(AHEAD)))
            refused = False
            for _ in range(AHEAD):
                status, _ = await client.answer()
                seen[f"answered {status}"] = seen.get(f"answered {status}", 0) + 1
                refused = refused or status == 503
                if time.monotonic() > until:
                    return
            if refused:
                await asyncio.sleep(1.0)  # the time to come back that it was told
    except ConnectionError:
        seen["connection ended"] = seen.get("connection ended", 0) + 1
    finally:
        client.close()


async def case(record: bench.Record, folder: Path) -> int:
    cache = Cache(record, "s-00000001", "edge-1", "petit", weight=400.0)
    origin = Origin(record, "s-00000002", "nord", "origin", weight=400.0)
    cache.quiet = True
    log = bench.ChangeLog(record)
    for part in (cache, origin, log):
        await part.start()
    port, http = bench.free_port(), bench.free_port()
    operator = folder / "operator.toml"
    operator.write_text(
        f'[signed]\nlisten = "{bench.HOST}:{http}"\nbase = "{BASE}"\nalgorithms = ["HS256"]\n'
        f'keys = "{bench.key_file(folder)}"\nconnections = 128\n'
        '[[signed.route]]\npath = "/pages/{family}/{object}"\nclass = "fiches"\n'
        '[[signed.route]]\npath = "/claims"\nclass = "depot"\npatience_ms = 2500\n'
    )
    told = bench.settings()
    edge = bench.Edge(
        record,
        "edge",
        folder,
        bench.configuration("n0", port, log.address, [cache, origin], told, memory_mb=96),
    )
    (folder / "tmp").mkdir()
    edge.start(folder / "tmp", {"STARLINGHAVEN_OPERATOR": str(operator)})
    if not await edge.ready():
        raise bench.CouldNotRun("the proxy is not ready")

    until, seen = time.monotonic() + PLAY_S, dict[str, int]()
    readers = [asyncio.create_task(reader(http, n, until, seen)) for n in range(READERS)]
    await asyncio.sleep(2.0)
    answered = lost = 0
    while time.monotonic() < until - 2.0:
        key = bench.new_call()
        client = HttpClient()
        await client.connect(http)
        try:
            async with asyncio.timeout(4.0):
                await client.send(post(key))
                status, _ = await client.answer()
            answered += 1
            record.say(f"claims officer: claim {key}: {status}")
        except (ConnectionError, TimeoutError) as error:
            lost += 1
            record.say(f"claims officer: claim {key}: NO ANSWER, {type(error).__name__}")
        client.close()
        await asyncio.sleep(0.2)
    await asyncio.gather(*readers)
    record.say(f"readers: {seen}")
    record.say(f"claims: {answered} answered, {lost} ended with no answer")
    edge.signal(bench.signal.SIGUSR1)
    await asyncio.sleep(0.3)
    if not answered and not lost:
        raise bench.CouldNotRun("no claim was sent")
    return bench.BROKEN if lost else bench.HELD


if __name__ == "__main__":
    bench.play(case, str(Path(__file__).parent))
