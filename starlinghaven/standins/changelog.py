"""A stand-in change log: numbered events, each told to every proxy that is connected or comes later."""

from __future__ import annotations

import socket
import struct

import trio

READY, DRAINING, GONE = 0, 1, 2


class ChangeLog:
    """Event 1 is the list in the configuration; what is added here is told as later ones."""

    def __init__(self) -> None:
        self._events: list[tuple[int, int, bytes]] = []
        self._news = trio.Event()
        self.address = ""

    def fleet(self, store: str, address: str, state: int, zone: int, kind: int, started_ms: int = 0) -> None:
        """One store's line has changed."""
        host, _, port = address.rpartition(":")
        record = struct.pack(
            ">I4sHBBBHIQ", int(store[2:], 16), socket.inet_aton(host), int(port), state, zone, kind, 0,
            6_000, started_ms,
        )  # fmt: skip
        self._add(2, record)

    def purge(self, key: str, unix_ms: int) -> None:
        """An object is purged."""
        self._add(3, bytes.fromhex(key) + struct.pack(">Q", unix_ms))

    def _add(self, kind: int, payload: bytes) -> None:
        self._events.append((len(self._events) + 2, kind, payload))
        news, self._news = self._news, trio.Event()
        news.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            asked = b""
            while len(asked) < 8:
                if not (more := await stream.receive_some(8 - len(asked))):
                    return
                asked += more
            (last,) = struct.unpack(">Q", asked)
            while True:
                news = self._news
                for number, kind, payload in self._events:
                    if number > last:
                        last = number
                        await stream.send_all(_frame(number, kind, payload))
                with trio.move_on_after(1.0):
                    await news.wait()
                    continue
                await stream.send_all(_frame(last, 0, b""))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload
