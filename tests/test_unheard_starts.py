"""Starts of stores that no news told of: who is taken for cold after an outage of the change log."""

from __future__ import annotations

import itertools
import math
import time
from bisect import bisect_left
from dataclasses import replace
from pathlib import Path

import pytest
import trio

from starlinghaven import interface as i
from starlinghaven.decisions.continuity import ProcessContinuity
from starlinghaven.decisions.purges import COUNTS_AS_KNOWN_MS
from starlinghaven.decisions.stores import StoreState
from starlinghaven.routing.types import FleetNews, NewsCurrent, NewsRequired
from starlinghaven.standins.changelog import READY, ChangeLog, LogEndpoint
from starlinghaven.standins.platform import SETTINGS, STORES, Client
from starlinghaven.standins.tier import Tier
from tests.helpers import FLEET, VIDEO, Driver, cache, parent
from tests.loopback import in_trio, program
from tests.steps import STORES as ENGINE_STORES
from tests.steps import Stores, Time, engine

LATE_MS = COUNTS_AS_KNOWN_MS + 500.0  # without news
OLD_LINK_MS = 60_000.0
SETTLED_MS = 2_000.0  # after the start: cold stores get work then

# What one cold parent of the stand-ins' settings bears, by the page's rule.
SENDING_MS = 100.0
SIZE_KB = SENDING_MS * SETTINGS["FamilyInfo"]["PaceKbPerS"] / 1000
PARENT_ID, PARENT_ZONE, PARENT_KIND, PARENT_WEIGHT = STORES[1][0], 0, 1, 6.0
OUTAGE_S, TOLD_S, ASKED_S, CLIENTS = 8.0, 7.0, 3.0, 12


def borne(age_s: float) -> float:
    """Fills that a parent bears in one window that begins at this age, with the page's slack for chance."""
    family = SETTINGS["FamilyInfo"]
    cold_from, cold_s = family["ParentColdFrom"], family["ParentColdMs"] / 1000
    warmth = cold_from + (1 - cold_from) * age_s / cold_s
    mean = family["ParentLimitFactor"] * warmth * PARENT_WEIGHT * SETTINGS["Rules"]["FallMs"] / SENDING_MS
    return float(mean + (2 * math.sqrt(mean) + 2 if mean >= 30 else 3 * math.sqrt(mean) + 3))


class FillTier(Tier):
    """A tier that notes when an order names the parent as the source of a miss."""

    def __init__(self) -> None:
        super().__init__(STORES, lambda what, store, call: None)
        self.fills = list[float]()

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        if fields.get("up") == PARENT_ID:
            self.fills.append(time.time())
        return super().reply(store, fields)


@in_trio
async def test_a_parent_that_started_in_an_outage_of_news_is_not_pushed_over_by_fills(
    tmp_path: Path,
) -> None:
    """Guards against a source, which only caches speak to, that is taken for warm on no evidence at all."""
    tier, log = FillTier(), ChangeLog()
    endpoint, keys = LogEndpoint(log), itertools.count(1)

    async def misses(client: Client, until_s: float) -> None:
        while time.time() < until_s:
            key = f"{next(keys):016x}"
            await client.call("fiches", key=key, heap=f"{SIZE_KB}", ttl="1200")

    async def crowd(seconds: float) -> None:
        until_s = time.time() + seconds
        async with trio.open_nursery() as asking:
            for _ in range(CLIENTS):
                asking.start_soon(misses, await running.client(), until_s)

    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with program(tmp_path, endpoint.address, archive=tier) as running:
            await crowd(1.5)
            assert len(tier.fills) > borne(TOLD_S), "warm, it gets more than it would bear cold"
            endpoint.faults.refused = True
            await trio.sleep(0.2)
            started = time.time()
            log.fleet(
                PARENT_ID, tier.addresses[PARENT_ID], READY, PARENT_ZONE, PARENT_KIND, int(1000 * started)
            )
            await trio.sleep(started + TOLD_S + 0.3 - time.time())
            tier.fills.clear()
            nursery.start_soon(crowd, ASKED_S)
            await trio.sleep(started + OUTAGE_S - time.time())
            endpoint.faults.refused = False
            await trio.sleep(ASKED_S)
            logged = running.log()
        nursery.cancel_scope.cancel()
    fills = sorted(tier.fills)
    for n, at in enumerate(fills):
        within = bisect_left(fills, at + SETTINGS["Rules"]["FallMs"] / 1000) - n
        age_s = at - started
        assert within <= borne(age_s), f"{within} fills in a window, {age_s:.2f} s after the start"
    assert len(fills) > 10, "it gets work while it is cold"
    assert "stores presumed cold=" in logged, "the log says that stores are taken for cold"


