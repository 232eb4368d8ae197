"""While more is asked than there is room for, clients that ask for one thing at a time are served first."""

from __future__ import annotations

import math

from starlinghaven.routing.clock import Clock

LASTS_MS = 2_000.0  # after a request was refused as it was read, for want of memory or time
PIPED_SHARE = 0.85  # of the limit of load, for requests of clients that ask for much at once
LONE_SHARE = 1.25  # ... for those of clients that ask for nothing else


class Crowd:
    """Whether there is a crowd.

    Guards usual clients: those that ask for much at once would hold all that the stores can bear, and be the
    next to ask whenever a part of it is free.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted_ms = -math.inf

    def note(self) -> None:
        """A request was refused as it was read."""
        self._noted_ms = self._clock.now()

    def load_share(self, alone: bool) -> float:
        """The part of the limit of load for a request, whose client asks for nothing else, or for more."""
        if self._clock.now() - self._noted_ms > LASTS_MS:
            return 1.0
        return LONE_SHARE if alone else PIPED_SHARE
