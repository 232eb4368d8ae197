"""Follows the change log: connects, resumes after the last event, and tells the engine."""

from __future__ import annotations

import logging

import trio

from starlinghaven import interface as i
from starlinghaven.protocol import ProtocolError, changelog
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, Event, FleetNews, PurgeNews, Store
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import split_address
from starlinghaven.transport.ring import Memory, NoMemory, Ring

log = logging.getLogger(__name__)

SILENCE_S = 2.0  # seconds without even an empty frame, which comes each second
DIAL_S = 1.0
PAUSE_S, PAUSE_MOST_S = 0.05, 0.8  # seconds between two tries, doubled up to the most
PHASES = {
    changelog.READY: i.Phase.UP,
    changelog.DRAINING: i.Phase.DRAINING,
    changelog.GONE: i.Phase.GONE,
}


def event(news: changelog.News, first: bool = False) -> Event:
    """What the engine is told of an event of the log."""
    if isinstance(news, changelog.Purged):
        return PurgeNews(news.group, news.key, news.unix_ms)
    kind = i.ListKind.COMPLETE if news.whole else i.ListKind.PARTIAL
    stores = tuple(
        Store(r.id, r.address, PHASES[r.state], r.zone, r.kind, r.cell, r.weight, r.started_unix_ms)
        for r in news.records
    )
    return FleetNews(i.ListKind.PERSISTED if first else kind, stores)


class ChangeLog:
    """Keeps one connection to the change log. Nothing waits for it."""

    def __init__(self, address: str, last: int, engine: Engine, memory: Memory, counters: Counters) -> None:
        self._address, self.last = address, last
        self._engine, self._memory, self._counters = engine, memory, counters
        self._moved = trio.CancelScope()
        self._odd: int | None = None  # the last number that did not follow, for which the log was asked again
        self.heard = False  # a frame came since the start: the list given at the start is confirmed

    @property
    def confirms(self) -> bool:
        """Whether the list given at the start is known to be current: the log spoke, or there is none."""
        return self.heard or not self._address

    def move(self, address: str) -> None:
        """Follows the log at another address from now on, after the last event that is known.

        Guards against a log that is moved under load: the old address may stay open and say nothing.
        """
        if address != self._address:
            self._address = address
            self._moved.cancel()

    async def run(self) -> None:
        pause = PAUSE_S
        while True:
            with trio.CancelScope() as self._moved:
                while self._address:
                    try:
                        heard = await self._follow()
                    except (OSError, NoMemory) as error:
                        heard = False
                        log.warning("change log: %s", error)
                    pause = PAUSE_S if heard else min(2 * pause, PAUSE_MOST_S)
                    self._counters.add("changelog_lost")
                    log.info("change log lost after event %d, again in %.2f s", self.last, pause)
                    await trio.sleep(pause)
                await trio.sleep_forever()  # no address: nothing to follow until there is one
            pause = PAUSE_S

    async def _follow(self) -> bool:
        """One connection to its end; whether anything was heard on it."""
        sock = trio.socket.socket()
        try:
            with trio.move_on_after(DIAL_S) as dialing:
                await sock.connect(split_address(self._address))
            if dialing.cancelled_caught:
                raise OSError("no connection in time")
            connection = Connection(sock, self._memory)
        except BaseException:
            sock.close()
            raise
        connection.write(changelog.resume(self.last))
        reader, started = changelog.FrameReader(), connection.heard_at

        async def feed(ring: Ring) -> int:
            try:
                while (frame := reader.next(ring)) is not None:
                    self.heard = True
                    await self._told(*frame)
            except ProtocolError as error:  # caught here: one bad frame must not end the program
                log.warning("change log: %s", error)
                connection.abort()
            return reader.wanted

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, connection)
            await connection.serve(feed)
            nursery.cancel_scope.cancel()
        return connection.heard_at > started

    @staticmethod
    async def _watch(connection: Connection) -> None:
        """Guards against a log that has gone silent: its connection may never break."""
        while trio.current_time() - connection.heard_at <= SILENCE_S:
            await trio.sleep(SILENCE_S / 8)
        connection.abort()

    async def _told(self, number: int, news: changelog.News | None) -> None:
        """One frame. The last event may be told twice. Any other number that does not follow means that
        something was missed, or that the log goes back; it is asked again after the last event known, once
        for each such number: what then comes again is the log's own, and its gap is passed over."""
        whole = isinstance(news, changelog.Fleet) and news.whole
        follows = number in ((0, self.last) if news is None else (self.last, self.last + 1))
        if not follows and not (whole and number > self.last) and number != self._odd:
            self._odd = number
            self._counters.add("changelog_odd")
            raise ProtocolError(f"event {number} comes after {self.last}")
        if news is None or number <= self.last:
            return
        if not follows and not whole:
            log.warning("change log: event %d follows %d also when asked again", number, self.last)
        await self._engine.post(event(news))
        self.last = number
