"""Daily operation: the console, maintenance by hand, and an upgrade beside the running process."""

from __future__ import annotations

import errno
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any, cast

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.memory import own_account
from starlinghaven.program.operations.handover import Handover
from starlinghaven.program.operations.lateness import watch_lateness
from starlinghaven.protocol import ProtocolError, console, handover
from starlinghaven.protocol.resp import encode
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, Hand
from starlinghaven.transport.ring import Ring
from tests.loopback import KEY, ROOT, Program, free_port, in_trio, operator, program

CACHE = "s-00000001"


def test_a_number_that_another_process_has_by_now_is_no_successor(tmp_path: Path) -> None:
    parent = os.getppid()
    (tmp_path / "starlinghaven-serving").write_text(str(parent))
    (tmp_path / "starlinghaven-serving-start").write_text(f"{parent} 1")
    assert Handover(str(tmp_path)).successor() is None
    (tmp_path / "starlinghaven-serving-start").unlink()
    assert Handover(str(tmp_path)).successor() is not None


def read(text: bytes) -> console.Call | None:
    ring = Ring(own_account(1 << 20))
    ring.put(text)
    return console.read(ring)


def test_calls_are_read_whole_and_strictly() -> None:
    assert read(b"readyz\r\n") == console.Call("readyz")
    assert read(b"exclude s-00c41f7a\n") == console.Call("exclude", "s-00c41f7a")
    assert read(b"exclude s-0") is None
    for bad in (b"\n", b"reboot\n", b"exclude\n", b"include a b\n", b"exclude a,b\n", b"\xff\n", b"x" * 256):
        with pytest.raises(ProtocolError):
            read(bad)


def test_what_one_process_is_told_by_hand_the_other_learns_once(tmp_path: Path) -> None:
    one, other = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.keep(Hand(CACHE, True, 1000.0))
    assert other.news() == [Hand(CACHE, True, 1000.0)]
    assert other.news() == [] and one.news() == [], "told to itself, not news"
    other.keep(Hand(CACHE, False, 4e12))
    assert one.news() == [Hand(CACHE, False, 4e12)]
    (tmp_path / "starlinghaven-hand").write_text("[half")
    assert one.news() == [], "a spoilt file ends nothing"
    assert Handover("").news() == [] and not Handover("").successor()


def test_a_later_call_by_hand_counts_though_the_wall_clock_stepped_back(tmp_path: Path) -> None:
    one, other = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.keep(Hand(CACHE, True, 4e12))
    other.news()
    one.keep(Hand(CACHE, False, 4e12 - 3.6e6))
    (news,) = other.news()
    assert not news.out


@in_trio
async def test_a_call_by_hand_outlasts_a_full_folder_and_leaves_no_drafts(tmp_path: Path) -> None:
    one, other = Handover(str(tmp_path)), Handover(str(tmp_path))

    def full(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "replace", full)
        one.keep(Hand(CACHE, True, 1000.0))
        assert other.news() == [] and not list(tmp_path.iterdir())
    one.save_unsaved()
    assert [hand.out for hand in other.news()] == [True]


@in_trio
async def test_calls_by_hand_are_not_forgotten_when_their_file_can_not_be_read_for_a_moment(
    tmp_path: Path,
) -> None:
    one, other = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.keep(Hand(CACHE, True, 1000.0))

    def broken(*_: object) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Path, "read_text", broken)
        assert other.news() == []
        other.keep(Hand("s-00000009", True, 2000.0))
    other.save_unsaved()
    assert {hand.store for hand in Handover(str(tmp_path)).news()} == {CACHE, "s-00000009"}


@in_trio
async def test_a_start_takes_no_request_before_it_knows_what_is_excluded(tmp_path: Path) -> None:
    told, other = Handover(str(tmp_path)), Handover(str(tmp_path))
    told.keep(Hand(CACHE, True, 1000.0))
    reads, posted = 0, list[Hand]()
    real = Path.read_text

    def failing(path: Path, *more: Any) -> str:
        nonlocal reads
        reads += 1
        if reads < 5:
            raise OSError(errno.EIO, "Input/output error")
        return real(path, *more)

    class Queue:
        async def post(self, event: Hand) -> None:
            posted.append(event)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Path, "read_text", failing)
        await other.restore(cast(Engine, Queue()))
    assert [hand.store for hand in posted] == [CACHE]


