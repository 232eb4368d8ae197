"""Copies of the proxy's own: what is kept, what a purge drops, and when the module serves one."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from starlinghaven import interface as i
from starlinghaven.memory import own_account
from starlinghaven.routing.copies import ENTRY, Copies
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Ask, Counters, Ended, FleetNews, PurgeNews, Result, Taken
from tests.helpers import PAGE, SETTINGS, VIDEO
from tests.loopback import KEY, in_trio, program
from tests.steps import STORES, Recorder, Stores, Time

FLOW, LINK = 50_000.0, 200_000.0  # bytes a second
PART = b"x" * 1000


class Proxy:
    """An engine with own copies, stepped by hand."""

    def __init__(self) -> None:
        self.time, self.stores = Time(), Stores()
        clock = self.time.clock()
        self.copies = Copies(own_account(64_000), FLOW, LINK, clock)
        settings = replace(SETTINGS, second_copies=False)
        self.engine = Engine(settings, 7, clock, Counters(), self.copies)
        self.engine.caches = self.stores
        self.engine.handle(FleetNews(i.ListKind.COMPLETE, STORES))
        self.asked = 0

    def ask(self, cls: int = VIDEO, key: str = "a", **more: object) -> Recorder:
        self.asked += 1
        given = {"patience_ms": 5000.0, "key": key, "group": 3, "purgeable": True} | more
        ask = Ask(f"{self.asked}", cls, self.engine.clock.now(), **given)  # type: ignore[arg-type]
        ticket = Recorder()
        self.engine.handle(Taken(ask, ticket))
        return ticket

    def answered(self, body: bytes = PART, aged_s: float = 0.0) -> None:
        """The attempt that is out is served with bytes that the origin gave out so long ago."""
        since = 1000 * (self.time.s - aged_s)
        self.engine.handle(Ended(self.stores.out.pop(), i.Code.OK, body, tag="t1", since_ms=since))

    def fetch(self, cls: int = VIDEO, key: str = "a", aged_s: float = 0.0, **more: object) -> None:
        self.ask(cls, key, **more)
        self.answered(aged_s=aged_s)

    def served(self, cls: int = VIDEO, key: str = "a", **more: object) -> bool:
        """Whether a request is served at once, without an attempt; one that goes out is ended."""
        ticket = self.ask(cls, key, **more)
        if self.stores.out:
            assert not ticket.answers
            attempt = self.stores.out.pop()
            self.engine.handle(Ended(attempt, i.Code.OK, b""))
            return False
        (answer,) = ticket.answers
        assert answer.result is Result.SERVED and answer.body == PART
        return True


def test_what_was_served_before_is_served_again_without_an_attempt() -> None:
    p = Proxy()
    p.fetch()
    assert p.served() and not p.served(part=1) and not p.served(key="b")
    assert p.ask(have="t1").answers[0].result is Result.UNCHANGED


def test_only_what_a_purge_can_find_is_kept_and_served() -> None:
    """An object asked for without its group, or with another one, would outlive the group's purge."""
    p = Proxy()
    p.fetch(purgeable=False)
    assert not p.served()
    p.fetch()
    assert not p.served(group=4) and not p.served(purgeable=False) and p.served()


def test_a_purge_drops_older_copies_also_those_on_their_way() -> None:
    for key in ("a", None):
        p = Proxy()
        p.fetch()
        p.ask(key="b")
        p.engine.handle(PurgeNews(3, key, 1000 * p.time.s))
        p.time.s += 1
        assert not p.served()
        p.answered(aged_s=2)
        assert p.served(key="b") is (key == "a"), "of that group: given out before the purge"
    p.fetch(aged_s=0.5)
    assert p.served(), "given out after it"


def test_an_older_answer_that_comes_later_does_not_replace_a_newer_copy() -> None:
    proxy = Proxy()
    proxy.ask(again=True)
    late = proxy.stores.out.pop()
    proxy.fetch(aged_s=1.0)
    for body, aged_s in ((PART, 3.0), (b"", 0.0), (b"x" * 60_000, 0.0)):
        proxy.copies.put(late.ask, Ended(late, i.Code.OK, body, since_ms=1000 * (proxy.time.s - aged_s)), 1)
        held = proxy.copies.find(late.ask)
        assert held is not None and held.given_ms == proxy.engine.clock.now() - 1000.0


