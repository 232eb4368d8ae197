"""How long what is taken from a queue of the system may have waited there, from samples of its length.

The system gives out connections, and the bytes of a stream, in the order in which they came. The k-th was
not there yet at a moment at which fewer than k had been taken or were waiting. Times are seconds on the
monotonic clock.
"""

from __future__ import annotations

import fcntl
import math
import socket
import struct
import termios

_LISTEN = 10  # tcpi_state of a listening socket
_TCP_INFO_HEAD = struct.Struct("=8B5I")  # struct tcp_info (linux/tcp.h) up to tcpi_unacked
_INT = struct.Struct("i")


def waiting_connections(listener: socket.socket) -> int | None:
    """The length of the accept queue of a listening socket; None where the system does not say."""
    try:
        raw = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_HEAD.size)
    except OSError:
        return None
    if len(raw) < _TCP_INFO_HEAD.size:
        return None
    state, *_, length = _TCP_INFO_HEAD.unpack(raw)  # tcpi_unacked of a listener is its queue's length
    return int(length) if state == _LISTEN else None


def unread_bytes(fd: int) -> int | None:
    """Bytes that wait to be read from a connected socket; None where the system does not say."""
    try:
        raw = fcntl.ioctl(fd, termios.FIONREAD, bytes(_INT.size))
    except OSError:
        return None
    (length,) = _INT.unpack(raw)
    return int(length)


def undelivered_bytes(fd: int) -> int:
    """Bytes written to a connected socket that its peer has not acknowledged; 0 where nobody says."""
    try:
        raw = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    (length,) = _INT.unpack(raw)
    return int(length)


class QueueAge:
    """The earliest moment at which what is taken next can have come into the queue."""

    __slots__ = ("_overflowed", "_samples", "_taken")

    def __init__(self) -> None:
        self._taken = 0
        self._samples: list[tuple[int, float]] = []  # ever come, and when there were last so many; few
        self._overflowed = False  # more may wait outside, as long as the queue is not empty

    def sample(self, length: int, now: float, full: bool = False) -> None:
        """So much waits at this moment. `full`: what comes into the queue next may have waited for room."""
        if not length:
            self._samples.clear()
            self._overflowed = False
        self._overflowed = self._overflowed or full
        if self._overflowed:
            return
        come = self._taken + length
        if self._samples:
            come = max(come, self._samples[-1][0])  # another process may take from the same queue
            if self._samples[-1][0] == come:
                self._samples.pop()
        self._samples.append((come, now))

    def take(self, count: int = 1) -> float:
        """So much is taken: when the first of it can have come at the earliest.

        It is -inf where there was no sample before that.
        """
        came_after = self._came_after()
        self._taken += count
        return came_after

    def take_to_last(self, count: int) -> float:
        """As `take`, for the last of them."""
        self._taken += count - 1
        came_after = self._came_after()
        self._taken += 1
        return came_after

    def _came_after(self) -> float:
        """When the next can have come at the earliest."""
        while len(self._samples) > 1 and self._samples[1][0] <= self._taken:
            del self._samples[0]
        come, at = self._samples[0] if self._samples else (math.inf, -math.inf)
        return at if come <= self._taken else -math.inf
