"""The engine with its cache side and change log: what the daemon and the plug-in share."""

from __future__ import annotations

import math
from dataclasses import replace

import trio

from starlinghaven.program import changelog, config
from starlinghaven.program.caches import Caches
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.copies import Copies
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, NewsRequired
from starlinghaven.transport import arrivals
from starlinghaven.transport.ring import Memory

RINGS = 0.35  # part of the memory limit that rings may hold; the rest is the interpreter's and answers'
COPIES = 0.125  # part of the memory limit for copies of its own, at most
PROCESS = 24 * 1024 * 1024  # bytes that a process holds beside rings and copies
RESERVE = 32  # descriptors for files, the change log, balancers' checks and what the system wants
STORES_LEAST = 8  # part of all descriptors that stores have at least, one in so many


class Core:
    """Everything but the fronts. Made inside trio's loop."""

    def __init__(self, cfg: config.Config, front_sockets: int, tells: bool = False) -> None:
        self.cfg = cfg
        self.counters = Counters()
        # Guards the limits in an upgrade: for a while two processes share what is allowed to one.
        processes = 2 if cfg.passed is not None else 1
        rings = int(cfg.memory_bytes * RINGS)
        self.memory = Memory(rings // processes, most=rings)
        clock, copies = Clock(), None
        if cfg.flow > 0 and cfg.link > 0:  # else the platform allows no copies of its own
            spare = max(cfg.memory_bytes / processes - PROCESS, 0) / 2
            limit = int(min(cfg.memory_bytes * COPIES, spare))
            cleared_ms = cfg.settings.purge_done_ms or math.inf  # 0: the settings promise nothing
            copies = Copies(limit, cfg.flow, cfg.link, clock, cleared_ms)
        settings = replace(cfg.settings, tells=tells)
        self.engine = Engine(settings, cfg.seed, clock, self.counters, copies)
        self.caches = Caches(
            self.engine,
            cfg.classes,
            self.memory,
            self.counters,
            dial_s=cfg.dial_s,
            streams=cfg.streams,
            idle_s=cfg.idle_s,
            most=max((cfg.sockets - RESERVE - front_sockets) // processes, cfg.sockets // STORES_LEAST),
            whole_s=max(c.give_up_ms for c in cfg.settings.classes) / 1000,
        )
        self.log = changelog.ChangeLog(cfg.log_address, cfg.last, self.engine, self.memory, self.counters)

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the tasks. The fleet known at the start is in the queue when this returns."""
        arrivals.install()
        nursery.start_soon(self.caches.run)
        nursery.start_soon(self.engine.run, self.caches)
        for n, (_, news) in enumerate(self.cfg.known):
            await self.engine.post(changelog.event(news, first=n == 0))
        if self.cfg.log_address:
            await self.engine.post(NewsRequired())
        nursery.start_soon(self.log.run)

    async def reload(self, cfg: config.Config) -> None:
        """Takes over what may change while the program runs: the change log's address and events."""
        self.cfg = cfg
        await self.log.take(cfg.known)
        if cfg.log_address:
            await self.engine.post(NewsRequired())
        self.log.move(cfg.log_address)
