"""How the memory limit is divided: what the program needs for itself, and an account for each kind of holder.

All accounts together get what is left, and no more, so that the process stays within its limit whatever
clients, stores, peers and the change log make it hold. Figures are bytes.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from starlinghaven.memory import Memory
from starlinghaven.program.changelog import MEMORY_OF_LINE
from starlinghaven.protocol.changelog import PIECE_BYTES
from starlinghaven.routing.request_memory import REQUEST_BYTES, EngineAccounts
from starlinghaven.routing.store_table import STORE_BYTES
from starlinghaven.transport.connection import COST, ConnectionAccounts
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

KIB, MIB = 1024, 1024 * 1024
INTERPRETER = 24 * MIB  # of a process at rest, where the system does not say
START = MIB // 2  # that the rest of a start takes
WORKING = 1 * MIB  # that one piece of work copies for a moment: a message, an answer, a look at unread input
OVERHEAD_SHARE = 0.08  # of what is left, for the allocator's rounding, and for garbage
LARGEST_ANSWER = Ring.room(250_000)  # the ring of an answer with the largest object
LARGEST_CALL = Ring.room(64 * KIB + 1)  # the ring of a call with the largest body
SPARE_STORES = 32  # that a list may grow by, beside half as many as it has at the start
LEAST_STORE_CONNECTIONS = 8
PIECES_AT_WORK = 4  # pieces of a list of stores that are read before they are applied


class TooLittleMemory(ValueError):
    """The limit does not hold what the program needs at the least; the text says how much that is."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What the accounts are for."""

    client_places: int  # connections of clients on the platform's front, at most
    store_places: int  # connections to stores, at most
    stores: int  # listed at the start
    copies: bool  # whether copies of its own are kept
    upgrades: bool  # whether another process may take over
    fronts: Mapping[str, int] = field(default_factory=dict)  # places of other listeners by their names
    tables: int = 0  # bytes of further tables that an operator has switched on


@dataclass(frozen=True, slots=True)
class Share:
    """The limit of one account: the least that it works with, and a part of what all of those leave."""

    part: float
    least: int
    most: int = 1 << 62

    @property
    def needed(self) -> int:
        """The least, unless less is wanted."""
        return min(self.least, self.most)

    def of(self, rest: int) -> int:
        """The limit where all that is needed leaves so much."""
        return min(self.least + int(self.part * rest), self.most)


STANDING = {
    "ids": Share(1 / 32, 128 * KIB, 4 * MIB),
    "tables": Share(1 / 24, 192 * KIB, 12 * MIB),
    "tags": Share(1 / 64, 64 * KIB),
    "news": Share(1 / 48, PIECES_AT_WORK * PIECE_BYTES * MEMORY_OF_LINE, 128 * PIECE_BYTES * MEMORY_OF_LINE),
    "stores": Share(1 / 24, LEAST_STORE_CONNECTIONS * COST),
    "clients": Share(0.40, 16 * COST),
}
COPIES = Share(1 / 8, 0)
HANDOVER = Share(1 / 24, 2 * LARGEST_ANSWER)
FRONT = Share(1 / 64, LARGEST_CALL)  # of each other listener, beside its connections

WORK = {  # what the others leave
    "answers": Share(0.25, 2 * LARGEST_ANSWER),
    "output": Share(0.30, 2 * LARGEST_ANSWER),
    "input": Share(0.10, 2 * LARGEST_CALL),
    "orders": Share(0.05, LARGEST_CALL),
    "requests": Share(0.30, 32 * REQUEST_BYTES),
}
COPIES_OF_LIMIT = 1 / 8  # part of the whole limit that copies may have at most


@dataclass(frozen=True, slots=True)
class Accounts:
    """The accounts of a process by what they are for."""

    memory: Memory
    clients: ConnectionAccounts
    stores: ConnectionAccounts
    news: ConnectionAccounts
    engine: EngineAccounts
    beside_another: bool  # whether another process has as much, within the limit

    @property
    def client_places(self) -> int:
        """Connections of clients that there is memory for."""
        return self.clients.connections.limit // COST

    @property
    def store_places(self) -> int:
        """Connections to stores that there is memory for."""
        return self.stores.connections.limit // COST

    def front(self, name: str) -> ConnectionAccounts:
        """The accounts of another listener."""
        account = self.memory.account(name)
        return ConnectionAccounts(account, account, account)


def resident() -> int:
    """Memory of this process now, as the system counts it against its limit."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError) as error:
        log.warning("the system does not tell this process's memory: %s", error)
        return INTERPRETER
    return pages * os.sysconf("SC_PAGE_SIZE")


def divide(limit: int, base: int, demand: Demand) -> Accounts:
    """The accounts of a process that has taken `base` bytes for itself. Errors: TooLittleMemory.

    Where two processes of an upgrade may share the limit, each has half of what both leave.
    """
    least = _least(demand)
    processes = 2 if demand.upgrades and _room(limit, base, 2) >= least else 1
    room = _room(limit, base, processes)
    if room < least:
        needed = base + START + WORKING + least / (1 - OVERHEAD_SHARE)
        raise TooLittleMemory(
            f"memory_mb: {limit / MIB:.0f} is too little, {needed / MIB:.1f} at the least: "
            f"{base / MIB:.1f} for the program itself, the rest for connections and requests"
        )
    if demand.upgrades and processes == 1:
        log.warning("memory_mb: too little for two processes: one that is to take over will not start")
    memory = Memory(room, most=room * processes)
    for name, part in _limits(room, limit, demand).items():
        memory.account(name, part)
    return _grouped(memory, beside_another=processes == 2)


def _room(limit: int, base: int, processes: int) -> int:
    """What is left to others in each of so many processes."""
    left = limit / processes - base - START - WORKING
    return int(left * (1 - OVERHEAD_SHARE))


def _standing(demand: Demand) -> dict[str, Share]:
    """The accounts that are there whatever clients ask for."""
    shares = dict(STANDING)
    shares["clients"] = replace(shares["clients"], most=demand.client_places * COST)
    shares["stores"] = replace(shares["stores"], most=demand.store_places * COST)
    shares["list"] = Share(0.0, STORE_BYTES * (demand.stores + demand.stores // 2 + SPARE_STORES))
    if demand.tables:
        shares["operator"] = Share(0.0, demand.tables)
    for name, places in demand.fronts.items():
        shares[name] = replace(FRONT, least=FRONT.least + places * COST)
    if demand.upgrades:
        shares["handover"] = HANDOVER
    return shares


def _limits(room: int, limit: int, demand: Demand) -> dict[str, int]:
    shares = _standing(demand)
    if demand.copies:
        shares["copies"] = replace(COPIES, most=int(limit * COPIES_OF_LIMIT))
    rest = room - _least(demand)
    limits = {name: share.of(rest) for name, share in shares.items()}
    left = room - sum(limits.values()) - sum(share.needed for share in WORK.values())
    return limits | {name: share.of(left) for name, share in WORK.items()}


def _least(demand: Demand) -> int:
    """The least that must be left to others, so that each kind of request passes."""
    return sum(share.needed for share in (*_standing(demand).values(), *WORK.values()))


def _grouped(memory: Memory, beside_another: bool) -> Accounts:
    account = memory.account
    news = account("news")
    return Accounts(
        memory,
        clients=ConnectionAccounts(account("clients"), account("input"), account("output")),
        stores=ConnectionAccounts(account("stores"), account("answers"), account("orders")),
        news=ConnectionAccounts(news, news, news),
        engine=EngineAccounts(account("requests"), account("answers"), account("list")),
        beside_another=beside_another,
    )
