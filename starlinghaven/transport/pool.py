"""Outbound connections, shared by many requests at once and closed when idle."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from typing import Generic, TypeVar

import trio

from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import split_address
from starlinghaven.transport.ring import Memory, NoMemory

log = logging.getLogger(__name__)

L = TypeVar("L", bound="Link")


class DialFailed(Exception):
    """No connection came up: refused, out of time, or none to be had. Nothing ran."""


class Link:
    """One outbound connection. Subclasses speak the protocol."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.streams = 0  # requests open on it
        self.idle_since = trio.current_time()
        self.retired = False  # takes no new requests, closes with the last one

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


class Pool(Generic[L]):
    """Owns every outbound connection: dials, shares, retires and closes them."""

    def __init__(
        self,
        make: Callable[[str, Connection], L],
        memory: Memory,
        *,
        dial_s: float,
        streams: int,
        idle_s: float,
        most: int,
    ) -> None:
        self._make, self._memory, self._dial_s = make, memory, dial_s
        self._streams, self._idle_s, self._most = streams, idle_s, most
        self._links: dict[str, list[L]] = {}
        self._dialing: dict[str, _Dial] = {}
        self._nursery: trio.Nursery | None = None
        self.count = 0  # sockets held, those being dialed too

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(self._idle_s / 4)
                self._close_idle()

    def _close_idle(self) -> None:
        before = trio.current_time() - self._idle_s * 0.8  # ahead of the other side's own close
        for links in self._links.values():
            for link in links:
                if not link.streams and link.idle_since < before and not link.retired:
                    self.retire(link)

    def retire(self, link: Link) -> None:
        link.retired = True
        if not link.streams:
            link.connection.finish()

    def ready(self, address: str) -> L | None:
        """A connection with a free stream, the fullest first so that others can go idle."""
        fit = [
            k for k in self._links.get(address, ())
            if not k.retired and not k.connection.closed and k.streams < self._streams
        ]
        return max(fit, key=lambda k: k.streams, default=None)

    async def link(self, address: str) -> L:
        """A connection with a free stream; dialed if there is none. One dial at a time an address.

        The dial is the pool's own task: one caller who gives up must not end it for the others.
        """
        while True:
            if found := self.ready(address):
                return found
            dial = self._dialing.get(address)
            if dial is None:
                assert self._nursery is not None
                if self.count >= self._most:
                    raise DialFailed("all outbound connections are in use")
                self.count += 1
                dial = self._dialing[address] = _Dial()
                self._nursery.start_soon(self._dial, address, dial)
            await dial.done.wait()
            if dial.failure:
                raise DialFailed(f"{address}: {dial.failure}")

    async def _dial(self, address: str, dial: _Dial) -> None:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        link: L | None = None
        try:
            with trio.move_on_after(self._dial_s):
                await sock.connect(split_address(address))
                link = self._make(address, Connection(sock, self._memory))
            if link is None:
                dial.failure = f"not up within {self._dial_s} s"
        except (OSError, NoMemory, ValueError) as error:  # ValueError: a listed address that is none
            dial.failure = str(error) or type(error).__name__
        finally:
            del self._dialing[address]
            if link is None:
                self.count -= 1
                sock.close()
            else:
                self._links.setdefault(address, []).append(link)
            dial.done.set()
        if link is not None:
            await self._serve(address, link)

    async def _serve(self, address: str, link: L) -> None:
        try:
            await link.connection.serve(link.feed)
        except Exception:  # one connection's trouble must not end the others
            log.exception("the connection to %s failed", address)
        finally:
            self.count -= 1
            self._links[address].remove(link)
            if not self._links[address]:
                del self._links[address]
            link.retired = True
        await link.ended()


