"""Puts the parts together, answers signals and ends in order."""

from __future__ import annotations

import gc
import importlib
import logging
import os
import secrets
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import trio

from starlinghaven.containment import contained
from starlinghaven.program import allocator, config, logs
from starlinghaven.program.core import Core, demand
from starlinghaven.program.fronts.clients import ClientLink, Clients, CloseReason
from starlinghaven.program.fronts.giver import Giver, give
from starlinghaven.program.fronts.platform import PlatformFront
from starlinghaven.program.fronts.taker import Door, HandoverAccounts
from starlinghaven.program.memory_plan import Accounts, TooLittleMemory, divide, resident
from starlinghaven.program.operations import operator
from starlinghaven.program.operations.console import PLACES, Console
from starlinghaven.program.operations.handover import Handover
from starlinghaven.program.operations.lateness import watch_lateness
from starlinghaven.program.operations.memory_report import MemoryReport
from starlinghaven.program.signals import held
from starlinghaven.protocol import platform
from starlinghaven.transport.listener import LINGERING, Listener

if TYPE_CHECKING:  # HTTP and tokens load only where they are switched on: a restart must be short
    from starlinghaven.program.fleet import Fleet
    from starlinghaven.program.fronts.admission import AdmissionGate
    from starlinghaven.program.fronts.http import Handle, HttpServer
    from starlinghaven.program.fronts.signed import SignedFront
    from starlinghaven.program.operations.health import HealthService

log = logging.getLogger("starlinghaven")

WINDOW_S = 0.75  # seconds after SIGTERM in which new requests still come: 0.7 s, and some slack
HAND_OVER_S = 2.0  # seconds in which a successor takes the clients, before others' new requests are refused
FLUSH_S = 1.0  # seconds in which some client must read something of the last answers
FLUSH_MOST_S = 60.0  # seconds that the last answers may take: the largest at 200 KB/s take some 40
LOOK_S = 0.005  # seconds between two looks at what is left
ADMISSION_PART = 32  # part of the limit for what admission remembers, one in so many, where it is on
FLEET_BYTES, FLEET_PEER_BYTES = 1024 * 1024, 4 * 1024  # for what proxies know of each other, and of each
CHECKS = 16  # connections of balancers' checks at once
STATES = {"ready": platform.READY, "draining": platform.DRAIN, "stopped": platform.UNREADY}


def load_parts(options: operator.Operator) -> None:
    """Loads what is switched on, ahead of the moment at which the program's own memory is measured."""
    modules = {
        "starlinghaven.program.fronts.admission": bool(options.admission),
        "starlinghaven.program.fronts.signed": options.signed is not None,
        "starlinghaven.program.operations.health": bool(options.health or options.agent),
        "starlinghaven.program.fleet": options.fleet,
    }
    for name, switched_on in modules.items():
        if switched_on:
            importlib.import_module(name)


def divided(cfg: config.Config, options: operator.Operator, base: int) -> Accounts:
    """The accounts of one edge proxy in a process that holds `base` bytes. Errors: TooLittleMemory."""
    fronts = {}
    if options.signed:
        fronts["signed"] = options.signed.connections + LINGERING
    if options.health:
        fronts["health"] = CHECKS + LINGERING
    if options.agent:
        fronts["agent"] = CHECKS + LINGERING
    if cfg.console:
        fronts["console"] = PLACES + LINGERING
    tables = cfg.memory_bytes // ADMISSION_PART if options.admission else 0
    if options.fleet and cfg.peer_listen:
        tables += FLEET_BYTES + FLEET_PEER_BYTES * len(cfg.peers)
    clients = cfg.sockets // 2  # usual ones hold a third of all at most; the rest is for the others
    return divide(cfg.memory_bytes, base, demand(cfg, clients + LINGERING, fronts, tables))


