"""Numbers, lengths and names out of range, from any peer or file: refused, and nothing else ends."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven import interface as i
from starlinghaven.containment import CONTAINED
from starlinghaven.memory import own_account
from starlinghaven.program import config
from starlinghaven.program.fronts.clients import Clients
from starlinghaven.program.operations.handover import Handover
from starlinghaven.protocol import ProtocolError, caches, changelog, platform, uri_signing
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Answer, Ask, Ended, Observer, Result, Taken
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring
from tests.loopback import KEY, Archive, in_trio, program, until
from tests.steps import Recorder, Stores, Time, accounts, engine
from tests.test_change_log import counted, purge_frame
from tests.test_config import raw

SPOILT = "00000000000000ff"
HUGE = int("7" * 400)  # above the largest float
LINK = {"flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000}  # copies of its own are allowed
ODD = [
    "7" * 400,
    "-1",
    "1e400",
    "1e308",
    "nan",
    "inf",
    "1_0",
    "0x1",
    " 5",
    "",
    "9" * 17,
    "٣",
    "1.5",
    "x" * 3000,
]


class SpoiltArchive(Archive):
    """Stores of which one answer, to one object, carries a number of 400 digits."""

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        delay, word, since = super().reply(store, fields)
        return delay, word, HUGE if fields.get("k") == SPOILT else since


@in_trio
async def test_a_huge_number_in_one_answer_of_a_store_costs_no_other_request_its_answer(
    tmp_path: Path,
) -> None:
    """Guards against the end of the process, with all that is open, by one number above the largest float."""
    archive = SpoiltArchive()
    archive.plan[KEY] = (1.0, "served")
    async with program(tmp_path, more=LINK, archive=archive) as p:
        other, client = await p.client(), await p.client()
        tags = [await other.send(block=str(n)) for n in range(5)]
        await until(lambda: len(archive.orders) == len(tags))
        assert (await client.call(key=SPOILT))[1] in (b"RESULT", b"REJECT", b"ABORTED")
        answers = [await other.words.read() for _ in tags]
        assert sorted(int(a[0]) for a in answers if a and a[1] == b"RESULT") == tags
        assert (await client.call(key="00000000000000aa"))[1] == b"RESULT"
        assert p.process.returncode is None
        await counted(p, " bad_answers=")


@given(st.sampled_from(["since", "fill", "load", "rev", "note"]), st.sampled_from(ODD))
def test_each_field_of_an_answer_is_within_its_bounds_or_refused(field: str, value: str) -> None:
    """Guards against numbers that overflow, or stay in means for good, far from the place that read them."""
    text = f"load=util:{value};x1:0.5" if field == "load" else f"{field}={value}"
    try:
        said = caches.parse([b"1", b"served", text.encode("ascii", "replace"), b""])
    except ProtocolError as error:
        assert len(str(error)) < 200, "a log can bear it"
        return
    assert 0 <= said.since_ms < 2**53 and 0 <= said.filled_ms < 1e9 and len(said.rev) <= 64
    assert all(0 <= number <= caches.MOST_LOAD for number in said.load.values())


@given(st.sampled_from(["ttl", "heap", "block", "family"]), st.sampled_from(ODD), st.integers(1, 2**70))
def test_each_number_of_a_call_is_within_its_bounds_or_refused(field: str, value: str, tag: int) -> None:
    fields = {"call": f"{1:016x}", "ttl": "900"} | {field: value}
    text = ",".join(f"{k}={v}" for k, v in fields.items()).encode("ascii", "replace")
    try:
        call = platform.parse([b"RPC.CALL", b"%d" % tag, b"pieces", text])
    except ProtocolError:
        assert tag >= 2**64 or (field, value) != ("heap", "1.5")
        return
    assert isinstance(call, platform.Call) and call.tag == tag < 2**64
    assert call.ttl_ms < 10**9 and 0 <= call.size_kb <= platform.MOST_SIZE_KB
    assert (call.block or 0) < 10**9 and (call.family or 0) <= 255


def test_a_copy_that_is_dated_ahead_is_served_and_not_kept() -> None:
    """Guards against a copy that looks new for ever: its age would count from the moment it came."""
    time, stores = Time(), Stores()
    made = engine(time, stores)
    put: list[float] = []

    class Copies:
        def find(self, ask: Ask) -> None:
            return None

        def put(self, ask: Ask, ended: Ended, *_: object) -> None:
            put.append(ended.since_ms)

    made.own_copies.copies = cast(Any, Copies())
    now = 1000 * time.s
    for since_ms in (now - 5.0, now + 500.0, now + 60_000.0):
        ticket = Recorder()
        made.handle(Taken(_ask(str(since_ms)), ticket))
        made.handle(Ended(stores.out.pop(), i.Code.OK, b"x", since_ms=since_ms))
        assert [a.result for a in ticket.answers] == [Result.SERVED]
    assert put == [now - 5.0, now + 500.0] and made.counters["copies_dated_ahead"] == 1


def _ask(id: str, cls: int = 1) -> Ask:
    return Ask(id, cls, Time().clock().now(), 2_500.0, "a", purgeable=True)


class _Raising(Recorder):
    """A ticket that can't word what was served."""

    def answer(self, answer: Answer) -> None:
        if answer.result is Result.SERVED:
            raise OverflowError("a length that does not fit")
        super().answer(answer)


