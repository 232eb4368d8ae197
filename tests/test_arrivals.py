"""Requests that lay unread while the process stood still: their clients' time has run meanwhile."""

from __future__ import annotations

import math
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import pytest
import trio

from starlinghaven.standins.platform import STORES, Archive
from starlinghaven.transport import arrivals
from starlinghaven.transport import input_age as input_age_module
from starlinghaven.transport import listener as listener_module
from starlinghaven.transport.arrivals import ArrivalWatch
from starlinghaven.transport.connection import HIGH_WATER, Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.queue_age import QueueAge
from starlinghaven.transport.ring import Ring
from tests.loopback import in_trio, program, until
from tests.steps import accounts

STOPPED_S, TTL_MS = 1.0, 2_000


@in_trio
async def test_a_store_gets_no_more_time_than_a_client_has_whose_request_lay_unread(tmp_path: Path) -> None:
    archive = Archive()
    own_copies = {"flow_bytes_per_s": 310_000.0, "link_bytes_per_s": 1_240_000.0}
    async with program(tmp_path, archive=archive, more=own_copies) as p:
        client = await p.client()
        await client.call()
        p.process.send_signal(signal.SIGSTOP)
        await trio.sleep(0.1)
        asked = time.monotonic()
        await client.send(key="00000000000000ab", ttl=str(TTL_MS))
        await trio.sleep(STOPPED_S)
        p.process.send_signal(signal.SIGCONT)
        answer = await client.words.read()
        assert answer is not None and answer[1] == b"RESULT"
        answered = time.monotonic()
        (order,) = (o for o in archive.orders if o["k"] == "00000000000000ab")
        left_ms = TTL_MS - 1000 * STOPPED_S
        assert int(order["w"]) <= left_ms + 150 and answered - asked < 2.0
        await client.call(key="00000000000000ac", ttl=str(TTL_MS))
        assert int(archive.orders[-1]["w"]) > 0.8 * (TTL_MS - 150), "what comes later has all its time"


@in_trio
async def test_a_client_that_connected_while_the_process_stood_still_is_not_given_its_whole_time_again(
    tmp_path: Path,
) -> None:
    archive = Archive()
    async with program(tmp_path, archive=archive) as p:
        p.process.send_signal(signal.SIGSTOP)
        await trio.sleep(0.1)
        clients = [await p.client() for _ in range(12)]
        for n, client in enumerate(clients):
            await client.send(key=f"{n:016x}", ttl=str(TTL_MS))
        await trio.sleep(STOPPED_S)
        p.process.send_signal(signal.SIGCONT)
        for client in clients:
            assert await client.words.read() is not None
        assert len(archive.orders) == len(clients)
        assert max(int(order["w"]) for order in archive.orders) <= TTL_MS - 1000 * STOPPED_S + 150
        await trio.sleep(0.5)
        await (await p.client()).call(key="00000000000000ac", ttl=str(TTL_MS))
        assert int(archive.orders[-1]["w"]) > 0.8 * (TTL_MS - 150), "what comes later has all its time"


@in_trio
async def test_requests_that_lay_unread_are_old_also_when_they_are_read_in_many_pieces(
    tmp_path: Path,
) -> None:
    archive, many = Archive(), 8
    async with program(tmp_path, archive=archive) as p:
        client = await p.client()
        await client.call()
        archive.orders.clear()
        p.process.send_signal(signal.SIGSTOP)
        await trio.sleep(0.1)
        for n in range(many):
            fields = f"call={n:016x},ttl={TTL_MS},row={n:016x},block=0,family=17"
            await client.words.write(b"RPC.CALL", b"%d" % (n + 2), b"pieces", fields.encode(), b"x" * 20_000)
        await trio.sleep(STOPPED_S)
        p.process.send_signal(signal.SIGCONT)
        for _ in range(many):
            assert await client.words.read() is not None
        left_ms = TTL_MS - 1000 * STOPPED_S
        assert max(int(order["w"]) for order in archive.orders) <= left_ms + 150


def test_only_waits_that_were_interrupted_or_did_not_block_leave_doubt() -> None:
    watch = ArrivalWatch()
    watch.before_io_wait(0.1)
    time.sleep(0.03)
    watch.after_io_wait(0.1)
    assert watch.unread_for_s() < 0.005, "an event ended the wait"
    time.sleep(0.03)
    watch.before_io_wait(0.0)
    watch.after_io_wait(0.0)
    assert watch.unread_for_s() >= 0.03, "it may have come while the loop was busy"
    watch.before_io_wait(0.001)
    time.sleep(0.1)
    watch.after_io_wait(0.001)
    assert watch.unread_for_s() >= 0.1, "it may have come while the process stood still"
    watch.before_io_wait(0.0)
    watch.after_io_wait(0.0)
    assert watch.unread_for_s() >= 0.1, "an interrupted wait may have ended without a look"


