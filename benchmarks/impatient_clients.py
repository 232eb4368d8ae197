"""Attempts that begin for clients that have left, and goodput, under bursts and short stops of one proxy.

    python -m benchmarks.impatient_clients --way cancel --stops --seed 1 [--program TREE]

Starts the program of a tree, its stores in a process of their own, and clients in this one. Each client
sends bursts of calls on one connection, and after a short patience leaves a part of them: by RPC.CANCEL, or
by ending the connection in order or with a reset. All times are on the machine's monotonic clock, noted where
the bytes are written or read. Prints one line of JSON. Not part of CI.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from starlinghaven.lab.soak.stage import run_command
from starlinghaven.protocol.resp import encode
from starlinghaven.standins.platform import STORES, Archive, configuration, free_port

ROOT = Path(__file__).parent.parent
LATE_S = 0.1  # after a client has left, from which an attempt for it begins too late
CALL_TTL_MS = 1_200
PATIENCE_S = (0.06, 0.2)  # after which those that leave do so
BURST = 30  # calls at once on one connection
PAUSE_S = (0.1, 0.5)  # between the end of a burst and the next
STOP_S, RUN_S = (0.1, 0.3), (0.05, 0.3)  # of a series of stops, and between them
OVERLOADED = 0.2  # share of the attempts that a cache refuses as overloaded, so that further ones follow
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection
_ORDER = re.compile(rb"GET\r\n\$16\r\n([0-9a-f]{16})\r\n")
_ANSWER = re.compile(rb"\*4\r\n\$\d+\r\n(\d+)\r\n\$\d+\r\n([A-Z]+)\r\n")


# -- stores, in a process of their own ------------------------------------------------------------


class _Stores:
    """Answers at once what it reads, and notes when; a cache refuses a share as overloaded."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.orders: list[tuple[float, str, str]] = []  # monotonic time, id of the call, store

    async def run(self) -> None:
        """Serves until standard input ends, after a line with the addresses; prints what was noted then."""
        async with trio.open_nursery() as nursery:
            addresses = {}
            for store, _, kind in STORES:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                addresses[store] = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                nursery.start_soon(trio.serve_listeners, self._serving(store, kind), [listener])
            print(json.dumps(addresses), flush=True)
            await trio.lowlevel.wait_readable(sys.stdin.fileno())
            nursery.cancel_scope.cancel()
        print(json.dumps(self.orders), flush=True)

    def _serving(self, store: str, kind: str):  # type: ignore[no-untyped-def]
        async def serve(stream: trio.SocketStream) -> None:
            rest = b""
            with contextlib.suppress(trio.BrokenResourceError):
                async for data in stream:
                    now, rest = time.monotonic(), rest + data
                    at, answers = 0, list[bytes]()
                    for found in _ORDER.finditer(rest):
                        at = found.end()
                        self.orders.append((now, found[1].decode(), store))
                        answers.append(self._answer(found[1], kind))
                    rest = rest[max(at, len(rest) - 64) :]
                    if answers:
                        await stream.send_all(b"".join(answers))

        return serve

    def _answer(self, call: bytes, kind: str) -> bytes:
        if kind == "petit" and self._random.random() < OVERLOADED:
            return encode(call, b"overload", b"-", b"")
        return encode(call, b"served", b"rev=00aa,since=1764576000123", b"x")


# -- clients --------------------------------------------------------------------------------------


@dataclass(slots=True)
class _Call:
    sent_at: float
    left_at: float | None = None
    word: str = ""