def _fails(*_: object) -> None:
    raise OverflowError("int too large to convert to float")


@pytest.mark.parametrize("place", ["observer", "own copies", "ticket", "cache side", "class"])
def test_a_defect_met_at_one_request_ends_neither_the_engine_nor_any_wait(place: str) -> None:
    """Guards the one task that owns all requests: what it meets at one of them must cost no other."""
    trio.run(_defect_at, place)


async def _defect_at(place: str) -> None:
    stores, bad, good = Stores(), Recorder(), Recorder()
    made = engine(Time(), stores)
    if place == "observer":
        made.observer = cast(
            Observer, type("Broken", (), {"asked": _fails, "sent": _fails, "ended": _fails})()
        )
    elif place == "own copies":
        made.own_copies.keep = _fails  # type: ignore[method-assign, assignment]
    elif place == "ticket":
        bad = _Raising()
    elif place == "cache side":
        stores.send = _fails  # type: ignore[method-assign, assignment]
    with trio.fail_after(5):
        await _one_bad_one_good(made, stores, place, bad, good)
    assert len(bad.answers) == 1 and [a.body for a in good.answers] == [b"y"]
    assert made.counters[CONTAINED] >= 1 and made.open_requests == 0


async def _one_bad_one_good(made: Engine, stores: Stores, place: str, bad: Recorder, good: Recorder) -> None:
    send = Stores.send.__get__(stores)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run, stores)
        await made.post(Taken(_ask("1", 99 if place == "class" else 1), bad))
        if place not in ("cache side", "class", "observer"):
            await until(lambda: stores.out)
            await made.post(Ended(stores.out.pop(), i.Code.OK, b"x"))
        await until(lambda: bad.answers)
        stores.send, made.observer = send, None  # type: ignore[method-assign]
        await made.post(Taken(_ask("2"), good))
        await until(lambda: stores.out)
        await made.post(Ended(stores.out.pop(), i.Code.OK, b"y"))
        await until(lambda: good.answers)
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_connection_that_meets_a_defect_ends_alone(tmp_path: Path) -> None:
    """Guards the listener's task: an exception out of one connection's start must not close the others."""
    made = 0

    def make(connection: Any) -> Any:
        nonlocal made
        made += 1
        raise OverflowError("a defect at the start of a connection")

    listener = Listener("127.0.0.1:0", accounts(1 << 20), 8)
    await listener.open()
    clients = Clients(listener, make)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(clients.run)
        for n in range(2):
            stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
            assert await stream.receive_some() == b"" and made == n + 1
        nursery.cancel_scope.cancel()


def _known(change: dict[str, Any]) -> dict[str, Any]:
    told = json.loads(json.dumps(raw()))
    told["known"]["results"][0]["fleet"]["instances"][0] |= change
    return cast(dict[str, Any], told)


def _named(name: object) -> dict[str, Any]:
    told = json.loads(json.dumps(raw()))
    told["settings"]["Classes"][0]["Name"] = name
    return cast(dict[str, Any], told)


