"""Plays a soak: starts the processes and their stand-ins, carries out the plan, ends all that it started."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import struct
import subprocess
import sys
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import trio

from starlinghaven.lab.history import History
from starlinghaven.lab.lateness import watch_lateness
from starlinghaven.lab.soak.clients import SoakClient, crowd
from starlinghaven.lab.soak.plan import CROWD, Action, Kind, Plan
from starlinghaven.lab.soak.stores import GROUPS, SoakTier
from starlinghaven.standins.changelog import ChangeLog, LogEndpoint
from starlinghaven.standins.platform import SETTINGS, configuration, free_port

ROOT = Path(__file__).parent.parent.parent.parent
OBJECTS = 24
CLIENTS = 2  # of each proxy
GIVE_UP_MS = 3_000.0  # the longest deadline of the deployment
KILL_AFTER_S = GIVE_UP_MS / 1000 + 0.7  # after SIGTERM, the platform's earliest SIGKILL
READY_S = 10.0  # that a process may take to be ready
BACK_S = 0.4  # between a process's end and its next start
STORES = (
    ("s-00000001", "edge-1", "petit"),
    ("s-00000002", "edge-1", "petit"),
    ("s-00000003", "nord", "parent"),
    ("s-00000004", "nord", "origin"),
)
SIGNALS = (signal.SIGUSR1, signal.SIGHUP, signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)


def run_command(program: Path) -> str:
    """`run` of a tree's deploy file, with this interpreter in place of the one that `build` makes."""
    deploy = tomllib.loads((program / "deploy" / "balancer.toml").read_text())
    return str(deploy["run"]).replace(".venv/bin/python", sys.executable)


