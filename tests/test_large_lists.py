"""Events of the change log that tell of many stores, on real processes with little memory."""

from __future__ import annotations

import json
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from starlinghaven.standins.changelog import DRAINING, GONE, READY
from tests.loopback import STORES, Archive, Program, in_trio, program, until
from tests.test_change_log import counted, drain_frame, purge_frame

LARGEST_FLEET = 3_200  # caches, by the platform's pages
THREE_IN_TEN = 960
OTHERS = tuple((f"s-{0x1000 + n:08x}", f"127.77.0.1:{1 + n}") for n in range(LARGEST_FLEET))
MEMORY_MB = 64
ZONE, KIND = 0, 0  # of the others: caches of another zone than the process's own
WHOLE, CHANGES = 1, 2


class LargeFleet(Archive):
    """The usual stores, and 3,200 caches of another zone at which nobody listens."""

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(super().run)
            self.stores = (*STORES, *((store, "nord", "petit") for store, _ in OTHERS))
            self.addresses |= dict(OTHERS)
            task_status.started()


def line(store: str, address: str, state: int, zone: int = ZONE, kind: int = KIND) -> bytes:
    host, _, port = address.rpartition(":")
    place = int(store[2:], 16), socket.inet_aton(host), int(port), state
    return struct.pack(">I4sHBBBHIQ", *place, zone, kind, 0, 6_000, 0)


def list_frame(number: int, kind: int, lines: Sequence[bytes]) -> bytes:
    payload = b"".join(lines)
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def ends_of(stores: Sequence[tuple[str, str]]) -> list[bytes]:
    return [line(store, address, GONE) for store, address in stores]


@dataclass(slots=True)
class RawLog:
    """A change log that sends the same bytes on each connection, and then an empty frame each second."""

    data: bytes = b""
    last: int = 1
    connected_at: list[float] = field(default_factory=list)
    address: str = ""

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connected_at.append(time.monotonic())
        try:
            await stream.receive_some(8)
            sent = 0
            while True:
                if len(self.data) > sent:
                    sent, rest = len(self.data), self.data[sent:]
                    await stream.send_all(rest)
                await stream.send_all(struct.pack(">IQB", 9, self.last, 0))
                await trio.sleep(0.2)
        except trio.BrokenResourceError:
            await stream.aclose()


@asynccontextmanager
async def beside_a_large_fleet(folder: Path, memory_mb: int) -> AsyncIterator[tuple[Program, RawLog]]:
    log = RawLog()
    limits = {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 256}}
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, log.serve, [listener])
        log.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with program(folder, changelog=log.address, archive=LargeFleet(), more=limits) as p:
            yield p, log
        nursery.cancel_scope.cancel()


def whole_list(p: Program, stores: Sequence[tuple[str, str]]) -> list[bytes]:
    """The usual stores, of which the cache drains, and others."""
    zones, kinds = ["nord", "edge-1"], ["petit", "parent", "origin"]
    usual = [
        line(
            store,
            p.archive.addresses[store],
            DRAINING if kind == "petit" else READY,
            zones.index(zone),
            kinds.index(kind),
        )
        for store, zone, kind in STORES
    ]
    return usual + [line(store, address, READY) for store, address in stores]


async def asked_stores(p: Program) -> set[str]:
    """Where some requests for objects of their own go."""
    p.archive.orders.clear()
    client = await p.client()
    for n in range(4):
        await client.call(key=f"{n:016x}")
    return {order["at"] for order in p.archive.orders}


@in_trio
async def test_what_follows_an_event_of_three_in_ten_of_the_largest_fleet_is_heard(tmp_path: Path) -> None:
    """Guards against an event that is refused for its size: nothing behind it was ever heard."""
    async with beside_a_large_fleet(tmp_path, MEMORY_MB) as (p, log):
        cache = STORES[0][0]
        assert cache in await asked_stores(p)
        log.last = 4
        log.data = list_frame(2, CHANGES, ends_of(OTHERS[:THREE_IN_TEN])) + purge_frame(3)
        log.data += drain_frame(4, cache, p.archive.addresses[cache])
        await counted(p, " purges=1 ")
        await trio.sleep(0.2)
        assert cache not in await asked_stores(p)
        assert len(log.connected_at) == 1


@in_trio
async def test_several_long_lists_in_one_write_are_all_heard(tmp_path: Path) -> None:
    """Guards against lists that fit one by one and not together, and a whole list that fits nowhere."""
    async with beside_a_large_fleet(tmp_path, MEMORY_MB) as (p, log):
        log.last = 5
        log.data = list_frame(2, CHANGES, ends_of(OTHERS)) + list_frame(
            3, CHANGES, [line(store, address, READY) for store, address in OTHERS]
        )
        log.data += list_frame(4, WHOLE, whole_list(p, OTHERS[: LARGEST_FLEET // 2])) + purge_frame(5)
        await counted(p, " purges=1 ")
        await trio.sleep(0.2)
        assert STORES[0][0] not in await asked_stores(p)
        assert len(log.connected_at) == 1


@pytest.mark.parametrize("bad", [b"\xff" * 4, struct.pack(">I", 3), struct.pack(">IQB", 9, 1 << 60, 0)])
def test_a_log_that_can_not_be_read_counts_as_told_and_is_not_asked_at_full_speed(
    bad: bytes, tmp_path: Path
) -> None:
    """Guards against news that is passed over quietly: copies may be void, and balancers must hear of it."""
    in_trio(lambda folder: _unreadable(folder, bad))(tmp_path)


async def _unreadable(folder: Path, bad: bytes) -> None:
    async with beside_a_large_fleet(folder, MEMORY_MB) as (p, log):
        log.data = bad
        with trio.fail_after(10):
            await until(lambda: len(log.connected_at) >= 6)
        gaps = [b - a for a, b in zip(log.connected_at, log.connected_at[1:], strict=False)]
        assert gaps[-1] > 0.7, "the pause grows"
        await counted(p, " changelog_unreadable=")
        assert "can't be read" in p.log()
        await (await p.client()).call(key="00000000000000aa")
        assert 0 < int(p.archive.orders[-1].get("cap", "0")) < 5_000, "what may be purged is asked for anew"


@in_trio
async def test_a_long_list_in_a_configuration_that_is_read_again_is_heard(tmp_path: Path) -> None:
    """Guards the other way in: SIGHUP brings events that the log could not tell."""
    async with beside_a_large_fleet(tmp_path, MEMORY_MB) as (p, log):
        path, cache = tmp_path / "config.json", STORES[0][0]
        told = json.loads(path.read_text())
        fleet = told["known"]["results"][0]["fleet"]
        ended = [e | {"lifecycle": "left"} for e in fleet["instances"][-THREE_IN_TEN:]]
        drains = [e | {"lifecycle": "leaving"} for e in fleet["instances"] if e["instanceId"] == cache]
        changes = {"generation": 2, "reset": False, "instances": ended + drains}
        told["known"] = {"seq": 2, "results": [*told["known"]["results"], {"seq": 2, "fleet": changes}]}
        log.last = 2
        path.write_text(json.dumps(told))
        p.process.send_signal(signal.SIGHUP)
        await p.logged("configuration reloaded")
        await trio.sleep(0.2)
        assert cache not in await asked_stores(p)