@in_trio
async def test_operators_hear_no_yes_to_a_call_that_the_next_process_would_not_know_of(
    tmp_path: Path,
) -> None:
    door, folder = free_port(), tmp_path / "gone"
    async with program(tmp_path, LB_CONSOLE=f"127.0.0.1:{door}", TMPDIR=str(folder)) as p:
        assert not (await operator(door, f"exclude {CACHE}"))[0].startswith("SUCCESS")
        assert "excluded=1" in " ".join(await operator(door, "telemetry")), "it is in force here"
        folder.mkdir()
        await p.logged("nothing can be handed over")
        while not (await operator(door, f"exclude {CACHE}"))[0].startswith("SUCCESS"):
            await trio.sleep(0.05)
        assert Handover(str(folder)).news()[0].out


@in_trio
async def test_operators_see_figures_and_take_a_store_out_and_back(tmp_path: Path) -> None:
    door = free_port()
    async with program(tmp_path, LB_CONSOLE=f"127.0.0.1:{door}", TMPDIR=str(tmp_path)) as p:
        stuck = [await trio.open_tcp_stream("127.0.0.1", door) for _ in range(20)]  # finish no call
        assert (await operator(door, "readyz"))[0].startswith("SUCCESS")
        client = await p.client()
        assert (await client.call())[1] == b"RESULT"
        assert await operator(door, "members") == ["FAILURE no peers"]
        lines = await operator(door, "telemetry")
        assert lines[-1] == "EOT"
        figures = dict(line.split("=") for line in lines[:-1])
        assert figures["edge_lb.requests.pieces.served"] == figures["edge_lb.attempts"] == "1"
        assert figures["edge_lb.requests.depot.failed"] == figures["edge_lb.in_flight"] == "0"
        assert (figures["edge_lb.pop_caches_known"], figures["edge_lb.pop_caches_excluded"]) == ("3", "0")
        for wrong in ("exclude s-000000ff", "include s-000000ff", "exclude", "steal"):
            assert (await operator(door, wrong))[0].startswith("FAILURE"), wrong
        for _ in range(2):
            assert (await operator(door, f"exclude {CACHE}"))[0].startswith("SUCCESS")
        assert "edge_lb.pop_caches_excluded=1" in await operator(door, "telemetry")
        for n in range(5):
            await client.call(key=f"{n:016x}")
        assert [o["at"] for o in p.archive.orders].count(CACHE) == 1, "none since it was excluded"
        assert (await operator(door, f"include {CACHE}"))[0].startswith("SUCCESS")
        with trio.fail_after(5):  # it counts as cold, and a process that just started leaves such ones be
            while (await client.call())[1] == b"RESULT" and p.archive.orders[-1]["at"] != CACHE:
                await trio.sleep(0.05)
        for stream in stuck:
            await stream.aclose()


@asynccontextmanager
async def upgrade(folder: Path, shared: str) -> AsyncIterator[tuple[Program, Callable[[], Any]]]:
    """A process on a passed socket, and what starts its successor; both share a folder."""
    with socket.create_server(("127.0.0.1", 0)) as passed:
        doors = [f"127.0.0.1:{free_port()}" for _ in range(2)]
        async with program(folder, passed=passed, LB_CONSOLE=doors[0], TMPDIR=shared) as old:
            yield old, partial(program, folder, passed=passed, beside=old, LB_CONSOLE=doors[1], TMPDIR=shared)


