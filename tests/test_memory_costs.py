"""What the budget counts for a thing is at least what the interpreter allocates for it."""

from __future__ import annotations

import gc
import socket
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio

from starlinghaven import interface as i
from starlinghaven.decisions.load import LoadModel
from starlinghaven.decisions.popularity import Popularity
from starlinghaven.decisions.purges import PurgeTable
from starlinghaven.decisions.rankings import Rankings
from starlinghaven.decisions.stores import StoreState
from starlinghaven.decisions.table_sizes import (
    COUNT_BYTES,
    PURGE_BYTES,
    RANKED_STORE_BYTES,
    RANKING_BYTES,
    TableSizes,
)
from starlinghaven.memory import own_account
from starlinghaven.program.fronts.platform import Client, PlatformFront
from starlinghaven.program.fronts.used_tags import PREPAID_APART, TAG_BYTES, UsedTags
from starlinghaven.protocol.resp import encode
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.request_memory import REQUEST_BYTES
from starlinghaven.routing.store_table import STORE_BYTES
from starlinghaven.routing.types import Counters, FleetNews, Store
from starlinghaven.transport.connection import COST, PREPAID, Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring
from tests.helpers import CACHE, OFFICE, SETTINGS, cache
from tests.loopback import in_trio, until
from tests.steps import Posts, Stores, Time, Wire, accounts, drive, engine

COUNT = 400  # things of a kind


@contextmanager
def measured() -> Iterator[Callable[[], float]]:
    """Bytes allocated since the begin of the block and still held, for each of COUNT things."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]

    def each() -> float:
        gc.collect()
        return (tracemalloc.get_traced_memory()[0] - before) / COUNT

    try:
        yield each
    finally:
        tracemalloc.stop()


def key(n: int) -> str:
    return f"{n:016x}"


@in_trio
async def test_a_connection_at_rest(tmp_path: Path) -> None:
    listener, posts = Listener("127.0.0.1:0", accounts(1 << 28), 2 * COUNT), Posts()
    front = PlatformFront(
        cast(Engine, posts),
        SETTINGS,
        ("a", "b", "c"),
        lambda: b"READY",
        listener,
        Counters(),
        answers=own_account(1 << 20),
        tags=own_account(1 << 20),
    )
    await listener.open()
    clients = [socket.socket() for _ in range(COUNT)]
    async with trio.open_nursery() as nursery:
        await nursery.start(front.clients.run)
        with measured() as each:
            for client in clients:
                client.connect(("127.0.0.1", listener.port))
                await trio.lowlevel.checkpoint()
            await until(lambda: len(front.clients.all) == COUNT)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert each() <= COST - 2 * PREPAID - PREPAID_APART * TAG_BYTES
        nursery.cancel_scope.cancel()
    for client in clients:
        client.close()


def test_an_open_request_with_an_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LoadModel, "load", lambda *_: 0.0)  # nothing is refused for load
    monkeypatch.setattr(LoadModel, "held", lambda *_: 0.0)
    made = engine(Time(), Stores())

    async def post(event: Any) -> None:
        made.handle(event)

    made.post = post  # type: ignore[method-assign]
    front = SimpleNamespace(
        engine=made, settings=SETTINGS, counters=Counters(), classes={"video": 0}, closed=False, served=None,
        state=lambda: b"READY", answers=own_account(1 << 20), tags=own_account(1 << 20),
    )  # fmt: skip
    clients = [
        (Client(cast(PlatformFront, front), cast(Connection, Wire())), Ring(own_account(1 << 20)))
        for _ in range(COUNT // 25 + 1)
    ]

    def ask(n: int) -> None:
        client, ring = clients[n // 25]
        fields = f"call={key(n)},ttl=5900,row={key(n)},block=3,family=17,heap=412.5,cached={key(n)}"
        ring.put(encode(b"RPC.CALL", b"%d" % (n % 25 + 1), b"video", fields.encode(), b""))
        drive(client.feed(ring))

    for n in range(COUNT, COUNT + 20):
        ask(n)
    with measured() as each:
        for n in range(COUNT):
            ask(n)
        assert made.open_requests == COUNT + 20
        assert each() <= REQUEST_BYTES


def test_a_tag_above_a_gap() -> None:
    tags = UsedTags(own_account(1 << 20))
    with measured() as each:
        for n in range(COUNT):
            tags.use(3 * n + 1_000_000_000_000)
        assert each() <= TAG_BYTES


def test_a_listed_store() -> None:
    made = Engine(SETTINGS, 7, Time().clock(), Counters())
    with measured() as each:
        stores = tuple(
            Store(
                f"s-{n:08x}",
                f"10.0.{n // 250}.{n % 250}:8443",
                i.Phase.UP,
                OFFICE,
                CACHE,
                n % 5,
                6.0,
                1e12 + n,
            )
            for n in range(COUNT)
        )
        made.handle(FleetNews(i.ListKind.COMPLETE, stores))
        assert len(made.fleet_ids) == COUNT
        assert each() <= STORE_BYTES


def test_entries_of_the_tables_of_the_decisions() -> None:
    popularity = Popularity(Random(1), 0.0, TableSizes().counts)
    with measured() as each:
        for n in range(COUNT):
            popularity.count(key(n), True, 0.0)
        assert each() <= COUNT_BYTES
    purges = PurgeTable(COUNT, 1e9)
    with measured() as each:
        for n in range(COUNT):
            purges.record(key(n), float(n), float(n))
        assert each() <= PURGE_BYTES
    stores, rankings = [StoreState(cache(n)) for n in range(9)], Rankings(1 << 24)
    with measured() as each:
        for n in range(COUNT):
            rankings.keep((False, key(n), n), sorted(stores, key=lambda s: s.m.store))
        assert each() <= RANKING_BYTES + 9 * RANKED_STORE_BYTES
    assert TableSizes.within(1 << 20).counts < TableSizes().counts
