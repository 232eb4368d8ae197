"""The socket between edge proxies: one task owns it, the member table and the news.

The choices are all in `starlinghaven.fleet`; this drives them with datagrams and the clock, and passes
what others say of stores to the engine's queue, where the Router weighs it.
"""

from __future__ import annotations

import logging
import math
import socket
from collections.abc import Iterator
from random import Random
from zlib import crc32

import trio

from starlinghaven.containment import CONTAINED, contained
from starlinghaven.datagrams import MOST_BYTES
from starlinghaven.fleet.codec import Status
from starlinghaven.fleet.members import Change
from starlinghaven.fleet.news import FactKind
from starlinghaven.fleet.settings import Limits
from starlinghaven.fleet.stance import Stance, Standing
from starlinghaven.fleet.swim import Membership
from starlinghaven.fleet.universe import Universe
from starlinghaven.program.config import Config
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, PeerNews, SpreadNews
from starlinghaven.spread import codec as spread_codec
from starlinghaven.spread import settings as spread_settings
from starlinghaven.spread.exchange import Exchange, View
from starlinghaven.transport import sockets
from starlinghaven.transport.listener import split_address

log = logging.getLogger(__name__)

TELLS = 64  # own words that may wait to be told
SPREAD = bytes([spread_codec.MAGIC])  # first byte of what tells of loads
LOOK_MS = 200.0  # between two looks at the stance and at the news
BATCH = 64  # datagrams taken before timers are looked at again
TOLD = (Status.FAILED, Status.LEFT)  # states whose changes are logged


