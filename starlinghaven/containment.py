"""Keeps the failure of one item from ending the task that serves all of them."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterator

CONTAINED = "errors_contained"
"""The counter of defects that were met and contained: it stays at 0 in a sound program."""


@contextlib.contextmanager
def contained(
    log: logging.Logger, purpose: str, count: Callable[[str], None] | None = None
) -> Iterator[None]:
    """Logs an exception of the block with its traceback, counts it, and goes on behind the block.

    For a task that many depend on, round its work on one item: a connection, an event, a datagram. A
    cancellation passes, as does whatever else is no Exception.
    """
    try:
        yield
    except Exception:
        log.exception("%s failed", purpose)
        if count is not None:
            count(CONTAINED)
