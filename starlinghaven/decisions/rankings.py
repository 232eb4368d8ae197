"""Rankings of stores that are remembered by what they were made for."""

from __future__ import annotations

from collections import OrderedDict

from starlinghaven.decisions.stores import StoreState
from starlinghaven.decisions.table_sizes import RANKED_STORE_BYTES, RANKING_BYTES

Name = tuple[object, ...]


def _cost(ranking: list[StoreState]) -> int:
    """Bytes that a ranking holds."""
    return RANKING_BYTES + RANKED_STORE_BYTES * len(ranking)


class Rankings:
    """Bounded in bytes: a ranking is as long as the fleet."""

    def __init__(self, most_bytes: int) -> None:
        self._most, self._held = most_bytes, 0
        self._kept: OrderedDict[Name, list[StoreState]] = OrderedDict()

    def find(self, name: Name) -> list[StoreState] | None:
        """The ranking that was made for a name, if it is remembered."""
        ranking = self._kept.get(name)
        if ranking is not None:
            self._kept.move_to_end(name)
        return ranking

    def keep(self, name: Name, ranking: list[StoreState]) -> None:
        """Remembers a ranking that is not known yet."""
        self._kept[name] = ranking
        self._held += _cost(ranking)
        while self._held > self._most and self._kept:
            self._held -= _cost(self._kept.popitem(last=False)[1])

    def clear(self) -> None:
        """Forgets all: the fleet has changed."""
        self._kept.clear()
        self._held = 0