def heard_from(d: Driver, name: str, link_age_ms: float | None) -> None:
    """An attempt at a cache is served, over a connection that has been up for so long."""
    for n in itertools.count():
        (sent,) = (a for a in d.ask(f"{name}-{n}") if isinstance(a, i.Get | i.Send))
        if sent.store == name:
            break
        d.end(store=sent.store, note=i.Note.HIT)
    d.end(store=name, note=i.Note.HIT, link_age_ms=link_age_ms)


def warmth(d: Driver, name: str) -> float:
    return d.router.cold.warmth(d.router.stores[name], d.now)


def without_news(d: Driver, ms: float) -> None:
    d.now += ms
    d.say(i.Timer(-5))


def test_a_store_with_an_old_connection_that_answers_stays_warm_without_news() -> None:
    """Guards against every store being taken for cold in an outage, also those that prove themselves."""
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    without_news(d, LATE_MS - 1_000.0)
    heard_from(d, "cache-0", OLD_LINK_MS)
    heard_from(d, "cache-1", 2_000.0)
    without_news(d, 1_000.0)
    assert warmth(d, "cache-0") == 1.0, "the same process since before the last news"
    assert warmth(d, "cache-1") < 1.0, "it was connected to in the outage: it may have started just before"
    assert warmth(d, "cache-2") < 1.0, "no request reached it"
    assert warmth(d, "parent-0") < 1.0, "only caches speak to it"
    assert warmth(d, "origin") == 1.0, "an origin is never cold"
    assert d.router.presumed_started(d.now) == {"cache-1", "cache-2", "cache-3", "parent-0", "parent-1"}
    d.say(i.NewsCurrent(0.0))
    assert d.router.presumed_started(d.now) == set(), "news is back and tells of no start"


def test_evidence_that_is_too_old_proves_nothing() -> None:
    """Guards against an answer before a start that counts as known being taken for one after it."""
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    heard_from(d, "cache-0", OLD_LINK_MS)
    without_news(d, LATE_MS)
    assert warmth(d, "cache-0") < 1.0


def test_answers_without_a_known_connection_prove_nothing() -> None:
    """Guards against an answer over an unknown connection being taken for evidence."""
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    without_news(d, LATE_MS - 100.0)
    heard_from(d, "cache-0", None)
    without_news(d, 100.0)
    assert warmth(d, "cache-0") < 1.0


def test_a_store_connected_to_in_a_long_outage_warms_up_from_then_on() -> None:
    """Guards against stores that stay presumed cold for as long as an outage lasts."""
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    without_news(d, 1_000.0)
    heard_from(d, "cache-0", 0.0)
    seen = list[float]()
    for step in range(1, 6):
        without_news(d, 4_000.0)
        heard_from(d, "cache-0", 4_000.0 * step)
        seen.append(warmth(d, "cache-0"))
    assert seen[0] == 1.0, "the news is 5 s old"
    assert seen[1] < seen[2] < seen[3] == 1.0


