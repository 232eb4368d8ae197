"""What the network between proxies does to datagrams. No I/O; chance comes from a seed.

Beside the cuts, which are by link and direction, every datagram is lost, doubled and delayed by chance;
delays differ, so that datagrams overtake each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random


class Faults:
    """The state of the links between n members."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._cut: set[tuple[int, int]] = set()
        self.loss = self.double = 0.0
        self.delay_ms = (0.0, 0.0)

    def network(self, loss: float = 0.0, double: float = 0.0, delay_ms: float = 0.0) -> None:
        """Shares lost and doubled, and the longest delay; the shortest is a tenth of it."""
        self.loss, self.double, self.delay_ms = loss, double, (delay_ms / 10, delay_ms)

    def cut(self, one: Iterable[int], other: Iterable[int], both_ways: bool = True) -> None:
        """Nothing passes from `one` to `other` (and back)."""
        others = list(other)
        for a in one:
            for b in others:
                if a != b:
                    self._cut.add((a, b))
                    if both_ways:
                        self._cut.add((b, a))

    def heal(self) -> None:
        self._cut.clear()
        self.network()

    def fate(self, a: int, b: int) -> list[float]:
        """The delays (ms) after which copies of a datagram from a to b arrive; none if it is lost."""
        if (a, b) in self._cut:
            return []
        copies = 1 + (self._random.random() < self.double)
        return [
            self._random.uniform(*self.delay_ms) for _ in range(copies) if self._random.random() >= self.loss
        ]
