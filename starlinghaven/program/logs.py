"""Logging to standard error, with a bound on how much a flood of the same trouble may write."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable

LINES = 50  # lines of one logger below the level of errors, in each second


class Bounded(logging.Filter):
    """Leaves out what goes beyond the bound, and says how much it was when the next second begins.

    Guards against clients or stores that cause a line each, thousands of times a second.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now, self._since = now, now()
        self._seen: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.ERROR:
            return True
        if self._now() - self._since >= 1.0:
            left_out = sum(max(n - LINES, 0) for n in self._seen.values())
            self._since, self._seen = self._now(), {}
            if left_out:
                record.msg = f"{record.getMessage()} (before this, {left_out} lines were left out)"
                record.args = ()
        self._seen[record.name] = self._seen.get(record.name, 0) + 1
        return self._seen[record.name] <= LINES


def start() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Bounded())
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
