"""Logs and counts the stores that are taken for cold without news of their start."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from starlinghaven.routing.types import Counters

log = logging.getLogger(__name__)

LOOK_MS = 1_000.0  # between two looks through all stores
NAMED = 8  # stores that one line names at most


class UnheardStarts:
    """Notes which stores are presumed to have started unheard, and when that changes."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._looked_at_ms = -math.inf
        self._presumed = set[str]()

    def note(self, now_ms: float, presumed_started: Callable[[float], set[str]]) -> None:
        """Looks now and then; call it at each turn of the engine."""
        if now_ms - self._looked_at_ms < LOOK_MS:
            return
        self._looked_at_ms = now_ms
        presumed = presumed_started(now_ms)
        added, ended = presumed - self._presumed, self._presumed - presumed
        self._presumed = presumed
        if added:
            self._counters.add("stores_presumed_cold", len(added))
        if added or ended:
            names = " ".join(sorted(presumed)[:NAMED])
            log.info(
                "stores presumed cold=%d added=%d ended=%d %s", len(presumed), len(added), len(ended), names
            )
