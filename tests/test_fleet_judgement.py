"""What a proxy makes of its fleet: its stance, what follows from it, and how news is weighed."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.fleet import news as news_module
from starlinghaven.fleet.codec import AGE_UNIT_MS, Fact, Status
from starlinghaven.fleet.members import Member
from starlinghaven.fleet.news import MOST_FACTS, MOST_OF_ONE, FactKind, News
from starlinghaven.fleet.settings import Limits
from starlinghaven.fleet.stance import Stance, Standing
from starlinghaven.fleet.swim import Membership
from starlinghaven.lab.simulate import Network, membership

LIMITS = Limits()
ALIVE, SUSPECT, FAILED, LEFT = Status.ALIVE, Status.SUSPECT, Status.FAILED, Status.LEFT


def members(*groups: tuple[Status, int], since: float = 0.0) -> list[Member]:
    return [Member(status, 1, 0, since=since) for status, n in groups for _ in range(n)]


def stance(table: list[Member], now: float = 10_000.0, heard_at: float = 10_000.0) -> Stance:
    return Standing(LIMITS, 0.0).look(table, heard_at, now)


def test_stances() -> None:
    assert stance(members((ALIVE, 5))) is Stance.WHOLE
    assert stance(members((ALIVE, 3), (LEFT, 2))) is Stance.WHOLE
    assert stance(members((ALIVE, 3), (SUSPECT, 2))) is Stance.PARTIAL
    assert stance(members((ALIVE, 2), (SUSPECT, 3))) is Stance.CUT_OFF  # doubt makes no majority
    assert stance(members((ALIVE, 2), (FAILED, 2))) is Stance.CUT_OFF  # nor does half of all
    assert stance(members((ALIVE, 5)), heard_at=10_000 - LIMITS.silence_ms - 1) is Stance.CUT_OFF
    assert stance(members((ALIVE, 1), (Status.UNKNOWN, 4)), now=100.0) is Stance.STARTED
    assert stance(members((ALIVE, 1), (Status.UNKNOWN, 4))) is Stance.CUT_OFF
    assert stance(members((ALIVE, 1))) is Stance.WHOLE  # a fleet of one


def test_a_majority_that_comes_and_goes_is_none() -> None:
    standing = Standing(LIMITS, 0.0)
    whole, less = members((ALIVE, 5)), members((ALIVE, 2), (FAILED, 3))
    now = 10_000.0
    assert standing.look(less, now, now) is Stance.CUT_OFF
    for _ in range(5):
        now += LIMITS.hold_ms * 0.8
        assert standing.look(whole, now, now) is Stance.CUT_OFF
        now += LIMITS.hold_ms * 0.1
        assert standing.look(less, now, now) is Stance.CUT_OFF
    standing.look(whole, now + 1, now + 1)
    now += LIMITS.hold_ms + 2
    assert standing.look(whole, now, now) is Stance.WHOLE


TABLES = st.lists(st.sampled_from([ALIVE, SUSPECT, FAILED, LEFT, Status.UNKNOWN]), min_size=2, max_size=9)


@given(TABLES, st.floats(0, 30_000))
def test_shares_never_grow_on_doubt(statuses: list[Status], age: float) -> None:
    """Whatever is suspected or failed keeps its share; only leaves older than their slack give it away."""
    now = 40_000.0
    table = [Member(s, 1, 0, since=now - age) for s in statuses]
    standing = Standing(LIMITS, 0.0)
    standing.look(table, now, now)
    permits = standing.permits(table, now)
    given_away = sum(s is LEFT for s in statuses) if age >= LIMITS.leave_slack_ms else 0
    assert len(table) - given_away <= permits.sharers <= len(table)
    if 2 * statuses.count(ALIVE) <= len(statuses):
        assert permits.sharers == len(table) and not permits.fleet_tasks and not permits.news


@given(st.integers(3, 9), st.integers(1, 2**30))
def test_no_two_parts_both_have_a_majority(n: int, seed: int) -> None:
    """Every member holds just its own part of a cut for alive: at most one part may do fleet tasks."""
    random = Random(seed)
    part = [random.randrange(3) for _ in range(n)]
    allowed = set()
    for k in range(n):
        table = [Member(ALIVE if part[m] == part[k] else FAILED, 1, 0) for m in range(n)]
        standing = Standing(LIMITS, 0.0)
        standing.look(table, 50_000.0, 50_000.0)
        if standing.permits(table, 50_000.0).fleet_tasks:
            allowed.add(part[k])
    assert len(allowed) <= 1


def test_a_cut_fleet_stands_as_it_should_and_comes_back() -> None:
    """Over the simulated network: a fifth is cut off, knows it, and is whole again after healing."""
    net = Network(20, membership(LIMITS), 4)
    standing = {k: Standing(LIMITS, 0.0) for k in range(20)}

    def look() -> dict[int, Stance]:
        return {k: standing[k].look(h.core.members, h.core.heard_at, net.now) for k, h in net.hosts.items()}

    net.run(500.0)
    assert set(look().values()) <= {Stance.STARTED, Stance.PARTIAL}
    net.run(6_000.0)
    assert set(look().values()) == {Stance.WHOLE}
    net.cut = lambda a, b: (a < 4) != (b < 4)
    for until in range(7_000, 30_001, 1_000):
        net.run(until)
        look()
    seen = look()
    assert {seen[k] for k in range(4)} == {Stance.CUT_OFF}
    assert {seen[k] for k in range(4, 20)} == {Stance.PARTIAL}
    net.cut = lambda a, b: False
    for until in range(31_000, 50_001, 1_000):
        net.run(until)
        look()
    assert set(look().values()) == {Stance.WHOLE}


# -- news -------------------------------------------------------------------------------------------


def fact(reporter: int, subject: int = 7, kind: FactKind = FactKind.SILENT, age: float = 0.0) -> Fact:
    return Fact(kind, subject, 0, reporter, age)


def test_voices_are_counted_by_reporter_not_by_word() -> None:
    news = News(LIMITS, 0)
    for k in range(10):
        news.hear(fact(1), 1_000.0 + 100 * k)
    news.tell(FactKind.SILENT, 7, 2_000.0)
    assert news.weigh(7, 20, range(5), 2_000.0).silent == 1  # and the own word is not another's
    news.hear(fact(2), 2_000.0)
    news.hear(fact(3), 2_000.0)
    assert news.weigh(7, 20, range(5), 2_000.0).silent == 3
    assert news.weigh(7, 20, {0, 1, 2}, 2_000.0).silent == 2  # who is gone has no voice
    news.hear(fact(2, kind=FactKind.SERVES), 2_500.0)
    weighed = news.weigh(7, 20, range(5), 2_500.0)
    assert (weighed.silent, weighed.serving) == (2, 1)


def test_one_to_whom_all_are_silent_is_at_fault_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    def weighed() -> int:
        news = News(LIMITS, 0)
        for subject in range(6):
            news.hear(fact(1, subject), 1_000.0)
            news.hear(fact(2, subject), 1_000.0)
        news.hear(fact(3, 4), 1_000.0)
        return news.weigh(4, 8, range(9), 1_000.0).silent

    assert weighed() == 1  # only 3, who names one store out of eight
    monkeypatch.setattr(news_module, "INDISCRIMINATE", 9.0)
    assert weighed() == 3  # the mutant believes them


def test_news_ages_out_and_an_older_word_never_replaces_a_later_one() -> None:
    news = News(LIMITS, 0)
    assert news.hear(fact(1, kind=FactKind.SERVES), 1_000.0)
    assert not news.hear(fact(1, age=500.0), 1_100.0)  # made before, came later
    assert news.weigh(7, 20, range(5), 1_100.0).serving == 1
    assert not news.hear(fact(2, age=LIMITS.news_ms + AGE_UNIT_MS), 1_100.0)
    assert news.weigh(7, 20, range(5), 1_000.0 + LIMITS.news_ms + 1).serving == 0
    assert len(news) == 0


def test_tables_are_bounded_and_one_reporter_cannot_fill_them() -> None:
    news = News(LIMITS, 0)
    for subject in range(1_000):
        news.hear(fact(1, subject), 1_000.0)
    assert len(news) == MOST_OF_ONE and news.counts["surplus"] == 1_000 - MOST_OF_ONE
    for reporter in range(2, 100):
        for subject in range(MOST_OF_ONE):
            news.hear(fact(reporter, subject), 1_001.0)
    assert len(news) == MOST_FACTS
    assert not news.hear(Fact(99, 1, 0, 2, 0.0), 1_001.0) and news.counts["unknown_kind"] == 1


def test_each_fact_is_sent_a_bounded_number_of_times_and_few_voices_suffice() -> None:
    news = News(LIMITS, 0)
    news.tell(FactKind.SILENT, 7, 0.0)
    sent = [f for _ in range(50) for f in news.take(4, 10.0)]
    assert len(sent) == LIMITS.relayed and sent[0].age_ms == 10.0
    for reporter in range(1, 40):
        news.hear(fact(reporter), 20.0)
    assert news.waiting <= LIMITS.relayed  # of forty voices only so many are passed on


def test_a_silent_store_is_known_to_the_fleet_soon_and_at_a_flat_price() -> None:
    """Three of N see it; the bytes that all of them pay do not grow with N for each member."""
    paid = {}
    for n in (20, 60):
        net = Network(n, membership(LIMITS), 5)
        net.run(8_000.0)
        before = net.bytes()
        net.run(10_000.0)
        quiet = net.bytes() - before
        before = net.bytes()
        for k in (1, 2, 3):
            net.hosts[k].core.news.tell(FactKind.SILENT, 7, net.now)
        net.run(12_000.0)
        paid[n] = (net.bytes() - before - quiet) / n
        core: Membership
        for core in (h.core for h in net.hosts.values()):
            weighed = core.news.weigh(7, 40, core.alive(), net.now)
            assert weighed.silent >= LIMITS.reporters
    assert paid[60] < 2 * paid[20]