class Proxy:
    """One process of the program with a change log endpoint of its own."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.host = f"127.{2 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number + 1}"  # no other lab's
        self.process: trio.Process | None = None
        self.endpoint: LogEndpoint | None = None
        self.life = 0
        self.expected_to_end = False

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


class Stage:
    """The processes, their surroundings and the history of one soak."""

    def __init__(
        self, plan: Plan, out: Path, program: Path = ROOT, command: Sequence[str] | None = None
    ) -> None:
        """`out` gets logs and history; `program` is the tree of which `run` in its deploy file is started.

        `command` takes its place, as arguments of the interpreter.
        """
        self.plan, self.out, self._program = plan, out, program
        self._command = [sys.executable, *command] if command else ["/bin/sh", "-c", run_command(program)]
        self.history = History()
        self._random = Random(plan.seed + 1)
        self._port = free_port()
        self._log = ChangeLog()
        self._tier = SoakTier(STORES, self.history, self._random)
        self._proxies = [Proxy(number) for number in range(plan.proxies)]
        self._keys = [f"{n:016x}" for n in range(1, OBJECTS + 1)]

    async def run(self) -> None:
        """Plays the plan and saves the history."""
        (self.out / "logs").mkdir(parents=True, exist_ok=True)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._tier.run)
                for proxy in self._proxies:
                    await self._open_endpoint(proxy, nursery)
                    await self._start(proxy)
                self.history.started = time.time()
                self.history.entries.clear()
                self._start_clients(nursery)
                nursery.start_soon(watch_lateness, self.history)
                nursery.start_soon(self._watch_processes)
                await self._play(nursery)
                self.history.add("over")
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self._end_all()
            self.history.save(self.out / "history.jsonl")

    def _start_clients(self, nursery: trio.Nursery) -> None:
        weights = [1 / (rank + 1) for rank in range(OBJECTS)]
        for proxy in self._proxies:
            for _ in range(CLIENTS):
                random = Random(self._random.getrandbits(64))
                client = SoakClient(proxy.number, (proxy.host, self._port), self.history, random)
                nursery.start_soon(client.run, self._keys, weights)

    async def _watch_processes(self) -> None:
        while True:
            for proxy in self._proxies:
                if proxy.process is not None and not proxy.up and not proxy.expected_to_end:
                    self.history.add("crash", proxy=proxy.number, code=proxy.process.returncode)
                    proxy.expected_to_end = True
            await trio.sleep(0.1)

    async def _play(self, nursery: trio.Nursery) -> None:
        started = trio.current_time()
        for action in self.plan.actions:
            await trio.sleep_until(started + action.at_s)
            await self._do(action, nursery)
        await trio.sleep_until(started + self.plan.seconds)

    # -- processes --------------------------------------------------------------------------------

    def _write_configuration(self, proxy: Proxy) -> Path:
        assert proxy.endpoint is not None
        policy = SETTINGS["PolicyLimits"] | {"Peers": False}
        classes = [c | {"GiveUpMs": min(c["GiveUpMs"], GIVE_UP_MS)} for c in SETTINGS["Classes"]]
        family = SETTINGS["FamilyInfo"] | {"ZoneBalancers": [0, self.plan.proxies], "PurgeSlackMs": 500.0}
        settings = SETTINGS | {
            "Me": proxy.number,
            "FleetSize": self.plan.proxies,
            "Classes": classes,
            "PolicyLimits": policy,
            "FamilyInfo": family,
        }
        written = configuration(self._tier, self._port, proxy.endpoint.address)
        written |= {
            "name": f"n{proxy.number}",
            "listen": f"{proxy.host}:{self._port}",
            "seed": f"{self._random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "settings": settings,
        }
        written["known"] = self._known(written["known"])
        path = self.out / "logs" / f"n{proxy.number}.json"
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps(written))
        draft.replace(path)
        return path

    def _known(self, first: dict[str, Any]) -> dict[str, Any]:
        """The list of the start and all purges up to now, as a configuration carries them."""
        results = list(first["results"])
        for event in self._log.events:
            if event.kind == 3:
                key, unix_ms = struct.unpack(">8sQ", event.payload)
                purge = {"object": key.hex(), "time": unix_ms}
            else:
                group, unix_ms = struct.unpack(">HQ", event.payload)
                purge = {"bucket": group, "time": unix_ms}
            results.append({"seq": event.number, "invalidate": purge})
        return {"seq": self._log.last_number, "results": results}

    async def _start(self, proxy: Proxy) -> None:
        proxy.life += 1
        path = self._write_configuration(proxy)
        known = self._log.last_number
        log_path = self.out / "logs" / f"n{proxy.number}.{proxy.life}.log"
        started = trio.current_time()
        with log_path.open("w") as sink:
            proxy.process = await trio.lowlevel.open_process(
                self._command,
                cwd=self._program,
                env=os.environ | {"LB_CONFIG": str(path)},
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )
        proxy.expected_to_end = False
        with trio.move_on_after(READY_S):
            while proxy.up and " ready " not in log_path.read_text():
                await trio.sleep(0.02)
        if proxy.up and " ready " not in log_path.read_text():
            self.history.add("slow-start", proxy=proxy.number, s=READY_S)
        took_s = trio.current_time() - started
        self.history.add("start", proxy=proxy.number, life=proxy.life, known=known, s=round(took_s, 2))

    async def _end_all(self) -> None:
        for proxy in self._proxies:
            proxy.expected_to_end = True
            if proxy.up and proxy.process is not None:
                proxy.process.kill()
                await proxy.process.wait()

    # -- actions ----------------------------------------------------------------------------------

    async def _do(self, action: Action, nursery: trio.Nursery) -> None:
        proxy = self._proxies[action.proxy]
        match action.kind:
            case Kind.PURGE_OBJECT | Kind.PURGE_GROUP:
                self._purge(action, nursery)
            case Kind.KILL | Kind.STOP | Kind.TERMINATE | Kind.SIGNALS | Kind.CROWD:
                nursery.start_soon(self._on_process, action, proxy)
            case _:
                await self._on_log(action, proxy, nursery)

    def _purge(self, action: Action, nursery: trio.Nursery) -> None:
        unix_ms = int(time.time() * 1000)
        if action.kind is Kind.PURGE_OBJECT:
            name: str | int = self._keys[action.choice]
            self._log.purge(str(name), unix_ms)
        else:
            name = action.choice % GROUPS
            self._log.purge_group(name, unix_ms)
        self.history.add("purge", name=name, unix_ms=unix_ms, number=self._log.last_number)
        nursery.start_soon(self._tier.purge, name, unix_ms)

    async def _on_log(self, action: Action, proxy: Proxy, nursery: trio.Nursery) -> None:
        assert proxy.endpoint is not None
        faults = proxy.endpoint.faults
        self.history.add(str(action.kind), proxy=proxy.number, s=action.seconds)
        match action.kind:
            case Kind.LOG_SILENT:
                faults.silent = True
            case Kind.LOG_REFUSED:
                faults.refused = True
            case Kind.LOG_SLOW:
                faults.delay_s = action.seconds
            case Kind.LOG_SKIPS:
                faults.skipped.add(self._log.last_number + 1)
            case Kind.LOG_MOVED:
                await self._open_endpoint(proxy, nursery)
                self._write_configuration(proxy)
                self._signal(proxy, signal.SIGHUP)
            case _:
                faults.silent = faults.refused = False
                faults.delay_s = 0.0

    async def _open_endpoint(self, proxy: Proxy, nursery: trio.Nursery) -> None:
        """Gives a proxy's change log a new address; the old one stays as it is."""

        def delivered(number: int) -> None:
            self.history.add("delivered", proxy=proxy.number, number=number)

        proxy.endpoint = LogEndpoint(self._log, delivered)
        await nursery.start(proxy.endpoint.run)

    def _signal(self, proxy: Proxy, number: signal.Signals) -> None:
        if proxy.up and proxy.process is not None:
            with contextlib.suppress(ProcessLookupError):
                proxy.process.send_signal(number)

    async def _on_process(self, action: Action, proxy: Proxy) -> None:
        if not proxy.up or proxy.expected_to_end:
            return  # the one before it is not over yet
        match action.kind:
            case Kind.STOP:
                await self._stop(proxy, action.seconds)
            case Kind.KILL:
                await self._kill(proxy)
                await trio.sleep(action.seconds)
                await self._start(proxy)
            case Kind.TERMINATE:
                await self._terminate(proxy)
            case Kind.SIGNALS:
                for number in SIGNALS:
                    self._signal(proxy, number)
                    await trio.sleep(action.seconds / len(SIGNALS))
            case Kind.CROWD:
                self.history.add("crowd", proxy=proxy.number)
                await crowd((proxy.host, self._port), CROWD, action.seconds)

    async def _stop(self, proxy: Proxy, seconds: float) -> None:
        self.history.add("stall", proxy=proxy.number, s=seconds)
        self._signal(proxy, signal.SIGSTOP)
        await trio.sleep(seconds)
        self._signal(proxy, signal.SIGCONT)
        self.history.add("resume", proxy=proxy.number)

    async def _kill(self, proxy: Proxy) -> None:
        assert proxy.process is not None
        proxy.expected_to_end = True
        self.history.add("kill", proxy=proxy.number)
        proxy.process.kill()
        await proxy.process.wait()

    async def _terminate(self, proxy: Proxy) -> None:
        """A planned restart: clients go on until the platform's earliest SIGKILL."""
        assert proxy.process is not None
        proxy.expected_to_end = True
        self.history.add("term", proxy=proxy.number)
        self._signal(proxy, signal.SIGTERM)
        with trio.move_on_after(KILL_AFTER_S):
            await proxy.process.wait()
        if proxy.up:
            self.history.add("end-kill", proxy=proxy.number)
            proxy.process.kill()
            await proxy.process.wait()
        self.history.add("ended", proxy=proxy.number, code=proxy.process.returncode)
        await trio.sleep(BACK_S)
        await self._start(proxy)
