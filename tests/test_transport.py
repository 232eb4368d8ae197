"""Connections, the pool and the listener on loopback: limits, ends, and what is given back."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from starlinghaven.transport import connection as connection_module
from starlinghaven.transport import pool as pool_module
from starlinghaven.transport.connection import HIGH_WATER, Connection, ConnectionAccounts
from starlinghaven.transport.listener import Listener, split_address
from starlinghaven.transport.pool import MOST_UNSENT_S, DialFailed, Link, Pool
from starlinghaven.transport.ring import Ring
from tests.loopback import free_port, in_trio, until
from tests.steps import accounts


class Plain(Link):
    """A link that keeps what comes in."""

    def __init__(self, connection: Connection) -> None:
        super().__init__(connection)
        self.got, self.over = b"", False

    async def feed(self, ring: object) -> int:
        assert isinstance(ring, Ring)
        self.got += ring.take(ring.size)
        return 1

    async def ended(self) -> None:
        self.over = True


@asynccontextmanager
async def pool(given: ConnectionAccounts, **more: Any) -> AsyncIterator[Pool[Plain]]:
    options = {"dial_s": 0.3, "streams": 2, "idle_s": 60.0, "most": 8} | more
    made: Pool[Plain] = Pool(lambda _, c: Plain(c), given, **options)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        await trio.testing.wait_all_tasks_blocked()
        yield made
        nursery.cancel_scope.cancel()
    assert made.count == 0 and given.input.memory.used == 0, "all is given back"


@asynccontextmanager
async def echo() -> AsyncIterator[str]:
    async def serve(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_link_is_shared_up_to_its_streams_and_another_one_dialed_then(tmp_path: Path) -> None:
    async with echo() as address, pool(accounts(1 << 20)) as p:
        links = []
        for _ in range(3):
            links.append(await p.link(("s", address)))
            links[-1].begin()
        assert links[0] is links[1] is not links[2] and p.count == 2
        links[0].connection.write(b"hello")
        await until(lambda: links[0].got == b"hello")


@in_trio
async def test_a_link_shared_by_many_gets_a_second_one_beside_it_without_a_wait(tmp_path: Path) -> None:
    """One answer that can't be read ends all that is open on its connection."""
    async with echo() as address, pool(accounts(1 << 20), streams=100) as p:
        place = ("s", address)
        first = await p.link(place)
        for _ in range(pool_module.SHARED):
            assert p.ready(place) is first
            first.begin()
        assert p.ready(place) is first, "it does not wait for the dial"
        await until(lambda: p.ready(place) is not first)
        assert p.count == 2
    async with echo() as address, pool(accounts(1 << 20), streams=100, most=2) as p:
        first = await p.link(("s", address))
        for _ in range(2 * pool_module.SHARED):
            first.begin()
        await trio.sleep(0.05)
        assert p.ready(("s", address)) is first and p.count == 1, "the places left are for other stores"


@in_trio
async def test_a_refused_dial_and_a_silent_one_fail_in_time_for_all_who_wait(tmp_path: Path) -> None:
    """A caller who gives up does not end the dial of the others: the pool owns it."""
    failures: list[str] = []

    async def wait(p: Pool[Plain], address: str) -> None:
        with pytest.raises(DialFailed) as caught:
            await p.link(("s", address))
        failures.append(str(caught.value))

    with socket.socket() as full:  # a listener whose queue is full answers no dial
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = f"127.0.0.1:{full.getsockname()[1]}"
        with socket.create_connection(split_address(address)):
            async with pool(accounts(1 << 20)) as p:
                await wait(p, f"127.0.0.1:{free_port()}")
                await wait(p, "no address")
                failures.pop()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait, p, address)
                    with trio.move_on_after(0.05):
                        await p.link(("s", address))
                    nursery.start_soon(wait, p, address)
                assert len(failures) == 3 and "not up within" in failures[1] and failures[1] == failures[2]
                assert p.count == 0


@in_trio
async def test_an_idle_link_is_closed_and_a_retired_one_with_its_last_stream(tmp_path: Path) -> None:
    async with echo() as address, pool(accounts(1 << 20), idle_s=0.2) as p:
        idle = await p.link(("s", address))
        await until(lambda: idle.over)
        busy = await p.link(("s", address))
        busy.begin()
        p.retire(busy)
        assert await p.link(("s", address)) is not busy
        await trio.sleep(0.1)
        assert not busy.over
        busy.done()
        await until(lambda: busy.over)


