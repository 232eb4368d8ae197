"""A new process at the address of one that has gone is not taken for it."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from starlinghaven.standins.changelog import READY, ChangeLog
from tests.loopback import STORES, Archive, Program, in_trio, program

CACHE = STORES[0][0]
AT_ONCE_S = 0.3  # in which a request is answered that waits for no silent connection


def started_ms() -> int:
    """Of a process that started long enough ago to be warm, and later than all that are listed (Unix ms)."""
    return int(1000 * (time.time() - 60.0))


class TakenOver(Archive):
    """The cache's process can vanish, and another one comes up at its address."""

    def __init__(self) -> None:
        super().__init__()
        self.process = 1  # at the cache's address
        self.reached: list[
            tuple[int, int]
        ] = []  # of each connection there: process when made, when written to

    def _serving(self, store: str) -> Callable[[trio.SocketStream], Awaitable[None]]:
        serve = super()._serving(store)
        if store != CACHE:
            return serve

        async def of_one_process(stream: trio.SocketStream) -> None:
            process = self.process
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._vanish, process, nursery.cancel_scope)
                await serve(stream)
                return
            await trio.sleep_forever()  # it stays open and silent

        return of_one_process

    async def _vanish(self, process: int, serving: trio.CancelScope) -> None:
        while self.process == process:
            await trio.sleep(0.001)
        serving.cancel()


@asynccontextmanager
async def playing(folder: Path) -> AsyncIterator[tuple[Program, TakenOver, ChangeLog]]:
    archive, log = TakenOver(), ChangeLog()
    async with trio.open_nursery() as nursery:
        await nursery.start(log.run)
        async with program(folder, changelog=log.address, archive=archive) as p:
            yield p, archive, log
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_store_that_starts_anew_gets_nothing_on_connections_of_the_process_before(
    tmp_path: Path,
) -> None:
    async with playing(tmp_path) as (p, archive, log):
        client = await p.client()
        assert (await client.call())[1] == b"RESULT"
        archive.process += 1
        log.fleet(CACHE, archive.addresses[CACHE], READY, 1, 0, started_ms())
        await trio.sleep(0.2)
        with trio.fail_after(AT_ONCE_S):
            assert (await client.call())[1] == b"RESULT"
        assert [order["at"] for order in archive.orders] == [CACHE, CACHE]
