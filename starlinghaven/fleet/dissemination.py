"""Which claims ride on the next datagrams: each is sent a bounded number of times (SWIM, section 4.1)."""

from __future__ import annotations

import heapq
from collections.abc import Container


class ClaimQueue:
    """Members on whom there is news, with the sends that are left to each."""

    def __init__(self, sends: int) -> None:
        """`sends`: how often this process sends one claim."""
        self._sends = sends
        self._left: dict[int, int] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, member: int, sends: int = 0) -> None:
        """There is news on a member; `sends` in place of the usual number of times."""
        self._left[member] = sends or self._sends

    def take(self, most: int, chosen: Container[int]) -> list[int]:
        """Members for one datagram, what was sent least often first, but for those already chosen."""
        taken = []
        for member in heapq.nlargest(most, self._left, key=self._left.__getitem__):
            if member in chosen:
                continue
            taken.append(member)
            self._left[member] -= 1
            if self._left[member] <= 0:
                del self._left[member]
        return taken