@in_trio
async def test_outbound_connections_are_bounded(tmp_path: Path) -> None:
    async with echo() as address, pool(accounts(1 << 20), most=1, streams=1) as p:
        (await p.link(("s", address))).begin()
        with pytest.raises(DialFailed):
            await p.link(("s", address))


@in_trio
async def test_a_link_on_which_an_answer_stopped_in_its_middle_is_closed(tmp_path: Path) -> None:
    """Else all that is open on it waits for its own time-out. One that only waits stays."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pool_module, "STUCK_S", 0.05)
        async with echo() as address, pool(accounts(1 << 20)) as p:
            links = [await p.link((name, address)) for name in ("a", "b")]
            for link in links:
                link.begin()
                link.connection.write(b"half")
            await until(lambda: all(link.got == b"half" for link in links))
            links[0].reads(amid=True)
            await until(lambda: links[0].over)
            assert not links[1].over and p.ready(("b", address)) is links[1]


@in_trio
async def test_an_address_that_passes_to_another_store_gets_connections_of_its_own(tmp_path: Path) -> None:
    async with echo() as address, pool(accounts(1 << 20)) as p:
        old = await p.link(("s-1", address))
        assert await p.link(("s-2", address)) is not old
        p.forget("s-1")
        await until(lambda: old.over)
        assert p.ready(("s-1", address)) is None and p.ready(("s-2", address)) is not None


@in_trio
async def test_a_dial_for_a_store_that_left_meanwhile_gives_no_connection_to_who_answers(
    tmp_path: Path,
) -> None:
    connected, go_on = trio.Event(), trio.Event()
    real = Pool._connect

    async def slow(self: Pool[Plain], place: tuple[str, str]) -> Plain:
        link = await real(self, place)
        connected.set()
        await go_on.wait()
        return link

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Pool, "_connect", slow)
        async with echo() as address, pool(accounts(1 << 20), dial_s=5.0) as p:
            async with trio.open_nursery() as nursery:

                async def dial() -> None:
                    with pytest.raises(DialFailed):
                        await p.link(("s-1", address))

                nursery.start_soon(dial)
                await connected.wait()
                p.forget("s-1")
                go_on.set()
            assert p.ready(("s-1", address)) is None and p.count == 0


@asynccontextmanager
async def served(
    given: ConnectionAccounts, most: int = 4
) -> AsyncIterator[tuple[Listener, list[Plain], str]]:
    listener, links = Listener(f"127.0.0.1:{free_port()}", given, most), list[Plain]()

    async def serve(connection: Connection) -> None:
        links.append(Plain(connection))
        await connection.serve(links[-1].feed)

    def make_room() -> bool:
        if links:
            links[0].connection.abort()
        return False

    async with trio.open_nursery() as nursery:
        await listener.open()
        nursery.start_soon(listener.run, serve, make_room)
        yield listener, links, f"127.0.0.1:{listener.port}"
        nursery.cancel_scope.cancel()
    assert listener.count == 0 and given.input.memory.used == 0


@in_trio
async def test_at_its_limit_the_listener_makes_room(tmp_path: Path) -> None:
    async with served(accounts(1 << 20), most=1) as (listener, links, address):
        first = await trio.open_tcp_stream(*split_address(address))
        await until(lambda: links)
        second = await trio.open_tcp_stream(*split_address(address))
        assert await first.receive_some() == b"", "the idle one is closed"
        await second.send_all(b"x")
        await until(lambda: links[-1].got == b"x")
        assert listener.count == 1


@in_trio
async def test_a_peer_that_reads_nothing_is_not_read_from_and_then_cut_off(
    tmp_path: Path,
) -> None:
    async with served(accounts(1 << 24)) as (listener, links, address):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connection_module, "STALL_S", 0.5)
            peer = await trio.open_tcp_stream(*split_address(address))
            await until(lambda: links)
            while links[0].connection.unsent <= HIGH_WATER:
                links[0].connection.write(bytes(1 << 18))
                await trio.testing.wait_all_tasks_blocked()
            await peer.send_all(b"one")
            await until(lambda: links[0].got == b"one")  # what was waited for is still read
            await peer.send_all(b"two")
            await until(lambda: links[0].connection.closed)
            assert links[0].got == b"one"
            await peer.aclose()
            await until(lambda: listener.count == 0)


@in_trio
async def test_a_message_that_waits_for_memory_too_long_loses_its_connection(tmp_path: Path) -> None:
    """Guards against many half-read messages that wait for each other's memory for ever."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "STARVED_S", 0.2)
        async with served(accounts(1 << 16)) as (_, links, address):

            async def hungry(ring: object) -> int:
                return 1 << 17

            patch.setattr(Plain, "feed", staticmethod(hungry))
            peer = await trio.open_tcp_stream(*split_address(address))
            await peer.send_all(b"x" * (1 << 17))
            assert await peer.receive_some() == b""


