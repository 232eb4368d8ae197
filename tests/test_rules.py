"""The guards of the five rules."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlinghaven import router as module
from starlinghaven.interface import (
    Action,
    Code,
    Effect,
    Fail,
    Get,
    Gone,
    ListKind,
    Members,
    Purge,
    Refuse,
    RequestClass,
    Scope,
    Send,
    SetTimer,
    Streaming,
    Timer,
    Watch,
)
from starlinghaven.router import Router
from tests.helpers import (
    CLASSES,
    FLEET,
    ORIGIN_LINE,
    PAGE,
    PAY,
    SETTINGS,
    START,
    Driver,
    cache,
    drained,
    parent,
    stores_named,
)

BAD = [c for c in Code if c is not Code.OK]


def finals(actions: list[Action]) -> int:
    return sum(isinstance(a, (Fail, Refuse)) for a in actions)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(BAD), st.floats(1, 900)), min_size=12, max_size=12),
    st.sampled_from([0, 1, 2]),
    st.booleans(),
    st.booleans(),
)
def test_one_final_answer_in_time(
    ends: list[tuple[Code, float]], cls: int, direct: bool, advises: bool
) -> None:
    d = Driver(direct=direct, advises_wait=advises)
    actions, answers, attempts, left = d.ask(cls=cls), 0, 0, 3000.0
    for code, took in ends:
        answers += finals(actions)
        sent = [a for a in actions if isinstance(a, (Get, Send))]
        timers = [a for a in actions if isinstance(a, SetTimer) and not sent]  # else for a second copy
        assert len(sent) + len(timers) + finals(actions) == 1
        if finals(actions):
            break
        if timers:
            assert timers[0].delay_ms < left
            d.now += timers[0].delay_ms
            left -= timers[0].delay_ms
            actions = d.say(Timer(timers[0].token))
            continue
        assert 0 < sent[0].timeout_ms <= left + 1e-6
        took = min(took, sent[0].timeout_ms)
        d.now, left = d.now + took, left - took
        actions = d.end(attempts, code, took_ms=took)
        attempts += 1
    else:
        answers += finals(actions)
    assert answers == 1 and not d.router.jobs
    assert d.end(0, Code.TIMEOUT) == [], "a finished request is passed over"


@pytest.mark.parametrize("code", BAD)
def test_an_unsafe_request_is_repeated_or_refused_only_if_it_surely_did_not_run(code: Code) -> None:
    d = Driver()
    d.ask(cls=PAY)
    (answer,) = d.end(0, code)
    if code in (Code.FULL, Code.NO_CONNECTION, Code.MOOT, Code.MISS):
        assert isinstance(answer, (SetTimer, Refuse))
    else:
        assert answer == Fail(1)


def keyed(scope: Scope) -> tuple[RequestClass, ...]:
    return (replace(CLASSES[0], effect=Effect.KEYED, scope=scope, window_ms=1000.0),)


def test_a_keyed_request_stays_within_its_group_and_window() -> None:
    fleet = (*(cache(n, cell=n % 2) for n in range(6)), parent(0, cell=5), replace(ORIGIN_LINE, cell=6))
    cells = {m.store: m.cell for m in fleet}
    d = Driver(fleet=fleet, classes=keyed(Scope.CELL))
    first = d.get(d.ask("k"))
    d.now += 200
    second = d.get(d.end(0, Code.ERROR, took_ms=200.0))
    assert cells[second.store] == cells[first.store] and second.store != first.store
    d.now += 900
    assert d.end(1, Code.ERROR, took_ms=900.0) == [Fail(1)], "the window is over; a refusal may not be said"


def test_a_keyed_request_stays_within_its_group_also_behind_a_cache_that_holds_nothing() -> None:
    """Fills come late, so only held copies are asked for; a parent stands in another zone."""
    d = Driver(classes=keyed(Scope.ZONE))
    d.router.fills.asked = 40.0
    first = d.get(d.ask("k"))
    second = d.get(d.end(0, Code.RESET, store=first.store))
    assert first.source == first.store and second.source == second.store
    assert d.end(1, Code.MISS, store=second.store) == [Fail(1)]


def test_a_keyed_request_of_one_group_may_be_refused() -> None:
    d = Driver(classes=keyed(Scope.ALL), most_attempts=1)
    d.ask("k")
    assert d.end(0, Code.ERROR) == [Refuse(1, 1000)]


def test_nothing_new_goes_to_a_draining_or_gone_store() -> None:
    for change in (ListKind.PARTIAL, ListKind.COMPLETE):
        d = Driver()
        drains = (drained(FLEET[0]), drained(FLEET[4]))
        rest = FLEET if change is ListKind.COMPLETE else ()
        left = tuple(m for m in rest if m.store not in {x.store for x in drains})
        d.say(Members(change, drains + left))
        for n in range(60):
            actions = d.ask(f"o-{n}")
            for attempt in range(3):
                assert not stores_named(actions) & {"cache-0", "parent-0"}
                actions = d.end(attempt, Code.FULL)
    d = Driver(fleet=(ORIGIN_LINE,))
    assert stores_named(d.ask("x", cls=PAGE)) == {"origin"}


def cold_sends(d: Driver, name: str, keys: int, span_ms: float) -> list[float]:
    """When a store was named while many requests came in."""
    named = []
    for n in range(keys):
        d.now += span_ms / keys
        if name in stores_named(d.ask(f"o-{n}", patience=50_000.0)):
            named.append(d.now)
    return named


def test_a_cold_cache_gets_no_more_than_this_proxys_share() -> None:
    d = Driver()
    d.now += SETTINGS.fall_ms  # a process that just started takes its share as spent: see below
    d.say(Members(ListKind.PARTIAL, (replace(FLEET[0], started_ms=d.now),)))
    named = cold_sends(d, "cache-0", 400, 3000)
    mean = CLASSES[0].target_ms
    bears = 2 * 6 * 1500 / 2  # multiple x transfers x window over the location's two proxies
    for start in named:
        spent = mean * sum(start <= t < start + 1500 for t in named)
        assert spent <= bears * (0.25 + 0.75 * (start + 1500 - d.now + 3000) / 16_000)
    assert named, "a cold cache gets its part of the work"


def test_a_cold_parent_gets_no_more_than_this_proxys_share_of_fills() -> None:
    d = Driver()
    d.now += SETTINGS.fall_ms
    d.say(Members(ListKind.PARTIAL, (replace(FLEET[4], started_ms=d.now),)))
    named = cold_sends(d, "parent-0", 400, 1500)
    bears = 2 * 20 * 1500 / 4 * (0.1 + 0.9 * 1500 / 20_000)
    assert 0 < CLASSES[0].target_ms * len(named) <= bears


def test_a_process_that_starts_takes_its_share_of_a_cold_budget_as_spent_by_the_one_before() -> None:
    """Seven in ten restarted at once would else spend their shares twice within one window."""
    d = Driver(tuple(replace(m, started_ms=START) if m.store == "cache-0" else m for m in FLEET))
    named = []
    for n in range(40):
        d.now = START + 100 * n
        if "cache-0" in stores_named(d.ask(f"o-{n}", patience=50_000.0)):
            named.append(d.now - START)
        d.end(code=Code.CANCELLED, final=True)
    assert named and min(named) >= SETTINGS.fall_ms


def test_the_largest_requests_get_to_a_cold_cache_too_one_a_window() -> None:
    """By the rule each counts with its class's mean; by their own size they were over every share."""
    fleet = tuple(replace(m, started_ms=START) if m.store == "cache-0" else m for m in FLEET)
    d = Driver(fleet, pace_kb_per_s=5000.0)
    d.router.load.sending[0] = 400.0
    named = []
    for n in range(60):
        d.now = START + SETTINGS.fall_ms + 50 * n
        if "cache-0" in stores_named(d.ask(f"o-{n}", patience=90_000.0, size_kb=60_000.0)):
            named.append(d.now)
        d.end(code=Code.CANCELLED, final=True)
        d.router.load.sending[0] = 400.0
    assert 12_000 > d.router.cold.share(
        d.router.stores["cache-0"], d.router.load.capacity(d.router.stores["cache-0"], d.router.now)
    ), "each is larger than the share"
    assert len(named) >= 2, "it is not starved"
    assert all(b - a >= SETTINGS.fall_ms for a, b in zip(named, named[1:], strict=False))


