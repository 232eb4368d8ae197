"""The engine with its cache side and change log: what the daemon and the plug-in share."""

from __future__ import annotations

import math
from dataclasses import replace

import trio

from starlinghaven.decisions.table_sizes import TableSizes
from starlinghaven.program import changelog, config
from starlinghaven.program.caches import Caches
from starlinghaven.program.memory_plan import Accounts, Demand, divide
from starlinghaven.program.operations.shared_ids import begun_ids
from starlinghaven.protocol.platform import SLACK
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.copies import Copies
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, NewsRequired
from starlinghaven.transport import arrivals

RESERVE = 32  # descriptors for files, the change log, balancers' checks and what the system wants
IDS_SLACK_MS = 1_000.0  # that an id binds beyond its request's time
STORES_LEAST = 8  # part of all descriptors that stores have at least, one in so many


def keeps_copies(cfg: config.Config) -> bool:
    """Whether the platform allows copies of its own."""
    return cfg.flow > 0 and cfg.link > 0


def store_places(cfg: config.Config, front_sockets: int) -> int:
    """Connections to stores that the descriptors allow. In an upgrade two processes share them."""
    processes = 2 if cfg.passed is not None else 1
    return max((cfg.sockets - RESERVE - front_sockets) // processes, cfg.sockets // STORES_LEAST)


def binds_ms(cfg: config.Config) -> float:
    """How long an id binds: as long as its client may wait, and as stores may recognise a repeat."""
    longest = max(max(SLACK * c.give_up_ms, c.window_ms) for c in cfg.settings.classes)
    return longest + IDS_SLACK_MS


def _table_bytes(cfg: config.Config, limit: int) -> int:
    """Bytes of the table of ids. In an upgrade the file that holds it counts as memory beside its mapping."""
    return limit // 2 if cfg.passed is not None else limit


class Core:
    """Everything but the fronts. Made inside trio's loop."""

    def __init__(self, cfg: config.Config, accounts: Accounts, tells: bool = False) -> None:
        self.cfg, self.accounts = cfg, accounts
        self.counters = Counters()
        clock, copies = Clock(), None
        sizes = TableSizes.within(accounts.memory.account("tables").limit)
        if keeps_copies(cfg):
            copies = Copies(
                accounts.memory.account("copies"),
                cfg.flow,
                cfg.link,
                clock,
                cleared_within_ms=cfg.settings.purge_done_ms or math.inf,  # 0: the settings promise nothing
                most_purges=sizes.own_purges,
            )
        settings = replace(cfg.settings, tells=tells)
        ids = accounts.memory.account("ids")
        begun = begun_ids(cfg.folder, cfg.passed is not None, _table_bytes(cfg, ids.limit), binds_ms(cfg))
        ids.take_always(begun.size)
        self.engine = Engine(
            settings,
            cfg.seed,
            clock,
            self.counters,
            copies,
            accounts.engine,
            sizes,
            begun,
        )
        self.caches = Caches(
            self.engine,
            cfg.classes,
            accounts.stores,
            self.counters,
            dial_s=cfg.dial_s,
            streams=cfg.streams,
            idle_s=cfg.idle_s,
            most=accounts.store_places,
            whole_s=max(c.give_up_ms for c in cfg.settings.classes) / 1000,
        )
        self.log = changelog.ChangeLog(cfg.log_address, cfg.last, self.engine, accounts.news, self.counters)

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


def demand(
    cfg: config.Config, client_places: int, fronts: dict[str, int] | None = None, tables: int = 0
) -> Demand:
    """What a process with these fronts beside the core needs memory for; `fronts` has places by name."""
    others = fronts or {}
    return Demand(
        client_places=client_places,
        store_places=store_places(cfg, client_places + sum(others.values())),
        stores=len(changelog.listed(cfg.known)),
        copies=keeps_copies(cfg),
        upgrades=cfg.passed is not None,
        fronts=others,
        tables=tables,
    )


def alone(cfg: config.Config, base: int) -> Accounts:
    """The accounts of a core without fronts in a process that holds `base` bytes besides."""
    return divide(cfg.memory_bytes, base, demand(cfg, client_places=0))