@in_trio
async def test_an_upgrade_takes_the_clients_over_and_keeps_stores_excluded(tmp_path: Path) -> None:
    """The platform holds the listening socket; the old process ends with nothing lost.

    The folder's name is too long for a Unix socket: connections are closed as they fall idle then.
    """
    shared = tmp_path / ("x" * 100)
    shared.mkdir()
    async with upgrade(tmp_path, str(shared)) as (old, successor):
        assert (await operator(old.console, f"exclude {CACHE}"))[0].startswith("SUCCESS")
        old.archive.plan[KEY] = (2.0, "served")
        idle, busy = await old.client(), await old.client()
        await idle.call(key="00000000000000aa")
        tag = await busy.send(ttl="5000")
        while len(old.archive.orders) < 2:
            await trio.sleep(0.01)
        async with successor() as new:
            assert (await operator(new.console, "readyz"))[0].startswith("SUCCESS")
            old.process.send_signal(signal.SIGTERM)
            await old.logged("leaving the clients to a successor")
            assert await idle.words.read() is None
            for _ in range(5):
                assert (await (await new.client()).call(key="00000000000000aa"))[1] == b"RESULT"
            answer = await busy.words.read()
            assert answer is not None and int(answer[0]) == tag and answer[1] == b"RESULT"
            assert await old.exit_code() == 0 and " taken=2 " in old.log()
            assert CACHE not in {o["at"] for o in old.archive.orders}, "also not from the new process"
            assert (await operator(new.console, f"include {CACHE}"))[0].startswith("SUCCESS")


@in_trio
async def test_connections_are_handed_over_with_what_is_open_half_read_or_withdrawn(tmp_path: Path) -> None:
    """Clients with something always open never fall idle: they must not notice the upgrade at all."""
    with tempfile.TemporaryDirectory(prefix="up", dir="/tmp") as shared:
        async with upgrade(tmp_path, shared) as (old, successor):
            old.archive.plan[KEY] = (1.5, "served")
            client, leaving = await old.client(), await old.client()
            slow, withdrawn = await client.send(ttl="5000"), await client.send(ttl="5000")
            await leaving.send(ttl="5000")
            fields = b"call=00000000000f0f0f,ttl=2500,row=00000000000000aa,block=3,family=17"
            text = encode(b"RPC.CALL", b"3", b"pieces", fields, b"x")
            await client.words.stream.send_all(text[:60])  # in the middle of its second word but one
            while len(old.archive.orders) < 3:
                await trio.sleep(0.01)
            async with successor() as new:
                old.process.send_signal(signal.SIGTERM)
                await new.logged("hands its clients over")
                await client.words.stream.send_all(text[60:] + encode(b"RPC.CANCEL", b"%d" % withdrawn))
                answer = await client.words.read()
                assert answer is not None and answer[:2] == [b"3", b"RESULT"], "taken by the new process"
                await leaving.words.stream.aclose()
                answer = await client.words.read()
                assert answer is not None and answer[:2] == [b"%d" % slow, b"RESULT"], "by way of the old"
                client._tag = 3
                assert (await client.call(key="00000000000000aa"))[1] == b"RESULT"
                assert await old.exit_code() == 0
                assert " left=2 " in old.log() and " taken=3 " in old.log()
                assert len(old.archive.dropped) == 2
                await client.words.write(b"RPC.CALL", b"1", b"pieces", fields, b"x")
                assert await client.words.read() is None, "a tag that was used before the upgrade"


@in_trio
async def test_what_an_older_process_still_owed_fails_if_it_is_killed(tmp_path: Path) -> None:
    with tempfile.TemporaryDirectory(prefix="up", dir="/tmp") as shared:
        async with upgrade(tmp_path, shared) as (old, successor):
            old.archive.plan[KEY] = (30.0, "served")
            client = await old.client()
            tag = await client.send(ttl="9000")
            while not old.archive.orders:
                await trio.sleep(0.01)
            async with successor() as new:
                old.process.send_signal(signal.SIGTERM)
                await new.logged("hands its clients over")
                assert (await client.call(key="00000000000000aa"))[1] == b"RESULT"
                old.process.kill()
                answer = await client.words.read()
                assert answer is not None and answer[:2] == [b"%d" % tag, b"ABORTED"]
                assert (await client.call(key="00000000000000aa"))[1] == b"RESULT"


