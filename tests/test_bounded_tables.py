"""What grows by names, ids, tags or numbers that others choose is bounded, and what is over is let go."""

from __future__ import annotations

import struct
from dataclasses import replace

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven import interface as i
from starlinghaven.interface import Code, Outcome, Request
from starlinghaven.memory import own_account
from starlinghaven.program.fronts.used_tags import MOST_APART, PREPAID_APART, TAG_BYTES, UsedTags
from starlinghaven.protocol import ProtocolError, changelog
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.engine import LEAST_TIMERS
from starlinghaven.routing.inbox import MOST_NEWS, Inbox
from starlinghaven.routing.store_table import STORE_BYTES, StoreTable
from starlinghaven.routing.timers import LEAST_SWEPT, Timers
from starlinghaven.routing.types import Ask, Ended, FleetNews, Store, Taken
from starlinghaven.transport.ring import READ, Ring
from tests.helpers import SETTINGS, Driver
from tests.steps import STORES, Recorder, Stores, Time, engine

MANY = 3_000


def test_requests_that_are_over_leave_no_timer_behind() -> None:
    """Their timers held them, with their bodies, until a time that their clients had chosen."""
    time, stores = Time(), Stores()
    made = engine(time, stores)
    for n in range(MANY):
        ticket = Recorder()
        made.handle(Taken(Ask(f"{n:x}", 0, made.clock.now(), 20_000.0, key=f"{n:x}", body=b"b" * 99), ticket))
        for attempt in list(stores.out):
            stores.out.remove(attempt)
            made.handle(Ended(attempt, i.Code.OK, b"x"))
        assert ticket.answers
        time.s += 0.001
    assert len(made._timers) <= 4 * LEAST_TIMERS


def test_a_cancelled_timer_is_not_due_and_is_forgotten() -> None:
    timers = Timers[int]()
    kept = [timers.at(10.0 * n, n) for n in range(MANY)]
    for entry in kept[1:]:
        timers.cancel(entry)
        timers.cancel(entry)
    assert len(timers) <= 2 * LEAST_SWEPT + 2
    assert list(timers.due(1e9)) == [0] and not len(timers)


def test_attempts_that_have_ended_are_not_looked_after_behind_one_that_hangs() -> None:
    d = Driver(second_copies=True)
    d.ask("hangs", patience=6_000.0)
    for n in range(MANY):
        d.ask(f"{n:x}", patience=6_000.0)
        d.say(Outcome(d.next_id, 0, "", Code.OK, 5.0, final=True))
        d.now += 0.1
    assert sum(map(len, d.router.waiting)) < MANY / 10
    assert len(d.router.delayed) <= 1 and len(d.router.jobs) == 1


def test_tags_with_gaps_use_up_no_memory_of_clients_that_leave_few() -> None:
    account = own_account(400 * TAG_BYTES)
    crowd = [UsedTags(account) for _ in range(50)]
    for tags in crowd:
        for n in range(1, MANY):
            tags.use(2 * n)
        with pytest.raises(ProtocolError, match="used again"):
            tags.use(2 * (MANY - PREPAID_APART))  # the last ones are remembered with no memory left at all
    assert account.free >= 0
    usual = UsedTags(account)
    for tag in (2, 4, 3, 1, 6, 5, *range(100, 100 - PREPAID_APART, -1)):
        usual.use(tag)
    assert usual.up_to == 6 and len(usual.apart) == PREPAID_APART
    for tags in (usual, *crowd):
        tags.close()
    assert not account.held


