"""Follows the change log: connects, resumes after the last event, and posts what it hears to the engine."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

import trio

from starlinghaven import interface as i
from starlinghaven.containment import CONTAINED
from starlinghaven.memory import NoMemory
from starlinghaven.protocol import ProtocolError, changelog
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import (
    Counters,
    Event,
    FleetNews,
    NewsCurrent,
    NewsMissed,
    PurgeNews,
    Store,
)
from starlinghaven.transport.connection import Connection, ConnectionAccounts
from starlinghaven.transport.listener import split_address
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

SILENCE_S = 2.0  # seconds without even an empty frame, which comes each second
DIAL_S = 1.0
MEMORY_OF_LINE = 32  # times its bytes that a line of a list may take while it is handled, as objects
MOST_ENDED_AHEAD = 2_048  # stores whose end is remembered ahead of its turn
PAUSE_S, PAUSE_MOST_S = 0.05, 0.8  # seconds between two tries, doubled up to the most
PHASES = {
    changelog.READY: i.Phase.UP,
    changelog.DRAINING: i.Phase.DRAINING,
    changelog.GONE: i.Phase.GONE,
}


def event(news: changelog.News, first: bool = False) -> Event:
    """The engine's event for one of the log; `first`: the one that a start is told."""
    if isinstance(news, changelog.Purged):
        return PurgeNews(news.group, news.key, news.unix_ms)
    kind = i.ListKind.COMPLETE if news.whole else i.ListKind.PARTIAL
    stores = tuple(
        Store(r.id, r.address, PHASES[r.state], r.zone, r.kind, r.cell, r.weight, r.started_unix_ms)
        for r in news.records
    )
    return FleetNews(i.ListKind.PERSISTED if first else kind, stores, news.first, news.last)


def pieces(news: changelog.News) -> Iterator[changelog.News]:
    """An event in pieces of as many lines as are read from the log at once."""
    if not isinstance(news, changelog.Fleet):
        yield news
        return
    size, lines = changelog.PIECE_LINES, len(news.records)
    for at in range(0, max(lines, 1), size):
        part, last = news.records[at : at + size], at + size >= lines
        yield changelog.Fleet(news.whole, part, news.first and not at, news.last and last)


def listed(known: Iterable[tuple[int, changelog.News]]) -> set[str]:
    """The stores that a configuration's events list, be they gone since."""
    return {r.id for _, news in known if isinstance(news, changelog.Fleet) for r in news.records}


