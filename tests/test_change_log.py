"""The change log over loopback: what was delivered counts, however its connection ends."""

from __future__ import annotations

import signal
import socket
import struct
import time
from pathlib import Path

import trio

from tests.loopback import KEY, STORES, Archive, Program, in_trio, program, until


def purge_frame(number: int, key: str = KEY) -> bytes:
    return struct.pack(">IQB8sQ", 25, number, 3, bytes.fromhex(key), int(time.time() * 1000))


def drain_frame(number: int, store: str, address: str) -> bytes:
    host, _, port = address.rpartition(":")
    place = (int(store[2:], 16), socket.inet_aton(host), int(port), 1, 1, 0, 0, 6_000, 0)
    return struct.pack(">IQB", 36, number, 2) + struct.pack(">I4sHBBBHIQ", *place)


async def counted(p: Program, text: str) -> None:
    with trio.fail_after(5):
        while text not in p.log():
            p.process.send_signal(signal.SIGUSR1)
            await trio.sleep(0.05)


@in_trio
async def test_news_that_lies_behind_a_gap_is_not_lost_with_its_connection(tmp_path: Path) -> None:
    archive, connections = Archive(), 0

    async def log(stream: trio.SocketStream) -> None:
        nonlocal connections
        connections += 1
        await stream.receive_some(8)
        if connections == 1:
            store = STORES[0][0]
            gap = struct.pack(">IQB", 9, 3, 0)
            drain = drain_frame(5, store, archive.addresses[store])
            await stream.send_all(purge_frame(2) + gap + purge_frame(4) + drain)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, log, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with program(tmp_path, changelog=address, archive=archive) as p:
            await until(lambda: connections == 2)
            await counted(p, " purges=2")
            await (await p.client()).call()
            assert [order["at"] for order in archive.orders] != [STORES[0][0]]
        nursery.cancel_scope.cancel()


@in_trio
async def test_news_that_lies_unread_on_a_log_that_is_left_is_not_lost(tmp_path: Path) -> None:
    streams: list[trio.SocketStream] = []

    async def log(stream: trio.SocketStream) -> None:
        await stream.receive_some(8)
        streams.append(stream)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(2):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, log, [listener])
            addresses.append(f"127.0.0.1:{listener.socket.getsockname()[1]}")
        async with program(tmp_path, changelog=addresses[0]) as p:
            await until(lambda: len(streams) == 1)
            p.process.send_signal(signal.SIGSTOP)
            await trio.sleep(0.1)
            await streams[0].send_all(b"".join(purge_frame(n) for n in range(2, 1_002)))
            path = tmp_path / "config.json"
            path.write_text(path.read_text().replace(addresses[0], addresses[1]))
            p.process.send_signal(signal.SIGHUP)
            p.process.send_signal(signal.SIGCONT)
            await until(lambda: len(streams) == 2)
            await counted(p, " purges=1000")
        nursery.cancel_scope.cancel()