@given(st.lists(st.integers(1, 40)))
def test_frames_are_read_in_pieces_as_they_were_worded(cuts: list[int]) -> None:
    frames: list[handover.Frame] = [
        handover.Handed(7, handover.Tags(12, (14, 20), (11, 14)), b"half a mess", b"age"),
        handover.Answered(7, 11, b"x" * 50),
        handover.Withdrawn(7, 14), handover.Gone(7),
        handover.Handed(8, handover.Tags(0, (), ()), b"", b""),
        handover.Offered(9, 1 << 23, 48_000, 1 << 22, 17.5, handover.Tags(12, (14, 2**64 - 1), (11, 14))),
        handover.Unread(9, b"x" * 30), handover.Unsent(9, b"y" * 30), handover.Complete(9),
        handover.Accepted(9), handover.Refused(9, "no memory"), handover.Taken(9),
    ]  # fmt: skip
    text, reader, ring = (
        b"".join(map(handover.encode, frames)),
        handover.FrameReader(),
        Ring(own_account(1 << 20)),
    )
    read: list[handover.Frame] = []
    for size in [*cuts, len(text)]:
        ring.put(text[:size])
        text = text[size:]
        while (frame := reader.next(ring)) is not None:
            read.append(frame)
    assert read == frames
    for spoilt in (b"\xff" * 13, handover.encode(frames[2])[:4] + b"\x0b" + handover.encode(frames[2])[5:]):
        ring.put(spoilt)
        with pytest.raises(ProtocolError):
            handover.FrameReader().next(ring)
        ring.skip(ring.size)


def test_the_platforms_program_loads_no_http_and_no_tokens() -> None:
    """They take a third of the start, for which a planned restart keeps clients waiting."""
    code = "import sys, starlinghaven.program.daemon; print({'h11', 'jwt'} & set(sys.modules))"
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert told.stdout == "set()\n", told.stderr


@in_trio
async def test_a_client_may_take_two_seconds_to_write_its_first_request(tmp_path: Path) -> None:
    async with program(tmp_path) as p:
        client = await p.client()
        fields = f"call={9:016x},ttl=2500,row={KEY},family=1".encode()
        text = encode(b"RPC.CALL", b"1", b"pieces", fields, b"x")
        for n in range(0, len(text), 12):
            await client.words.stream.send_all(text[n : n + 12])
            await trio.sleep(2.1 * 12 / len(text))
        answer = await client.words.read()
        assert answer is not None and answer[1] == b"RESULT"


@in_trio
async def test_a_full_house_closes_who_was_answered_before_who_still_writes(tmp_path: Path) -> None:
    """Guards slow writers among thousands of connections that ask once and stay."""
    limits = {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}}
    async with program(tmp_path, more=limits) as p:
        writer = await p.client()
        await writer.words.stream.send_all(b"*5\r\n$8\r\nRPC.CALL\r\n")
        answered = [await p.client() for _ in range(30)]
        for client in answered:
            assert (await client.call())[1] == b"RESULT"
        await trio.sleep(0.6)
        for late in [await p.client() for _ in range(3)]:
            assert (await late.call())[1] == b"RESULT", "there is room for it"
        fields = f"call={8:016x},ttl=2500,row={KEY},family=1".encode()
        await writer.words.stream.send_all(encode(b"RPC.CALL", b"1", b"pieces", fields, b"x")[18:])
        answer = await writer.words.read()
        assert answer is not None and answer[1] == b"RESULT"


def test_a_late_loop_says_whether_the_process_was_at_work(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    counters = Counters()

    async def late_twice() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_lateness, counters)
            await trio.sleep(0.01)
            time.sleep(0.4)  # as a process that does not run
            await trio.sleep(0.02)
            until = time.process_time() + 0.4
            while time.process_time() < until:
                pass
            await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    trio.run(late_twice)
    stopped, at_work = [cast(tuple[int, int, int], record.args) for record in caplog.records]
    assert stopped[0] >= 200 and stopped[1] < 200
    assert at_work[0] >= 200 and at_work[1] >= 200
    assert counters["late_turns"] == 2