class Fleet:
    """This proxy among its peers."""

    def __init__(
        self, cfg: Config, engine: Engine, counters: Counters, limits: Limits,
        spread: spread_settings.Limits | None = None,
    ) -> None:  # fmt: skip
        """`spread` switches on that loads are told. Errors: UniverseError for a list that can't be used."""
        addresses = [split_address(text) for text in cfg.peers]
        self._universe = Universe(addresses, cfg.own_number)
        self._listen, self._engine, self._counters = cfg.peer_listen, engine, counters
        now = engine.clock.now()  # it began at the Unix time
        self.core = Membership(self._universe, limits, Random(cfg.seed), now, now)
        self.standing = Standing(limits, now)
        self._tell_in, self._tell_out = trio.open_memory_channel[tuple[str, bool]](TELLS)
        self._said: dict[str, tuple[int, int]] = {}  # what the engine was told last, by store
        self._sock: trio.socket.SocketType | None = None
        engine.tell = self._tell
        self.exchange: Exchange | None = None
        self._view = View()  # what the engine was told last of loads
        self._look_at = 0.0  # ms at which the stance and the news are looked at next
        if spread is not None:
            self.exchange = Exchange(
                cfg.own_number, self._universe.digest, self.core.life, cfg.settings.zone, spread,
                Random(cfg.seed + 1), now,
            )  # fmt: skip
            engine.observer = self.exchange.evidence

    def _tell(self, store: str, silent: bool) -> None:
        """For the engine: never waits."""
        try:
            self._tell_in.send_nowait((store, silent))
        except trio.WouldBlock:
            self._counters.add("tells_dropped")

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """The one task. Ready when the socket is bound. Errors: OSError if it can't be."""
        made = await sockets.obtained(
            lambda: trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM), "datagrams between proxies"
        )
        with made as sock:
            await sock.bind(split_address(self._listen))
            self._sock = sock
            task_status.started()
            while True:
                try:
                    await self._step(sock)
                except Exception:  # what peers say must not end the program
                    log.exception("a step of the exchange between proxies failed")
                    self._counters.add(CONTAINED)
                    await trio.sleep(LOOK_MS / 1000)

    async def _step(self, sock: trio.socket.SocketType) -> None:
        """Waits until something is due or comes in, and handles it."""
        clock = self._engine.clock
        due = self.exchange.next_due() if self.exchange else math.inf
        until = min(self.core.next_due(), self._look_at, due) - clock.now()
        with trio.move_on_after(max(until, 0.0) / 1000):
            await trio.lowlevel.wait_readable(sock)
        self._take(sock)
        now = clock.now()
        self._take_tells(now)
        if self.core.next_due() <= now:
            self.core.advance(now)
        for address, data in self.core.take_out():
            self._send(address, data)
        if self.exchange:
            self.exchange.advance(now)
            for member, data in self.exchange.take_out():
                self._send(self._universe.addresses[member], data)
        await trio.lowlevel.checkpoint()  # it never keeps the loop, however much comes in
        for change in self.core.take_changes():
            self._log(change)
        if self._look_at <= now:
            self._look_at = now + LOOK_MS
            await self._look(now)

    def leave(self) -> None:
        """Tells some peers that this proxy ends in order. Nothing is sent after that."""
        self.core.leave(self._engine.clock.now())
        for address, data in self.core.take_out():
            self._send(address, data)

    # -- the socket -------------------------------------------------------------------------------

    def _take(self, sock: trio.socket.SocketType) -> None:
        raw = self._raw(sock)
        for _ in range(BATCH):
            try:
                data, source = raw.recvfrom(MOST_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error of an earlier send: who is not there shows by its silence
                self._counters.add("peer_socket_errors")
                continue
            with contained(log, "a datagram", self._counters.add):
                self._receive(data, source[:2])

    def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        now = self._engine.clock.now()
        if self.exchange and data[:1] == SPREAD:
            self.exchange.receive(data, self._universe.number(source), now)
        else:
            self.core.receive(data, source, now)

    def _send(self, address: tuple[str, int], data: bytes) -> None:
        """A datagram that can't be sent is one that was lost: the protocol bears it."""
        assert self._sock is not None
        try:
            self._raw(self._sock).sendto(data, address)
        except OSError:
            self._counters.add("peer_sends_failed")

    @staticmethod
    def _raw(sock: trio.socket.SocketType) -> socket.socket:
        """The socket below trio's, which is non-blocking: many datagrams are taken without a switch."""
        return sock._sock  # type: ignore[attr-defined,no-any-return]

    # -- news -------------------------------------------------------------------------------------

    def _take_tells(self, now: float) -> None:
        while True:
            try:
                store, silent = self._tell_out.receive_nowait()
            except trio.WouldBlock:
                return
            self.core.news.tell(FactKind.SILENT if silent else FactKind.SERVES, subject_of(store), now)

    async def _look(self, now: float) -> None:
        """The stance, and what others say by now of the stores on the own list."""
        before = self.standing.stance
        stance = self.standing.look(self.core.members, self.core.heard_at, now)
        if stance is not before:
            self._counters.add(f"stance_{stance.name.lower()}")
            log.info("stance %s after %s alive=%d of=%d", stance.value, before.value,
                     self.core.count(Status.ALIVE), self.core.n)  # fmt: skip
        if self.exchange:
            await self._look_at_loads(self.exchange, now)
        if not self.core.news.fresh and not self._said:
            return
        self.core.news.fresh.clear()
        permits, stores = self.standing.permits(self.core.members, now), self._engine.fleet_ids
        alive = self.core.alive() if permits.news else set[int]()
        for store in stores:
            weighed = self.core.news.weigh(subject_of(store), len(stores), alive, now)
            told = (weighed.silent, weighed.serving)
            if told != self._said.get(store, (0, 0)):
                self._said[store] = told
                await self._engine.post(PeerNews(store, *told))
        self._said = {s: told for s, told in self._said.items() if s in stores and told != (0, 0)}

    async def _look_at_loads(self, exchange: Exchange, now: float) -> None:
        """Tells the exchange who and what is there, and the engine what it came to.

        Both sides of a cut spread load, each on what it hears: this needs no majority.
        """
        exchange.life = self.core.life
        exchange.members(self.core.alive(), self.standing.stance is not Stance.STARTED)
        capacities = self._engine.capacities
        exchange.listed(capacities)
        view = exchange.view(now)
        if (view.shares, view.hot) != (self._view.shares, self._view.hot):
            await self._engine.post(SpreadNews(view.of(capacities), view.hot))
        self._view = view

    # -- for operators ----------------------------------------------------------------------------

    def _log(self, change: Change) -> None:
        self._counters.add(f"peers_{change.after.name.lower()}")
        if change.after in TOLD or change.before in TOLD or change.cause == "restarted":
            host, port = self._universe.addresses[change.member]
            log.info("peer %d at %s:%d %s after %s life=%d inc=%d: %s", change.member, host, port,
                     change.after.name.lower(), change.before.name.lower(), change.life, change.inc,
                     change.cause)  # fmt: skip

    def member_lines(self) -> Iterator[str]:
        """One line a member: number, address, status, life, incarnation, ms in that status."""
        now = self._engine.clock.now()
        for number, m in enumerate(self.core.members):
            host, port = self._universe.addresses[number]
            since = max(now - m.since, 0.0) if m.status is not Status.UNKNOWN else 0.0
            own = " own" if number == self.core.own else ""
            yield f"{number} {host}:{port} {m.status.name.lower()} {m.life} {m.inc} {since:.0f}{own}"

    def stance_lines(self) -> Iterator[str]:
        """The stance, what follows from it, and the counts of what was sent, taken and refused."""
        now, core = self._engine.clock.now(), self.core
        permits = self.standing.permits(core.members, now)
        yield f"stance {self.standing.stance.value}"
        yield f"since_ms {now - self.standing.since:.0f}"
        yield f"alive {core.count(Status.ALIVE)} of {core.n}"
        yield f"fleet_tasks {'yes' if permits.fleet_tasks else 'no'}"
        yield f"sharers {permits.sharers}"
        yield f"own_health {core.health.score}"
        yield f"facts {len(core.news)}"
        for name in ("told_silent", "told_serving", "peer_news"):
            yield f"{name} {self._counters[name]}"
        for name, n in sorted(core.counts.items()):
            yield f"{name} {n}"

    def spread_lines(self) -> Iterator[str]:
        """Who adds up, what this proxy acts on, and the counts. One line a cache: id, share."""
        if self.exchange is None:
            yield "spread off"
            return
        view = self._view
        yield f"spread {'on' if view.voices else 'waiting'}"
        yield f"publishers {' '.join(map(str, self.exchange.publishers))}"
        yield f"voices {view.voices}"
        yield f"age_ms {self._engine.clock.now() - view.told_at:.0f}" if view.voices else "age_ms -"
        yield f"hot {len(view.hot)}"
        stores = sorted(self._engine.capacities)
        shares = view.of(stores)
        for store in stores:
            yield f"share {store} {shares.get(store, 1.0):.3f}"
        for name, n in sorted(self.exchange.counts.items()):
            yield f"{name} {n}"


def subject_of(store: str) -> int:
    """A store's id as a fact names it."""
    return crc32(store.encode())