@pytest.mark.parametrize("answered", [False, True])
def test_what_may_wait_for_a_dial_to_a_cold_cache_counts_where_it_is_written_at_the_latest(
    answered: bool,
) -> None:
    """Until the cache has answered, all that was sent may still wait for one connection to come up."""
    dial = 300.0
    d = Driver(
        tuple(replace(m, started_ms=START) if m.store == "cache-0" else m for m in FLEET), dial_ms=dial
    )
    d.router.load.sending[0] = 400.0
    named, shares = [], []
    for n in range(200):
        d.now = START + SETTINGS.fall_ms + 20 * n
        if "cache-0" in stores_named(d.ask(f"o-{n}", patience=90_000.0)):
            named.append(d.now)
            shares.append(
                d.router.cold.share(
                    d.router.stores["cache-0"],
                    d.router.load.capacity(d.router.stores["cache-0"], d.router.now),
                )
            )
        d.end(code=Code.OK if answered else Code.CANCELLED, final=True)
        d.router.load.sending[0] = 400.0

    def kept(window_ms: float) -> bool:
        return all(
            400.0 * sum(at - window_ms < b <= at for b in named) <= share
            for at, share in zip(named, shares, strict=True)
        )

    assert len(named) >= 6, "the share is used"
    assert kept(SETTINGS.fall_ms)
    assert kept(SETTINGS.fall_ms + dial) is not answered, "and no longer than there is need"


