"""Refusals and further attempts of requests that may have run, on real processes before stand-in stores."""

from __future__ import annotations

import signal
import socket
import struct
import time
from pathlib import Path
from typing import Any

import pytest
import trio

from starlinghaven.protocol.resp import encode, read_fields
from starlinghaven.standins.changelog import ChangeLog
from tests.loopback import KEY, SETTINGS, Archive, Program, Words, in_trio, program

ONCE = {"Effect": "single_shot"}
ZONE = {"Effect": "guarded", "KeyScope": "zone", "DedupWindowMs": 2000.0}
GROUP = 17
AGED_MS = 8_500  # past the fresh time of the class, within its grace


def settings(**effect: Any) -> dict[str, Any]:
    """The usual settings, with another effect of the class `fiches` and a grace for its copies."""
    classes = [c | effect if c["Name"] == "fiches" else c for c in SETTINGS["Classes"]]
    family = SETTINGS["FamilyInfo"] | {"UsableAfterMs": [0.0, 60_000.0, 0.0]}
    return SETTINGS | {"Classes": classes, "FamilyInfo": family}


def with_copies(**effect: Any) -> dict[str, Any]:
    return {"settings": settings(**effect), "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000}


class Breaking(Archive):
    """Serves each object once with an aged copy; later requests are held, and then reset."""

    def __init__(self) -> None:
        super().__init__()
        self.held = 0
        self.broken = trio.Event()

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        if any(order["id"] != message[1].decode() for order in self.orders):
            self.held += 1
            await self.broken.wait()
            await reset(words)
        else:
            await super()._answer(store, words, message, scope)

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        return 0.0, "served", int(time.time() * 1000) - AGED_MS


async def reset(words: Words) -> None:
    """Ends a connection with a reset, whatever lies unread on it."""
    words.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await words.stream.aclose()


async def counted(running: Program, text: str) -> None:
    """Returns once the program's counters show a text."""
    while text not in running.log():
        running.process.send_signal(signal.SIGUSR1)
        await trio.sleep(0.02)


@pytest.mark.parametrize("effect", [ONCE, ZONE], ids=["single_shot", "guarded in a zone"])
def test_a_request_that_may_have_run_is_not_refused_when_the_own_copy_has_gone(
    tmp_path: Path, effect: dict[str, Any]
) -> None:
    async def play(folder: Path) -> None:
        log, archive = ChangeLog(), Breaking()
        async with trio.open_nursery() as nursery:
            await nursery.start(log.run)
            async with program(folder, log.address, more=with_copies(**effect), archive=archive) as running:
                await running.logged("change log connected")
                client = await running.client()
                fields: dict[str, Any] = {"family": GROUP, "block": 0, "dedupe": "0a" * 16, "ttl": "1100"}
                assert (await client.call("fiches", **fields))[1] == b"RESULT"
                await client.send("fiches", **fields)
                while not archive.held:
                    await trio.sleep(0.005)
                log.purge_group(GROUP, int(time.time() * 1000))
                await counted(running, "purges=1")
                archive.broken.set()
                answer = await client.words.read()
                assert answer is not None and answer[1] not in (b"RESULT", b"REJECT"), answer
            nursery.cancel_scope.cancel()

    in_trio(play)(tmp_path)


class Spoilt(Archive):
    """Answers every order with so many strings of an answer."""

    def __init__(self, *said: bytes) -> None:
        super().__init__()
        self._said = said

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        self.orders.append({"id": message[1].decode(), **read_fields(message[2])})
        await words.stream.send_all(encode(message[1], *self._said))


@pytest.mark.parametrize(
    "said",
    [(b"overload",), (b"not_here",), (b"nobody",), (b"overload", b"-"), (b"not_here", b"", b"")],
    ids=str,
)
def test_an_answer_of_too_few_strings_does_not_prove_that_nothing_ran(
    tmp_path: Path, said: tuple[bytes, ...]
) -> None:
    async def play(folder: Path) -> None:
        archive = Spoilt(*said)
        async with program(folder, more={"settings": settings(**ONCE)}, archive=archive) as running:
            answer = await (await running.client()).call("fiches", block=0, ttl="1100")
            assert answer[1] not in (b"RESULT", b"REJECT"), answer
            assert len(archive.orders) == 1

    in_trio(play)(tmp_path)


class Resetting(Archive):
    """Resets the connection as soon as it has read a request whole."""

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        self.orders.append({"id": message[1].decode()})
        await reset(words)


@in_trio
async def test_a_request_that_left_whole_counts_as_run_when_its_connection_is_reset(tmp_path: Path) -> None:
    archive = Resetting()
    async with program(tmp_path, more={"settings": settings(**ONCE)}, archive=archive) as running:
        client = await running.client()
        for n in range(20):
            body = b"x" * (n * 2_000)
            tag, asked = client.next_tag, len(archive.orders)
            client._tag = tag
            text = f"call={n:016x},ttl=1100,row={KEY},block=0,family=17".encode()
            await client.words.write(b"RPC.CALL", b"%d" % tag, b"fiches", text, body)
            answer = await client.words.read()
            assert answer is not None and answer[1] not in (b"RESULT", b"REJECT"), answer
            assert len(archive.orders) == asked + 1
