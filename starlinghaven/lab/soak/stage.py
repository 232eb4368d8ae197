"""Plays a soak: starts the processes and their stand-ins, carries out the plan, ends all that it started."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import struct
import subprocess
import sys
import time
import tomllib
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import Any

import trio

from starlinghaven.lab.faults import Faults
from starlinghaven.lab.history import History
from starlinghaven.lab.lateness import watch_lateness
from starlinghaven.lab.relays import DatagramRelay
from starlinghaven.lab.soak.clients import BurstClient, SoakClient, crowd
from starlinghaven.lab.soak.deployment import KINDS, WEIGHT, ZONES
from starlinghaven.lab.soak.plan import Action, Kind, Plan, SystemFaults
from starlinghaven.lab.soak.stores import GROUPS, SoakTier
from starlinghaven.standins.changelog import DRAINING, GONE, READY, ChangeLog, LogEndpoint, LogEvent
from starlinghaven.standins.platform import configuration, free_port, operator

ROOT = Path(__file__).parent.parent.parent.parent
OBJECTS = 24
CLIENTS = 2  # of each proxy
SHIM = Path(__file__).parent / "shim.py"
STORES_HOST = 250  # the last number of the stores' address
READY_S = 10.0  # that a process may take to be ready
BEFORE_KILL_S = 0.7  # and the longest deadline, between SIGTERM and the platform's earliest SIGKILL
MEMORY_MB, SOCKETS = 96, 512  # the limits of one process
MEASURE_S = 0.5  # between two readings of what each process uses
BACK_S = 0.4  # between a process's end and its next start
LIFECYCLES = {READY: "active", DRAINING: "leaving", GONE: "left"}
STOP_S, RUN_S = (0.1, 0.3), (0.05, 0.3)  # of a series of stops, and between them
SIGNALS = (signal.SIGUSR1, signal.SIGHUP, signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)


def run_command(program: Path) -> str:
    """`run` of a tree's deploy file, with this interpreter in place of the one that `build` makes."""
    deploy = tomllib.loads((program / "deploy" / "balancer.toml").read_text())
    return str(deploy["run"]).replace(".venv/bin/python", sys.executable)


def own_host(number: int) -> str:
    """A loopback address that no other lab uses: its ports stay free while nothing listens there."""
    return f"127.{2 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number}"


