"""A stand-in change log with faults, written from the platform's protocol page."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

READY, DRAINING, GONE = 0, 1, 2
FIRST_NUMBER = 2  # event 1 is the list in the configuration
HEARTBEAT_S = 1.0  # seconds between two empty frames


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One numbered event, encoded for the wire."""

    number: int
    kind: int
    payload: bytes


@dataclass(slots=True)
class LogFaults:
    """What is wrong with one endpoint of the log."""

    silent: bool = False  # connections come up and stay open, but nothing is sent on them
    refused: bool = False  # connections are reset and refused
    delay_s: float = 0.0  # every frame is delivered this late, in order
    skipped: set[int] = field(
        default_factory=set
    )  # numbers left out once, on the next connection to pass them


class ChangeLog:
    """The events, and the endpoints that serve them. Events are kept: who connects later gets all of them."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []
        self._appended = trio.Event()
        self._main = LogEndpoint(self)

    @property
    def address(self) -> str:
        """HOST:PORT of the first endpoint, once `run` has started."""
        return self._main.address

    @property
    def last_number(self) -> int:
        """The number of the newest event."""
        return FIRST_NUMBER - 1 + len(self.events)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves the first endpoint."""
        await self._main.run(task_status)

    def fleet(
        self,
        store: str,
        address: str,
        state: int,
        zone: int,
        kind: int,
        started_ms: int = 0,
        cell: int = 0,
        weight: float = 6.0,
    ) -> None:
        """Appends a change of one store's line."""
        host, _, port = address.rpartition(":")
        ip = socket.inet_aton(host)
        number = int(store[2:], 16)
        record = struct.pack(
            ">I4sHBBBHIQ", number, ip, int(port), state, zone, kind, cell, round(1000 * weight), started_ms
        )
        self._append(2, record)

    def purge(self, key: str, unix_ms: int) -> None:
        """Appends the purge of an object (16 hex digits)."""
        self._append(3, bytes.fromhex(key) + struct.pack(">Q", unix_ms))

    def purge_group(self, group: int, unix_ms: int) -> None:
        """Appends the purge of a whole group."""
        self._append(4, struct.pack(">HQ", group, unix_ms))

    def _append(self, kind: int, payload: bytes) -> None:
        self.events.append(LogEvent(self.last_number + 1, kind, payload))
        appended, self._appended = self._appended, trio.Event()
        appended.set()

    async def appended(self, seconds: float) -> None:
        """Returns when an event is appended, or after so many seconds."""
        event = self._appended
        with trio.move_on_after(seconds):
            await event.wait()


class LogEndpoint:
    """One address of the log, with faults of its own that can be set at any time."""

    def __init__(
        self, log: ChangeLog, delivered: Callable[[int], None] | None = None, host: str = "127.0.0.1"
    ) -> None:
        """`delivered` hears the number of each event written to a connection."""
        self._log, self._delivered, self._host = log, delivered, host
        self.faults = LogFaults()
        self.address = ""
        self.connections = 0  # accepted since the start
        self._open: set[trio.SocketStream] = set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens and serves; closes its port for as long as `faults.refused` is set."""
        port = 0
        while True:
            (listener,) = await trio.open_tcp_listeners(port, host=self._host, backlog=1024)
            port = listener.socket.getsockname()[1]
            if not self.address:
                self.address = f"{self._host}:{port}"
                task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._serve, [listener])
                while not self.faults.refused:
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            while self.faults.refused:
                await trio.sleep(0.02)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            async with stream:
                last = await self._resumed_after(stream)
                if last is not None:
                    await self._send_frames(stream, last)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the reader has gone

    @staticmethod
    async def _resumed_after(stream: trio.SocketStream) -> int | None:
        request = b""
        while len(request) < 8:
            more = await stream.receive_some(8 - len(request))
            if not more:
                return None
            request += more
        return int.from_bytes(request, "big")

    async def _send_frames(self, stream: trio.SocketStream, last: int) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._until_closed, stream, nursery.cancel_scope)
            send, receive = trio.open_memory_channel[tuple[float, bytes, int]](100_000)
            nursery.start_soon(self._deliver, stream, receive)
            heartbeat_at = trio.current_time() + HEARTBEAT_S
            while True:
                for event in self._log.events[max(last + 1 - FIRST_NUMBER, 0) :]:
                    last = event.number
                    if event.number in self.faults.skipped:
                        self.faults.skipped.discard(event.number)
                        continue
                    data = frame(event.number, event.kind, event.payload)
                    send.send_nowait((trio.current_time(), data, event.number))
                if trio.current_time() >= heartbeat_at:
                    heartbeat_at += HEARTBEAT_S
                    send.send_nowait((trio.current_time(), frame(last, 0, b""), 0))
                await self._log.appended(max(heartbeat_at - trio.current_time(), 0.0))

    @staticmethod
    async def _until_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        while await stream.receive_some():
            pass
        scope.cancel()

    async def _deliver(
        self, stream: trio.SocketStream, frames: trio.MemoryReceiveChannel[tuple[float, bytes, int]]
    ) -> None:
        async for made_at, data, number in frames:
            while self.faults.silent or trio.current_time() < made_at + self.faults.delay_s:
                await trio.sleep(0.02)
            await stream.send_all(data)
            if number and self._delivered is not None:
                self._delivered(number)


def frame(number: int, kind: int, payload: bytes) -> bytes:
    """A frame of the change log as it stands on the wire."""
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload
