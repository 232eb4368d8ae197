"""The cache side: carries the engine's attempts out over pooled connections."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import NamedTuple

import trio

from starlinghaven import interface as i
from starlinghaven.containment import CONTAINED
from starlinghaven.protocol import ProtocolError, caches
from starlinghaven.routing.backlog import note_wait
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Attempt, Counters, Ended
from starlinghaven.transport.connection import Connection, ConnectionAccounts
from starlinghaven.transport.pool import WHOLE_S, DialFailed, Link, Pool
from starlinghaven.transport.ring import READ, Ring

log = logging.getLogger(__name__)

SILENT_S = 1.0  # seconds without a word, with which a connection ends when an attempt is dropped

DECISION_STANDS_MS = 50.0  # between a decision and its write; after longer the process stood still

CODES = {
    "served": i.Code.OK,
    "still_good": i.Code.OK,
    "not_here": i.Code.MISS,
    "overload": i.Code.FULL,
    "crashed": i.Code.ERROR,
    "nobody": i.Code.MOOT,
}


Where = dict[Attempt, "CacheLink | trio.CancelScope"]
"""Where each attempt is: on a connection, or waiting for one."""


class _Out(NamedTuple):
    """An attempt that is out on a connection."""

    attempt: Attempt
    sent_at: float
    end: int  # where in all that was written there it ends


class CacheLink(Link):
    """One connection to a store and the attempts that are out on it, by id."""

    def __init__(self, connection: Connection, engine: Engine, address: str, where: Where) -> None:
        super().__init__(connection)
        self.address = address
        self.connected_ms = engine.clock.now()
        self.out: dict[str, _Out] = {}
        self._engine, self._where = engine, where
        self._reader = caches.reader()

    async def feed(self, ring: Ring) -> int:  # type: ignore[override]
        try:
            while (said := self._next(ring)) is not None:
                self.reads(amid=False)
                await self._said(said)
        except ProtocolError as error:
            log.warning("store %s sent what is no answer: %s", self.address, error)
            self._engine.counters.add("bad_answers")
            self.connection.abort()
        self.reads(ring.size > 0)
        return self._reader.wanted

    def _next(self, ring: Ring) -> caches.Said | None:
        """The next answer; the memory of its body is taken as the ring gives back that of the message."""
        answers = self._engine.accounts.answers
        with answers.memory.uninterrupted():
            if (words := self._reader.next(ring)) is None:
                return None
            said = caches.parse(words)
            if len(said.body) > READ:
                ring.fit()
            answers.take_always(len(said.body))
        return said

    async def _said(self, said: caches.Said) -> None:
        held = self.out.pop(said.id, None)
        if held is None:  # dropped or answered before: an id is written once on a connection
            self._engine.accounts.answers.give(len(said.body))
            return
        attempt = held.attempt
        del self._where[attempt]
        self.done()
        code = CODES[said.word]
        if said.loads_passed_over:
            self._engine.counters.add("loads_passed_over", said.loads_passed_over)
        if said.word == "still_good" and not (attempt.ask.have and said.rev == attempt.ask.have):
            # Guards the client's copy: it is current only if the store named that copy.
            self._engine.counters.add("bad_answers")
            code = i.Code.ERROR
        await self._engine.post(
            Ended(
                attempt,
                code,
                said.body,
                held=len(said.body),
                unchanged=said.word == "still_good",
                tag=said.rev,
                since_ms=said.since_ms,
                note=said.note,
                waited_ms=said.filled_ms,
                report=said.load,
            )
        )

    def give_up(self, attempt: Attempt) -> None:
        held = self.out.pop(attempt.ask.id, None)
        if held is None:
            return  # its end is on the way through the queue
        if not self._whole(held) and not self.out:
            self.connection.abort()  # the store reads nothing: it must not get it whole after this
        self.connection.write(caches.drop([attempt.ask.id]))
        self.done()

    def carry(self, attempt: Attempt, text: bytes) -> None:
        """Writes an attempt. It ends with an answer, with `give_up`, or with the connection."""
        self._where[attempt] = attempt.link = self
        self.out[attempt.ask.id] = _Out(attempt, trio.current_time(), self.connection.queued + len(text))
        self.begin()
        attempt.written, attempt.connected_ms = True, self.connected_ms
        self.connection.write(text)

    def _whole(self, held: _Out) -> bool:
        """Whether the system has taken it to its last byte: else it surely never ran."""
        return self.connection.sent >= held.end

    @property
    def silent(self) -> bool:
        """Whether it has said nothing for long while something was out."""
        since = min((held.sent_at for held in self.out.values()), default=trio.current_time())
        return trio.current_time() - max(since, self.connection.heard_at) > SILENT_S

    async def ended(self) -> None:
        lost, self.out = self.out, {}
        for held in lost.values():
            self._where.pop(held.attempt, None)
            self.done()
            code = i.Code.RESET if self._whole(held) else i.Code.NO_CONNECTION
            await self._engine.post(Ended(held.attempt, code))


class Caches:
    """Implements the engine's cache side."""

    def __init__(
        self,
        engine: Engine,
        classes: Sequence[str],
        accounts: ConnectionAccounts,
        counters: Counters,
        *,
        dial_s: float,
        streams: int,
        idle_s: float,
        most: int,
        whole_s: float = WHOLE_S,
    ) -> None:
        self._engine, self._classes, self._counters = engine, classes, counters
        self._where: Where = {}
        self.pool: Pool[CacheLink] = Pool(
            lambda place, connection: CacheLink(connection, engine, place[1], self._where),
            accounts,
            dial_s=dial_s,
            streams=streams,
            idle_s=idle_s,
            most=most,
            whole_s=whole_s,
        )
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.pool.run)

    def send(self, attempt: Attempt) -> None:
        link = self.pool.ready((attempt.store, attempt.address), self._met(attempt))
        if link:
            self._write(link, attempt, attempt.sent_ms)
            return
        assert self._nursery is not None
        scope = self._where[attempt] = trio.CancelScope()
        self._nursery.start_soon(self._dial, attempt, scope)

    @staticmethod
    def _met(attempt: Attempt) -> list[object]:
        """Connections on which this request's id was written: what still comes under it there is of old.

        Guards against second answers, and answers that cross a DROP: they would end the later attempt
        here while it goes on at the store, and the next would run beside it.
        """
        return [other.link for other in attempt.before if other.link is not None]

    async def _dial(self, attempt: Attempt, scope: trio.CancelScope) -> None:
        code = i.Code.NO_CONNECTION
        with scope:
            try:
                link = await self.pool.link((attempt.store, attempt.address), self._met(attempt))
                if self._where.get(attempt) is not scope:
                    return  # dropped when the connection was up already, before this task went on
                decided_ms = self._engine.clock.now()
                note_wait(self._counters, "wait_dial", decided_ms - attempt.sent_ms)
                if self._engine.may_begin(attempt):
                    self._write(link, attempt, decided_ms)
                    return
                code = i.Code.MOOT
            except DialFailed as error:
                self._counters.add("dials_failed")
                log.info("no connection: %s", error)
            except Exception:  # one attempt's trouble must not end the others
                log.exception("an attempt at %s failed", attempt.store)
                self._counters.add(CONTAINED)
            if self._where.pop(attempt, None) is scope:
                await self._engine.post(Ended(attempt, code))

    def _write(self, link: CacheLink, a: Attempt, decided_ms: float) -> None:
        """Writes an attempt that may begin as of `decided_ms`.

        If the process stood still since then, its client may have left and its time is shorter: the last
        look at the clock is right before the write, and what comes too late for it is decided anew.
        """
        text = self._text(a)
        if self._engine.clock.now() - decided_ms > DECISION_STANDS_MS:
            self._do_not_begin(a, "stall")
        elif not link.connection.has_room(len(text)):
            self._do_not_begin(a, "memory")
        else:
            self._counters.add("written")
            link.carry(a, text)

    def _do_not_begin(self, a: Attempt, reason: str) -> None:
        """Lets the engine decide anew: nothing was written."""
        assert self._nursery is not None
        self._counters.add(f"not_begun_{reason}")
        self._where.pop(a, None)
        self._nursery.start_soon(self._engine.post, Ended(a, i.Code.MOOT))

    def _text(self, a: Attempt) -> bytes:
        ask = a.ask
        waited_ms = self._engine.clock.now() - a.sent_ms  # for its dial
        order = caches.Order(
            id=ask.id,
            cls=self._classes[ask.cls],
            key=ask.key,
            part=ask.part,
            wait_ms=a.timeout_ms - waited_ms,
            idem=ask.idem,
            source="" if a.source in ("", a.store) else a.source,
            keep=a.keep,
            age_ms=a.age_ms,
            join=a.join,
            renew=a.renew,
            have=ask.have,
            body=ask.body,
        )
        return caches.get(order)

    def drop(self, attempt: Attempt) -> None:
        where = self._where.pop(attempt, None)
        if isinstance(where, trio.CancelScope):
            where.cancel()
        elif where is not None:
            silent = where.silent
            where.give_up(attempt)
            if silent:
                # The machine may have vanished, or an answer was lost and took the connection with it; then
                # it stays silent for good, and perhaps no DROP is read on it any more. Closing it gives up
                # all that is open there, and a new one tells within the dial's time-out.
                self._counters.add("links_closed")
                where.connection.abort()

    def has_unread(self, attempt: Attempt) -> bool:
        where = self._where.get(attempt)
        return isinstance(where, CacheLink) and where.connection.pending

    def forget(self, store: str) -> None:
        self.pool.forget(store)
