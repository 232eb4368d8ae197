"""New sockets, where the system may have none to give for a moment."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

import trio

from starlinghaven.transport import errors

log = logging.getLogger(__name__)

TRIES = 40
PAUSE_S = 0.05  # between two tries; all together stay far below what a start may take

T = TypeVar("T")


async def obtained(make: Callable[[], T], purpose: str) -> T:
    """What `make` returns, tried again while it fails for a reason that may pass. Errors: OSError."""
    for left in reversed(range(TRIES)):
        try:
            return make()
        except OSError as error:
            if not left or errors.concerns_peer(error):
                raise
            log.warning("no socket for %s, tried again: %s", purpose, error)
        await trio.sleep(PAUSE_S)
    raise AssertionError("the last try returns or raises")
