"""What the Router makes of what all proxies counted, and how the engine passes it on."""

from __future__ import annotations

from collections import Counter
from zlib import crc32

from starlinghaven.interface import Code, Get, ListKind, Members, Phase, Spread
from starlinghaven.routing.types import Ask, Attempt, Ended, SpreadNews, Taken
from tests.helpers import FLEET, VIDEO, Driver, cache, parent, stores_named
from tests.steps import Recorder, Stores, Time, engine

KEYS = [f"{k:016x}" for k in range(400)]
WIDE = (*(cache(n) for n in range(8)), parent(0), parent(1), *FLEET[-1:])


def homes(d: Driver) -> dict[str, str]:
    return {key: d.serve(key).store for key in KEYS}


def test_a_share_moves_part_of_that_cache_s_objects_and_nobody_else_s() -> None:
    d = Driver(WIDE)
    before = homes(d)
    d.say(Spread({"cache-3": 0.25}))
    after = homes(d)
    had, has = (Counter(x.values())["cache-3"] for x in (before, after))
    assert 0.15 * had < has < 0.45 * had
    assert all(before[k] == after[k] for k in KEYS if before[k] != "cache-3"), "nothing else moves"
    other = Driver(WIDE, seed=8)
    other.say(Spread({"cache-3": 0.25}))
    assert homes(other) == after, "the same at every proxy"
    d.say(Spread())
    assert homes(d) == before, "without news all is as before"


def test_a_share_for_a_store_that_is_not_listed_does_nothing() -> None:
    d, plain = Driver(WIDE), Driver(WIDE)
    d.say(Spread({"cache-77": 1.0, "origin-9": 1.0}, {}))
    assert homes(d) == homes(plain)
    d.say(Members(ListKind.PARTIAL, (cache(9),)))
    assert d.router.stores["cache-9"].share == 1.0


def test_a_hot_object_goes_to_as_many_homes_as_told_and_is_kept_as_gold() -> None:
    d = Driver(WIDE)
    key = KEYS[5]
    assert len({d.serve(key, part=n).store for n in range(1, 5)}) == 1, "later parts make no gold"
    d.say(Spread({}, {crc32(key.encode()): 5}))
    orders = [d.serve(key, part=n) for n in range(200)]
    seen = Counter(o.store for o in orders)
    assert len(seen) == 5 and min(seen.values()) > 15 and {o.keep for o in orders} == {3}
    assert len({d.serve(KEYS[6], part=n).store for n in range(1, 5)}) == 1


def test_a_store_that_errs_at_once_is_not_the_calm_one_to_step_aside_to() -> None:
    """Each proxy finds it idle: its answers hold nothing. All together know that it serves nothing."""

    def aside(share: float) -> set[str]:
        d = Driver(WIDE)
        d.say(Spread({"cache-3": share}))
        for s in d.router.caches:
            s.out = 0 if s.m.store == "cache-3" else 14
            s.reported_at, s.others = d.now, 0.0
        return {a.store for key in KEYS[:60] for a in d.ask(key) if isinstance(a, Get)}

    assert "cache-3" in aside(0.5) and "cache-3" not in aside(0.05)


def test_one_cache_s_nonsense_does_not_make_all_seem_full() -> None:
    d = Driver(WIDE, zone_proxies=(200, 200, 200))
    for n, held in enumerate((2.0, 2.0, 90_000.0)):
        store = d.router.stores[f"cache-{n}"]
        store.others, store.reported_at = held, d.now
    used = {d.serve(key).store for key in KEYS[:40]}
    assert used >= {f"cache-{n}" for n in range(8) if n != 2}, "nobody steps aside to the two"


def test_ordinary_rules_hold_for_a_store_with_a_share() -> None:
    """Drained means nothing new, whatever share it was told to have."""
    d = Driver(WIDE)
    d.say(Spread({f"cache-{n}": 0.1 for n in range(8) if n != 3}, {crc32(KEYS[0].encode()): 8}))
    line = Members(ListKind.PARTIAL, (cache(3, phase=Phase.DRAINING),))
    d.say(line)
    named = set[str]()
    for key in KEYS[:80]:
        named |= stores_named(d.ask(key))
    assert "cache-3" not in named


class Seen:
    """An observer that keeps what it hears."""

    def __init__(self) -> None:
        self.heard: list[tuple[object, ...]] = []

    def asked(self, key: str) -> None:
        self.heard.append(("asked", key))

    def sent(self, store: str, now: float) -> None:
        self.heard.append(("sent", store))

    def ended(self, store: str, served: bool | None, now: float) -> None:
        self.heard.append(("ended", store, served))


def taken(time: Time, n: int) -> Taken:
    return Taken(Ask(f"{n:016x}", VIDEO, time.clock().now(), 3_000.0, f"{n:016x}"), Recorder())


def test_the_engine_tells_its_observer_and_takes_news_only_of_what_is_listed() -> None:
    time, stores, seen = Time(), Stores(), Seen()
    e = engine(time, stores)
    e.observer = seen
    assert set(e.capacities) == {"s-0", "s-1"}
    e.handle(SpreadNews({"s-1": 0.03, "elsewhere": 1.0}, {}))
    router = e._router
    assert router.stores["s-1"].share == 0.03 and set(router.spread.shares) == {"s-1"}
    assert e.counters["spread_news"] == 1
    for code, served in ((Code.OK, True), (Code.ERROR, False), (Code.MISS, None)):
        seen.heard.clear()
        e.handle(taken(time, len(stores.sent) + 1))
        attempt: Attempt = stores.out[-1]
        assert seen.heard == [("asked", attempt.ask.key), ("sent", attempt.store)]
        stores.out.remove(attempt)
        e.handle(Ended(attempt, code))
        assert ("ended", attempt.store, served) in seen.heard