@pytest.mark.parametrize("room", [0, 100, 1 << 20])
@pytest.mark.parametrize("step", [2, 1 << 40, -3])
def test_no_new_tag_is_refused_however_many_were_used(room: int, step: int) -> None:
    """Guards honest clients: tags need only be new, and what remembers them has to be bounded."""
    account = own_account(room * TAG_BYTES)
    tags, first = UsedTags(account), 1 if step > 0 else 1 << 20
    for n in range(3 * MOST_APART):
        tags.use(first + step * n)
        assert account.held <= room * TAG_BYTES
    assert len(tags.apart) <= MOST_APART
    other = UsedTags(account)
    other.restore(tags.up_to, range(2, 4 * MOST_APART, 2))
    assert account.free >= 0 and len(other.apart) <= MOST_APART
    tags.close()
    other.close()
    assert not account.held


@given(st.lists(st.integers(1, 90), max_size=80))
def test_a_tag_is_used_once_in_whatever_order(tags: list[int]) -> None:
    account = own_account(1 << 20)
    used, seen = UsedTags(account), set[int]()
    for tag in tags:
        if tag in seen:
            with pytest.raises(ProtocolError):
                used.use(tag)
        else:
            used.use(tag)
        seen.add(tag)
        above = sorted(n for n in seen if n > used.up_to)
        assert set(range(1, used.up_to + 1)) <= seen and list(used.apart) == above
        assert account.held == max(len(above) - PREPAID_APART, 0) * TAG_BYTES


def test_a_list_longer_than_its_memory_is_known_in_part_and_heeded() -> None:
    account = own_account(2 * STORE_BYTES)
    table = StoreTable(SETTINGS, Clock(), account)
    members = table.update(FleetNews(i.ListKind.COMPLETE, STORES[:4]))
    assert table.ids == {STORES[0].id, STORES[1].id} and table.passed_over == 2
    assert [m.phase for m in members] == [i.Phase.UP, i.Phase.UP, i.Phase.GONE, i.Phase.GONE]
    table.update(FleetNews(i.ListKind.PARTIAL, (replace(STORES[0], phase=i.Phase.DRAINING),)))
    assert not table.takes_new(STORES[0].id) and table.takes_new(STORES[1].id)
    table.update(FleetNews(i.ListKind.PARTIAL, (replace(STORES[0], phase=i.Phase.GONE), STORES[2])))
    assert table.ids == {STORES[1].id, STORES[2].id} and account.held == 2 * STORE_BYTES
    table.update(FleetNews(i.ListKind.COMPLETE, ()))
    assert not account.held


@pytest.mark.parametrize("lines", [1, 64, 65, 960, 3_200, 20_000])
def test_a_list_of_any_length_is_read_within_the_same_memory(lines: int) -> None:
    """Guards against a list that is refused for its length: a fleet may have 3,200 caches."""
    account, reader = own_account(4 * READ), changelog.FrameReader()
    ring, read = Ring(account), list[changelog.Fleet]()
    payload = b"".join(struct.pack(">I4sHBBBHIQ", n, bytes(4), 1, 0, 0, 0, 0, 6_000, 0) for n in range(lines))
    data = struct.pack(">IQB", 9 + len(payload), 2, 2) + payload + struct.pack(">IQB", 9, 2, 0)
    for at in range(0, len(data), READ):
        ring.put(data[at : at + READ])
        while (frame := reader.next(ring)) is not None:
            if isinstance(frame[1], changelog.Fleet):
                read.append(frame[1])
    assert not ring.size and account.peak <= 4 * READ
    assert [r.id for piece in read for r in piece.records] == [f"s-{n:08x}" for n in range(lines)]
    assert max(len(piece.records) for piece in read) <= changelog.PIECE_LINES
    assert [piece.first for piece in read] == [True] + [False] * (len(read) - 1)
    assert [piece.last for piece in read] == [False] * (len(read) - 1) + [True]


