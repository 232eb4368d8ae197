"""Peak memory and others' answers while one sender floods: HTTP clients, stores or the change log.

    python -m benchmarks.senders --sender store-unasked --memory-mb 64 [--program TREE]

The sender runs in a process of its own; so do the stores. Usual clients ask over the platform's protocol.
Prints one line of JSON. Not part of CI.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from enum import StrEnum
from pathlib import Path
from random import Random

import trio

from benchmarks.crowds import told_of
from starlinghaven.lab.process_memory import memory_of
from starlinghaven.lab.sized_archive import RemoteArchive, SizedArchive
from starlinghaven.lab.sizes import OBJECT_BYTES, large_key
from starlinghaven.lab.soak.stage import run_command
from starlinghaven.lab.usual import RequestKind, UsualClient
from starlinghaven.protocol.resp import encode
from starlinghaven.protocol.uri_signing import ALGORITHMS, KeySet, add_token, issue
from starlinghaven.standins.changelog import frame
from starlinghaven.standins.platform import Words, configuration, free_port

ROOT = Path(__file__).parent.parent
BASE = "https://documents.example"
SECRET = {"kty": "oct", "kid": "k", "alg": "HS256", "k": "c2VjcmV0LXNlY3JldC1zZWNyZXQtc2VjcmV0LTAxMjM"}
OPERATOR = """
[signed]
listen = "127.0.0.1:{port}"
base = "{base}"
keys = "{keys}"
algorithms = ["HS256"]
[[signed.route]]
path = "/pieces/{{family}}/{{object}}/{{part}}"
class = "pieces"
[[signed.route]]
path = "/claims"
class = "depot"
"""
HTTP_CLIENTS = 200
CLAIM_BYTES = 60_000
HEAD_FIELDS = 700
PIECE_S = 0.02
FLOOD_BYTES = 64 * 1024
STORES_PER_FRAME = 16
LOST_LISTENER_S = 0.05


class Sender(StrEnum):
    """Who floods, and with what."""

    NONE = "none"
    HTTP_FORBIDDEN = "http-forbidden"  # requests without a token, sent ahead as fast as they are taken
    HTTP_HALF = "http-half"  # half of a large body
    HTTP_HEADS = "http-heads"  # heads of very many short fields that never end
    HTTP_UNREAD = "http-unread"  # signed reads of large objects, sent ahead, nothing is read
    STORE_UNASKED = "store-unasked"  # stores send large answers that nobody asked for
    STORE_ENDLESS = "store-endless"  # stores begin a large answer on each connection, and dribble
    STORE_SHORT_WORDS = "store-short-words"  # stores send messages of very many short words
    LOG_PURGES = "log-purges"  # the change log purges ever new objects as fast as it is read
    LOG_STORES = "log-stores"  # it lists ever new stores
    LOG_LARGE = "log-large"  # it sends the beginning of a frame of a gigabyte


# -- HTTP clients ---------------------------------------------------------------------------------


def _signed(path: str) -> str:
    keys = KeySet.parse(json.dumps({"keys": [SECRET]}), ALGORITHMS)
    token = issue(keys, "k", time.time() + 600, uri=BASE + path)
    return add_token(BASE + path, token).removeprefix(BASE)


async def _http_member(sender: Sender, port: int, random: Random) -> None:
    while True:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            await trio.sleep(LOST_LISTENER_S)
            continue
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await _http_act(sender, stream, random)
        await trio.aclose_forcefully(stream)


async def _http_act(sender: Sender, stream: trio.SocketStream, random: Random) -> None:
    claims = f"POST /claims HTTP/1.1\r\nhost: x\r\ncontent-length: {CLAIM_BYTES}\r\n\r\n".encode()
    match sender:
        case Sender.HTTP_FORBIDDEN:
            one = b"GET /pieces/1/%016x/0 HTTP/1.1\r\nhost: x\r\n\r\n" % random.getrandbits(60)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_read_all, stream)
                while True:
                    await stream.send_all(one * 100)
        case Sender.HTTP_HALF:
            await stream.send_all(claims + b"c" * (CLAIM_BYTES // 2))
            await _read_all(stream)
        case Sender.HTTP_HEADS:
            fields = "".join(f"a{n:x}: 1\r\n" for n in range(HEAD_FIELDS))
            await stream.send_all(f"GET / HTTP/1.1\r\nhost: x\r\n{fields}".encode())
            await _read_all(stream)
        case _:
            target = _signed(f"/pieces/1/{large_key(random.getrandbits(20))}/0")
            await stream.send_all(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode() * 32)
            await trio.sleep(3.0)


async def _read_all(stream: trio.SocketStream) -> None:
    async for _ in stream:
        pass
    raise trio.BrokenResourceError


async def _http_crowd(sender: Sender, port: int) -> None:
    async with trio.open_nursery() as nursery:
        members = 1 if sender is Sender.HTTP_FORBIDDEN else HTTP_CLIENTS
        for n in range(members):
            nursery.start_soon(_http_member, sender, port, Random(n))


# -- stores ---------------------------------------------------------------------------------------


class HostileArchive(SizedArchive):
    """Its cache answers as the others do, and sends more on each connection."""

    def __init__(self, sender: Sender) -> None:
        super().__init__(0.01, OBJECT_BYTES)
        self._sender = sender

    def _serving(self, store: str) -> Callable[[trio.SocketStream], Awaitable[None]]:
        serve = super()._serving(store)
        if store != self.stores[0][0]:
            return serve

        async def both(stream: trio.SocketStream) -> None:
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._flood, Words(stream))
                    await serve(stream)
                    nursery.cancel_scope.cancel()

        return both

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        with contextlib.suppress(trio.BusyResourceError):
            await super()._answer(store, words, message, scope)

    async def _flood(self, words: Words) -> None:
        said = b"rev=00aa,since=1764576000123,load=util:0.2;x1:0.1;x0:0.5"
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            if self._sender is Sender.STORE_ENDLESS:
                await trio.sleep(0.5)
                answer = encode(b"%016x" % 7, b"served", said, b"o" * OBJECT_BYTES)
                await words.stream.send_all(answer[: OBJECT_BYTES // 2])
                return
            number = 0
            while True:
                number += 1
                if self._sender is Sender.STORE_UNASKED:
                    await words.send(encode(b"%016x" % number, b"served", said, b"o" * OBJECT_BYTES))
                else:
                    await words.send(encode(*[b"a"] * 9) * 500)


# -- the change log -------------------------------------------------------------------------------


async def _hostile_log(sender: Sender) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.receive_some(8)
            if sender is Sender.LOG_LARGE:
                await stream.send_all(struct.pack(">IQB", 1 << 30, 2, 2))
                while True:
                    await stream.send_all(bytes(FLOOD_BYTES))
            number, random = 1, Random(1)
            while True:
                data = bytearray()
                while len(data) < FLOOD_BYTES:
                    number += 1
                    data += frame(number, *_event(sender, number, random))
                await stream.send_all(bytes(data))

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    print(json.dumps(f"127.0.0.1:{listener.socket.getsockname()[1]}"), flush=True)
    await trio.serve_listeners(serve, [listener])


def _event(sender: Sender, number: int, random: Random) -> tuple[int, bytes]:
    if sender is Sender.LOG_PURGES:
        return 3, random.randbytes(8) + struct.pack(">Q", int(time.time() * 1000))
    records = b"".join(
        struct.pack(
            ">I4sHBBBHIQ", STORES_PER_FRAME * number + n, bytes((127, 0, 0, 9)), 9, 0, 1, 0, 0, 6000, 0
        )
        for n in range(STORES_PER_FRAME)
    )
    return 2, records


# -- the run --------------------------------------------------------------------------------------


async def _child(sender: Sender, port: int) -> None:
    if sender.startswith("http"):
        await _http_crowd(sender, port)
    elif sender.startswith("store"):
        await HostileArchive(sender).serve()
    else:
        await _hostile_log(sender)


class RemoteSender:
    """The sender's process."""

    def __init__(self, sender: Sender, port: int) -> None:
        self._command = [sys.executable, "-m", "benchmarks.senders", "--child", "--sender", sender]
        self._command += ["--port", str(port)]
        self.process: trio.Process | None = None

    async def start(self, tells: bool) -> object:
        """Starts it; what it says of itself, if it `tells` anything."""
        self.process = await trio.lowlevel.open_process(
            self._command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE
        )
        assert self.process.stdout is not None
        told = b""
        while tells and not told.endswith(b"\n"):
            told += await self.process.stdout.receive_some()
        return json.loads(told or b"null")

    async def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            await self.process.wait()


