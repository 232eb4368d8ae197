"""Clients whose tags are new on each connection and have gaps, as the protocol allows."""

from __future__ import annotations

import itertools
import random
import socket
import tempfile
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
import trio

from starlinghaven.program.fronts.used_tags import MOST_APART
from tests.loopback import CALLS, Archive, Program, Words, in_trio, program
from tests.test_change_log import counted

LEAST = {"limits": {"cores": 1.0, "memory_mb": 36, "sockets": 256}}
CONNECTIONS, OPEN = 4, 16
REQUESTS = 3 * MOST_APART  # of all connections, each with two tags: more than are remembered
LARGEST_TAG = (1 << 63) - 1


class Connection:
    """A client's connection that takes its tags from wherever it is told to."""

    def __init__(self, stream: trio.SocketStream, tags: Iterator[int]) -> None:
        self.words, self.tags = Words(stream), tags
        self.open: set[int] = set()
        self.answered = 0

    async def ask(self, tag: int | None = None, key: str = "00000000000000aa", ttl: int = 5_000) -> None:
        tag = next(self.tags) if tag is None else tag
        self.open.add(tag)
        fields = f"call={next(CALLS):016x},ttl={ttl},row={key},block=0,family=17"
        await self.words.write(b"RPC.HEALTH", b"%d" % next(self.tags), b"")
        await self.words.write(b"RPC.CALL", b"%d" % tag, b"pieces", fields.encode(), b"")

    async def hear(self) -> bytes:
        """The word of the next answer to a call."""
        while (answer := await self.words.read()) is not None:
            if int(answer[0]) in self.open:
                self.open.remove(int(answer[0]))
                self.answered += 1
                return answer[1]
        raise AssertionError(f"the connection ended with {len(self.open)} requests open")

    async def play(self, requests: int) -> None:
        """So many requests, with as many open at a time as may be usual."""
        for _ in range(min(OPEN, requests)):
            await self.ask()
        for n in range(requests):
            assert await self.hear() in (b"RESULT", b"REJECT")
            if n + OPEN < requests:
                await self.ask()


def one_counter() -> list[Iterator[int]]:
    shared = itertools.count(1)
    return [shared] * CONNECTIONS


def random_order() -> list[Iterator[int]]:
    return [iter(random.Random(n).sample(range(1, 1 << 20), 4 * REQUESTS)) for n in range(CONNECTIONS)]


def very_large() -> list[Iterator[int]]:
    return [itertools.count(LARGEST_TAG - n, -7) for n in range(CONNECTIONS)]


async def connected(p: Program, tags: list[Iterator[int]]) -> list[Connection]:
    return [Connection(await trio.open_tcp_stream("127.0.0.1", p.port), each) for each in tags]


async def play(connections: list[Connection], requests: int) -> None:
    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(connection.play, requests // CONNECTIONS)


@pytest.mark.parametrize("order", [one_counter, random_order, very_large])
def test_connections_whose_tags_have_gaps_are_not_ended(order: object, tmp_path: Path) -> None:
    """Guards requests that were taken: they were lost when the table of used tags was full."""

    async def run(folder: Path) -> None:
        assert callable(order)
        async with program(folder, more=LEAST) as p:
            connections = await connected(p, order())
            await play(connections, REQUESTS)
            assert not any(connection.open for connection in connections)
            await counted(p, " tags_forgotten=")

    in_trio(run)(tmp_path)


@in_trio
async def test_the_tag_of_an_open_call_is_never_taken_again(tmp_path: Path) -> None:
    """Guards the one answer of a call: its tag is remembered while it is open, whatever was forgotten."""
    archive = Archive()
    archive.plan["00000000000000bb"] = (30.0, "served")
    async with program(tmp_path, more=LEAST, archive=archive) as p:
        (connection,) = await connected(p, [itertools.count(100, 2)])
        await connection.ask(tag=2, key="00000000000000bb", ttl=12_000)
        for _ in range(MOST_APART // 2 + OPEN):
            await connection.ask()
            await connection.hear()
        assert connection.open == {2}
        await connection.ask(tag=2)
        with pytest.raises(AssertionError, match="ended"):
            await connection.hear()
        assert "the tag of an open call is used again" in p.log()


@in_trio
async def test_tags_with_gaps_go_on_through_an_upgrade(tmp_path: Path) -> None:
    """Guards what is handed over of used tags: the newer process may have no memory for all of it."""
    with tempfile.TemporaryDirectory(prefix="up", dir="/tmp") as shared:
        with socket.create_server(("127.0.0.1", 0)) as passed:
            limits = {"limits": {"cores": 1.0, "memory_mb": 72, "sockets": 256}}
            start = partial(program, tmp_path, passed=passed, more=limits, TMPDIR=shared)
            async with start() as old:
                connections = await connected(old, one_counter())
                await play(connections, REQUESTS // 4)
                async with start(beside=old) as new:
                    old.process.terminate()
                    await play(connections, REQUESTS // 4)
                    assert await old.exit_code() == 0
                    assert f" clients handed over={CONNECTIONS} refused=0 kept=0" in old.log()
                    await play(connections, REQUESTS // 4)
                    assert not any(connection.open for connection in connections)
                    assert "client closed" not in old.log() + new.log()
