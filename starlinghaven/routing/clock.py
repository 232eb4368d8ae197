"""The engine's monotonic clock, and the one place where Unix times are mapped onto it."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Milliseconds that never go back. They begin at the Unix time, so that no start lies before zero."""

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        """`unix` and `steady` give seconds."""
        self._unix, self._steady = unix, steady
        self._base_ms = 1000.0 * (unix() - steady())

    def now(self) -> float:
        """Milliseconds on this clock."""
        return 1000.0 * self._steady() + self._base_ms

    def earliest(self, unix_ms: float) -> float:
        """The earliest moment that a Unix time stamped in the past may stand for; never after now."""
        return min(unix_ms, self.now())

    def latest(self, unix_ms: float) -> float:
        """The latest moment that a Unix time stamped in the past may stand for; never after now."""
        return min(unix_ms, self.now())