@pytest.mark.parametrize("proxies", [40, 240])
@pytest.mark.parametrize("name", ["cache-0", "parent-0"])
@pytest.mark.parametrize("size_kb", [0.0, 10_000.0])
def test_hundreds_of_proxies_together_keep_a_cold_budget_and_use_it(
    proxies: int, name: str, size_kb: float
) -> None:
    """Each share is below one request, and half a shelf or all parents restart at once."""
    pace = 5000.0 if size_kb else 0.0
    shelf = (name, name[:-1] + "1")
    started = tuple(replace(m, started_ms=START) if m.store in shelf else m for m in FLEET)
    named: list[float] = []
    for seed in range(proxies):
        d = Driver(started, seed, zone_proxies=(0, proxies), proxies=proxies, pace_kb_per_s=pace)
        for n in range(80):
            d.now = START + 100 * n + seed % 100
            if name in stores_named(d.ask(f"o-{seed}-{n}", patience=50_000.0, size_kb=size_kb)):
                named.append(d.now)
            d.end(code=Code.CANCELLED, final=True)
    cost = size_kb / pace * 1000 if size_kb else CLASSES[0].target_ms
    cold, rise, weight = (0.25, 16_000, 6.0) if name == "cache-0" else (0.1, 20_000, 20.0)
    for start in sorted(named):
        spent = cost * sum(start <= t < start + 1500 for t in named)
        bears = 2 * weight * 1500 * (cold + (1 - cold) * (start + 1500 - START) / rise)
        assert spent <= bears
    if not size_kb:
        assert len(named) * cost > 0.1 * 2 * weight * cold * 8000, "it gets work while it is cold"


def test_a_purge_bounds_the_age_on_every_attempt() -> None:
    for purge in (Purge(3, 200.0, "x"), Purge(3, 200.0)):
        for wait in (0.0, 100.0, 400.0, 3500.0):
            d = Driver()
            d.say(purge)
            made = d.now - 200
            d.now += wait
            actions = d.ask("x", cls=PAGE, group=3, patience=60_000.0)
            for attempt in range(3):
                got = d.get(actions)
                assert 0 < got.age_ms <= max(1.0, d.now - made - module.PURGE_MARGIN_MS)
                assert not got.renew
                actions = d.end(attempt, Code.RESET)
        d.now += 6000
        assert d.get(d.ask("x", cls=PAGE, group=3)).age_ms == CLASSES[PAGE].fresh_ms
        assert d.get(d.ask("y", cls=0, group=4)).age_ms == 0


def test_a_fresh_purge_is_not_undone_by_joining_an_older_fill() -> None:
    d = Driver()
    assert d.get(d.ask("x")).join
    d.say(Purge(3, 5.0, "x"))
    assert not d.get(d.ask("x")).join


def test_a_request_that_left_is_called_off_and_a_stream_is_not() -> None:
    d = Driver()
    d.ask("x")
    assert [type(a).__name__ for a in d.say(Gone(1))] == ["Cancel"]
    d.ask("x")
    d.say(Streaming(2, 0))
    assert d.say(Gone(2)) == []
    assert d.say(Gone(99)) == []


def test_asked_lists_are_watched_and_asked_for_again_after_an_error() -> None:
    d = Driver(asks_for_list=True)
    assert Watch() in Router(d.router.s, 1, d.now).handle(Members(ListKind.PERSISTED, FLEET), d.now)
    (timer,) = d.say(Members(ListKind.ERROR))
    assert isinstance(timer, SetTimer) and timer.token == module.WATCH_TOKEN
    assert d.ask("x"), "the previous list remains"
    assert d.say(Timer(timer.token)) == [Watch()]


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    d = Driver()
    assert d.router.cold.warmth(d.router.stores["cache-0"], d.router.now) == 1.0
    d.say(Members(ListKind.PARTIAL, (replace(FLEET[0], started_ms=d.now),)))
    assert d.router.cold.warmth(d.router.stores["cache-0"], d.router.now) == 0.25


def test_without_any_cache_or_direct_way_the_answer_is_immediate() -> None:
    d = Driver(fleet=(), direct=False)
    assert d.ask("x") == [Refuse(1, 1000)]
    assert d.ask("p", cls=PAY) == [Refuse(2, 1000)]


@pytest.mark.parametrize("field", ["cold_from", "fall_ms", "most_attempts", "classes", "purge_done_ms"])
def test_impossible_settings_are_named(field: str) -> None:
    bad: Any = () if field == "classes" else -1
    with pytest.raises(ValueError, match=field):
        Router(replace(SETTINGS, **{field: bad}), 1, 0.0)
