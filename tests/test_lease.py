"""The lease on own copies and what feeds it: the log's proof that it is current, gaps, pauses, the queue."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven import interface as i
from starlinghaven.decisions.purges import COUNTS_AS_KNOWN_MS, PurgeTable
from starlinghaven.memory import own_account
from starlinghaven.protocol.changelog import Progress
from starlinghaven.routing.copies import Copies
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.inbox import MOST_NEWS
from starlinghaven.routing.lease import PAUSE_MS, NewsLease
from starlinghaven.routing.types import (
    Ask,
    Counters,
    Ended,
    FleetNews,
    NewsCurrent,
    NewsRequired,
    PurgeNews,
    Result,
    Taken,
)
from tests.helpers import SETTINGS, VIDEO, Driver
from tests.loopback import in_trio, until
from tests.steps import STORES, Recorder, Stores, Time, engine

CLEARED_MS = 6_000.0
SECOND_MS = 1_000.0


def lease(current_to: float, now: float) -> NewsLease:
    made = NewsLease()
    made.require()
    made.renew(current_to)
    made.turn(now)
    return made


@given(st.floats(0, 20_000), st.floats(0, 20_000), st.floats(0, 30_000))
def test_no_copy_is_served_once_an_unheard_purge_of_it_counts_as_known(
    current: float, valid: float, now: float
) -> None:
    """The first purge that may be unheard comes right after all that is known of the copy."""
    made = lease(current, now)
    first_unheard = max(current, valid)
    assert made.covers(valid, now) == (now < first_unheard + COUNTS_AS_KNOWN_MS)


def test_after_a_gap_only_what_is_known_since_counts() -> None:
    made = lease(10_000.0, 10_100.0)
    assert made.covers(2_000.0, 10_100.0)
    made.miss(10_050.0)
    made.renew(11_000.0)
    assert not made.covers(2_000.0, 10_100.0), "a purge of it may be among what is lost"
    assert made.covers(10_060.0, 10_100.0)


def test_after_a_pause_nothing_is_covered_until_the_log_was_read_to_its_end() -> None:
    made = lease(10_000.0, 10_000.0)
    resumed = 10_000.0 + 2_000.0
    assert not made.covers(10_000.0, resumed), "no turn since"
    assert made.turn(resumed) and not made.covers(10_000.0, resumed)
    made.renew(resumed - PAUSE_MS - 1.0)
    assert not made.covers(10_000.0, resumed)
    made.renew(resumed - PAUSE_MS)
    assert made.covers(10_000.0, resumed)


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0, 3)), min_size=1, max_size=40),
    st.lists(st.floats(0, 9), min_size=40, max_size=40),
)
def test_the_log_is_never_taken_for_more_current_than_it_is(
    gaps: list[tuple[bool, float]], delays: list[float]
) -> None:
    """Frames wait anywhere for any time, in order; empty ones are sent a second apart, events in between."""
    sent, arrived, beat = 0.0, 0.0, 0.0
    progress = Progress(0.0)
    for (is_event, gap), delay in zip(gaps, delays, strict=False):
        sent = sent + 1000 * gap if is_event else max(sent, beat + SECOND_MS)
        arrived = max(arrived, sent + 1000 * delay)
        if is_event:
            assert progress.stamped(sent) <= sent + 1e-6
        else:
            beat = sent
            assert progress.heartbeat(arrived) <= sent + 1e-6


def test_a_log_that_is_in_time_proves_it_within_a_second() -> None:
    progress = Progress(0.0)
    for second in range(1, 100):
        assert progress.heartbeat(second * SECOND_MS) >= (second - 1) * SECOND_MS
    assert not progress.late


def test_a_purge_that_is_forgotten_counts_for_all() -> None:
    table = PurgeTable(2, 30_000.0)
    for n, name in enumerate(("a", "b", "c")):
        table.record(name, 100.0 + n, 200.0)
    assert table.latest("a", 0) == float("-inf") and table.latest_or_floor("a", 0) == 100.0
    assert table.latest_or_floor("x", 0) == 100.0 and table.latest("c", 0) == 102.0
    table.record("d", 40_000.0, 40_000.0)
    assert table.floor_ms == 102.0, "what is over its time as well"


def test_a_full_table_bounds_the_age_of_what_is_asked_for_instead_of_losing_a_purge() -> None:
    d = Driver()
    d.router.purges = PurgeTable(2, CLEARED_MS)
    for key in ("a1", "b", "c", "d"):
        d.say(i.Purge(0, 0.0, key))
    d.now += 100
    assert 0 < Driver.get(d.ask("a1")).age_ms <= 100


def test_without_news_stores_that_clear_slowly_are_asked_for_what_is_new_enough() -> None:
    for cleared, bounded in ((6_000.0, False), (20_000.0, True)):
        d = Driver(purge_done_ms=cleared)
        d.say(i.NewsCurrent(0.0))
        assert Driver.get(d.ask("a1")).age_ms == 0, "any age"
        d.end(0, store="cache-0")
        d.now += COUNTS_AS_KNOWN_MS + 100
        got = Driver.get(d.ask("a2"))
        assert (0 < got.age_ms <= COUNTS_AS_KNOWN_MS) is bounded


def test_after_a_gap_every_object_is_asked_for_as_if_just_purged() -> None:
    d = Driver()
    d.now += d.router.s.fall_ms  # a new process sends nothing to cold stores: after a gap all may be cold
    d.say(i.NewsMissed())
    d.now += 100
    assert 0 < Driver.get(d.ask("a1")).age_ms <= 100
    d.now += CLEARED_MS + 100
    assert Driver.get(d.ask("a2")).age_ms == 0


def test_without_news_a_store_that_could_not_be_reached_counts_as_just_started() -> None:
    d = Driver()
    d.say(i.NewsCurrent(0.0))
    d.now += 100
    got = Driver.get(d.ask("a1"))
    d.end(code=i.Code.NO_CONNECTION, store=got.store)
    store = d.router.stores[got.store]
    assert d.router.cold.warmth(store, d.router.now) == 1.0, "the log would tell"
    d.now += COUNTS_AS_KNOWN_MS + 100
    d.say(i.Timer(-5))
    for other in d.router.caches:
        if other is not store:  # answers on a connection of before the last news
            d.router.cold.answered(other, connected_ms=0.0, written_ms=d.now)
    assert d.router.cold.warmth(store, d.router.now) < 1.0, "nobody told, but it counts as known"
    assert all(d.router.cold.warmth(s, d.router.now) == 1.0 for s in d.router.caches if s is not store)
    d.say(i.NewsCurrent(0.0))
    assert d.router.cold.warmth(store, d.router.now) == 1.0, "the log is current again and tells of no start"


def proxy() -> tuple[Engine, Time, Stores]:
    time, stores = Time(), Stores()
    copies = Copies(own_account(64_000), 50_000.0, 200_000.0, time.clock(), CLEARED_MS)
    made = Engine(replace(SETTINGS, second_copies=False), 7, time.clock(), Counters(), copies)
    made.caches = stores
    made.handle(FleetNews(i.ListKind.COMPLETE, STORES))
    made.handle(NewsRequired())
    return made, time, stores


def ask(made: Engine, number: int, key: str = "a") -> Recorder:
    ticket = Recorder()
    given = Ask(str(number), VIDEO, made.clock.now(), 5000.0, key=key, group=3, purgeable=True)
    made.handle(Taken(given, ticket))
    return ticket


def test_a_copy_fetched_without_news_is_trusted_from_when_its_store_had_to_clear() -> None:
    """A store may give a copy up to 6 s older than a purge that nobody has heard of yet."""
    for given_s_ago, served_after_s in ((60.0, 0.9), (0.0, 6.9)):
        made, time, stores = proxy()
        made._turn()
        ask(made, 1)
        since = 1000 * (time.s - given_s_ago)
        made.handle(Ended(stores.out.pop(), i.Code.OK, b"x" * 500, tag="t", since_ms=since))
        for number, (after_s, served) in enumerate(((served_after_s, True), (0.2, False)), 2):
            steps = round(after_s * 10)
            for _ in range(steps):
                time.s += after_s / steps
                made._turn()
            ticket = ask(made, number)
            assert bool(ticket.answers) is served, (given_s_ago, after_s)


@in_trio
async def test_news_goes_ahead_of_the_requests_that_wait(tmp_path: Path) -> None:
    made, time, stores = proxy()
    made._turn()
    made.handle(NewsCurrent(made.clock.now()))
    ask(made, 1)
    made.handle(Ended(stores.out.pop(), i.Code.OK, b"x" * 500, tag="t", since_ms=1000 * time.s))
    assert ask(made, 2).answers[0].result is Result.SERVED
    tickets = [Recorder() for _ in range(50)]
    for number, ticket in enumerate(tickets, 10):
        given = Ask(str(number), VIDEO, made.clock.now(), 5000.0, key="a", group=3, purgeable=True)
        await made.post(Taken(given, ticket))
    time.s += 0.1
    await made.post(PurgeNews(3, "a", 1000 * time.s))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run, stores)
        await until(lambda: made.counters["purges"])
        await until(lambda: made.waiting == 0)
        nursery.cancel_scope.cancel()
    results = [answer.result for ticket in tickets for answer in ticket.answers]
    assert Result.SERVED not in results, "none was served from the copy"


@in_trio
async def test_all_who_post_more_news_than_may_wait_go_on_once_it_is_taken(tmp_path: Path) -> None:
    made, time, stores = proxy()
    posted = 0

    async def post_many() -> None:
        nonlocal posted
        for n in range(MOST_NEWS + 2):
            await made.post(PurgeNews(3, f"{n}", 1000 * time.s))
        posted += 1

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(post_many)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(made.run, stores)
            await until(lambda: posted == 3)
            nursery.cancel_scope.cancel()


def test_an_engine_without_a_change_log_needs_no_news() -> None:
    made = engine(Time(), Stores())
    assert made.own_copies.lease.covers(0.0, 1e12) and not made.own_copies.lease.lapsed(1e12)
