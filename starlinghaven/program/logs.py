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


def structured() -> None:
    """Sends structlog's events through the handler above, as JSON after the usual prefix.

    Called by the parts that log with structlog (balancer health first); importing structlog costs some
    tens of ms, which a restart on the platform's front alone does not pay.
    """
    import structlog

    if structlog.is_configured():
        return
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        cache_logger_on_first_use=True,
    )
