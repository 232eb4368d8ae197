"""Plays a scenario with real processes of the program on loopback. Ends every process that it started."""

from __future__ import annotations

import contextlib
import gc
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random

import trio

from starlinghaven.lab.faults import Faults
from starlinghaven.lab.history import History
from starlinghaven.lab.lateness import watch_lateness
from starlinghaven.lab.relays import DatagramRelay, StreamRelay
from starlinghaven.lab.scenario import Scenario, Step
from starlinghaven.standins.changelog import DRAINING, ChangeLog
from starlinghaven.standins.platform import SETTINGS, Client, configuration, free_port, operator
from starlinghaven.standins.tier import Tier

ROOT = Path(__file__).parent.parent.parent
TTL_MS = 2_500
MOST_OPEN = 30  # requests open on one connection
IDLE_S = 3.5  # seconds after which a client closes an idle connection; the proxy does after 5
OBJECTS = 400  # that clients ask for, Zipf 1.0
STARTS_AT_ONCE = 16  # processes that load at the same time: more only makes each of them slower
READY_S = 120.0
AWAITED_S, AWAIT_EVERY_S = 100.0, 0.25  # seconds that a step waits for a state at most, and between two looks
KINDS = {"cache": ("edge-1", "petit"), "parent": ("nord", "parent"), "origin": ("nord", "origin")}