async def play(given: argparse.Namespace) -> dict[str, object]:
    """Plays one sender; what was measured."""
    port, http = free_port(), free_port()
    sender = RemoteSender(given.sender, http)
    archive = RemoteArchive(0.01)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "keys.json").write_text(json.dumps({"keys": [SECRET]}))
        (folder / "op.toml").write_text(OPERATOR.format(port=http, base=BASE, keys=folder / "keys.json"))
        async with trio.open_nursery() as nursery:
            log_address = ""
            if given.sender.startswith("store"):
                archive.addresses = dict(await sender.start(tells=True))  # type: ignore[call-overload]
            else:
                await nursery.start(archive.run)
            if given.sender.startswith("log"):
                log_address = str(await sender.start(tells=True))
            told = configuration(archive, port, log_address)
            told["limits"] = {"cores": 1.0, "memory_mb": given.memory_mb, "sockets": given.sockets}
            (folder / "config.json").write_text(json.dumps(told))
            with (folder / "log").open("w") as log:
                process = await trio.lowlevel.open_process(
                    ["/bin/sh", "-c", run_command(given.program)],
                    cwd=given.program,
                    env=os.environ
                    | {
                        "LB_CONFIG": str(folder / "config.json"),
                        "TMPDIR": name,
                        "STARLINGHAVEN_OPERATOR": str(folder / "op.toml"),
                    },
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                )
            try:
                result = await _measure(given, process, port, folder / "log", sender, nursery)
            finally:
                with trio.CancelScope(shield=True):
                    await sender.end()
                    if process.returncode is None:
                        process.kill()
                    await process.wait()
                if given.log:
                    given.log.write_text((folder / "log").read_text())
            nursery.cancel_scope.cancel()
    return result


