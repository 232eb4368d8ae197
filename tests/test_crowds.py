"""Crowds that ask for much and give little: the memory limit holds, and usual clients are served."""

from __future__ import annotations

import contextlib
import socket
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import pytest
import trio

from starlinghaven.lab import crowds
from starlinghaven.lab.crowds import CrowdKind
from starlinghaven.lab.process_memory import memory_of
from starlinghaven.lab.sized_archive import RemoteArchive
from starlinghaven.lab.usual import Ending, Outcome, RequestKind, UsualClient
from tests.loopback import SETTINGS, in_trio, program

LEAST_MB = 32  # the least memory that the platform's pages name
SECONDS = 5.0
LEAD_S = 0.5  # that the usual client asks ahead of the crowd
LEAST_RATE = 1.0  # requests a second that it gets through at the least
OPEN_ALL = {"GiveUpMs": 5_000.0}
MIXED = {
    CrowdKind.HALF_WRITTEN: 70,
    CrowdKind.SLOW_WRITES: 50,
    CrowdKind.SHORT_FIELDS: 30,
    CrowdKind.PIPED_WRITES: 90,
    CrowdKind.UNREAD: 80,
    CrowdKind.UNREAD_CLOSED: 20,
}
PIPES = {CrowdKind.PIPED_WRITES: 600}


@dataclass
class Played:
    """What a crowd did to a process, and to a usual client beside it."""

    peak_mb: float
    outcomes: list[Outcome]

    def share_served(self) -> float:
        """Of the requests of the usual client."""
        return sum(o.ending is Ending.SERVED for o in self.outcomes) / len(self.outcomes)

    def lost(self) -> Counter[Ending]:
        """Requests without an answer in time."""
        late = (Ending.LATE, Ending.NONE, Ending.UNREACHED)
        return Counter(o.ending for o in self.outcomes if o.ending in late)


async def play(
    folder: Path,
    memory_mb: float,
    sockets: int,
    kinds: Mapping[CrowdKind, int],
    usual: tuple[RequestKind, ...] = (RequestKind.SMALL_READ,),
    delay_s: float = 0.01,
) -> Played:
    """Plays a crowd of these kinds beside one usual client."""
    settings = SETTINGS | {"Classes": [cls | OPEN_ALL for cls in SETTINGS["Classes"]]}
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    archive = RemoteArchive(delay_s)
    async with program(folder, more={"limits": limits, "settings": settings}, archive=archive) as p:
        address = ("127.0.0.1", p.port)
        client = UsualClient(address, Random(1), usual)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            await trio.sleep(LEAD_S)
            client.outcomes.clear()
            async with crowds.playing(address, kinds, SECONDS, seed=1) as crowd:
                await crowds.told(crowd)
            nursery.cancel_scope.cancel()
        assert p.process.returncode is None, p.log()[-2000:]
        return Played(memory_of(p.process.pid).peak_mb, client.outcomes)


@pytest.mark.parametrize(
    "memory_mb, sockets, kinds, delay_s",
    [
        (LEAST_MB, 1024, MIXED, 0.01),
        (LEAST_MB, 256, PIPES, 0.3),
        (48, 512, MIXED, 0.3),
        (192, 2048, PIPES, 1.2),
    ],
    ids=("least-mixed", "least-pipes", "48-mixed", "192-pipes"),
)
def test_the_memory_limit_holds_beside_crowds_with_large_requests(
    tmp_path: Path, memory_mb: float, sockets: int, kinds: dict[CrowdKind, int], delay_s: float
) -> None:
    played = trio.run(play, tmp_path, memory_mb, sockets, kinds, (RequestKind.SMALL_READ,), delay_s)
    assert played.peak_mb <= memory_mb


@pytest.mark.parametrize("memory_mb, sockets", [(LEAST_MB, 1024), (96, 512)], ids=("least", "96"))
def test_a_usual_client_beside_a_crowd_is_served(tmp_path: Path, memory_mb: float, sockets: int) -> None:
    played = trio.run(play, tmp_path, memory_mb, sockets, MIXED)
    assert not played.lost(), played.lost()
    assert len(played.outcomes) > LEAST_RATE * SECONDS
    assert played.share_served() > 0.5, Counter(o.ending for o in played.outcomes)


@in_trio
async def test_large_objects_and_writes_pass_at_the_least_limit(tmp_path: Path) -> None:
    kinds = (RequestKind.LARGE_READ, RequestKind.LARGE_WRITE)
    played = await play(tmp_path, LEAST_MB, 256, {CrowdKind.IDLE: 1}, kinds)
    assert {o.ending for o in played.outcomes} == {Ending.SERVED}
    assert {o.kind for o in played.outcomes} == set(kinds)
    assert played.peak_mb <= LEAST_MB


async def watch_sum(processes: list[trio.Process], most_mb: list[float]) -> None:
    """Notes the most that the processes hold together."""
    while True:
        held = 0.0
        for process in processes:
            with contextlib.suppress(OSError):
                held += memory_of(process.pid).now_mb
        most_mb.append(held)
        await trio.sleep(0.01)


@in_trio
async def test_both_processes_of_an_upgrade_stay_within_the_limit_beside_a_crowd(tmp_path: Path) -> None:
    memory_mb = 64
    settings = SETTINGS | {"Classes": [cls | OPEN_ALL for cls in SETTINGS["Classes"]]}
    more = {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 512}, "settings": settings}
    (tmp_path / "tmp").mkdir()
    most_mb = [0.0]
    with socket.create_server(("127.0.0.1", 0), backlog=512) as passed:
        passed.setblocking(False)
        start = partial(program, tmp_path, passed=passed, more=more, TMPDIR=str(tmp_path / "tmp"))
        async with start(archive=RemoteArchive(0.05)) as older, trio.open_nursery() as nursery:
            address = ("127.0.0.1", older.port)
            processes = [older.process]
            nursery.start_soon(watch_sum, processes, most_mb)
            client = UsualClient(address, Random(1), (RequestKind.SMALL_READ,))
            nursery.start_soon(client.run)
            async with crowds.playing(address, MIXED, SECONDS + 2.0, seed=1):
                await trio.sleep(2.0)
                async with start(beside=older) as newer:
                    processes.append(newer.process)
                    await trio.sleep(1.0)
                    older.process.terminate()
                    assert await older.exit_code() == 0
                    await trio.sleep(1.0)
                    assert newer.process.returncode is None, newer.log()[-2000:]
            nursery.cancel_scope.cancel()
    assert max(most_mb) <= memory_mb
    played = Played(max(most_mb), client.outcomes)
    assert not played.lost(), played.lost()
    assert played.share_served() > 0.5, Counter(o.ending for o in client.outcomes)
