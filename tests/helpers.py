"""A small deployment and shorthands to drive a Router through its interface."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from starlinghaven.interface import (
    Action,
    Code,
    Effect,
    Event,
    Get,
    ListKind,
    Member,
    Members,
    Note,
    Notes,
    Outcome,
    Phase,
    Request,
    RequestClass,
    Send,
    Settings,
    Weights,
)
from starlinghaven.router import Router

VIDEO, PAGE, PAY = 0, 1, 2
CLASSES = (
    RequestClass(target_ms=400, give_up_ms=6000, stretch=2, parts=True),
    RequestClass(target_ms=300, give_up_ms=2500, stretch=2, fresh_ms=12_000, grace_ms=10_000),
    RequestClass(target_ms=700, give_up_ms=3000, effect=Effect.UNSAFE, uncached=True),
)
HUB, OFFICE = 0, 1
CACHE, PARENT, ORIGIN = 0, 1, 2
SETTINGS = Settings(
    zone=OFFICE,
    zone_proxies=(0, 2),
    proxies=4,
    classes=CLASSES,
    origin_kind=ORIGIN,
    parent_kind=PARENT,
    weights=Weights.NOMINAL,
    notes=Notes.ALL,
    joins=True,
    direct=True,
    cancels=True,
    second_copies=True,
    most_attempts=8,
    most_wait_ms=1000,
    advises_wait=True,
    cold_from=0.25,
    cold_ms=16_000,
    fall_multiple=2,
    fall_ms=1500,
    parent_cold_from=0.1,
    parent_cold_ms=20_000,
    parent_fall_multiple=2,
    purge_done_ms=6000,
)
START = 100_000.0


def cache(n: int, **more: Any) -> Member:
    return Member(f"cache-{n}", OFFICE, CACHE, **({"weight": 6.0} | more))


def parent(n: int, **more: Any) -> Member:
    return Member(f"parent-{n}", HUB, PARENT, **({"weight": 20.0} | more))


ORIGIN_LINE = Member("origin", HUB, ORIGIN, weight=20.0)
FLEET = (*(cache(n) for n in range(4)), parent(0), parent(1), ORIGIN_LINE)


class Driver:
    """Holds a Router, its clock and the requests' numbers."""

    def __init__(self, fleet: tuple[Member, ...] = FLEET, seed: int = 7, **settings: Any) -> None:
        self.now = START
        self.router = Router(replace(SETTINGS, **settings), seed, self.now)
        self.next_id = 0
        self.say(Members(ListKind.PERSISTED, fleet))

    def say(self, event: Event) -> list[Action]:
        return self.router.handle(event, self.now)

    def ask(self, key: str = "a1", cls: int = VIDEO, patience: float = 3000.0, **more: Any) -> list[Action]:
        self.next_id += 1
        return self.say(Request(self.next_id, cls, patience, key, **more))

    def end(self, attempt: int = 0, code: Code = Code.OK, **more: Any) -> list[Action]:
        """Ends an attempt of the latest request."""
        fields: dict[str, Any] = {"took_ms": 50.0, "final": code is Code.OK, "store": ""} | more
        return self.say(Outcome(self.next_id, attempt, code=code, **fields))

    def serve(self, key: str = "a1", **more: Any) -> Get:
        """A request that is answered at once; returns its attempt."""
        got = self.get(self.ask(key, **more))
        self.end(store=got.store, note=Note.HIT)
        return got

    @staticmethod
    def get(actions: list[Action]) -> Get:
        found = [a for a in actions if isinstance(a, Get)]
        assert len(found) == 1, actions
        return found[0]


def stores_named(actions: list[Action]) -> set[str]:
    """All stores that the actions send to or name as a source."""
    names = set()
    for a in actions:
        if isinstance(a, Get):
            names |= {a.store, a.source}
        elif isinstance(a, Send):
            names.add(a.store)
    return names


def drained(member: Member) -> Member:
    return replace(member, phase=Phase.DRAINING)
