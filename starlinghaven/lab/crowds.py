"""Crowds of clients that ask for much and give little, in a process of their own.

    python -m starlinghaven.lab.crowds HOST:PORT --kinds half-written=100,piped-writes=100 --seconds 5

Each member holds one connection at a time and opens another one when it ends. At the end a line of JSON
tells how many answers came, by their word, and how many connections were opened, refused and ended by the
other side.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from enum import StrEnum
from pathlib import Path
from random import Random

import trio

from starlinghaven.lab.sizes import LARGE_KEY, WRITE_BYTES, large_key
from starlinghaven.protocol.resp import encode
from starlinghaven.standins.platform import Words

ROOT = Path(__file__).parent.parent.parent
MOST_OPEN = 32  # requests that a connection may have open (the protocol page)
TTL_MS = 3_000
READ_CLASS, WRITE_CLASS = b"pieces", b"depot"
REST_S = 0.05  # after a connection that was refused or ended at once
SILENT_S = 2.2  # for which one that stopped half-way stays; a message must be whole in 2.5 s
PIECE_S = 0.05  # between the pieces of a slow writer
SLOW_PIECE_BYTES = 1_200
SHORT_FIELDS = 640  # fields of a head with very many: some 4,000 bytes
FLOOD_BYTES = 32 * 1024  # that a flood writes at once
GAP = 3  # between the tags of a flood that leaves gaps


class CrowdKind(StrEnum):
    """What the members of a crowd do."""

    IDLE = "idle"  # connect and say nothing
    HALF_WRITTEN = "half-written"  # stop half-way through a large write
    SLOW_WRITES = "slow-writes"  # write large requests in small pieces
    SHORT_FIELDS = "short-fields"  # heads of very many short fields, the last one never ends
    PIPED_WRITES = "piped-writes"  # all the large writes that may be open, and the answers are read
    PIPED_READS = "piped-reads"  # all the large reads that may be open, and the answers are read
    UNREAD = "unread"  # the same, and nothing is read
    UNREAD_CLOSED = "unread-closed"  # the same, closed with much unread
    HEALTH_FLOOD = "health-flood"  # as fast as they are taken, and each of the following
    CANCEL_FLOOD = "cancel-flood"  # cancels of nothing
    CALL_FLOOD = "call-flood"  # small calls for ever new objects
    LEAVING_FLOOD = "leaving-flood"  # calls with their cancel
    CLASS_FLOOD = "class-flood"  # classes that do not exist
    FIELD_FLOOD = "field-flood"  # ever new fields
    TAG_FLOOD = "tag-flood"  # health checks whose tags leave gaps
    REPEATED_IDS = "repeated-ids"  # the same ids again and again, after an answer, a cancel or a close


class Member:
    """One client of a crowd."""

    _ids = 0

    def __init__(self, address: tuple[str, int], random: Random, counts: Counter[str]) -> None:
        self._address, self._random, self._counts = address, random, counts
        self._tag = 0
        self._repeated = [self._new_id() for _ in range(MOST_OPEN)]

    async def play(self, kind: CrowdKind) -> None:
        """Acts until cancelled, over one connection after the other."""
        act: Callable[[Words], Awaitable[None]] = self._actions()[kind]
        while True:
            try:
                stream = await trio.open_tcp_stream(*self._address)
            except OSError:
                self._counts["refused"] += 1
                await trio.sleep(REST_S)
                continue
            self._counts["connections"] += 1
            self._tag = 0
            try:
                await act(Words(stream))
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                self._counts["ended"] += 1
            finally:
                trio.lowlevel.notify_closing(stream.socket)
                stream.socket.close()
            await trio.sleep(self._random.uniform(0.0, REST_S))

    def _actions(self) -> Mapping[CrowdKind, Callable[[Words], Awaitable[None]]]:
        return {
            CrowdKind.IDLE: self._stay,
            CrowdKind.HALF_WRITTEN: self._write_half,
            CrowdKind.SLOW_WRITES: self._write_slowly,
            CrowdKind.SHORT_FIELDS: self._write_short_fields,
            CrowdKind.PIPED_WRITES: self._pipe_writes,
            CrowdKind.PIPED_READS: self._pipe_reads,
            CrowdKind.UNREAD: self._leave_unread,
            CrowdKind.UNREAD_CLOSED: self._close_over_unread,
            CrowdKind.HEALTH_FLOOD: self._flood(self._health),
            CrowdKind.CANCEL_FLOOD: self._flood(self._cancel),
            CrowdKind.CALL_FLOOD: self._flood(self._small_call),
            CrowdKind.LEAVING_FLOOD: self._flood(self._call_and_cancel),
            CrowdKind.CLASS_FLOOD: self._flood(self._unknown_class),
            CrowdKind.FIELD_FLOOD: self._flood(self._new_fields),
            CrowdKind.TAG_FLOOD: self._flood(self._gapped_health),
            CrowdKind.REPEATED_IDS: self._repeat_ids,
        }

    # -- what is written --------------------------------------------------------------------------

    def _next_tag(self, gap: int = 1) -> bytes:
        self._tag += gap
        return b"%d" % self._tag

    @classmethod
    def _new_id(cls) -> str:
        cls._ids += 1
        return f"c{os.getpid() % 2**20:05x}{cls._ids:010x}"

    def _write(self, call: str = "") -> bytes:
        fields = f"call={call or self._new_id()},ttl={TTL_MS},dedupe={self._random.getrandbits(64):016x}"
        body = b"w" * WRITE_BYTES
        return encode(b"RPC.CALL", self._next_tag(), WRITE_CLASS, fields.encode(), body)

    def _read(self, key: str = "", call: str = "") -> bytes:
        key = key or large_key(self._random.getrandbits(32))
        fields = f"call={call or self._new_id()},ttl={TTL_MS},row={key},block=0,family={int(key, 16) % 4}"
        return encode(b"RPC.CALL", self._next_tag(), READ_CLASS, fields.encode(), b"")

    def _health(self) -> bytes:
        return encode(b"RPC.HEALTH", self._next_tag(), b"")

    def _gapped_health(self) -> bytes:
        return encode(b"RPC.HEALTH", self._next_tag(GAP), b"")

    def _cancel(self) -> bytes:
        return encode(b"RPC.CANCEL", self._next_tag())

    def _small_call(self) -> bytes:
        return self._read(f"{self._random.getrandbits(60) & ~LARGE_KEY:016x}")

    def _call_and_cancel(self) -> bytes:
        call = self._small_call()
        return call + encode(b"RPC.CANCEL", b"%d" % self._tag)

    def _unknown_class(self) -> bytes:
        name = f"class-{self._random.getrandbits(64):x}".encode()
        fields = f"call={self._new_id()},ttl={TTL_MS}".encode()
        return encode(b"RPC.CALL", self._next_tag(), name, fields, b"")

    def _new_fields(self) -> bytes:
        fields = f"call={self._new_id()},ttl={TTL_MS},row={self._random.getrandbits(60):016x}"
        fields += "".join(f",f{self._random.getrandbits(64):x}=1" for _ in range(8))
        return encode(b"RPC.CALL", self._next_tag(), READ_CLASS, fields.encode(), b"")

    def _short_fields(self) -> bytes:
        fields = f"call={self._new_id()},ttl={TTL_MS}" + "".join(f",{n:x}=1" for n in range(SHORT_FIELDS))
        return encode(b"RPC.CALL", self._next_tag(), READ_CLASS, fields.encode(), b"")

    # -- what is done on a connection -------------------------------------------------------------

    async def _stay(self, words: Words) -> None:
        await self._listen(words)

    async def _write_half(self, words: Words) -> None:
        data = self._write()
        await words.send(data[: len(data) // 2])
        with trio.move_on_after(SILENT_S):
            await self._listen(words)

    async def _write_slowly(self, words: Words) -> None:
        data = memoryview(self._write())
        for at in range(0, len(data), SLOW_PIECE_BYTES):
            await words.send(bytes(data[at : at + SLOW_PIECE_BYTES]))
            await trio.sleep(PIECE_S)
        await self._listen(words, 1)

    async def _write_short_fields(self, words: Words) -> None:
        await words.send(self._short_fields() + self._short_fields()[:-8])
        with trio.move_on_after(SILENT_S):
            await self._listen(words)

    async def _pipe_writes(self, words: Words) -> None:
        await self._pipe(words, self._write)

    async def _pipe_reads(self, words: Words) -> None:
        await self._pipe(words, self._read)

    async def _pipe(self, words: Words, message: Callable[[], bytes]) -> None:
        """All that may be open, again and again once all is answered."""
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen, words, MOST_OPEN)
                for _ in range(MOST_OPEN):
                    await words.send(message())

    async def _leave_unread(self, words: Words) -> None:
        await words.send(b"".join(self._read() for _ in range(MOST_OPEN)))
        await trio.sleep_forever()

    async def _close_over_unread(self, words: Words) -> None:
        await words.send(b"".join(self._read() for _ in range(MOST_OPEN)))
        await trio.sleep(self._random.uniform(0.2, 1.0))

    def _flood(self, message: Callable[[], bytes]) -> Callable[[Words], Awaitable[None]]:
        async def act(words: Words) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen, words)
                while True:
                    data = bytearray()
                    while len(data) < FLOOD_BYTES:
                        data += message()
                    await words.send(bytes(data))

        return act

    async def _repeat_ids(self, words: Words) -> None:
        """Asks under the same ids on each connection, and leaves before, amid or after the answers."""
        for call in self._repeated:
            await words.send(self._read(f"{int(call[-6:], 16):016x}", call))
            if self._random.random() < 0.3:
                await words.send(encode(b"RPC.CANCEL", b"%d" % self._tag))
        with trio.move_on_after(self._random.uniform(0.0, 0.3)):
            await self._listen(words)

    async def _listen(self, words: Words, answers: int = 0) -> None:
        """Reads so many answers, or all until the end of the connection."""
        came = 0
        while (answer := await words.read()) is not None:
            self._counts[answer[1].decode("ascii", "replace")] += 1
            came += 1
            if came == answers:
                return
        raise trio.BrokenResourceError("ended by the other side")


async def play(
    address: tuple[str, int], kinds: Mapping[CrowdKind, int], seconds: float, seed: int
) -> Counter[str]:
    """Plays a crowd of so many members of each kind; what came of it."""
    counts = Counter[str]()
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for kind, members in kinds.items():
                for n in range(members):
                    member = Member(address, Random(f"{seed} {kind} {n}"), counts)
                    nursery.start_soon(member.play, kind)
    return counts


def written_kinds(kinds: Mapping[CrowdKind, int]) -> str:
    """The kinds and numbers as the command line takes them."""
    return ",".join(f"{kind}={members}" for kind, members in kinds.items())


def read_kinds(text: str) -> dict[CrowdKind, int]:
    """Kinds and numbers from the command line. Errors: ValueError."""
    pairs = [pair.partition("=") for pair in text.split(",") if pair]
    return {CrowdKind(kind): int(members) for kind, _, members in pairs}


@asynccontextmanager
async def playing(
    address: tuple[str, int], kinds: Mapping[CrowdKind, int], seconds: float, seed: int
) -> AsyncIterator[trio.Process]:
    """A crowd in a process of its own, which ends after its time, or with the block."""
    command = [sys.executable, "-m", __spec__.name, f"{address[0]}:{address[1]}"]
    command += ["--kinds", written_kinds(kinds), "--seconds", str(seconds), "--seed", str(seed)]
    process = await trio.lowlevel.open_process(
        command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE
    )
    try:
        yield process
    finally:
        with trio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.wait()


async def told(process: trio.Process) -> Counter[str]:
    """What a crowd's process says of itself once its time is over."""
    assert process.stdout is not None
    text = b"".join([data async for data in process.stdout])
    return Counter(json.loads(text or b"{}"))


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(prog="starlinghaven.lab.crowds", description=__doc__)
    parser.add_argument("address", help="HOST:PORT of the clients' front")
    parser.add_argument("--kinds", required=True, type=read_kinds, help="KIND=MEMBERS,…")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    host, _, port = given.address.rpartition(":")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print(json.dumps(trio.run(play, (host, int(port)), given.kinds, given.seconds, given.seed)))


if __name__ == "__main__":
    main()
