"""What is due at which time, the earliest first."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True, slots=True)
class _Due(Generic[T]):
    when: float
    order: int
    what: T = field(compare=False)


class Timers(Generic[T]):
    """Times are milliseconds on whatever clock the owner uses. Nothing is taken back: owners look again."""

    def __init__(self) -> None:
        self._due: list[_Due[T]] = []
        self._order = itertools.count()

    @property
    def next_at(self) -> float:
        """When the next is due; infinite if nothing is."""
        return self._due[0].when if self._due else math.inf

    def at(self, when: float, what: T) -> None:
        """Something is due at a time."""
        heapq.heappush(self._due, _Due(when, next(self._order), what))

    def due(self, now: float) -> Iterator[T]:
        """What is due by now, in order, with what becomes due while it is handled."""
        while self._due and self._due[0].when <= now:
            yield heapq.heappop(self._due).what
