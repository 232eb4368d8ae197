"""Sockets and connections, where the system may have none to give for a moment."""

from __future__ import annotations

import logging
import select
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import trio

from starlinghaven.transport import errors

log = logging.getLogger(__name__)

START_PAUSES_S = (0.05,) * 39  # between the tries of a start: all together far below what it may take

PEEKS = 8  # tries of a look at what is unread, which may fail for a moment
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR

T = TypeVar("T")


def has_hung_up(fd: int) -> bool:
    """Whether the peer of a connected socket has ended its side, read or not."""
    poll = select.poll()
    poll.register(fd, HUNG_UP)
    return bool(poll.poll(0))


def received(
    fd: int, space: memoryview, ancillary_bytes: int
) -> tuple[int, list[tuple[int, int, bytes]], int, object]:
    """As `socket.recvmsg_into` on a Unix socket that is readable, without a turn of the event loop."""
    view = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM, fileno=fd)
    try:
        return view.recvmsg_into([space], ancillary_bytes)
    finally:
        view.detach()


def peeked(fd: int, most: int) -> bytes:
    """What waits to be read from a connected socket, up to so many bytes; it stays there."""
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    try:
        for _ in range(PEEKS):
            try:
                return view.recv(most, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return b""
            except OSError as error:
                if not errors.passes(error):
                    return b""  # it has ended
        return b""
    finally:
        view.detach()


async def retried(attempt: Callable[[], Awaitable[T]], pauses_s: Iterable[float], purpose: str) -> T:
    """What `attempt` returns, tried again after each pause while it fails for a reason that may pass.

    Errors: OSError, at once where it tells of the peer, else after the last pause.
    """
    for pause_s in pauses_s:
        try:
            return await attempt()
        except OSError as error:
            if errors.concerns_peer(error):
                raise
            log.warning("%s is tried again: %s", purpose, error)
        await trio.sleep(pause_s)
    return await attempt()


async def obtained(make: Callable[[], T], purpose: str) -> T:
    """A socket that a start needs. Errors: OSError, where it lasts."""

    async def attempt() -> T:
        return make()

    return await retried(attempt, START_PAUSES_S, purpose)
