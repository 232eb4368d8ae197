"""Outbound connections, shared by many requests at once and closed when idle."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Container
from functools import partial
from typing import Generic, TypeVar

import trio

from starlinghaven.containment import contained
from starlinghaven.memory import NoMemory
from starlinghaven.transport import sockets
from starlinghaven.transport.connection import Connection, ConnectionAccounts
from starlinghaven.transport.listener import split_address

log = logging.getLogger(__name__)

L = TypeVar("L", bound="Link")

Place = tuple[str, str]
"""A store's id and its address. An address may pass to another store: connections belong to the id."""

SWEEP_S = 0.1  # seconds between two looks for connections that stopped in the middle of an answer
SHARED = 4  # requests on a connection from which another one is dialed: a spoilt answer ends them all
STUCK_S = 0.3  # seconds without a byte in the middle of an answer, after which nothing more is awaited
DIAL_PAUSES_S = (0.01, 0.02, 0.04)  # between the tries of a dial that failed for a reason of this machine
MOST_UNSENT_S = 0.1  # that a part of a request may wait to be sent: its time limit counts on
WHOLE_S = 10.0  # seconds that one answer may take to come in, where nobody says how long clients wait


class DialFailed(Exception):
    """No connection came up: refused, out of time, or none to be had. Nothing ran."""