async def _measure(
    given: argparse.Namespace,
    process: trio.Process,
    port: int,
    log: Path,
    sender: RemoteSender,
    nursery: trio.Nursery,
) -> dict[str, object]:
    with trio.move_on_after(10):
        while " ready " not in log.read_text() and process.returncode is None:
            await trio.sleep(0.02)
    kinds = (RequestKind.SMALL_READ, RequestKind.SMALL_READ, RequestKind.LARGE_READ)
    usual = [UsualClient(("127.0.0.1", port), Random(n), kinds) for n in range(3)]
    for client in usual:
        nursery.start_soon(client.run)
    if given.sender.startswith("http"):
        await sender.start(tells=False)
    await trio.sleep(given.seconds)
    memory = memory_of(process.pid) if process.returncode is None else None
    return {
        "sender": given.sender,
        "exit": process.returncode,
        "peak_mb": memory and memory.peak_mb,
        "now_mb": memory and memory.now_mb,
        "usual": told_of([o for client in usual for o in client.outcomes]),
    }


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.senders", description=__doc__)
    parser.add_argument("--sender", type=Sender, default=Sender.NONE, choices=list(Sender))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--memory-mb", type=float, default=64.0)
    parser.add_argument("--sockets", type=int, default=512)
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--log", type=Path, default=None)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, default=0, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.child:
        trio.run(_child, given.sender, given.port)
    else:
        print(json.dumps(trio.run(play, given)))


if __name__ == "__main__":
    main()
