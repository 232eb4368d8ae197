"""News between proxies: bounded, aged facts, weighed by distinct reporters. No I/O, no clock of its own.

A fact is one reporter's word on one subject: a store that answers nobody, or one that serves again. The later
word of a reporter replaces its earlier one. Nothing here decides: `weigh` says how many distinct members say
what, and the Router takes that beside its own evidence, never alone. Loads are told apart (`spread`).
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum

from starlinghaven.fleet.codec import AGE_UNIT_MS, Fact
from starlinghaven.fleet.settings import Limits

MOST_FACTS = 1024  # held at once; the oldest go first
MOST_OF_ONE = 32  # of one reporter: a member gone mad can't push out the others' word
MOST_WAITING = 64  # facts waiting to be sent
INDISCRIMINATE = 0.5  # share of all stores silent to one reporter from which it is itself at fault


class FactKind(IntEnum):
    SILENT = 1  # the subject answers this reporter no more
    SERVES = 2  # it serves again


@dataclass(slots=True)
class _Held:
    fact: Fact
    made_at: float  # on the own clock, ms
    sends: int


@dataclass(frozen=True, slots=True)
class Weighed:
    """How many distinct reporters say that a store is silent, and how many that it serves."""

    silent: int
    serving: int


class News:
    """One member's facts, its own and others'."""

    def __init__(self, limits: Limits, own: int) -> None:
        self._limits, self._own = limits, own
        self._facts: OrderedDict[tuple[int, int], _Held] = OrderedDict()  # reporter, subject
        self._of: Counter[int] = Counter()  # facts held by reporter
        self._wait: OrderedDict[tuple[int, int], None] = OrderedDict()
        self.fresh: set[int] = set()  # subjects with news that nobody has looked at yet
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._facts)

    @property
    def waiting(self) -> int:
        """Facts still to be passed on."""
        return len(self._wait)

    def tell(self, kind: FactKind, subject: int, now: float) -> None:
        """A fact of its own."""
        self._hold(Fact(kind, subject, 0, self._own, 0.0), now, now)

    def hear(self, fact: Fact, now: float) -> bool:
        """Takes another's fact; says whether it was new. Aged, unknown and surplus ones are counted."""
        if fact.kind not in FactKind.__members__.values():
            self.counts["unknown_kind"] += 1
            return False
        if fact.age_ms > self._limits.news_ms:
            self.counts["aged"] += 1
            return False
        key = _key(fact)
        made, held = now - fact.age_ms, self._facts.get(key)
        if held is not None and made <= held.made_at + 2 * AGE_UNIT_MS:
            return False  # the same word by another way, or an earlier one
        if held is None and self._of[fact.reporter] >= MOST_OF_ONE:
            self.counts["surplus"] += 1
            return False
        self._hold(fact, made, now)
        return True

    def take(self, most: int, now: float) -> tuple[Fact, ...]:
        """Facts for one datagram; each is sent a bounded number of times, those least sent first."""
        chosen: list[Fact] = []
        for key in list(self._wait):
            if len(chosen) >= most:
                break
            held = self._facts.get(key)
            if held is None or now - held.made_at > self._limits.news_ms:
                del self._wait[key]
                continue
            f = held.fact
            chosen.append(Fact(f.kind, f.subject, f.value, f.reporter, now - held.made_at))
            held.sends -= 1
            self._wait.move_to_end(key)
            if held.sends <= 0:
                del self._wait[key]
        return tuple(chosen)

    def weigh(self, subject: int, stores: int, alive: Collection[int], now: float) -> Weighed:
        """What the members that are alive say of a store, the own word left out.

        `stores` is how many the own list has: a reporter to whom half of them are silent is cut off or
        sick itself, and its word on any of them counts for nothing.
        """
        self._expire(now)
        said = {
            reporter: held.fact.kind for (reporter, what), held in self._facts.items()
            if what == subject and reporter in alive and reporter != self._own
        }  # fmt: skip
        silent = [r for r, kind in said.items() if kind == FactKind.SILENT and not self._sick(r, stores)]
        return Weighed(len(silent), sum(kind == FactKind.SERVES for kind in said.values()))

    def _sick(self, reporter: int, stores: int) -> bool:
        accused = sum(
            key[0] == reporter and held.fact.kind == FactKind.SILENT for key, held in self._facts.items()
        )
        return accused >= max(2, math.ceil(INDISCRIMINATE * stores))

    def _hold(self, fact: Fact, made: float, now: float) -> None:
        key = _key(fact)
        if key not in self._facts:
            self._of[fact.reporter] += 1
        self._facts[key] = _Held(fact, made, self._limits.relayed)
        self._facts.move_to_end(key)
        self.fresh.add(fact.subject)
        others = sum(k[1] == key[1] for k in self._facts) - 1
        if fact.reporter == self._own or others < self._limits.relayed:  # else enough voices are on their way
            self._wait[key] = None
            if len(self._wait) > MOST_WAITING:
                self._wait.popitem(last=False)
        while len(self._facts) > MOST_FACTS:
            self._drop(next(iter(self._facts)))

    def _expire(self, now: float) -> None:
        for key in [k for k, h in self._facts.items() if now - h.made_at > self._limits.news_ms]:
            self._drop(key)

    def _drop(self, key: tuple[int, int]) -> None:
        del self._facts[key]
        self._wait.pop(key, None)
        self._of[key[0]] -= 1
        if self._of[key[0]] <= 0:
            del self._of[key[0]]


def _key(fact: Fact) -> tuple[int, int]:
    return fact.reporter, fact.subject