@pytest.mark.parametrize("text", ["", "host", "host:", "host:x", ":80", "host:70000"])
def test_what_is_no_address(text: str) -> None:
    with pytest.raises(ValueError):
        split_address(text)


@in_trio
async def test_what_is_written_leaves_at_once_and_the_rest_in_order_also_detached(tmp_path: Path) -> None:
    """No task has to wake for an answer that the socket takes; what it doesn't take is never overtaken."""
    async with served(accounts(1 << 26)) as (_, links, address):
        host, port = split_address(address)
        for detached in (False, True):
            stream = await trio.open_tcp_stream(host, port)
            await stream.send_all(b"x")
            await until(lambda: links and links[-1].got == b"x" and not links[-1].connection.closed)
            connection = links[-1].connection
            connection.write(b"first")
            assert not connection.unsent
            whole = b"first"
            for n in range(100):
                connection.write(bytes([n]) * 65_000)
                whole += bytes([n]) * 65_000
            assert connection.unsent
            rest = b""
            if detached:
                held = list[bytes]()

                async def taken(held: list[bytes] = held, connection: Connection = connection) -> bool:
                    held += connection.unsent_pieces(65_000)
                    connection.cede()
                    return True

                assert await connection.hand_over(taken)
                rest = b"".join(held)
                assert rest
            got = b""
            while len(got) + len(rest) < len(whole):
                got += await stream.receive_some()
            assert got + rest == whole
            await stream.aclose()
            await until(lambda: links[-1].connection.closed)
            links.clear()


class Silent(Link):
    """A connection whose peer says nothing."""

    async def ended(self) -> None:
        pass


@in_trio
async def test_half_a_request_that_has_waited_too_long_is_never_made_whole(tmp_path: Path) -> None:
    got, read_on = bytearray(), trio.Event()

    async def store(stream: trio.SocketStream) -> None:
        await read_on.wait()
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in stream:
                got.extend(data)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, store, [listener])
        pool: Pool[Link] = Pool(
            lambda _, c: Silent(c), accounts(1 << 25), dial_s=1.0, streams=4, idle_s=9.0, most=9
        )
        nursery.start_soon(pool.run)
        await trio.testing.wait_all_tasks_blocked()
        link = await pool.link(("s", f"127.0.0.1:{listener.socket.getsockname()[1]}"))
        request = bytes(8 * 1024 * 1024 - 1)
        link.connection.write(request)
        assert link.connection.unsent
        waited_from = trio.current_time()
        while trio.current_time() <= waited_from + MOST_UNSENT_S:
            await trio.sleep(0.02)
        read_on.set()
        with trio.fail_after(5):
            await until(lambda: link.connection.closed)
        assert len(got) < len(request) and link.connection.sent < len(request)
        nursery.cancel_scope.cancel()


@in_trio
async def test_want_of_memory_that_others_hold_fails_an_answer_and_not_its_connection(
    tmp_path: Path,
) -> None:
    given = accounts(1 << 20)
    async with served(given) as (_, links, address):
        peer = await trio.open_tcp_stream(*split_address(address))
        await until(lambda: links)
        connection = links[0].connection
        while not connection.unsent:
            connection.write(b"a" * (1 << 16))
        held = given.output.free
        given.output.take(held)
        connection.write(b"b" * (1 << 18), instead=b"c")
        assert connection.usable
        connection.write(b"d")
        got = b""
        while not got.endswith(b"d"):
            got += await peer.receive_some()
        assert got.strip(b"a") == b"cd"
        given.output.give(held)
        await peer.aclose()
