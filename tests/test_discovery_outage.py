"""What the program serves while the change log is out: real processes with copies of their own."""

from __future__ import annotations

import contextlib
import json
import signal
import struct
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from starlinghaven.standins.changelog import ChangeLog, LogEndpoint
from starlinghaven.standins.platform import KEY, STORES, Client
from starlinghaven.standins.tier import Tier
from tests.loopback import Program, in_trio, program, until

OWN_COPIES = {"flow_bytes_per_s": 310_000.0, "link_bytes_per_s": 1_240_000.0}
COUNTS_AS_KNOWN_S = 7.0  # after a purge, whether it arrived or not
BINDS_AFTER_S = 0.55  # the grace of the settings' default, 0.5 s, and the slack on sockets
GROUP = 17


@dataclass(slots=True)
class Served:
    """One answer: when it was asked for, and when the origin gave the copy out (Unix seconds)."""

    asked_s: float
    given_s: float


@dataclass(slots=True)
class Deployment:
    """One process with own copies, its stores and its change log."""

    program: Program
    log: ChangeLog
    endpoint: LogEndpoint
    tier: Tier
    served: list[Served] = field(default_factory=list)

    async def ask(self, client: Client, key: str = KEY) -> bytes:
        """Asks once, and notes how old what was served is."""
        asked = time.time()
        answer = await client.call(key=key)
        if answer[1] == b"RESULT":
            given = int(answer[3].decode().rsplit("/", 1)[1])
            self.served.append(Served(asked, given / 1000))
        return answer[1]

    def purge(self, key: str = KEY) -> float:
        """Purges an object at the log and, as the platform promises, at every store. Unix seconds."""
        now = int(time.time() * 1000)
        self.log.purge(key, now)
        for copies in self.tier.copies.values():
            copies.pop(key, None)
        return now / 1000

    def stale(self, purged_s: float, known_s: float) -> list[Served]:
        """Answers older than the purge that were asked for once it had to be heeded."""
        binds_s = known_s + BINDS_AFTER_S
        return [s for s in self.served if s.asked_s > binds_s and s.given_s < purged_s]


@asynccontextmanager
async def deployment(folder: Path, pythonpath: str = "") -> AsyncIterator[Deployment]:
    tier = Tier(STORES, lambda what, store, call: None)
    log = ChangeLog()
    endpoint = LogEndpoint(log)
    async with trio.open_nursery() as nursery:
        await nursery.start(endpoint.run)
        async with program(
            folder, endpoint.address, archive=tier, more=OWN_COPIES, PYTHONPATH=pythonpath
        ) as running:
            yield Deployment(running, log, endpoint, tier)
        nursery.cancel_scope.cancel()


async def hold_a_copy(d: Deployment) -> Client:
    """A client of a process that has an own copy and has heard from the log."""
    client = await d.program.client()
    await d.ask(client)
    await trio.sleep(1.2)
    await d.ask(client)
    assert d.served[0].given_s == d.served[1].given_s, "served from the own copy"
    return client


def lose_silently(d: Deployment) -> None:
    d.endpoint.faults.silent = True


def lose_by_refusal(d: Deployment) -> None:
    d.endpoint.faults.refused = True


@pytest.mark.parametrize("lose", [lose_silently, lose_by_refusal])
def test_own_copies_expire_when_the_change_log_is_lost(
    tmp_path: Path, lose: Callable[[Deployment], None]
) -> None:
    async def play(folder: Path) -> None:
        async with deployment(folder) as d:
            client = await hold_a_copy(d)
            lose(d)
            await trio.sleep(0.3)
            purged = d.purge()
            while time.time() < purged + 9.2:
                await d.ask(client)
                await trio.sleep(0.1)
            assert not d.stale(purged, purged + COUNTS_AS_KNOWN_S)
            early = [s for s in d.served if purged < s.asked_s < purged + 4.0]
            old = [s for s in early if s.given_s < purged]
            assert len(old) > len(early) / 2, "a short outage costs the copies nothing"
            logged = d.program.log()
            assert "served from own copy" in logged and "own copies suspended" in logged

    in_trio(play)(tmp_path)


@in_trio
async def test_a_stopped_process_reads_the_change_log_before_it_serves_what_waited(tmp_path: Path) -> None:
    async with deployment(tmp_path) as d:
        client = await hold_a_copy(d)
        for stopped_s in (2.0, 8.0):
            await d.ask(client)
            await trio.sleep(1.5)
            d.program.process.send_signal(signal.SIGSTOP)
            await trio.sleep(0.2)
            purged = d.purge()
            tags = [await client.send(ttl="12000", key=KEY) for _ in range(10)]
            await trio.sleep(stopped_s)
            d.program.process.send_signal(signal.SIGCONT)
            for _ in tags:
                answer = await client.words.read()
                assert answer is not None and answer[1] == b"RESULT"
                given = int(answer[3].decode().rsplit("/", 1)[1]) / 1000
                assert given >= purged, f"stopped {stopped_s} s"
            await trio.sleep(3.0)


