"""A Unix socket between two processes of an upgrade, on which descriptors travel with bytes."""

from __future__ import annotations

import logging
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from starlinghaven.memory import Account, NoMemory
from starlinghaven.transport import sockets
from starlinghaven.transport.ring import READ, Ring

log = logging.getLogger(__name__)

MOST_PEEKED = 64 * 1024  # bytes of unread input that are looked through
DESCRIPTORS = 16  # at most with one reading
_DESCRIPTOR_BYTES = 4
_ANCILLARY = socket.CMSG_SPACE(DESCRIPTORS * _DESCRIPTOR_BYTES)

Feed = Callable[[Ring, deque[int]], Awaitable[int]]
"""Takes what it can use; descriptors are in order, each there once the first byte it came with is."""


@dataclass(slots=True)
class Outgoing:
    """Bytes that wait to be written, the descriptor that goes with the first of them, and their memory."""

    data: memoryview
    fd: int | None = None
    counted: int = 0  # bytes of the account that they hold

    def keep_descriptor(self) -> None:
        """The descriptor does not leave any more, if it has not."""
        self.fd = None


class Channel:
    """Owns its end of the socket, and the descriptors that came in until they are taken.

    It has an account of its own: a channel must work also where other connections hold all memory.
    """

    def __init__(self, sock: trio.socket.SocketType, account: Account) -> None:
        """`account` is for what comes in, and for what waits to be written where `write` says so."""
        self._sock, self._account = sock, account
        self._in = Ring(account)
        self._queue: deque[Outgoing] = deque()
        self._work = trio.Event()
        self._idle = trio.Event()
        self._fds: deque[int] = deque()
        self.closed = False

    def write(self, data: bytes, counted: bool = False) -> None:
        """Queues bytes in order. Errors: NoMemory, if they are to be counted and there is none for them."""
        held = len(data) if counted and not self.closed else 0
        self._account.take(held)
        rest = memoryview(data)
        if not self._queue and not self.closed:  # what it tells may be awaited, and the loop be slow
            rest = rest[self._send_now(data) :]
        if rest:
            self._put(Outgoing(rest, counted=held))
        else:
            self._account.give(held)

    def _send_now(self, data: bytes) -> int:
        """Sends what the socket takes at once."""
        try:
            return os.write(self._sock.fileno(), data)
        except OSError:
            return 0  # full, or broken: the writing task waits, or meets the error

    def unread_input(self) -> bytes:
        """Bytes that have come in and were not used, here and in the system; they stay."""
        if self.closed:
            return b""
        return self._in.peek(0, self._in.size) + sockets.peeked(self._sock.fileno(), MOST_PEEKED)

    def write_with(self, data: bytes, fd: int | None) -> Outgoing:
        """Queues bytes with a descriptor, which stays the caller's.

        The caller sees to it that the descriptor is open until the bytes have left, or keeps it back.
        """
        outgoing = Outgoing(memoryview(data), fd)
        self._put(outgoing)
        return outgoing

    def _put(self, outgoing: Outgoing) -> None:
        if not self.closed:
            self._queue.append(outgoing)
            self._work.set()

    async def flushed(self) -> None:
        """Waits until all that is queued has been written, or the other end is gone."""
        while self._queue and not self.closed:
            if self._idle.is_set():  # else others wait for it already
                self._idle = trio.Event()
            await self._idle.wait()

    async def serve(self, feed: Feed) -> None:
        """Reads and writes until the other end closes; gives everything back. Errors: those of `feed`."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_out)
                await self._read_in(feed)
                nursery.cancel_scope.cancel()
        except* (OSError, NoMemory) as errors:
            log.warning("the other process of the upgrade broke off: %s", errors.exceptions)
        finally:
            self.closed = True
            self._sock.close()
            self._in.close()
            for fd in self._fds:
                os.close(fd)
            self._account.give(sum(outgoing.counted for outgoing in self._queue))
            self._queue.clear()
            self._idle.set()

    async def _read_in(self, feed: Feed) -> None:
        wanted = 1
        while True:
            self._in.reserve(max(wanted, self._in.size + 1, READ))
            await trio.lowlevel.wait_readable(self._sock)  # what is read must not wait for the next turn
            try:
                got, told, flags, _ = sockets.received(self._sock.fileno(), self._in.space(), _ANCILLARY)
            except BlockingIOError:
                continue  # trio may wake too early
            for level, kind, data in told:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    self._fds += _descriptors(data)
            if flags & socket.MSG_CTRUNC:
                log.warning("a descriptor from the other process could not be had")
            if not got:
                return
            self._in.filled(got)
            wanted = await feed(self._in, self._fds)

    async def _write_out(self) -> None:
        while True:
            while not self._queue:
                self._idle.set()
                self._work = trio.Event()
                await self._work.wait()
            outgoing = self._queue[0]
            if outgoing.fd is not None:
                number = outgoing.fd.to_bytes(_DESCRIPTOR_BYTES, "little")
                rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, number)]
                outgoing.data = outgoing.data[await self._sock.sendmsg([outgoing.data], rights) :]
                outgoing.fd = None
            while outgoing.data:
                outgoing.data = outgoing.data[await self._sock.send(outgoing.data) :]
            self._queue.popleft()
            self._account.give(outgoing.counted)


def _descriptors(data: bytes) -> list[int]:
    whole = len(data) - len(data) % _DESCRIPTOR_BYTES
    return [
        int.from_bytes(data[n : n + _DESCRIPTOR_BYTES], "little") for n in range(0, whole, _DESCRIPTOR_BYTES)
    ]
