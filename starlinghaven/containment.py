"""Keeps the failure of one item from ending the task that serves all of them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from types import TracebackType

CONTAINED = "errors_contained"
"""The counter of defects that were met and contained: it stays at 0 in a sound program."""


class Containment:
    """The context manager of `contained`: one lives as long as a connection, so that it is small."""

    __slots__ = ("_count", "_log", "_purpose")

    def __init__(self, log: logging.Logger, purpose: str, count: Callable[[str], None] | None) -> None:
        self._log, self._purpose, self._count = log, purpose, count

    def __enter__(self) -> None:
        return None

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self._log.error("%s failed", self._purpose, exc_info=error)
        if self._count is not None:
            self._count(CONTAINED)
        return True


def contained(log: logging.Logger, purpose: str, count: Callable[[str], None] | None = None) -> Containment:
    """Logs an exception of the block with its traceback, counts it, and goes on behind the block.

    For a task that many depend on, round its work on one item: a connection, an event, a datagram. A
    cancellation passes, as does whatever else is no Exception.
    """
    return Containment(log, purpose, count)