@in_trio
async def test_a_stopped_process_keeps_the_connection_on_which_news_lies_unread(tmp_path: Path) -> None:
    async with deployment(tmp_path) as d:
        await hold_a_copy(d)
        d.program.process.send_signal(signal.SIGSTOP)
        await trio.sleep(3.0)
        d.program.process.send_signal(signal.SIGCONT)
        await trio.sleep(1.0)
        assert d.endpoint.connections == 1


@in_trio
async def test_an_answer_on_its_way_is_not_kept_when_its_purge_was_forgotten(tmp_path: Path) -> None:
    async with deployment(tmp_path) as d:
        d.tier.slow = {STORES[0][0]: 1.5}
        client = await d.program.client()
        tag = await client.send(key=KEY)
        await trio.sleep(0.5)
        purged = int(time.time() * 1000)
        d.log.purge(KEY, purged)
        for n in range(6_000):
            d.log.purge(f"{n:016x}", purged)
        answer = await client.words.read()
        assert answer is not None and int(answer[0]) == tag and answer[1] == b"RESULT"
        d.tier.slow.clear()
        for copies in d.tier.copies.values():
            copies.clear()
        await trio.sleep(0.6)
        await d.ask(client)
        assert d.served[-1].given_s >= purged / 1000


@in_trio
async def test_a_purge_is_heeded_after_the_process_wall_clock_has_stepped(tmp_path: Path) -> None:
    """The wall clock of the process alone steps, amid its run, by what a file says."""
    step = tmp_path / "step"
    (tmp_path / "sitecustomize.py").write_text(
        f"import os, time\n"
        f"step, real = {str(step)!r}, time.time\n"
        f"time.time = lambda: real() + (float(open(step).read()) if os.path.exists(step) else 0.0)\n"
    )
    for seconds in ("3600", "-3600", "-0.7"):
        async with deployment(tmp_path, str(tmp_path)) as d:
            client = await hold_a_copy(d)
            draft = tmp_path / "draft"
            draft.write_text(seconds)
            draft.replace(step)
            await trio.sleep(1.5)
            now = int(time.time() * 1000)
            d.log.purge(KEY, now)  # the stores keep their older copies for a while
            await trio.sleep(1.2)
            await d.ask(client)
            assert d.served[-1].given_s >= now / 1000, f"after a step of {seconds} s"
            step.unlink()


@in_trio
async def test_a_list_that_skips_numbers_is_asked_for_again_and_its_purges_are_heeded(
    tmp_path: Path,
) -> None:
    """A whole list comes with a number that leaves a purge out; asked again, the log has it."""
    asked: list[int] = []
    purged = 0

    async def log(stream: trio.SocketStream) -> None:
        asked.append(int.from_bytes(await stream.receive_some(8), "big"))
        with contextlib.suppress(trio.BrokenResourceError):
            await speak(stream)

    async def speak(stream: trio.SocketStream) -> None:
        nonlocal purged
        await stream.send_all(struct.pack(">IQB", 9, asked[-1], 0))
        await trio.sleep(1.2)
        rows = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                int(s[2:], 16),
                bytes((127, 0, 0, 1)),
                int(a.split(":")[1]),
                0,
                z,
                k,
                0,
                6_000,
                0,
            )
            for s, a, z, k in stores
        )
        whole = struct.pack(">IQB", 9 + len(rows), 3, 1) + rows
        if len(asked) == 1:
            purged = int(time.time() * 1000)
            for copies in tier.copies.values():
                copies.clear()
            await stream.send_all(whole)
        else:
            await stream.send_all(struct.pack(">IQB8sQ", 25, 2, 3, bytes.fromhex(KEY), purged) + whole)
        while True:
            await stream.send_all(struct.pack(">IQB", 9, 3, 0))
            await trio.sleep(1.0)

    tier = Tier(STORES, lambda what, store, call: None)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, log, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with program(tmp_path, address, archive=tier, more=OWN_COPIES) as p:
            stores = [
                (s, tier.addresses[s], {"nord": 0, "edge-1": 1}[z], {"petit": 0, "parent": 1, "origin": 2}[k])
                for s, z, k in STORES
            ]
            d = Deployment(p, ChangeLog(), LogEndpoint(ChangeLog()), tier)
            client = await p.client()
            await d.ask(client)
            with trio.move_on_after(3.0):
                await until(lambda: len(asked) == 2)
            await trio.sleep(2.5)
            await d.ask(await p.client())
            assert asked[:2] == [1, 1] and d.served[-1].given_s >= purged / 1000
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_new_configuration_tells_of_purges_while_its_change_log_is_still_silent(
    tmp_path: Path,
) -> None:
    async with deployment(tmp_path) as d:
        client = await hold_a_copy(d)
        lose_silently(d)
        now = int(time.time() * 1000)
        path = tmp_path / "config.json"
        configuration = json.loads(path.read_text())
        configuration["known"]["results"].append({"seq": 2, "invalidate": {"object": KEY, "time": now}})
        configuration["known"]["seq"] = 2
        path.write_text(json.dumps(configuration))
        d.program.process.send_signal(signal.SIGHUP)
        await d.program.logged("configuration reloaded")
        for copies in d.tier.copies.values():
            copies.clear()
        await trio.sleep(0.6)
        await d.ask(client)
        assert d.served[-1].given_s >= now / 1000
