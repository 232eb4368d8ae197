"""Copies of the proxy's own: bytes of answers, and the link on which they are sent. No decisions."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from starlinghaven.routing.clock import Clock
from starlinghaven.routing.types import Ask, Ended

ENTRY = 512  # bytes that a copy costs beside its body
FRAME = 64  # bytes of an answer on the link beside its body
TOLD = 1 / 20  # part of a copy's bytes that telling a client costs that its own one holds
FILLED = 0.9  # part of the link's stated rate that is counted on: what is booked too low would pile up
PURGES_MS = 30_000.0  # ms for which a purge is remembered: no answer that was on its way comes later
MOST_PURGES = 4096

Name = tuple[int, str, int | None, int]
"""Class, object, part and group. Guards against a client that names a group which isn't the object's: its
copy would outlive the group's purge, so it serves none but such clients."""


@dataclass(frozen=True, slots=True)
class Copy:
    """An answer's bytes, their tag, and the Unix time at which the origin gave them out."""

    body: bytes
    tag: str
    since_ms: float

    @property
    def cost(self) -> int:
        return len(self.body) + ENTRY


class Copies:
    """Holds copies up to a number of bytes; drops those of no rank first, then what was used longest ago."""

    def __init__(self, limit: int, flow: float, link: float, clock: Clock) -> None:
        self.limit, self._flow, self._link, self._clock = limit, flow, link, clock
        self._kept: tuple[OrderedDict[Name, Copy], ...] = (OrderedDict(), OrderedDict())
        self._purged: OrderedDict[str | int, float] = OrderedDict()  # object or group -> Unix time
        self.held = 0
        self._free_at = 0.0  # when the link has sent what was put on it

    @staticmethod
    def _name(ask: Ask) -> Name:
        return ask.cls, ask.key, ask.part, ask.group

    def find(self, ask: Ask) -> Copy | None:
        """The copy that will do for a request. One that is asked for again has a rank from then on.

        Guards what is asked for most: served from here, it passes no store that would rank it anew.
        """
        name = self._name(ask)
        for kept in self._kept:
            if copy := kept.pop(name, None):
                self._kept[1][name] = copy
                return copy
        return None

    def put(self, ask: Ask, e: Ended, rank: int) -> None:
        """Keeps what was served, unless a purge that is known came after the origin gave it out."""
        name, copy = self._name(ask), Copy(e.body, e.tag, e.since_ms)
        purged = max(self._purged.get(ask.key, 0.0), self._purged.get(ask.group, 0.0))
        self._drop(name)
        if not e.body or copy.since_ms <= purged or copy.cost > self.limit // 4:
            return
        self._kept[rank > 0][name] = copy
        self.held += copy.cost
        while self.held > self.limit:
            kept = self._kept[0] or self._kept[1]
            self._drop(next(iter(kept)))

    def _drop(self, name: Name) -> None:
        for kept in self._kept:
            if copy := kept.pop(name, None):
                self.held -= copy.cost

    def purge(self, group: int, key: str | None, unix_ms: float) -> None:
        """Drops older copies; those still on their way are told by their time when they come."""
        what = group if key is None else key
        self._purged[what] = max(unix_ms, self._purged.pop(what, 0.0))
        old = self._clock.now() - PURGES_MS
        while len(self._purged) > MOST_PURGES or next(iter(self._purged.values())) < old:
            self._purged.popitem(last=False)
            if not self._purged:
                break
        for kept in self._kept:
            for name in [n for n, c in kept.items() if what in (n[1], n[3]) and c.since_ms <= unix_ms]:
                self._drop(name)

    # -- the link ---------------------------------------------------------------------------------

    def _done_at(self, size: int) -> float:
        return max(self._clock.now(), self._free_at) + 1000.0 * (size + FRAME) / (FILLED * self._link)

    def ready_ms(self, size: int) -> float:
        """How long sending so much would take now: at its own pace at most, after what is on the link."""
        return max(self._done_at(size) - self._clock.now(), 1000.0 * size / self._flow)

    def sent(self, size: int, told: bool = False) -> None:
        """Books what is put on the link. Guards it against a queue that grows through a long day."""
        self._free_at = self._done_at(round(TOLD * size) if told else size)
