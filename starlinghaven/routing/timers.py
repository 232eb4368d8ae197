"""What is due at which time, the earliest first."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

LEAST_SWEPT = 64  # cancelled entries that are left where they are, at least


@dataclass(order=True, slots=True)
class Due(Generic[T]):
    """An entry; its owner may cancel it."""

    when: float
    order: int
    what: T | None = field(compare=False)


class Timers(Generic[T]):
    """Times are milliseconds on whatever clock the owner uses."""

    def __init__(self) -> None:
        self._due: list[Due[T]] = []
        self._order = itertools.count()
        self._cancelled = 0  # entries that are still in the list

    def __len__(self) -> int:
        return len(self._due)

    @property
    def next_at(self) -> float:
        """When the next is due; infinite if nothing is."""
        return self._due[0].when if self._due else math.inf

    def at(self, when: float, what: T) -> Due[T]:
        """Something is due at a time."""
        entry = Due(when, next(self._order), what)
        heapq.heappush(self._due, entry)
        return entry

    def cancel(self, entry: Due[T] | None) -> None:
        """It is not due any more. Guards memory: what is over must not be held until its time has come."""
        if entry is None or entry.what is None:
            return
        entry.what = None
        self._cancelled += 1
        if self._cancelled > max(len(self._due) // 2, LEAST_SWEPT):
            self._due = [entry for entry in self._due if entry.what is not None]
            heapq.heapify(self._due)
            self._cancelled = 0

    def keep(self, wanted: Callable[[T], bool]) -> None:
        """Forgets what is not wanted any more."""
        for entry in self._due:
            if entry.what is not None and not wanted(entry.what):
                self.cancel(entry)

    def due(self, now: float) -> Iterator[T]:
        """What is due by now, in order, with what becomes due while it is handled."""
        while self._due and self._due[0].when <= now:
            what, self._due[0].what = self._due[0].what, None
            heapq.heappop(self._due)
            if what is None:
                self._cancelled -= 1
            else:
                yield what
