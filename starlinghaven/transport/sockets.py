"""Sockets and connections, where the system may have none to give for a moment."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import trio

from starlinghaven.transport import errors

log = logging.getLogger(__name__)

START_PAUSES_S = (0.05,) * 39  # between the tries of a start: all together far below what it may take

T = TypeVar("T")


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
