"""Clients that read slowly: what they have yet to read is not lost to the end of their connection."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from starlinghaven.program.fronts import clients as clients_module
from starlinghaven.program.fronts import platform as platform_module
from starlinghaven.transport import connection as connection_module
from tests.loopback import in_trio, until
from tests.test_handover import BODY, EIGHT, Caller, Side, caller, join, laden, sides


class Clock:
    """The clock by which fronts close connections."""

    def __init__(self) -> None:
        self.s = 1_000.0

    def monotonic(self) -> float:
        return self.s


@contextmanager
def stepped() -> Iterator[Clock]:
    """A clock that stands still but for the steps of a test, and frequent looks for connections to close."""
    clock = Clock()
    with pytest.MonkeyPatch.context() as patch:
        for module in (clients_module, platform_module):
            patch.setattr(module, "time", SimpleNamespace(monotonic=clock.monotonic))
        patch.setattr(clients_module, "SWEEP_S", 0.005)
        yield clock


async def goes_on(side: Side, client: Caller) -> None:
    """The client gets all that it was answered, and what it asks next."""
    await client.call()
    await until(lambda: len(side.taken) == 9)
    side.answer(8, b"next")
    assert await client.answers(9) == [*EIGHT, (9, b"RESULT", b"next")]


@in_trio
async def test_a_connection_is_not_idle_while_its_client_reads(tmp_path: Path) -> None:
    """Guards requests that a client writes behind answers that it still reads: it can't see a close."""
    side = Side()
    with stepped() as clock:
        async with sides(side, buffer=None):
            client = await laden(side, 8)
            assert not any(link.connection.unsent for link in side.front.clients.all), "the system has it"
            (link,) = side.front.clients.all
            clock.s += platform_module.IDLE_S + 1.0
            await until(lambda: link.ends_at > clock.s or not link.connection.usable)
            await goes_on(side, client)


@in_trio
async def test_a_connection_whose_client_reads_is_not_closed_to_make_room(tmp_path: Path) -> None:
    """Guards the same in a crowd: that it was answered some time ago does not mean that it rests."""
    side = Side()
    with stepped() as clock:
        async with sides(side, buffer=None):
            client = await laden(side, 8)
            assert not any(link.connection.unsent for link in side.front.clients.all), "the system has it"
            crowd = [await caller(side) for _ in range(side.listener.most - 1)]
            clock.s += 2 * clients_module.RESTED_S
            crowd.append(await caller(side))
            assert side.front.clients.closed[clients_module.CloseReason.ROOM] == 1
            await goes_on(side, client)
            for other in crowd:
                await other.words.stream.aclose()


@in_trio
async def test_a_client_that_reads_nothing_for_long_is_closed(tmp_path: Path) -> None:
    """Guards places: what is never read can't keep a connection for ever."""
    side = Side()
    with stepped() as clock:
        async with sides(side, buffer=None):
            client = await laden(side, 2)
            (link,) = side.front.clients.all
            side.front.clients._close_expired()
            clock.s += connection_module.STALL_S + 1.0
            await until(lambda: not link.connection.usable)
            await client.words.stream.aclose()


@in_trio
async def test_a_steady_slow_reader_is_not_taken_for_silent(tmp_path: Path) -> None:
    """Guards clients whose buffer drains too slowly to be called writable within the time of a stall."""
    side = Side()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "STALL_S", 0.2)
        async with sides(side, buffer=1 << 20):
            client = await laden(side, 16)
            stream, got = client.words.stream, 0
            while got < 1 << 20:
                got += len(await stream.receive_some(4096))
                await trio.sleep(0.005)
            (link,) = side.front.clients.all
            assert link.connection.usable
            while got < 16 * len(BODY):
                got += len(await stream.receive_some(1 << 16))


@in_trio
async def test_a_connection_that_was_handed_over_is_not_idle_while_its_client_reads(tmp_path: Path) -> None:
    """Guards the same after an upgrade: what the older process has written is still on its way."""
    older, newer = Side(), Side()
    with stepped() as clock:
        async with sides(older, newer, buffer=None) as nursery:
            client = await laden(older, 8)
            join(nursery, older, newer)
            await until(lambda: newer.front.clients.all)
            (link,) = newer.front.clients.all
            clock.s += platform_module.IDLE_S + 1.0
            await until(lambda: link.ends_at > clock.s or not link.connection.usable)
            assert link.connection.usable and await client.answers(8) == EIGHT
