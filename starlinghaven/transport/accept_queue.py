"""How long a connection may have waited to be accepted, from samples of the length of the accept queue.

The system hands connections out in the order in which they came. The one taken k-th was not there yet at a
moment at which fewer than k had been taken or were waiting. The length is in `struct tcp_info` of a
listening socket (Linux, include/uapi/linux/tcp.h). Times are seconds on the monotonic clock.
"""

from __future__ import annotations

import math
import socket
import struct
from collections import deque

_LISTEN = 10  # tcpi_state of a listening socket
_HEAD = struct.Struct("=8B5I")  # up to tcpi_unacked, which is the length there


def waiting(sock: socket.socket) -> int | None:
    """Connections in the accept queue of a listening socket; None where the system does not say."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _HEAD.size)
    except OSError:
        return None
    if len(raw) < _HEAD.size:
        return None
    state, *_, length = _HEAD.unpack(raw)
    return int(length) if state == _LISTEN else None


class AcceptQueue:
    """The earliest moment at which the connection that is taken next can have come."""

    def __init__(self) -> None:
        self._taken = 0
        self._samples: deque[tuple[int, float]] = deque()  # ever come, and when there were last so many

    def sample(self, length: int, now: float) -> None:
        """So many connections wait at this moment."""
        if not length:
            self._samples.clear()
        come = self._taken + length
        if self._samples:
            come = max(come, self._samples[-1][0])  # another process may take from the same queue
            if self._samples[-1][0] == come:
                self._samples.pop()
        self._samples.append((come, now))

    def take(self) -> float:
        """One is taken: when it can have come at the earliest; -inf where there was no sample before it."""
        while len(self._samples) > 1 and self._samples[1][0] <= self._taken:
            self._samples.popleft()
        come, at = self._samples[0] if self._samples else (math.inf, -math.inf)
        came_after = at if come <= self._taken else -math.inf
        self._taken += 1
        return came_after