BAD_FILES: list[Callable[[], dict[str, Any]]] = [
    *(lambda v=v: _known({"startedAtMs": v}) for v in ("soon", -1, HUGE, float("inf"))),
    *(lambda v=v: _known({"weight": v}) for v in ("6", None, -1, float("nan"), HUGE)),
    *(lambda v=v: _known({"cell": v}) for v in ("2", -1, 1 << 40)),
    *(lambda v=v: _known({"hostPort": v}) for v in (8443, None)),
    *(lambda v=v: raw() | {"known": {"seq": v}} for v in (-1, HUGE, "1", 1.5, True)),
    *(lambda v=v: raw() | {"limits": {"memory_mb": v}} for v in (0, -5, float("inf"), float("nan"))),
    *(lambda v=v: raw() | {"limits": {"memory_mb": v}} for v in (HUGE, "1")),
    *(lambda v=v: raw() | {"limits": {"sockets": v}} for v in (0, -1, float("inf"), 1 << 70)),
    *(lambda v=v: raw() | {"flow_bytes_per_s": v} for v in (-1, float("inf"), float("nan"), HUGE, "fast")),
    lambda: raw() | {"known": {"seq": 2, "results": [{"seq": 2, "invalidate": {"object": 7, "time": 1}}]}},
    lambda: raw() | {"known": {"seq": 2, "results": [{"seq": 2, "invalidate": {"bucket": 7, "time": "1"}}]}},
    *(lambda v=v: _named(v) for v in ("a,b", "a=b", "a b", "pi\u00e8ces", "", 7)),
]  # fmt: skip


@pytest.mark.parametrize("number", range(len(BAD_FILES)))
def test_a_configuration_with_a_value_out_of_range_is_refused_whole(number: int, tmp_path: Path) -> None:
    """Guards against a value that is read without a word and ends the program later, at a SIGHUP say."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(BAD_FILES[number]()))
    with pytest.raises(config.ConfigError):
        config.load({"LB_CONFIG": str(path)})


@pytest.mark.parametrize("text", ["7" * 400, "1e400", "NaN", "-1", '"x"', "[" * 100_000, "null"])
def test_a_time_out_of_range_in_the_file_of_calls_by_hand_ends_nothing(text: str, tmp_path: Path) -> None:
    """Guards the task that follows this file: both processes of an upgrade depend on it."""
    (tmp_path / "starlinghaven-hand").write_text(f'{{"s-1": [true, {text}]}}')
    assert Handover(str(tmp_path)).news() == []


@pytest.mark.parametrize("text", ["7" * 400, "0", "-1", "9" * 12, "", "x"])
def test_a_number_that_is_no_process_is_no_successor(text: str, tmp_path: Path) -> None:
    """Guards the end of a process: it asks for its successor before it answers what is open."""
    (tmp_path / "starlinghaven-serving").write_text(text)
    assert Handover(str(tmp_path)).successor() is None


@pytest.mark.parametrize("value", [10**400, -(10**400), 1e300])
def test_a_token_whose_end_is_out_of_range_opens_nothing(value: float) -> None:
    with pytest.raises(uri_signing.BadToken):
        uri_signing._check_claims({"exp": value}, 1.0, (), 0.0)


def test_a_number_of_an_event_that_no_log_reaches_is_no_frame() -> None:
    """Guards against noise that passes for the last event: all true ones would count as known."""
    ring = Ring(own_account(1 << 20))
    ring.put(struct.pack(">IQB", 9, 1 << 60, 0))
    with pytest.raises(ProtocolError):
        changelog.FrameReader().next(ring)


@in_trio
async def test_an_event_that_can_not_be_read_is_asked_for_once_more_and_then_passed_over(
    tmp_path: Path,
) -> None:
    """Guards all later news: an event that stays unreadable would have the log asked for it for ever."""
    connections = 0

    async def log(stream: trio.SocketStream) -> None:
        nonlocal connections
        connections += 1
        await stream.receive_some(8)
        unreadable = struct.pack(">IQB", 9 + 5, 2, 3) + b"short"
        await stream.send_all(unreadable + purge_frame(3))
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, log, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with program(tmp_path, changelog=address) as p:
            await p.logged("event 2 is passed over")
            await counted(p, " changelog_gaps=1 ")
            await counted(p, " purges=2 ")  # ahead of its turn, and in its turn
            assert connections == 2
        nursery.cancel_scope.cancel()
