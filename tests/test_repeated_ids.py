"""What has begun for the id of a call never begins again, here or at the other process of an upgrade."""

from __future__ import annotations

import socket
from functools import partial
from pathlib import Path

import pytest
import trio

from starlinghaven.lab.soak.stores import reset
from starlinghaven.protocol.resp import encode
from tests.loopback import CALLS, Archive, Client, Program, in_trio, program, until

DELAY_S = 0.2  # of an answer: its client leaves ahead of it
LOOK_S = 0.5  # in which an attempt that begins again would be seen
CLASSES = ("pieces", "depot")  # one without effect, one with an idempotency key
WAYS = ("answered", "cancelled", "closed", "reset")


def new_id() -> str:
    return f"{next(CALLS):016x}"


def begun(archive: Archive, call: str) -> int:
    """How many attempts have come to the stores for an id."""
    return sum(order["id"] == call for order in archive.orders)


async def ask(client: Client, cls: str, call: str, dedupe: str = "") -> int:
    """Writes a call; returns its tag."""
    return await client.send(cls, row=None if cls == "depot" else call, call=call, dedupe=dedupe or call * 2)


async def leave(client: Client, tag: int, way: str) -> Client | None:
    """The client gives its request up in one way, or reads its answer; itself, if its connection goes on."""
    match way:
        case "answered":
            assert await client.words.read() is not None
            return client
        case "cancelled":
            await client.words.send(encode(b"RPC.CANCEL", b"%d" % tag, b""))
            return client
        case "closed":
            await client.words.stream.aclose()
        case "reset":
            reset(client.words.stream)
    return None


async def answer_to(p: Program, client: Client | None, cls: str, call: str) -> bytes:
    """The word that a call gets, on a connection or on a new one."""
    client = client or await p.client()
    tag = await ask(client, cls, call)
    while (answer := await client.words.read()) is not None:
        if int(answer[0]) == tag:
            return answer[1]
    return b""


def slow_archive() -> Archive:
    archive = Archive()
    archive.plan[""] = (DELAY_S, "served")
    return archive


@pytest.mark.parametrize("way", WAYS)
def test_an_id_that_has_begun_does_not_begin_again(tmp_path: Path, way: str) -> None:
    async def run() -> None:
        archive = slow_archive()
        async with program(tmp_path, archive=archive) as p:
            for cls in CLASSES:
                for same_connection in (True, False):
                    call, client = new_id(), await p.client()
                    archive.plan[call] = (DELAY_S, "served")
                    tag = await ask(client, cls, call)
                    await until(partial(begun, archive, call))
                    stays = await leave(client, tag, way)
                    word = await answer_to(p, stays if same_connection else None, cls, call)
                    assert word == b"ABORTED", "it may have run: a refusal would promise that it has not"
                    await trio.sleep(LOOK_S)
                    assert begun(archive, call) == 1, (cls, way, same_connection)

    trio.run(run)


@in_trio
async def test_a_keyed_retry_under_a_new_id_goes_on(tmp_path: Path) -> None:
    archive = slow_archive()
    async with program(tmp_path, archive=archive) as p:
        client, first, second = await p.client(), new_id(), new_id()
        tag = await ask(client, "depot", first, dedupe="key-1")
        await until(lambda: begun(archive, first))
        await leave(client, tag, "cancelled")
        await ask(client, "depot", second, dedupe="key-1")
        answer = await client.words.read()
        assert answer is not None and answer[1] == b"RESULT"
        assert begun(archive, second) == 1


@in_trio
async def test_an_id_for_which_nothing_began_may_come_again(tmp_path: Path) -> None:
    archive = slow_archive()
    async with program(tmp_path, archive=archive) as p:
        client, call = await p.client(), new_id()
        await client.send("pieces", row=call, call=call, ttl="0")  # it can't be used
        answer = await client.words.read()
        assert answer is not None and answer[1] == b"ABORTED"
        assert await answer_to(p, client, "pieces", call) == b"RESULT"


@in_trio
async def test_an_id_that_has_begun_does_not_begin_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    archive = slow_archive()
    with socket.create_server(("127.0.0.1", 0), backlog=64) as passed:
        passed.setblocking(False)
        (tmp_path / "tmp").mkdir()
        start = partial(program, tmp_path, passed=passed, TMPDIR=str(tmp_path / "tmp"))
        async with start(archive=archive) as older:
            client, calls = await older.client(), [new_id() for _ in range(4)]
            for call in calls:
                archive.plan[call] = (DELAY_S, "served")
                await ask(client, "pieces", call)
            await until(lambda: all(begun(archive, call) for call in calls))
            reset(client.words.stream)
            async with start(beside=older) as newer:
                for call in calls:  # while both accept, either may get the connection
                    for _ in range(4):
                        assert await answer_to(older, None, "pieces", call) == b"ABORTED"
                older.process.terminate()
                await older.logged("clients handed over=")
                for call in calls:
                    assert await answer_to(newer, None, "pieces", call) == b"ABORTED"
                late = new_id()
                assert await answer_to(newer, None, "pieces", late) == b"RESULT"
                assert [begun(archive, call) for call in (*calls, late)] == [1] * 5
