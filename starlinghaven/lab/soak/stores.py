"""The stores of a soak: they drop purged copies late, as allowed, and note what they are asked."""

from __future__ import annotations

import time
from collections.abc import Sequence
from random import Random

import trio

from starlinghaven.lab.history import History
from starlinghaven.standins.tier import Tier

CLEARED_WITHIN_S = 5.7  # of a purge; the settings promise 6 s
GROUPS = 4


def group_of(key: str) -> int:
    """The group of an object."""
    return int(key, 16) % GROUPS


class SoakTier(Tier):
    """Stand-in stores whose orders, ends and time limits go into a history."""

    def __init__(self, stores: Sequence[tuple[str, str, str]], history: History, random: Random) -> None:
        super().__init__(stores, self._note)
        self._history, self._random = history, random
        self._calls: dict[str, str] = {}  # store -> the call that it was asked last

    def _note(self, what: str, store: str, call: str) -> None:
        self._history.add(what, store=store, call=call)
        self._calls[store] = call

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        """As any tier does, and notes for how long the proxy says that it will wait."""
        wait_s = int(fields.get("w", "0")) / 1000
        self._history.add("budget", store=store, call=self._calls[store], wait_s=wait_s)
        return super().reply(store, fields)

    async def purge(self, name: str | int, unix_ms: int) -> None:
        """Drops older copies of an object or a group: at each store at a time of its own, at last at all."""
        moments = [(self._random.uniform(0.0, CLEARED_WITHIN_S), store) for store in self.copies]
        for after_s, store in sorted(moments):
            await self._sleep_until(unix_ms / 1000 + after_s)
            self._clear(store, name, unix_ms)
        await self._sleep_until(unix_ms / 1000 + CLEARED_WITHIN_S)
        for store in self.copies:  # one may have got an older copy from another since
            self._clear(store, name, unix_ms)

    @staticmethod
    async def _sleep_until(unix_s: float) -> None:
        await trio.sleep(max(unix_s - time.time(), 0.0))

    def _clear(self, store: str, name: str | int, unix_ms: int) -> None:
        held = self.copies[store]
        for key in [k for k, since in held.items() if name in (k, group_of(k)) and since <= unix_ms]:
            del held[key]
