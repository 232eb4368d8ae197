"""The module's clock, and the one place where Unix times are mapped onto it."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Milliseconds that never go back. They begin at the Unix time, so that no start lies before zero."""

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._unix, self._steady = unix, steady
        self._offset = 1000.0 * (unix() - steady())

    def now(self) -> float:
        return 1000.0 * self._steady() + self._offset

    def age(self, unix_ms: float) -> float:
        """How long ago a Unix time was, by the Unix clock as it stands now; never negative."""
        return max(1000.0 * self._unix() - unix_ms, 0.0)

    def from_unix(self, unix_ms: float) -> float:
        """A Unix time on this clock; 0, for long ago, stays 0.

        The clock began at the Unix time, so both agree but for later steps of the system's clock. The
        same time must always give the same number: the Router takes another one for another start.
        """
        return max(unix_ms, 0.0)
