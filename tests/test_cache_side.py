"""The cache side alone: drops that cross a dial or an answer, and connections that fall silent."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest
import trio
import trio.testing

from starlinghaven import interface as i
from starlinghaven.memory import own_account
from starlinghaven.program import caches as module
from starlinghaven.program.caches import CacheLink, Caches
from starlinghaven.protocol import caches
from starlinghaven.protocol.resp import encode
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Ask, Attempt, Counters, Ended
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.pool import DialFailed
from starlinghaven.transport.ring import Ring
from tests.loopback import Words, in_trio, until
from tests.steps import Posts, Time, Wire, accounts, drive


def attempt(number: int = 0) -> Attempt:
    ask = Ask(id="00aa", cls=0, taken_ms=0.0, patience_ms=900.0, key="k")
    return Attempt(ask, 1, number, "s-1", "127.0.0.1:1", 800.0, Time().clock().now())


def link(posts: Posts) -> tuple[CacheLink, Wire, dict[Any, Any]]:
    wire, where = Wire(), dict[Any, Any]()
    return CacheLink(cast(Connection, wire), cast(Engine, posts), "127.0.0.1:1", where), wire, where


def says(to: CacheLink, *words: bytes) -> None:
    ring = Ring(own_account(1 << 20))
    ring.put(encode(*words))
    drive(to.feed(ring))


@asynccontextmanager
async def side() -> AsyncIterator[tuple[Caches, Posts]]:
    posts = Posts()
    made = Caches(
        cast(Engine, posts), ["video"], accounts(1 << 20), Counters(), dial_s=0.2, streams=9, idle_s=9, most=9
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        await trio.testing.wait_all_tasks_blocked()
        yield made, posts
        nursery.cancel_scope.cancel()


@in_trio
async def test_an_attempt_dropped_as_its_dial_ends_is_neither_sent_nor_told_of(tmp_path: Path) -> None:
    """The dial's task can be ready to go on when the drop comes: cancelling it is too late then."""
    for fails in (False, True):
        async with side() as (cache_side, posts):
            one, (up, wire, _) = attempt(), link(posts)

            async def dial(
                _: str, met: object, one: Attempt = one, up: CacheLink = up, fails: bool = fails
            ) -> CacheLink:
                await trio.lowlevel.checkpoint()
                cache_side.drop(one)
                if fails:
                    raise DialFailed("refused")
                return up

            setattr(cache_side.pool, "link", dial)  # noqa: B010
            cache_side.send(one)
            await trio.testing.wait_all_tasks_blocked()
            assert wire.written == [] and posts.events == [] and not one.written


@in_trio
async def test_a_refused_dial_is_told_as_no_connection(tmp_path: Path) -> None:
    async with side() as (cache_side, posts):
        cache_side.send(one := attempt())
        while not posts.events:
            await trio.sleep(0.005)
        assert posts.events == [Ended(one, i.Code.NO_CONNECTION)] and not one.written


@in_trio
async def test_an_id_is_written_once_on_a_connection_and_what_comes_late_there_ends_nothing(
    tmp_path: Path,
) -> None:
    """A second answer, or one that crosses a DROP, would end the later attempt here while it goes on at the
    store: the next would run beside it, and a "never ran" of the first be believed of the second."""
    said = list[tuple[trio.SocketStream, list[bytes]]]()

    async def store(stream: trio.SocketStream) -> None:
        words = Words(stream)
        while (message := await words.read()) is not None:
            said.append((stream, message))

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, store, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with side() as (cache_side, posts):
            before: list[Attempt] = []
            for n, how in enumerate((b"overload", b"drop", b"out")):
                before.append(one := replace(attempt(n), address=address, before=before))
                cache_side.send(one)
                await until(lambda n=n: sum(m[0] == b"GET" for _, m in said) == n + 1)  # type: ignore[misc]
                if how == b"drop":
                    cache_side.drop(one)
                elif how == b"overload":
                    await said[0][0].send_all(encode(b"00aa", how, b"-", b""))
                    await until(lambda: posts.events)
            gets = [stream for stream, message in said if message[0] == b"GET"]
            assert len(set(gets)) == 3, "each has a connection of its own"
            for late in gets[:2]:
                await late.send_all(encode(b"00aa", b"overload", b"-", b""))
            await gets[2].send_all(encode(b"00aa", b"served", b"-", b"x"))
            await until(lambda: len(posts.events) > 1)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert posts.events == [Ended(before[0], i.Code.FULL), Ended(before[2], i.Code.OK, b"x")]
        nursery.cancel_scope.cancel()