def test_a_copy_past_its_fresh_time_is_served_only_where_no_store_can() -> None:
    p = Proxy()
    p.fetch(PAGE, aged_s=11)
    assert p.served(PAGE)
    p.time.s += 2
    ticket = p.ask(PAGE)
    assert not ticket.answers and p.stores.out, "asked for anew"
    while p.stores.out and not ticket.answers:
        p.engine.handle(Ended(p.stores.out.pop(), i.Code.MISS))
    assert ticket.answers[0].body == PART, "within its grace an old one is better than none"
    p.time.s += 20
    ticket = p.ask(PAGE)
    while p.stores.out and not ticket.answers:
        p.engine.handle(Ended(p.stores.out.pop(), i.Code.MISS))
    assert ticket.answers[0].result is Result.REFUSED, "past its grace it is never served"


def test_the_link_is_not_filled_beyond_what_comes_in_time() -> None:
    """Transfers queue on the proxy's own link: what would come late goes to a cache."""
    p = Proxy()
    p.ask()
    p.answered(b"y" * 15_000)
    served = 0
    while p.ask().answers:
        served += 1
    waits = 1000 * 15_000 / LINK * served
    assert served >= 2 and waits <= 3 * SETTINGS.classes[VIDEO].target_ms
    p.time.s += 5
    assert p.ask().answers, "the link is free again"


def test_all_that_is_put_on_the_link_is_booked_and_never_more_than_it_carries() -> None:
    """Frames and answers without bytes weigh too: what is not booked piles up through a long day."""
    time = Time()
    copies = Copies(own_account(64_000), FLOW, LINK, time.clock())
    for _ in range(100):
        copies.sent(10_000)
    booked = copies.ready_ms(10_000)
    assert booked > 1000 * 101 * (10_000 + 40) / LINK
    copies.sent(10_000, unchanged=True)
    assert 1000 * 500 / LINK < copies.ready_ms(10_000) - booked < 1000 * 1000 / LINK
    time.s += 60
    assert copies.ready_ms(10_000) == 1000 * 10_000 / FLOW, "an idle link owes nothing"


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 9_000), st.integers(0, 3), st.booleans())))
def test_the_bytes_held_are_counted_and_bounded(steps: list[tuple[int, int, int, bool]]) -> None:
    """A model of the store: its count is what it holds, and what has a rank outlives what has none."""
    time = Time()
    copies = Copies(own_account(40_000), FLOW, LINK, time.clock())
    for n, size, rank, purge in steps:
        ask = Ask("", VIDEO, 0.0, 0.0, key=str(n), group=n % 4)
        time.s += 1
        if purge:
            copies.purge(n % 4, None, 1000 * time.s)
            assert copies.find(ask) is None
            continue
        held = set(copies._kept[1])
        end = Ended(None, i.Code.OK, b"z" * size, since_ms=1000 * time.s)  # type: ignore[arg-type]
        copies.put(ask, end, rank)
        kept = {**copies._kept[0], **copies._kept[1]}
        assert copies.held == sum(c.cost for c in kept.values()) <= 40_000
        if rank == 0:
            assert held - {copies._name(ask)} <= set(copies._kept[1])
        if rank or not held:
            assert (copies.find(ask) is not None) is (size + ENTRY <= 10_000)


def test_what_is_asked_for_again_outlives_what_is_asked_for_once() -> None:
    """A hot object is served from here alone: nothing else would raise the rank it came with."""
    copies = Copies(own_account(40_000), FLOW, LINK, Time().clock())
    end = Ended(None, i.Code.OK, b"z" * 3_000, since_ms=1.0)  # type: ignore[arg-type]
    asks = [Ask("", VIDEO, 0.0, 0.0, key=str(n)) for n in range(50)]
    copies.put(asks[0], end, 0)
    assert copies.find(asks[0])
    for ask in asks[1:]:
        copies.put(ask, end, 0)
    assert copies.find(asks[0]) and copies.find(asks[-1]) and not copies.find(asks[1])


@in_trio
async def test_the_program_serves_its_own_copy_over_sockets(tmp_path: Path) -> None:
    rates = {"flow_bytes_per_s": 77_000.0, "link_bytes_per_s": 462_000.0}
    async with program(tmp_path, more=rates) as p:
        client = await p.client()
        bodies = {(await client.call())[3] for _ in range(4)}
        assert bodies == {f"{KEY}/3".encode()} and len(p.archive.orders) == 1
        assert (await client.call(family=None))[1] == b"RESULT" and len(p.archive.orders) == 2
