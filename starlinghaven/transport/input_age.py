"""Since when the input of one connection may have waited, in the system's buffers and in its ring."""

from __future__ import annotations

import math
import socket
import time

import trio

from starlinghaven.transport import arrivals
from starlinghaven.transport.queue_age import QueueAge, unread_bytes

FULL_SHARE = 0.25  # of the receive buffer that is filled, from which the peer's window may have closed


class InputAge:
    """Bounds the age of what is read, by samples of what waits. Times are seconds on the monotonic clock."""

    def __init__(self, sock: trio.socket.SocketType, came_after: float | None) -> None:
        """`came_after`: when the first input can have come at the earliest; now, if None."""
        self._sock, self._queue = sock, QueueAge()
        self._queue.sample(0, time.monotonic() if came_after is None else came_after)
        self._read_came_after = math.inf  # when what was read last can have come at the earliest

    def look(self, readable: bool) -> None:
        """Notes how much input waits to be read; `readable` says whether there is any."""
        if not readable:
            self._queue.sample(0, time.monotonic())
            return
        length = unread_bytes(self._sock.fileno())
        if length is None:
            self._queue = QueueAge()  # what is not known bounds nothing
        elif length:
            room = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            self._queue.sample(length, time.monotonic(), full=length >= room * FULL_SHARE)

    def read(self, count: int, awaited: bool, to_last: bool = False) -> None:
        """So many bytes were read; `awaited` if nothing was there at the look before.

        `to_last`: they end a message, whose time counts from the last of them.
        """
        if awaited:  # nothing was there until the event loop looked for the last time before this
            self._queue.sample(0, time.monotonic() - arrivals.unread_for_s())
        came_after = self._queue.take_to_last(count) if to_last else self._queue.take(count)
        self._read_came_after = came_after if came_after > -math.inf else math.inf

    def note_wait_for(self, unread: int) -> None:
        """The event loop has just found so many bytes unread; at its look before that there were fewer."""
        self._queue.sample(unread - 1, time.monotonic() - arrivals.unread_for_s())

    def restored(self, came_after: float) -> None:
        """What another process had read came at this moment at the earliest."""
        self._read_came_after = came_after

    def unread_for_s(self) -> float:
        """Seconds since what was read last came in, at most."""
        return max(arrivals.unread_for_s(), time.monotonic() - self._read_came_after)

    def unread_came_after(self, readable: bool, held: bool) -> float:
        """When what is unread can have come at the earliest; `held`: some that was read is not used yet."""
        self.look(readable)
        moments = [self._queue.take(0), self._read_came_after if held else math.inf]
        known = [moment for moment in moments if -math.inf < moment < math.inf]
        return min(known, default=time.monotonic())