class Daemon:
    """One edge proxy."""

    def __init__(self, cfg: config.Config, options: operator.Operator, accounts: Accounts) -> None:
        core = self.core = Core(cfg, accounts, tells=options.fleet and bool(cfg.peer_listen))
        self.engine, self.counters = core.engine, core.counters
        self.memory_report = MemoryReport(accounts.memory)
        clients = accounts.client_places - LINGERING
        self.gate: AdmissionGate | None = None
        if options.admission:
            from starlinghaven.admission import settings as admitting
            from starlinghaven.program.fronts.admission import ADMISSION_ENTRY_BYTES, AdmissionGate

            sources = cfg.memory_bytes // ADMISSION_PART // 2 // ADMISSION_ENTRY_BYTES
            self.gate = AdmissionGate(admitting.load(options.admission), clients, core.counters, sources)
        self._listeners = [Listener(cfg.listen, accounts.clients, clients, cfg.passed, gate=self.gate)]
        self.handover = Handover(cfg.folder)
        self.front = PlatformFront(
            core.engine,
            cfg.settings,
            cfg.classes,
            self.state,
            self._listeners[0],
            core.counters,
            answers=accounts.clients.output,
            tags=accounts.memory.account("tags"),
        )
        if self.gate is not None:
            self.front.served = self.gate.served
        self.signed: SignedFront | None = None
        self.servers: list[HttpServer] = []
        self.health: HealthService | None = None
        if options.health or options.agent:
            from starlinghaven.health import settings
            from starlinghaven.health.model import Thresholds
            from starlinghaven.program.operations.health import HealthService

            limits = settings.load(options.rules) if options.rules else Thresholds()
            self.health = HealthService(core.engine, core.log, limits, self._places)
        self._agent: Listener | None = None
        if options.signed:
            from starlinghaven.program.fronts.signed import SignedFront

            self.signed = SignedFront(
                options.signed, core.engine, cfg.settings, cfg.classes, core.counters, _new_id
            )
            connections = options.signed.connections
            self._serve_http(options.signed.listen, "signed", connections, self.signed.handle)
        if self.health and options.health:
            self._serve_http(options.health, "health", CHECKS, self.health.http)
        if options.agent:
            self._agent = self._listener(options.agent, "agent", CHECKS)
            self._listeners.append(self._agent)
        self.fleet: Fleet | None = None
        if options.fleet and cfg.peer_listen:
            from starlinghaven.fleet import settings as fleet_settings
            from starlinghaven.program.fleet import Fleet

            path = options.fleet_limits
            bounds = fleet_settings.load(path) if path else fleet_settings.Limits()
            spread = None
            if options.spread:
                from starlinghaven.spread import settings as spread_settings

                path = options.spread_limits
                spread = spread_settings.load(path) if path else spread_settings.Limits()
            self.fleet = Fleet(cfg, core.engine, core.counters, bounds, spread)
        self.console: Console | None = None
        if cfg.console:
            self._listeners.append(Listener(cfg.console, accounts.front("console"), PLACES))
            self.console = Console(
                self._listeners[-1],
                core.engine,
                cfg.classes,
                core.counters,
                self.handover,
                self.memory_report,
                self.fleet,
            )

    def _places(self) -> tuple[int, int]:
        """Clients' connections held by the platform's front, and the places for them."""
        front = self._listeners[0]
        return front.count, front.most

    @property
    def _clients(self) -> list[Clients]:
        """Connections of all fronts; operators' ones are not among them."""
        return [self.front.clients, *(server.clients for server in self.servers)]

    def _closed(self) -> str:
        """Connections of all fronts that were closed in order, by reason."""
        total = sum((clients.closed for clients in self._clients), Counter[CloseReason]())
        return " ".join(f"closed_{reason}={n}" for reason, n in sorted(total.items()))

    def _listener(self, address: str, name: str, most: int) -> Listener:
        """One of an operator's addresses: both processes of an upgrade listen there for a while."""
        accounts = self.core.accounts.front(name)
        return Listener(address, accounts, most, shared=self.core.cfg.passed is not None)

    def _serve_http(self, listen: str, name: str, most: int, handle: Handle) -> None:
        from starlinghaven.program.fronts.http import HttpServer

        self._listeners.append(self._listener(listen, name, most))
        input = self.core.accounts.front(name).input
        self.servers.append(HttpServer(self._listeners[-1], handle, self.counters, input))

    def state(self) -> bytes:
        return STATES[self.engine.state]

    async def run(self) -> None:
        """Serves until SIGTERM, and then until nothing that was taken is unanswered."""
        cfg = self.core.cfg
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        with trio.open_signal_receiver(*numbers) as signals:
            async with trio.open_nursery() as nursery:
                await self.core.start(nursery)
                await self.handover.restore(self.engine)
                for listener in self._listeners:
                    await listener.open()
                nursery.start_soon(self.handover.run, self.engine)
                nursery.start_soon(self.memory_report.run)
                nursery.start_soon(watch_lateness, self.counters)
                for clients in self._clients:
                    await nursery.start(clients.run)
                if self.fleet:
                    await nursery.start(self.fleet.run)
                if self.console:
                    nursery.start_soon(self.console.clients.run)
                if self.health:
                    nursery.start_soon(self.health.run)
                    if self._agent:
                        nursery.start_soon(self._agent.run, self.health.agent, lambda: False)
                if cfg.passed is not None and (path := self.handover.door()):
                    await self._open_door(nursery, path)
                terminate = trio.Event()
                nursery.start_soon(self._signalled, signals, terminate)
                self.engine.ready = True
                self.handover.serving()
                gc.collect()
                gc.freeze()  # what lives as long as the program is not looked at again
                log.info("ready name=%s listen=%s events=%d", cfg.name, cfg.listen, cfg.last)
                await terminate.wait()
                await self._drain(nursery)
                if self.fleet:
                    self.fleet.leave()
                nursery.cancel_scope.cancel()
        self._log_figures()
        log.info("stopped")

    def _log_figures(self) -> None:
        log.info("counters %s %s", self.counters.line(), self._closed())
        log.info("memory %s", self.memory_report.line())

    async def _open_door(self, nursery: trio.Nursery, path: str) -> None:
        """Lets an older process hand its clients over. Without a door it closes them as they fall idle."""
        accounts = self.core.accounts
        handover = HandoverAccounts(accounts.clients, accounts.memory.account("handover"))
        door = Door(path, handover, self.front)
        try:
            await door.open()
        except OSError as error:
            log.error("no door for an older process: %s", error)
        else:
            nursery.start_soon(door.run)

    async def _signalled(self, signals: AsyncIterator[int], terminate: trio.Event) -> None:
        """Takes signals to the end: one that comes again while draining must not end it unordered."""
        for number in held():
            await self._act_on(number, terminate)
        async for number in signals:
            await self._act_on(number, terminate)

    async def _act_on(self, number: int, terminate: trio.Event) -> None:
        with contained(log, f"the handling of signal {number}", self.counters.add):
            await self._act(number, terminate)

    async def _act(self, number: int, terminate: trio.Event) -> None:
        if number == signal.SIGUSR1:
            self._log_figures()
        elif terminate.is_set():
            self.counters.add("signals_passed_over")
            log.info("signal %d passed over: draining already", number)
        elif number == signal.SIGHUP:
            await self._reload()
        else:
            terminate.set()

    async def _reload(self) -> None:
        """Takes the configuration and the keys anew. What can't be used leaves the old in force."""
        try:
            await self.core.reload(config.load(os.environ))
            self.counters.add("config_reloaded")
            log.info("configuration reloaded changelog=%s", self.core.cfg.log_address)
        except Exception as error:  # guards against a file caught half-written: it must not end the program
            self.counters.add("config_kept")
            log.error("configuration not reloaded, the old one stays: %s", error)
        if self.signed:
            self.counters.add("keys_reloaded" if self.signed.gate.reload() else "keys_kept")

    async def _drain(self, nursery: trio.Nursery) -> None:
        """New requests go on coming for a while after SIGTERM: they are taken and answered too.

        Where a successor accepts on the same socket, it gets what is new, and the connections of clients.
        After that what still comes is refused, and each connection is closed in order once nothing is open
        on it. All of them end the same way, so that no answer is lost to a reset.
        """
        log.info("draining open=%d", self.engine.open_requests)
        self.engine.draining = True
        async with trio.open_nursery() as leaving:
            giver = await self._window(nursery, leaving)
            self.front.closed = True  # one that goes on asking must not keep the program from its end
            for clients in self._clients:
                leaving.start_soon(clients.retire)
            await self.engine.quiet()
            while any(link.busy for clients in self._clients for link in clients.all):
                await trio.sleep(LOOK_S)  # one that was read waits for its place in the queue
            while giver is not None and giver.owes:
                await trio.sleep(LOOK_S)  # answers of the process before this one, passed on
            await self._flush()
            if giver is not None:
                with trio.move_on_after(FLUSH_S):
                    await giver.flushed()
            leaving.cancel_scope.cancel()
        self.engine.ready = False

    async def _window(self, nursery: trio.Nursery, leaving: trio.Nursery) -> Giver | None:
        """The time in which new requests are still taken; the way to a successor, if there is one.

        A successor is offered the clients' connections until all are there, also after this returns.
        """
        path = self.handover.successor() if self.core.cfg.passed is not None else None
        if path is None:
            await trio.sleep(WINDOW_S)
            return None
        log.info("leaving the clients to a successor")
        for server in self.servers:
            leaving.start_soon(server.clients.retire)
        account = self.core.accounts.memory.account("handover")
        giver = await give(path, account, self.front) if path else None
        if giver is None:
            with trio.move_on_after(WINDOW_S):
                await self.front.clients.retire()
            return None
        nursery.start_soon(giver.run)
        handed_over = trio.Event()

        async def hand_over() -> None:
            await self.front.hand_over(giver)
            handed_over.set()

        leaving.start_soon(hand_over)
        with trio.move_on_after(HAND_OVER_S):
            await handed_over.wait()
        log.info(
            "clients handed over=%d refused=%d kept=%d",
            self.counters["connections_handed_over"],
            self.counters["connections_refused"],
            len(self.front.clients.all),
        )
        return giver

    async def _flush(self) -> None:
        """Lets the last answers leave, and the lingering closes behind them, as long as any client reads."""
        with trio.move_on_after(FLUSH_MOST_S):
            before, moved_at = self._undelivered(), trio.current_time()
            while before and trio.current_time() - moved_at <= FLUSH_S:
                await trio.sleep(LOOK_S)
                now = self._undelivered()
                if now != before:
                    before, moved_at = now, trio.current_time()

    def _undelivered(self) -> dict[ClientLink, int]:
        """Bytes that each client connection still has to deliver."""
        return {link: link.connection.undelivered for clients in self._clients for link in clients.all}


def _new_id() -> str:
    return secrets.token_hex(8)


async def serve(cfg: config.Config, options: operator.Operator) -> None:
    accounts = divided(cfg, options, resident())
    takes_all = cfg.passed is not None and not accounts.beside_another
    if takes_all and Handover(cfg.folder).successor() is not None:
        raise TooLittleMemory("memory_mb: too little for this process beside the one that serves")
    allocator.collect_often(accounts.memory.limit)
    await Daemon(cfg, options, accounts).run()


def main() -> int:
    logs.start()
    allocator.give_back_early()
    try:
        path = os.environ.get(operator.VARIABLE)
        options = operator.load(path) if path else operator.Operator()
        load_parts(options)
        trio.run(serve, config.load(os.environ), options)
    except (config.ConfigError, ValueError, OSError) as error:
        print(f"starlinghaven: {error}", file=sys.stderr)
        return 2
    return 0
