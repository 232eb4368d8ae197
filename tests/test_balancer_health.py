"""Balancer health over loopback: the program beside stand-in balancers, with the faults it is for.

Each test injects one fault (a drain, every cache taken away, a stalled process, a restart on an
old list) and watches a stand-in balancer take the proxy out of its rotation. Bounds on time are
generous (a few seconds): they prove that the proxy is taken out, not how fast this machine is;
`starlinghaven.standins.measure` records the distribution.
"""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from starlinghaven.standins.balancer import Balancer, Server
from tests.loopback import STORES, Program, free_port, in_trio, operator, program

CACHE = STORES[0][0]
BOUND_S = 3.0  # a balancer polling every 0.1 s must have taken the proxy out by then

OPERATOR = """
[agent]
listen = "127.0.0.1:{agent}"

[health]
listen = "127.0.0.1:{health}"
thresholds = "{rules}"
"""

RULES = "health {{\n  hold-ms 200\n  warming-most-ms {warming}\n}}\n"


@asynccontextmanager
async def proxy(
    folder: Path, warming_ms: int = 5000, changelog: str = "", console: int = 0, sockets: int = 1024
) -> AsyncIterator[tuple[Program, dict[str, int]]]:
    ports = {"agent": free_port(), "health": free_port()}
    rules = folder / "health.kdl"
    rules.write_text(RULES.format(warming=warming_ms))
    (folder / "operator.toml").write_text(OPERATOR.format(rules=rules, **ports))
    named = str(folder / "operator.toml")
    door = f"127.0.0.1:{console}" if console else ""
    more = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
    async with program(folder, changelog, more=more, STARLINGHAVEN_OPERATOR=named, LB_CONSOLE=door) as p:
        yield p, ports


def changes(p: Program) -> list[dict[str, object]]:
    """The health events that the program logged, in order."""
    marker = " starlinghaven.health "
    return [json.loads(line.partition(marker)[2]) for line in p.log().splitlines() if marker in line]


def balancers(ports: dict[str, int]) -> tuple[Balancer, Balancer]:
    agent = Balancer([Server("edge", "127.0.0.1", ports["agent"])], kind="agent", fall=1, rise=1)
    http = Balancer([Server("edge", "127.0.0.1", ports["health"])], kind="http", fall=2, rise=1)
    return agent, http


async def taken_in(*bs: Balancer) -> None:
    with trio.fail_after(BOUND_S):
        while not all(b.servers[0].takes_work for b in bs):
            await trio.sleep(0.01)


async def removal_s(since: float, *bs: Balancer) -> list[float]:
    """Seconds from `since` until each balancer stopped giving the proxy work."""
    with trio.fail_after(BOUND_S):
        while any(b.removed_at("edge", since) is None for b in bs):
            await trio.sleep(0.005)
    return [b.removed_at("edge", since) - since for b in bs]  # type: ignore[operator]


