"""The engine's monotonic clock, and the one place where Unix times are mapped onto it."""

from __future__ import annotations

import time
from collections.abc import Callable

AHEAD_MS = 1_000.0  # that another machine's wall clock may be ahead of this one
SAMPLE_MS = 5.0  # that reading both clocks may take; a longer one was interrupted and tells nothing


class Clock:
    """Milliseconds that never go back. They begin at the Unix time, so that no start lies before zero.

    The wall clock may step at any time, here or at whoever stamped a time. A Unix time is therefore mapped to
    the earliest and the latest moment that any step seen so far allows.
    """

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        """`unix` and `steady` give seconds."""
        self._unix, self._steady = unix, steady
        self._base_ms = 1000.0 * (unix() - steady())
        self._ahead_ms = self._behind_ms = 0.0  # most that the wall clock was ahead of this one, and behind

    def now(self) -> float:
        """Milliseconds on this clock."""
        return 1000.0 * self._steady() + self._base_ms

    def observe(self) -> None:
        """Compares the wall clock with this one; call it now and then."""
        before_ms = self.now()
        wall_ms = 1000.0 * self._unix()
        after_ms = self.now()
        if after_ms - before_ms <= SAMPLE_MS:
            self._ahead_ms = max(self._ahead_ms, wall_ms - after_ms)
            self._behind_ms = max(self._behind_ms, before_ms - wall_ms)

    def may_be_past(self, unix_ms: float) -> bool:
        """Whether a Unix time can have been stamped by now, by any step of the wall clock seen so far."""
        self.observe()
        return unix_ms - self._ahead_ms <= self.now() + AHEAD_MS

    def earliest(self, unix_ms: float) -> float:
        """The earliest moment that a Unix time stamped in the past may stand for; never after now."""
        self.observe()
        return min(unix_ms - self._ahead_ms, self.now())

    def latest(self, unix_ms: float) -> float:
        """The latest moment that a Unix time stamped in the past may stand for; never after now."""
        self.observe()
        return min(unix_ms + self._behind_ms, self.now())
