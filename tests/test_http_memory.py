"""Requests over HTTP where others hold the front's memory: each that was taken gets its one response."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from starlinghaven.memory import Account, own_account
from starlinghaven.program.fronts.http import MOST_AHEAD, Exchange, HttpResponse, HttpServer
from starlinghaven.routing.types import Counters
from starlinghaven.transport.connection import ConnectionAccounts
from starlinghaven.transport.listener import Listener
from tests.loopback import in_trio, until

LIMIT = 1 << 20
BODY = b"claim " * 1_000
HEAD = b"POST /claims HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(BODY)


class Front:
    """A server whose requests are answered when the test says so."""

    def __init__(self) -> None:
        self.account: Account = own_account(LIMIT)
        self.exchanges: list[Exchange] = []
        self.counters = Counters()
        self.listener = Listener("127.0.0.1:0", ConnectionAccounts.shared(self.account), 16)
        self.server = HttpServer(self.listener, self.take, self.counters, self.account)

    async def take(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.listener.port)

    def hold_all_but(self, left: int) -> int:
        """What slow readers would hold."""
        held = self.account.free - left
        self.account.take(held)
        return held


@asynccontextmanager
async def serving() -> AsyncIterator[Front]:
    front = Front()
    async with trio.open_nursery() as nursery:
        await front.listener.open()
        await nursery.start(front.server.clients.run)
        yield front
        nursery.cancel_scope.cancel()


async def status(stream: trio.SocketStream) -> bytes:
    """The status of the next response; an end without one raises or is empty."""
    data = b""
    while b"\r\n\r\n" not in data and (got := await stream.receive_some()):
        data += got
    return data.split(b" ")[1] if data else b""


async def send_in_pieces(front: Front, stream: trio.SocketStream) -> int:
    """A claim in two pieces; between them slow readers take the memory. Returns how much they hold."""
    await stream.send_all(HEAD + BODY[:100])
    await until(lambda: any(link.amid for link in front.server.clients.all))
    held = front.hold_all_but(front.account.reserve // 2)
    await stream.send_all(BODY[100:])
    return held


@in_trio
async def test_a_request_that_finds_no_memory_is_read_once_there_is_some(tmp_path: Path) -> None:
    """Guards claims beside slow readers: their connection was reset with no response."""
    async with serving() as front:
        stream = await front.connect()
        held = await send_in_pieces(front, stream)
        await trio.sleep(0.3)
        front.account.give(held)
        await until(lambda: front.exchanges)
        assert front.exchanges[0].request.body == BODY
        front.exchanges[0].respond(HttpResponse(200))
        assert await status(stream) == b"200"


@in_trio
async def test_a_request_that_finds_no_memory_for_long_is_refused_with_a_response(tmp_path: Path) -> None:
    """Guards against a wait without end, and against an end without a response."""
    async with serving() as front:
        stream = await front.connect()
        held = await send_in_pieces(front, stream)
        assert await status(stream) == b"503"
        assert front.counters["http_refused_for_memory"] == 1 and not front.exchanges
        front.account.give(held)
        await until(lambda: not front.server.clients.all)
        assert not front.account.held


@in_trio
async def test_a_request_at_work_is_answered_whatever_is_sent_behind_it(tmp_path: Path) -> None:
    """Guards a request that was taken: what its client sent ahead was the end of its connection."""
    async with serving() as front:
        stream = await front.connect()
        await stream.send_all(HEAD + BODY)
        await until(lambda: front.exchanges)
        async with trio.open_nursery() as nursery:
            ahead = (HEAD + BODY) * (2 * MOST_AHEAD // len(BODY))
            nursery.start_soon(stream.send_all, ahead)
            await trio.sleep(0.3)
            assert not front.exchanges[0].gone
            answered = 0
            while answered < 1 + 2 * MOST_AHEAD // len(BODY):
                await until(lambda: len(front.exchanges) > answered)  # noqa: B023
                front.exchanges[answered].respond(HttpResponse(200))
                assert await status(stream) == b"200"
                answered += 1