@in_trio
async def test_what_is_out_when_a_connection_breaks_is_reset_and_what_never_left_surely_never_ran(
    tmp_path: Path,
) -> None:
    posts = Posts()
    up, wire, where = link(posts)
    one, other = attempt(), replace(attempt(), ask=replace(attempt().ask, id="00bb"))
    up.carry(one, b"whole")
    wire.takes = False
    up.carry(other, b"kept back")
    wire.sent += len(b"kept b")
    drive(up.ended())
    assert posts.events == [Ended(one, i.Code.RESET), Ended(other, i.Code.NO_CONNECTION)]
    assert up.streams == 0 and where == {}


@in_trio
async def test_an_attempt_that_may_not_begin_when_its_dial_ends_is_not_written(tmp_path: Path) -> None:
    """The peer takes the connection only once the decision has been turned: the dial crosses it."""
    got = list[bytes]()

    async def store(stream: trio.SocketStream) -> None:
        async for data in stream:
            got.append(bytes(data))

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, store, [listener])
        async with side() as (cache_side, posts):
            one = replace(attempt(), address=f"127.0.0.1:{listener.socket.getsockname()[1]}")
            cache_side.send(one)  # no connection yet: its task dials
            posts.begins = False
            await until(lambda: posts.events)
            assert posts.events == [Ended(one, i.Code.MOOT)] and not one.written
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert got == []
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_copy_is_current_only_if_the_store_named_the_one_the_client_has(tmp_path: Path) -> None:
    for have, rev in (("", "00bb"), ("00aa", "00bb"), ("00aa", ""), ("00bb", "00bb")):
        posts = Posts()
        up, _, _ = link(posts)
        one = attempt()
        one.ask = replace(one.ask, have=have)
        up.carry(one, b"GET")
        says(up, b"00aa", b"still_good", f"rev={rev}".encode(), b"")
        (ended,) = posts.events
        assert isinstance(ended, Ended) and ended.code is (i.Code.OK if have == rev else i.Code.ERROR)
        assert posts.counters["bad_answers"] == (have != rev)


@in_trio
async def test_a_store_that_breaks_the_protocol_loses_its_connection(tmp_path: Path) -> None:
    up, wire, _ = link(Posts())
    says(up, b"00aa", b"novel")
    assert wire.closed


@in_trio
async def test_a_connection_that_stays_silent_is_closed_with_all_that_is_out_on_it(tmp_path: Path) -> None:
    """A machine that vanished never resets, and a DROP may be read no more: only the close gives up."""
    accepted, ended = list[trio.SocketStream](), list[trio.SocketStream]()

    async def silent(stream: trio.SocketStream) -> None:
        accepted.append(stream)
        while await stream.receive_some():
            pass
        ended.append(stream)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, silent, [listener])
        async with side() as (cache_side, posts):
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(module, "SILENT_S", 0.05)
                for n in range(2):
                    one = attempt(n)
                    one.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                    cache_side.send(one)
                    while len(accepted) <= n or not one.written:
                        await trio.sleep(0.005)
                    other = attempt(n)
                    other.ask, other.address = replace(one.ask, id="00bb"), one.address
                    cache_side.send(other)
                    await trio.sleep(0.1)
                    cache_side.drop(one)
                    while len(ended) <= n:
                        await trio.sleep(0.005)
                    assert posts.events[n:] == [Ended(other, i.Code.RESET)]
        assert len(accepted) == 2
        nursery.cancel_scope.cancel()


@in_trio
async def test_the_deadline_that_a_store_is_given_is_less_by_the_dial_that_went_before(
    tmp_path: Path,
) -> None:
    async with side() as (cache_side, posts):
        time = Time()
        posts.clock = time.clock()
        one, (up, wire, _) = attempt(), link(posts)
        one.sent_ms = posts.clock.now()

        async def dial(_: str, met: object) -> CacheLink:
            time.s += 0.4
            await trio.lowlevel.checkpoint()
            return up

        setattr(cache_side.pool, "link", dial)  # noqa: B010
        cache_side.send(one)
        await until(lambda: wire.written)
        assert b"w=400" in wire.written[0], "of 800 ms"


@in_trio
async def test_a_stop_of_the_process_right_before_a_request_is_written_has_it_decided_anew(
    tmp_path: Path,
) -> None:
    async with side() as (cache_side, posts):
        up, wire, _ = link(posts)
        setattr(cache_side.pool, "ready", lambda *_: up)  # noqa: B010
        with pytest.MonkeyPatch.context() as patch:

            def stopped(order: caches.Order) -> bytes:
                posts.time.s += 8.0
                return b"GET"

            patch.setattr(caches, "get", stopped)
            cache_side.send(one := attempt())
            await until(lambda: posts.events)
        assert wire.written == [] and not one.written
        assert posts.events == [Ended(one, i.Code.MOOT)]
        cache_side.send(other := replace(attempt(), sent_ms=posts.clock.now()))
        assert len(wire.written) == 1 and other.written