class Link:
    """One outbound connection. Subclasses speak the protocol."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.streams = 0  # requests open on it
        self.idle_since = trio.current_time()
        self.retired = False  # takes no new requests, closes with the last one
        self.amid_since: float | None = None  # when an answer began to come in that is not whole yet
        self._suspect = False

    def reads(self, amid: bool) -> None:
        """What has come in was used; whether a part of an answer is left."""
        if not amid:
            self.amid_since = None
        elif self.amid_since is None:
            self.amid_since = trio.current_time()

    def amid_for(self, seconds: float) -> bool:
        """Whether one answer has been coming in for so long."""
        return self.amid_since is not None and trio.current_time() - self.amid_since > seconds

    def stuck(self) -> bool:
        """Whether an answer stopped in its middle: all that is open on the connection waits in vain.

        It must look so twice in a row, since the process may have been halted between two readings.
        """
        quiet = trio.current_time() - self.connection.heard_at > STUCK_S
        was, self._suspect = self._suspect, self.amid_for(0.0) and self.connection.reading and quiet
        return was and self._suspect

    async def feed(self, ring: object) -> int:
        raise NotImplementedError

    async def ended(self) -> None:
        """The connection is closed: settles what was open on it."""
        raise NotImplementedError

    def begin(self) -> None:
        self.streams += 1

    def done(self) -> None:
        """A request on it has ended; the one place where its stream is given back."""
        self.streams -= 1
        self.idle_since = trio.current_time()
        if self.retired and not self.streams:
            self.connection.finish()


class _Dial:
    """A dial under way; whoever needs the connection waits for it."""

    def __init__(self) -> None:
        self.done, self.failure = trio.Event(), ""
        self.forgotten = False  # its store has left meanwhile: whoever answers now may be another one


class Pool(Generic[L]):
    """Owns every outbound connection: dials, shares, retires and closes them."""

    def __init__(
        self,
        make: Callable[[Place, Connection], L],
        accounts: ConnectionAccounts,
        *,
        dial_s: float,
        streams: int,
        idle_s: float,
        most: int,
        whole_s: float = WHOLE_S,
    ) -> None:
        self._make, self._accounts, self._dial_s, self._whole_s = make, accounts, dial_s, whole_s
        self._streams, self._idle_s, self._most = streams, idle_s, most
        self._links: dict[Place, list[L]] = {}
        self._dialing: dict[Place, _Dial] = {}
        self._nursery: trio.Nursery | None = None
        self.count = 0  # sockets held, those being dialed too

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(SWEEP_S)
                with contained(log, "the sweep of outbound connections"):
                    self._sweep()

    def _sweep(self) -> None:
        before = trio.current_time() - self._idle_s * 0.8  # ahead of the other side's own close
        for links in self._links.values():
            for link in links:
                if link.stuck() or link.amid_for(self._whole_s):
                    log.warning("an answer stopped in its middle or never ends, its connection is closed")
                    link.connection.abort()
                elif not link.streams and link.idle_since < before and not link.retired:
                    self.retire(link)

    def forget(self, owner: str) -> None:
        """A store has left, or started anew: its connections take nothing new, nor does one being dialed."""
        for place, dial in self._dialing.items():
            dial.forgotten = dial.forgotten or place[0] == owner
        for place, links in self._links.items():
            if place[0] == owner:
                for link in links:
                    self.retire(link)

    def retire(self, link: Link) -> None:
        link.retired = True
        if not link.streams:
            link.connection.finish()

    def ready(self, place: Place, avoid: Container[object] = ()) -> L | None:
        """A connection with a free stream, the fullest first so that others can go idle.

        One that is shared by many, or on which one answer has been coming in for long, takes more only
        while another is being dialed, or where none is to be had: all that is open on a connection ends
        with one answer that can't be read. One that ends on either side, or that does not read what
        waits for it, takes nothing.
        """
        fit = [k for k in self._links.get(place, ()) if k not in avoid and self._takes_more(k)]
        few = [k for k in fit if k.streams < SHARED and not k.amid_for(STUCK_S)]
        if few or not fit:
            return max(few, key=lambda k: k.streams, default=None)
        if place not in self._dialing and self.count < self._most // 2:
            self._start_dial(place)
        return min(fit, key=lambda k: k.streams)

    def _takes_more(self, link: L) -> bool:
        c = link.connection
        free = not link.retired and link.streams < self._streams
        return free and c.usable and not c.unsent and not c.hung_up

    async def link(self, place: Place, avoid: Container[object] = ()) -> L:
        """A connection with a free stream; dialed if there is none. One dial at a time a store.

        The dial is the pool's own task: one caller who gives up must not end it for the others.
        """
        while True:
            if found := self.ready(place, avoid):
                return found
            dial = self._dialing.get(place)
            if dial is None:
                if self.count >= self._most:
                    raise DialFailed("all outbound connections are in use")
                dial = self._start_dial(place)
            await dial.done.wait()
            if dial.failure:
                raise DialFailed(f"{place[1]}: {dial.failure}")

    def _start_dial(self, place: Place) -> _Dial:
        assert self._nursery is not None
        self.count += 1
        dial = self._dialing[place] = _Dial()
        self._nursery.start_soon(self._dial, place, dial)
        return dial

    async def _dial(self, place: Place, dial: _Dial) -> None:
        link: L | None = None
        try:
            with trio.move_on_after(self._dial_s):
                link = await self._connect(place)
            if link is not None and dial.forgotten:
                link.connection.discard()
                link, dial.failure = None, "its store has left or started anew"
            elif link is None:
                dial.failure = f"not up within {self._dial_s} s"
        except (OSError, NoMemory, ValueError) as error:  # ValueError: a listed address that is none
            dial.failure = str(error) or type(error).__name__
        except Exception as error:  # one dial's trouble must not end the others
            log.exception("the dial of %s failed", place[1])
            dial.failure = type(error).__name__
        finally:
            del self._dialing[place]
            if link is None:
                self.count -= 1
            else:
                self._links.setdefault(place, []).append(link)
            dial.done.set()
        if link is not None:
            await self._serve(place, link)

    async def _connect(self, place: Place) -> L:
        """A new connection. What fails for a reason of this machine is tried again a few times."""
        return await sockets.retried(partial(self._connect_once, place), DIAL_PAUSES_S, f"dial of {place[1]}")

    async def _connect_once(self, place: Place) -> L:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await sock.connect(split_address(place[1]))
            connection = Connection(sock, self._accounts)
        except BaseException:
            sock.close()
            raise
        connection.most_unsent_s = MOST_UNSENT_S
        try:
            return self._make(place, connection)
        except BaseException:
            connection.discard()
            raise

    async def _serve(self, place: Place, link: L) -> None:
        try:
            await link.connection.serve(link.feed)
        except Exception:  # one connection's trouble must not end the others
            log.exception("the connection to %s failed", place[1])
        finally:
            self.count -= 1
            self._links[place].remove(link)
            if not self._links[place]:
                del self._links[place]
            link.retired = True
        with contained(log, "the end of an outbound connection"):
            await link.ended()
