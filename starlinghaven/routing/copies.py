"""Copies of the proxy's own: bytes of answers, and the link on which they are sent. No decisions."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from starlinghaven.decisions.purges import PurgeTable
from starlinghaven.memory import Account
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.types import Ask, Ended

ENTRY = 512  # bytes that a copy costs beside its body
FRAME = 64  # bytes of an answer on the link beside its body
UNCHANGED_COST = 1 / 20  # part of a copy's bytes that telling a client costs that its own one holds
USABLE_LINK = 0.9  # part of the link's stated rate that is counted on: what is booked too low would pile up
KEEP_PURGES_MS = 30_000.0  # for which a purge is remembered by name
MOST_PURGES = 4096

Name = tuple[int, str, int | None, int]
"""Class, object, part and group. A client that names a group which isn't the object's gets a copy of its own:
it would outlive the group's purge, so it serves none but such clients."""


@dataclass(frozen=True, slots=True)
class Copy:
    """An answer's bytes and tag. Times are on the engine's clock."""

    body: bytes
    tag: str
    given_ms: float  # when the origin gave it out, at the earliest
    valid_as_of_ms: float  # no purge up to then concerns it

    @property
    def cost(self) -> int:
        """Bytes that it counts for."""
        return len(self.body) + ENTRY


class Copies:
    """Holds copies up to a number of bytes; drops those of no rank first, then what was used longest ago."""

    def __init__(
        self,
        account: Account,
        flow: float,
        link: float,
        clock: Clock,
        cleared_within_ms: float = math.inf,
        most_purges: int = MOST_PURGES,
    ) -> None:
        """`account` has their memory, the rates are in bytes/s; stores drop purged copies within
        `cleared_within_ms`."""
        self._account, self._flow, self._link, self._clock = account, flow, link, clock
        self._cleared_within_ms = cleared_within_ms
        self._kept: tuple[OrderedDict[Name, Copy], ...] = (OrderedDict(), OrderedDict())
        self.purges = PurgeTable(most_purges, KEEP_PURGES_MS)
        self._free_at = 0.0  # when the link has sent what was put on it

    @property
    def held(self) -> int:
        """Bytes of all copies."""
        return self._account.held

    @property
    def limit(self) -> int:
        """Bytes that they may have at most."""
        return self._account.limit

    @staticmethod
    def _name(ask: Ask) -> Name:
        return ask.cls, ask.key, ask.part, ask.group

    def find(self, ask: Ask) -> Copy | None:
        """The copy that will do for a request. One that is asked for again has a rank from then on.

        Served from here, it passes no store that would rank it anew.
        """
        name = self._name(ask)
        for kept in self._kept:
            if copy := kept.pop(name, None):
                self._kept[1][name] = copy
                return copy
        return None

    def put(self, ask: Ask, e: Ended, rank: int, asked_ms: float = -math.inf) -> None:
        """Keeps what was served to an attempt sent at `asked_ms`, unless a purge may concern it."""
        name = self._name(ask)
        given_ms = self._clock.earliest(e.since_ms)
        valid_as_of_ms = max(given_ms, asked_ms - self._cleared_within_ms)
        copy = Copy(e.body, e.tag, given_ms, valid_as_of_ms)
        if self._purged(ask, copy) or not e.body or copy.cost > self.limit // 4:
            return
        held = self._kept[0].get(name) or self._kept[1].get(name)
        if held is not None and held.given_ms > copy.given_ms:
            return  # an older answer that came later
        self._drop(name)
        while not self._account.allows(copy.cost):
            kept = self._kept[0] or (self._kept[1] if rank else None)
            if not kept:
                return  # one without a rank would go first
            self._drop(next(iter(kept)))
        self._account.take_always(copy.cost)
        self._kept[rank > 0][name] = copy

    def _purged(self, ask: Ask, copy: Copy) -> bool:
        known = copy.given_ms <= self.purges.latest(ask.key, ask.group)
        return known or copy.valid_as_of_ms <= self.purges.floor_ms

    def _drop(self, name: Name) -> None:
        for kept in self._kept:
            if copy := kept.pop(name, None):
                self._account.give(copy.cost)

    def purge(self, group: int, key: str | None, made_ms: float) -> None:
        """Drops older copies, and remembers the purge for those still on their way."""
        what = group if key is None else key
        self.purges.record(what, made_ms, self._clock.now())
        for kept in self._kept:
            for name in [n for n, c in kept.items() if what in (n[1], n[3]) and c.given_ms <= made_ms]:
                self._drop(name)

    # -- the link ---------------------------------------------------------------------------------

    def _done_at(self, size: int) -> float:
        return max(self._clock.now(), self._free_at) + 1000.0 * (size + FRAME) / (USABLE_LINK * self._link)

    def ready_ms(self, size: int) -> float:
        """How long sending so much would take now: at its own pace at most, after what is on the link."""
        return max(self._done_at(size) - self._clock.now(), 1000.0 * size / self._flow)

    def sent(self, size: int, unchanged: bool = False) -> None:
        """Books what is put on the link, so that no queue grows on it through a long day."""
        self._free_at = self._done_at(round(UNCHANGED_COST * size) if unchanged else size)