@pytest.mark.parametrize("proof", [True, False])
def test_starts_that_a_gap_in_the_news_swallowed_are_reckoned_with(proof: bool) -> None:
    """Guards against a start that was lost with an event of the log for good."""
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    without_news(d, SETTLED_MS)
    d.say(i.NewsMissed())
    d.say(i.NewsCurrent(0.0))
    assert warmth(d, "cache-0") < 1.0 and warmth(d, "parent-0") < 1.0
    without_news(d, 100.0)
    heard_from(d, "cache-0", OLD_LINK_MS if proof else 50.0)
    assert (warmth(d, "cache-0") == 1.0) is proof
    d.say(i.Members(i.ListKind.COMPLETE, FLEET))
    assert not d.router.presumed_started(d.now), "the whole list tells all starts"


def test_what_a_store_got_as_presumed_cold_counts_on_when_its_start_is_told() -> None:
    """Guards against a budget that is spent once before and once after the news comes back."""
    d = Driver(fleet=(cache(0), parent(0, weight=6.0), FLEET[-1]), proxies=1)
    d.say(i.NewsCurrent(0.0))
    started = d.now + 200.0
    without_news(d, LATE_MS - 100.0)
    heard_from(d, "cache-0", OLD_LINK_MS)
    without_news(d, 100.0)

    def fills(requests: int) -> int:
        named = 0
        for _ in range(requests):
            got = d.get(d.ask(f"k{d.next_id}"))
            named += got.source == "parent-0"
            d.end(store=got.store, note=i.Note.HIT, link_age_ms=OLD_LINK_MS)
        return named

    before = fills(200)
    assert 0 < before < 200
    line = parent(0, weight=6.0, started_ms=started)
    d.say(i.Members(i.ListKind.PARTIAL, (line,)))
    d.say(i.NewsCurrent(0.0))
    after = fills(200)
    parent_0 = d.router.stores["parent-0"]
    share_ms = d.router.cold.share(parent_0, d.router.load.capacity(parent_0, d.now))
    assert (before + after) * d.router.load.mean(VIDEO) <= share_ms


def test_a_configuration_that_is_read_again_in_an_outage_proves_no_news() -> None:
    """Guards against SIGHUP making stores warm: the file tells no more than the log did."""
    clock = Time()
    made = engine(clock, Stores())
    made.handle(FleetNews(i.ListKind.COMPLETE, ENGINE_STORES))
    made.handle(NewsRequired())
    clock.s += LATE_MS / 1000
    made._turn()
    presumed = made._router.presumed_started(made.clock.now())
    assert len(presumed) == 3, "two caches and the parent"
    made.handle(NewsRequired())
    assert made._router.presumed_started(made.clock.now()) == presumed
    assert made.counters["stores_presumed_cold"] == 3
    made.handle(NewsCurrent(made.clock.now()))
    assert not made._router.presumed_started(made.clock.now())


def test_what_two_connections_prove_adds_up_only_where_they_overlap() -> None:
    """Guards against two processes at one address, one after the other, being taken for one."""
    one = ProcessContinuity()
    one.answered(connected_ms=1_000.0, written_ms=5_000.0)
    one.answered(connected_ms=4_000.0, written_ms=9_000.0)
    assert (one.since_ms, one.until_ms) == (1_000.0, 9_000.0)
    one.answered(connected_ms=9_500.0, written_ms=12_000.0)
    assert (one.since_ms, one.until_ms) == (9_500.0, 12_000.0)
    one.answered(connected_ms=1_000.0, written_ms=9_400.0)  # its answer lay unread
    assert (one.since_ms, one.until_ms) == (9_500.0, 12_000.0)
    assert one.latest_start(9_600.0, 11_000.0) == -math.inf
    assert one.latest_start(9_000.0, 11_000.0) == 9_500.0
    assert one.latest_start(9_600.0, 13_000.0) == 13_000.0


def test_a_store_that_is_new_to_the_list_proves_nothing_yet() -> None:
    """Guards against a start value that reads as evidence."""
    state = StoreState(replace(cache(0), started_ms=0.0))
    assert state.continuity.latest_start(0.0, 1.0) == 1.0