def test_a_list_with_a_line_that_can_not_be_read_ends_where_its_frame_does() -> None:
    """Guards what follows an event that is spoilt in its middle: it was read from where the line stood."""
    ring, reader = Ring(own_account(1 << 20)), changelog.FrameReader()
    line = struct.pack(">I4sHBBBHIQ", 1, bytes(4), 1, 0, 0, 0, 0, 6_000, 0)
    spoilt = line[:10] + b"\x07" + line[11:]
    payload = line * 100 + spoilt + line * 1_000
    ring.put(struct.pack(">IQB", 9 + len(payload), 5, 2) + payload + struct.pack(">IQB", 9, 6, 0))
    first = reader.next(ring)
    assert first is not None and isinstance(first[1], changelog.Fleet) and not first[1].last
    with pytest.raises(changelog.UnusableEvent, match="event 5: state 7"):
        reader.next(ring)
    assert reader.next(ring) == (6, None)


EIGHT = tuple(replace(STORES[0], id=f"s-{n:08x}", address=f"127.0.0.1:{n + 1}") for n in range(8))


@pytest.mark.parametrize("size", [1, 2, 3, 7])
@pytest.mark.parametrize("known", [EIGHT[:4], EIGHT[2:], EIGHT])
def test_a_whole_list_in_pieces_says_the_same_as_at_once(size: int, known: tuple[Store, ...]) -> None:
    """Guards against stores that are lost, or stay, where a list is not taken over in one piece."""
    moved = replace(EIGHT[5], address=EIGHT[0].address)  # the list does not name who is there
    listed = (*EIGHT[1:4], moved, *EIGHT[6:])
    at_once, in_pieces = (StoreTable(SETTINGS, Clock(), own_account(8 * STORE_BYTES)) for _ in range(2))
    for table in (at_once, in_pieces):
        table.update(FleetNews(i.ListKind.PERSISTED, known))
    at_once.update(FleetNews(i.ListKind.COMPLETE, listed))
    told = dict[str, i.Member]()
    for at in range(0, len(listed), size):
        last = at + size >= len(listed)
        news = FleetNews(i.ListKind.COMPLETE, listed[at : at + size], first=not at, last=last)
        told |= {member.store: member for member in in_pieces.update(news)}
    assert in_pieces.ids == at_once.ids == {store.id for store in listed}
    assert sorted(in_pieces.members(), key=str) == sorted(at_once.members(), key=str)
    assert {store for store, line in told.items() if line.phase is not i.Phase.GONE} == at_once.ids
    assert {store.id for store in known} - at_once.ids <= set(told), "the Router hears who is gone"


def test_a_fleet_that_is_replaced_whole_in_pieces_needs_no_memory_for_both() -> None:
    """Guards against new stores that are passed over while those that the list will not name are held."""
    table = StoreTable(SETTINGS, Clock(), own_account(4 * STORE_BYTES))
    table.update(FleetNews(i.ListKind.PERSISTED, EIGHT[:4]))
    for n, store in enumerate(EIGHT[4:8]):
        table.update(FleetNews(i.ListKind.COMPLETE, (store,), first=not n, last=n == 3))
    assert table.ids == {store.id for store in EIGHT[4:8]} and not table.passed_over


def test_news_waits_by_the_lines_that_it_tells() -> None:
    async def run() -> None:
        inbox, posted = Inbox(Clock()), list[int]()
        news = FleetNews(i.ListKind.PARTIAL, STORES * (MOST_NEWS // 8))

        async def post() -> None:
            for n in range(5):
                await inbox.post(news)
                posted.append(n)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(post)
            await trio.testing.wait_all_tasks_blocked()
            assert posted == [0, 1]
            assert len(list(inbox.news())) == 3
            await trio.testing.wait_all_tasks_blocked()
            assert posted == [0, 1, 2, 3, 4]

    trio.run(run)


def test_a_request_that_waits_for_its_second_copy_forgets_it_with_its_end() -> None:
    d = Driver(second_copies=True)
    d.say(Request(7, 0, 6_000.0, "a"))
    assert len(d.router.delayed) == 1
    (token,) = d.router.delayed
    assert d.router.awaits(token)
    d.say(i.Gone(7))
    assert not d.router.awaits(token) and not d.router.delayed