class Proxy:
    """One process of the program, by its number."""

    def __init__(self, number: int, host: str) -> None:
        self.number, self.host = number, host
        self.process: trio.Process | None = None
        self.stalled = False
        self.life = 0

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Rig:
    """The processes, the stand-ins round them, and the history of one run."""

    def __init__(
        self, scenario: Scenario, out: Path, tell: Callable[[float, dict[str, int]], None] | None = None,
        operator_file: str | None = None, command: tuple[str, ...] = ("-m", "starlinghaven"),
        odd: Mapping[int, tuple[str, ...]] | None = None, listed: Callable[[int], int] | None = None,
    ) -> None:  # fmt: skip
        """`tell` gets the seconds played and live figures; `command` is what follows the interpreter.

        `odd` gives other commands for some proxies; `listed` tells how many of the peers a proxy's list has.
        """
        self._command, self._odd = command, odd or {}
        self._listed = listed or (lambda number: scenario.proxies)
        self.scenario, self.out, self._tell = scenario, out, tell
        usual = "[fleet]\n[spread]\n" if scenario.spread else "[fleet]\n"
        self._operator_file = usual if operator_file is None else operator_file
        self.history, self.faults = History(), Faults(scenario.seed)
        self.random = Random(scenario.seed)
        port = free_port()
        self._port, self._console, self._peer = port, free_port(), free_port()
        hosts = [f"127.1.{k // 250}.{k % 250 + 1}" for k in range(scenario.proxies)]
        self.proxies = [Proxy(k, host) for k, host in enumerate(hosts)]
        self.relay = DatagramRelay([(host, self._peer) for host in hosts], self.faults)
        ids = {name: f"s-{k + 1:08x}" for k, name in enumerate(scenario.stores)}
        self.ids = ids
        rows = [(ids[name], *KINDS[name.split("-")[0]]) for name in scenario.stores]
        self.tier = Tier(rows, self._saw)
        self.log = ChangeLog()
        self.relays: dict[str, StreamRelay] = {}
        self.live: Counter[str] = Counter()
        self._looks = 0
        self._held = 0.0  # seconds for which steps have waited for a state: the scenario's clock stood still
        self._keys = [f"{k:016x}" for k in range(1, OBJECTS + 1)]
        self._weights = [1 / (k + 1) for k in range(OBJECTS)]

    def _saw(self, what: str, store: str, call: str) -> None:
        self.history.add(what, store=store, call=call)

    # -- the whole run ----------------------------------------------------------------------------

    async def run(self) -> None:
        """Plays the scenario and saves its history in the folder."""
        (self.out / "logs").mkdir(parents=True, exist_ok=True)
        gc.freeze()
        gc.disable()  # the history grows all the time and holds no cycles: each look at it stops all relays
        (self.out / "operator.toml").write_text(self._operator_file)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.tier.run)
                await nursery.start(self.log.run)
                nursery.start_soon(self.relay.run)
                for name, store in self.ids.items():
                    host, _, port = self.tier.addresses[store].rpartition(":")
                    relay = self.relays[name] = StreamRelay(host, int(port))
                    await nursery.start(relay.run)
                    self.tier.addresses[store] = "{}:{}".format(*relay.address)
                await self._start_all()
                self.history.started = time.time()  # seconds count from here
                self.history.entries.clear()
                self.history.add(
                    "ready", pids=[p.process.pid for p in self.proxies if p.process], stores=self.ids
                )
                for proxy in self.proxies:
                    nursery.start_soon(self._ask, proxy)
                nursery.start_soon(self._play_out)
                nursery.start_soon(self._watch_lag)
                await self._live()
                self.history.add("over")  # clients are gone from here on; ending all processes takes a while
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self._end_all()
            gc.enable()
            self._save()

    async def _watch_lag(self) -> None:
        await watch_lateness(self.history)

    async def _live(self) -> None:
        started = trio.current_time()
        self._used()
        while (played := trio.current_time() - started - self._held) < self.scenario.seconds:
            self.history.add("passed", bytes=sum(self.relay.delivered))
            if self._tell:
                self._tell(played, dict(self.live) | {"up": sum(p.up for p in self.proxies)})
            await trio.sleep(min(1.0, self.scenario.seconds - played))
        self._used()
        await self._look()

    async def _play_out(self) -> None:
        started = trio.current_time()
        for step in self.scenario.steps:
            while (left := started + self._held + step.at - trio.current_time()) > 0:
                await trio.sleep(left)
            await self._do(step)

    def _save(self) -> None:
        self.history.add(
            "peers", longest=self.relay.longest, delivered=self.relay.delivered, **self.relay.counts
        )
        for proxy in self.proxies:
            for path in sorted((self.out / "logs").glob(f"n{proxy.number}.*.log")):
                self.history.add_log(proxy.number, path)
        self.history.save(self.out / "history.jsonl")
        self.relay.close()

    # -- processes --------------------------------------------------------------------------------

    async def _start_all(self) -> None:
        places = trio.CapacityLimiter(STARTS_AT_ONCE)

        async def start(proxy: Proxy) -> None:
            async with places:
                await self._start(proxy)
                with trio.fail_after(READY_S):
                    await self._ready(proxy)

        async with trio.open_nursery() as nursery:
            for proxy in self.proxies:
                nursery.start_soon(start, proxy)

    async def _start(self, proxy: Proxy) -> None:
        proxy.life += 1
        listen = f"{proxy.host}:{self._port}"
        told = configuration(self.tier, self._port, self.log.address) | {
            "name": f"n{proxy.number}", "listen": listen, "seed": f"{self.random.getrandbits(64):016x}",
            "peer_listen": f"{proxy.host}:{self._peer}",
            "peers": [
                "{}:{}".format(*address) for address in self.relay.addresses[: self._listed(proxy.number)]
            ],
            "settings": SETTINGS | {
                "Me": proxy.number, "FleetSize": len(self.proxies),
                "PolicyLimits": SETTINGS["PolicyLimits"] | {"Peers": True},
                "FamilyInfo": SETTINGS["FamilyInfo"] | {"ZoneBalancers": [0, len(self.proxies)]},
            },
        }  # fmt: skip
        path = self.out / "logs" / f"n{proxy.number}.json"
        path.write_text(json.dumps(told))
        env = os.environ | {
            "LB_CONFIG": str(path), "LB_CONSOLE": f"{proxy.host}:{self._console}",
            "STARLINGHAVEN_OPERATOR": str(self.out / "operator.toml"),
        }  # fmt: skip
        with (self.out / "logs" / f"n{proxy.number}.{proxy.life}.log").open("w") as sink:
            proxy.process = await trio.lowlevel.open_process(
                [sys.executable, *self._odd.get(proxy.number, self._command)], cwd=ROOT, env=env,
                stderr=sink, stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.history.add("start", proxy=proxy.number, life=proxy.life, pid=proxy.process.pid)

    async def _ready(self, proxy: Proxy) -> None:
        while proxy.up:
            try:
                stream = await trio.open_tcp_stream(proxy.host, self._port)
            except OSError:
                await trio.sleep(0.05)
                continue
            async with stream:
                if await Client(stream).health() == b"READY":
                    return
            await trio.sleep(0.05)
        raise RuntimeError(f"proxy {proxy.number} ended at its start; see its log")

    def _used(self) -> None:
        """The processor time of every living proxy so far, from the system's own account of its process."""
        tick = os.sysconf("SC_CLK_TCK")
        for proxy in self.proxies:
            if proxy.up and proxy.process is not None:
                fields = Path(f"/proc/{proxy.process.pid}/stat").read_text().rpartition(")")[2].split()
                self.history.add("cpu", proxy=proxy.number, s=(int(fields[11]) + int(fields[12])) / tick)

    async def _end_all(self) -> None:
        """By id, whatever state each is in."""
        for proxy in self.proxies:
            if proxy.up and proxy.process is not None:
                proxy.process.kill()
        for proxy in self.proxies:
            if proxy.process is not None:
                await proxy.process.wait()

    # -- faults -----------------------------------------------------------------------------------

    async def _do(self, step: Step) -> None:
        figures = {name.replace("-", "_"): value for name, value in step.figures.items()}
        match step.what:
            case "cut" | "one-way":
                self.faults.cut(step.on[0], step.on[1], both_ways=step.what == "cut")
                self.history.add("cut", sides=step.on, both=step.what == "cut")
            case "heal":
                self.faults.heal()
                self.history.add("heal")
            case "network":
                self.faults.network(**figures)
                self.history.add("network", **figures)
            case "await-alive" | "await-failed":
                await self._await(step.what.removeprefix("await-"), *step.on)
            case "kill" | "term" | "stall" | "resume" | "start":
                for number in step.on[0]:
                    await self._on_process(step.what, self.proxies[number], figures)
            case "look":
                await self._look()
            case "purge":
                key, now = self._keys[0], int(time.time() * 1000)
                self.history.add("purge", key=key, unix_ms=now)
                self.log.purge(key, now)
                for copies in self.tier.copies.values():
                    copies.pop(key, None)
            case _:
                self._on_store(step.what, step.store, figures)

    async def _on_process(self, what: str, proxy: Proxy, figures: dict[str, float]) -> None:
        if what == "start":
            if not proxy.up:
                await self._start(proxy)
            return
        if not proxy.up or proxy.process is None:
            return
        if what == "resume":
            self._resume(proxy, proxy.process)
            return
        self.history.add(what, proxy=proxy.number)
        if what == "stall":
            os.kill(proxy.process.pid, signal.SIGSTOP)
            proxy.stalled = True
            trio.lowlevel.spawn_system_task(
                self._resume_later, proxy, proxy.process, figures.get("seconds", 5.0)
            )
        else:
            proxy.process.send_signal(signal.SIGKILL if what == "kill" else signal.SIGTERM)
            if what == "kill":
                await proxy.process.wait()

    async def _resume_later(self, proxy: Proxy, process: trio.Process, after: float) -> None:
        await trio.sleep(after)
        if proxy.process is process and proxy.stalled:
            self._resume(proxy, process)

    def _resume(self, proxy: Proxy, process: trio.Process) -> None:
        if process.returncode is None:
            os.kill(process.pid, signal.SIGCONT)
            self.history.add("resume", proxy=proxy.number)
        proxy.stalled = False

    def _on_store(self, what: str, name: str, figures: dict[str, float]) -> None:
        store = self.ids[name]
        self.history.add(what, store=store, name=name, **figures)
        match what:
            case "silent" | "serving":
                self.relays[name].silence(what == "silent")
                (self.tier.silent.add if what == "silent" else self.tier.silent.discard)(store)
                self.tier.erring.discard(store)
                self.tier.slow.pop(store, None)
            case "erring":
                self.tier.erring.add(store)
            case "slow":
                self.tier.slow[store] = figures.get("seconds", 0.2)
            case "flush":
                self.tier.flush(store)
            case "drain":
                zone, kind = KINDS[name.split("-")[0]]
                places = SETTINGS["Zones"].index(zone), SETTINGS["Kinds"].index(kind)
                self.log.fleet(store, self.tier.addresses[store], DRAINING, *places)

    # -- looking ----------------------------------------------------------------------------------

    async def _states(self, proxy: Proxy) -> dict[int, str]:
        """What a proxy holds each member to be, by its console."""
        lines = await operator(self._console, "members", proxy.host)
        rows = [line.split() for line in lines if line[:1].isdigit()]
        return {int(row[0]): row[2] for row in rows}

    async def _await(self, state: str, one: tuple[int, ...], other: tuple[int, ...]) -> None:
        """Returns once the living on each side hold all on the other to be in this state.

        For what follows from that state: how soon a starved machine comes to it must not decide a verdict.
        """

        async def holds(number: int, others: tuple[int, ...]) -> bool:
            proxy = self.proxies[number]
            if not proxy.up or proxy.stalled:
                return True
            with trio.move_on_after(AWAITED_S), contextlib.suppress(OSError):
                states = await self._states(proxy)
                return all(states.get(m) == state for m in others if m != number)
            return False

        asked = [(n, other) for n in one] + [(n, one) for n in other]
        started, held = trio.current_time(), self._held
        while not all([await holds(*each) for each in asked]):
            if self._held - held > AWAITED_S:
                raise RuntimeError(f"{one} and {other} not {state} to each other in {AWAITED_S} s")
            await trio.sleep(AWAIT_EVERY_S)
            self._held = held + trio.current_time() - started
        self.history.add("awaited", state=state, s=round(self._held - held, 3))

    async def _look(self) -> None:
        """Asks every living proxy for its members and its stance."""
        self._looks += 1
        look, truth = self._looks, [p.number for p in self.proxies if p.up and not p.stalled]

        async def ask(proxy: Proxy) -> None:
            with trio.move_on_after(10):
                try:
                    states = await self._states(proxy)
                    stance = await operator(self._console, "stance", proxy.host)
                    if self.scenario.spread:
                        stance += await operator(self._console, "spread", proxy.host)
                except OSError:
                    return
                told = dict(line.rsplit(" ", 1) for line in stance if " " in line)
                self.history.add(
                    "members", look=look, proxy=proxy.number, truth=truth,
                    alive=[m for m, state in states.items() if state == "alive"],
                    states={str(m): state for m, state in states.items() if state != "alive"},
                    stance=stance[0], told=told,
                )  # fmt: skip

        async with trio.open_nursery() as nursery:
            for number in truth:
                nursery.start_soon(ask, self.proxies[number])

    # -- clients ----------------------------------------------------------------------------------

    async def _ask(self, proxy: Proxy) -> None:
        """One client at one proxy: asks at random times, and comes back when its connection breaks.

        It connects when it has something to ask, and closes what is idle before the proxy does.
        """
        random, number = Random(self.scenario.seed * 1_000 + proxy.number), 0
        if self.scenario.rate <= 0:
            return
        while True:
            await trio.sleep(random.expovariate(self.scenario.rate))
            try:
                stream = await trio.open_tcp_stream(proxy.host, self._port)
            except OSError:
                continue
            open_: dict[int, tuple[int, str]] = {}
            async with stream, trio.open_nursery() as nursery:
                client, used = Client(stream), trio.current_time()
                nursery.start_soon(self._listen, proxy, client, open_, nursery.cancel_scope)
                # By the clock, not by what was to be slept: a late lab would write to one that is closed.
                while trio.current_time() - used < IDLE_S:
                    number, used = number + 1, trio.current_time()
                    await self._send(proxy, client, open_, number, random)
                    await trio.sleep(min(random.expovariate(self.scenario.rate), IDLE_S))
                with trio.move_on_after(TTL_MS / 1000 + 1):
                    while open_:  # answered by now, but a late lab has not read it
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

    async def _send(
        self, proxy: Proxy, client: Client, open_: dict[int, tuple[int, str]], number: int, random: Random
    ) -> None:
        if len(open_) >= MOST_OPEN:
            return
        key = random.choices(self._keys, self._weights)[0]
        open_[client.next_tag] = (number, key)
        asked = self.history.add("ask", proxy=proxy.number, n=number, key=key, ttl=TTL_MS)
        self.live["asked"] += 1
        try:
            await client.send("pieces", key, ttl=str(TTL_MS))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            asked["unsent"] = True

    async def _listen(
        self, proxy: Proxy, client: Client, open_: dict[int, tuple[int, str]], scope: trio.CancelScope
    ) -> None:
        while (words := await client.words.read()) is not None:
            number, key = open_.pop(int(words[0]), (0, ""))
            body = words[3].decode() if len(words) > 3 else ""
            since = int(body.rsplit("/", 1)[1]) if body.count("/") == 2 else 0
            word = words[1].decode()
            self.live[word] += 1
            self.history.add("answer", proxy=proxy.number, n=number, key=key, word=word, since=since)
        for number, _ in open_.values():
            self.history.add("lost", proxy=proxy.number, n=number)
            self.live["lost"] += 1
        scope.cancel()