@dataclass
class _Clients:
    """Sends bursts on several connections, and notes what becomes of each call."""

    port: int
    way: str
    share: float
    random: Random
    calls: dict[str, _Call] = field(default_factory=dict)

    async def run(self, connections: int, seconds: float) -> None:
        """Plays so many connections for a while."""
        async with trio.open_nursery() as nursery:
            for _ in range(connections):
                nursery.start_soon(self._client, trio.current_time() + seconds)

    async def _client(self, until: float) -> None:
        while trio.current_time() < until:
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", self.port)
                async with stream:
                    await self._bursts(stream, until)
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # either side has ended it

    async def _bursts(self, stream: trio.SocketStream, until: float) -> None:
        tags: dict[int, _Call] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, stream, tags)
            while trio.current_time() < until:
                await trio.sleep(self.random.uniform(*PAUSE_S))
                if not await self._burst(stream, tags):
                    break
            nursery.cancel_scope.cancel()

    async def _burst(self, stream: trio.SocketStream, tags: dict[int, _Call]) -> bool:
        """One burst to its end; whether the connection goes on."""
        first, data = max(tags, default=0) + 1, list[bytes]()
        now = time.monotonic()
        for tag in range(first, first + BURST):
            call = f"{self.random.getrandbits(64):016x}"
            key = f"{self.random.getrandbits(64):016x}"
            fields = f"call={call},ttl={CALL_TTL_MS},row={key},block=0,family=17"
            data.append(encode(b"RPC.CALL", b"%d" % tag, b"pieces", fields.encode(), b"x"))
            tags[tag] = self.calls[call] = _Call(now)
        await stream.send_all(b"".join(data))
        await trio.sleep(self.random.uniform(*PATIENCE_S))
        if self.way != "cancel" and self.random.random() < self.share:
            self._end(stream, tags)
            return False
        mine = range(first, first + BURST)
        if self.way == "cancel":
            leaving = [t for t in mine if not tags[t].word and self.random.random() < self.share]
            await stream.send_all(b"".join(encode(b"RPC.CANCEL", b"%d" % tag, b"") for tag in leaving))
            for tag in leaving:
                tags[tag].left_at = time.monotonic()
        with trio.move_on_after(CALL_TTL_MS / 1000 + 0.5):
            while any(not tags[t].word and tags[t].left_at is None for t in mine):
                await trio.sleep(0.005)
        return True

    def _end(self, stream: trio.SocketStream, tags: dict[int, _Call]) -> None:
        if self.way == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        trio.lowlevel.notify_closing(stream.socket)
        stream.socket.close()
        for call in tags.values():
            if not call.word:
                call.left_at = time.monotonic()

    async def _listen(self, stream: trio.SocketStream, tags: dict[int, _Call]) -> None:
        rest = b""
        async for data in stream:
            rest, at = rest + data, 0
            for found in _ANSWER.finditer(rest):
                at = found.end()
                tags[int(found[1])].word = found[2].decode()
            rest = rest[max(at, len(rest) - 48) :]


# -- the whole ------------------------------------------------------------------------------------


async def _stop_now_and_then(process: trio.Process, random: Random, seconds: float) -> None:
    """Short stops in series; the process runs in the end."""
    with trio.move_on_after(seconds):
        while True:
            await trio.sleep(random.uniform(*RUN_S))
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(random.uniform(*STOP_S))
            process.send_signal(signal.SIGCONT)
    process.send_signal(signal.SIGCONT)


@contextlib.contextmanager
def _stores(seed: int) -> Iterator[subprocess.Popen[str]]:
    command = [sys.executable, "-m", "benchmarks.impatient_clients", "--stores", "--seed", str(seed)]
    pipe = subprocess.PIPE
    process = subprocess.Popen(command, cwd=ROOT, stdin=pipe, stdout=pipe, text=True)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def _play(options: argparse.Namespace, folder: Path) -> dict[str, object]:
    random = Random(options.seed)
    with _stores(options.seed) as stores:
        assert stores.stdout is not None and stores.stdin is not None
        archive, port = Archive(), free_port()
        archive.addresses = json.loads(stores.stdout.readline())
        (folder / "config.json").write_text(json.dumps(configuration(archive, port)))
        log = folder / "log"
        with log.open("w") as sink:
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", run_command(options.program)],
                cwd=options.program,
                env=os.environ | {"LB_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)},
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )
        while " ready " not in log.read_text():
            await trio.sleep(0.02)
        clients = _Clients(port, options.way, options.share, random)
        async with trio.open_nursery() as nursery:
            if options.stops:
                nursery.start_soon(_stop_now_and_then, process, random, options.seconds)
            nursery.start_soon(clients.run, options.connections, options.seconds)
        process.terminate()
        with trio.move_on_after(5.0):
            await process.wait()
        if process.returncode is None:
            process.kill()
            await process.wait()
        stores.stdin.write("\n")
        stores.stdin.flush()
        orders = json.loads(stores.stdout.readline())
    told = re.findall(r"counters (.*)", log.read_text())
    return _found(clients.calls, orders) | {"counters": told[-1] if told else ""}


def _found(calls: dict[str, _Call], orders: list[tuple[float, str, str]]) -> dict[str, object]:
    late, waits, seen = list[float](), list[float](), set[str]()
    for at, call, _ in orders:
        left_at = calls[call].left_at
        if left_at is not None and at > left_at + LATE_S:
            late.append(at - left_at)
        if call not in seen:
            waits.append(1000 * (at - calls[call].sent_at))
        seen.add(call)
    waits.sort()
    words = Counter("left" if c.left_at is not None else c.word or "none" for c in calls.values())
    return {
        "calls": len(calls),
        "words": dict(words),
        "attempts": len(orders),
        "late": len(late),
        "latest_s": round(max(late, default=0.0), 3),
        "first_attempt_ms": {p: round(waits[int(len(waits) * p / 100)], 1) for p in (50, 90, 99) if waits},
    }


def main() -> None:
    """Reads the options, plays, and prints the result."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--way", choices=("cancel", "close", "reset"), default="cancel")
    parser.add_argument("--share", type=float, default=0.5, help="of the calls that are left")
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--stops", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--stores", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.stores:
        stores = _Stores(options.seed)
        trio.run(stores.run)
        return
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(trio.run(_play, options, Path(folder))))


if __name__ == "__main__":
    main()
