"""A Unix socket between two processes of an upgrade, on which descriptors travel with bytes."""

from __future__ import annotations

import contextlib
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable

import trio

from starlinghaven.transport.ring import Memory, NoMemory, Ring

DESCRIPTORS = 16  # at most with one reading
_ANCILLARY = socket.CMSG_SPACE(DESCRIPTORS * 4)

Feed = Callable[[Ring, deque[int]], Awaitable[int]]
"""Takes what it can use; descriptors are in order, each there once the first byte it came with is."""


class Channel:
    """Owns its end of the socket, and the descriptors on it until they are taken or written."""

    def __init__(self, sock: trio.socket.SocketType, memory: Memory) -> None:
        self._sock, self._in = sock, Ring(memory)
        self._queue: deque[tuple[bytes, int | None]] = deque()
        self._work = trio.Event()
        self._idle = trio.Event()
        self._fds: deque[int] = deque()
        self.closed = False

    def write(self, data: bytes, fd: int | None = None) -> None:
        """Queues bytes in order. The descriptor is the channel's from now on."""
        if self.closed:
            if fd is not None:
                os.close(fd)
            return
        self._queue.append((data, fd))
        self._work.set()

    async def flushed(self) -> None:
        """Waits until all that is queued has been written, or the other end is gone."""
        while self._queue and not self.closed:
            self._idle = trio.Event()
            await self._idle.wait()

    async def serve(self, feed: Feed) -> None:
        """Reads and writes until the other end closes; gives everything back."""
        try:
            with contextlib.suppress(OSError, NoMemory):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_out)
                    await self._read_in(feed)
                    nursery.cancel_scope.cancel()
        except* (OSError, NoMemory):
            pass  # the other process broke off: the same as an end
        finally:
            self.closed = True
            self._sock.close()
            self._in.close()
            for fd in [*self._fds, *(fd for _, fd in self._queue if fd is not None)]:
                os.close(fd)
            self._idle.set()

    async def _read_in(self, feed: Feed) -> None:
        while True:
            got, told, _, _ = await self._sock.recvmsg_into([self._in.space()], _ANCILLARY)
            for level, kind, data in told:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    whole = len(data) - len(data) % 4
                    self._fds += [int.from_bytes(data[n : n + 4], "little") for n in range(0, whole, 4)]
            if not got:
                return
            self._in.filled(got)
            wanted = await feed(self._in, self._fds)
            self._in.reserve(max(wanted, self._in.size + 1))

    async def _write_out(self) -> None:
        while True:
            while not self._queue:
                self._idle.set()
                self._work = trio.Event()
                await self._work.wait()
            data, fd = self._queue[0]
            rest = memoryview(data)
            if fd is not None:
                rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, fd.to_bytes(4, "little"))]
                rest = rest[await self._sock.sendmsg([rest], rights) :]
                os.close(fd)
                self._queue[0] = (data, None)
            while rest:
                rest = rest[await self._sock.send(rest) :]
            self._queue.popleft()