class ChangeLog:
    """Keeps one connection to the change log. Nothing waits for it."""

    def __init__(
        self, address: str, last: int, engine: Engine, accounts: ConnectionAccounts, counters: Counters
    ) -> None:
        self._address, self.last = address, last
        self._engine, self._accounts, self._counters = engine, accounts, counters
        self._moved = trio.CancelScope()
        self._asked_again_after: int | None = None  # the last event when a number that skips was refused
        self._progress = changelog.Progress(engine.clock.now())
        self._connection: Connection | None = None  # to the log, while there is one
        self._ends_when_read = False  # it is ended once all that has come on it is read
        self._behind_gap = False  # what it still brings is ahead of its turn
        self._ended_ahead: dict[str, int] = {}  # stores whose end was heard ahead of its turn, and its number
        engine.news_unread = self._has_unread
        self.heard = False  # a frame came since the start: the list given at the start is confirmed
        self.unreadable = False  # what the log sends next can't be read: nothing behind it is heard
        self._advanced = False  # the connection brought news in order

    @property
    def confirms(self) -> bool:
        """Whether the list given at the start is known to be current: the log spoke, or there is none."""
        return self.heard or not self._address

    def _has_unread(self) -> bool:
        return self._connection is not None and self._connection.pending

    def move(self, address: str) -> None:
        """Follows the log at another address from now on, after the last event that is known.

        The old address may stay open and say nothing.
        """
        if address == self._address:
            return
        self._address = address
        if self._connection is not None and self._connection.pending:
            self._ends_when_read = True  # what was delivered counts as known
        else:
            self._moved.cancel()

    async def take(self, known: Sequence[tuple[int, changelog.News]]) -> None:
        """Takes events that a configuration carries, as far as they follow the last one that is known."""
        for number, news in known:
            if number == self.last + 1:
                self.last = number
                self._counters.add("changelog_from_configuration")
                for piece in pieces(news):
                    await self._engine.post(event(piece))
                    await trio.lowlevel.checkpoint()

    async def run(self) -> None:
        """Follows the log for ever, over one connection after the other."""
        pause = PAUSE_S
        while True:
            with trio.CancelScope() as self._moved:
                while self._address:
                    try:
                        advanced = await self._follow()
                    except (OSError, NoMemory) as error:
                        advanced = False
                        log.warning("change log: %s", error)
                    except Exception:  # whatever one connection meets, the next one is made
                        advanced = False
                        log.exception("the connection to the change log failed")
                        self._counters.add(CONTAINED)
                    pause = PAUSE_S if advanced else min(2 * pause, PAUSE_MOST_S)
                    self._counters.add("changelog_lost")
                    log.info("change log lost after event %d, again in %.2f s", self.last, pause)
                    await trio.sleep(pause)
                await trio.sleep_forever()  # no address: nothing to follow until there is one
            pause = PAUSE_S

    async def _follow(self) -> bool:
        """One connection to its end; whether it brought anything new."""
        sock = trio.socket.socket()
        try:
            with trio.move_on_after(DIAL_S) as dialing:
                await sock.connect(split_address(self._address))
            if dialing.cancelled_caught:
                raise OSError("no connection in time")
            connection = Connection(sock, self._accounts)
        except BaseException:
            sock.close()
            raise
        self._progress = changelog.Progress(self._engine.clock.now())
        self._connection, self._ends_when_read, self._behind_gap = connection, False, False
        connection.write(changelog.resume(self.last))
        log.info("change log connected address=%s after event %d", self._address, self.last)
        reader, self._advanced = changelog.FrameReader(), False

        async def feed(ring: Ring) -> int:
            try:
                while await self._read_frame(reader, ring):
                    self.heard = True
                if self._ends_when_read and not connection.pending:
                    connection.abort()
            except ProtocolError as error:  # caught here: one bad frame must not end the program
                connection.abort()
                await self._not_read(error)
            return reader.wanted

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, connection)
                await connection.serve(feed)
                nursery.cancel_scope.cancel()
        finally:
            self._connection = None
        return self._advanced

    async def _not_read(self, error: ProtocolError) -> None:
        """What the log sends next is no frame: it counts as told, and nobody knows what it tells."""
        self._counters.add("changelog_unreadable")
        log.error("change log: what follows event %d can't be read: %s", self.last, error)
        self.unreadable = True
        await self._engine.post(NewsMissed())

    def _advance(self) -> None:
        """Notes that the log was heard in order."""
        self._advanced, self.unreadable = True, False

    async def _read_frame(self, reader: changelog.FrameReader, ring: Ring) -> bool:
        """Reads and handles one frame; False until more has come in. Errors: ProtocolError."""
        try:
            frame = reader.next(ring)
        except changelog.UnusableEvent as event:
            await self._unusable(event)
            return True
        if frame is None:
            return False
        await self._received(*frame)
        if isinstance(frame[1], changelog.Fleet) and not frame[1].last:
            await trio.lowlevel.checkpoint()  # others are served between the pieces of a long list
        return True

    async def _unusable(self, event: changelog.UnusableEvent) -> None:
        """Asks once more for an event that can't be read; one that stays so is passed over like a gap.

        Asked for without end, it would keep all later events from being heard.
        """
        if self._behind_gap or event.number <= self.last:
            return
        self._counters.add("changelog_unusable")
        log.warning("change log: %s", event)
        if self._asked_again_after != self.last:
            self._asked_again_after = self.last
            self._behind_gap = self._ends_when_read = True
            return
        log.error("change log: event %d is passed over", event.number)
        self.last = event.number
        self._advance()
        await self._engine.post(NewsMissed())

    @staticmethod
    async def _watch(connection: Connection) -> None:
        """Ends a connection that has gone silent: it may never break by itself.

        One on which something lies unread is not: the process may have stood still.
        """
        while trio.current_time() - connection.heard_at <= SILENCE_S or connection.pending:
            await trio.sleep(SILENCE_S / 8)
        log.info("change log silent for %.1f s", trio.current_time() - connection.heard_at)
        connection.abort()

    async def _received(self, number: int, news: changelog.News | None) -> None:
        """One frame: applied if it follows, asked for again if a number is missing before it."""
        if not self._behind_gap and not self._follows(number, news) and self._asked_again_after != self.last:
            self._asked_again_after = self.last
            self._counters.add("changelog_odd")
            log.warning("change log: event %d comes after %d", number, self.last)
            self._behind_gap = self._ends_when_read = True
        if self._behind_gap:
            await self._apply_ahead(number, news)
        elif news is None:
            await self._heartbeat(number)
        elif number > self.last:
            await self._apply(number, news)

    async def _apply_ahead(self, number: int, news: changelog.News | None) -> None:
        """What is known of purges and ended stores ahead of its turn; all of it comes again in order."""
        if number <= self.last:
            return
        if isinstance(news, changelog.Purged):
            await self._engine.post(event(news))
        elif isinstance(news, changelog.Fleet):
            ended = tuple(r for r in news.records if r.state != changelog.READY)
            room = MOST_ENDED_AHEAD - len(self._ended_ahead)
            self._ended_ahead |= {record.id: number for record in ended[:room]}
            await self._engine.post(event(changelog.Fleet(False, ended)))

    def _current(self, number: int, news: changelog.News) -> changelog.News:
        """An event without what it says of stores whose later end is known already."""
        if not isinstance(news, changelog.Fleet) or not self._ended_ahead:
            return news
        records = tuple(r for r in news.records if self._ended_ahead.get(r.id, number) <= number)
        if news.last:
            self._ended_ahead = {store: n for store, n in self._ended_ahead.items() if n > number}
        return replace(news, records=records)

    def _follows(self, number: int, news: changelog.News | None) -> bool:
        """Whether nothing is missing before a frame; the last event may come twice."""
        return number in ((0, self.last) if news is None else (self.last, self.last + 1))

    async def _apply(self, number: int, news: changelog.News) -> None:
        if number != self.last + 1:
            log.warning("change log: event %d follows %d also when asked again", number, self.last)
            await self._engine.post(NewsMissed())
            self.last = number - 1  # what is left of this event follows
        current = self._current(number, news)
        if not isinstance(news, changelog.Fleet) or news.last:
            self.last = number  # first: what follows queues the event at once, and may then be cancelled
            self._advance()
        await self._engine.post(event(current))
        if isinstance(news, changelog.Purged):
            made_ms = self._engine.clock.earliest(news.unix_ms)
            await self._renew(self._progress.stamped(made_ms))

    async def _heartbeat(self, number: int) -> None:
        """An empty frame: all that the log held when it was sent is known."""
        as_of_ms = self._progress.heartbeat(self._engine.clock.now())
        if number not in (0, self.last):
            return  # it goes back, or holds what it does not send: it proves nothing
        self._advance()
        await self._renew(as_of_ms)
        if self._progress.late and not self._ends_when_read:
            log.warning("change log: its frames come late")
            self._ends_when_read = True

    async def _renew(self, as_of_ms: float) -> None:
        await self._engine.post(NewsCurrent(as_of_ms))
