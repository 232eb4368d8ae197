"""The mechanism on the ordinary path: tiers, placement, sources."""

from __future__ import annotations

import math
from dataclasses import replace

from starlinghaven import router as module
from starlinghaven.decisions import popularity
from starlinghaven.decisions.rankings import Rankings
from starlinghaven.decisions.stores import StoreState
from starlinghaven.decisions.table_sizes import RANKED_STORE_BYTES, RANKING_BYTES, TableSizes
from starlinghaven.interface import Get, ListKind, Member, Members, Phase, Send
from tests.helpers import FLEET, PAGE, PAY, Driver, cache, drained, parent


def warm_up(d: Driver) -> None:
    """Enough counted requests that the router trusts its counts."""
    for n in range(1000):
        d.serve(f"warm-{n % 40}", cls=PAGE)
    d.now += popularity.GOLD_EVERY_MS


def test_unseen_objects_are_silver_until_counts_know_what_is_asked_for() -> None:
    d = Driver()
    assert d.serve("new").keep == popularity.SILVER_RANK
    warm_up(d)
    assert d.serve("newer").keep == popularity.UNKEPT


def test_tiers_follow_counts() -> None:
    d = Driver()
    warm_up(d)
    for n in range(60):
        d.serve("hot")
        if n % 20 == 0:
            d.serve("tepid")
    d.now += popularity.GOLD_EVERY_MS
    assert d.serve("hot").keep == popularity.GOLD_RANK
    assert d.serve("tepid").keep == popularity.SILVER_RANK
    assert d.serve("once").keep == popularity.UNKEPT


def test_only_first_parts_count_and_later_parts_follow() -> None:
    d = Driver()
    warm_up(d)
    ranks = [d.serve("long", part=part).keep for part in range(1, 9)]
    assert ranks.count(popularity.UNKEPT) >= 6, "a few are kept, as surely as counts know little"
    d.serve("long"), d.serve("long")
    assert d.serve("long", part=5).keep == popularity.SILVER_RANK


def test_counts_are_halved_and_bounded() -> None:
    d = Driver()
    for _ in range(4):
        d.serve("a")
    d.now += popularity.HALVE_MS
    d.serve("b")
    assert d.router.popularity.counts["a"] == 2
    for n in range(TableSizes().counts + 50):
        d.serve(f"n-{n}")
    assert len(d.router.popularity.counts) <= TableSizes().counts
    assert "a" in d.router.popularity.counts, "the lowest count is dropped, not a higher one"


def test_proxies_agree_on_an_objects_cache_and_parent() -> None:
    one, two = Driver(seed=1), Driver(seed=2, fleet=tuple(reversed(FLEET)))
    for n in range(50):
        a, b = one.serve(f"o-{n}"), two.serve(f"o-{n}")
        assert (a.store, a.source) == (b.store, b.source)


def test_objects_spread_over_caches_and_parents() -> None:
    d = Driver()
    sent = [d.serve(f"o-{n}") for n in range(100)]
    assert len({g.store for g in sent}) == 4 and len({g.source for g in sent}) == 2


def test_gold_is_taken_in_turn_from_two_homes_or_three() -> None:
    for caches, homes in ((4, 2), (6, 3)):
        fleet = (*(cache(n) for n in range(caches)), parent(0), FLEET[-1])
        d = Driver(fleet=fleet)
        for _ in range(6):
            d.serve("hot")
        d.now += popularity.GOLD_EVERY_MS
        d.serve("hot")
        assert len({d.serve("hot", cls=PAGE).store for _ in range(12)}) == homes
        by_part = [d.serve("hot", part=part).store for part in range(6)] * 2
        assert by_part == [d.serve("hot", part=part).store for part in range(6)] * 2, "a part has one home"
        assert len(set(by_part)) == homes


def test_objects_come_home_when_their_cache_returns() -> None:
    d = Driver()
    home = d.serve("x").store
    line = next(m for m in FLEET if m.store == home)
    d.say(Members(ListKind.COMPLETE, tuple(m for m in FLEET if m is not line)))
    assert d.serve("x").store != home
    d.say(Members(ListKind.PARTIAL, (line,)))
    assert d.serve("x").store == home


def test_the_origin_is_a_source_only_without_parents() -> None:
    d = Driver()
    assert all(d.serve(f"o-{n}").source.startswith("parent") for n in range(50))
    d = Driver(fleet=(cache(0), FLEET[-1]))
    assert d.serve("x").source == "origin"


def test_uncached_classes_go_straight_to_the_origin() -> None:
    d = Driver()
    assert d.ask("p", cls=PAY) == [Send(1, "origin", 3000.0)]
    d = Driver(direct=False)
    (sent,) = d.ask("p", cls=PAY)
    assert isinstance(sent, Get) and sent.source == "origin" and sent.keep == popularity.UNKEPT


def plain_home(key: str, stores: list[Member]) -> str:
    """Weighted rendezvous hashing, written out: the whole list is ranked anew for every request."""

    def height(m: Member) -> float:
        return m.weight / -math.log(module._digest(m.store, key))

    return max(stores, key=height).store


def test_remembered_rankings_choose_as_a_plain_ranking_would() -> None:
    caches = [cache(n, weight=4.0 + n) for n in range(9)]
    parents = [parent(n) for n in range(5)]
    away = [replace(cache(n + 20), zone=5) for n in range(30)]
    d = Driver(fleet=(*caches, *away, *parents, FLEET[-1]))
    for drop in range(4):
        for n in list(range(40)) * 2:
            got = d.serve(f"o-{n}")
            assert got.store == plain_home(f"o-{n}", caches[drop:])
            assert got.source == plain_home(f"o-{n}", parents[drop:])
        gone = (replace(caches[drop], phase=Phase.GONE), drained(parents[drop]))
        d.say(Members(ListKind.PARTIAL, gone))


def test_remembered_rankings_hold_no_more_bytes_than_they_may() -> None:
    rankings = Rankings(5_000)
    for n in range(200):
        ranking = [StoreState(cache(k)) for k in range(n % 40)]
        rankings.keep((n,), ranking)
        assert rankings.find((n,)) is ranking
        known = [rankings.find((m,)) for m in range(n + 1)]
        held = [len(one) for one in known if one is not None]
        assert sum(RANKING_BYTES + RANKED_STORE_BYTES * stores for stores in held) <= 5_000
    rankings.clear()
    assert rankings.find((199,)) is None
