"""Virtual time for simulations: what is to be done, in the order of its time. Times in ms."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Runs what was put on it; equal times in the order in which they were put."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), do))

    def run(self, until: float) -> None:
        """Runs to a time, in ms from the start."""
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heapq.heappop(self._events)
            do()
        self.now = until