@in_trio
async def test_the_time_in_a_full_accept_queue_is_taken_from_what_a_store_is_given(tmp_path: Path) -> None:
    places, held_s = 32, 1.0
    caches = tuple((f"s-{n:08x}", "edge-1", "petit") for n in range(0x10, 0x15))
    archive = Archive((*caches, *STORES))
    archive.plan = {f"{n:016x}": (held_s, "served") for n in range(places)}
    more = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2 * places}}
    async with program(tmp_path, archive=archive, more=more) as p:
        holders = [await p.client() for _ in range(places)]
        for n, holder in enumerate(holders):
            await holder.send(key=f"{n:016x}", ttl="5000")
        await until(lambda: len(archive.orders) == places)
        late = await p.client()
        await late.send(key="00000000000000ab", ttl=str(TTL_MS))
        asked = time.monotonic()
        answer = await late.words.read()
        assert answer is not None and answer[1] == b"RESULT"
        (order,) = (o for o in archive.orders if o["k"] == "00000000000000ab")
        waited_ms = 1000 * (time.monotonic() - asked)
        assert waited_ms > 500 and int(order["w"]) <= TTL_MS - waited_ms + 150
        await late.call(key="00000000000000ac", ttl=str(TTL_MS))
        assert int(archive.orders[-1]["w"]) > 0.8 * (TTL_MS - 150), "what comes later has all its time"


@in_trio
async def test_connections_that_come_together_after_a_long_rest_are_not_taken_for_old(tmp_path: Path) -> None:
    ages: list[float] = []
    arrivals.install()
    listener = Listener("127.0.0.1:0", accounts(1 << 24), most=20)
    await listener.open()

    async def serve(connection: Connection) -> None:
        ages.append(connection.unread_for_s())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, serve, lambda: False)
        await trio.sleep(0.5)
        sockets = [socket.create_connection(("127.0.0.1", listener.port)) for _ in range(3)]
        await until(lambda: len(ages) == len(sockets))
        nursery.cancel_scope.cancel()
    for sock in sockets:
        sock.close()
    assert max(ages) < 0.1


def test_the_earliest_arrival_is_the_last_sample_without_it_in_the_queue() -> None:
    queue = QueueAge()
    assert queue.take() == -math.inf
    queue.sample(0, 10.0)
    queue.sample(2, 10.5)
    queue.sample(2, 11.0)
    queue.sample(3, 11.5)
    assert [queue.take() for _ in range(4)] == [10.0, 10.0, 11.0, 11.5]
    queue.sample(0, 20.0)
    queue.sample(5, 21.0, full=True)
    queue.sample(5, 22.0)
    assert queue.take(5) == 20.0
    queue.sample(5, 23.0)
    assert queue.take(5) == 20.0, "it may have waited for room as long as that"
    queue.sample(0, 24.0)
    queue.sample(1, 25.0)
    assert queue.take() == 24.0


@asynccontextmanager
async def served(feed: Callable[[Connection, Ring], Awaitable[int]]) -> AsyncIterator[trio.SocketStream]:
    """A client's stream to a listener whose connections are fed to `feed`."""
    arrivals.install()
    listener = Listener("127.0.0.1:0", accounts(1 << 26), most=20)
    await listener.open()

    async def serve(connection: Connection) -> None:
        await connection.serve(partial(feed, connection))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, serve, lambda: False)
        stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
        yield stream
        await stream.aclose()
        nursery.cancel_scope.cancel()


@in_trio
async def test_what_lay_unread_behind_back_pressure_is_as_old_as_its_wait(tmp_path: Path) -> None:
    ages: list[float] = []

    async def feed(connection: Connection, ring: Ring) -> int:
        ages.append(connection.unread_for_s())
        if ring.take(ring.size) == b"one":
            while connection.unsent <= HIGH_WATER:
                connection.write(bytes(1 << 18))
                await trio.sleep(0.01)
        return 1

    async with served(feed) as stream:
        await stream.send_all(b"one")
        await until(lambda: len(ages) == 1)
        await stream.send_all(b"two")
        await trio.sleep(0.5)
        while len(ages) < 2:
            await stream.receive_some()
        await stream.send_all(b"three")
        while len(ages) < 3:
            with trio.move_on_after(0.01):
                await stream.receive_some()
    assert ages[0] < 0.1 and ages[1] >= 0.49 and ages[2] < 0.1


@in_trio
async def test_what_came_while_earlier_input_was_being_handled_is_as_old_as_that(tmp_path: Path) -> None:
    ages: list[float] = []

    async def feed(connection: Connection, ring: Ring) -> int:
        ages.append(connection.unread_for_s())
        if ring.take(ring.size) == b"one":
            await trio.sleep(0.5)
        return 1

    async with served(feed) as stream:
        for text in (b"one", b"two"):
            await stream.send_all(text)
            await trio.sleep(0.05)
        await until(lambda: len(ages) == 2)
        await trio.sleep(0.5)
        await stream.send_all(b"three")
        await until(lambda: len(ages) == 3)
    assert ages[0] < 0.1 and ages[1] >= 0.4 and ages[2] < 0.1


@in_trio
async def test_where_the_system_does_not_say_how_much_waits_nothing_is_taken_for_old(tmp_path: Path) -> None:
    ages: list[float] = []

    async def feed(connection: Connection, ring: Ring) -> int:
        ages.append(connection.unread_for_s())
        ring.skip(ring.size)
        await trio.sleep(0.2)
        return 1

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(input_age_module, "unread_bytes", lambda _: None)
        patch.setattr(listener_module, "waiting_connections", lambda _: None)
        async with served(feed) as stream:
            for n in range(4):
                await stream.send_all(b"x")
                await until(lambda n=n: len(ages) == n + 1)  # type: ignore[misc]
    assert max(ages) < 0.1
