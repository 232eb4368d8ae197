"""A stand-in tier: caches and parents that hold copies and fill misses, and an origin that has all."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from starlinghaven.standins.platform import Archive

HIT_S, FILL_S, ORIGIN_S = 0.004, 0.02, 0.04  # seconds that an answer takes, by where the copy comes from
NEVER_S = 3_600.0


class Tier(Archive):
    """Stores with copies of their own. `silent` and `slow` are set by faults; purges drop older copies."""

    def __init__(self, stores: Sequence[tuple[str, str, str]], saw: Callable[[str, str, str], None]) -> None:
        super().__init__(stores)
        self.keeps_orders = False  # the watcher has them
        self.kinds = {store: kind for store, _, kind in stores}
        self.copies: dict[str, dict[str, int]] = {store: {} for store, _, _ in stores}
        self.silent: set[str] = set()  # takes requests and never answers
        self.erring: set[str] = set()  # answers errors at once
        self.slow: dict[str, float] = {}  # seconds more
        self._watch = saw

    def saw(self, what: str, store: str, call: str) -> None:
        self._watch(what, store, call)

    def flush(self, store: str) -> None:
        self.copies[store].clear()

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        now, key = int(time.time() * 1000), fields.get("k", "")
        if store in self.silent:
            return NEVER_S, "served", now
        if store in self.erring:
            return 0.0, "crashed", now
        late = self.slow.get(store, 0.0)
        if self.kinds[store] == "origin":
            return ORIGIN_S + late, "served", now
        oldest = now - int(fields["cap"]) if int(fields.get("cap", "0")) else 0
        since = self.copies[store].get(key, -1)
        if since >= max(oldest, 0):
            return HIT_S + late, "served", since
        source = fields.get("up", "")
        if source not in self.kinds or source == store or "held" in fields.get("do", ""):
            if self.kinds[store] != "parent":
                return HIT_S + late, "not_here", now
            source = ""  # a parent that is asked itself fetches from the origin
        if source in self.silent:
            return NEVER_S, "served", now
        behind = self.copies.get(source, {}).get(key, -1)
        if behind < max(oldest, 0):
            behind, late = now, late + ORIGIN_S
            if self.kinds.get(source) == "parent":
                self.copies[source][key] = now
        if fields.get("store", "0") != "0" or self.kinds[store] == "parent":
            self.copies[store][key] = behind
        return FILL_S + late + self.slow.get(source, 0.0), "served", behind