@in_trio
async def test_a_drain_is_heard_by_both_balancers_before_connections_close(tmp_path: Path) -> None:
    async with proxy(tmp_path) as (p, ports), trio.open_nursery() as nursery:
        agent, http = balancers(ports)
        await nursery.start(agent.run)
        await nursery.start(http.run)
        await taken_in(agent, http)
        p.archive.plan["7f3a9c21e0b4d655"] = (1.0, "served")  # one request stays open through the drain
        client = await p.client()
        await client.send()
        while not p.archive.orders:
            await trio.sleep(0.01)
        since = trio.current_time()
        p.process.send_signal(signal.SIGTERM)
        took = await removal_s(since, agent, http)
        assert p.process.returncode is None, "told before it ended"
        assert agent.changes[-1].said == "drain" and http.changes[-1].said.startswith("503")
        answer = await client.words.read()
        assert answer is not None and answer[1] == b"RESULT", "the open request still got its answer"
        assert await p.exit_code() == 0
        assert max(took) < BOUND_S
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_proxy_with_no_cache_left_is_taken_out_though_it_answers(tmp_path: Path) -> None:
    door = free_port()
    async with proxy(tmp_path, console=door) as (p, ports), trio.open_nursery() as nursery:
        agent, http = balancers(ports)
        await nursery.start(agent.run)
        await nursery.start(http.run)
        await taken_in(agent, http)
        since = trio.current_time()
        assert (await operator(door, f"exclude {CACHE}"))[0].startswith("SUCCESS")
        await removal_s(since, agent, http)
        assert agent.servers[0].said.startswith("down #unavailable: 0 of 1 own stores reachable")
        await p.logged('"state": "unavailable"')
        assert (await operator(door, f"include {CACHE}"))[0].startswith("SUCCESS")
        await taken_in(agent, http)
        assert agent.servers[0].said == "up ready 100%"
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_stalled_process_is_taken_out_and_back_when_it_wakes(tmp_path: Path) -> None:
    async with proxy(tmp_path) as (p, ports), trio.open_nursery() as nursery:
        agent, http = balancers(ports)
        await nursery.start(agent.run)
        await nursery.start(http.run)
        await taken_in(agent, http)
        since = trio.current_time()
        p.process.send_signal(signal.SIGSTOP)  # its sockets still accept: the kernel does that
        try:
            await removal_s(since, agent, http)
            assert agent.servers[0].said == "(no answer in time)"
        finally:
            p.process.send_signal(signal.SIGCONT)
        await taken_in(agent, http)
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_restart_on_an_old_list_is_not_ready_until_a_cache_answers(tmp_path: Path) -> None:
    silent = f"127.0.0.1:{free_port()}"  # a change log that can't be reached: the list is the old one
    async with (
        proxy(tmp_path, warming_ms=60_000, changelog=silent) as (p, ports),
        trio.open_nursery() as nursery,
    ):
        agent, http = balancers(ports)
        await nursery.start(agent.run)
        await nursery.start(http.run)
        await trio.sleep(0.5)
        assert not agent.servers[0].takes_work and not http.servers[0].takes_work
        assert agent.servers[0].said == "drain" and http.servers[0].said.startswith("503")
        client = await p.client()
        assert (await client.call())[1] == b"RESULT", "the platform's own front does not wait for the log"
        await taken_in(agent, http)
        nursery.cancel_scope.cancel()
        told = changes(p)
        assert [c["state"] for c in told] == ["warming", "ready"], told
        assert told[0]["cause"] == "old list, 0 of 1 stores heard from"


@in_trio
async def test_a_proxy_whose_places_for_clients_are_full_is_taken_out_and_back(tmp_path: Path) -> None:
    async with proxy(tmp_path, sockets=64) as (p, ports), trio.open_nursery() as nursery:
        agent, http = balancers(ports)
        await nursery.start(agent.run)
        await nursery.start(http.run)
        await taken_in(agent, http)
        since = trio.current_time()
        crowd = [await trio.open_tcp_stream("127.0.0.1", p.port) for _ in range(31)]  # of 32 places
        await removal_s(since, agent, http)
        assert agent.servers[0].said == "drain"
        told = changes(p)[-1]
        assert told["state"] == "overloaded" and told["cause"] == "clients' connections 31 of 32", told
        for stream in crowd:
            await stream.aclose()
        await taken_in(agent, http)
        client = await p.client()
        assert (await client.call())[1] == b"RESULT"
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_scripted_load_leaves_a_draining_proxy_and_nothing_is_lost(tmp_path: Path) -> None:
    """Two proxies behind one stand-in agent-check balancer; the first is told to stop amid the load."""
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    async with proxy(tmp_path / "a") as (a, ports_a), proxy(tmp_path / "b") as (b, ports_b):
        agent = Balancer(
            [Server("a", "127.0.0.1", ports_a["agent"]), Server("b", "127.0.0.1", ports_b["agent"])],
            kind="agent",
            rise=1,
        )
        sent: dict[str, list[float]] = {"a": [], "b": []}
        answers: list[bytes] = []
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.run)
            with trio.fail_after(BOUND_S):
                while not all(s.takes_work for s in agent.servers):
                    await trio.sleep(0.01)
            clients = {"a": await a.client(), "b": await b.client()}
            stopped_at = 0.0
            for n in range(120):  # 40 requests a second for 3 s
                if n == 40:
                    stopped_at = trio.current_time()
                    a.process.send_signal(signal.SIGTERM)
                chosen = agent.pick()
                assert chosen is not None, "one proxy is always there"
                sent[chosen.name].append(trio.current_time())
                answer = await clients[chosen.name].call()
                answers.append(answer[1])
                await trio.sleep(0.025)
            nursery.cancel_scope.cancel()
        removed = agent.removed_at("a", stopped_at)
        assert removed is not None and removed - stopped_at < BOUND_S
        assert not [t for t in sent["a"] if t > removed], "no new work after the balancer took it out"
        assert len(sent["b"]) > 60 and set(answers) == {b"RESULT"}, "each request got its one answer"
        assert await a.exit_code() == 0