class Proxy:
    """One process of the program with a change log endpoint of its own."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.host = own_host(number + 1)
        self.console = 0  # port of the operators' console
        self.process: trio.Process | None = None
        self.endpoint: LogEndpoint | None = None
        self.life = 0
        self.expected_to_end = False
        self.stopped = False  # by SIGSTOP

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


class Stage:
    """The processes, their surroundings and the history of one soak."""

    def __init__(self, plan: Plan, out: Path, program: Path = ROOT, variant: str = "") -> None:
        """`out` gets logs and history; `program` is the tree of which `run` in its deploy file is started.

        `variant` is Python code that takes the place of the program's start: a program with a fault.
        """
        self.plan, self.out, self._program, self._variant = plan, out, program, variant
        self.history = History()
        self._random = Random(plan.seed + 1)
        self._port = free_port()
        self._log = ChangeLog()
        self._tier = SoakTier(plan.deployment, self.history, self._random, own_host(STORES_HOST))
        self._proxies = [Proxy(number) for number in range(plan.proxies)]
        self._keys = [f"{n:016x}" for n in range(1, OBJECTS + 1)]
        self._relay: DatagramRelay | None = None  # between the processes, where the settings allow peers

    async def run(self) -> None:
        """Plays the plan and saves the history."""
        (self.out / "logs").mkdir(parents=True, exist_ok=True)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._tier.run)
                self._open_relay(nursery)
                for proxy in self._proxies:
                    await self._open_endpoint(proxy, nursery)
                    await self._start(proxy)
                self.history.started = time.time()
                self.history.entries.clear()
                self._note_deployment()
                self._start_clients(nursery)
                nursery.start_soon(watch_lateness, self.history)
                nursery.start_soon(self._watch_processes, nursery)
                nursery.start_soon(self._measure)
                await self._play(nursery)
                self.history.add("over")
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self._end_all()
            self._close_relay()
            self.history.save(self.out / "history.jsonl")

    def _note_deployment(self) -> None:
        """What the checkers must know of the deployment."""
        for cls in self.plan.deployment.classes:
            self.history.add("class", **asdict(cls))
        for store in self.plan.deployment.stores:
            self.history.add("store", store=store.id, zone=store.zone, kind=store.kind, cell=store.cell)
        deployment = self.plan.deployment
        self.history.add(
            "limits",
            attempts=deployment.attempts,
            second_copies=deployment.second_copies,
            bypass=deployment.bypass,
            descriptors=SOCKETS,
            memory_mb=MEMORY_MB,
        )

    def _open_relay(self, nursery: trio.Nursery) -> None:
        """Lets all datagrams between the processes pass through the lab, with the faults of the plan."""
        if not self.plan.deployment.peers:
            return
        faults, network = Faults(self.plan.seed), self.plan.network
        faults.network(network.loss, network.double, network.delay_ms)
        self._relay = DatagramRelay([(proxy.host, self._port) for proxy in self._proxies], faults)
        nursery.start_soon(self._relay.run)

    def _close_relay(self) -> None:
        if self._relay is not None:
            counts = self._relay.counts
            self.history.add(
                "datagrams", longest=self._relay.longest, sent=counts["sent"], strange=counts["strange"]
            )
            self._relay.close()

    def _start_clients(self, nursery: trio.Nursery) -> None:
        weights = [1 / (rank + 1) for rank in range(OBJECTS)]
        for proxy in self._proxies:
            for _ in range(CLIENTS):
                random = Random(self._random.getrandbits(64))
                client = SoakClient(
                    proxy.number,
                    (proxy.host, self._port),
                    self.history,
                    random,
                    self.plan.deployment.classes,
                )
                nursery.start_soon(client.run, self._keys, weights)

    async def _watch_processes(self, nursery: trio.Nursery) -> None:
        while True:
            for proxy in self._proxies:
                if proxy.process is None or proxy.up or proxy.expected_to_end:
                    continue
                proxy.expected_to_end = True
                if self.plan.system.dies_writing and proxy.process.returncode == -signal.SIGKILL:
                    self.history.add("kill", proxy=proxy.number, how="amid a write")
                    nursery.start_soon(self._start, proxy)
                else:
                    self.history.add("crash", proxy=proxy.number, code=proxy.process.returncode)
            await trio.sleep(0.02)

    async def _measure(self) -> None:
        """Notes the descriptors and the memory of each process."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            for proxy in self._proxies:
                if proxy.up and proxy.process is not None:
                    with contextlib.suppress(OSError):
                        folder = Path(f"/proc/{proxy.process.pid}")
                        resident = int((folder / "statm").read_text().split()[1]) * page
                        descriptors = len(list((folder / "fd").iterdir()))
                        self.history.add(
                            "used",
                            proxy=proxy.number,
                            descriptors=descriptors,
                            memory_mb=round(resident / 2**20, 1),
                        )
            await trio.sleep(MEASURE_S)

    async def _play(self, nursery: trio.Nursery) -> None:
        started = trio.current_time()
        for action in self.plan.actions:
            await trio.sleep_until(started + action.at_s)
            await self._do(action, nursery)
        await trio.sleep_until(started + self.plan.seconds)

    # -- processes --------------------------------------------------------------------------------

    def _write_configuration(self, proxy: Proxy) -> Path:
        assert proxy.endpoint is not None
        deployment = self.plan.deployment
        written = configuration(self._tier, self._port, proxy.endpoint.address)
        written |= {
            "name": f"n{proxy.number}",
            "listen": f"{proxy.host}:{self._port}",
            "seed": f"{self._random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": deployment.settings(proxy.number),
        }
        if deployment.own_copies:
            written |= {"flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000}
        if deployment.peers:
            assert self._relay is not None
            peers = ["{}:{}".format(*address) for address in self._relay.addresses]
            written |= {"peer_listen": f"{proxy.host}:{self._port}", "peers": peers}
        written["known"] = self._known()
        path = self.out / "logs" / f"n{proxy.number}.json"
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps(written))
        draft.replace(path)
        return path

    def _known(self) -> dict[str, Any]:
        """All events up to now, as a configuration carries them."""
        entries = [
            self._entry(store.id, READY, store.zone, store.kind, store.cell, 0)
            for store in self.plan.deployment.stores
        ]
        results: list[dict[str, Any]] = [{"seq": 1, "fleet": self._fleet(entries)}]
        for event in self._log.events:
            results.append({"seq": event.number, **self._known_event(event)})
        return {"seq": self._log.last_number, "results": results}

    def _known_event(self, event: LogEvent) -> dict[str, Any]:
        if event.kind == 3:
            key, unix_ms = struct.unpack(">8sQ", event.payload)
            return {"invalidate": {"object": key.hex(), "time": unix_ms}}
        if event.kind == 4:
            group, unix_ms = struct.unpack(">HQ", event.payload)
            return {"invalidate": {"bucket": group, "time": unix_ms}}
        number, _, _, state, zone, kind, cell, _, started = struct.unpack(">I4sHBBBHIQ", event.payload)
        return {"fleet": self._fleet([self._entry(f"s-{number:08x}", state, zone, kind, cell, started)])}

    @staticmethod
    def _fleet(entries: list[dict[str, Any]]) -> dict[str, Any]:
        return {"generation": 1, "reset": False, "instances": entries}

    def _entry(self, store: str, state: int, zone: int, kind: int, cell: int, started: int) -> dict[str, Any]:
        return {
            "instanceId": store,
            "hostPort": self._tier.addresses[store],
            "zone": ZONES[zone],
            "machineType": KINDS[kind],
            "cell": cell,
            "lifecycle": LIFECYCLES[state],
            "weight": WEIGHT,
            "startedAtMs": started,
        }

    def _start_command(self, proxy: Proxy) -> list[str]:
        """`run` of the deploy file, or the shim in its place where the plan has faults of the system."""
        system = self.plan.system
        if not self._variant and system == SystemFaults():
            return ["/bin/sh", "-c", run_command(self._program)]
        told = asdict(system) | {"seed": self.plan.seed * 1000 + proxy.life, "variant": self._variant}
        words = shlex.join([sys.executable, "-B", str(SHIM), json.dumps(told)])
        return ["/bin/sh", "-c", f"trap '' HUP USR1; exec {words}"]

    def _environment(self, proxy: Proxy, path: Path) -> dict[str, str]:
        folder = self.out / f"n{proxy.number}.lasting"
        folder.mkdir(exist_ok=True)
        proxy.console = proxy.console or free_port()
        told = {
            "LB_CONFIG": str(path),
            "LB_CONSOLE": f"{proxy.host}:{proxy.console}",
            "TMPDIR": str(folder),
        }
        if self.plan.deployment.peers:
            options = self.out / "operator.toml"
            options.write_text("[fleet]\n")
            told["STARLINGHAVEN_OPERATOR"] = str(options)
        return os.environ | told

    async def _start(self, proxy: Proxy) -> None:
        proxy.life += 1
        path = self._write_configuration(proxy)
        known = self._log.last_number
        log_path = self.out / "logs" / f"n{proxy.number}.{proxy.life}.log"
        started = trio.current_time()
        with log_path.open("w") as sink:
            process = proxy.process = await trio.lowlevel.open_process(
                self._start_command(proxy),
                cwd=self._program,
                env=self._environment(proxy, path),
                stderr=sink,
                stdin=subprocess.DEVNULL,
            )
        proxy.expected_to_end = False
        with trio.move_on_after(READY_S):  # of this process: it may end, and be followed by another
            while process.returncode is None and " ready " not in log_path.read_text():
                await trio.sleep(0.02)
        if process.returncode is None and " ready " not in log_path.read_text():
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
            case Kind.STORE_FAULT | Kind.STORE_WELL:
                self._tier.fault(action.choice, action.fault)
                store = self._tier.store_at(action.choice)
                self.history.add("store-fault", store=store, fault=str(action.fault or ""))
            case Kind.DRAIN | Kind.RESTART_COLD | Kind.REPLACE:
                nursery.start_soon(self._on_store, action)
            case Kind.EXCLUDE | Kind.INCLUDE:
                nursery.start_soon(self._by_hand, action, proxy)
            case Kind.KILL | Kind.STOP | Kind.TERMINATE | Kind.SIGNALS | Kind.CROWD | Kind.STOPS:
                nursery.start_soon(self._on_process, action, proxy)
            case Kind.BURSTS:
                self._start_bursts(action, proxy, nursery)
            case _:
                await self._on_log(action, proxy, nursery)

    def _start_bursts(self, action: Action, proxy: Proxy, nursery: trio.Nursery) -> None:
        self.history.add("bursts", proxy=proxy.number, connections=action.choice, s=action.seconds)
        for _ in range(action.choice):
            client = BurstClient(
                proxy.number,
                (proxy.host, self._port),
                self.history,
                Random(self._random.getrandbits(64)),
                self.plan.deployment.classes,
            )
            nursery.start_soon(client.play, self._keys, action.seconds)

    async def _on_store(self, action: Action) -> None:
        """A store drains and goes, or its process restarts cold, under its own id or a new one."""
        old = self._tier.store_at(action.choice)
        if action.kind is Kind.DRAIN:
            self._list(old, DRAINING, action.choice)
            await trio.sleep(action.seconds)
            self._list(old, GONE, action.choice)
            return
        new = f"s-{0x1000 + action.choice:08x}" if action.kind is Kind.REPLACE else old
        self._tier.restart(action.choice, new)
        started_ms = int(time.time() * 1000)
        if new != old:
            self._list(old, GONE, action.choice)
        self._list(new, READY, action.choice, started_ms)
        self.history.add("cold", store=new, number=self._log.last_number)

    def _list(self, store: str, state: int, number: int, started_ms: int = 0) -> None:
        place, address = self.plan.deployment.stores[number], self._tier.addresses[store]
        self._log.fleet(
            store, address, state, place.zone, place.kind, started_ms, cell=place.cell, weight=WEIGHT
        )
        self.history.add("list", store=store, state=state, number=self._log.last_number)

    async def _by_hand(self, action: Action, proxy: Proxy) -> None:
        """An operator's call on the console of one proxy."""
        store = self.plan.deployment.stores[action.choice].id
        verb = "exclude" if action.kind is Kind.EXCLUDE else "include"
        with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(5.0):
            lines = await operator(proxy.console, f"{verb} {store}", proxy.host)
            if lines and lines[0].startswith("SUCCESS"):
                self.history.add(f"{verb}d", proxy=proxy.number, store=store)
                return
        if verb == "include":
            self.history.add("included", proxy=proxy.number, store=store, unsure=True)

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

        proxy.endpoint = LogEndpoint(self._log, delivered, proxy.host)
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
            case Kind.STOPS:
                await self._stop_now_and_then(proxy, action.seconds)
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
                await crowd((proxy.host, self._port), action.choice, action.seconds)

    async def _stop_now_and_then(self, proxy: Proxy, seconds: float) -> None:
        random, until = Random(f"{self.plan.seed} stops"), trio.current_time() + seconds
        while trio.current_time() < until and not proxy.expected_to_end:
            await self._stop(proxy, random.uniform(*STOP_S))
            await trio.sleep(random.uniform(*RUN_S))

    async def _stop(self, proxy: Proxy, seconds: float) -> None:
        if proxy.stopped:
            return
        proxy.stopped = True
        self.history.add("stall", proxy=proxy.number, s=seconds)
        self._signal(proxy, signal.SIGSTOP)
        await trio.sleep(seconds)
        self._signal(proxy, signal.SIGCONT)
        self.history.add("resume", proxy=proxy.number)
        proxy.stopped = False

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
        with trio.move_on_after(self.plan.deployment.longest_ms / 1000 + BEFORE_KILL_S):
            await proxy.process.wait()
        if proxy.up:
            self.history.add("end-kill", proxy=proxy.number)
            proxy.process.kill()
            await proxy.process.wait()
        self.history.add("ended", proxy=proxy.number, code=proxy.process.returncode)
        await trio.sleep(BACK_S)
        await self._start(proxy)
